package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Bounds of the endpoint tracker.
const (
	// MaxEndpoints bounds the tracked endpoints, and the sightings queued for
	// peers.
	MaxEndpoints = 8192
	// MaxLeavingIDs bounds the EndpointIDs that are remembered as leaving,
	// including those of endpoints already removed.
	MaxLeavingIDs = 8192
	// MaxSightings bounds the sightings in one digest.
	MaxSightings = 64
	// MaxSightingPeers bounds the peers whose delivery state is kept for one
	// sighting.
	MaxSightingPeers = 256
	// MaxBroadcasts bounds the number of times that [Endpoints.Sightings]
	// returns a sighting.
	MaxBroadcasts = 10
)

// EndpointsConfig holds the periods and thresholds of [Endpoints]. Zero fields
// take the defaults of [DefaultEndpointsConfig].
type EndpointsConfig struct {
	// RemoveAfter is how long an endpoint stays in use after the first newer
	// list that omits it.
	RemoveAfter time.Duration
	// FailureThreshold is the number of consecutive failures after which an
	// endpoint is down.
	FailureThreshold int
	// DownPeriod is how long an endpoint is down the first time. It doubles
	// each time the endpoint goes down again without a success in between, up
	// to MaxDownPeriod.
	DownPeriod    time.Duration
	MaxDownPeriod time.Duration
	// SuccessTTL is how long a success that this instance recorded outweighs
	// a peer's sighting that the endpoint is dead.
	SuccessTTL time.Duration
	// SightingTTL is how long a sighting is sent to peers.
	SightingTTL time.Duration
}

// DefaultEndpointsConfig returns the default periods and thresholds.
func DefaultEndpointsConfig() EndpointsConfig {
	return EndpointsConfig{
		RemoveAfter:      30 * time.Second,
		FailureThreshold: 3,
		DownPeriod:       2 * time.Second,
		MaxDownPeriod:    30 * time.Second,
		SuccessTTL:       2 * time.Second,
		SightingTTL:      5 * time.Minute,
	}
}

// Sighting is a report on one endpoint that an instance sends to its peers.
type Sighting struct {
	ID      platform.EndpointID `json:"id"`
	Leaving bool                `json:"leaving,omitempty"`
	Dead    bool                `json:"dead,omitempty"`
}

// Endpoints tracks the state of endpoints as reported by the instance list, by
// the endpoints themselves and by peers. It is not safe for concurrent use.
type Endpoints struct {
	cfg        EndpointsConfig
	version    uint64
	hasListing bool
	now        time.Time
	endpoints  map[platform.EndpointID]*endpointEntry
	leaving    *boundedSet[platform.EndpointID]
	outgoing   map[platform.EndpointID]*outgoingSighting
}

type endpointEntry struct {
	platform.ListedEndpoint
	leaving          bool
	absent           bool
	absentSince      time.Time
	failures         int
	consecutiveDowns int
	downUntil        time.Time
	down             bool
	lastSuccess      time.Time
}

// outgoingSighting is a sighting queued for peers, with its delivery state for
// each of them.
type outgoingSighting struct {
	sighting   Sighting
	startedAt  time.Time // zero until the next call of expire
	deliveries map[platform.InstanceID]*sightingDelivery
}

// sightingDelivery is the delivery state of a sighting for one peer. The
// acknowledgement is the peer's own "leaving" sighting of the same endpoint;
// sending a digest is not enough, since the digest may be lost. A "dead" sighting
// is never acknowledged.
type sightingDelivery struct {
	acknowledged bool // the peer has reported the same sighting
	sent         int  // times sent to the peer since its last repeated report
}

// NewEndpoints returns an empty tracker.
func NewEndpoints(cfg EndpointsConfig) *Endpoints {
	return &Endpoints{
		cfg:       cfg.withDefaults(),
		endpoints: map[platform.EndpointID]*endpointEntry{},
		leaving:   newBoundedSet[platform.EndpointID](MaxLeavingIDs),
		outgoing:  map[platform.EndpointID]*outgoingSighting{},
	}
}

