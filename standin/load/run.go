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
	defaultAttempts     = 3
	extraMarkedAttempts = 3 // of a marked operation, beyond the mix's maximum
	maxRetryDelay       = 2 * time.Second
	callTimeout         = 30 * time.Second
	maxInFlight         = 4000             // operations in flight in the open loop
	windDownTimeout     = 10 * time.Second // for requests in flight at the end of the run
	unknownRetryDelay   = 200 * time.Millisecond
)

// Options holds the optional callbacks of a run.
type Options struct {
	// OnObservation is called after every attempt, concurrently from several
	// goroutines. It may be nil.
	OnObservation func(observation.Observation)
	// Ready reports whether an address may get new requests, as the health
	// checks of a load balancer would. If it is nil, every address may.
	Ready func(address string) bool
}

// runner is the state of one run.
type runner struct {
	mix      *Mix
	options  Options
	http     *http.Client
	balancer *balancer
	started  atomic.Int64 // operations started
	skipped  atomic.Int64 // operations dropped because maxInFlight were in flight
	recorder recorder
}

// Run sends requests until a bound of the mix is reached or the context ends,
// waits for the requests in flight, and returns a report. Requests still in
// flight windDownTimeout after the mix's MaxSeconds or the end of the context are
// cancelled. Run returns an error if the mix is invalid or no request was sent.
func Run(ctx context.Context, mix Mix, options Options) (*Report, error) {
	if err := mix.Check().Err(); err != nil {
		return nil, err
	}
	if mix.MaxAttempts == 0 {
		mix.MaxAttempts = defaultAttempts
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxInFlight, DisableCompression: true}
	defer transport.CloseIdleConnections()
	r := &runner{
		mix:      &mix,
		options:  options,
		http:     &http.Client{Transport: transport, Timeout: callTimeout},
		balancer: newBalancer(mix.CallerAddresses, options.Ready),
		recorder: newRecorder(),
	}
	started := time.Now()
	sendCtx, stopSending := context.WithTimeout(ctx, time.Duration(mix.MaxSeconds)*time.Second)
	defer stopSending()
	callCtx, cancelCalls := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelCalls()
	stopWindDown := context.AfterFunc(sendCtx, func() { time.AfterFunc(windDownTimeout, cancelCalls) })
	defer stopWindDown()
	if mix.Rate > 0 {
		r.openLoop(sendCtx, callCtx)
	} else {
		r.closedLoop(sendCtx, callCtx)
	}
	report := r.recorder.report()
	report.Skipped = int(r.skipped.Load())
	report.Seconds = time.Since(started).Seconds()
	if len(report.Observations) == 0 {
		return report, eris.New("load: no request was sent")
	}
	return report, nil
}

// closedLoop runs the virtual users. Each sends its next request once the
// previous one has ended.
func (r *runner) closedLoop(sendCtx, callCtx context.Context) {
	var users sync.WaitGroup
	for number := range r.mix.VirtualUsers {
		users.Go(func() {
			g := newGenerator(r.mix, number)
			for r.sendNext(sendCtx, callCtx, g) == nil {
			}
		})
	}
	users.Wait()
}

// sendNext sends the next operation of a virtual user, after a random pause. It
// returns errStopped at the end of the run.
func (r *runner) sendNext(sendCtx, callCtx context.Context, g *generator) error {
	if think := r.mix.ThinkMillis; think > 0 {
		pause(sendCtx, time.Duration(g.random.IntN(think))*time.Millisecond)
	}
	number := r.started.Add(1)
	if sendCtx.Err() != nil || number > int64(r.mix.MaxRequests) {
		return errStopped
	}
	op := g.next(r.isMarked(number))
	result := r.sendWithRetries(sendCtx, callCtx, op)
	g.updateSession(op, result)
	return nil
}

// updateSession adds the answer to the operation's session, or ends the session
// if the operation was not answered.
func (g *generator) updateSession(op *operation, result reply) {
	if op.session == nil {
		return
	}
	if result.observation.Result != observation.Answered {
		g.endSession(op)
		return
	}
	op.session.token = result.token
	op.session.messages = append(append([]message{}, op.messages...), message{Role: "assistant", Content: result.text})
}

// openLoop starts operations at the mix's mean rate, with exponentially
// distributed intervals, independent of the answers.
func (r *runner) openLoop(sendCtx, callCtx context.Context) {
	g := newGenerator(r.mix, 0)
	var inFlight sync.WaitGroup
	slots := make(chan struct{}, maxInFlight)
	next := time.Now()
	for {
		next = next.Add(time.Duration(g.random.ExpFloat64() / r.mix.Rate * float64(time.Second)))
		pause(sendCtx, time.Until(next))
		number := r.started.Add(1)
		if sendCtx.Err() != nil || number > int64(r.mix.MaxRequests) {
			break
		}
		op := g.next(r.isMarked(number))
		// A further turn of the session would need the answer to op, which is not
		// known yet.
		g.session = nil
		select {
		case slots <- struct{}{}:
		default:
			r.skipped.Add(1)
			continue
		}
		inFlight.Go(func() {
			defer func() { <-slots }()
			r.sendWithRetries(sendCtx, callCtx, op)
		})
	}
	inFlight.Wait()
}

// isMarked reports whether the operation with the given number, counted from 1 over
// the run, is marked.
func (r *runner) isMarked(number int64) bool {
	marked := r.mix.Marked
	if marked == nil || number%int64(marked.Every) != 0 {
		return false
	}
	return number/int64(marked.Every) <= int64(marked.Count)
}

// sendWithRetries sends an operation until a retry is not allowed, its attempts
// are used up or the run ends. It returns the outcome of the last attempt.
func (r *runner) sendWithRetries(sendCtx, callCtx context.Context, op *operation) reply {
	for number := 1; ; number++ {
		result := r.send(callCtx, op, op.id+"-t"+strconv.Itoa(number))
		r.recorder.add(result.observation)
		if r.options.OnObservation != nil {
			r.options.OnObservation(result.observation)
		}
		wait := result.retryDelay(op)
		if wait < 0 || number >= r.maxAttempts(op) || sendCtx.Err() != nil {
			return result
		}
		pause(sendCtx, min(wait, maxRetryDelay))
	}
}

// maxAttempts returns how often an operation may be sent. Marked operations get
// extra attempts, as from a caller that keeps retrying a request that crashes
// endpoints.
func (r *runner) maxAttempts(op *operation) int {
	if op.marked {
		return r.mix.MaxAttempts + extraMarkedAttempts
	}
	return r.mix.MaxAttempts
}

// retryDelay returns how long to wait before the next attempt, or a negative
// duration if the operation must not be retried. After an unknown outcome only
// bookings, which carry an idempotency key, and marked operations are retried.
func (r reply) retryDelay(op *operation) time.Duration {
	switch r.observation.Result {
	case observation.NotRun:
		return r.retryAfter
	case observation.Unknown:
		if op.kind == observation.Booking || op.marked {
			return max(r.retryAfter, unknownRetryDelay)
		}
	}
	return -1
}

// pause waits for the duration or until the context ends.
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
