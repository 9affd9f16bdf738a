package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/wigeonusher/wigeonusher/standin/observation"
)

// progress writes the counts of results every second, and events when they
// happen.
type progress struct {
	mu      sync.Mutex
	out     io.Writer
	started time.Time
	counts  map[observation.Result]int
}

func newProgress(out io.Writer) *progress {
	return &progress{out: out, started: time.Now(), counts: map[observation.Result]int{}}
}

func (p *progress) recordObservation(o observation.Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts[o.Result]++
}

func (p *progress) writeEvent(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.out, "%5.1f s  * %s\n", time.Since(p.started).Seconds(), text)
}

func (p *progress) start(ctx context.Context) { runEvery(ctx, time.Second, p.writeCounts) }

func (p *progress) writeCounts() {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.out, "%5.1f s    answered %d, refused not run %d, unknown %d, defective %d\n",
		time.Since(p.started).Seconds(),
		p.counts[observation.Answered], p.counts[observation.NotRun],
		p.counts[observation.Unknown], p.counts[observation.Defective])
}
