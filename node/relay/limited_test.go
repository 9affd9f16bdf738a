package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/fleetlimit"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// limitEndpoints makes endpoints name a limit of which this instance has no part.
func (h *harness) limitEndpoints(ids ...platform.EndpointID) {
	for _, id := range ids {
		h.pools.MergeLimits(time.Now(), []fleetlimit.Report{{
			Key: fleetlimit.Key{Endpoint: id}, Statement: fleetlimit.Statement{Named: true, PerSecond: 2},
		}})
	}
}

// The limit of an endpoint holds for all of its requests, whichever kind of send they are.
func TestLimitedEndpointGetsNoKindOfSend(t *testing.T) {
	for _, c := range kindsOfSends() {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(testTable(c.route), 4, c.script)
			h.limitEndpoints("e0", "e1", "e3")
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

// A request that no endpoint may take now must not wait for its deadline, and its client
// must not come back before an endpoint takes it.
func TestRequestThatLimitsExcludeIsRefusedAtOnce(t *testing.T) {
	for _, c := range kindsOfSends() {
		h := newHarness(testTable(c.route), 2, c.script)
		h.limitEndpoints("e0", "e1")
		request := testRequest()
		request.Timeout = 0
		h.serve(request)
		assert.Equal(t, h.client.refusal.Reason, EndpointsLimited)
		assert.Assert(t, h.client.refusal.NotRun)
		assert.Assert(t, h.client.refusal.RetryAfter >= 2*time.Second, "%v", h.client.refusal.RetryAfter)
		assert.Equal(t, len(h.endpoints.calls), 0)
	}
}

// An endpoint that may have left must not get the requests that limits keep from the others.
func TestUnlistedEndpointGetsNothingBesideALimitedOne(t *testing.T) {
	h := newHarness(testTable(testRoute(route.Stream)), 2, func(*Call, int) behavior { return behavior{events: -1} })
	h.limitEndpoints("e0")
	h.unlist("e1")
	h.serve(testRequest())
	assert.Equal(t, h.client.refusal.Reason, EndpointsLimited)
	assert.Equal(t, len(h.endpoints.calls), 0)
}

// Endpoints in need reject requests too, and their answers name the limit all the same.
func TestLimitBesideARejectionCounts(t *testing.T) {
	for name, b := range map[string]behavior{
		"not executed": {notExecuted: true}, "failure": {status: 500}, "success": {events: -1},
	} {
		b.limit = &fleetlimit.Statement{Named: true, PerSecond: 1}
		h := newHarness(testTable(testRoute(route.Stream)), 1, func(*Call, int) behavior { return b })
		h.serve(testRequest())
		assert.Equal(t, h.pools.LimitedCount(), 1, name)
		sent := len(h.endpoints.calls)
		h.client = &recordingClient{}
		h.serve(testRequest())
		assert.Equal(t, len(h.endpoints.calls), sent, name)
		assert.Equal(t, h.client.refusal.Reason, EndpointsLimited, name)
	}
}
