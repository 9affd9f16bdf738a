package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/coord/retry"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

func TestSilentEndpointIsReplacedByAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(testTable(testRoute(route.Stream)), 2, func(_ *Call, number int) behavior {
			return behavior{silent: number == 0, events: -1}
		})
		started := time.Now()
		h.serve(testRequest())
		assert.Equal(t, h.client.body.String(), wholeStream(0))
		assert.Assert(t, time.Since(started) <= 5*time.Second, "before the deadline")
	})
}

func TestUnreachableEndpointIsReplacedAfterItsProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(testTable(testRoute(route.Stream)), 2, func(_ *Call, number int) behavior {
			return behavior{silent: number == 0, events: -1}
		})
		h.relay.Prober = probeResult(ProbeTimedOut)
		started := time.Now()
		h.serve(testRequest())
		assert.Equal(t, h.client.body.String(), wholeStream(0))
		assert.Assert(t, time.Since(started) <= silenceBeforeProbe+probePause)
	})
}

func TestSilentEndpointIsKeptIfNothingCouldFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h *harness
		h = newHarness(testTable(testRoute(route.Stream)), 2, func(*Call, int) behavior {
			for h.budget.Withdraw(time.Now()) {
			}
			return behavior{silent: true}
		})
		h.relay.Prober = probeResult(ProbeTimedOut)
		h.serve(testRequest())
		assert.Equal(t, h.endpoints.runs(), 1)
	})
}

// An endpoint that answers no probe may still answer the request. Its attempt must not
// be canceled if no other can follow.
func TestWatchdogKeepsAnAnswerThatNothingCanContinue(t *testing.T) {
	for _, c := range []struct {
		name string
		// change runs while the first call is in progress; nil makes the stream
		// restartable only.
		change func(h *harness, rt *route.Route, call *Call)
	}{
		{"the key was revoked", func(h *harness, rt *route.Route, _ *Call) {
			h.tables.set(route.NewTable(2, route.Limits{}, []*route.Route{rt}, nil, map[string]*route.Account{}))
		}},
		{"no other endpoint is listed", func(h *harness, _ *route.Route, call *Call) {
			for _, id := range []platform.EndpointID{"e0", "e1"} {
				if id != call.Endpoint {
					h.pools.Remove(time.Now(), id)
				}
			}
		}},
		{"all other endpoints are paused", func(h *harness, _ *route.Route, _ *Call) {
			for range 2 {
				lease, ok := h.pools.Service(testService).Choose(time.Now(), pool.Query{})
				assert.Assert(t, ok)
				lease.End(time.Now(), pool.Broken)
			}
		}},
		{"the other endpoints are of a version that is not allowed", func(h *harness, _ *route.Route, _ *Call) {
			isOther := func(version string) bool { return version == "v2" }
			h.picker.Versions = fixedChoice{Choice{Assigned: isOther, Allowed: isOther}}
		}},
		{"the other endpoints are of a replaced version", func(h *harness, _ *route.Route, _ *Call) {
			isNew := func(version string) bool { return version == "v2" }
			h.picker.Versions = fixedChoice{Choice{Assigned: isNew, Keeps: isNew}}
		}},
		{"the stream can only be restarted", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rt := testRoute(route.Stream)
				h := newHarness(testTable(rt), 2, nil)
				h.relay.Prober = probeResult(ProbeTimedOut)
				endpoints := &pausingEndpoints{pause: 2 * time.Second}
				if c.change == nil {
					rt.Resumable, rt.Restartable = false, true
				} else {
					endpoints.onFirstCall = func(call *Call) { c.change(h, rt, call) }
				}
				h.relay.Endpoints = endpoints
				h.serve(testRequest())
				assert.Equal(t, h.client.body.String(), wholeStream(0))
				assert.Equal(t, endpoints.calls, 1)
			})
		})
	}
}

