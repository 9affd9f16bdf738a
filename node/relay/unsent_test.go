package relay

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/retry"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

func (c *Call) isAt(prefix string) bool { return strings.HasPrefix(string(c.Endpoint), prefix) }

// Endpoints that fail together appear idle, so they are tried first. The live ones must
// still be tried.
func TestAnswerIsNotCutOffWhileOneEndpointIsAlive(t *testing.T) {
	for _, c := range []struct {
		name string
		// dead is the number of endpoints that refuse connections once the answer has
		// begun.
		dead int
		put  func(h *harness)
	}{
		{"the zone of the instance is lost", 8, func(h *harness) { h.put("live", 8, "other", "v1") }},
		{"the endpoints of a rack are lost", 8, func(h *harness) {
			h.put("live", 8, "zone", "v2")
			h.load(t, "v2", 16)
		}},
		{"one endpoint of many is left", 30, func(h *harness) {
			h.put("live", 1, "zone", "v2")
			h.load(t, "v2", 4)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(testTable(testRoute(route.Stream)), c.dead, func(call *Call, number int) behavior {
					if number == 0 {
						return behavior{events: 2}
					}
					return behavior{refused: !call.isAt("live"), events: -1}
				})
				c.put(h)
				h.serve(testRequest())
				done := h.observer.done[0]
				t.Logf("%d calls, stopped: %q", len(h.endpoints.calls), done.Stopped)
				assert.Equal(t, h.client.body.String(), wholeStream(0))
				assert.Equal(t, h.budget.Available(time.Now()), 19.0, "only the broken attempt costs a retry")
				assert.Equal(t, h.endpoints.runs(), 2)
			})
		})
	}
}

// A call that must run at most once may go to another endpoint as long as no byte of it
// was sent.
func TestUnsentCallOfAtMostOnceRouteIsNotRefusedWhileOneEndpointIsAlive(t *testing.T) {
	h := newHarness(testTable(testRoute(route.AtMostOnce)), 8, func(call *Call, _ int) behavior {
		return behavior{refused: !call.isAt("live"), reset: true}
	})
	h.put("live", 2, "zone", "v2")
	h.load(t, "v2", 4)
	h.serve(testRequest())
	assert.Equal(t, h.endpoints.runs(), 1)
	assert.Equal(t, len(h.endpoints.calls), 9)
}

func TestRequestThatNoEndpointAcceptsIsRefusedAtOnce(t *testing.T) {
	for _, kind := range []route.Kind{route.AtMostOnce, route.Idempotent, route.Stream} {
		for _, busy := range []behavior{{refused: true}, {notExecuted: true}} {
			for _, endpoints := range []int{0, 3, 40} {
				synctest.Test(t, func(t *testing.T) {
					started := time.Now()
					h := newHarness(testTable(testRoute(kind)), endpoints, func(*Call, int) behavior { return busy })
					h.serve(testRequest())
					assert.Equal(t, time.Since(started), time.Duration(0))
					assert.Assert(t, h.client.refusal.NotRun)
					assert.Assert(t, h.client.refusal.RetryAfter > 0)
					assert.Assert(t, len(h.endpoints.calls) <= max(maxTries, endpoints))
				})
			}
		}
	}
}

// For a moment, each endpoint refuses or rejects the calls that would continue an
// answer. Its client still waits.
func TestAnswerThatHasBegunIsNotCutOffWhileNoEndpointTakesItForAMoment(t *testing.T) {
	const busyFor = 300 * time.Millisecond
	always := func(*Call) bool { return true }
	for _, c := range []struct {
		name      string
		endpoints int
		busy      behavior
		// back reports whether the endpoint of the call accepts it after busyFor.
		back func(call *Call) bool
		// within is the time within which the answer must be complete.
		within time.Duration
	}{
		{"all refuse connections", 3, behavior{refused: true}, always, busyFor},
		{"all of many refuse connections", 20, behavior{refused: true}, always, busyFor},
		{"one that refused accepts connections again", 4, behavior{refused: true}, func(call *Call) bool { return call.isAt("e2") }, 1200 * time.Millisecond},
		{"all are full", 12, behavior{notExecuted: true}, always, busyFor},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				h := newHarness(testTable(testRoute(route.Stream)), c.endpoints, func(call *Call, number int) behavior {
					switch {
					case number == 0:
						return behavior{events: 2}
					case time.Since(started) < busyFor || !c.back(call):
						return c.busy
					default:
						return behavior{events: -1}
					}
				})
				request := testRequest()
				request.Prompt = []PromptPart{{ID: "shared"}, {ID: "own"}}
				h.serve(request)
				t.Logf("%d calls, %v, stopped: %q", len(h.endpoints.calls), time.Since(started), h.observer.done[0].Stopped)
				assert.Equal(t, h.client.body.String(), wholeStream(0))
				assert.Assert(t, time.Since(started) <= c.within)
				assert.Equal(t, h.endpoints.runs(), 2)
			})
		})
	}
}

