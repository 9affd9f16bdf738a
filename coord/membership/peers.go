package membership

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Bounds of [Peers].
const (
	// MaxLocalZonePeers bounds the peers in the table from the local
	// availability zone.
	MaxLocalZonePeers = 64
	// MaxOtherZonePeers bounds the peers in the table from any one zone other
	// than the local one.
	MaxOtherZonePeers = 8
	// MaxOtherZones bounds the number of other zones with peers in the table.
	MaxOtherZones = 64
	// MaxDepartedIDs bounds the remembered IDs of peers that have left.
	MaxDepartedIDs = 4096
	// MaxKnownPeers bounds the peers that one digest passes on.
	MaxKnownPeers = 2
	// MaxNameBytes bounds the ID, zone and address in a digest.
	MaxNameBytes = 128
)

// PeersConfig holds the intervals and limits of [Peers]. Zero fields take the
// defaults of [DefaultPeersConfig].
type PeersConfig struct {
	// Interval is the time between exchanges with a peer of the local zone.
	Interval time.Duration
	// OtherZoneInterval is the time between exchanges with a contact in
	// another zone while the local zone has at most OtherZoneBaseSize live
	// instances. In a larger zone it grows in proportion, so that the rate of
	// exchanges between two zones does not depend on their sizes.
	OtherZoneInterval time.Duration
	OtherZoneBaseSize int
	// OtherZoneContacts is the number of peers in every other zone with which
	// digests are exchanged.
	OtherZoneContacts int
	// SuspectIntervals and DeadIntervals are the lengths of silence after
	// which a peer is suspect and dead, in exchange intervals of its zone.
	SuspectIntervals int
	DeadIntervals    int
	// RemoveAfter is how long a dead peer is kept in the table. During this
	// time, digests of other peers that still pass it on do not add it again.
	RemoveAfter time.Duration
	// MaxTargets bounds the peers that one call of [Peers.DueTargets] returns.
	MaxTargets int
}

// DefaultPeersConfig returns the default intervals and limits. They suit a fleet
// of any size.
func DefaultPeersConfig() PeersConfig {
	return PeersConfig{
		Interval:          time.Second,
		OtherZoneInterval: 4 * time.Second,
		OtherZoneBaseSize: 6,
		OtherZoneContacts: 2,
		SuspectIntervals:  3,
		DeadIntervals:     10,
		RemoveAfter:       2 * time.Minute,
		MaxTargets:        32,
	}
}

// KnownPeer is the ID, zone and address of a peer, as passed on in a digest.
type KnownPeer struct {
	ID      platform.InstanceID `json:"id"`
	Zone    platform.Zone       `json:"zone"`
	Address string              `json:"address"`
}

// Digest is the state that an instance sends in one heartbeat.
type Digest struct {
	ID      platform.InstanceID `json:"id"`
	Zone    platform.Zone       `json:"zone"`
	Address string              `json:"address"`
	// Sequence increases with each digest of an instance.
	Sequence    uint64          `json:"sequence"`
	Leaving     bool            `json:"leaving,omitempty"`
	ControlNext platform.Offset `json:"control_next"`
	Peers       []KnownPeer     `json:"peers,omitempty"`
}

// Peers is the table of the other instances. It is not safe for concurrent
// use.
type Peers struct {
	self     Peer
	cfg      PeersConfig
	sequence uint64
	peers    map[platform.InstanceID]*peerEntry
	order    []*peerEntry // entries of peers, sorted by ID
	departed *boundedSet[platform.InstanceID]
	// zoneSize is the number of live instances in the local zone at the last
	// tick.
	zoneSize int
	// zoneSizes holds the sizes of other zones as their instances tell them.
	zoneSizes map[platform.Zone]knownZoneSize
}

type peerEntry struct {
	Peer
	sequence       uint64
	score          uint64 // rendezvous score with self as the key
	firstContacted time.Time
	lastContacted  time.Time
	diedAt         time.Time
}

// NewPeers returns a table without any peer.
func NewPeers(self Peer, cfg PeersConfig) *Peers {
	self.Liveness = Alive
	return &Peers{
		self:     self,
		cfg:      cfg.withDefaults(),
		peers:    map[platform.InstanceID]*peerEntry{},
		departed: newBoundedSet[platform.InstanceID](MaxDepartedIDs),

		zoneSizes: make(map[platform.Zone]knownZoneSize),
	}
}

