package relay

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/policy/route"
)

// Stop knows when the instance stops.
type Stop interface {
	// Admits reports whether a request may be run whose client waits for the given time at most. It is
	// asked before each attempt.
	Admits(rt *route.Route, remaining time.Duration) bool
	// Ending returns a context that ends shortly before the instance closes its connections.
	Ending() context.Context
}

// errStopping is the cause with which requests end that have no answer when the instance stops.
var errStopping = eris.New("instance stops")

// checkStop returns a refusal if the instance stops before the request can be answered. An answer that has
// begun goes on as long as it can.
func (r *run) checkStop() *Refusal {
	stop := r.relay.Stop
	if stop == nil || r.headSent || stop.Admits(r.permission.Route, r.remainingAtMost(r.permission.Route.Timeout)) {
		return nil
	}
	return stopRefusal()
}

// stopRefusal returns the refusal of a request that is not run, or has no answer, because the instance
// stops. Another instance takes it at once.
func stopRefusal() *Refusal {
	return &Refusal{Reason: Stopping, NotRun: true, RetryAfter: minRetryAfter}
}

// withStop returns a context that also ends shortly before the instance closes its connections, unless the
// answer has begun. The caller calls release at the end of the request.
func (r *run) withStop(ctx context.Context) (stopped context.Context, release func()) {
	if r.relay.Stop == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	unregister := context.AfterFunc(r.relay.Stop.Ending(), func() {
		if !r.hasBegun.Load() {
			cancel(errStopping)
		}
	})
	return ctx, func() {
		unregister()
		cancel(nil)
	}
}

// isStopped reports whether the request has ended because the instance stops.
func isStopped(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopping) }
