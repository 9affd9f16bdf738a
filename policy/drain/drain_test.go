package drain_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/policy/drain"
)

// TestRequestThatEndsAfterTheStopIsNotRun guards against requests that are passed on late in a stop and cut
// off at its end, among them some that must not run again.
func TestRequestThatEndsAfterTheStopIsNotRun(t *testing.T) {
	start := time.Unix(100, 0)
	window := drain.Window{LagEnds: start.Add(2 * time.Second), Ends: start.Add(7 * time.Second)}
	booking := drain.Request{Remaining: 4 * time.Second, Objective: 300 * time.Millisecond}
	usual := booking
	usual.Usual = 80 * time.Millisecond
	slow := booking
	slow.Usual = 3 * time.Second
	stream := drain.Request{Remaining: 20 * time.Second, Objective: 2 * time.Second, IsStream: true}
	short := stream
	short.Usual = 3 * time.Second
	for _, c := range []struct {
		name    string
		request drain.Request
		// until is the time from the start until which the request is run.
		until time.Duration
	}{
		{"unknown, a plain answer", booking, 6400 * time.Millisecond},
		{"known, faster than its objective", usual, 6700 * time.Millisecond},
		{"known, slower than its objective", slow, 4 * time.Second},
		{"unknown stream", stream, 2*time.Second - 1},
		{"known stream", short, 4 * time.Second},
		{"no objective", drain.Request{Remaining: time.Second}, 6 * time.Second},
		{"a client that waits no longer", drain.Request{Remaining: 50 * time.Millisecond, IsStream: true, Usual: time.Hour}, 6950 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Assert(t, window.Admits(start, c.request), "the balancer still sends clients")
			assert.Assert(t, window.Admits(start.Add(c.until), c.request))
			assert.Assert(t, !window.Admits(start.Add(c.until+1), c.request))
		})
	}
}
