package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/policy/route"
)

// scriptedStop is a [Stop] that admits until it has begun.
type scriptedStop struct {
	hasBegun bool
	ending   context.Context
}

func (s *scriptedStop) Admits(*route.Route, time.Duration) bool { return !s.hasBegun }
func (s *scriptedStop) Ending() context.Context                 { return s.ending }

// TestNoAttemptFollowsInAStop guards against a request that arrived early and is passed on late in a stop,
// after its first endpoint had no room.
func TestNoAttemptFollowsInAStop(t *testing.T) {
	for _, c := range []struct {
		first  behavior
		notRun bool
	}{{behavior{notExecuted: true}, true}, {behavior{refused: true}, true}, {behavior{reset: true}, false}} {
		stop := &scriptedStop{ending: context.Background()}
		h := newHarness(testTable(testRoute(route.Idempotent)), 3, func(*Call, int) behavior {
			stop.hasBegun = true
			return c.first
		})
		h.relay.Stop = stop
		h.serve(testRequest())
		assert.Equal(t, len(h.endpoints.calls), 1)
		assert.Equal(t, h.client.refusal.Reason, Stopping)
		assert.Equal(t, h.client.refusal.NotRun, c.notRun)
	}
}

// TestEndOfAStopAnswersWhatHasNotBegun guards against requests that end without an answer when the instance
// closes its connections, and against streams that are cut off before.
func TestEndOfAStopAnswersWhatHasNotBegun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ending, end := context.WithCancel(context.Background())
		h := newHarness(testTable(testRoute(route.AtMostOnce)), 1, func(*Call, int) behavior { return behavior{silent: true} })
		h.relay.Stop = &scriptedStop{ending: ending}
		time.AfterFunc(time.Second, end)
		started := time.Now()
		h.serve(testRequest())
		assert.Equal(t, time.Since(started), time.Second)
		assert.Equal(t, h.client.refusal.Reason, Stopping)
		assert.Assert(t, !h.client.refusal.NotRun)
		assert.Equal(t, h.observer.attempts[0].EndedBy, EndedByStop)
		assert.Equal(t, len(h.paused()), 0, "the silence says nothing about the endpoint")
	})
	synctest.Test(t, func(t *testing.T) {
		ending, end := context.WithCancel(context.Background())
		h := newHarness(testTable(testRoute(route.Stream)), 1, completeAnswer)
		h.relay.Endpoints = &pausingEndpoints{pause: 2 * time.Second}
		h.relay.Prober = nil
		h.relay.Stop = &scriptedStop{ending: ending}
		time.AfterFunc(time.Second, end)
		h.serve(testRequest())
		assert.Equal(t, h.client.end, AnswerComplete)
	})
}
