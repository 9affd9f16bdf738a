package platformdemo

import (
	"fmt"
	"time"

	"github.com/wigeonusher/wigeonusher/platform/platformtest"
)

// Kind is the kind of a request.
type Kind string

// Kinds of requests.
const (
	Stream     Kind = "stream"
	AtMostOnce Kind = "once"
	Idempotent Kind = "repeat"
)

// Attempt is one attempt of a client with its answer.
type Attempt struct {
	Kind    Kind
	Request platformtest.Request
	Answer  platformtest.Answer
	// SentAt is when the request was sent, and Duration the time until the end of
	// its answer.
	SentAt   time.Time
	Duration time.Duration
	// InstanceStopping reports that the instance was stopping by the end of the
	// answer.
	InstanceStopping bool
}

// EngineArrival is a request that reached an engine.
type EngineArrival struct {
	Engine string
	platformtest.Arrival
}

// Bounds are the limits that the fleet must keep.
type Bounds struct {
	// MaxAttempts is how often engines may run a request of a kind other than
	// AtMostOnce.
	MaxAttempts int
	// DrainDelay is how long a draining engine may still receive requests.
	// Requests sent more than RevocationDelay after their key was revoked must
	// not reach an engine.
	DrainDelay, RevocationDelay time.Duration
	// RetryRatio and RetrySlack bound the arrivals beyond the first of each
	// request: RetryRatio times the number of requests, plus RetrySlack.
	RetryRatio, RetrySlack float64
	// LimitArrivals is how many requests an engine that names a limit may get within each
	// LimitWindow, from LimitDelay after it has named the limit.
	LimitDelay, LimitWindow time.Duration
	LimitArrivals           int
	// BadPartArrivals is how many requests with a part that crashes engines may reach them
	// later than BadPartDelay after the fifth crash.
	BadPartDelay    time.Duration
	BadPartArrivals int
	// RestArrivals is how many requests an engine that asks for rest may get from RestDelay after
	// it begins to, until RestTime: those that are told, and those on their way, of all
	// instances. LeavingArrivals is the same for an engine that says in its answers that it
	// leaves, from DrainDelay on.
	RestDelay, RestTime           time.Duration
	RestArrivals, LeavingArrivals int
	// LateTolerance is how long after a client's timeout its answer may arrive.
	LateTolerance time.Duration
}

// Timeline holds the times of an engine's drain, of another one's limit and of a key's
// revocation. The time of an event that did not happen is zero.
type Timeline struct {
	// DrainedAt is when the engine DrainedEngine registered as draining.
	DrainedAt     time.Time
	DrainedEngine string
	// LimitedAt is when the engine LimitedEngine began to name a limit.
	LimitedAt     time.Time
	LimitedEngine string
	// RestedAt is when the engine RestedEngine began to ask for rest, AnnouncedAt when
	// AnnouncedEngine began to say in its answers that it leaves.
	RestedAt        time.Time
	RestedEngine    string
	AnnouncedAt     time.Time
	AnnouncedEngine string
	// RevokedAt is when the key RevokedKey was revoked.
	RevokedAt  time.Time
	RevokedKey string
	// BadPart is a part of prompts that crashes engines, empty before it is in use. Crashes are
	// the times of all crashes, in their order.
	BadPart string
	Crashes []time.Time
}

// Trace holds everything observed in a run.
type Trace struct {
	Attempts []Attempt
	Arrivals []EngineArrival
	Timeline Timeline
	// RolledBack reports that the roll-out, whose version is good, was rolled
	// back.
	RolledBack bool
}

// Rule is the result of checking one rule.
type Rule struct {
	Name string `json:"rule"`
	// Cases is the number of cases checked, and Violations the number of cases
	// that break the rule.
	Cases      int `json:"checked"`
	Violations int `json:"broken"`
	// Example describes the first case that breaks the rule.
	Example string `json:"example,omitempty"`
}

