package pool

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/fleetlimit"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/latency"
	"github.com/wigeonusher/wigeonusher/policy/placement"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// Affinity is respected up to a bound on load: an endpoint is chosen for affinity
// only if its cost is at most affinityFactor times the mean cost plus
// affinitySlack.
const (
	affinityFactor = 1.25
	affinitySlack  = 3.0
	// lightUse is the fraction of its slots up to which an endpoint gets all requests for its
	// prompt parts: none of them waits there.
	lightUse = 0.5
)

// Pool holds the endpoints of one service.
type Pool struct {
	zone   platform.Zone
	limits *limits
	// rests and leavings hold what endpoints have said in their answers.
	rests    rests
	leavings leavings
	// evacuations are those of the [Pools], and coldRule is that of the service.
	evacuations evacuations
	coldRule    ColdRule
	// viewedAt is that of the [Pools], nil if there are none.
	viewedAt *atomic.Int64

	mu      sync.Mutex
	members map[platform.EndpointID]*member
	// firstEvents estimates the time to the first event, by model.
	firstEvents map[route.ModelName]*latency.Line
	// paces is the moving average of the mean time between events, by model.
	paces map[route.ModelName]time.Duration
	work  workShares
	// peerStatistics holds those of the peers; peerWork and peerFirstEvents are their sums.
	peerStatistics  map[platform.InstanceID]peerStatistics
	peerWork        workShares
	peerFirstEvents map[route.ModelName]*latency.Line
	path            path
	// loads holds what is known of the load of the endpoints, and meanDuration is the moving
	// average of the time that requests take. byVersion and estimatedAt are those of estimateLoads.
	loads        *placement.LoadTable
	meanDuration time.Duration
	byVersion    map[string]*loadGroup
	estimatedAt  time.Time
	// brittle is what is known of the brittleness of the endpoints, group lists the instances
	// that share them, and onBrittleRejection is called for each rejection.
	brittle            brittleness
	group              *fleetlimit.Group
	onBrittleRejection func(endpoint platform.EndpointID)
	// zones is what is known of the zones; zoneAware and zonePrice are those of the [Pools].
	zones     zones
	zoneAware *atomic.Bool
	zonePrice *atomic.Int64
	paced     paces
	// service and log describe the pool in log lines; log is nil in a pool of its own.
	service route.ServiceName
	log     *logrus.Entry
	// onLongRead is called for each long prompt when its endpoint is chosen, with the
	// expected time to read the prompt. The caller holds mu.
	onLongRead func(endpoint platform.EndpointID, expected time.Duration)
}

func newPool(zone platform.Zone, limits *limits) *Pool {
	return &Pool{
		zone:        zone,
		limits:      limits,
		loads:       placement.NewLoadTable(),
		rests:       make(rests),
		leavings:    make(leavings),
		members:     make(map[platform.EndpointID]*member),
		firstEvents: make(map[route.ModelName]*latency.Line),
		paces:       make(map[route.ModelName]time.Duration),

		peerStatistics: make(map[platform.InstanceID]peerStatistics),
		meanDuration:   initialDuration,
		paced:          newPaces(),
		byVersion:      make(map[string]*loadGroup),
	}
}

// put adds or updates an endpoint. It reports whether the endpoint is new, the
// record begins a new lifetime of it, or the record differs from the previous one
// in its address or leaving state. A record older than the known one is ignored.
func (p *Pool) put(record Record) bool { return p.putAt(time.Now(), record) }

func (p *Pool) putAt(now time.Time, record Record) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.members[record.ID]
	switch {
	case known == nil || known.record.Born < record.Born:
		added := &member{record: record, slowUntil: now.Add(record.ColdFor), warmAt: now.Add(record.ColdFor), longRank: longRank(record.ID), lastActivity: &atomic.Int64{}}
		added.listedAt = time.Now().UnixNano()
		added.lastActivity.Store(added.listedAt)
		added.restUntil = p.rests[added.lifetime()]
		added.easing = !added.restUntil.IsZero()
		if _, leaves := p.leavings[added.lifetime()]; leaves {
			added.record.Leaving = true
		}
		if known != nil {
			p.stayCold(now, added, known.warmAt, "") // it may have been unreachable in its last lifetime
			added.tellColdUntil = known.tellColdUntil
		}
		p.updateEvacuation(now, added)
		p.members[record.ID] = added
		p.loads.Forget(record.ID)
		return true
	case record.older(known.record):
		return false
	}
	changed := known.record.Leaving != record.Leaving || known.record.Address != record.Address
	// Leaving is final within one lifetime of an endpoint.
	record.Leaving = record.Leaving || known.record.Leaving
	if known.record.older(record) {
		p.stayCold(now, known, now.Add(record.ColdFor), "its registration says so")
	}
	known.record, known.unlisted = record, false
	p.updateEvacuation(now, known)
	return changed
}

