package relay

import (
	"context"
	"errors"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/node/pool"
	policymemory "github.com/wigeonusher/wigeonusher/policy/memory"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// verdict is the outcome of one attempt.
type verdict int

const (
	// verdictNotSent: no byte of the request was sent.
	verdictNotSent verdict = iota
	// verdictNotExecuted: the endpoint stated that it did not run the request.
	verdictNotExecuted
	// verdictDelivered: the client has the complete answer.
	verdictDelivered
	// verdictFailure: the endpoint answered with a failure, which is sent to the
	// client if no attempt follows, no answer has begun and there is no fallback. Each
	// answer that cannot continue one that has begun counts as a failure.
	verdictFailure
	// verdictLowConfidence: the answer was discarded to ask a larger model.
	verdictLowConfidence
	// verdictBroken: no answer, an incomplete one, or one without the proof that the
	// endpoint produced it for this call ([Answer.Authentic]); the request may have
	// run.
	verdictBroken
	// verdictClientGone: the client disconnected.
	verdictClientGone
	// verdictRefused: a peer refused the request for good.
	verdictRefused
)

var verdictNames = [...]string{
	"not sent", "not executed", "delivered", "failure", "low confidence", "broken", "client gone", "refused",
}

func (v verdict) String() string { return verdictNames[v] }

// EndedBy says who ended an attempt before its answer was complete.
type EndedBy string

// Values of [EndedBy].
const (
	// EndedByEndpoint: the endpoint closed the connection, or the connection failed.
	EndedByEndpoint EndedBy = "endpoint"
	// EndedByWatchdog: the watchdog of this instance canceled the attempt, because the
	// endpoint was silent.
	EndedByWatchdog EndedBy = "watchdog"
	// EndedByDeadline: the request's deadline or the time limit of a read passed.
	EndedByDeadline EndedBy = "deadline"
	// EndedBySuspicion: this instance canceled the attempt, see [ErrSuspected].
	EndedBySuspicion EndedBy = "suspicion"
	// EndedByProofCheck: this instance rejected the answer, see [Answer.Authentic], or events of it.
	EndedByProofCheck EndedBy = "proof check"
	// EndedBySize: the relay stopped reading an answer that was too large.
	EndedBySize EndedBy = "size"
	// EndedByMemory: there was no memory for the answer.
	EndedByMemory EndedBy = "memory"
	// EndedByClient: the client disconnected.
	EndedByClient EndedBy = "client"
	// EndedByStop: this instance stops.
	EndedByStop EndedBy = "stop"
)

var errNoProof = eris.New("answer does not carry the endpoint's proof for this call")

// attempt is one call of a request to one endpoint.
type attempt struct {
	run   *run
	lease Lease
	// peer is the lease if it is one at a peer, nil otherwise.
	peer     PeerLease
	endpoint pool.Record
	model    route.ModelName
	started  time.Time
	ended    time.Time

	verdict verdict
	// nextModel is the larger model to ask after an answer of low confidence.
	nextModel route.ModelName
	// lastActivity is the time, in Unix nanoseconds, from which on the silence of the
	// endpoint is measured: the start of the attempt, or the last time at which the
	// endpoint sent something or a write to the client ended. isWriting reports that
	// such a write is in progress. hasFirstEvent reports that the first event has
	// arrived.
	lastActivity  atomic.Int64
	isWriting     atomic.Bool
	hasFirstEvent atomic.Bool
	// retryWithdrawn reports that the watchdog has already taken the retry for the next
	// attempt from the budget.
	retryWithdrawn atomic.Bool
	// crashed reports that the endpoint broke the connection, and inconclusive that
	// the failed attempt says nothing about its endpoint, see [attempt.isInconclusive].
	crashed      bool
	inconclusive bool
	misdirected  bool
	// refusal is that of the peer. peerRuns counts the attempts of the peer that may have
	// run the request.
	refusal  *Refusal
	peerRuns int
	answer   *Answer
	// ahead reads the answer on while the client is slow; hold is the memory of the buffers of this
	// attempt.
	ahead       *readAhead
	hold        hold
	failureBody []byte
	events      int
	// partialEvent is the number of bytes received after the last complete event.
	partialEvent int
	// continues reports that the answer must go on with a stream of which the client has a part,
	// and has not shown yet that it does.
	continues  bool
	firstEvent time.Duration
	// usualFirstEvent is the usual time to the first event, as known at the start.
	usualFirstEvent time.Duration
	headAfter       time.Duration
	lastEventAt     time.Time
	longestGap      time.Duration
	err             error
}

// mayHaveRun reports whether the endpoint may have run the request.
func (a *attempt) mayHaveRun() bool {
	return a.verdict != verdictNotSent && a.verdict != verdictNotExecuted && (a.verdict != verdictRefused || !a.refusal.NotRun)
}

// runs returns how many attempts may have run the request, here or at the peer.
func (a *attempt) runs() int {
	if a.answer != nil && a.answer.Runs != nil {
		a.peerRuns = a.answer.Runs()
	}
	if a.mayHaveRun() {
		return max(1, a.peerRuns)
	}
	return a.peerRuns
}

// isBrittleRejection reports whether a brittle endpoint had no room.
func (a *attempt) isBrittleRejection() bool {
	return a.verdict == verdictNotExecuted && !a.misdirected && a.answer != nil && a.answer.Brittle != nil && a.answer.Brittle.Named
}

// isFinalFailure reports whether a peer has answered with a failure: it has tried what the
// request allows.
func (a *attempt) isFinalFailure() bool { return a.peer != nil && a.verdict == verdictFailure }

// execute sends the request, sets the verdict and forwards a successful answer to
// the client.
func (a *attempt) execute(ctx context.Context) {
	defer a.recordEnd()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a.lease.SetCancel(cancel)
	if a.run.relay.Prober != nil && a.canRetryElsewhere() {
		watchdog := a.watch(ctx, cancel)
		defer watchdog.stop()
	}
	var endpoints Endpoints = a.run.relay.Endpoints
	if a.peer != nil {
		endpoints = a.peer
	}
	answer, err := endpoints.Send(ctx, a.newCall(), a.run.deadline)
	if err != nil {
		a.handleSendError(ctx, err)
		return
	}
	a.ahead = newReadAhead(answer.Body, a.run.held)
	a.hold.holding = a.run.held
	defer a.hold.release()
	defer a.ahead.Close()
	a.answer, a.headAfter = answer, time.Since(a.started)
	a.recordActivity()
	if answer.HasLoad {
		a.lease.RecordLoad(answer.Running, answer.Waiting)
	}
	if answer.Pace > 0 || answer.InvalidPace != "" {
		a.lease.RecordPace(answer.Pace, answer.InvalidPace)
	}
	if answer.Limit != nil {
		a.lease.RecordLimit(*answer.Limit, a.started)
	}
	if answer.Brittle != nil {
		a.lease.RecordBrittleness(*answer.Brittle, a.started)
	}
	if answer.Authentic {
		a.lease.RecordHead()
	}
	if answer.Rest > 0 {
		a.lease.RecordRest(answer.Rest)
	}
	if answer.Cold > 0 {
		a.lease.RecordCold(answer.Cold)
	}
	if answer.Leaving {
		a.lease.RecordLeaving()
	}
	if answer.Authentic && !answer.NotExecuted {
		a.run.dropUnneededBody(true)
	}
	switch {
	case answer.NotExecuted:
		a.verdict, a.misdirected = verdictNotExecuted, answer.Misdirected
	case !answer.Authentic:
		a.verdict, a.err = verdictBroken, errNoProof
	case a.hasFalsePromise():
		a.verdict = verdictFailure
	case answer.Status >= http.StatusInternalServerError, a.run.headSent && !a.mayContinue():
		a.readFailure(ctx)
	case a.shouldEscalate():
		a.verdict = verdictLowConfidence
		a.recordFirstEvent()
		a.saveFallback()
	case a.isStream():
		a.copyStream(ctx)
	default:
		a.copyPlain(ctx)
	}
}

// recordEnd records the end of the attempt. If the request may have run and
// neither an event nor a failure arrived, it also records how long the attempt
// waited.
func (a *attempt) recordEnd() {
	a.ended = time.Now()
	if a.firstEvent == 0 && a.mayHaveRun() && a.verdict != verdictFailure {
		a.lease.RecordNoEvent(a.ended.Sub(a.started))
	}
}

func (a *attempt) newCall() *Call {
	r := a.run
	var dial time.Duration
	if r.relay.DialTimeout != nil {
		dial = r.relay.DialTimeout()
	}
	return &Call{
		Request:     r.request,
		Endpoint:    a.endpoint.ID,
		Address:     a.endpoint.Address,
		Account:     r.permission.Account,
		Model:       a.model,
		Remaining:   time.Until(r.deadline),
		ResumeAfter: r.lastEvent,
		Priority:    r.callPriority(),
		Runs:        r.runs,
		DialTimeout: dial,
		MaySend:     a.lease.MaySend,
	}
}

// canRetryElsewhere reports whether the request may be retried at another
// endpoint if this one is silent.
func (a *attempt) canRetryElsewhere() bool {
	rt := a.run.permission.Route
	return rt.Repeatable() && a.run.runs+1 < rt.MaxAttempts && !a.run.request.Body.IsDropped()
}

// lastActivityAt returns the time from which on the silence of the endpoint is
// measured. It is the current time during a write to the client: a client that reads
// slowly keeps the attempt from reading what the endpoint sends.
func (a *attempt) lastActivityAt() time.Time {
	if a.isWriting.Load() {
		return time.Now()
	}
	return time.Unix(0, a.lastActivity.Load())
}

// write sends a part of the body to the client. It records no activity at the lease,
// because a write says nothing about the endpoint.
func (a *attempt) write(p []byte) error {
	a.isWriting.Store(true)
	a.run.held.SetPhase(policymemory.Waiting)
	timer := time.AfterFunc(readAheadAfter, a.ahead.start)
	defer func() {
		timer.Stop()
		a.run.held.SetPhase(policymemory.Needed)
		// Stored before isWriting is reset, so that the watchdog never reads the old time.
		a.lastActivity.Store(time.Now().UnixNano())
		a.isWriting.Store(false)
	}()
	return a.run.writeParts(p)
}

// writeParts sends a part of the body to the client in parts that a slow client reads in time.
func (r *run) writeParts(p []byte) error {
	for len(p) > writeBytes {
		if err := r.client.Write(p[:writeBytes]); err != nil {
			return err
		}
		r.held.Progress()
		p = p[writeBytes:]
	}
	return r.client.Write(p)
}

// recordActivity records that the endpoint sent something.
func (a *attempt) recordActivity() {
	a.lastActivity.Store(time.Now().UnixNano())
	a.lease.RecordActivity()
}

func (a *attempt) handleSendError(ctx context.Context, err error) {
	var refused *PeerRefusal
	if errors.As(err, &refused) {
		a.handlePeerRefusal(refused)
		return
	}
	var sendErr *SendError
	if errors.As(err, &sendErr) && !sendErr.MayBeSent {
		a.verdict, a.err = verdictNotSent, err
		// A refused connection counts even if the request ends at the same time.
		a.inconclusive = errors.Is(err, ErrWithdrawn) || errors.Is(err, ErrBodyDropped) || isContextError(err) && a.isInconclusive(ctx)
		return
	}
	a.markBroken(ctx, err)
}

// handlePeerRefusal sets the verdict of a request that a peer has refused. What the peer could
// not run another one may.
func (a *attempt) handlePeerRefusal(refused *PeerRefusal) {
	a.err, a.refusal, a.peerRuns = refused, refused.Refusal, refused.Runs
	if refused.Unable && refused.Refusal.NotRun {
		a.verdict, a.inconclusive = verdictNotSent, true
		return
	}
	a.verdict = verdictRefused
}

// markBroken sets the verdict of an attempt whose answer is missing or
// incomplete.
func (a *attempt) markBroken(ctx context.Context, err error) {
	a.verdict, a.err = verdictBroken, err
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		a.crashed = !errors.Is(err, os.ErrDeadlineExceeded) && !isTooLarge(err)
	case errors.As(cause, new(*watchdogError)), errors.Is(cause, ErrSuspected), errors.Is(cause, errStopping):
		a.err = cause
	case errors.Is(cause, context.Canceled):
		a.verdict = verdictClientGone
	}
	a.inconclusive = !a.crashed && (a.isInconclusive(ctx) || errors.Is(err, errNoMemory))
}