// check records one case.
func (r *Rule) check(holds bool, format string, arguments ...any) {
	r.Cases++
	if holds {
		return
	}
	r.Violations++
	if r.Example == "" {
		r.Example = fmt.Sprintf(format, arguments...)
	}
}

// Check checks a trace against the rules.
func Check(trace *Trace, bounds Bounds) []Rule {
	runs := make(map[string]int)
	arrivals := make(map[string]int)
	for _, a := range trace.Arrivals {
		arrivals[a.RequestID()]++
		if a.Ran {
			runs[a.RequestID()]++
		}
	}
	return []Rule{
		checkAnswered(trace, bounds),
		checkStreams(trace),
		checkNotRun(trace, runs),
		checkAttempts(trace, runs, bounds),
		checkRetries(trace, arrivals, bounds),
		checkDrain(trace, bounds),
		checkLimit(trace, bounds),
		checkRest(trace, bounds),
		checkLeaving(trace, bounds),
		checkBadPart(trace, bounds),
		checkRevocation(trace, bounds),
		checkStop(trace),
		checkRollout(trace),
	}
}

func checkAnswered(trace *Trace, bounds Bounds) Rule {
	rule := Rule{Name: "each client has its final answer by its deadline"}
	for _, attempt := range trace.Attempts {
		rule.check(attempt.Duration <= attempt.Request.Timeout+bounds.LateTolerance, "%s took %s of %s", attempt.Request.ID, attempt.Duration, attempt.Request.Timeout)
	}
	return rule
}

func checkStreams(trace *Trace) Rule {
	rule := Rule{Name: "a stream is whole or looks broken off"}
	for _, attempt := range trace.Attempts {
		if attempt.Kind == Stream && attempt.Answer.Status == 200 && attempt.Answer.Complete {
			rule.check(attempt.Answer.Body == platformtest.EventsAfter(0), "%s: %q", attempt.Request.ID, attempt.Answer.Body)
		}
	}
	return rule
}

func checkNotRun(trace *Trace, runs map[string]int) Rule {
	rule := Rule{Name: "what is refused as not run has not run"}
	for _, attempt := range trace.Attempts {
		if attempt.Answer.NotRun {
			rule.check(runs[attempt.Request.ID] == 0, "%s ran %d times", attempt.Request.ID, runs[attempt.Request.ID])
		}
	}
	return rule
}

func checkAttempts(trace *Trace, runs map[string]int, bounds Bounds) Rule {
	rule := Rule{Name: "no request runs more often than it may"}
	for _, attempt := range trace.Attempts {
		allowed := bounds.MaxAttempts
		if attempt.Kind == AtMostOnce {
			allowed = 1
		}
		rule.check(runs[attempt.Request.ID] <= allowed, "%s ran %d times, %d allowed", attempt.Request.ID, runs[attempt.Request.ID], allowed)
	}
	return rule
}

func checkRetries(trace *Trace, arrivals map[string]int, bounds Bounds) Rule {
	rule := Rule{Name: "retries stay within the fleet's budget"}
	retries, requests := 0, len(trace.Attempts)
	for _, count := range arrivals {
		retries += count - 1
	}
	limit := bounds.RetryRatio*float64(requests) + bounds.RetrySlack
	rule.check(float64(retries) <= limit, "%d arrivals beyond the first of %d requests", retries, requests)
	return rule
}

func checkDrain(trace *Trace, bounds Bounds) Rule {
	rule := Rule{Name: "a draining engine gets no request after the bound"}
	for _, a := range trace.Arrivals {
		if a.Engine == trace.Timeline.DrainedEngine && !trace.Timeline.DrainedAt.IsZero() {
			after := a.ReceivedAt.Sub(trace.Timeline.DrainedAt)
			rule.check(after <= bounds.DrainDelay, "%s arrived %s after", a.RequestID(), after)
		}
	}
	return rule
}

