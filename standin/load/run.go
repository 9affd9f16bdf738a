package load

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/standin/observation"
)

const (
	defaultTries   = 3
	markedTries    = 3
	maxBackOff     = 2 * time.Second
	callTimeout    = 30 * time.Second
	maxInFlight    = 4000
	windDown       = 10 * time.Second
	unknownBackOff = 200 * time.Millisecond
)

// Options are what a program may add to a run.
type Options struct {
	// OnObservation is called for every try, from several goroutines.
	OnObservation func(observation.Observation)
	// Ready tells whether an address is to get new requests, as a balancer
	// in front of the fleet would know; nil for always.
	Ready func(address string) bool
}

// runner is one run.
type runner struct {
	mix      *Mix
	options  Options
	http     *http.Client
	balancer *balancer
	begun    atomic.Int64 // operations
	skipped  atomic.Int64 // arrivals beyond maxInFlight
	recorder recorder
}

// Run drives the fleet until the mix's bounds or the context end, lets the
// requests under way finish, and reports.
func Run(ctx context.Context, mix Mix, options Options) (*Report, error) {
	if err := mix.Check().Err(); err != nil {
		return nil, err
	}
	if mix.Tries == 0 {
		mix.Tries = defaultTries
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxInFlight, DisableCompression: true}
	defer transport.CloseIdleConnections()
	r := &runner{
		mix:      &mix,
		options:  options,
		http:     &http.Client{Transport: transport, Timeout: callTimeout},
		balancer: newBalancer(mix.Callers, options.Ready),
		recorder: newRecorder(),
	}
	started := time.Now()
	asking, stopAsking := context.WithTimeout(ctx, time.Duration(mix.MaxSeconds)*time.Second)
	defer stopAsking()
	calls, stopCalls := context.WithCancel(context.WithoutCancel(ctx))
	defer stopCalls()
	stopLate := context.AfterFunc(asking, func() { time.AfterFunc(windDown, stopCalls) })
	defer stopLate()
	if mix.Rate > 0 {
		r.openLoop(asking, calls)
	} else {
		r.closedLoop(asking, calls)
	}
	report := r.recorder.report()
	report.Skipped = int(r.skipped.Load())
	report.Seconds = time.Since(started).Seconds()
	if len(report.Observations) == 0 {
		return report, eris.New("load: nothing was sent")
	}
	return report, nil
}

// closedLoop lets virtual users send one request after the other.
func (r *runner) closedLoop(asking, calls context.Context) {
	var users sync.WaitGroup
	for number := range r.mix.VirtualUsers {
		users.Go(func() {
			g := newGenerator(r.mix, number)
			for r.user(asking, calls, g) == nil {
			}
		})
	}
	users.Wait()
}

func (r *runner) user(asking, calls context.Context, g *generator) error {
	if think := r.mix.ThinkMillis; think > 0 {
		pause(asking, time.Duration(g.random.IntN(think))*time.Millisecond)
	}
	number := r.begun.Add(1)
	if asking.Err() != nil || number > int64(r.mix.MaxRequests) {
		return errStopped
	}
	op := g.next(r.isMarked(number))
	last := r.ask(asking, calls, op)
	g.learn(op, last)
	return nil
}

// learn keeps a session's conversation going, or ends it after a refusal.
func (g *generator) learn(op *operation, last reply) {
	if op.session == nil {
		return
	}
	if last.observation.Result != observation.Answered {
		g.leave(op)
		return
	}
	op.session.token = last.token
	op.session.messages = append(append([]message{}, op.messages...), message{Role: "assistant", Content: last.text})
}

// openLoop begins operations at the mix's rate, whatever becomes of them.
func (r *runner) openLoop(asking, calls context.Context) {
	g := newGenerator(r.mix, 0)
	var inFlight sync.WaitGroup
	slots := make(chan struct{}, maxInFlight)
	next := time.Now()
	for {
		next = next.Add(time.Duration(g.random.ExpFloat64() / r.mix.Rate * float64(time.Second)))
		pause(asking, time.Until(next))
		number := r.begun.Add(1)
		if asking.Err() != nil || number > int64(r.mix.MaxRequests) {
			break
		}
		op := g.next(r.isMarked(number))
		g.open = nil // arrivals do not wait for an answer to continue
		select {
		case slots <- struct{}{}:
		default:
			r.skipped.Add(1)
			continue
		}
		inFlight.Go(func() {
			defer func() { <-slots }()
			r.ask(asking, calls, op)
		})
	}
	inFlight.Wait()
}

func (r *runner) isMarked(number int64) bool {
	marked := r.mix.Marked
	if marked == nil || number%int64(marked.Every) != 0 {
		return false
	}
	return number/int64(marked.Every) <= int64(marked.Count)
}

// ask sends an operation until it is answered, its tries are used up, or coming
// back does not help.
func (r *runner) ask(asking, calls context.Context, op *operation) reply {
	for number := 1; ; number++ {
		last := r.try(calls, op, op.id+"-t"+strconv.Itoa(number))
		r.recorder.add(last.observation)
		if r.options.OnObservation != nil {
			r.options.OnObservation(last.observation)
		}
		wait := last.comeBack(op)
		if wait < 0 || number >= r.triesOf(op) || asking.Err() != nil {
			return last
		}
		pause(asking, min(wait, maxBackOff))
	}
}

// triesOf returns how often an operation may be sent. Callers of marked ones do
// not give up soon.
func (r *runner) triesOf(op *operation) int {
	if op.marked {
		return r.mix.Tries + markedTries
	}
	return r.mix.Tries
}

// comeBack returns how long to wait before the operation is sent again, or a
// negative duration if it is over.
func (r reply) comeBack(op *operation) time.Duration {
	switch r.observation.Result {
	case observation.NotRun:
		return r.retryAfter
	case observation.Unknown:
		if op.kind == observation.Booking || op.marked {
			return max(r.retryAfter, unknownBackOff)
		}
	}
	return -1
}

func pause(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
