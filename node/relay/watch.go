package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// WatchdogCause is the cause for which the watchdog canceled an attempt.
type WatchdogCause string

// Causes for which the watchdog cancels an attempt.
const (
	// CauseProbeTimedOut: probes of the silent endpoint got no answer.
	CauseProbeTimedOut WatchdogCause = "probe timed out"
	// CauseSilence: the silence was too long even for an endpoint that can be reached.
	CauseSilence WatchdogCause = "silent too long"
	// CauseOverdue: the first event was overdue, and other endpoints were expected to send it much sooner.
	CauseOverdue WatchdogCause = "moved early"
)

// watchdogError is the error with which the watchdog cancels an attempt.
type watchdogError struct {
	cause WatchdogCause
	// silence is how long the endpoint had sent nothing.
	silence time.Duration
}

func (e *watchdogError) Error() string {
	switch e.cause {
	case CauseSilence:
		return "endpoint was silent for too long"
	case CauseOverdue:
		return "first event was overdue"
	default:
		return "endpoint is silent and cannot be reached"
	}
}

// isMove reports whether the cause ended an attempt to move it to another endpoint. The attempt then says
// nothing about its endpoint, which is busy.
func isMove(cause error) bool {
	var ended *watchdogError
	return errors.As(cause, &ended) && ended.cause == CauseOverdue
}

const (
	// silenceBeforeProbe is the silence after which the endpoint is probed. For a
	// short latency objective, silenceTargetRatio times the objective is used
	// instead.
	silenceBeforeProbe = 350 * time.Millisecond
	silenceTargetRatio = 0.5
	// An endpoint that can be reached is given up after a silence, before the first
	// event, of more than stuckTargetFactor times the latency objective and more than
	// stuckUsualFactor times the usual time to the first event, or, after the first
	// event, of more than stuckGapFactor times the longest allowed pause.
	stuckTargetFactor = 2
	stuckGapFactor    = 3
	stuckUsualFactor  = 6
	// maxMissedProbes is the number of consecutive unanswered probes after which the
	// endpoint counts as unreachable: a single probe may be lost on the network.
	// probePause is the time from an unanswered probe to the next one.
	maxMissedProbes = 2
	probePause      = 60 * time.Millisecond
	// The allowed silence of an attempt is halved if the endpoint has sent nothing to
	// this instance, for any request, for longer than longInactivity and for longer
	// than half of the allowed silence.
	longInactivity = time.Second
	// A peer gets peerSilenceFactor times as long, as it watches the endpoint itself.
	peerSilenceFactor = 2
)

// watchdog cancels an attempt whose endpoint is unresponsive. A busy endpoint
// is silent too, so an attempt is canceled only if the endpoint cannot be
// reached or was silent for much longer than usual.
type watchdog struct {
	attempt *attempt
	cancel  context.CancelCauseFunc
	// The fields below are copied at the start of the attempt: a check may still
	// run while the request has moved to its next attempt.
	gate    Gate
	prober  Prober
	planner Planner
	route   *route.Route
	budget  Budget
	// headSent reports that the client had a part of the answer when the attempt
	// started, and triesLeft that the request may be sent again after it.
	headSent, triesLeft bool
	// avoid lists the endpoints of the failed attempts and of this one.
	avoid []platform.EndpointID
	// usualFirstEvent is the usual time to the first event.
	usualFirstEvent time.Duration
	// probeAfter is the silence after which the endpoint is probed.
	probeAfter time.Duration
	timer      *time.Timer
	// progress is the request's progress at the start of the attempt.
	progress *Progress
	// missed counts the consecutive unanswered probes.
	missed int
}

// watch starts a watchdog for the attempt. The caller stops it.
func (a *attempt) watch(ctx context.Context, cancel context.CancelCauseFunc) *watchdog {
	r := a.run
	w := &watchdog{
		attempt: a, cancel: cancel, gate: r.relay.Gate, prober: r.relay.Prober, planner: r.relay.Planner,
		route: r.permission.Route, budget: r.budget, headSent: r.headSent, triesLeft: r.sent < maxTries,
		avoid:           append(slices.Clone(r.avoid), a.endpoint.ID),
		usualFirstEvent: a.lease.UsualFirstEvent(), progress: r.progress(),
		probeAfter: probeAfter(r.permission.Route),
	}
	// w.timer is set before the timer can fire, because check uses w.timer.
	w.timer = time.AfterFunc(time.Hour, func() { w.check(ctx) })
	w.timer.Reset(w.probeAfter)
	return w
}

// probeAfter returns the silence after which an endpoint is probed.
func probeAfter(rt *route.Route) time.Duration {
	if rt.TargetLatency <= 0 {
		return silenceBeforeProbe
	}
	return min(silenceBeforeProbe, time.Duration(silenceTargetRatio*float64(rt.TargetLatency)))
}