func checkLimit(trace *Trace, bounds Bounds) Rule {
	rule := Rule{Name: "an engine in need gets no more than it takes"}
	var times []time.Time
	for _, a := range trace.Arrivals {
		isLimited := a.Engine == trace.Timeline.LimitedEngine && !trace.Timeline.LimitedAt.IsZero()
		if isLimited && a.ReceivedAt.Sub(trace.Timeline.LimitedAt) >= bounds.LimitDelay {
			times = append(times, a.ReceivedAt)
		}
	}
	for first, start := range times {
		within := 0
		for _, at := range times[first:] {
			if at.Sub(start) < bounds.LimitWindow {
				within++
			}
		}
		rule.check(within <= bounds.LimitArrivals, "%d requests within %s, %d allowed", within, bounds.LimitWindow, bounds.LimitArrivals)
	}
	return rule
}

func checkRest(trace *Trace, bounds Bounds) Rule {
	rule := Rule{Name: "an engine that asks for rest gets it within the bound"}
	count := 0
	for _, a := range trace.Arrivals {
		since := a.ReceivedAt.Sub(trace.Timeline.RestedAt)
		if a.Engine == trace.Timeline.RestedEngine && since > bounds.RestDelay && since < bounds.RestTime {
			count++
		}
	}
	rule.check(count <= bounds.RestArrivals, "%d requests, %d allowed", count, bounds.RestArrivals)
	return rule
}

func checkLeaving(trace *Trace, bounds Bounds) Rule {
	rule := Rule{Name: "an engine that says it leaves gets nothing after the bound"}
	count := 0
	for _, a := range trace.Arrivals {
		if a.Engine == trace.Timeline.AnnouncedEngine && a.ReceivedAt.Sub(trace.Timeline.AnnouncedAt) > bounds.DrainDelay {
			count++
		}
	}
	rule.check(count <= bounds.LeavingArrivals, "%d requests, %d allowed", count, bounds.LeavingArrivals)
	return rule
}

func checkBadPart(trace *Trace, bounds Bounds) Rule {
	const fifth = 5
	rule := Rule{Name: "a part that crashes engines is not sent after the bound"}
	late := 0
	for _, a := range trace.Arrivals {
		if len(trace.Timeline.Crashes) >= fifth && a.HasPart(trace.Timeline.BadPart) &&
			a.ReceivedAt.Sub(trace.Timeline.Crashes[fifth-1]) > bounds.BadPartDelay {
			late++
		}
	}
	rule.check(late <= bounds.BadPartArrivals, "%d requests with the part, %d crashes", late, len(trace.Timeline.Crashes))
	return rule
}

func checkRevocation(trace *Trace, bounds Bounds) Rule {
	rule := Rule{Name: "a revoked key runs nothing after the bound"}
	isLate := make(map[string]bool) // whether a request with the revoked key was sent after the bound, by ID
	for _, attempt := range trace.Attempts {
		if attempt.Request.Key == trace.Timeline.RevokedKey && !trace.Timeline.RevokedAt.IsZero() {
			isLate[attempt.Request.ID] = attempt.SentAt.After(trace.Timeline.RevokedAt.Add(bounds.RevocationDelay))
		}
	}
	for _, a := range trace.Arrivals {
		if late, known := isLate[a.RequestID()]; known {
			rule.check(!late, "%s of account %s", a.RequestID(), a.Account())
		}
	}
	return rule
}

func checkStop(trace *Trace) Rule {
	rule := Rule{Name: "a planned stop cuts off no request"}
	for _, attempt := range trace.Attempts {
		if attempt.InstanceStopping {
			rule.check(attempt.Answer.Status != 0, "%s: %v", attempt.Request.ID, attempt.Answer.Err)
		}
	}
	return rule
}

func checkRollout(trace *Trace) Rule {
	rule := Rule{Name: "a good version is not rolled back"}
	rule.check(!trace.RolledBack, "it was")
	return rule
}
