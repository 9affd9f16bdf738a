package relay

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/memory"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// run is the state of one request while it is served.
type run struct {
	relay   *Relay
	request *Request
	client  Client
	// held is the memory that is held of the answer.
	held *memory.Holding
	// draw is a random number in [0, 1) that selects a service of the route.
	draw float64

	permission Permission
	deadline   time.Time
	service    route.ServiceName
	budget     Budget
	// version is the version that the first attempt at the service used.
	version string
	// model is the model planned for the next attempt.
	model route.ModelName

	// sent counts attempts whose request was sent to an endpoint, and unsent
	// those of which no byte was sent.
	sent   int
	unsent int
	// runs counts attempts that may have run the request.
	runs int
	// lateReported reports that the planner knows that the request is late.
	lateReported atomic.Bool
	// escalated reports that an answer was discarded to ask a larger model.
	// fallback is that answer if it is complete.
	escalated bool
	fallback  *Answer
	// avoid lists the endpoints whose attempts have failed, since the last time that
	// there was no other.
	avoid []platform.EndpointID
	// moved reports that an overdue attempt was ended to move the request.
	moved atomic.Bool
	// brittleRejections counts the brittle endpoints that had no room.
	brittleRejections int
	// headSent reports that the head of an answer was sent to the client; hasBegun is the same for other
	// goroutines.
	headSent bool
	hasBegun atomic.Bool
	// lastEvent is the ID of the last event that the client has. gotEventID reports that
	// an event of this answer had one.
	lastEvent  string
	gotEventID atomic.Bool
	// firstEvent is the time from the arrival to the first event sent to the client, 0 before.
	firstEvent time.Duration
	backoff    backoff
	refusal    *Refusal
	// status and contentType are those of the answer that the client gets.
	status      int
	contentType string
	// complete reports that the whole answer was sent to the client, aborted that no
	// endpoint could complete it, and cutOff that the client did not read it.
	complete, aborted, cutOff bool
	// stopped, last and broken are described at [DoneEvent].
	stopped      StopReason
	last, broken *AttemptEvent
	admission    runAdmission
}

