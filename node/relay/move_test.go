package relay

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/policy/route"
)

// otherService is the service to which the tests below move the route of a running
// request.
const otherService = route.ServiceName("other-pool")

// moveRoute replaces the table by one whose route uses the service and the models.
func (h *harness) moveRoute(service route.ServiceName, models ...route.ModelName) {
	moved := testRoute(route.Stream)
	moved.Split, moved.Models = []route.Share{{Service: service, Weight: 1}}, models
	h.tables.set(testTable(moved))
}

// putOther lists n endpoints of otherService that run the version.
func (h *harness) putOther(n int, version string) {
	h.putAt(otherService, version+"-", n, "zone", version)
}

// Endpoints reject a request for a model that is not one of its route. A request that
// goes on after a change of the configuration must not ask for such a model, because it
// would use up its tries and pause the endpoints.
func TestModelOfThePreviousConfigurationIsNotAskedFor(t *testing.T) {
	for _, c := range []struct {
		name    string
		service route.ServiceName
		// before and after are the models of the route before and after the change.
		before, after []route.ModelName
		// first is what happens to the first call.
		first behavior
		// asked is the model of the second call.
		asked route.ModelName
	}{
		{
			"another service with other models", otherService,
			[]route.ModelName{"a-small", "a-large"},
			[]route.ModelName{"b-small", "b-large"},
			behavior{reset: true},
			"b-small",
		},
		{
			"stream that has begun", otherService,
			[]route.ModelName{"a-small", "a-large"},
			[]route.ModelName{"b-small", "b-large"},
			behavior{events: 2, confidence: 1},
			"b-small",
		},
		{
			"other models of the same service", testService,
			[]route.ModelName{"a-small", "a-large"},
			[]route.ModelName{"b-small", "b-large"},
			behavior{reset: true},
			"b-small",
		},
		{
			"models instead of the client's choice", testService, nil,
			[]route.ModelName{"b-small", "b-large"},
			behavior{reset: true},
			"b-small",
		},
		{
			"larger model after a discarded answer", otherService,
			[]route.ModelName{"a-small", "a-large"},
			[]route.ModelName{"b-small", "b-middle", "b-large"},
			behavior{confidence: 0.1, events: -1},
			"b-large",
		},
		{
			"same models at another service", otherService,
			[]route.ModelName{"small", "large"},
			[]route.ModelName{"small", "large"},
			behavior{confidence: 0.1, events: -1},
			"large",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			rt := testRoute(route.Stream)
			rt.Models = c.before
			var h *harness
			h = newHarness(testTable(rt), 8, func(call *Call, number int) behavior {
				if number == 0 {
					h.moveRoute(c.service, c.after...)
					return c.first
				}
				if !slices.Contains(c.after, call.Model) {
					return behavior{notExecuted: true, misdirected: true}
				}
				return behavior{events: -1, confidence: 1}
			})
			h.putOther(8, "v1")
			h.serve(testRequestOfAnyModel())
			assert.Equal(t, h.client.body.String(), wholeStream(0))
			assert.Equal(t, h.endpoints.calls[1].call.Model, c.asked)
			assert.Equal(t, len(h.endpoints.calls), 2)
			for _, id := range h.paused() {
				assert.Equal(t, id, h.endpoints.calls[0].call.Endpoint, "not the one that broke the connection")
			}
		})
	}
}

// Versions of two services may have the same name. The version that a request used at
// one service must not take precedence over the versions assigned by the roll-out of
// another.
func TestVersionOfThePreviousServiceIsNotPreferred(t *testing.T) {
	var h *harness
	h = newHarness(testTable(testRoute(route.Stream)), 2, func(_ *Call, number int) behavior {
		if number == 0 {
			h.moveRoute(otherService)
			h.picker.Versions = fixedChoice{Choice{Assigned: func(version string) bool { return version == "v2" }}}
			return behavior{reset: true}
		}
		return behavior{events: -1}
	})
	h.putOther(2, "v1")
	h.putOther(2, "v2")
	h.serve(testRequest())
	assert.Equal(t, h.client.body.String(), wholeStream(0))
	assert.Equal(t, h.observer.attempts[1].Service, otherService)
	assert.Equal(t, h.observer.attempts[1].Version, "v2")
}