// MergeListing merges an answer of the instance list. It reports whether the
// answer was used; an answer older than the newest one seen is ignored.
func (e *Endpoints) MergeListing(now time.Time, listing platform.InstanceListing) bool {
	e.advanceClock(now)
	if e.hasListing && listing.Version < e.version {
		return false
	}
	e.hasListing = true
	e.version = listing.Version
	present := make(map[platform.EndpointID]bool, len(listing.Endpoints))
	for _, listed := range listing.Endpoints {
		present[listed.ID] = true
		e.mergeListedEndpoint(listed)
	}
	for id, entry := range e.endpoints {
		if present[id] {
			entry.absent = false
			continue
		}
		if !entry.absent {
			entry.absent = true
			entry.absentSince = e.now
		}
	}
	e.expire()
	return true
}

// MarkLeaving marks the endpoint as leaving, as reported by the endpoint itself.
func (e *Endpoints) MarkLeaving(id platform.EndpointID) { e.markLeaving(id) }

// MergeAnonymousSighting merges a sighting whose sender is unknown. It is not an
// acknowledgement by any peer.
func (e *Endpoints) MergeAnonymousSighting(now time.Time, id platform.EndpointID, leaving, dead bool) {
	e.MergeSighting(now, "", Sighting{ID: id, Leaving: leaving, Dead: dead})
}

// MergeSighting merges a peer's sighting. A "dead" sighting is ignored if the
// endpoint is unknown or already down, or if this instance's last success with
// the endpoint is less than SuccessTTL old.
func (e *Endpoints) MergeSighting(now time.Time, peer platform.InstanceID, sighting Sighting) {
	e.advanceClock(now)
	id, dead := sighting.ID, sighting.Dead
	if sighting.Leaving {
		e.markLeaving(id)
		e.acknowledge(peer, id)
	}
	entry, ok := e.endpoints[id]
	if !dead || !ok || entry.down {
		return
	}
	if !entry.lastSuccess.IsZero() && e.now.Sub(entry.lastSuccess) < e.cfg.SuccessTTL {
		return
	}
	e.markDown(entry)
}

// RecordFailure records a failure of the endpoint that this instance observed.
// Once the consecutive failures reach FailureThreshold, the endpoint is down and
// a "dead" sighting is queued for peers.
func (e *Endpoints) RecordFailure(now time.Time, id platform.EndpointID) {
	e.advanceClock(now)
	entry, ok := e.endpoints[id]
	if !ok {
		return
	}
	entry.failures++
	if entry.down || entry.failures < e.cfg.FailureThreshold {
		return
	}
	e.markDown(entry)
	e.enqueueSighting(Sighting{ID: id, Dead: true})
}

// RecordSuccess records that the endpoint served a request of this instance. The
// endpoint is no longer down.
func (e *Endpoints) RecordSuccess(now time.Time, id platform.EndpointID) {
	e.advanceClock(now)
	entry, ok := e.endpoints[id]
	if !ok {
		return
	}
	entry.failures = 0
	entry.consecutiveDowns = 0
	entry.down = false
	entry.lastSuccess = e.now
	if queued, ok := e.outgoing[id]; ok && queued.sighting.Dead {
		delete(e.outgoing, id)
	}
}

// Tick expires down periods and queued sightings, and removes endpoints that
// have been absent from the list for too long.
func (e *Endpoints) Tick(now time.Time) {
	e.advanceClock(now)
	e.expire()
}

// Usable returns the endpoints of the pool that may receive new requests,
// ordered by ID.
func (e *Endpoints) Usable(pool platform.PoolName) []Endpoint {
	var usable []Endpoint
	for _, entry := range e.endpoints {
		if entry.Pool == pool && entry.localState() == EndpointLive {
			usable = append(usable, entry.endpoint())
		}
	}
	sortEndpoints(usable)
	return usable
}

