package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/policy/route"
)

// slowClient is a [Client] whose first write blocks.
type slowClient struct {
	recordingClient
	block time.Duration
}

func (s *slowClient) Write(p []byte) error {
	time.Sleep(s.block)
	s.block = 0
	return s.recordingClient.Write(p)
}

func TestSlowClientIsNotTakenForASilentEndpoint(t *testing.T) {
	for _, c := range []struct {
		name  string
		block time.Duration
		probe ProbeOutcome
	}{
		{"endpoint can be reached", 3500 * time.Millisecond, ProbeReached},
		{"endpoint cannot be reached", 2 * time.Second, ProbeTimedOut},
		{"endpoint refuses connections", 3500 * time.Millisecond, ProbeRefused},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(testTable(testRoute(route.Stream)), 8, nil)
				endpoints := &pausingEndpoints{pause: time.Millisecond, resumable: true}
				h.relay.Endpoints, h.relay.Prober = endpoints, probeResult(c.probe)
				client := &slowClient{block: c.block}
				h.relay.Serve(context.Background(), testRequest(), client)
				assert.Equal(t, client.body.String(), wholeStream(0))
				assert.Equal(t, endpoints.calls, 1)
				assert.Equal(t, len(h.paused()), 0)
			})
		})
	}
}

func TestSlowClientTakesNoRetryFromTheBudget(t *testing.T) {
	for _, kind := range []route.Kind{route.Idempotent, route.Stream} {
		synctest.Test(t, func(t *testing.T) {
			available := func(block time.Duration) float64 {
				h := newHarness(testTable(testRoute(kind)), 8, completeAnswer)
				client := &slowClient{block: block}
				h.relay.Serve(context.Background(), testRequest(), client)
				assert.Equal(t, client.body.String(), wholeStream(0))
				return h.budget.Available(time.Now())
			}
			assert.Equal(t, available(3500*time.Millisecond), available(0), "kind %d", kind)
		})
	}
}

// The silence of an endpoint counts from the end of a blocked write.
func TestEndpointThatIsSilentAfterASlowWriteIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(testTable(testRoute(route.Stream)), 8, nil)
		endpoints := &pausingEndpoints{pause: time.Minute, resumable: true}
		h.relay.Endpoints, h.relay.Prober = endpoints, probeResult(ProbeTimedOut)
		client := &slowClient{block: time.Second}
		h.relay.Serve(context.Background(), testRequest(), client)
		assert.Equal(t, client.body.String(), wholeStream(0))
		first := h.observer.attempts[0]
		assert.Equal(t, first.EndedBy, EndedByWatchdog)
		assert.Assert(t, first.Silence < 2*silenceBeforeProbe+probePause, "%s", first.Silence)
		assert.Assert(t, first.Took > time.Second+silenceBeforeProbe, "%s", first.Took)
		assert.Assert(t, first.Took < time.Second+3*silenceBeforeProbe, "%s", first.Took)
	})
}
