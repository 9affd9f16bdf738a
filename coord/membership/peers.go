package membership

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Bounds of the table of peers.
const (
	// MaxOwnZonePeers bounds the peers kept of the own availability zone.
	MaxOwnZonePeers = 64
	// MaxOtherZonePeers bounds the peers kept of each other zone.
	MaxOtherZonePeers = 8
	// MaxOtherZones bounds the other zones kept.
	MaxOtherZones = 64
	// MaxDepartures bounds the IDs remembered of peers that left.
	MaxDepartures = 4096
	// MaxKnownPeers bounds the peers that one digest passes on.
	MaxKnownPeers = 2
	// MaxNameBytes bounds the ID, zone and address in a digest.
	MaxNameBytes = 128
)

// PeersConfig sets the intervals of the table. Zero fields take the defaults
// of [DefaultPeersConfig].
type PeersConfig struct {
	// Interval is the time between exchanges with a peer of the own zone.
	Interval time.Duration
	// OtherZoneInterval is the time between exchanges with a contact in
	// another zone, while the own zone has up to OtherZoneShare live
	// instances. It grows in proportion beyond, so that the exchanges between
	// two zones do not grow with their sizes.
	OtherZoneInterval time.Duration
	OtherZoneShare    int
	// OtherZoneContacts is the number of contacts kept in each other zone.
	OtherZoneContacts int
	// SuspectIntervals and DeadIntervals are the silences, in intervals of
	// the peer's zone, after which it is suspect and dead.
	SuspectIntervals int
	DeadIntervals    int
	// ForgetAfter is how long a dead peer is kept, so that hearsay does not
	// bring it back.
	ForgetAfter time.Duration
	// MaxTargets bounds the exchanges begun in one tick.
	MaxTargets int
}

// DefaultPeersConfig returns the intervals for a fleet of any size.
func DefaultPeersConfig() PeersConfig {
	return PeersConfig{
		Interval:          time.Second,
		OtherZoneInterval: 4 * time.Second,
		OtherZoneShare:    6,
		OtherZoneContacts: 2,
		SuspectIntervals:  3,
		DeadIntervals:     10,
		ForgetAfter:       2 * time.Minute,
		MaxTargets:        32,
	}
}

// KnownPeer is a peer that a digest passes on.
type KnownPeer struct {
	ID      platform.InstanceID `json:"id"`
	Zone    platform.Zone       `json:"zone"`
	Address string              `json:"address"`
}

// Digest is what a peer tells about itself in one heartbeat.
type Digest struct {
	ID      platform.InstanceID `json:"id"`
	Zone    platform.Zone       `json:"zone"`
	Address string              `json:"address"`
	// Sequence grows from digest to digest of one instance.
	Sequence    uint64          `json:"sequence"`
	Leaving     bool            `json:"leaving,omitempty"`
	ControlNext platform.Offset `json:"control_next"`
	Peers       []KnownPeer     `json:"peers,omitempty"`
}

// Peers is the table of the other instances. It is not safe for concurrent
// use.
type Peers struct {
	self       Peer
	cfg        PeersConfig
	sequence   uint64
	peers      map[platform.InstanceID]*peerEntry
	order      []*peerEntry // the same, by ID
	departures *latch[platform.InstanceID]
	// zoneSize is the number of live instances of the own zone at the last
	// tick.
	zoneSize int
}

type peerEntry struct {
	Peer
	sequence       uint64
	score          uint64 // for self as the key
	firstContacted time.Time
	contacted      time.Time
	diedAt         time.Time
}

// NewPeers returns a table that knows self only.
func NewPeers(self Peer, cfg PeersConfig) *Peers {
	self.Liveness = Alive
	return &Peers{
		self:       self,
		cfg:        cfg.withDefaults(),
		peers:      map[platform.InstanceID]*peerEntry{},
		departures: newLatch[platform.InstanceID](MaxDepartures),
	}
}

// Heard takes in a digest that came from the peer itself. It reports whether
// the digest was news: one that is not newer than the last of the same
// instance changes nothing, nor does any after the peer left.
func (p *Peers) Heard(now time.Time, digest Digest) bool {
	if !wellFormed(digest.ID, digest.Zone, digest.Address) || digest.ID == p.self.ID {
		return false
	}
	if p.departures.has(digest.ID) {
		return false
	}
	if digest.Leaving {
		p.depart(digest.ID)
		return true
	}
	entry, ok := p.peers[digest.ID]
	if ok && digest.Sequence <= entry.sequence {
		return false
	}
	if !ok {
		entry = &peerEntry{Peer: Peer{ID: digest.ID, Zone: digest.Zone}}
		if !p.insert(entry) {
			return false
		}
	}
	entry.sequence = digest.Sequence
	entry.Address = digest.Address
	entry.Liveness = Alive
	entry.LastSeen = now
	entry.ControlNext = max(entry.ControlNext, digest.ControlNext)
	for _, known := range digest.Peers[:min(len(digest.Peers), MaxKnownPeers)] {
		p.Introduce(known)
	}
	return true
}

