package engine

import (
	"sync"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// RunEnd tells how a run ended.
type RunEnd string

// Ends of a run.
const (
	// RunOpen runs have not ended, or ended with the engine.
	RunOpen RunEnd = "open"
	// RunDone runs wrote their whole answer.
	RunDone RunEnd = "done"
	// RunCancelled runs ended because their caller left.
	RunCancelled RunEnd = "cancelled"
	// RunCut runs were cut off by a fault.
	RunCut RunEnd = "cut"
)

// Run is one request that an engine started.
type Run struct {
	Endpoint  platform.EndpointID `json:"endpoint"`
	RequestID string              `json:"request_id"`
	AttemptID string              `json:"attempt_id"`
	// Ref is the "model@version" that ran.
	Ref string `json:"ref"`
	// Received is when the request came, Started when it got its slot.
	Received time.Time `json:"received"`
	Started  time.Time `json:"started"`
	End      RunEnd    `json:"end"`
	// Quality is the hidden quality of the answer, in [0, 1].
	Quality float64 `json:"quality"`
	// Faulty tells that the version was a bad one when the run started.
	Faulty bool `json:"faulty,omitempty"`
}

type ledger struct {
	mu   sync.Mutex
	runs []Run
}

func (l *ledger) start(run Run) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.End = RunOpen
	l.runs = append(l.runs, run)
	return len(l.runs) - 1
}

func (l *ledger) end(index int, end RunEnd) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[index].End = end
}

func (l *ledger) all() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run{}, l.runs...)
}