func (p *Pool) markUnlisted(id platform.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.members[id]; m != nil {
		m.unlisted = true
	}
}

// remove removes an endpoint and returns its last record.
func (p *Pool) remove(id platform.EndpointID) Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	removed := p.members[id]
	if removed == nil {
		return Record{ID: id}
	}
	delete(p.members, id)
	p.loads.Forget(id)
	return removed.record
}

func (p *Pool) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, m := range p.members {
		if !m.record.Leaving {
			count++
		}
	}
	return count
}

// Query describes a request that needs an endpoint.
type Query struct {
	Model route.ModelName
	// Affinity is the ID of the prompt part that an endpoint should already hold;
	// empty if there is none.
	Affinity string
	// Tokens is the length of the prompt, and SharedTokens that of the parts up to Affinity.
	Tokens, SharedTokens int
	// Target is what is left of the latency objective; 0 if there is none.
	Target time.Duration
	// GapTarget is the longest pause between two events that the latency objective
	// allows; 0 if the request is not a stream.
	GapTarget time.Duration
	// Version reports whether endpoints of a version may run the request; nil allows
	// all versions.
	Version func(version string) bool
	// Avoid lists endpoints that must not be chosen.
	Avoid []platform.EndpointID
	// LeastLoaded selects the endpoint with the fewest requests, whatever else speaks for
	// another one.
	LeastLoaded bool
	// Unlisted selects among the endpoints that the registry does not list any more,
	// instead of those that it lists, see [Pools.Remove].
	Unlisted bool
	// Concentration limits a version to few of its endpoints; nil for none.
	Concentration *Concentration
	// Key is a hash that identifies the request, and Bytes an estimate of the bytes that it and its
	// answer move.
	Key   uint64
	Bytes int
}

// accepts reports whether the query allows the endpoint, whatever its health and load.
func (q Query) accepts(m *member) bool { return !m.evacuated && q.allows(m) }

// allows is like accepts, also for endpoints of evacuated zones.
func (q Query) allows(m *member) bool {
	return !m.record.Leaving && m.unlisted == q.Unlisted && !slices.Contains(q.Avoid, m.record.ID) &&
		(q.Version == nil || q.Version(m.record.Version))
}

// Choose selects the endpoint that runs the request and counts the request there.
// It reports false if no endpoint may run it.
func (p *Pool) Choose(now time.Time, query Query) (*Lease, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	chosen, long := p.pick(now, query)
	// A change of the group between the check and here may have taken away the seat.
	for chosen != nil && !p.take(now, chosen) {
		chosen, long = p.pick(now, query)
	}
	if chosen == nil {
		return nil, false
	}
	if long {
		expected := p.expectedReading(query.Model, query.Tokens)
		chosen.addLongPrompt(now, expected)
		p.onLongRead(chosen.record.ID, expected)
	}
	chosen.inFlight++
	p.zones.begin(now)
	p.loads.RecordDispatch(now, chosen.record.ID)
	cold := p.isCold(now, chosen)
	return &Lease{
		pool: p, member: chosen, Endpoint: chosen.record, model: query.Model, tokens: query.Tokens, LongPrompt: long,
		started: now, Registration: p.registration(chosen), Cold: cold || now.Before(chosen.slowUntil), permitted: cold, Expected: p.paced.choice, target: query.Target,
		Leave: p.leaveReason(chosen), unqueued: chosen.load() <= unqueuedUse*float64(chosen.record.Slots),
	}, true
}

func (p *Pool) registration(m *member) Registration {
	registration := Registration{Unlisted: m.unlisted}
	if p.viewedAt != nil {
		registration.ViewAge = viewAge(p.viewedAt)
	}
	return registration
}

// HasUsable reports whether an endpoint that may run the request is neither leaving
// nor paused. It may be full.
func (p *Pool) HasUsable(now time.Time, query Query) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		if query.accepts(m) && m.isUsable(now) && !m.isResting(now) && p.allows(now, m) {
			return true
		}
	}
	return false
}

// pick selects an endpoint for the request, nil if none may run it. It reports whether the
// prompt counts as long.
func (p *Pool) pick(now time.Time, query Query) (chosen *member, long bool) {
	p.estimateLoads(now)
	p.zones.reason, p.paced.choice = "", Expectation{}
	candidates := p.candidates(now, query)
	if len(candidates) == 0 {
		return nil, false
	}
	if query.LeastLoaded {
		return slices.MinFunc(candidates, func(a, b *member) int { return cmp.Compare(a.load(), b.load()) }), false
	}
	candidates, query = p.selectZone(now, candidates, query)
	chosen, long = p.pickByLoad(now, candidates, query)
	if p.paced.reported {
		p.paced.choice = p.newEstimator(now, candidates, query).describe(chosen)
	}
	return chosen, long
}

