package relay

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wigeonusher/wigeonusher/policy/route"
)

// TestStatusThatPromisesNotRunIsWithheldAfterARun guards against an endpoint's 503 or 429 that reaches a
// client after a run: the client sends the request again, and it runs twice.
func TestStatusThatPromisesNotRunIsWithheldAfterARun(t *testing.T) {
	for _, c := range []struct {
		kind      route.Kind
		resumable bool
		status    int
		withheld  bool
	}{
		{route.AtMostOnce, false, http.StatusServiceUnavailable, true},
		{route.AtMostOnce, false, http.StatusTooManyRequests, true},
		{route.AtMostOnce, false, http.StatusInternalServerError, false},
		{route.AtMostOnce, false, http.StatusNotFound, false},
		{route.Stream, false, http.StatusServiceUnavailable, true},
		{route.Stream, true, http.StatusServiceUnavailable, false},
		{route.Idempotent, false, http.StatusServiceUnavailable, false},
		{route.Idempotent, false, http.StatusTooManyRequests, false},
	} {
		t.Run(fmt.Sprintf("%v, resumable %v, status %d", c.kind, c.resumable, c.status), func(t *testing.T) {
			rt := testRoute(c.kind)
			rt.Resumable = c.resumable
			h := newHarness(testTable(rt), 2, func(*Call, int) behavior { return behavior{status: c.status, events: -1} })
			h.serve(testRequest())
			assert.Equal(t, h.client.finals, 1)
			if c.withheld {
				assert.Assert(t, h.client.refusal != nil, "status %d was passed on", h.client.status)
				assert.Assert(t, !h.client.refusal.NotRun)
				assert.Equal(t, h.client.refusal.Reason, FalsePromise)
				return
			}
			assert.Equal(t, h.client.status, c.status)
		})
	}
}

// TestNoSequenceOfAttemptsEndsInAFalsePromise guards against a request that may run once and is promised
// not to have run after one of its attempts, also an earlier one or one at a peer, may have run it; and
// against a second run, at another endpoint or of another model.
func TestNoSequenceOfAttemptsEndsInAFalsePromise(t *testing.T) {
	ends := []behavior{
		{refused: true},
		{notExecuted: true},
		{notExecuted: true, misdirected: true},
		{reset: true},
		{foreign: true, events: -1},
		{events: -1},
		{events: 1},
		{status: http.StatusServiceUnavailable, events: -1},
		{status: http.StatusTooManyRequests, events: -1},
		{status: http.StatusInternalServerError, events: -1},
		{status: http.StatusServiceUnavailable, events: 1},
		{status: http.StatusNotFound, events: -1},
	}
	rapid.Check(t, func(t *rapid.T) {
		rt := testRoute(rapid.SampledFrom([]route.Kind{route.AtMostOnce, route.Stream, route.Idempotent}).Draw(t, "kind"))
		rt.Resumable = rapid.Bool().Draw(t, "resumable")
		rt.Models = []route.ModelName{"small", "large"}
		sequence := rapid.SliceOfN(rapid.IntRange(0, len(ends)-1), 12, 12).Draw(t, "ends")
		h := newHarness(testTable(rt), 4, func(_ *Call, number int) behavior {
			return ends[sequence[min(number, len(sequence)-1)]]
		})
		h.relay.Planner = modelSequence{"small", "large"}
		request := testRequest()
		request.Timeout = 200 * time.Millisecond
		request.AnyModel = true
		request.RunsBefore = rapid.IntRange(0, 1).Draw(t, "runs before")
		h.serve(request)
		if rt.Repeatable() {
			return
		}
		if runs := h.endpoints.runs(); runs > 1 {
			t.Fatalf("%d runs", runs)
		}
		if request.RunsBefore+h.endpoints.runs() == 0 {
			return
		}
		if h.client.begun && promisesNotRun(h.client.status) {
			t.Fatalf("status %d after a run", h.client.status)
		}
		if h.client.refusal != nil && h.client.refusal.NotRun {
			t.Fatalf("refusal %q promises that nothing has run", h.client.refusal.Reason)
		}
	})
}
