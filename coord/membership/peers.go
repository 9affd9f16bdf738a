package membership

import (
	"cmp"
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
	MaxKnownPeers = 8
	// MaxNameBytes bounds the ID, zone and address in a digest.
	MaxNameBytes = 128
)

// PeersConfig sets the intervals of the table. Zero fields take the defaults
// of [DefaultPeersConfig].
type PeersConfig struct {
	// Interval is the time between exchanges with a peer of the own zone.
	Interval time.Duration
	// OtherZoneInterval is the time between exchanges with a contact in
	// another zone.
	OtherZoneInterval time.Duration
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
	departures *latch[platform.InstanceID]
}

type peerEntry struct {
	Peer
	sequence  uint64
	addedAt   time.Time
	contacted time.Time
	diedAt    time.Time
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
		entry = &peerEntry{Peer: Peer{ID: digest.ID, Zone: digest.Zone}, addedAt: now}
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
		p.Introduce(now, known)
	}
	return true
}

// Introduce adds a peer known by hearsay. It changes nothing about a peer that
// the table has already.
func (p *Peers) Introduce(now time.Time, known KnownPeer) {
	if !wellFormed(known.ID, known.Zone, known.Address) || known.ID == p.self.ID {
		return
	}
	if _, ok := p.peers[known.ID]; ok || p.departures.has(known.ID) {
		return
	}
	p.insert(&peerEntry{
		Peer:    Peer{ID: known.ID, Zone: known.Zone, Address: known.Address, Liveness: Unheard},
		addedAt: now,
	})
}

// Tick moves silent peers on to suspect and dead, and forgets those that have
// been dead for long.
func (p *Peers) Tick(now time.Time) {
	for id, entry := range p.peers {
		p.age(now, entry)
		if entry.Liveness == Dead && now.Sub(entry.diedAt) >= p.cfg.ForgetAfter {
			delete(p.peers, id)
		}
	}
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
	for _, entry := range p.peers {
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
	for _, entry := range p.peers {
		all = append(all, entry.Peer)
	}
	sortByID(all)
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
	all := p.All()
	rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	var known []KnownPeer
	for _, peer := range all {
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
// and the best-ranked few of every other one. Dead peers are tried on, at the
// usual interval, until they are forgotten.
func (p *Peers) contacts() []*peerEntry {
	byZone := map[platform.Zone][]*peerEntry{}
	for _, entry := range p.peers {
		byZone[entry.Zone] = append(byZone[entry.Zone], entry)
	}
	var contacts []*peerEntry
	for zone, entries := range byZone {
		p.sortByPreference(entries)
		if zone != p.self.Zone {
			entries = entries[:min(len(entries), p.cfg.OtherZoneContacts)]
		}
		contacts = append(contacts, entries...)
	}
	slices.SortFunc(contacts, func(a, b *peerEntry) int { return cmp.Compare(a.ID, b.ID) })
	return contacts
}

// sortByPreference puts peers that are not dead first, each group by its score
// for this instance.
func (p *Peers) sortByPreference(entries []*peerEntry) {
	slices.SortFunc(entries, func(a, b *peerEntry) int {
		if aDead, bDead := a.Liveness == Dead, b.Liveness == Dead; aDead != bDead {
			if aDead {
				return 1
			}
			return -1
		}
		return compareScores(string(p.self.ID), string(a.ID), string(b.ID))
	})
}

// insert adds the entry, if need be in place of the least preferred peer of
// its zone. It reports whether the entry is in the table.
func (p *Peers) insert(entry *peerEntry) bool {
	bound := MaxOtherZonePeers
	if entry.Zone == p.self.Zone {
		bound = MaxOwnZonePeers
	}
	var zone []*peerEntry
	zones := map[platform.Zone]bool{p.self.Zone: true}
	for _, other := range p.peers {
		zones[other.Zone] = true
		if other.Zone == entry.Zone {
			zone = append(zone, other)
		}
	}
	if !zones[entry.Zone] && len(zones) > MaxOtherZones {
		return false
	}
	p.peers[entry.ID] = entry
	if len(zone) < bound {
		return true
	}
	zone = append(zone, entry)
	p.sortByPreference(zone)
	last := zone[len(zone)-1]
	delete(p.peers, last.ID)
	return last != entry
}

func (p *Peers) depart(id platform.InstanceID) {
	p.departures.add(id)
	delete(p.peers, id)
}

func (p *Peers) age(now time.Time, entry *peerEntry) {
	silence := now.Sub(entry.addedAt)
	if entry.LastSeen.After(entry.addedAt) {
		silence = now.Sub(entry.LastSeen)
	}
	interval := p.interval(entry.Zone)
	switch {
	case entry.Liveness == Dead:
	case silence >= interval*time.Duration(p.cfg.DeadIntervals):
		entry.Liveness = Dead
		entry.diedAt = now
	case silence >= interval*time.Duration(p.cfg.SuspectIntervals) && entry.Liveness == Alive:
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
	return p.cfg.OtherZoneInterval
}

func wellFormed(id platform.InstanceID, zone platform.Zone, address string) bool {
	return id != "" && zone != "" &&
		len(id) <= MaxNameBytes && len(zone) <= MaxNameBytes && len(address) <= MaxNameBytes
}

func sortByID(peers []Peer) {
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
}
