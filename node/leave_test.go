package node_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/settings"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/standin/faults"
)

// TestLeavingEndpointIsLeftAloneWhenTheListIsDown guards against dispatches to a
// draining endpoint while the instance list is down, so that only the endpoint
// itself reports that it leaves.
func TestLeavingEndpointIsLeftAloneWhenTheListIsDown(t *testing.T) {
	f, nodes := newModelFleet(t, 2, nil)
	f.list.Faults.Set(faults.Set{Down: true})
	leaving := f.engines[0]
	leaving.Drain()
	for _, n := range nodes {
		f.eventually("the endpoint is known to leave", func() bool {
			for _, endpoint := range n.Status().Endpoints {
				if endpoint.ID == leaving.ID() {
					return endpoint.LocalState == "leaving"
				}
			}
			return false
		})
	}
	before := len(leaving.LateRequests())
	for range 30 {
		for _, n := range nodes {
			got := f.chat(n.Node, chatBody("small", false))
			assert.Equal(t, got.status, http.StatusOK, got.body)
		}
	}
	assert.Equal(t, len(leaving.LateRequests()), before)
}

// TestPlannedStopCutsOffNoRequest stops an instance that runs streams while the
// log is down. It has to finish the streams, serve a request that arrives during
// the load balancer's lag, and append all bills once the log is back.
func TestPlannedStopCutsOffNoRequest(t *testing.T) {
	f, nodes := newModelFleet(t, 2, func(s *settings.Settings) { s.Timing.DrainLagMillis = 300 })
	stopping := nodes[0]
	body := strings.Replace(chatBody("small", true), `"max_tokens":12`, `"max_tokens":600`, 1)
	var group sync.WaitGroup
	answers := make([]answer, 8)
	for i := range answers {
		group.Go(func() { answers[i], _ = f.tryCall(stopping.Node, http.MethodPost, "/v1/chat/completions", body) })
	}
	f.eventually("the streams run", func() bool { return f.runningRequests() >= len(answers) })
	f.log.Faults.Set(faults.Set{Down: true})
	stopping.stop()
	lateAnswer := f.chat(stopping.Node, chatBody("small", false), header{"X-Request-Id", "lagging"})
	assert.Equal(t, lateAnswer.status, http.StatusOK, lateAnswer.body)
	group.Wait()
	for _, got := range answers {
		assert.Assert(t, strings.HasSuffix(strings.TrimSpace(got.body), "data: [DONE]"), got.body)
	}
	f.log.Faults.Set(faults.Set{})
	select {
	case err := <-stopping.done:
		assert.NilError(t, err)
	case <-time.After(conditionTimeout):
		t.Fatal("the instance did not stop")
	}
	f.eventually("all answers are booked", func() bool {
		return len(f.bills()) >= len(answers)+1 && f.bills()["lagging"] == 1
	})
}

// TestRequestThatOutlastsAPlannedStopIsAnswered guards against a connection that ends without an answer to a
// request that still runs at the end of the drain period.
func TestRequestThatOutlastsAPlannedStopIsAnswered(t *testing.T) {
	f, nodes := newModelFleet(t, 2, func(s *settings.Settings) { s.Timing.DrainLagMillis, s.Timing.DrainMillis = 100, 1500 })
	body := strings.Replace(chatBody("small", false), `"max_tokens":12`, `"max_tokens":3000`, 1)
	type result struct {
		answer answer
		err    error
	}
	results := make(chan result, 1)
	go func() {
		got, err := f.tryCall(nodes[0].Node, http.MethodPost, "/v1/chat/completions", body)
		results <- result{got, err}
	}()
	f.eventually("the request runs", func() bool { return f.runningRequests() > 0 })
	nodes[0].stop()
	got := <-results
	assert.NilError(t, got.err)
	assert.Equal(t, got.answer.status, http.StatusBadGateway, got.answer.body)
	assert.Assert(t, strings.Contains(got.answer.body, `"outcome":"unknown"`), got.answer.body)
}

// TestPlannedStopOfTheLastInstanceSettlesItsBills stops an instance without
// peers while the log is down. It has to stay until the log has its bill, because
// nobody else has a copy.
func TestPlannedStopOfTheLastInstanceSettlesItsBills(t *testing.T) {
	f, nodes := newModelFleet(t, 1, nil)
	n := nodes[0]
	f.log.Faults.Set(faults.Set{Down: true})
	got := f.chat(n.Node, chatBody("small", false), header{"X-Request-Id", "last"})
	assert.Equal(t, got.status, http.StatusOK, got.body)
	n.stop()
	f.eventually("the instance stops serving", func() bool {
		_, err := f.tryCall(n.Node, http.MethodGet, "/v1/models", "")
		return err != nil
	})
	f.log.Faults.Set(faults.Set{})
	assert.NilError(t, <-n.done)
	assert.Equal(t, f.bills()["last"], 1)
}

// runningRequests returns the number of requests that run on all engines.
func (f *fleet) runningRequests() int {
	running := 0
	for _, engine := range f.engines {
		running += engine.Load().Running
	}
	return running
}

func TestCrashingRequestCostsAtMostTwoEndpoints(t *testing.T) {
	for _, model := range []string{"small", "auto"} {
		t.Run(model, func(t *testing.T) { testCrashingRequest(t, model) })
	}
}

// testCrashingRequest sends a request that crashes each engine that runs it, 9
// times through all instances in turn. Each step of the cascade has its own pool,
// so the two crashes have to be counted across pools and instances.
func testCrashingRequest(t *testing.T, model string) {
	f, nodes := newModelFleet(t, 3, nil)
	f.addEngines(3, "strong", "large@v1")
	f.publish(document.SectionEndpoints, map[platform.PoolName]document.Pool{
		"desk":   {Slots: 8, Service: "desk"},
		"models": {Slots: 8, Serves: []document.Ref{{Model: "small", Version: "v1"}, {Model: "small", Version: "v2"}}},
		"strong": {Slots: 8, Serves: []document.Ref{{Model: "large", Version: "v1"}}},
	})
	for _, n := range nodes {
		f.eventually("the pools are in force", func() bool { return revision(n.Node) == uint64(f.revisions[document.SectionEndpoints]) })
		f.eventually("all engines are known", func() bool { return len(n.Status().Endpoints) == 6 })
	}
	const marker = "poison"
	for _, engine := range f.engines {
		engine.Faults.Set(faults.Set{CrashMarker: marker})
	}
	body := strings.Replace(chatBody(model, false), "tag this order", marker, 1)
	for i := range 9 {
		got, err := f.tryCall(nodes[i%3].Node, http.MethodPost, "/v1/chat/completions", body)
		assert.NilError(t, err)
		assert.Assert(t, got.status >= 400, got.body)
	}
	crashed := 0
	for _, engine := range f.engines {
		select {
		case <-engine.Done():
			crashed++
		default:
		}
	}
	assert.Assert(t, crashed <= 2, "%d endpoints crashed", crashed)
	for _, n := range nodes {
		f.eventually("others are still served", func() bool { return f.tryChat(n.Node) })
	}
}
