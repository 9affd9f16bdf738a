package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// restEndpoints makes endpoints ask for rest, out of those with the given IDs.
func (h *harness) restEndpoints(rest time.Duration, ids ...platform.EndpointID) {
	endpoints := h.pools.Service(testService)
	for _, id := range ids {
		var others []platform.EndpointID
		for _, known := range h.pools.Snapshots() {
			if known.ID != id {
				others = append(others, known.ID)
			}
		}
		lease, ok := endpoints.Choose(time.Now(), pool.Query{Avoid: others})
		if !ok {
			panic("no such endpoint")
		}
		lease.RecordRest(time.Now(), rest)
		lease.End(time.Now(), pool.Full)
	}
}

// An endpoint's rest holds for all kinds of sends.
func TestRestingEndpointGetsNoKindOfSend(t *testing.T) {
	for _, c := range kindsOfSends() {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(testTable(c.route), 4, c.script)
			h.restEndpoints(time.Minute, "e0", "e1", "e3")
			request := testRequest()
			request.AnyModel = len(c.route.Models) > 0
			h.serve(request)
			assert.Equal(t, h.client.end, AnswerComplete)
			assert.Equal(t, len(h.endpoints.calls), c.sends)
			for _, received := range h.endpoints.calls {
				assert.Equal(t, received.call.Endpoint, platform.EndpointID("e2"))
			}
		})
	}
}

// Clients must be told at once, and not come back before the rest is over, nor all together.
func TestRequestIsRefusedAtOnceIfAllEndpointsRest(t *testing.T) {
	const rest = 3 * time.Second
	told := make(map[time.Duration]bool)
	for range 10 {
		h := newHarness(testTable(testRoute(route.Stream)), 2, func(*Call, int) behavior { return behavior{events: -1} })
		h.restEndpoints(rest, "e0", "e1")
		request := testRequest()
		request.Timeout = 0
		h.serve(request)
		assert.Equal(t, h.client.refusal.Reason, EndpointsLimited)
		assert.Assert(t, h.client.refusal.NotRun)
		assert.Assert(t, h.client.refusal.RetryAfter > rest-time.Second && h.client.refusal.RetryAfter < 2*rest, "%v", h.client.refusal.RetryAfter)
		assert.Equal(t, len(h.endpoints.calls), 0)
		told[h.client.refusal.RetryAfter] = true
	}
	assert.Assert(t, len(told) > 5, "spread")
}

// A rejection with a rest moves the request to another endpoint, and is no failure of its endpoint.
func TestRejectionWithARestIsNoFailure(t *testing.T) {
	h := newHarness(testTable(testRoute(route.Stream)), 2, func(_ *Call, number int) behavior {
		if number == 0 {
			return behavior{notExecuted: true, rest: time.Minute}
		}
		return behavior{events: -1}
	})
	h.serve(testRequest())
	assert.Equal(t, h.client.end, AnswerComplete)
	assert.Equal(t, len(h.endpoints.calls), 2)
	for _, known := range h.pools.Snapshots() {
		assert.Assert(t, known.Failing == 0 && !known.Paused, "%+v", known)
	}
}

// The endpoint of a request that waits for its connection asks for rest meanwhile.
func TestRequestChosenBeforeTheRestIsNotSent(t *testing.T) {
	h := newHarness(testTable(testRoute(route.Stream)), 2, func(*Call, int) behavior { return behavior{events: -1} })
	first := true
	h.endpoints.beforeWrite = func(call *Call) {
		if first {
			first = false
			h.restEndpoints(time.Minute, call.Endpoint)
		}
	}
	h.serve(testRequest())
	assert.Equal(t, h.client.end, AnswerComplete)
	assert.Equal(t, len(h.endpoints.calls), 1, "only the other endpoint has got it")
	for _, known := range h.pools.Snapshots() {
		assert.Assert(t, known.Failing == 0 && !known.Paused, "%+v", known)
	}
}

// An endpoint says that it leaves with whatever it answers.
func TestEndpointThatSaysItLeavesGetsNoFurtherSend(t *testing.T) {
	for _, c := range kindsOfSends() {
		t.Run(c.name, func(t *testing.T) {
			left := make(map[platform.EndpointID]bool)
			h := newHarness(testTable(c.route), 4, func(call *Call, number int) behavior {
				assert.Check(t, !left[call.Endpoint], "%s has left", call.Endpoint)
				left[call.Endpoint] = true
				b := c.script(call, number)
				b.leaving = true
				return b
			})
			request := testRequest()
			request.AnyModel = len(c.route.Models) > 0
			h.serve(request)
			assert.Equal(t, h.client.end, AnswerComplete)
			assert.Equal(t, len(h.endpoints.calls), c.sends)
		})
	}
}