// isInconclusive reports whether a failed attempt says nothing about its endpoint,
// because the request ended before the endpoint was silent for an unusual time: for
// longer than it takes to be probed and, before the first event, for longer than such
// an event usually takes. After a longer silence the endpoint may well be dead.
func (a *attempt) isInconclusive(ctx context.Context) bool {
	cause := context.Cause(ctx)
	if errors.Is(cause, ErrSuspected) || errors.Is(cause, errStopping) {
		return true
	}
	if isMove(cause) {
		return true
	}
	if errors.As(cause, new(*watchdogError)) || cause == nil && time.Now().Before(a.run.deadline) {
		return false
	}
	usual := probeAfter(a.run.permission.Route)
	if a.verdict != verdictNotSent && !a.hasFirstEvent.Load() {
		usual = max(usual, a.lease.UsualFirstEvent())
	}
	return time.Since(a.lastActivityAt()) <= usual
}

// isContextError reports whether a connection failed because its context was canceled
// or its time was up.
func isContextError(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
}

// shouldEscalate reports whether the answer is discarded to ask a larger model.
// If so, it has set nextModel and withdrawn the cost from the retry budget.
func (a *attempt) shouldEscalate() bool {
	r := a.run
	rt := r.permission.Route
	if !rt.Repeatable() || !a.answer.HasConfidence || r.headSent || r.runs+1 >= rt.MaxAttempts {
		return false
	}
	next, ok := r.relay.Planner.Next(r.progress(), a.model, a.answer.Confidence)
	if !ok || r.sent >= maxTries || !r.budget.Escalate(time.Now()) {
		return false
	}
	a.nextModel = next
	return true
}

