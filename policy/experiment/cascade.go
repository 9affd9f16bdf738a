package experiment

import (
	"fmt"
	"math"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/cascade"
	"github.com/wigeonusher/wigeonusher/policy/document"
)

// costRatioTarget is the maximum cost of the learned plans, as a multiple of the
// oracle's cost.
const costRatioTarget = 1.15

// After a shift, the first shiftSkipped requests of the class don't count for the
// target, and the next shiftMeasured do.
const (
	shiftSkipped  = 200
	shiftMeasured = 400
)

type namedPlanner struct {
	name    string
	planner func(platform.InstanceID) cascade.Planner
}

func newLearnedPlanner(id platform.InstanceID) cascade.Planner { return cascade.NewLearningPlanner(id) }

func planners() []namedPlanner {
	return []namedPlanner{
		{"learned", newLearnedPlanner},
		{"best fixed plans, distributions known", func(platform.InstanceID) cascade.Planner { return knownDistributions{} }},
		{"always strong", func(platform.InstanceID) cascade.Planner { return cascade.AlwaysStrong{} }},
		{"always cheap, then strong below 0.5", func(platform.InstanceID) cascade.Planner {
			return cascade.AlwaysCheapThenStrong{Accept: 0.5}
		}},
		{"always cheap, then strong below 0.7", func(platform.InstanceID) cascade.Planner {
			return cascade.AlwaysCheapThenStrong{Accept: 0.7}
		}},
		{"always cheap", func(platform.InstanceID) cascade.Planner { return cascade.AlwaysCheap{} }},
	}
}

// knownDistributions uses for each class the cheapest plan that meets the target. It
// knows the distributions of answers in advance, but no single answer. Its cost is a
// lower bound for planners that cannot predict single answers.
type knownDistributions struct{ cascade.AlwaysStrong }

// Plan implements [cascade.Planner].
func (k knownDistributions) Plan(random cascade.Random, rule document.ClassRule, explore float64, request cascade.Request) cascade.Plan {
	accept := map[document.TaskClass]float64{"tag": 0.45, "lookup": 0.5}[request.Class]
	if accept == 0 {
		return k.AlwaysStrong.Plan(random, rule, explore, request)
	}
	return cascade.AlwaysCheapThenStrong{Accept: accept}.Plan(random, rule, explore, request)
}

// costRule minimizes cost, and latencyRule mainly latency.
var (
	costRule    = document.ClassRule{CostWeight: 1}
	latencyRule = document.ClassRule{CostWeight: 0.05, LatencyWeight: 1}
)

func runCascade(seeds int) ([]Row, error) {
	var rows []Row
	for _, p := range planners() {
		rows = append(rows, steadyRows(p, costRule, seeds)...)
	}
	latency := namedPlanner{"learned, weighing latency", newLearnedPlanner}
	rows = append(rows, steadyRows(latency, latencyRule, seeds)...)
	for _, after := range []float64{0.85, 0.6, 0.2} {
		rows = append(rows, shiftRows("tag", after, seeds)...)
	}
	rows = append(rows, shiftRows("lookup", 0.5, seeds)...)
	return rows, nil
}

// steadyRows measures cost, quality and latency after a warm-up.
func steadyRows(p namedPlanner, rule document.ClassRule, seeds int) []Row {
	var ratio, latency []float64
	quality := map[document.TaskClass][]float64{}
	for seed := range seeds {
		run := newCascadeRun(uint64(seed+1), rule, p.planner)
		run.serve(cascadeWarmUp)
		run.reset()
		run.serve(cascadeMeasured)
		total := run.total()
		ratio = append(ratio, total.cost/total.oracle)
		latency = append(latency, float64(total.latency)/float64(time.Millisecond)/float64(total.requests))
		for _, task := range run.tasks {
			t := run.tally(task.class)
			quality[task.class] = append(quality[task.class], float64(t.good)/float64(t.requests))
		}
	}
	var costTarget Target
	hasTarget := p.name == "learned"
	if hasTarget {
		costTarget = Target{Bound: MeanAtMost, Value: costRatioTarget}
	}
	rows := []Row{
		newRow(p.name, "cost in units of the oracle's", costTarget, ratio),
		newRow(p.name, "mean latency, ms", Target{}, latency),
	}
	for _, task := range tasks() {
		metric := fmt.Sprintf("quality of %s", task.class)
		target := Target{Bound: MeanAtLeast, Value: task.target}
		rows = append(rows, newRow(p.name, metric, target, quality[task.class]))
	}
	return rows
}

// shiftRows measures quality after the cheap version's quality drops in a class.
func shiftRows(class document.TaskClass, after float64, seeds int) []Row {
	var quality, during []float64
	target := 0.0
	for seed := range seeds {
		run := newCascadeRun(uint64(seed+1), costRule, newLearnedPlanner)
		run.serve(cascadeWarmUp)
		for i := range run.tasks {
			if run.tasks[i].class == class {
				run.tasks[i].cheapGood = after
				target = run.tasks[i].target
			}
		}
		during = append(during, run.qualityOver(class, shiftSkipped))
		quality = append(quality, run.qualityOver(class, shiftMeasured))
	}
	name := fmt.Sprintf("learned, cheap %s drops to %g", class, after)
	return []Row{
		newRow(name, fmt.Sprintf("quality of the first %d requests", shiftSkipped), Target{}, during),
		newRow(name, fmt.Sprintf("quality of the next %d requests", shiftMeasured), Target{Bound: MeanAtLeast, Value: target}, quality),
	}
}

// qualityOver returns the share of good answers over the next n requests of a
// class.
func (c *cascadeRun) qualityOver(class document.TaskClass, n int) float64 {
	c.reset()
	for c.tally(class).requests < n {
		c.serve(1)
	}
	return float64(c.tally(class).good) / math.Max(1, float64(n))
}

func (c *cascadeRun) total() tally {
	var total tally
	for _, task := range c.tasks {
		t := c.tally(task.class)
		total.requests += t.requests
		total.good += t.good
		total.cost += t.cost
		total.oracle += t.oracle
		total.latency += t.latency
	}
	return total
}