func (r *run) serve(ctx context.Context) {
	permission, refusal := r.relay.Gate.Admit(r.request)
	r.permission = permission
	if refusal != nil {
		r.refuse(refusal)
		return
	}
	if refusal := r.checkStop(); refusal != nil {
		r.refuse(refusal)
		return
	}
	if refusal := r.offer(); refusal != nil {
		r.refuse(refusal)
		return
	}
	if !r.prepare() {
		r.refuse(&Refusal{Reason: NoEndpoint, NotRun: true, RetryAfter: r.request.RetryAfter()})
		return
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	ctx, release := r.withStop(ctx)
	defer release()
	r.runAttempts(ctx)
	r.endAdmission()
}

// prepare sets the deadline, the service and the first model. It reports false if
// the route has no service.
func (r *run) prepare() bool {
	rt := r.permission.Route
	r.deadline = r.request.Received.Add(rt.Timeout)
	if r.request.Timeout > 0 && r.request.Timeout < rt.Timeout {
		r.deadline = r.request.Received.Add(r.request.Timeout)
	}
	service, ok := rt.Pick(r.draw)
	if !ok {
		return false
	}
	r.useService(service)
	r.lastEvent, r.runs = r.request.ResumeAfter, r.request.RunsBefore
	r.model = r.relay.Planner.First(r.progress())
	return true
}

// useService sets the service of the request and counts the request in its retry
// budget. The versions of an earlier service mean nothing at this one.
func (r *run) useService(service route.ServiceName) {
	r.service, r.version = service, ""
	r.budget = r.relay.Budgets.Budget(service)
	if !r.request.Forwarded {
		r.budget.RecordRequest(time.Now())
	}
}

func (r *run) progress() *Progress {
	return &Progress{
		Request:   r.request,
		Route:     r.permission.Route,
		Service:   r.service,
		Priority:  r.permission.Priority,
		Retries:   r.budget.Available(time.Now()),
		Escalated: r.escalated,
	}
}

// runAttempts makes attempts until the request has its final answer.
func (r *run) runAttempts(ctx context.Context) {
	for {
		if r.request.Body.IsDropped() {
			r.finish(ctx, &Refusal{Reason: NoMemory, RetryAfter: r.request.RetryAfter()})
			return
		}
		if refusal := r.checkAdmission(ctx); refusal != nil {
			r.finish(ctx, refusal)
			return
		}
		lease, refusal := r.pickEndpoint(ctx)
		if refusal != nil {
			if r.switchModel(ctx, refusal) || refusal.mayPass() && r.waitForEndpoint(ctx) {
				continue
			}
			r.finish(ctx, refusal)
			return
		}
		r.sent++
		attempt := r.newAttempt(lease)
		r.recordRuns(1) // it may run while its answer is sent
		attempt.execute(ctx)
		lease.End(attempt.attemptResult())
		r.recordAttempt(attempt)
		if !r.continueAfter(ctx, attempt) {
			return
		}
	}
}

// recordRuns tells the client how many attempts of this instance may have run the request,
// with those in progress.
func (r *run) recordRuns(inProgress int) {
	if recorder, ok := r.client.(RunRecorder); ok {
		recorder.RecordRuns(r.runs - r.request.RunsBefore + inProgress)
	}
}

func (r *run) recordAttempt(a *attempt) {
	r.last = a.event()
	if a.verdict == verdictBroken {
		r.broken = r.last
	}
	r.relay.Observer.RecordAttempt(r.last)
}

func (r *run) pickEndpoint(ctx context.Context) (Lease, *Refusal) {
	return r.relay.Picker.Pick(ctx, &Query{
		Request:    r.request,
		Permission: &r.permission,
		Service:    r.service,
		Model:      r.model,
		Version:    r.version,
		Avoid:      r.avoid,
	})
}

func (r *run) newAttempt(lease Lease) *attempt {
	endpoint := lease.Endpoint()
	if r.version == "" {
		r.version = endpoint.Version
	}
	a := &attempt{run: r, lease: lease, endpoint: endpoint, model: r.model, started: time.Now(), usualFirstEvent: lease.UsualFirstEvent()}
	a.peer, _ = lease.(PeerLease)
	a.continues = r.headSent
	a.lastActivity.Store(a.started.UnixNano())
	return a
}

// checkAdmission returns a refusal if the request's time is up or, after the first
// attempt, if the gate no longer admits the request. It picks another service or
// model if the route no longer allows the current one, and returns a refusal if there
// is no service. Otherwise it returns nil.
func (r *run) checkAdmission(ctx context.Context) *Refusal {
	if r.isTimeUp(ctx) {
		return &Refusal{Reason: DeadlineExceeded}
	}
	if r.sent+r.unsent == 0 {
		return nil // serve has just admitted it
	}
	permission, refusal := r.relay.Gate.Admit(r.request)
	if refusal != nil {
		return refusal
	}
	previous := r.permission.Route
	r.permission = permission
	if refusal := r.checkStop(); refusal != nil {
		return refusal
	}
	if !permission.Route.Allows(r.service) {
		service, ok := permission.Route.Pick(r.draw)
		if !ok {
			return &Refusal{Reason: NoEndpoint, RetryAfter: r.request.RetryAfter()}
		}
		r.useService(service)
	}
	r.replaceUnlistedModel(previous)
	return nil
}

// replaceUnlistedModel plans the model anew if the route had other models before, and
// does not list the planned one now: endpoints reject such a request, with an answer
// that makes them look replaced. A fallback from an earlier model is kept.
func (r *run) replaceUnlistedModel(previous *route.Route) {
	models := r.permission.Route.Models
	if slices.Equal(models, previous.Models) || slices.Contains(models, r.model) {
		return
	}
	r.model = r.relay.Planner.First(r.progress())
}

// isTimeUp reports whether too little time remains for another attempt.
func (r *run) isTimeUp(ctx context.Context) bool {
	return ctx.Err() != nil || time.Until(r.deadline) < minRemaining
}

// continueAfter processes the verdict of an attempt. It reports whether another
// attempt follows; otherwise the request has its final answer or the client has
// disconnected.
func (r *run) continueAfter(ctx context.Context, a *attempt) bool {
	r.runs += a.runs()
	r.recordRuns(0)
	r.reportDelivery(a)
	if r.headSent && r.firstEvent == 0 && a.firstEvent > 0 {
		r.firstEvent = a.delivery().FirstEvent
	}
	if a.events > 0 {
		r.backoff.recordEvent(a.lastEventAt)
	}
	switch a.verdict {
	case verdictDelivered:
		r.complete = true
		return false
	case verdictClientGone:
		r.cutOff = errors.Is(a.err, ErrClientCutOff)
		return false
	case verdictRefused:
		r.finish(ctx, a.refusal)
		return false
	case verdictLowConfidence:
		// shouldEscalate has already withdrawn the cost from the budget.
		r.escalated, r.model = true, a.nextModel
		return true
	}
	failedBefore := slices.Contains(r.avoid, a.endpoint.ID)
	if failedBefore {
		r.avoid = nil
	}
	r.avoid = append(r.avoid, a.endpoint.ID)
	if a.isFinalFailure() {
		return r.giveUp(ctx, a, StopPeer)
	}
	if a.verdict == verdictNotSent {
		// Nothing reached the endpoint, so the attempt costs no retry.
		r.sent--
		r.unsent++
		return r.continueAfterUnsent(ctx, a, failedBefore) || r.giveUp(ctx, a, StopUnsent)
	}
	if a.isBrittleRejection() && !r.headSent {
		if r.brittleRejections++; r.brittleRejections >= maxBrittleRejections {
			return r.giveUp(ctx, a, StopBrittle)
		}
	}
	if stop := r.takeRetry(a); stop != "" {
		return r.giveUp(ctx, a, stop)
	}
	if a.crashed {
		a.lease.AwaitCause(ctx)
	}
	if a.verdict == verdictNotExecuted && !a.misdirected {
		r.backoff.rejections++
		if r.backoff.rejections > 1 {
			r.waitForEndpoint(ctx)
		}
	}
	return true
}

// continueAfterUnsent reports whether another attempt follows an unsent one, and waits
// before it if necessary. Endpoints that fail together must not use up the attempts
// while others are usable: each of these is tried. failedBefore reports that the
// endpoint was tried again because no other was left.
func (r *run) continueAfterUnsent(ctx context.Context, a *attempt, failedBefore bool) bool {
	switch {
	case r.unsent >= maxUnsent:
		return false
	case !failedBefore && (r.unsent < maxTries || a.lease.HasAlternative(ctx, r.avoid)):
		return true
	default:
		return r.waitForEndpoint(ctx) || r.unsent < maxTries
	}
}

// takeRetry takes one retry from the budget if another attempt may follow the given
// one. Otherwise it returns the reason.
func (r *run) takeRetry(a *attempt) StopReason {
	if a.mayHaveRun() {
		if stop := r.checkRuns(); stop != "" {
			return stop
		}
	}
	return r.withdrawRetry(a)
}

// reportDelivery reports to the planner what the client saw of an attempt that was
// delivered, broken or abandoned by the client, unless the watchdog has already
// reported the request as late.
func (r *run) reportDelivery(a *attempt) {
	if r.lateReported.Load() {
		return
	}
	switch a.verdict {
	case verdictDelivered, verdictClientGone, verdictBroken:
		r.relay.Planner.Observe(r.progress(), a.delivery())
	default:
	}
}

// canResume reports whether another endpoint can go on with an answer that has begun. If
// its events have no IDs, the endpoint would start with the first event again.
func (r *run) canResume(rt *route.Route) bool { return rt.Resumable && r.gotEventID.Load() }

// checkRuns returns a reason if no other attempt is allowed after one that may have
// run the request.
func (r *run) checkRuns() StopReason {
	rt := r.permission.Route
	switch {
	case r.headSent && !r.canResume(rt):
		return StopNotResumable
	case !rt.Repeatable():
		return StopNotRepeatable
	case r.runs >= rt.MaxAttempts:
		return StopRuns
	default:
		return ""
	}
}

// withdrawRetry takes one retry from the budget, unless the watchdog of the attempt
// has done so. It returns a reason if no other attempt may follow. If the client has
// already received a part of the answer, the reserve of the budget may be used.
func (r *run) withdrawRetry(a *attempt) StopReason {
	if r.sent >= maxTries {
		return StopTries
	}
	if a.retryWithdrawn.Load() {
		return ""
	}
	withdraw := r.budget.Withdraw
	if r.headSent {
		withdraw = r.budget.WithdrawUrgent
	}
	if !withdraw(time.Now()) {
		return StopBudget
	}
	return ""
}

// giveUp ends the attempts with the current model for the given reason. It reports
// true if another model replaces it. Otherwise the client has its final answer: an
// aborted stream, the fallback, the endpoint's failure or a refusal.
func (r *run) giveUp(ctx context.Context, a *attempt, stop StopReason) bool {
	refusal := &Refusal{Reason: EndpointsFailed, RetryAfter: r.request.RetryAfter()}
	if r.switchModel(ctx, refusal) {
		return true
	}
	r.stopped = stop
	switch {
	case a.verdict != verdictFailure || r.headSent || r.fallback != nil:
		r.finish(ctx, refusal)
	case a.hasFalsePromise():
		r.finish(ctx, &Refusal{Reason: FalsePromise})
	default:
		a.sendFailure()
	}
	return false
}

// switchModel selects another model because the current one is unavailable, and
// reports whether it has selected one. It selects none once the head of an answer
// was sent or the context has ended, and none for a request that crashes
// endpoints, because the request would crash them with any model.
func (r *run) switchModel(ctx context.Context, refusal *Refusal) bool {
	if r.last != nil && r.last.ViaPeer {
		return false // the peer has tried what the request allows
	}
	if r.runs > 0 && !r.permission.Route.Repeatable() {
		return false
	}
	if r.headSent || ctx.Err() != nil || refusal.Reason == CrashSuspect || refusal.Reason == SuspectPending {
		return false
	}
	model, ok := r.relay.Planner.Alternative(r.model)
	if ok {
		r.model = model
	}
	return ok
}

// finish ends a request for which no further attempt is made: it aborts an answer
// that has begun, sends the fallback, or refuses the request.
func (r *run) finish(ctx context.Context, refusal *Refusal) {
	r.stopped = r.stopReason(ctx, refusal)
	if r.headSent {
		r.aborted = true
		return
	}
	if r.fallback != nil {
		r.sendFallback()
		return
	}
	switch {
	case isStopped(ctx):
		refusal = stopRefusal()
	case ctx.Err() != nil && refusal.Reason != DeadlineExceeded:
		refusal = &Refusal{Reason: DeadlineExceeded}
	}
	final := *refusal
	final.NotRun = true // unless an attempt may have run it
	r.refuse(&final)
}

func (r *run) answerEnd() AnswerEnd {
	switch {
	case r.complete:
		return AnswerComplete
	case r.aborted:
		return AnswerInterrupted
	default:
		return AnswerCanceled
	}
}

// stopReason returns the reason for [run.finish]: the client has disconnected, the
// time is up, the reason that giveUp has set, or the refusal of the gate or the
// picker.
func (r *run) stopReason(ctx context.Context, refusal *Refusal) StopReason {
	switch {
	case isStopped(ctx):
		return StopReason(Stopping)
	case errors.Is(ctx.Err(), context.Canceled):
		return StopClientGone
	case r.isTimeUp(ctx):
		return StopReason(DeadlineExceeded)
	case r.stopped != "":
		return r.stopped
	default:
		return StopReason(refusal.Reason)
	}
}

// refuse sends a refusal. It promises that the request has not run only if no attempt may have run it,
// here or at the instance that has forwarded it.
func (r *run) refuse(refusal *Refusal) {
	final := *refusal
	final.NotRun = final.NotRun && max(r.runs, r.request.RunsBefore) == 0
	r.refusal = &final
	r.client.Refuse(&final)
}

// spreadRetryAfter returns a retry delay between 0.5 and 1.5 times the base delay,
// so that refused clients do not retry together, but short enough that a client
// with the given remaining time still retries, and at least minRetryAfter. draw is
// a random number in [0, 1).
func spreadRetryAfter(base, remaining time.Duration, draw float64) time.Duration {
	after := time.Duration(float64(base) * (0.5 + draw))
	if remaining > 0 {
		after = min(after, remaining/retryAfterDivisor)
	}
	return max(after, minRetryAfter)
}

// retryAfterRest is like [spreadRetryAfter], but not shorter than the rest unless the client
// would not retry then.
func retryAfterRest(rest, remaining time.Duration, draw float64) time.Duration {
	const middle = 0.5 // the base delay itself
	return spreadRetryAfter(rest+time.Duration(draw*float64(rest)/2), remaining, middle)
}

func (r *run) report(ctx context.Context) {
	event := &DoneEvent{
		RequestID:  r.request.ID,
		Account:    r.permission.Account,
		Revision:   r.permission.Revision,
		ConfigAge:  r.permission.Age,
		Attempts:   r.sent,
		Unsent:     r.unsent,
		Stopped:    r.stopped,
		Last:       r.last,
		Broken:     r.broken,
		Refusal:    r.refusal,
		Status:     r.status,
		ClientGone: ctx.Err() != nil,
		CutOff:     r.cutOff,
		Aborted:    r.aborted,
		Took:       time.Since(r.request.Received),
		FirstEvent: r.firstEvent,
		Admission:  r.admission.outcome,
	}
	if r.permission.Route != nil {
		event.Route, event.Objective = r.permission.Route.Name, r.permission.Route.TargetLatency
	}
	r.relay.Observer.Done(event)
}