// sendHead sends the head of the answer to the client unless one was sent before.
func (a *attempt) sendHead() {
	if a.run.headSent {
		return
	}
	a.run.headSent = true
	a.run.hasBegun.Store(true)
	a.run.status, a.run.contentType = a.answer.Status, a.answer.Header.Get("Content-Type")
	a.run.dropUnneededBody(false)
	a.run.client.Begin(Head{Status: a.answer.Status, Header: a.answer.Header})
}

func (a *attempt) recordFirstEvent() {
	if a.firstEvent > 0 {
		return
	}
	a.firstEvent = time.Since(a.started)
	a.hasFirstEvent.Store(true)
	a.lease.RecordFirstEvent(a.firstEvent)
}

// pace returns the mean time between events, 0 if there were too few.
func (a *attempt) pace() time.Duration {
	if a.events < minPaceEvents {
		return 0
	}
	return (a.ended.Sub(a.started) - a.firstEvent) / time.Duration(a.events-1)
}

// delivery returns the latency and completeness of the answer as the client sees
// them.
func (a *attempt) delivery() Delivery {
	first := a.firstEvent
	if first == 0 {
		first = a.ended.Sub(a.started)
	}
	return Delivery{
		FirstEvent: a.started.Sub(a.run.request.Received) + first,
		LongestGap: a.longestGap,
		Complete:   a.verdict == verdictDelivered,
		LongPrompt: a.lease.LongPrompt(),
	}
}

