package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

const (
	// longShare is the part of the longest allowed pause that reading a prompt
	// takes from which on it counts as long: engines read prompts between the
	// tokens of the requests beside them.
	longShare = 0.5
	// longReserve is how much more than their part of the work the endpoints
	// for long prompts may take, and mostForLong the greatest part of all
	// endpoints.
	longReserve = 2.0
	mostForLong = 0.5
	// otherWork stands for the work on a request besides reading its prompt.
	otherWork = 200 * time.Millisecond
	// forgetWork is the weight that each further request takes from the
	// earlier ones in the shares of work.
	forgetWork = 0.995
	// leastToSeparate is the number of endpoints below which none is kept.
	leastToSeparate = 4
	// crowdedFactor is how many times the load of the endpoints for long
	// prompts the others must carry before they are relieved.
	crowdedFactor = 2.0
)

// separate keeps long prompts on endpoints of their own, where they do not
// stall the streams of others. All instances agree on these endpoints without
// communication, because they order endpoints by the same hash.
func (p *Pool) separate(candidates []*member, query Query) (chosen []*member, long bool) {
	if query.GapTarget <= 0 || len(candidates) < leastToSeparate {
		return candidates, false
	}
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b *member) int {
		return cmp.Compare(a.longRank, b.longRank)
	})
	reading := p.reading(query.Model, query.Tokens)
	long = float64(reading) > longShare*float64(query.GapTarget)
	p.work.add(reading, long)
	part := min(mostForLong, longReserve*p.work.longPart())
	kept := max(1, int(math.Round(part*float64(len(ranked)))))
	forLong, others := ranked[:kept], ranked[kept:]
	if long {
		return forLong, true
	}
	if meanCost(others) > crowdedFactor*meanCost(forLong)+affinitySlack {
		return candidates, false
	}
	return others, false
}

// workShares tells which part of the work long prompts make.
type workShares struct{ all, long float64 }

func (w *workShares) add(reading time.Duration, long bool) {
	work := (reading + otherWork).Seconds()
	w.all = w.all*forgetWork + work
	w.long *= forgetWork
	if long {
		w.long += work
	}
}

func (w *workShares) longPart() float64 {
	if w.all <= 0 {
		return 0
	}
	return w.long / w.all
}

func longRank(id platform.EndpointID) uint64 {
	return xxhash.Sum64String("long prompts\x00" + string(id))
}

func meanCost(members []*member) float64 {
	total := 0.0
	for _, m := range members {
		total += m.cost()
	}
	return total / float64(max(1, len(members)))
}

// read notes that the endpoint begins to read a long prompt, after those that
// it reads already.
func (m *member) read(now time.Time, expected time.Duration) {
	if m.readingUntil.Before(now) {
		m.readingUntil = now
	}
	m.readingUntil = m.readingUntil.Add(expected)
}

// leastReading returns the endpoint that is through with its long prompts
// first.
func leastReading(now time.Time, candidates []*member) *member {
	return slices.MinFunc(candidates, func(a, b *member) int {
		waitA, waitB := max(0, a.readingUntil.Sub(now)), max(0, b.readingUntil.Sub(now))
		if waitA != waitB {
			return cmp.Compare(waitA, waitB)
		}
		return cmp.Compare(a.cost(), b.cost())
	})
}

// LongRead takes in that an endpoint reads a long prompt of a peer.
func (p *Pool) LongRead(now time.Time, id platform.EndpointID, expected time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.members[id]; m != nil {
		m.read(now, expected)
	}
}
