// Package stop tells the relay what an instance that stops still runs. The decisions are those of
// policy/drain.
package stop

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/policy/drain"
	"github.com/wigeonusher/wigeonusher/policy/latency"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// answerReserve is the time before the connections are closed at which requests without an answer get a
// final one.
const answerReserve = 300 * time.Millisecond

// maxRoutes bounds the routes whose usual times are remembered.
const maxRoutes = 4096

// Stop implements [relay.Stop]: it knows when the instance stops, and how long answers usually take. It is
// safe for concurrent use.
type Stop struct {
	// ending ends when the requests without an answer get a final one.
	ending context.Context
	end    context.CancelFunc

	mu sync.Mutex
	// window is zero until the stop begins.
	window drain.Window
	usual  map[string]*latency.Spread
}

// New returns the stop of an instance that runs.
func New() *Stop {
	s := &Stop{usual: make(map[string]*latency.Spread)}
	s.ending, s.end = context.WithCancel(context.Background())
	return s
}

// Begin begins the stop. lagEnds is when the balancer has stopped sending clients, and closes when the
// connections are closed.
func (s *Stop) Begin(lagEnds, closes time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window = drain.Window{LagEnds: lagEnds, Ends: closes.Add(-answerReserve)}
	time.AfterFunc(time.Until(s.window.Ends), s.end)
}

// HasBegun reports whether the stop has begun.
func (s *Stop) HasBegun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.window != drain.Window{}
}

// Admits implements [relay.Stop].
func (s *Stop) Admits(rt *route.Route, remaining time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if (s.window == drain.Window{}) {
		return true
	}
	request := drain.Request{Remaining: remaining, Objective: rt.TargetLatency, IsStream: rt.Kind == route.Stream}
	if known := s.usual[rt.Name]; known != nil {
		request.Usual = known.Upper()
	}
	return s.window.Admits(time.Now(), request)
}

// Ending implements [relay.Stop].
func (s *Stop) Ending() context.Context { return s.ending }

// RecordEnd records how long an answer took that is complete.
func (s *Stop) RecordEnd(event *relay.DoneEvent) {
	if event.Refusal != nil || event.Aborted || event.CutOff || event.ClientGone {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.usual[event.Route]
	if known == nil {
		if len(s.usual) >= maxRoutes {
			clear(s.usual)
		}
		known = &latency.Spread{}
		s.usual[event.Route] = known
	}
	known.Add(event.Took)
}
