package pool

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/latency"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// Bounds of how far affinity goes before load: an endpoint that holds the
// prompt is taken up to this factor of the mean cost, and this much over it.
const (
	affinityFactor = 1.25
	affinitySlack  = 3.0
)

// Pool holds the endpoints of one service.
type Pool struct {
	zone platform.Zone

	mu      sync.Mutex
	members map[platform.EndpointID]*member
	// firstEvents tells how long first events take, by model.
	firstEvents map[route.ModelName]*latency.Line
	// paces is the smoothed mean time from event to event, by model.
	paces map[route.ModelName]time.Duration
	work  workShares
	// onLongRead is told of each long prompt that is sent to an endpoint.
	onLongRead func(endpoint platform.EndpointID, expected time.Duration)
}

func newPool(zone platform.Zone) *Pool {
	return &Pool{
		zone:        zone,
		members:     make(map[platform.EndpointID]*member),
		firstEvents: make(map[route.ModelName]*latency.Line),
		paces:       make(map[route.ModelName]time.Duration),
	}
}

// put takes in a record. It reports whether it changed anything.
func (p *Pool) put(record Record) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.members[record.ID]
	switch {
	case known == nil || known.record.Born < record.Born:
		added := &member{record: record, longRank: longRank(record.ID)}
		added.sign.Store(time.Now().UnixNano())
		p.members[record.ID] = added
		return true
	case record.older(known.record):
		return false
	}
	changed := known.record.Leaving != record.Leaving || known.record.Address != record.Address
	// An endpoint never comes back from leaving within one lifetime.
	record.Leaving = record.Leaving || known.record.Leaving
	known.record = record
	return changed
}

func (p *Pool) remove(id platform.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.members, id)
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
	// Affinity is the prompt part that an endpoint should already hold; empty
	// if there is none.
	Affinity string
	// Tokens is the length of the prompt.
	Tokens int
	// GapTarget is the longest pause between two events of a stream that is
	// on time; 0 if the request is none.
	GapTarget time.Duration
	// Version reports whether endpoints of a version may run the request.
	Version func(version string) bool
	// Avoid lists endpoints that the request must not meet again.
	Avoid []platform.EndpointID
}

// Choose returns the endpoint that is to run the request and counts it there.
// It reports false if no endpoint may run it.
func (p *Pool) Choose(now time.Time, query Query) (*Lease, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates := p.candidates(now, query)
	if len(candidates) == 0 {
		return nil, false
	}
	candidates, long := p.separate(candidates, query)
	var chosen *member
	if long {
		chosen = leastReading(now, candidates)
		expected := p.reading(query.Model, query.Tokens)
		chosen.read(now, expected)
		p.onLongRead(chosen.record.ID, expected)
	} else {
		chosen = p.prefer(candidates, query)
	}
	chosen.inFlight++
	return &Lease{
		pool: p, member: chosen, Endpoint: chosen.record, model: query.Model, tokens: query.Tokens, Long: long,
	}, true
}

// candidates returns the endpoints that may run the request: those that are
// neither full nor paused if there are any.
func (p *Pool) candidates(now time.Time, query Query) []*member {
	var free, full, paused []*member
	for id, m := range p.members {
		switch {
		case m.record.Leaving || slices.Contains(query.Avoid, id):
		case query.Version != nil && !query.Version(m.record.Version):
		case !m.usable(now):
			paused = append(paused, m)
		case m.full(now):
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

// prefer takes the endpoint that holds the prompt part unless it is much
// busier than the others. All instances agree on the order of endpoints for a
// part, so that it is read in few places.
func (p *Pool) prefer(candidates []*member, query Query) *member {
	if query.Affinity == "" {
		return p.cheapest(candidates)
	}
	bound := affinityFactor*meanCost(candidates) + affinitySlack
	var best *member
	var bestRank uint64
	for _, m := range candidates {
		if m.cost() > bound {
			continue
		}
		rank := xxhash.Sum64String(query.Affinity + "\x00" + string(m.record.ID))
		if best == nil || rank > bestRank {
			best, bestRank = m, rank
		}
	}
	if best == nil {
		return p.cheapest(candidates)
	}
	return best
}

// cheapest returns the candidate of least cost, one of this instance's zone if
// costs are equal.
func (p *Pool) cheapest(candidates []*member) *member {
	return slices.MinFunc(candidates, func(a, b *member) int {
		return cmp.Compare(p.distanceCost(a), p.distanceCost(b))
	})
}

func (p *Pool) distanceCost(m *member) float64 {
	const otherZone = 0.5 // requests: a zone away is worth half a request of load
	if m.record.Zone == p.zone {
		return m.cost()
	}
	return m.cost() + otherZone
}

// Versions returns the versions of the endpoints that take new requests.
func (p *Pool) Versions() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var versions []string
	for _, m := range p.members {
		if !m.record.Leaving && !slices.Contains(versions, m.record.Version) {
			versions = append(versions, m.record.Version)
		}
	}
	slices.Sort(versions)
	return versions
}
