package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Bounds of the endpoint tracker.
const (
	// MaxEndpoints bounds the endpoints tracked.
	MaxEndpoints = 8192
	// MaxLatched bounds the EndpointIDs remembered as leaving after the
	// endpoint itself was forgotten.
	MaxLatched = 8192
	// MaxSightings bounds the sightings told to a peer in one digest.
	MaxSightings = 64
	// TellTimes is how often a sighting is told to one peer.
	TellTimes = 3
)

// EndpointsConfig sets the periods of the tracker. Zero fields take the
// defaults of [DefaultEndpointsConfig].
type EndpointsConfig struct {
	// ForgetAfter is how long an endpoint stays in use after the first newer
	// list without it.
	ForgetAfter time.Duration
	// FailuresDown is the number of failures in a row that make it down.
	FailuresDown int
	// DownFor is how long an endpoint is down the first time. It doubles with
	// every time in a row, up to DownCap.
	DownFor time.Duration
	DownCap time.Duration
	// TrustSuccess is how long a success of this instance's own outweighs a
	// peer's sighting of a dead endpoint.
	TrustSuccess time.Duration
	// TellFor is how long a sighting is told to peers.
	TellFor time.Duration
}

// DefaultEndpointsConfig returns the periods in use.
func DefaultEndpointsConfig() EndpointsConfig {
	return EndpointsConfig{
		ForgetAfter:  30 * time.Second,
		FailuresDown: 3,
		DownFor:      2 * time.Second,
		DownCap:      30 * time.Second,
		TrustSuccess: 2 * time.Second,
		TellFor:      60 * time.Second,
	}
}

// Sighting is what an instance tells its peers of an endpoint.
type Sighting struct {
	ID      platform.EndpointID `json:"id"`
	Leaving bool                `json:"leaving,omitempty"`
	Dead    bool                `json:"dead,omitempty"`
}

// Endpoints merges what the instance list, the endpoints themselves and peers
// say of endpoints. It is not safe for concurrent use.
type Endpoints struct {
	cfg       EndpointsConfig
	version   uint64
	listed    bool
	now       time.Time
	endpoints map[platform.EndpointID]*endpointEntry
	leaving   *latch[platform.EndpointID]
	telling   map[platform.EndpointID]*told
}

type endpointEntry struct {
	platform.ListedEndpoint
	leaving     bool
	absent      bool
	absentSince time.Time
	failures    int
	downs       int
	downUntil   time.Time
	down        bool
	succeeded   time.Time
}

// told counts how often a sighting went to each peer.
type told struct {
	sighting Sighting
	since    time.Time // zero until first asked for
	times    map[platform.InstanceID]int
}

// NewEndpoints returns a tracker that knows no endpoint.
func NewEndpoints(cfg EndpointsConfig) *Endpoints {
	return &Endpoints{
		cfg:       cfg.withDefaults(),
		endpoints: map[platform.EndpointID]*endpointEntry{},
		leaving:   newLatch[platform.EndpointID](MaxLatched),
		telling:   map[platform.EndpointID]*told{},
	}
}

