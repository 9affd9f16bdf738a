package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/crashcause"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// A sound endpoint may fall silent for a second or so, to probes too, and go on. Its requests
// must not run a second time, and it keeps its place.
func TestEndpointThatIsSilentForAMomentKeepsItsRequests(t *testing.T) {
	for _, c := range []struct {
		name  string
		kind  route.Kind
		probe ProbeOutcome
	}{
		{"stream, connections accepted", route.Stream, ProbeReached},
		{"idempotent, connections accepted", route.Idempotent, ProbeReached},
		{"call that may not be repeated", route.AtMostOnce, ProbeTimedOut},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(testTable(testRoute(c.kind)), 8, nil)
				endpoints := &pausingEndpoints{pause: 1200 * time.Millisecond, resumable: true}
				h.relay.Endpoints, h.relay.Prober = endpoints, probeResult(c.probe)
				suspects := &countingSuspects{}
				h.picker.Suspects = suspects
				h.relay.Serve(context.Background(), testRequest(), h.client)
				assert.Equal(t, h.client.body.String(), wholeStream(0))
				assert.Equal(t, endpoints.calls, 1, "no second run")
				assert.Equal(t, len(h.paused()), 0, "it keeps its place")
				assert.Equal(t, suspects.broken, 0, "no crash")
				assert.Assert(t, !h.pools.Service(testService).IsPathInDoubt())
			})
		})
	}
}

// countingSuspects counts the attempts that may have crashed their endpoints.
type countingSuspects struct {
	NopSuspects
	broken int
}

func (s *countingSuspects) Begin(pool.Record, []crashcause.Use, crashcause.Decision) AttemptWatch {
	return &countingWatch{suspects: s}
}

type countingWatch struct {
	nopWatch
	suspects *countingSuspects
}

func (w *countingWatch) End(end AttemptEnd) {
	if end == AttemptBroken {
		w.suspects.broken++
	}
}

// The same if the endpoint does not answer probes either meanwhile.
func TestEndpointThatIsSilentToProbesForAMomentKeepsItsRequests(t *testing.T) {
	for _, kind := range []route.Kind{route.Stream, route.Idempotent} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(testTable(testRoute(kind)), 8, nil)
			endpoints := &pausingEndpoints{pause: time.Second, resumable: true}
			h.relay.Endpoints, h.relay.Prober = endpoints, slowUnanswered{}
			h.relay.Serve(context.Background(), testRequest(), h.client)
			assert.Equal(t, h.client.body.String(), wholeStream(0))
			assert.Equal(t, endpoints.calls, 1, "no second run")
			assert.Equal(t, len(h.paused()), 0, "it keeps its place")
		})
	}
}