// All returns all endpoints with their state, ordered by ID.
func (e *Endpoints) All() []Endpoint {
	all := make([]Endpoint, 0, len(e.endpoints))
	for _, entry := range e.endpoints {
		all = append(all, entry.endpoint())
	}
	sortEndpoints(all)
	return all
}

// MayDispatch reports whether the endpoint may receive a new request now. The
// dispatcher checks it last, after any queueing.
func (e *Endpoints) MayDispatch(id platform.EndpointID) bool {
	entry, ok := e.endpoints[id]
	return ok && entry.localState() == EndpointLive
}

// Sightings returns at most [MaxSightings] sightings for a broadcast to all
// peers. Each sighting is returned at most [MaxBroadcasts] times. A caller that
// knows its peers should use [Endpoints.SightingsFor], which repeats less and does
// not stop before the peer has the sighting.
func (e *Endpoints) Sightings(now time.Time) []Sighting {
	return e.sightings(now, "", func(delivery *sightingDelivery) bool { return delivery.sent < MaxBroadcasts })
}

// SightingsFor returns at most [MaxSightings] sightings for one peer, those sent
// least often first. A "leaving" sighting is sent at least once and repeated until
// the peer has reported it too, a "dead" one until the endpoint serves a request
// of this instance. So both survive lost digests and network partitions that are
// shorter than SightingTTL.
func (e *Endpoints) SightingsFor(now time.Time, peer platform.InstanceID) []Sighting {
	return e.sightings(now, peer, func(delivery *sightingDelivery) bool { return !delivery.acknowledged || delivery.sent == 0 })
}

func (e *Endpoints) sightings(now time.Time, peer platform.InstanceID, isDue func(*sightingDelivery) bool) []Sighting {
	e.advanceClock(now)
	e.expire()
	var pending []*outgoingSighting
	for _, queued := range e.outgoing {
		if isDue(queued.delivery(peer)) {
			pending = append(pending, queued)
		}
	}
	slices.SortFunc(pending, func(a, b *outgoingSighting) int {
		if order := cmp.Compare(a.delivery(peer).sent, b.delivery(peer).sent); order != 0 {
			return order
		}
		return cmp.Compare(a.sighting.ID, b.sighting.ID)
	})
	var sightings []Sighting
	for _, queued := range pending[:min(len(pending), MaxSightings)] {
		queued.delivery(peer).sent++
		sightings = append(sightings, queued.sighting)
	}
	return sightings
}

// acknowledge records that the peer has the sighting, because the peer itself has
// sent a "leaving" sighting of the endpoint. If the peer sends a second one, it may
// have missed this instance's sighting, which is then sent again.
func (e *Endpoints) acknowledge(peer platform.InstanceID, endpoint platform.EndpointID) {
	queued, ok := e.outgoing[endpoint]
	if !ok || peer == "" {
		return
	}
	delivery := queued.delivery(peer)
	if delivery.acknowledged {
		delivery.sent = 0
	}
	delivery.acknowledged = true
}

// delivery returns the delivery state for the peer. At MaxSightingPeers peers,
// all states are dropped and the sighting is sent to every peer again.
func (s *outgoingSighting) delivery(peer platform.InstanceID) *sightingDelivery {
	delivery, ok := s.deliveries[peer]
	if !ok {
		if len(s.deliveries) >= MaxSightingPeers {
			clear(s.deliveries)
		}
		delivery = &sightingDelivery{}
		s.deliveries[peer] = delivery
	}
	return delivery
}

func (c EndpointsConfig) withDefaults() EndpointsConfig {
	defaults := DefaultEndpointsConfig()
	return EndpointsConfig{
		RemoveAfter:      cmp.Or(c.RemoveAfter, defaults.RemoveAfter),
		FailureThreshold: cmp.Or(c.FailureThreshold, defaults.FailureThreshold),
		DownPeriod:       cmp.Or(c.DownPeriod, defaults.DownPeriod),
		MaxDownPeriod:    cmp.Or(c.MaxDownPeriod, defaults.MaxDownPeriod),
		SuccessTTL:       cmp.Or(c.SuccessTTL, defaults.SuccessTTL),
		SightingTTL:      cmp.Or(c.SightingTTL, defaults.SightingTTL),
	}
}