// Listed merges an answer of the instance list. It reports whether the answer
// was used: one older than the newest seen is not.
func (e *Endpoints) Listed(now time.Time, listing platform.InstanceListing) bool {
	e.observe(now)
	if e.listed && listing.Version < e.version {
		return false
	}
	e.listed = true
	e.version = listing.Version
	present := make(map[platform.EndpointID]bool, len(listing.Endpoints))
	for _, row := range listing.Endpoints {
		present[row.ID] = true
		e.mergeRow(row)
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

// SaidLeaving latches that the endpoint itself said it leaves.
func (e *Endpoints) SaidLeaving(id platform.EndpointID) { e.latchLeaving(id) }

// Sighted takes in a peer's sighting.
func (e *Endpoints) Sighted(now time.Time, id platform.EndpointID, leaving, dead bool) {
	e.observe(now)
	if leaving {
		e.latchLeaving(id)
	}
	entry, ok := e.endpoints[id]
	if !dead || !ok || entry.down {
		return
	}
	if !entry.succeeded.IsZero() && e.now.Sub(entry.succeeded) < e.cfg.TrustSuccess {
		return
	}
	e.markDown(entry)
}

// Failed counts a failure of the endpoint that this instance saw itself.
func (e *Endpoints) Failed(now time.Time, id platform.EndpointID) {
	e.observe(now)
	entry, ok := e.endpoints[id]
	if !ok {
		return
	}
	entry.failures++
	if entry.down || entry.failures < e.cfg.FailuresDown {
		return
	}
	e.markDown(entry)
	e.tell(Sighting{ID: id, Dead: true})
}

// Succeeded notes that the endpoint served this instance. It ends being down.
func (e *Endpoints) Succeeded(now time.Time, id platform.EndpointID) {
	e.observe(now)
	entry, ok := e.endpoints[id]
	if !ok {
		return
	}
	entry.failures = 0
	entry.downs = 0
	entry.down = false
	entry.succeeded = e.now
	if telling, ok := e.telling[id]; ok && telling.sighting.Dead {
		delete(e.telling, id)
	}
}

// Tick ends the periods that are over: of being down, of absence from the
// list, and of telling peers.
func (e *Endpoints) Tick(now time.Time) {
	e.observe(now)
	e.expire()
}

// Usable returns the endpoints of the pool that may get new work, by ID.
func (e *Endpoints) Usable(pool platform.PoolName) []Endpoint {
	var usable []Endpoint
	for _, entry := range e.endpoints {
		if entry.Pool == pool && entry.belief() == EndpointLive {
			usable = append(usable, entry.endpoint())
		}
	}
	sortEndpoints(usable)
	return usable
}

// All returns all endpoints by ID, with what is believed of them.
func (e *Endpoints) All() []Endpoint {
	all := make([]Endpoint, 0, len(e.endpoints))
	for _, entry := range e.endpoints {
		all = append(all, entry.endpoint())
	}
	sortEndpoints(all)
	return all
}

// MayDispatch reports whether the endpoint may get new work now. The
// dispatcher asks it last, after any queueing.
func (e *Endpoints) MayDispatch(id platform.EndpointID) bool {
	entry, ok := e.endpoints[id]
	return ok && entry.belief() == EndpointLive
}

// Sightings returns at most [MaxSightings] sightings to tell all peers alike. A
// caller that knows the peer asks [Endpoints.SightingsFor] instead, which
// repeats less and omits nothing.
func (e *Endpoints) Sightings(now time.Time) []Sighting {
	const everyone platform.InstanceID = ""
	return e.sightings(now, everyone, math.MaxInt)
}

// SightingsFor returns at most [MaxSightings] sightings to tell one peer, the
// least told first, and takes them as told once more. Each is told to the peer
// [TellTimes] times, because a digest can be lost.
func (e *Endpoints) SightingsFor(now time.Time, peer platform.InstanceID) []Sighting {
	return e.sightings(now, peer, TellTimes)
}

func (e *Endpoints) sightings(now time.Time, peer platform.InstanceID, times int) []Sighting {
	e.observe(now)
	e.expire()
	var pending []*told
	for _, telling := range e.telling {
		if telling.times[peer] < times {
			pending = append(pending, telling)
		}
	}
	slices.SortFunc(pending, func(a, b *told) int {
		if order := cmp.Compare(a.times[peer], b.times[peer]); order != 0 {
			return order
		}
		return cmp.Compare(a.sighting.ID, b.sighting.ID)
	})
	var sightings []Sighting
	for _, telling := range pending[:min(len(pending), MaxSightings)] {
		telling.times[peer]++
		sightings = append(sightings, telling.sighting)
	}
	return sightings
}

func (c EndpointsConfig) withDefaults() EndpointsConfig {
	defaults := DefaultEndpointsConfig()
	return EndpointsConfig{
		ForgetAfter:  cmp.Or(c.ForgetAfter, defaults.ForgetAfter),
		FailuresDown: cmp.Or(c.FailuresDown, defaults.FailuresDown),
		DownFor:      cmp.Or(c.DownFor, defaults.DownFor),
		DownCap:      cmp.Or(c.DownCap, defaults.DownCap),
		TrustSuccess: cmp.Or(c.TrustSuccess, defaults.TrustSuccess),
		TellFor:      cmp.Or(c.TellFor, defaults.TellFor),
	}
}

// observe moves the tracker's time forward; it never goes back.
func (e *Endpoints) observe(now time.Time) {
	if now.After(e.now) {
		e.now = now
	}
}

// mergeRow takes over a row of the list. A state other than live is no
// permission; only a stated leaving latches.
func (e *Endpoints) mergeRow(row platform.ListedEndpoint) {
	if row.ID == "" {
		return
	}
	entry, ok := e.endpoints[row.ID]
	if !ok {
		if len(e.endpoints) >= MaxEndpoints {
			return
		}
		entry = &endpointEntry{leaving: e.leaving.has(row.ID)}
		e.endpoints[row.ID] = entry
	}
	entry.ListedEndpoint = row
	if row.State == platform.ListedLeaving {
		e.latchLeaving(row.ID)
	}
}

func (e *Endpoints) latchLeaving(id platform.EndpointID) {
	if id == "" || len(id) > MaxNameBytes {
		return
	}
	if entry, ok := e.endpoints[id]; ok {
		entry.leaving = true
	}
	if e.leaving.add(id) {
		e.tell(Sighting{ID: id, Leaving: true})
	}
}

func (e *Endpoints) markDown(entry *endpointEntry) {
	period := e.cfg.DownFor << min(entry.downs, maxDoublings)
	entry.down = true
	entry.downUntil = e.now.Add(min(period, e.cfg.DownCap))
	entry.downs++
	entry.failures = 0
}

// maxDoublings keeps the doubled period far from overflow.
const maxDoublings = 10

// tell queues a sighting for peers. One of a leaving endpoint is not replaced
// by one of a dead endpoint.
func (e *Endpoints) tell(sighting Sighting) {
	if current, ok := e.telling[sighting.ID]; ok && current.sighting.Leaving {
		return
	}
	if _, ok := e.telling[sighting.ID]; !ok && len(e.telling) >= MaxEndpoints {
		return
	}
	e.telling[sighting.ID] = &told{sighting: sighting, times: map[platform.InstanceID]int{}}
}

func (e *Endpoints) expire() {
	for id, entry := range e.endpoints {
		if entry.down && !e.now.Before(entry.downUntil) {
			entry.down = false
		}
		if entry.absent && e.now.Sub(entry.absentSince) >= e.cfg.ForgetAfter {
			delete(e.endpoints, id)
		}
	}
	for id, telling := range e.telling {
		if telling.since.IsZero() {
			telling.since = e.now
		}
		if e.now.Sub(telling.since) >= e.cfg.TellFor {
			delete(e.telling, id)
		}
	}
}

func (e *endpointEntry) belief() EndpointState {
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
	return Endpoint{ListedEndpoint: e.ListedEndpoint, Belief: e.belief()}
}

func sortEndpoints(endpoints []Endpoint) {
	slices.SortFunc(endpoints, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
}
