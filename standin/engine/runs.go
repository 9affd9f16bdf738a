package engine

import (
	"sync"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// RunEnd is how a run ended.
type RunEnd string

// Values of [RunEnd].
const (
	// RunOpen means that the run has not ended.
	RunOpen RunEnd = "open"
	// RunDone means that the engine wrote the complete answer.
	RunDone RunEnd = "done"
	// RunCancelled means that the caller disconnected.
	RunCancelled RunEnd = "cancelled"
	// RunCut means that a fault cut the answer or the engine stopped.
	RunCut RunEnd = "cut"
)

// Run is one request that an engine started.
type Run struct {
	Endpoint  platform.EndpointID `json:"endpoint"`
	RequestID string              `json:"request_id"`
	AttemptID string              `json:"attempt_id"`
	// Ref is the model version as "model@version".
	Ref string `json:"ref"`
	// Received is when the handler received the request, Started when the request
	// acquired its slot.
	Received time.Time `json:"received"`
	Started  time.Time `json:"started"`
	End      RunEnd    `json:"end"`
	// Quality is the hidden quality of the answer, in [0, 1].
	Quality float64 `json:"quality"`
	// Faulty reports whether the fault bad_versions listed the version when the run
	// started.
	Faulty bool `json:"faulty,omitempty"`
}

// ledger records all runs in order of their start.
type ledger struct {
	mu   sync.Mutex
	runs []Run
}

// start adds an open run and returns its index.
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

func (l *ledger) snapshot() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run{}, l.runs...)
}
