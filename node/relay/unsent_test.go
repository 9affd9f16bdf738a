package relay

import (
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// put adds endpoints whose IDs start with the prefix.
func (h *harness) put(prefix string, count int, zone platform.Zone, version string) {
	for i := range count {
		h.pools.Put(pool.Record{
			ID: platform.EndpointID(prefix + strconv.Itoa(i)), Service: testService, Zone: zone,
			Address: "127.0.0.1:1", Version: version, Slots: 8,
		})
	}
}

func (c *Call) isAt(prefix string) bool { return strings.HasPrefix(string(c.Endpoint), prefix) }

// A group of endpoints fails together, and its endpoints look idle, so they are tried
// first. The live ones must still be tried.
func TestAnswerIsCutOffAlthoughOneEndpointIsAlive(t *testing.T) {
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

// load gives endpoints of the version requests in flight.
func (h *harness) load(t *testing.T, version string, requests int) {
	t.Helper()
	isVersion := func(v string) bool { return v == version }
	for range requests {
		_, ok := h.pools.Service(testService).Choose(time.Now(), pool.Query{Version: isVersion})
		assert.Assert(t, ok)
	}
}

// A call that may not run twice may still be sent to another endpoint while no byte of
// it was sent.
func TestUnsentCallOfAtMostOnceRouteIsRefusedAlthoughOneEndpointIsAlive(t *testing.T) {
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