// pickByLoad picks among candidates by their cost, which holds their load and, if they report one,
// their pace.
func (p *Pool) pickByLoad(now time.Time, candidates []*member, query Query) (chosen *member, long bool) {
	candidates, long = p.separateLongPrompts(candidates, query)
	if long {
		return p.leastDisturbed(now, candidates), true
	}
	if query.Concentration != nil {
		candidates = p.concentrate(candidates, query.Concentration)
	}
	return p.pickByAffinity(candidates, query), false
}

// LimitWait returns the time until this instance may expect to send a request to one of
// the endpoints that the query allows, and reports whether their limits, and nothing else,
// keep it from doing so now.
func (p *Pool) LimitWait(now time.Time, query Query) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var shortest time.Duration
	for _, m := range p.members {
		if !query.accepts(m) {
			continue
		}
		wait := p.limitWait(now, m)
		if wait == 0 {
			return 0, false
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest, shortest > 0
}

// candidates returns the endpoints that may run the request: those that are
// neither full nor paused or, if there are none, the full ones, or else the paused
// ones. Those whose limit allows this instance no request now are never among them, nor
// brittle ones without room, nor those that rest.
func (p *Pool) candidates(now time.Time, query Query) []*member {
	var free, full, paused []*member
	brittle := p.isBrittle(now)
	for _, m := range p.members {
		switch {
		case !query.accepts(m) || m.isResting(now) || !p.allows(now, m):
		case brittle && p.hasNoRoom(now, m):
		case !m.isUsable(now):
			paused = append(paused, m)
		case m.isEasing(): // another request would be part of the wave that the rest is for
		case m.isFull(now):
			full = append(full, m)
		default:
			free = append(free, m)
		}
	}
	for _, group := range [][]*member{free, full, paused} {
		if len(group) > 0 {
			return group
		}
	}
	return nil
}

// pickByAffinity picks, among the endpoints that are not much busier than the others, the one of
// the highest rank for the prompt part or, if that is not lightly used, the less loaded one of the
// two highest ranks. All instances rank the endpoints by the same hash, so that few endpoints read
// the part. They also know much the same loads, about a second old: a choice among more endpoints
// would send the requests of all instances to the same ones. For a request without a shared part, it
// picks the cheapest endpoint.
func (p *Pool) pickByAffinity(candidates []*member, query Query) *member {
	if query.Affinity == "" {
		return p.cheapest(candidates)
	}
	bound := affinityFactor*meanCost(candidates) + affinitySlack
	first, second := highestRanks(candidates, query.Affinity, bound)
	switch {
	case first == nil:
		return p.cheapest(candidates)
	case second != nil && second.cost() < first.cost() && first.load() >= lightUse*float64(first.record.Slots):
		return second
	default:
		return first
	}
}

// highestRanks returns the two endpoints of the highest ranks for the prompt part among those
// whose cost is within the bound; nil for those that do not exist.
func highestRanks(candidates []*member, affinity string, bound float64) (first, second *member) {
	var firstRank, secondRank uint64
	for _, m := range candidates {
		if m.cost() > bound {
			continue
		}
		rank := xxhash.Sum64String(affinity + "\x00" + string(m.record.ID))
		switch {
		case first == nil || rank > firstRank:
			second, secondRank = first, firstRank
			first, firstRank = m, rank
		case second == nil || rank > secondRank:
			second, secondRank = m, rank
		}
	}
	return first, second
}

// cheapest returns the candidate of the lowest cost; an endpoint of another zone
// costs more.
func (p *Pool) cheapest(candidates []*member) *member {
	return slices.MinFunc(candidates, func(a, b *member) int {
		return cmp.Compare(p.distanceCost(a), p.distanceCost(b))
	})
}

func (p *Pool) distanceCost(m *member) float64 {
	// otherZone is the extra cost of an endpoint in another zone, in requests of load.
	const otherZone = 0.5
	if m.record.Zone == p.zone {
		return m.cost()
	}
	return m.cost() + otherZone
}

// Versions returns the versions of the endpoints that accept new requests.
func (p *Pool) Versions() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var versions []string
	for _, m := range p.members {
		if !m.record.Leaving && !m.evacuated && !slices.Contains(versions, m.record.Version) {
			versions = append(versions, m.record.Version)
		}
	}
	slices.Sort(versions)
	return versions
}