// advanceClock sets the current time, which never decreases.
func (e *Endpoints) advanceClock(now time.Time) {
	if now.After(e.now) {
		e.now = now
	}
}

// mergeListedEndpoint merges one entry of the instance list. Any state other
// than live makes the endpoint unusable, but only "leaving" is permanent.
func (e *Endpoints) mergeListedEndpoint(listed platform.ListedEndpoint) {
	if listed.ID == "" {
		return
	}
	entry, ok := e.endpoints[listed.ID]
	if !ok {
		if len(e.endpoints) >= MaxEndpoints {
			return
		}
		entry = &endpointEntry{leaving: e.leaving.has(listed.ID)}
		e.endpoints[listed.ID] = entry
	}
	entry.ListedEndpoint = listed
	if listed.State == platform.ListedLeaving {
		e.markLeaving(listed.ID)
	}
}

// markLeaving marks the endpoint as leaving for good and queues a sighting the
// first time.
func (e *Endpoints) markLeaving(id platform.EndpointID) {
	if id == "" || len(id) > MaxNameBytes {
		return
	}
	if entry, ok := e.endpoints[id]; ok {
		entry.leaving = true
	}
	if e.leaving.add(id) {
		e.enqueueSighting(Sighting{ID: id, Leaving: true})
	}
}

// markDown starts a down period of the endpoint and resets its failure count.
func (e *Endpoints) markDown(entry *endpointEntry) {
	period := e.cfg.DownPeriod << min(entry.consecutiveDowns, maxDoublings)
	entry.down = true
	entry.downUntil = e.now.Add(min(period, e.cfg.MaxDownPeriod))
	entry.consecutiveDowns++
	entry.failures = 0
}

// maxDoublings prevents overflow of the doubled period.
const maxDoublings = 10

// enqueueSighting queues a sighting for peers. It does not replace a "leaving"
// sighting of the same endpoint, and drops a sighting of a further endpoint while
// MaxEndpoints are queued.
func (e *Endpoints) enqueueSighting(sighting Sighting) {
	if current, ok := e.outgoing[sighting.ID]; ok && current.sighting.Leaving {
		return
	}
	if _, ok := e.outgoing[sighting.ID]; !ok && len(e.outgoing) >= MaxEndpoints {
		return
	}
	e.outgoing[sighting.ID] = &outgoingSighting{sighting: sighting, deliveries: map[platform.InstanceID]*sightingDelivery{}}
}

// expire ends down periods, removes endpoints that have been absent from the list
// for RemoveAfter and drops sightings that have been queued for SightingTTL.
func (e *Endpoints) expire() {
	for id, entry := range e.endpoints {
		if entry.down && !e.now.Before(entry.downUntil) {
			entry.down = false
		}
		if entry.absent && e.now.Sub(entry.absentSince) >= e.cfg.RemoveAfter {
			delete(e.endpoints, id)
		}
	}
	for id, queued := range e.outgoing {
		if queued.startedAt.IsZero() {
			queued.startedAt = e.now
		}
		if e.now.Sub(queued.startedAt) >= e.cfg.SightingTTL {
			delete(e.outgoing, id)
		}
	}
}

// localState returns the state of the endpoint in this instance's view.
func (e *endpointEntry) localState() EndpointState {
	switch {
	case e.leaving:
		return EndpointLeaving
	case e.down || e.State != platform.ListedLive:
		return EndpointDown
	default:
		return EndpointLive
	}
}

func (e *endpointEntry) endpoint() Endpoint {
	return Endpoint{ListedEndpoint: e.ListedEndpoint, LocalState: e.localState()}
}

func sortEndpoints(endpoints []Endpoint) {
	slices.SortFunc(endpoints, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
}