// An answer that has begun waits for an endpoint only as long as its client does, and
// the number of its connections is bounded.
func TestAnswerThatHasBegunWaitsNoLongerThanItsClient(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(rt *route.Route)
		begun  bool
		// The answer is aborted between shortest and longest after the arrival.
		shortest, longest time.Duration
	}{
		{"the objectives are short", func(rt *route.Route) { rt.TargetLatency, rt.TargetGap = 300*time.Millisecond, 100*time.Millisecond }, true, 1500 * time.Millisecond, 2 * time.Second},
		{"the latency objective is long", func(rt *route.Route) { rt.TargetLatency, rt.TargetGap = 800*time.Millisecond, 100*time.Millisecond }, true, 2700 * time.Millisecond, 3200 * time.Millisecond},
		{"long pauses are allowed", func(rt *route.Route) { rt.TargetLatency, rt.TargetGap = 300*time.Millisecond, 500*time.Millisecond }, true, 3500 * time.Millisecond, 4 * time.Second},
		{"the deadline is near", func(*route.Route) {}, true, 4500 * time.Millisecond, 5*time.Second - minRemaining},
		{"the stream can only be restarted", func(rt *route.Route) { rt.Resumable, rt.Restartable = false, true }, true, 0, 0},
		{"the answer has not begun", func(*route.Route) {}, false, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rt := testRoute(route.Stream)
				c.change(rt)
				started := time.Now()
				h := newHarness(testTable(rt), 8, func(_ *Call, number int) behavior {
					return behavior{refused: number > 0 || !c.begun, events: 2}
				})
				h.serve(testRequest())
				took, done := time.Since(started), h.observer.done[0]
				t.Logf("%d calls, %v, stopped: %q", len(h.endpoints.calls), took, done.Stopped)
				assert.Assert(t, took >= c.shortest && took <= c.longest, "%v", took)
				assert.Assert(t, len(h.endpoints.calls) <= 9+10*int(took/time.Second+1))
				if c.begun && rt.Resumable || !c.begun {
					assert.Equal(t, done.Stopped, StopUnsent)
				}
				if !c.begun {
					assert.Assert(t, h.client.refusal.NotRun)
					assert.Assert(t, h.client.refusal.RetryAfter > 0)
				}
			})
		})
	}
}

func TestWaitingAnswerEndsWhenItsClientLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, leave := context.WithCancel(t.Context())
		started := time.Now()
		time.AfterFunc(time.Second, leave)
		h := newHarness(testTable(testRoute(route.Stream)), 3, func(_ *Call, number int) behavior {
			return behavior{refused: number > 0, events: 2}
		})
		h.relay.Serve(ctx, testRequest(), h.client)
		assert.Equal(t, time.Since(started), time.Second)
		assert.Equal(t, h.observer.done[0].Stopped, StopClientGone)
	})
}

// A rejected call costs a retry, waiting or not.
func TestWaitingAnswerTakesARetryForEachRejection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(testTable(testRoute(route.Stream)), 12, func(_ *Call, number int) behavior {
			return behavior{notExecuted: number > 0, events: 2}
		})
		h.budget = retry.NewWindow(retry.WindowConfig{Length: 10 * time.Second, Slack: 3})
		h.relay.Budgets = singleBudget{h.budget}
		h.serve(testRequest())
		assert.Equal(t, len(h.endpoints.calls), 4)
		assert.Equal(t, h.observer.done[0].Stopped, StopBudget)
	})
}

// For a moment, no endpoint that may continue an answer is listed.
func TestAnswerThatHasBegunIsNotCutOffWhileNoEndpointIsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		var h *harness
		h = newHarness(testTable(testRoute(route.Stream)), 1, func(_ *Call, number int) behavior {
			if number > 0 {
				return behavior{events: -1}
			}
			h.pools.Remove(time.Now(), "e0")
			time.AfterFunc(250*time.Millisecond, func() { h.put("new", 1, "zone", "v1") })
			return behavior{events: 2}
		})
		h.serve(testRequest())
		t.Logf("%v, stopped: %q", time.Since(started), h.observer.done[0].Stopped)
		assert.Equal(t, h.client.body.String(), wholeStream(0))
		assert.Equal(t, time.Since(started), 300*time.Millisecond)
	})
}
