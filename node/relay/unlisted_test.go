package relay

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// unlist makes the registration of an endpoint disappear after an outage of the registry:
// it may have lapsed, or the endpoint has left.
func (h *harness) unlist(ids ...platform.EndpointID) {
	now := time.Now()
	h.pools.RegistryRestored(now)
	for _, id := range ids {
		h.pools.Remove(now, id)
	}
}

// kindOfSend is a way in which a request reaches an endpoint.
type kindOfSend struct {
	name   string
	route  *route.Route
	script func(*Call, int) behavior
	sends  int
}

func kindsOfSends() []kindOfSend {
	once := testRoute(route.AtMostOnce)
	stream := testRoute(route.Stream)
	sizes := testRoute(route.Stream)
	sizes.Models = []route.ModelName{"small", "large"}
	first := func(b behavior) func(*Call, int) behavior {
		return func(_ *Call, number int) behavior {
			if number == 0 {
				return b
			}
			return behavior{events: -1, confidence: 1}
		}
	}
	return []kindOfSend{
		{"first send", once, first(behavior{complete: true, events: -1}), 1},
		{"repeat after a refused connection", stream, first(behavior{refused: true}), 2},
		{"repeat after a rejection", stream, first(behavior{notExecuted: true}), 2},
		{"repeat after a reset", stream, first(behavior{reset: true}), 2},
		{"continued stream", stream, first(behavior{events: 2}), 2},
		{"larger model", sizes, first(behavior{events: -1, confidence: 0.1}), 2},
	}
}

// An endpoint may have left while the registry was unreachable. No send may reach it while
// another is listed, whichever kind of send it is.
func TestUnlistedEndpointGetsNoSendWhileAnotherIsListed(t *testing.T) {
	for _, c := range kindsOfSends() {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(testTable(c.route), 8, c.script)
			var left []platform.EndpointID
			for _, s := range h.pools.Snapshots() {
				if s.ID != "e5" {
					left = append(left, s.ID)
				}
			}
			h.unlist(left...)
			request := testRequest()
			request.AnyModel = len(c.route.Models) > 0
			h.serve(request)
			assert.Assert(t, h.client.refusal == nil)
			assert.Equal(t, len(h.endpoints.calls), c.sends)
			for _, received := range h.endpoints.calls {
				assert.Assert(t, !slices.Contains(left, received.call.Endpoint), "%s is not listed", received.call.Endpoint)
			}
		})
	}
}

// Registrations lapse while the registry is unreachable. If that left the service without
// an endpoint, its requests would be refused until the endpoints register again.
func TestUnlistedEndpointsServeIfNoneIsListed(t *testing.T) {
	h := newHarness(testTable(testRoute(route.Stream)), 2, func(_ *Call, number int) behavior {
		return behavior{refused: number == 0, events: -1}
	})
	h.unlist("e0", "e1")
	h.serve(testRequest())
	assert.Equal(t, h.client.end, AnswerComplete)
	h.pools.Expire(time.Now().Add(3 * time.Second))
	h.client = &recordingClient{}
	h.serve(testRequest())
	assert.Equal(t, h.client.refusal.Reason, NoEndpoint)
}