// HandleDigest merges a digest received from the peer itself. It reports whether
// the digest was used. A digest is ignored if it is malformed or of this instance,
// if the peer has left, or if the table has no room for the peer. Unless it
// announces the peer's departure, it is also ignored if it is not newer than the
// last one of the same peer.
func (p *Peers) HandleDigest(now time.Time, digest Digest) bool {
	if !isWellFormed(digest.ID, digest.Zone, digest.Address) || digest.ID == p.self.ID {
		return false
	}
	if p.departed.has(digest.ID) {
		return false
	}
	if digest.Leaving {
		p.markDeparted(digest.ID)
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
		p.AddUnconfirmed(known)
	}
	return true
}

// AddUnconfirmed adds a peer that was learned from a third party. It does nothing
// if the peer is already in the table or has left, or if there is no room for it.
func (p *Peers) AddUnconfirmed(known KnownPeer) {
	if !isWellFormed(known.ID, known.Zone, known.Address) || known.ID == p.self.ID {
		return
	}
	if _, ok := p.peers[known.ID]; ok || p.departed.has(known.ID) {
		return
	}
	p.insert(&peerEntry{
		Peer: Peer{ID: known.ID, Zone: known.Zone, Address: known.Address, Liveness: Unconfirmed},
	})
}

// Tick marks silent peers as suspect and dead, and removes those that have been
// dead for RemoveAfter.
func (p *Peers) Tick(now time.Time) {
	p.order = slices.DeleteFunc(p.order, func(entry *peerEntry) bool {
		p.updateLiveness(now, entry)
		expired := entry.Liveness == Dead && now.Sub(entry.diedAt) >= p.cfg.RemoveAfter
		if expired {
			delete(p.peers, entry.ID)
		}
		return expired
	})
	p.zoneSize = len(p.Live(p.self.Zone))
}

// DueTargets returns at most MaxTargets peers to exchange digests with now, those
// without an exchange for the longest time first, and records them as contacted.
func (p *Peers) DueTargets(now time.Time, rnd *rand.Rand) []Peer {
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
		entry.lastContacted = now
		if entry.firstContacted.IsZero() {
			entry.firstContacted = now
		}
		targets = append(targets, entry.Peer)
	}
	return targets
}

// Live returns the instances of the zone that are alive, ordered by ID. It
// includes self unless this instance is leaving.
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

// All returns all peers in the table, ordered by ID, without self.
func (p *Peers) All() []Peer {
	all := make([]Peer, 0, len(p.peers))
	for _, entry := range p.order {
		all = append(all, entry.Peer)
	}
	return all
}

// ZoneOf returns the zone of a known instance, empty if it is unknown.
func (p *Peers) ZoneOf(id platform.InstanceID) platform.Zone {
	if entry, ok := p.peers[id]; ok {
		return entry.Zone
	}
	return ""
}

// Self returns this instance.
func (p *Peers) Self() Peer { return p.self }

// SetControlNext sets the next offset of the control stream that this instance
// needs, as reported in its digests. It never decreases.
func (p *Peers) SetControlNext(next platform.Offset) {
	p.self.ControlNext = max(p.self.ControlNext, next)
}

// Leave marks this instance as leaving in all further digests.
func (p *Peers) Leave() { p.self.Liveness = Left }

// Digest returns the next digest of this instance. It includes at most
// [MaxKnownPeers] of the peers that are alive, chosen at random.
func (p *Peers) Digest(rnd *rand.Rand) Digest {
	p.sequence++
	return Digest{
		ID:          p.self.ID,
		Zone:        p.self.Zone,
		Address:     p.self.Address,
		Sequence:    p.sequence,
		Leaving:     p.self.Liveness == Left,
		ControlNext: p.self.ControlNext,
		Peers:       p.sampleAlive(rnd),
	}
}

func (c PeersConfig) withDefaults() PeersConfig {
	defaults := DefaultPeersConfig()
	return PeersConfig{
		Interval:          cmp.Or(c.Interval, defaults.Interval),
		OtherZoneInterval: cmp.Or(c.OtherZoneInterval, defaults.OtherZoneInterval),
		OtherZoneBaseSize: cmp.Or(c.OtherZoneBaseSize, defaults.OtherZoneBaseSize),
		OtherZoneContacts: cmp.Or(c.OtherZoneContacts, defaults.OtherZoneContacts),
		SuspectIntervals:  cmp.Or(c.SuspectIntervals, defaults.SuspectIntervals),
		DeadIntervals:     cmp.Or(c.DeadIntervals, defaults.DeadIntervals),
		RemoveAfter:       cmp.Or(c.RemoveAfter, defaults.RemoveAfter),
		MaxTargets:        cmp.Or(c.MaxTargets, defaults.MaxTargets),
	}
}

