package relay

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// Each case breaks a stream after two events and prevents its continuation in another
// way.
func TestAbortedAnswerHasAStopReason(t *testing.T) {
	const endpoints = 8
	for _, c := range []struct {
		name string
		// configure changes the route before the request, and onFirstCall the state of
		// the relay when the first call arrives; nil changes nothing. next is what
		// happens to the later calls.
		configure   func(rt *route.Route)
		onFirstCall func(h *harness)
		next        behavior
		stop        StopReason
		sent        int
		// unsent is the number of unsent attempts; lastVerdict and lastError are those
		// of the last attempt.
		unsent      int
		lastVerdict string
		lastError   string
	}{
		{
			// All other endpoints refuse, and so does one after each of the 13 pauses that
			// the deadline leaves time for.
			name: "connections refused", next: behavior{refused: true}, stop: StopUnsent,
			sent: 1, unsent: endpoints - 1 + 13, lastVerdict: "not sent", lastError: "relay: no answer: connection refused",
		},
		{
			name: "key revoked", onFirstCall: func(h *harness) {
				h.tables.set(route.NewTable(2, route.Limits{}, []*route.Route{testRoute(route.Stream)}, nil, map[string]*route.Account{}))
			},
			stop: StopReason(UnknownKey), sent: 1, lastVerdict: "broken", lastError: "unexpected EOF",
		},
		{
			name: "route removed", onFirstCall: func(h *harness) {
				h.tables.set(route.NewTable(2, route.Limits{}, nil, nil, nil))
			},
			stop: StopReason(UnknownRoute), sent: 1, lastVerdict: "broken", lastError: "unexpected EOF",
		},
		{
			name: "no endpoint left", onFirstCall: func(h *harness) {
				for i := range endpoints {
					h.pools.Remove(time.Now(), platform.EndpointID("e"+strconv.Itoa(i)))
				}
			},
			stop: StopReason(NoEndpoint), sent: 1, lastVerdict: "broken", lastError: "unexpected EOF",
		},
		{
			name: "budget empty", onFirstCall: func(h *harness) {
				for h.budget.WithdrawUrgent(time.Now()) {
				}
			},
			stop: StopBudget, sent: 1, lastVerdict: "broken", lastError: "unexpected EOF",
		},
		{
			name: "not resumable", configure: func(rt *route.Route) { rt.Resumable, rt.Restartable = false, true },
			stop: StopNotResumable, sent: 1, lastVerdict: "broken", lastError: "unexpected EOF",
		},
		{
			name: "attempts used up", next: behavior{reset: true}, stop: StopRuns,
			sent: 3, lastVerdict: "broken", lastError: "relay: no answer: connection reset",
		},
		{
			name: "not executed anywhere", next: behavior{notExecuted: true}, stop: StopTries,
			sent: maxTries, lastVerdict: "not executed",
		},
		{
			name: "deadline", next: behavior{silent: true}, configure: func(rt *route.Route) { rt.MaxAttempts = 2 },
			stop: StopReason(DeadlineExceeded), sent: 2, lastVerdict: "broken", lastError: "i/o timeout",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rt := testRoute(route.Stream)
				if c.configure != nil {
					c.configure(rt)
				}
				var h *harness
				h = newHarness(testTable(rt), endpoints, func(_ *Call, number int) behavior {
					if number > 0 {
						return c.next
					}
					if c.onFirstCall != nil {
						c.onFirstCall(h)
					}
					return behavior{events: 2}
				})
				h.serve(testRequest())
				done := h.observer.done[0]
				assert.Assert(t, done.Aborted)
				assert.Equal(t, done.Stopped, c.stop)
				assert.Equal(t, done.Attempts, c.sent)
				assert.Equal(t, done.Unsent, c.unsent)
				assert.Equal(t, done.Last.Verdict, c.lastVerdict)
				assert.Equal(t, done.Last.Version, "v1")
				if c.lastError == "" {
					assert.NilError(t, done.Last.Err)
				} else {
					assert.ErrorContains(t, done.Last.Err, c.lastError)
				}
				assert.Assert(t, done.Broken != nil)
			})
		})
	}
}

// The unsent attempts after a broken one must not replace it in the final event.
func TestBrokenAttemptIsKnownAfterUnsentOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(testTable(testRoute(route.Stream)), 8, func(_ *Call, number int) behavior {
			return behavior{events: 2, refused: number > 0}
		})
		h.serve(testRequest())
		done := h.observer.done[0]
		assert.Equal(t, done.Broken.EndedBy, EndedByEndpoint)
		assert.Equal(t, done.Broken.Endpoint, string(h.endpoints.calls[0].call.Endpoint))
		assert.Equal(t, done.Unsent, len(h.endpoints.calls)-1)
		assert.Equal(t, done.Last.Endpoint, string(h.endpoints.calls[done.Unsent].call.Endpoint))
	})
}

