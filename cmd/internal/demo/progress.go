package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/wigeonusher/wigeonusher/standin/observation"
)

// progress tells a watcher how the run goes.
type progress struct {
	mu      sync.Mutex
	out     io.Writer
	started time.Time
	counts  map[observation.Result]int
}

func newProgress(out io.Writer) *progress {
	return &progress{out: out, started: time.Now(), counts: map[observation.Result]int{}}
}

func (p *progress) observe(o observation.Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts[o.Result]++
}

func (p *progress) event(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.out, "%5.1f s  * %s\n", time.Since(p.started).Seconds(), text)
}

func (p *progress) watch(ctx context.Context) { every(ctx, time.Second, p.line) }

func (p *progress) line() {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.out, "%5.1f s    answered %d, refused not run %d, unknown %d, defective %d\n",
		time.Since(p.started).Seconds(),
		p.counts[observation.Answered], p.counts[observation.NotRun],
		p.counts[observation.Unknown], p.counts[observation.Defective])
}