// Introduce adds a peer known by hearsay. It changes nothing about a peer that
// the table has already.
func (p *Peers) Introduce(known KnownPeer) {
	if !wellFormed(known.ID, known.Zone, known.Address) || known.ID == p.self.ID {
		return
	}
	if _, ok := p.peers[known.ID]; ok || p.departures.has(known.ID) {
		return
	}
	p.insert(&peerEntry{
		Peer: Peer{ID: known.ID, Zone: known.Zone, Address: known.Address, Liveness: Unheard},
	})
}

// Tick moves silent peers on to suspect and dead, and forgets those that have
// been dead for long.
func (p *Peers) Tick(now time.Time) {
	p.order = slices.DeleteFunc(p.order, func(entry *peerEntry) bool {
		p.age(now, entry)
		forgotten := entry.Liveness == Dead && now.Sub(entry.diedAt) >= p.cfg.ForgetAfter
		if forgotten {
			delete(p.peers, entry.ID)
		}
		return forgotten
	})
	p.zoneSize = len(p.Live(p.self.Zone))
}

// Targets returns the peers to exchange digests with now, the longest overdue
// first, and takes them as contacted.
func (p *Peers) Targets(now time.Time, rnd *rand.Rand) []Peer {
	var due []*peerEntry
	for _, entry := range p.contacts() {
		if now.Sub(p.lastExchange(entry)) >= p.interval(entry.Zone) {
			due = append(due, entry)
		}
	}
	rnd.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	slices.SortStableFunc(due, func(a, b *peerEntry) int {
		return p.lastExchange(a).Compare(p.lastExchange(b))
	})
	var targets []Peer
	for _, entry := range due[:min(len(due), p.cfg.MaxTargets)] {
		entry.contacted = now
		if entry.firstContacted.IsZero() {
			entry.firstContacted = now
		}
		targets = append(targets, entry.Peer)
	}
	return targets
}

// Live returns the instances of the zone believed alive, by ID, self included
// unless it leaves.
func (p *Peers) Live(zone platform.Zone) []Peer {
	var live []Peer
	if zone == p.self.Zone && p.self.Liveness == Alive {
		live = append(live, p.self)
	}
	for _, entry := range p.order {
		if entry.Zone == zone && entry.Liveness == Alive {
			live = append(live, entry.Peer)
		}
	}
	sortByID(live)
	return live
}

// All returns all peers in the table by ID, without self.
func (p *Peers) All() []Peer {
	all := make([]Peer, 0, len(p.peers))
	for _, entry := range p.order {
		all = append(all, entry.Peer)
	}
	return all
}

// Self returns this instance.
func (p *Peers) Self() Peer { return p.self }

// SetControlNext notes the offset that this instance wants next of the control
// stream, for its digests.
func (p *Peers) SetControlNext(next platform.Offset) {
	p.self.ControlNext = max(p.self.ControlNext, next)
}

// Leave makes all further digests say that this instance leaves.
func (p *Peers) Leave() { p.self.Liveness = Left }

// Digest returns the next digest of this instance. It passes on at most
// [MaxKnownPeers] peers, drawn at random from those heard lately.
func (p *Peers) Digest(rnd *rand.Rand) Digest {
	p.sequence++
	return Digest{
		ID:          p.self.ID,
		Zone:        p.self.Zone,
		Address:     p.self.Address,
		Sequence:    p.sequence,
		Leaving:     p.self.Liveness == Left,
		ControlNext: p.self.ControlNext,
		Peers:       p.sample(rnd),
	}
}

func (c PeersConfig) withDefaults() PeersConfig {
	defaults := DefaultPeersConfig()
	return PeersConfig{
		Interval:          cmp.Or(c.Interval, defaults.Interval),
		OtherZoneInterval: cmp.Or(c.OtherZoneInterval, defaults.OtherZoneInterval),
		OtherZoneShare:    cmp.Or(c.OtherZoneShare, defaults.OtherZoneShare),
		OtherZoneContacts: cmp.Or(c.OtherZoneContacts, defaults.OtherZoneContacts),
		SuspectIntervals:  cmp.Or(c.SuspectIntervals, defaults.SuspectIntervals),
		DeadIntervals:     cmp.Or(c.DeadIntervals, defaults.DeadIntervals),
		ForgetAfter:       cmp.Or(c.ForgetAfter, defaults.ForgetAfter),
		MaxTargets:        cmp.Or(c.MaxTargets, defaults.MaxTargets),
	}
}

// sample draws from the peers heard themselves. Hearsay is not passed on, or a
// dead peer would be kept alive by rumour.
func (p *Peers) sample(rnd *rand.Rand) []KnownPeer {
	if len(p.order) == 0 {
		return nil
	}
	var known []KnownPeer
	begin := rnd.IntN(len(p.order))
	for i := range p.order {
		peer := p.order[(begin+i)%len(p.order)]
		if len(known) == MaxKnownPeers {
			break
		}
		if peer.Liveness == Alive {
			known = append(known, KnownPeer{ID: peer.ID, Zone: peer.Zone, Address: peer.Address})
		}
	}
	return known
}

