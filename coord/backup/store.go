package backup

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// StoreConfig bounds a [Store].
type StoreConfig struct {
	// MaxPerPeer bounds the entries held for one peer.
	MaxPerPeer int
	// MaxEntries and MaxBytes bound the entries held for all peers together.
	// Bytes are those of entry bodies and IDs.
	MaxEntries int
	MaxBytes   int
	// GoneAfter is how long a peer must be gone before [Store.Orphans] returns
	// its entries, so that a short absence does not cause repeated appends.
	GoneAfter time.Duration
	// AdoptAfter is the time after which [Store.Orphans] returns an entry although
	// its writer is not gone, counted from the first call of Orphans that finds
	// the entry in the store. It covers entries whose copy arrived after the
	// message that reported them as settled. It should be longer than outages
	// of the log.
	AdoptAfter time.Duration
}

// Orphan is a group of entries of one peer and stream that the local instance
// must append, because the peer is gone or [StoreConfig.AdoptAfter] has passed.
type Orphan struct {
	From    platform.InstanceID
	Stream  platform.Stream
	Entries []platform.Entry
}

// storedCopy is the backup copy of one entry of a peer.
type storedCopy struct {
	entry     platform.Entry
	stream    platform.Stream
	handedOut bool
	// firstChecked is when Orphans first checked the entry; zero before.
	firstChecked time.Time
}

// peerCopies holds the copies of one peer's entries, in order of arrival.
type peerCopies struct {
	items     []*storedCopy
	ids       map[string]*storedCopy
	goneSince time.Time // zero while the peer is not gone
}

// Store holds backup copies of peers' entries. It is not safe for concurrent use.
type Store struct {
	cfg     StoreConfig
	peers   map[platform.InstanceID]*peerCopies
	entries int
	bytes   int
}

// NewStore returns an empty store.
func NewStore(cfg StoreConfig) *Store {
	return &Store{cfg: cfg, peers: map[platform.InstanceID]*peerCopies{}}
}

// Add stores copies of a peer's entries until a bound is reached. It returns how
// many entries, counted from the first, are stored, including those that already
// were.
func (s *Store) Add(from platform.InstanceID, stream platform.Stream, entries []platform.Entry) (held int) {
	for _, entry := range entries {
		if !s.addCopy(from, stream, entry) {
			break
		}
		held++
	}
	return held
}

func (s *Store) addCopy(from platform.InstanceID, stream platform.Stream, entry platform.Entry) bool {
	peer := s.peers[from]
	if peer != nil && peer.ids[entry.ID] != nil {
		return true
	}
	if s.entries >= s.cfg.MaxEntries || s.bytes+size(entry) > s.cfg.MaxBytes {
		return false
	}
	if peer == nil {
		peer = &peerCopies{ids: map[string]*storedCopy{}}
	}
	if len(peer.items) >= s.cfg.MaxPerPeer {
		return false
	}
	s.peers[from] = peer
	item := &storedCopy{entry: entry, stream: stream}
	peer.items = append(peer.items, item)
	peer.ids[entry.ID] = item
	s.entries++
	s.bytes += size(entry)
	return true
}

// RemoveSettled removes the copies of the peer's entries with the given IDs, which
// the caller knows to be in the log.
func (s *Store) RemoveSettled(from platform.InstanceID, ids []string) {
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
	peer.items = slices.DeleteFunc(peer.items, func(item *storedCopy) bool {
		return peer.ids[item.entry.ID] != item
	})
	if len(peer.items) == 0 {
		delete(s.peers, from)
	}
}

// Orphans returns the entries of peers that have been gone for
// [StoreConfig.GoneAfter] and those due by [StoreConfig.AdoptAfter], ordered by
// peer and grouped by stream in order of arrival. Each entry is returned once,
// and again after [Store.RecordFailure].
func (s *Store) Orphans(now time.Time, isGone func(platform.InstanceID) bool) []Orphan {
	var orphans []Orphan
	for _, from := range s.sortedPeers() {
		peer := s.peers[from]
		if !isGone(from) {
			peer.goneSince = time.Time{}
		} else if peer.goneSince.IsZero() {
			peer.goneSince = now
		}
		isOrphaned := !peer.goneSince.IsZero() && now.Sub(peer.goneSince) >= s.cfg.GoneAfter
		due := func(item *storedCopy) bool { return isOrphaned || now.Sub(item.firstChecked) >= s.cfg.AdoptAfter }
		orphans = append(orphans, peer.takeDue(now, from, due)...)
	}
	return orphans
}

// RecordFailure records that entries returned by [Store.Orphans] could not be
// appended. Orphans returns them again.
func (s *Store) RecordFailure(from platform.InstanceID, ids []string) {
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

// Contains reports whether the store has a copy of the peer's entry.
func (s *Store) Contains(from platform.InstanceID, id string) bool {
	peer := s.peers[from]
	return peer != nil && peer.ids[id] != nil
}

// Len returns the number of stored entries.
func (s *Store) Len() int { return s.entries }

// Bytes returns the total size of the bodies and IDs of the stored entries.
func (s *Store) Bytes() int { return s.bytes }

func (s *Store) sortedPeers() []platform.InstanceID {
	ids := make([]platform.InstanceID, 0, len(s.peers))
	for id := range s.peers {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, cmp.Compare)
	return ids
}

// takeDue returns the peer's entries that are due and not handed out yet, grouped
// by stream, and marks them as handed out.
func (p *peerCopies) takeDue(now time.Time, from platform.InstanceID, due func(*storedCopy) bool) []Orphan {
	var orphans []Orphan
	for _, item := range p.items {
		if item.firstChecked.IsZero() {
			item.firstChecked = now
		}
		if item.handedOut || !due(item) {
			continue
		}
		item.handedOut = true
		i := slices.IndexFunc(orphans, func(o Orphan) bool { return o.Stream == item.stream })
		if i < 0 {
			i = len(orphans)
			orphans = append(orphans, Orphan{From: from, Stream: item.stream})
		}
		orphans[i].Entries = append(orphans[i].Entries, item.entry)
	}
	return orphans
}

func size(entry platform.Entry) int { return len(entry.ID) + len(entry.Body) }