// attemptResult returns the result that is passed to [Lease.End].
func (a *attempt) attemptResult() AttemptResult {
	result := AttemptResult{Result: a.poolResult(), Crashed: a.crashed, End: a.end(), FirstEvent: a.firstEvent, Pace: a.pace(), Unsent: a.verdict == verdictNotSent}
	if a.answer != nil && a.answer.HasLoad {
		result.Load = a.answer.Running + a.answer.Waiting
	}
	return result
}

// end returns what the end of the attempt shows about the endpoint.
func (a *attempt) end() AttemptEnd {
	switch {
	case a.crashed:
		return AttemptBroken
	case a.verdict == verdictDelivered && a.answer.Status < http.StatusBadRequest:
		return AttemptComplete
	case a.verdict == verdictDelivered, a.verdict == verdictFailure:
		return AttemptFailed
	case !a.mayHaveRun():
		return AttemptNotRun
	default:
		return AttemptCanceled
	}
}

func (a *attempt) poolResult() pool.Result {
	if a.inconclusive {
		return pool.Abandoned
	}
	switch a.verdict {
	case verdictNotSent:
		return pool.Unreached
	case verdictDelivered, verdictLowConfidence:
		return pool.Succeeded
	case verdictFailure:
		return pool.Failed
	case verdictNotExecuted:
		if a.misdirected {
			return pool.Replaced
		}
		return pool.Full
	case verdictClientGone:
		return pool.Abandoned
	default:
		if watchdogErr := new(*watchdogError); errors.As(a.err, watchdogErr) && (*watchdogErr).cause == CauseProbeTimedOut {
			return pool.Unreached
		}
		return pool.Broken
	}
}

