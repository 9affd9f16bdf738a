package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/coord/quota"
)

// quotaCase describes the demand of one account and its distribution over the
// instances.
type quotaCase struct {
	instances int
	limit     float64 // requests per second
	// demand is the fleet's demand as a multiple of the limit.
	demand float64
	// weights are the shares of the demand by instance; equal if nil.
	weights []float64
	// swapPeriod is the interval at which the demand of the first instance moves to
	// the last one and back; 0 for never.
	swapPeriod time.Duration
	// partitionAt is the number of instances on the first side of a network
	// partition; 0 for no partition.
	partitionAt int
	// joins starts one more instance in the middle of the run.
	joins bool
	// fixed selects the baseline, which gives every instance an equal share.
	fixed bool
}

const (
	quotaTick           = 250 * time.Millisecond
	quotaDigestInterval = time.Second
	quotaWarmUp         = 10 * time.Second
	quotaLength         = 120 * time.Second
	// digestLoss is the share of digests that are lost.
	digestLoss = 0.1
	// listDelay is how long a new instance is missing from the instance list of the
	// others.
	listDelay = 3 * time.Second
)

// quotaFleet is one run of a quotaCase.
type quotaFleet struct {
	quotaCase
	clock         *virtualClock
	random        *rand.Rand
	shares        []*quota.Shares
	allowed       int
	busiestSecond int // highest number of requests allowed in one second
	currentSecond int
	// listed is the number of instances in the instance lists, which include a new
	// instance after listDelay.
	listed int
}

// quotaResult is the result of a run.
type quotaResult struct {
	// admitted is the admitted rate as a share of the expected rate, which is the
	// lesser of limit and demand.
	admitted float64
	// busiestSecond is the highest number of admissions in one second, as a share
	// of the limit.
	busiestSecond float64
}

func runQuotaFleet(c quotaCase, seed uint64) quotaResult {
	f := &quotaFleet{quotaCase: c, clock: newVirtualClock(), random: rand.New(rand.NewPCG(seed, 3)), listed: c.instances}
	for range c.instances {
		f.start()
	}
	if c.joins {
		f.clock.after(quotaWarmUp+quotaLength/2, f.start)
		f.clock.after(quotaWarmUp+quotaLength/2+listDelay, func() { f.listed++ })
	}
	f.startArrivals()
	f.clock.every(time.Second, time.Second, func() {
		if f.clock.elapsed() > quotaWarmUp {
			f.busiestSecond = max(f.busiestSecond, f.currentSecond)
		}
		f.currentSecond = 0
	})
	f.clock.run(quotaWarmUp + quotaLength)
	expected := min(1, c.demand) * c.limit * quotaLength.Seconds()
	return quotaResult{admitted: float64(f.allowed) / expected, busiestSecond: float64(f.busiestSecond) / c.limit}
}

// start starts one more instance.
func (f *quotaFleet) start() {
	i := len(f.shares)
	shares := quota.New(quotaID(i), quota.Config{})
	f.shares = append(f.shares, shares)
	shares.SetLimits(f.clock.now, []quota.Limit{{Account: "a", RequestsPerSecond: f.limit, Burst: int(f.limit)}})
	f.clock.every(f.uniform(quotaTick), quotaTick, func() { shares.Tick(f.clock.now, max(f.listed, i+1)) })
	if !f.fixed {
		f.clock.every(f.uniform(quotaDigestInterval), quotaDigestInterval, func() { f.sendDigest(i) })
	}
}

func (f *quotaFleet) sendDigest(from int) {
	demands := f.shares[from].Demands(f.clock.now)
	for to := range f.shares {
		partitioned := f.partitionAt > 0 && (from < f.partitionAt) != (to < f.partitionAt)
		if to == from || partitioned || f.random.Float64() < digestLoss {
			continue
		}
		f.clock.after(2*time.Millisecond, func() { f.shares[to].HandleDemands(f.clock.now, quotaID(from), demands) })
	}
}

func (f *quotaFleet) startArrivals() {
	rate := f.demand * f.limit
	var next func()
	next = func() {
		f.arrive()
		f.clock.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	f.clock.after(0, next)
}

func (f *quotaFleet) arrive() {
	ok, _ := f.shares[f.draw()].Allow(f.clock.now, "a")
	if !ok {
		return
	}
	f.currentSecond++
	if f.clock.elapsed() > quotaWarmUp {
		f.allowed++
	}
}

// draw returns the index of the instance that receives the next request.
func (f *quotaFleet) draw() int {
	if f.weights == nil {
		return f.random.IntN(len(f.shares))
	}
	draw := f.random.Float64()
	chosen := len(f.weights) - 1
	for i, weight := range f.weights {
		draw -= weight
		if draw < 0 {
			chosen = i
			break
		}
	}
	swapped := f.swapPeriod > 0 && (f.clock.elapsed()/f.swapPeriod)%2 == 1
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
	firstOnly := []float64{1, 0, 0, 0, 0, 0, 0, 0, 0}
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
		{"one instance only, twice the limit", quotaCase{limit: 100, demand: 2, weights: firstOnly}, true},
		{"demand moves every 20 s, twice the limit", quotaCase{limit: 100, demand: 2, weights: firstOnly, swapPeriod: 20 * time.Second}, false},
		{"an instance joins, twice the limit", quotaCase{limit: 100, demand: 2, joins: true}, true},
		{"cut 6 and 3, twice the limit", quotaCase{limit: 100, demand: 2, partitionAt: 6}, true},
		{"cut 6 and 3, demand on one side", quotaCase{limit: 100, demand: 2, partitionAt: 6, weights: firstOnly}, false},
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
	var least, most, busiest []float64
	for seed := range uint64(seeds) {
		result := runQuotaFleet(c, seed+1)
		least = append(least, result.admitted)
		most = append(most, result.admitted)
		busiest = append(busiest, result.busiestSecond)
	}
	low, high := Target{}, Target{}
	if target {
		low = Target{Bound: EachAtLeast, Value: 0.95}
		high = Target{Bound: EachAtMost, Value: 1.05}
	}
	return []Row{
		newRow(name, "admitted / lesser of limit and demand", low, least),
		newRow(name, "the same, from above", high, most),
		newRow(name, "busiest second / limit", Target{}, busiest),
	}
}