func (w *watchdog) stop() { w.timer.Stop() }

// check cancels the attempt if its endpoint was silent for too long or cannot be
// reached.
func (w *watchdog) check(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	lastActivity := w.attempt.lastActivityAt()
	silence := time.Since(lastActivity)
	if silence < w.probeAfter {
		w.timer.Reset(w.probeAfter - silence)
		return
	}
	w.reportLate()
	if !w.canContinueElsewhere(ctx) {
		w.timer.Reset(w.probeAfter)
		return
	}
	if silence > w.maxSilence() {
		w.giveUp(&watchdogError{cause: CauseSilence, silence: silence})
		return
	}
	if w.shouldMove(ctx) {
		if w.giveUp(&watchdogError{cause: CauseOverdue, silence: silence}) {
			w.attempt.run.moved.Store(true)
		}
		return
	}
	outcome := w.prober.Probe(ctx, w.attempt.endpoint.Address)
	// A refused connection does not end an attempt: a host resets the connections of a
	// process that has ended, so this one is still served.
	if outcome != ProbeTimedOut || !lastActivity.Equal(w.attempt.lastActivityAt()) {
		w.missed = 0
		w.timer.Reset(w.probeAfter)
		return
	}
	w.missed++
	if w.missed >= maxMissedProbes {
		w.giveUp(&watchdogError{cause: CauseProbeTimedOut, silence: time.Since(lastActivity)})
		return
	}
	w.timer.Reset(probePause)
}

// giveUp cancels the attempt if the budget still covers the next one: other attempts
// may have used it during the probe. It reports whether it did.
func (w *watchdog) giveUp(cause error) bool {
	if !w.withdrawRetry() {
		w.timer.Reset(w.probeAfter)
		return false
	}
	w.attempt.retryWithdrawn.Store(true)
	w.cancel(cause)
	return true
}

// canContinueElsewhere reports whether another attempt could follow this one. If
// not, giving up this one gains nothing, and its endpoint may still answer.
func (w *watchdog) canContinueElsewhere(ctx context.Context) bool {
	if !w.triesLeft || w.hasBegun() && !w.attempt.run.canResume(w.route) || !w.canAffordRetry() {
		return false
	}
	if _, refusal := w.gate.Admit(w.progress.Request); refusal != nil {
		return false
	}
	// Until the answer begins, the picker uses endpoints again that it has avoided.
	var avoid []platform.EndpointID
	if w.hasBegun() {
		avoid = w.avoid
	}
	return w.attempt.lease.HasAlternative(ctx, avoid)
}

// shouldMove reports whether the attempt is ended early, before its first event, to send the request to
// an endpoint that is expected to answer sooner. A request is moved once.
func (w *watchdog) shouldMove(ctx context.Context) bool {
	return !w.attempt.run.moved.Load() && !w.hasBegun() && w.attempt.peer == nil && w.attempt.lease.IsOverdue(ctx, w.avoid)
}

// hasBegun reports whether the client has a part of the answer.
func (w *watchdog) hasBegun() bool { return w.headSent || w.attempt.hasFirstEvent.Load() }

// reportLate reports a first event that is already late to the planner, without
// waiting for the event or for the client to disconnect.
func (w *watchdog) reportLate() {
	waited := time.Since(w.progress.Request.Received)
	if w.attempt.hasFirstEvent.Load() || w.route.TargetLatency <= 0 || waited <= w.route.TargetLatency {
		return
	}
	if w.attempt.run.lateReported.Swap(true) {
		return
	}
	w.planner.Observe(w.progress, Delivery{FirstEvent: waited, LongPrompt: w.attempt.lease.LongPrompt()})
}

// canAffordRetry reports whether the retry budget allows another attempt.
func (w *watchdog) canAffordRetry() bool {
	if w.hasBegun() {
		return w.budget.AllowsUrgent(time.Now())
	}
	return w.budget.Available(time.Now()) >= 1
}

// withdrawRetry takes one retry from the budget and reports whether there was one.
func (w *watchdog) withdrawRetry() bool {
	if w.hasBegun() {
		return w.budget.WithdrawUrgent(time.Now())
	}
	return w.budget.Withdraw(time.Now())
}

// maxSilence returns the silence after which an endpoint is given up even if it
// can be reached.
func (w *watchdog) maxSilence() time.Duration {
	silence := max(stuckTargetFactor*w.route.TargetLatency, stuckUsualFactor*w.usualFirstEvent)
	if w.attempt.hasFirstEvent.Load() {
		silence = stuckGapFactor * w.route.TargetGap
	}
	if time.Since(w.attempt.lease.LastActivity()) > max(longInactivity, silence/2) {
		silence /= 2
	}
	if w.attempt.peer != nil {
		silence *= peerSilenceFactor
	}
	return max(silence, minPatience)
}