func TestAnsweredRequestHasNoStopReason(t *testing.T) {
	h := newHarness(testTable(testRoute(route.Stream)), 2, func(_ *Call, number int) behavior {
		if number == 0 {
			return behavior{events: 2}
		}
		return behavior{events: -1}
	})
	h.serve(testRequest())
	assert.Equal(t, h.observer.done[0].Stopped, StopReason(""))
	assert.Equal(t, h.observer.attempts[0].EndedBy, EndedByEndpoint)
	assert.Equal(t, h.observer.attempts[1].EndedBy, EndedBy(""))
}

// A larger model that replaces the unavailable one must not leave a stop reason.
func TestReplacedModelLeavesNoStopReason(t *testing.T) {
	rt := testRoute(route.Idempotent)
	rt.MaxAttempts = 1
	h := newHarness(testTable(rt), 3, func(call *Call, _ int) behavior {
		return behavior{reset: call.Model == "small", events: -1}
	})
	h.relay.Planner = modelSequence{"small", "large"}
	h.serve(testRequest())
	assert.Equal(t, h.client.status, 200)
	assert.Equal(t, h.observer.done[0].Stopped, StopReason(""))
}

func TestAnswerAbortedByTheClientIsNotTakenForADeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, leave := context.WithCancel(t.Context())
		h := newHarness(testTable(testRoute(route.Stream)), 8, func(_ *Call, number int) behavior {
			if number == 1 {
				leave()
			}
			return behavior{events: 2, refused: number > 0}
		})
		h.relay.Serve(ctx, testRequest(), h.client)
		assert.Equal(t, h.observer.done[0].Stopped, StopClientGone)
	})
}

func TestCancellationByTheWatchdogIsNotReportedAsTheEndpoints(t *testing.T) {
	for _, c := range []struct {
		name     string
		behavior behavior
		probe    ProbeOutcome
		by       EndedBy
		cause    WatchdogCause
		// silence is the shortest silence after which the attempt may end.
		silence time.Duration
	}{
		{"silent and refusing connections", behavior{silent: true}, ProbeRefused, EndedByWatchdog, CauseSilence, minPatience},
		{"probes time out", behavior{silent: true}, ProbeTimedOut, EndedByWatchdog, CauseProbeTimedOut, silenceBeforeProbe},
		{"silent and probes fail", behavior{silent: true}, ProbeFailed, EndedByWatchdog, CauseSilence, minPatience},
		{"silent but reachable", behavior{silent: true}, ProbeReached, EndedByWatchdog, CauseSilence, minPatience},
		{"connection broken", behavior{reset: true}, ProbeReached, EndedByEndpoint, "", 0},
		{"stream cut", behavior{events: 2}, ProbeReached, EndedByEndpoint, "", 0},
		{"answer without proof", behavior{foreign: true, events: -1}, ProbeReached, EndedByProofCheck, "", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(testTable(testRoute(route.Stream)), 2, func(_ *Call, number int) behavior {
					if number == 0 {
						return c.behavior
					}
					return behavior{events: -1}
				})
				h.relay.Prober = probeResult(c.probe)
				h.serve(testRequest())
				first := h.observer.attempts[0]
				assert.Equal(t, first.Verdict, "broken")
				assert.Equal(t, first.EndedBy, c.by)
				assert.Equal(t, first.WatchdogCause, c.cause)
				if c.by == EndedByWatchdog {
					assert.Assert(t, first.Silence >= c.silence)
					assert.Equal(t, first.Silence, first.Took, "nothing arrived")
				} else {
					assert.Equal(t, first.Silence, time.Duration(0))
				}
				assert.Equal(t, h.observer.attempts[1].EndedBy, EndedBy(""))
			})
		})
	}
}

func TestEndByTheClientOrTheDeadlineIsNotReportedAsTheEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		script := func(*Call, int) behavior { return behavior{silent: true} }
		h := newHarness(testTable(testRoute(route.AtMostOnce)), 1, script)
		h.serve(testRequest())
		assert.Equal(t, h.observer.attempts[0].EndedBy, EndedByDeadline)

		h = newHarness(testTable(testRoute(route.AtMostOnce)), 1, script)
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, leave)
		h.relay.Serve(ctx, testRequest(), h.client)
		assert.Equal(t, h.observer.attempts[0].EndedBy, EndedByClient)
	})
}
