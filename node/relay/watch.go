package relay

import (
	"context"
	"errors"
	"time"
)

// Reach tells whether endpoints can be reached.
type Reach interface {
	// Reachable reports whether an endpoint accepts connections now.
	Reachable(ctx context.Context, address string) bool
}

// Causes for which this side ends an attempt.
var (
	errUnreachable = errors.New("endpoint is silent and cannot be reached")
	errStuck       = errors.New("endpoint is silent for too long")
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
	quiet   time.Duration
	timer   *time.Timer
}

// watch begins to watch the attempt. The caller stops it.
func (a *attempt) watch(ctx context.Context, cancel context.CancelCauseFunc) *watchdog {
	quiet := quietBeforeProbe
	if target := a.run.permission.route.TargetLatency; target > 0 {
		quiet = min(quiet, time.Duration(quietPart*float64(target)))
	}
	w := &watchdog{attempt: a, cancel: cancel, quiet: quiet}
	w.timer = time.AfterFunc(quiet, func() { w.look(ctx) })
	return w
}

func (w *watchdog) stop() { w.timer.Stop() }

// look judges the silence so far.
func (w *watchdog) look(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	silence := time.Since(w.attempt.heardAt())
	if silence < w.quiet {
		w.timer.Reset(w.quiet - silence)
		return
	}
	if silence > w.patience() {
		w.cancel(errStuck)
		return
	}
	before := w.attempt.heardAt()
	if !w.attempt.run.relay.Reach.Reachable(ctx, w.attempt.lease.Endpoint.Address) && before.Equal(w.attempt.heardAt()) {
		w.cancel(errUnreachable)
		return
	}
	w.timer.Reset(w.quiet)
}

// patience is the longest silence of an endpoint that can be reached.
func (w *watchdog) patience() time.Duration {
	a := w.attempt
	found := a.run.permission.route
	patience := stuckTargets * found.TargetLatency
	if a.streaming.Load() {
		patience = stuckGaps * found.TargetGap
	} else {
		usual := a.run.relay.Pools.Service(a.run.service).FirstEvent(a.model, a.run.request.PromptTokens)
		patience = max(patience, stuckUsual*usual)
	}
	if time.Since(a.lease.LastSign()) > max(lifeless, patience/2) {
		patience /= 2
	}
	return max(patience, leastPatience)
}
