package experiment

import (
	"fmt"
	"time"

	"github.com/wigeonusher/wigeonusher/policy/placement"
)

// Targets of placement.
const (
	targetFirstToken = 1.2 // of a join-shortest-queue oracle's
	targetHits       = 0.9 // of an oracle's
)

// placementAsks is the most asks for one request.
const placementAsks = 12

// placementWay is one way to place requests.
type placementWay struct {
	name   string
	steps  func(placement.Tuning) placement.Config
	target bool
	// asks and digest are those of a poolCase.
	asks   int
	digest time.Duration
}

// ownWays is the number of ways that are not baselines, which come first.
const ownWays = 3

func placementWays() []placementWay {
	return []placementWay{
		{name: "asking", steps: placement.Standard, target: true, asks: placementAsks, digest: time.Second},
		{name: "digests only", steps: placement.Standard, digest: time.Second},
		{name: "reports only", steps: placement.Standard},
		{name: "random", steps: func(placement.Tuning) placement.Config { return placement.RandomBaseline() }},
		{name: "round robin", steps: func(placement.Tuning) placement.Config { return placement.RoundRobinBaseline() }},
		{name: "least reported", steps: func(placement.Tuning) placement.Config { return placement.LeastReportedBaseline() }},
	}
}

// joinShortestQueue knows every load as it is.
func joinShortestQueue(placement.Tuning) placement.Config {
	return placement.Config{Scorers: []placement.Scorer{placement.ReportedLoad{}}, Picker: placement.LeastScore{}}
}

// leastScore is the standard way without the random draw, for oracles.
func leastScore(tuning placement.Tuning) placement.Config {
	steps := placement.Standard(tuning)
	steps.Picker = placement.LeastScore{}
	return steps
}

func runPlacement(seeds int) ([]Row, error) {
	sheetline := poolCase{zones: 3, instances: 9, engines: 12, slots: 8, utilisation: 0.85, length: 2 * time.Minute}
	guild := poolCase{zones: 4, instances: 9, engines: 18, slots: 8, utilisation: 0.85, length: 2 * time.Minute}
	shared := sheetline
	shared.groups, shared.cacheBlocks, shared.events = 400, 1200, true
	blind := shared
	blind.events = false
	slow := sheetline
	slow.slowEngine, slow.utilisation = 3, 0.7
	poller := sheetline
	poller.deadPoller = true
	lost := guild
	lost.lostZone, lost.utilisation = true, 0.6

	all := placementWays()
	own := all[:ownWays]
	var rows []Row
	rows = append(rows, placementRows("12 engines", sheetline, seeds, true, all)...)
	rows = append(rows, placementRows("18 engines", guild, seeds, true, all)...)
	rows = append(rows, placementRows("12 engines, shared prefixes", shared, seeds, true, own)...)
	rows = append(rows, placementRows("12 engines, shared prefixes, no events", blind, seeds, true, own)...)
	rows = append(rows, placementRows("12 engines, one 3 times slower, 70%", slow, seeds, false, own)...)
	rows = append(rows, placementRows("12 engines, a poller dead", poller, seeds, false, own)...)
	rows = append(rows, placementRows("18 engines, a zone lost at 60%", lost, seeds, false, own)...)
	return rows, nil
}

// placementRows measures the ways in one case, against the oracles.
func placementRows(name string, c poolCase, seeds int, targets bool, ways []placementWay) []Row {
	queueOracle := poolRuns(c, seeds, true, joinShortestQueue)
	prefixOracle := poolRuns(c, seeds, true, leastScore)
	var rows []Row
	for _, way := range ways {
		c.asks, c.digest = way.asks, way.digest
		runs := poolRuns(c, seeds, false, way.steps)
		label := fmt.Sprintf("%s: %s", name, way.name)
		var first, wait, hits, remote, asked []float64
		for i, run := range runs {
			first = append(first, run.firstToken/queueOracle[i].firstToken)
			wait = append(wait, run.wait-queueOracle[i].wait)
			hits = append(hits, run.hits/max(1e-9, prefixOracle[i].hits))
			remote = append(remote, run.remote)
			asked = append(asked, run.asked)
		}
		rows = append(rows, newRow(label, "p99 first token / JSQ oracle's", target(way.target && targets, MeanAtMost, targetFirstToken), first))
		rows = append(rows, newRow(label, "p99 wait - JSQ oracle's, ms", Target{}, wait))
		if c.groups > 0 {
			rows = append(rows, newRow(label, "prefix hits / oracle's", target(way.target && targets, MeanAtLeast, targetHits), hits))
		}
		if way.asks > 0 {
			rows = append(rows, newRow(label, "asks per request", Target{}, asked))
		}
		rows = append(rows, newRow(label, "share sent to another zone", Target{}, remote))
	}
	return rows
}

func target(wanted bool, bound Bound, value float64) Target {
	if !wanted {
		return Target{}
	}
	return Target{Bound: bound, Value: value}
}

// poolRuns runs one case with seeds 1 to seeds.
func poolRuns(c poolCase, seeds int, oracle bool, steps func(placement.Tuning) placement.Config) []poolResult {
	c.oracle = oracle
	c.steps = steps
	var results []poolResult
	for seed := range uint64(seeds) {
		results = append(results, runPool(c, seed+1))
	}
	return results
}