// endedBy returns who ended the attempt, empty if it was not sent or its answer
// was complete.
func (a *attempt) endedBy() EndedBy {
	switch {
	case a.verdict == verdictClientGone:
		return EndedByClient
	case a.verdict != verdictBroken:
		return ""
	case errors.As(a.err, new(*watchdogError)):
		return EndedByWatchdog
	case errors.Is(a.err, ErrSuspected):
		return EndedBySuspicion
	case errors.Is(a.err, errStopping):
		return EndedByStop
	case errors.Is(a.err, errNoProof), errors.Is(a.err, errNotContinued), errors.Is(a.err, errHeadInStream):
		return EndedByProofCheck
	case a.crashed:
		return EndedByEndpoint
	case errors.Is(a.err, errNoMemory):
		return EndedByMemory
	case isTooLarge(a.err):
		return EndedBySize
	default:
		return EndedByDeadline
	}
}

func (a *attempt) event() *AttemptEvent {
	event := &AttemptEvent{
		RequestID:    a.run.request.ID,
		Session:      a.run.request.Session,
		Number:       a.run.sent,
		Service:      a.run.service,
		Endpoint:     string(a.endpoint.ID),
		ViaPeer:      a.peer != nil,
		Version:      a.endpoint.Version,
		Model:        a.model,
		Revision:     a.run.permission.Revision,
		Verdict:      a.verdict.String(),
		Events:       a.events,
		Took:         a.ended.Sub(a.started),
		FirstEvent:   a.firstEvent,
		Head:         a.headAfter,
		SharedParts:  a.run.request.sharedParts(),
		Registration: a.lease.Registration(),
		SinceArrival: a.started.Sub(a.run.request.Received),
		PromptTokens: a.run.request.PromptTokens, UsualFirstEvent: a.usualFirstEvent,
		Expected:     a.lease.Expected(),
		LongestGap:   a.longestGap,
		PartialEvent: a.partialEvent,
		EndedBy:      a.endedBy(),
		Err:          a.err,
	}
	event.Zone, event.Leave = a.endpoint.Zone, a.lease.Leave()
	if event.Leave != "" {
		event.ZoneBytes = a.run.request.expectedBytes()
	}
	var watchdogErr *watchdogError
	if errors.As(a.err, &watchdogErr) {
		event.WatchdogCause, event.Silence = watchdogErr.cause, watchdogErr.silence
	}
	if a.answer != nil {
		event.Brittle, event.InvalidBrittle = a.answer.Brittle, a.answer.InvalidBrittle
		event.Limit, event.InvalidLimit = a.answer.Limit, a.answer.InvalidLimit
		event.Rest, event.InvalidRest = a.answer.Rest, a.answer.InvalidRest
		event.Cold, event.InvalidCold = a.answer.Cold, a.answer.InvalidCold
		event.Leaving, event.InvalidLeaving = a.answer.Leaving, a.answer.InvalidLeaving
		event.InvalidPace = a.answer.InvalidPace
		event.Load, event.HasLoad = a.answer.Running+a.answer.Waiting, a.answer.HasLoad
		event.Status, event.Confidence, event.Framing = a.answer.Status, a.answer.Confidence, a.answer.Framing
	}
	return event
}
