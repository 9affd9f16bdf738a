package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/coord/quota"
)

// quotaCase describes one account's demand over the fleet.
type quotaCase struct {
	instances int
	limit     float64 // requests per second
	// demand is the fleet's demand as a multiple of the limit.
	demand float64
	// weights are the parts of the demand by instance; equal if nil.
	weights []float64
	// moves swaps the demand of the first and the last instance every period.
	moves time.Duration
	// cutFrom splits the instances into two sides that do not hear each other.
	cutFrom int
	// joins lets one more instance start in the middle.
	joins bool
	// fixed gives every instance an equal part: the baseline.
	fixed bool
}

const (
	quotaTick   = 250 * time.Millisecond
	quotaDigest = time.Second
	quotaWarmUp = 10 * time.Second
	quotaLength = 120 * time.Second
	// digestLoss is the share of digests that never arrive.
	digestLoss = 0.1
	// listLag is how long a new instance is missing from the list of others.
	listLag = 3 * time.Second
)

type quotaFleet struct {
	quotaCase
	agenda  *agenda
	random  *rand.Rand
	shares  []*quota.Shares
	allowed int
	worst   int // most allowed in one second
	second  int
	listed  int
}

// quotaResult is what a run came to.
type quotaResult struct {
	// admitted is the admitted rate as a share of what should be: the lesser
	// of limit and demand.
	admitted float64
	// worst is the busiest second's admissions as a share of the limit.
	worst float64
}

func runQuotaFleet(c quotaCase, seed uint64) quotaResult {
	f := &quotaFleet{quotaCase: c, agenda: newAgenda(), random: rand.New(rand.NewPCG(seed, 3)), listed: c.instances}
	for range c.instances {
		f.start()
	}
	if c.joins {
		f.agenda.after(quotaWarmUp+quotaLength/2, f.start)
		f.agenda.after(quotaWarmUp+quotaLength/2+listLag, func() { f.listed++ })
	}
	f.startArrivals()
	f.agenda.every(time.Second, time.Second, func() {
		if f.agenda.elapsed() > quotaWarmUp {
			f.worst = max(f.worst, f.second)
		}
		f.second = 0
	})
	f.agenda.run(quotaWarmUp + quotaLength)
	wanted := min(1, c.demand) * c.limit * quotaLength.Seconds()
	return quotaResult{admitted: float64(f.allowed) / wanted, worst: float64(f.worst) / c.limit}
}

// start adds an instance.
func (f *quotaFleet) start() {
	i := len(f.shares)
	shares := quota.New(quotaID(i), quota.Config{})
	f.shares = append(f.shares, shares)
	shares.SetLimits(f.agenda.now, []quota.Limit{{Account: "a", RequestsPerSecond: f.limit, Burst: int(f.limit)}})
	f.agenda.every(f.uniform(quotaTick), quotaTick, func() { shares.Tick(f.agenda.now, max(f.listed, i+1)) })
	if !f.fixed {
		f.agenda.every(f.uniform(quotaDigest), quotaDigest, func() { f.digest(i) })
	}
}

func (f *quotaFleet) digest(from int) {
	demands := f.shares[from].Demands(f.agenda.now)
	for to := range f.shares {
		cut := f.cutFrom > 0 && (from < f.cutFrom) != (to < f.cutFrom)
		if to == from || cut || f.random.Float64() < digestLoss {
			continue
		}
		f.agenda.after(2*time.Millisecond, func() { f.shares[to].HeardAll(f.agenda.now, quotaID(from), demands) })
	}
}

func (f *quotaFleet) startArrivals() {
	rate := f.demand * f.limit
	var next func()
	next = func() {
		f.arrive()
		f.agenda.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	f.agenda.after(0, next)
}

func (f *quotaFleet) arrive() {
	ok, _ := f.shares[f.draw()].Allow(f.agenda.now, "a")
	if !ok {
		return
	}
	f.second++
	if f.agenda.elapsed() > quotaWarmUp {
		f.allowed++
	}
}

// draw returns the instance that the next request meets.
func (f *quotaFleet) draw() int {
	if f.weights == nil {
		return f.random.IntN(len(f.shares))
	}
	at := f.random.Float64()
	chosen := len(f.weights) - 1
	for i, weight := range f.weights {
		at -= weight
		if at < 0 {
			chosen = i
			break
		}
	}
	swapped := f.moves > 0 && (f.agenda.elapsed()/f.moves)%2 == 1
	if swapped && chosen == 0 {
		return len(f.weights) - 1
	}
	return chosen
}

func (f *quotaFleet) uniform(limit time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(limit)))
}

func quotaID(i int) platform.InstanceID { return platform.InstanceID(fmt.Sprint("instance-", i)) }

func runQuota(seeds int) ([]Row, error) {
	skew := []float64{0.8, 0.1, 0.05, 0.05, 0, 0, 0, 0, 0}
	one := []float64{1, 0, 0, 0, 0, 0, 0, 0, 0}
	cases := []struct {
		name   string
		c      quotaCase
		target bool
	}{
		{"even, twice the limit", quotaCase{limit: 100, demand: 2}, true},
		{"even, at the limit", quotaCase{limit: 100, demand: 1}, true},
		{"even, 90% of the limit", quotaCase{limit: 100, demand: 0.9}, true},
		{"skewed, twice the limit", quotaCase{limit: 100, demand: 2, weights: skew}, true},
		{"skewed, 90% of the limit", quotaCase{limit: 100, demand: 0.9, weights: skew}, true},
		{"one instance only, twice the limit", quotaCase{limit: 100, demand: 2, weights: one}, true},
		{"demand moves every 20 s, twice the limit", quotaCase{limit: 100, demand: 2, weights: one, moves: 20 * time.Second}, false},
		{"an instance joins, twice the limit", quotaCase{limit: 100, demand: 2, joins: true}, true},
		{"cut 6 and 3, twice the limit", quotaCase{limit: 100, demand: 2, cutFrom: 6}, true},
		{"cut 6 and 3, demand on one side", quotaCase{limit: 100, demand: 2, cutFrom: 6, weights: one}, false},
		{"small account, even, twice the limit", quotaCase{limit: 5, demand: 2}, true},
		{"fixed ninth, even, twice the limit", quotaCase{limit: 100, demand: 2, fixed: true}, false},
		{"fixed ninth, skewed, twice the limit", quotaCase{limit: 100, demand: 2, weights: skew, fixed: true}, false},
	}
	var rows []Row
	for _, q := range cases {
		q.c.instances = 9
		rows = append(rows, quotaRows(q.name, q.c, seeds, q.target)...)
	}
	return rows, nil
}

func quotaRows(name string, c quotaCase, seeds int, target bool) []Row {
	var least, most, worst []float64
	for seed := range uint64(seeds) {
		result := runQuotaFleet(c, seed+1)
		least = append(least, result.admitted)
		most = append(most, result.admitted)
		worst = append(worst, result.worst)
	}
	low, high := Target{}, Target{}
	if target {
		low = Target{Bound: EachAtLeast, Value: 0.95}
		high = Target{Bound: EachAtMost, Value: 1.05}
	}
	return []Row{
		newRow(name, "admitted / lesser of limit and demand", low, least),
		newRow(name, "the same, from above", high, most),
		newRow(name, "busiest second / limit", Target{}, worst),
	}
}
