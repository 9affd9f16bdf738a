package versions

import (
	"time"

	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/policy/latency"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// usualTimes estimates the times of a service's answers as a function of the endpoint's
// load, by model: a new version has less load than the old one, which would hide that it is
// slower. The time of a stream is that between its events, because the first event also
// depends on the prompts that the endpoint has cached, and a new one has none. The time of a
// plain service's answer is that to the complete answer.
type usualTimes map[route.ModelName]*latency.Line

// minLoadVariance is the minimum variance of the load, in requests squared, for which the
// times are estimated as a function of it.
const minLoadVariance = 1

func timeOf(outcome relay.VersionOutcome) time.Duration {
	if outcome.Failed || outcome.Cold {
		return 0
	}
	if outcome.Model == "" {
		return outcome.FirstEvent
	}
	return outcome.Pace
}

// slowness returns the time of an answer divided by the usual one, 0 if unknown.
func (u usualTimes) slowness(outcome relay.VersionOutcome) float64 {
	line := u[outcome.Model]
	if line == nil || !line.HasEstimate() {
		return 0
	}
	return float64(timeOf(outcome)) / float64(line.Estimate(outcome.Load))
}

// farTolerance is how many times as slow the answers of a plain service may be because the
// new version's endpoints are in other zones. It does not matter for streams, whose times
// between events contain no distance.
const farTolerance = 1.25

func (u usualTimes) learn(outcome relay.VersionOutcome) {
	took := timeOf(outcome)
	if took <= 0 {
		return
	}
	line := u[outcome.Model]
	if line == nil {
		line = &latency.Line{MinVariance: minLoadVariance}
		u[outcome.Model] = line
	}
	line.Add(outcome.Load, took)
}
