package hold

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Config bounds a [Store].
type Config struct {
	// MaxPerPeer bounds the entries held for one peer.
	MaxPerPeer int
	// MaxEntries and MaxBytes bound what is held in all. Bytes are those of
	// entry bodies and IDs.
	MaxEntries int
	MaxBytes   int
	// GoneAfter is how long a peer must be gone before its entries are handed
	// out, so that a short absence does not cause repeated appends.
	GoneAfter time.Duration
	// AdoptAfter is the age at which an entry is handed out although its
	// writer is not gone. It clears what a message held after the news that
	// the entry is settled; it should be longer than outages of the log.
	AdoptAfter time.Duration
}

// Orphan is a run of entries of one stream whose writer is gone.
type Orphan struct {
	From    platform.InstanceID
	Stream  platform.Stream
	Entries []platform.Entry
}

// copied is one entry held for a peer.
type copied struct {
	entry     platform.Entry
	stream    platform.Stream
	handedOut bool
	// since is when Orphans first met the entry; zero before.
	since time.Time
}

// peerCopies are the entries of one peer, in order of arrival.
type peerCopies struct {
	items     []*copied
	ids       map[string]*copied
	goneSince time.Time // zero while the peer is not gone
}

// Store holds copies of peers' entries. It is not safe for concurrent use.
type Store struct {
	cfg     Config
	peers   map[platform.InstanceID]*peerCopies
	entries int
	bytes   int
}

// New returns an empty store.
func New(cfg Config) *Store {
	return &Store{cfg: cfg, peers: map[platform.InstanceID]*peerCopies{}}
}

// Hold takes copies of a peer's entries and returns how many of them, counted
// from the first, are held now. It is less than all of them once a bound is
// reached. An entry that is already held counts.
func (s *Store) Hold(from platform.InstanceID, stream platform.Stream, entries []platform.Entry) (held int) {
	for _, entry := range entries {
		if !s.holdOne(from, stream, entry) {
			break
		}
		held++
	}
	return held
}

func (s *Store) holdOne(from platform.InstanceID, stream platform.Stream, entry platform.Entry) bool {
	peer := s.peers[from]
	if peer != nil && peer.ids[entry.ID] != nil {
		return true
	}
	if s.entries >= s.cfg.MaxEntries || s.bytes+size(entry) > s.cfg.MaxBytes {
		return false
	}
	if peer == nil {
		peer = &peerCopies{ids: map[string]*copied{}}
	}
	if len(peer.items) >= s.cfg.MaxPerPeer {
		return false
	}
	s.peers[from] = peer
	item := &copied{entry: entry, stream: stream}
	peer.items = append(peer.items, item)
	peer.ids[entry.ID] = item
	s.entries++
	s.bytes += size(entry)
	return true
}

// Settled forgets entries that the log has.
func (s *Store) Settled(from platform.InstanceID, ids []string) {
	peer := s.peers[from]
	if peer == nil {
		return
	}
	for _, id := range ids {
		if item := peer.ids[id]; item != nil {
			delete(peer.ids, id)
			s.entries--
			s.bytes -= size(item.entry)
		}
	}
	peer.items = slices.DeleteFunc(peer.items, func(item *copied) bool {
		return peer.ids[item.entry.ID] != item
	})
	if len(peer.items) == 0 {
		delete(s.peers, from)
	}
}

// Orphans returns the entries whose peers have been gone for the stated time,
// and those that have been held for too long, in order of peer and arrival,
// each once until [Store.Failed] names it.
func (s *Store) Orphans(now time.Time, gone func(platform.InstanceID) bool) []Orphan {
	var orphans []Orphan
	for _, from := range s.sortedPeers() {
		peer := s.peers[from]
		if !gone(from) {
			peer.goneSince = time.Time{}
		} else if peer.goneSince.IsZero() {
			peer.goneSince = now
		}
		isGone := !peer.goneSince.IsZero() && now.Sub(peer.goneSince) >= s.cfg.GoneAfter
		due := func(item *copied) bool { return isGone || now.Sub(item.since) >= s.cfg.AdoptAfter }
		orphans = append(orphans, peer.handOut(now, from, due)...)
	}
	return orphans
}

// Failed says that entries handed out could not be passed on. They are handed
// out again.
func (s *Store) Failed(from platform.InstanceID, ids []string) {
	peer := s.peers[from]
	if peer == nil {
		return
	}
	for _, id := range ids {
		if item := peer.ids[id]; item != nil {
			item.handedOut = false
		}
	}
}

// Len returns the number of entries held.
func (s *Store) Len() int { return s.entries }

// Bytes returns the bytes of the entries held.
func (s *Store) Bytes() int { return s.bytes }

func (s *Store) sortedPeers() []platform.InstanceID {
	ids := make([]platform.InstanceID, 0, len(s.peers))
	for id := range s.peers {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, cmp.Compare)
	return ids
}

// handOut groups the peer's entries that are due, and not handed out, by
// stream.
func (p *peerCopies) handOut(now time.Time, from platform.InstanceID, due func(*copied) bool) []Orphan {
	var orphans []Orphan
	for _, item := range p.items {
		if item.since.IsZero() {
			item.since = now
		}
		if item.handedOut || !due(item) {
			continue
		}
		item.handedOut = true
		at := slices.IndexFunc(orphans, func(o Orphan) bool { return o.Stream == item.stream })
		if at < 0 {
			at = len(orphans)
			orphans = append(orphans, Orphan{From: from, Stream: item.stream})
		}
		orphans[at].Entries = append(orphans[at].Entries, item.entry)
	}
	return orphans
}

func size(entry platform.Entry) int { return len(entry.ID) + len(entry.Body) }