// contacts returns the peers to exchange digests with: all of the own zone,
// and the most preferred few of every other one. Dead peers of the own zone
// are tried on, at the usual interval, until they are forgotten.
func (p *Peers) contacts() []*peerEntry {
	var contacts []*peerEntry
	others := map[platform.Zone][]*peerEntry{}
	for _, entry := range p.order {
		if entry.Zone == p.self.Zone {
			contacts = append(contacts, entry)
		} else {
			others[entry.Zone] = append(others[entry.Zone], entry)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(others)) {
		entries := others[zone]
		slices.SortFunc(entries, comparePreference)
		contacts = append(contacts, entries[:min(len(entries), p.cfg.OtherZoneContacts)]...)
	}
	return contacts
}

// comparePreference orders peers of one zone: those alive first, by their score
// for this instance; then the others, those longest untried first, so that all
// of them are tried in turn and no stale hearsay stands in their way.
func comparePreference(a, b *peerEntry) int {
	if aAlive, bAlive := a.Liveness == Alive, b.Liveness == Alive; aAlive != bAlive {
		if aAlive {
			return -1
		}
		return 1
	}
	if order := a.contacted.Compare(b.contacted); order != 0 && a.Liveness != Alive {
		return order
	}
	if order := cmp.Compare(b.score, a.score); order != 0 {
		return order
	}
	return cmp.Compare(a.ID, b.ID)
}

// insert adds the entry, if need be in place of the least preferred peer of
// its zone. It reports whether the entry is in the table.
func (p *Peers) insert(entry *peerEntry) bool {
	entry.score = score(string(p.self.ID), string(entry.ID))
	bound := MaxOtherZonePeers
	if entry.Zone == p.self.Zone {
		bound = MaxOwnZonePeers
	}
	count, last := 0, entry
	for _, other := range p.order {
		if other.Zone != entry.Zone {
			continue
		}
		count++
		if comparePreference(other, last) > 0 {
			last = other
		}
	}
	if count == 0 && !p.hasRoomForZone(entry.Zone) {
		return false
	}
	if count >= bound {
		if last == entry {
			return false
		}
		p.remove(last.ID)
	}
	p.peers[entry.ID] = entry
	place, _ := p.find(entry.ID)
	p.order = slices.Insert(p.order, place, entry)
	return true
}

// hasRoomForZone reports whether a peer of a zone without peers may be added.
func (p *Peers) hasRoomForZone(zone platform.Zone) bool {
	if zone == p.self.Zone {
		return true
	}
	zones := map[platform.Zone]bool{}
	for _, entry := range p.order {
		zones[entry.Zone] = true
	}
	delete(zones, p.self.Zone)
	return len(zones) < MaxOtherZones
}

func (p *Peers) remove(id platform.InstanceID) {
	if place, ok := p.find(id); ok {
		p.order = slices.Delete(p.order, place, place+1)
		delete(p.peers, id)
	}
}

// find returns the peer's place in the order by ID.
func (p *Peers) find(id platform.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(p.order, id, func(entry *peerEntry, id platform.InstanceID) int {
		return cmp.Compare(entry.ID, id)
	})
}

func (p *Peers) depart(id platform.InstanceID) {
	p.departures.add(id)
	p.remove(id)
}

func (p *Peers) age(now time.Time, entry *peerEntry) {
	interval := p.interval(entry.Zone)
	suspectAfter := interval * time.Duration(p.cfg.SuspectIntervals)
	deadAfter := interval * time.Duration(p.cfg.DeadIntervals)
	silence := now.Sub(entry.LastSeen)
	if entry.Liveness == Unheard {
		silence = 0
		if !entry.firstContacted.IsZero() {
			silence = now.Sub(entry.firstContacted)
		}
	}
	switch {
	case entry.Liveness == Dead:
	case silence >= deadAfter:
		entry.Liveness = Dead
		entry.diedAt = now
	case silence >= suspectAfter && entry.Liveness == Alive:
		entry.Liveness = Suspect
	}
}

// lastExchange is the last time that digests were, or may have been, swapped
// with the peer.
func (p *Peers) lastExchange(entry *peerEntry) time.Time {
	if entry.contacted.After(entry.LastSeen) {
		return entry.contacted
	}
	return entry.LastSeen
}

func (p *Peers) interval(zone platform.Zone) time.Duration {
	if zone == p.self.Zone {
		return p.cfg.Interval
	}
	share := p.cfg.OtherZoneShare
	return p.cfg.OtherZoneInterval * time.Duration(max(p.zoneSize, share)) / time.Duration(share)
}

func wellFormed(id platform.InstanceID, zone platform.Zone, address string) bool {
	return id != "" && zone != "" &&
		len(id) <= MaxNameBytes && len(zone) <= MaxNameBytes && len(address) <= MaxNameBytes
}

func sortByID(peers []Peer) {
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
}
