package entry

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/policy/drain"
	"github.com/wigeonusher/wigeonusher/policy/latency"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// finalAnswerReserve is the time before the connections are closed at which requests without an answer
// get a final one.
const finalAnswerReserve = 300 * time.Millisecond

// maxRoutes bounds the routes whose usual times are remembered.
const maxRoutes = 4096

// stopping implements [relay.Stop]: it knows when the instance stops, and how long answers usually take.
// It is safe for concurrent use.
type stopping struct {
	// ending ends when the requests without an answer get a final one.
	ending context.Context
	end    context.CancelFunc

	mu sync.Mutex
	// window is zero until the stop begins.
	window drain.Window
	usual  map[string]*latency.Spread
}

func newStopping() *stopping {
	s := &stopping{usual: make(map[string]*latency.Spread)}
	s.ending, s.end = context.WithCancel(context.Background())
	return s
}

// begin begins the stop.
func (s *stopping) begin(window drain.Window) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window = window
	time.AfterFunc(time.Until(window.Ends), s.end)
}

// hasBegun reports whether the stop has begun.
func (s *stopping) hasBegun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.window != drain.Window{}
}

// Admits implements [relay.Stop].
func (s *stopping) Admits(rt *route.Route, remaining time.Duration) bool {
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
func (s *stopping) Ending() context.Context { return s.ending }

// recordEnd records how long an answer took that is complete.
func (s *stopping) recordEnd(event *relay.DoneEvent) {
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