// sampleAlive returns at most MaxKnownPeers live peers, starting at a random
// one. Peers that have not sent a digest themselves are not passed on; otherwise
// instances would keep reintroducing a dead peer to each other.
func (p *Peers) sampleAlive(rnd *rand.Rand) []KnownPeer {
	if len(p.order) == 0 {
		return nil
	}
	var known []KnownPeer
	start := rnd.IntN(len(p.order))
	for i := range p.order {
		peer := p.order[(start+i)%len(p.order)]
		if len(known) == MaxKnownPeers {
			break
		}
		if peer.Liveness == Alive {
			known = append(known, KnownPeer{ID: peer.ID, Zone: peer.Zone, Address: peer.Address})
		}
	}
	return known
}

// contacts returns the peers to exchange digests with: all of the local zone,
// and of every other zone the OtherZoneContacts most preferred. Dead peers of the
// local zone are contacted at the usual interval until they are removed.
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

// comparePreference orders the peers of one zone: live ones first, by their
// score for this instance; then the others, those not contacted for the longest
// time first, so that all of them are tried in turn and stale addresses cannot
// block the rest.
func comparePreference(a, b *peerEntry) int {
	if aAlive, bAlive := a.Liveness == Alive, b.Liveness == Alive; aAlive != bAlive {
		if aAlive {
			return -1
		}
		return 1
	}
	if order := a.lastContacted.Compare(b.lastContacted); order != 0 && a.Liveness != Alive {
		return order
	}
	if order := cmp.Compare(b.score, a.score); order != 0 {
		return order
	}
	return cmp.Compare(a.ID, b.ID)
}

// insert adds the entry. If the table has no room for another peer of the entry's
// zone, the least preferred peer of the zone is evicted, or the entry is rejected
// if it is itself the least preferred. The first peer of a zone is rejected if
// there are MaxOtherZones already. insert reports whether the entry was added.
func (p *Peers) insert(entry *peerEntry) bool {
	entry.score = score(string(p.self.ID), string(entry.ID))
	bound := MaxOtherZonePeers
	if entry.Zone == p.self.Zone {
		bound = MaxLocalZonePeers
	}
	count, worst := 0, entry
	for _, other := range p.order {
		if other.Zone != entry.Zone {
			continue
		}
		count++
		if comparePreference(other, worst) > 0 {
			worst = other
		}
	}
	if count == 0 && !p.hasRoomForZone(entry.Zone) {
		return false
	}
	if count >= bound {
		if worst == entry {
			return false
		}
		p.remove(worst.ID)
	}
	p.peers[entry.ID] = entry
	index, _ := p.find(entry.ID)
	p.order = slices.Insert(p.order, index, entry)
	return true
}

// hasRoomForZone reports whether a first peer of the zone may be added.
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
	if index, ok := p.find(id); ok {
		p.order = slices.Delete(p.order, index, index+1)
		delete(p.peers, id)
	}
}

// find returns the index of the peer in p.order, or the index at which to insert
// it, and whether the peer is in the table.
func (p *Peers) find(id platform.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(p.order, id, func(entry *peerEntry, id platform.InstanceID) int {
		return cmp.Compare(entry.ID, id)
	})
}

// markDeparted removes the peer and remembers its ID, so that all its further
// digests are ignored.
func (p *Peers) markDeparted(id platform.InstanceID) {
	p.departed.add(id)
	p.remove(id)
}

// updateLiveness marks the peer as suspect or dead according to its silence. A
// peer that never sent a digest has been silent since it was first contacted.
func (p *Peers) updateLiveness(now time.Time, entry *peerEntry) {
	interval := p.interval(entry.Zone)
	suspectAfter := interval * time.Duration(p.cfg.SuspectIntervals)
	deadAfter := interval * time.Duration(p.cfg.DeadIntervals)
	silence := now.Sub(entry.LastSeen)
	if entry.Liveness == Unconfirmed {
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

// lastExchange returns the time of the last contact attempt or the last digest
// received, whichever is later.
func (p *Peers) lastExchange(entry *peerEntry) time.Time {
	if entry.lastContacted.After(entry.LastSeen) {
		return entry.lastContacted
	}
	return entry.LastSeen
}

// interval returns the time between exchanges with a peer of the zone.
func (p *Peers) interval(zone platform.Zone) time.Duration {
	if zone == p.self.Zone {
		return p.cfg.Interval
	}
	baseSize := p.cfg.OtherZoneBaseSize
	return p.cfg.OtherZoneInterval * time.Duration(max(p.zoneSize, baseSize)) / time.Duration(baseSize)
}

// isWellFormed reports whether the ID and zone are set and no field is too long.
func isWellFormed(id platform.InstanceID, zone platform.Zone, address string) bool {
	return id != "" && zone != "" &&
		len(id) <= MaxNameBytes && len(zone) <= MaxNameBytes && len(address) <= MaxNameBytes
}

func sortByID(peers []Peer) {
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
}
