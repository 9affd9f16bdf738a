package relay

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/policy/route"
)

// Causes for which this side ends an attempt.
var (
	errUnreachable = eris.New("endpoint is silent and cannot be reached")
	errStuck       = eris.New("endpoint is silent for too long")
)

const (
	// quietBeforeProbe is the silence after which an endpoint is asked for a
	// connection, and quietPart the part of a short latency objective that
	// takes its place.
	quietBeforeProbe = 350 * time.Millisecond
	quietPart        = 0.5
	// stuckTargets is how many times the latency objective a first event may
	// take, and stuckGaps how many times the longest pause a silence in the
	// stream may, before an endpoint that can be reached is given up.
	stuckTargets = 2
	stuckGaps    = 3
	// stuckUsual is how many times the usual time a first event may take.
	stuckUsual = 6
	// missedProbes is how many probes in a row must miss an endpoint: one may be
	// lost on the way. probePause lies between them.
	missedProbes = 2
	probePause   = 60 * time.Millisecond
	// lifeless is the time without any answer to this instance from which on an
	// endpoint is given up at the half of these times.
	lifeless = time.Second
)

// watchdog ends an attempt whose endpoint is silent. A busy endpoint is
// silent too: so an attempt only ends if the endpoint cannot be reached, or
// was silent for much longer than usual.
type watchdog struct {
	attempt *attempt
	cancel  context.CancelCauseFunc
	// What follows is as it was when the attempt began: the request goes on
	// while the watchdog may still be looking.
	reach   Reach
	planner Planner
	route   *route.Route
	budget  Budget
	// usual is the usual time to the first event.
	usual time.Duration
	quiet time.Duration
	timer *time.Timer
	// progress is the request's when the attempt began.
	progress *Progress
	// missed counts the probes in a row that did not reach the endpoint.
	missed int
}

// watch begins to watch the attempt. The caller stops it.
func (a *attempt) watch(ctx context.Context, cancel context.CancelCauseFunc) *watchdog {
	r := a.run
	w := &watchdog{
		attempt: a, cancel: cancel, reach: r.relay.Reach, planner: r.relay.Planner, route: r.permission.Route, budget: r.budget,
		usual: a.place.Usual(), progress: r.progress(),
		quiet: quietBeforeProbe,
	}
	if target := w.route.TargetLatency; target > 0 {
		w.quiet = min(w.quiet, time.Duration(quietPart*float64(target)))
	}
	// The timer is in its place before it can fire.
	w.timer = time.AfterFunc(time.Hour, func() { w.look(ctx) })
	w.timer.Reset(w.quiet)
	return w
}

func (w *watchdog) stop() { w.timer.Stop() }

// look judges the silence so far.
func (w *watchdog) look(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	heard := w.attempt.heardAt()
	silence := time.Since(heard)
	if silence < w.quiet {
		w.timer.Reset(w.quiet - silence)
		return
	}
	w.noteOverdue()
	if !w.affordable() {
		// No other endpoint could be asked, so giving this one up gains nothing.
		w.timer.Reset(w.quiet)
		return
	}
	if silence > w.patience() {
		w.cancel(errStuck)
		return
	}
	reached := w.reach.Reachable(ctx, w.attempt.endpoint.Address)
	if reached || !heard.Equal(w.attempt.heardAt()) {
		w.missed = 0
		w.timer.Reset(w.quiet)
		return
	}
	w.missed++
	if w.missed >= missedProbes {
		w.cancel(errUnreachable)
		return
	}
	w.timer.Reset(probePause)
}

// noteOverdue tells the planner of a first event that is late already. It may
// still take long to come, or the client to leave.
func (w *watchdog) noteOverdue() {
	waited := time.Since(w.progress.Request.Received)
	if w.attempt.streaming.Load() || w.route.TargetLatency <= 0 || waited <= w.route.TargetLatency {
		return
	}
	if w.attempt.run.overdue.Swap(true) {
		return
	}
	w.planner.Observe(w.progress, Delivery{FirstEvent: waited, LongPrompt: w.attempt.place.LongPrompt()})
}

// affordable reports whether the retry budget lets another attempt follow.
func (w *watchdog) affordable() bool {
	if w.attempt.streaming.Load() {
		return w.budget.Urgent(time.Now())
	}
	return w.budget.Available(time.Now()) >= 1
}

// patience is the longest silence of an endpoint that can be reached.
func (w *watchdog) patience() time.Duration {
	patience := max(stuckTargets*w.route.TargetLatency, stuckUsual*w.usual)
	if w.attempt.streaming.Load() {
		patience = stuckGaps * w.route.TargetGap
	}
	if time.Since(w.attempt.place.LastSign()) > max(lifeless, patience/2) {
		patience /= 2
	}
	return max(patience, leastPatience)
}