func TestWatchdogKeepsAnAnswerWhoseTriesAreUsedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(testTable(testRoute(route.Stream)), 2*maxTries, nil)
		h.relay.Prober = probeResult(ProbeTimedOut)
		h.relay.Endpoints = &pausingEndpoints{pause: time.Second, rejections: maxTries - 1}
		h.serve(testRequest())
		assert.Equal(t, h.client.body.String(), wholeStream(0))
	})
}

// Several attempts share one retry budget: the watchdogs must not end more of them
// than the budget lets continue.
func TestWatchdogsEndNoMoreAnswersThanTheBudgetCovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(testTable(testRoute(route.Stream)), 8, nil)
		h.budget = retry.NewWindow(retry.WindowConfig{Length: 10 * time.Second, Slack: 1})
		h.relay.Budgets = singleBudget{h.budget}
		h.relay.Prober = slowUnanswered{}
		clients := make([]recordingClient, 4)
		endpoints := make([]pausingEndpoints, len(clients))
		var served sync.WaitGroup
		for i := range clients {
			relay := New(h.relay.Config)
			endpoints[i] = pausingEndpoints{pause: 900 * time.Millisecond, resumable: true}
			relay.Endpoints = &endpoints[i]
			served.Go(func() { relay.Serve(context.Background(), testRequest(), &clients[i]) })
		}
		served.Wait()
		calls := 0
		for i := range clients {
			assert.Equal(t, clients[i].body.String(), wholeStream(0), "client %d", i)
			calls += endpoints[i].calls
		}
		assert.Equal(t, calls, len(clients)+1, "the budget covers one retry")
	})
}

func TestWatchdogMovesAnAnswerToAnEndpointThatRejectedItBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(testTable(testRoute(route.Stream)), 2, func(_ *Call, number int) behavior {
			return behavior{notExecuted: number == 0, silent: number == 1, events: -1}
		})
		h.relay.Prober = probeResult(ProbeTimedOut)
		h.serve(testRequest())
		assert.Equal(t, h.client.body.String(), wholeStream(0))
	})
}

// A connection may go silent for good while the endpoint answers on new ones.
func TestOnlyEndpointIsAskedAgainOnANewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(testTable(testRoute(route.Stream)), 1, func(_ *Call, number int) behavior {
			return behavior{silent: number == 0, events: -1}
		})
		h.serve(testRequest())
		assert.Equal(t, h.client.body.String(), wholeStream(0))
	})
}

// The reserve of the budget is for answers that have begun, also in their further
// attempts.
func TestWatchdogUsesTheReserveForAnAnswerThatHasBegun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(testTable(testRoute(route.Stream)), 4, func(_ *Call, number int) behavior {
			switch number {
			case 0:
				return behavior{events: 2}
			case 1:
				return behavior{silent: true}
			default:
				return behavior{events: -1}
			}
		})
		h.relay.Prober = probeResult(ProbeTimedOut)
		h.budget = retry.NewWindow(retry.WindowConfig{Length: time.Minute, Slack: 2, Reserve: 2})
		h.relay.Budgets = singleBudget{h.budget}
		h.serve(testRequest())
		assert.Equal(t, h.client.body.String(), wholeStream(0))
	})
}

func TestBrokenStreamGoesOnWithAnEmptyBudget(t *testing.T) {
	h := newHarness(testTable(testRoute(route.Stream)), 2, func(_ *Call, number int) behavior {
		if number == 0 {
			return behavior{events: 2}
		}
		return behavior{events: -1}
	})
	for h.budget.Withdraw(time.Now()) {
	}
	h.serve(testRequest())
	assert.Equal(t, h.client.body.String(), wholeStream(0))
}

func TestAtMostOnceCallIsNotMovedFromASilentEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(testTable(testRoute(route.AtMostOnce)), 2, func(*Call, int) behavior { return behavior{silent: true} })
		started := time.Now()
		h.serve(testRequest())
		assert.Equal(t, time.Since(started), 5*time.Second)
		assert.Equal(t, h.endpoints.runs(), 1)
		assert.Assert(t, !h.client.refusal.NotRun)
	})
}
