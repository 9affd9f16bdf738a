package platformdemo

import (
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/platform/platformtest"
)

// TestDemoBreaksNoRule runs the script in a few seconds. Rules that bound times
// are skipped here and checked by the demo command only: on a busy machine they
// can fail without a fault in the code.
func TestDemoBreaksNoRule(t *testing.T) {
	result, err := Run(t.Context(), Config{Seed: 1, Duration: 5 * time.Second, Progress: io.Discard, Log: io.Discard})
	assert.NilError(t, err)
	assert.Assert(t, result.Answered > 0)
	for _, rule := range result.Rules {
		if strings.Contains(rule.Name, "deadline") || strings.Contains(rule.Name, "bound") {
			continue
		}
		assert.Equal(t, rule.Violations, 0, "%s: %s", rule.Name, rule.Example)
	}
}

var testBounds = Bounds{
	MaxAttempts: 3, DrainDelay: 2 * time.Second, RevocationDelay: 5 * time.Second, RetryRatio: 0.5, RetrySlack: 1, LateTolerance: time.Second,
	BadPartDelay: 2 * time.Second, BadPartArrivals: 1,
	RestDelay: time.Second / 2, RestTime: 3 * time.Second, RestArrivals: 1, LeavingArrivals: 1,
	LimitDelay: time.Second, LimitWindow: time.Second, LimitArrivals: 1,
}

// passingTrace returns the trace of a run that breaks no rule.
func passingTrace() *Trace {
	start := time.Unix(1000, 0)
	return &Trace{
		Attempts: []Attempt{
			{Kind: Stream, Request: platformtest.Request{ID: "1", Key: "old", Timeout: time.Second}, SentAt: start, Duration: time.Second, Answer: platformtest.Answer{Status: 200, Complete: true, Body: platformtest.EventsAfter(0)}},
			{Kind: AtMostOnce, Request: platformtest.Request{ID: "2", Timeout: time.Second}, SentAt: start, Answer: platformtest.Answer{Status: 503, NotRun: true}, InstanceStopping: true},
		},
		Arrivals: []EngineArrival{newArrival("1", "e1", start, true), newArrival("2", "e2", start.Add(time.Second), false)},
		Timeline: Timeline{
			DrainedAt: start, DrainedEngine: "e2", RevokedAt: start, RevokedKey: "old",
			LimitedAt: start.Add(-time.Second), LimitedEngine: "e1",
			RestedAt: start, RestedEngine: "e4", AnnouncedAt: start, AnnouncedEngine: "e5",
			BadPart: "dead", Crashes: []time.Time{start, start, start, start, start},
		},
	}
}

func newArrival(id, engine string, at time.Time, ran bool) EngineArrival {
	return EngineArrival{Engine: engine, Arrival: platformtest.NewArrival(id, "dead:1,own:1", at, ran)}
}

func TestCheckFindsEachBrokenRule(t *testing.T) {
	for _, rule := range Check(passingTrace(), testBounds) {
		assert.Equal(t, rule.Violations, 0, "%s: %s", rule.Name, rule.Example)
		assert.Assert(t, rule.Cases > 0, rule.Name)
	}
	later := time.Unix(1010, 0)
	for name, change := range map[string]func(*Trace){
		"each client has its final answer by its deadline": func(o *Trace) { o.Attempts[0].Duration = time.Minute },
		"a stream is whole or looks broken off":            func(o *Trace) { o.Attempts[0].Answer.Body += platformtest.Event(1) },
		"an engine in need gets no more than it takes": func(o *Trace) {
			o.Arrivals = append(o.Arrivals, newArrival("3", "e1", time.Unix(1000, 5e8), true))
		},
		"what is refused as not run has not run": func(o *Trace) { o.Arrivals[1].Ran = true },
		"no request runs more often than it may": func(o *Trace) {
			o.Attempts[1].Answer.NotRun = false
			o.Arrivals = append(o.Arrivals, newArrival("2", "e1", later, true), newArrival("2", "e1", later, true))
		},
		"retries stay within the fleet's budget": func(o *Trace) {
			for range 3 {
				o.Arrivals = append(o.Arrivals, newArrival("1", "e1", time.Unix(1000, 0), false))
			}
		},
		"a part that crashes engines is not sent after the bound": func(o *Trace) {
			o.Arrivals = append(o.Arrivals, newArrival("4", "e3", later, false), newArrival("5", "e3", later, false))
		},
		"an engine that asks for rest gets it within the bound": func(o *Trace) {
			in := time.Unix(1001, 0)
			o.Arrivals = append(o.Arrivals, newArrival("6", "e4", in, false), newArrival("7", "e4", in, false))
		},
		"an engine that says it leaves gets nothing after the bound": func(o *Trace) {
			o.Arrivals = append(o.Arrivals, newArrival("8", "e5", later, true), newArrival("9", "e5", later, true))
		},
		"a draining engine gets no request after the bound": func(o *Trace) { o.Arrivals[1].ReceivedAt = later },
		"a revoked key runs nothing after the bound":        func(o *Trace) { o.Attempts[0].SentAt = later },
		"a planned stop cuts off no request":                func(o *Trace) { o.Attempts[1].Answer = platformtest.Answer{Err: io.EOF} },
		"a good version is not rolled back":                 func(o *Trace) { o.RolledBack = true },
	} {
		trace := passingTrace()
		change(trace)
		violations := 0
		for _, rule := range Check(trace, testBounds) {
			if rule.Name == name {
				violations = rule.Violations
			}
		}
		assert.Assert(t, violations > 0, name)
	}
}
