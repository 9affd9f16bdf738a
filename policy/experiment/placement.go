package experiment

import (
	"fmt"
	"time"

	"github.com/wigeonusher/wigeonusher/policy/placement"
)

// Targets of the placement experiment.
const (
	targetFirstToken = 1.2 // as a multiple of a join-shortest-queue oracle's time
	targetHits       = 0.9 // as a share of an oracle's hits
)

// placementMaxAsks is the maximum number of times that the instances that poll the
// engines are asked for an engine's load to place one request.
const placementMaxAsks = 12

// placementStrategy is a named way to place requests.
type placementStrategy struct {
	name      string
	newConfig func(placement.Tuning) placement.Config
	target    bool
	// maxAsks and digestInterval set the fields of the poolCase.
	maxAsks        int
	digestInterval time.Duration
}

// nonBaselines is the number of strategies that are not baselines. They are first
// in the list.
const nonBaselines = 3

func placementStrategies() []placementStrategy {
	return []placementStrategy{
		{name: "asking", newConfig: placement.Standard, target: true, maxAsks: placementMaxAsks, digestInterval: time.Second},
		{name: "digests only", newConfig: placement.Standard, digestInterval: time.Second},
		{name: "reports only", newConfig: placement.Standard},
		{name: "random", newConfig: func(placement.Tuning) placement.Config { return placement.RandomBaseline() }},
		{name: "round robin", newConfig: func(placement.Tuning) placement.Config { return placement.RoundRobinBaseline() }},
		{name: "least reported", newConfig: func(placement.Tuning) placement.Config { return placement.LeastReportedBaseline() }},
	}
}

// joinShortestQueue picks the least loaded engine. As an oracle it sees the actual
// loads.
func joinShortestQueue(placement.Tuning) placement.Config {
	return placement.Config{Scorers: []placement.Scorer{placement.ReportedLoad{}}, Picker: placement.LeastScore{}}
}

// leastScore is the standard configuration without the random draw, for oracles.
func leastScore(tuning placement.Tuning) placement.Config {
	cfg := placement.Standard(tuning)
	cfg.Picker = placement.LeastScore{}
	return cfg
}

func runPlacement(seeds int) ([]Row, error) {
	threeZones := poolCase{zones: 3, instances: 9, engines: 12, slots: 8, utilisation: 0.85, length: 2 * time.Minute}
	fourZones := poolCase{zones: 4, instances: 9, engines: 18, slots: 8, utilisation: 0.85, length: 2 * time.Minute}
	shared := threeZones
	shared.groups, shared.cacheBlocks, shared.events = 400, 1200, true
	noEvents := shared
	noEvents.events = false
	slow := threeZones
	slow.slowEngine, slow.utilisation = 3, 0.7
	deadPoller := threeZones
	deadPoller.deadPoller = true
	lostZone := fourZones
	lostZone.lostZone, lostZone.utilisation = true, 0.6

	all := placementStrategies()
	measured := all[:nonBaselines]
	var rows []Row
	rows = append(rows, placementRows("12 engines", threeZones, seeds, true, all)...)
	rows = append(rows, placementRows("18 engines", fourZones, seeds, true, all)...)
	rows = append(rows, placementRows("12 engines, shared prefixes", shared, seeds, true, measured)...)
	rows = append(rows, placementRows("12 engines, shared prefixes, no events", noEvents, seeds, true, measured)...)
	rows = append(rows, placementRows("12 engines, one 3 times slower, 70%", slow, seeds, false, measured)...)
	rows = append(rows, placementRows("12 engines, a poller dead", deadPoller, seeds, false, measured)...)
	rows = append(rows, placementRows("18 engines, a zone lost at 60%", lostZone, seeds, false, measured)...)
	return rows, nil
}

// placementRows compares the strategies in one case with the oracles.
func placementRows(name string, c poolCase, seeds int, targets bool, strategies []placementStrategy) []Row {
	queueOracle := poolRuns(c, seeds, true, joinShortestQueue)
	prefixOracle := poolRuns(c, seeds, true, leastScore)
	var rows []Row
	for _, strategy := range strategies {
		c.maxAsks, c.digestInterval = strategy.maxAsks, strategy.digestInterval
		runs := poolRuns(c, seeds, false, strategy.newConfig)
		label := fmt.Sprintf("%s: %s", name, strategy.name)
		var first, wait, hits, remote, asked []float64
		for i, run := range runs {
			first = append(first, run.firstToken/queueOracle[i].firstToken)
			wait = append(wait, run.wait-queueOracle[i].wait)
			hits = append(hits, run.hits/max(1e-9, prefixOracle[i].hits))
			remote = append(remote, run.remote)
			asked = append(asked, run.asksPerRequest)
		}
		rows = append(rows, newRow(label, "p99 first token / JSQ oracle's", target(strategy.target && targets, MeanAtMost, targetFirstToken), first))
		rows = append(rows, newRow(label, "p99 wait - JSQ oracle's, ms", Target{}, wait))
		if c.groups > 0 {
			rows = append(rows, newRow(label, "prefix hits / oracle's", target(strategy.target && targets, MeanAtLeast, targetHits), hits))
		}
		if strategy.maxAsks > 0 {
			rows = append(rows, newRow(label, "asks per request", Target{}, asked))
		}
		rows = append(rows, newRow(label, "share sent to another zone", Target{}, remote))
	}
	return rows
}

func target(applies bool, bound Bound, value float64) Target {
	if !applies {
		return Target{}
	}
	return Target{Bound: bound, Value: value}
}

// poolRuns runs one case once per seed, numbered from 1 to the argument seeds.
func poolRuns(c poolCase, seeds int, oracle bool, newConfig func(placement.Tuning) placement.Config) []poolResult {
	c.oracle = oracle
	c.newConfig = newConfig
	var results []poolResult
	for seed := range uint64(seeds) {
		results = append(results, runPool(c, seed+1))
	}
	return results
}
