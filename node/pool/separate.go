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
	// longReadingRatio is a multiple of the longest allowed pause: a prompt counts as
	// long if reading it takes more. Engines read prompts between the tokens of the
	// other requests, whose streams pause meanwhile; shorter ones cause no pause that is too long.
	longReadingRatio = 1.0
	// The fraction of endpoints reserved for long prompts is longCapacityFactor
	// times their fraction of the work, but at most maxLongFraction.
	longCapacityFactor = 4.0
	maxLongFraction    = 0.5
	// baseWork approximates the work on a request besides reading its prompt.
	baseWork = 200 * time.Millisecond
	// workDecay is the factor by which each further request reduces the weight of
	// the earlier ones in workShares.
	workDecay = 0.995
	// minEndpointsToSeparate is the number of endpoints below which none is
	// reserved.
	minEndpointsToSeparate = 4
	// crowdedLoadFactor bounds the load of the endpoints that are not reserved: if
	// their mean cost exceeds crowdedLoadFactor times that of the reserved ones plus
	// affinitySlack, requests with short prompts may use both.
	crowdedLoadFactor = 2.0
	// pauseHarm is the wait that counts as much as a pause of one stream.
	pauseHarm = 300 * time.Millisecond
	// otherZoneReading is the reading assumed beside what is known at an endpoint of another zone,
	// since an instance of a large fleet knows only some of the long prompts there.
	otherZoneReading = 200 * time.Millisecond
)

// separateLongPrompts reserves endpoints for long prompts, so that these prompts do
// not stall the streams of other requests. It returns the candidates that may run
// the request and whether the request's prompt is long. All instances order the
// endpoints by the same hash, so that they reserve largely the same ones without
// communication.
func (p *Pool) separateLongPrompts(candidates []*member, query Query) (chosen []*member, long bool) {
	if query.GapTarget <= 0 || len(candidates) < minEndpointsToSeparate {
		return candidates, false
	}
	ranked := rankForLongPrompts(candidates)
	reading := p.expectedReading(query.Model, query.Tokens)
	long = float64(reading) > longReadingRatio*float64(query.GapTarget)
	p.work.add(reading, long)
	fraction := min(maxLongFraction, longCapacityFactor*p.longFraction())
	reserved := max(1, int(math.Round(fraction*float64(len(ranked)))))
	forLong, others := ranked[:reserved], ranked[reserved:]
	if long {
		return forLong, true
	}
	if meanCost(others) > crowdedLoadFactor*meanCost(forLong)+affinitySlack {
		return candidates, false
	}
	return others, false
}

// rankForLongPrompts orders the endpoints in which they are reserved for long prompts: the first of
// each zone by hash, then the second ones, and so on. Each zone then has its share.
func rankForLongPrompts(candidates []*member) []*member {
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b *member) int { return cmp.Compare(a.longRank, b.longRank) })
	place, counts := make(map[*member]int, len(ranked)), make(map[platform.Zone]int)
	for _, m := range ranked {
		place[m] = counts[m.record.Zone]
		counts[m.record.Zone]++
	}
	slices.SortStableFunc(ranked, func(a, b *member) int { return cmp.Compare(place[a], place[b]) })
	return ranked
}

// workShares holds the decaying sums of the work on all requests and on those with
// long prompts, in seconds.
type workShares struct{ all, long float64 }

func (w *workShares) add(reading time.Duration, long bool) {
	work := (reading + baseWork).Seconds()
	w.all = w.all*workDecay + work
	w.long *= workDecay
	if long {
		w.long += work
	}
}

func (w *workShares) longFraction() float64 {
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

// addLongPrompt adds the expected time to read a long prompt, which the endpoint
// reads after those that it already has.
func (m *member) addLongPrompt(now time.Time, expected time.Duration) {
	if m.readingUntil.Before(now) {
		m.readingUntil = now
	}
	m.readingUntil = m.readingUntil.Add(expected)
}

// leastDisturbed returns the candidate at which a long prompt does least harm: it waits until the
// long prompts before it have been read, and the streams beside it pause while it is read itself.
func (p *Pool) leastDisturbed(now time.Time, candidates []*member) *member {
	harm := func(m *member) float64 {
		harm := max(0, m.readingUntil.Sub(now)).Seconds() + pauseHarm.Seconds()*m.cost()
		if m.record.Zone != p.zone {
			harm += otherZoneReading.Seconds()
		}
		return harm
	}
	return slices.MinFunc(candidates, func(a, b *member) int { return cmp.Compare(harm(a), harm(b)) })
}

// RecordLongRead records that an endpoint reads a long prompt that a peer has sent.
func (p *Pool) RecordLongRead(now time.Time, id platform.EndpointID, expected time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.members[id]; m != nil {
		m.addLongPrompt(now, expected)
	}
}
