package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// run is the work on one request.
type run struct {
	relay   *Relay
	request *Request
	client  Client
	// draw chooses among the services of the route, in [0, 1).
	draw float64

	permission Permission
	deadline   time.Time
	service    route.ServiceName
	budget     Budget
	// version is the one that the first attempt ran on.
	version string
	// model is the model planned for the next attempt.
	model route.ModelName

	arrivals int
	// unsent counts attempts of which no byte left.
	unsent int
	// runs counts attempts that may have run the request.
	runs int
	// overdue tells that the planner knows that the request is late.
	overdue atomic.Bool
	// escalated tells that an answer was dropped for a better one, and fallback
	// is that answer if it is at hand as a whole.
	escalated bool
	fallback  *Answer
	avoid     []platform.EndpointID
	begun     bool
	// lastEvent is the ID of the last event that the client has.
	lastEvent string
	status    int
	refusal   *Refusal
	aborted   bool
}

func (r *run) serve(ctx context.Context) {
	permission, refusal := r.relay.Gate.Admit(r.request)
	r.permission = permission
	if refusal != nil {
		r.refuse(refusal)
		return
	}
	if !r.settle() {
		r.refuse(&Refusal{Reason: NoEndpoint, NotRun: true, RetryAfter: r.request.comeBack()})
		return
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	r.attempts(ctx)
}

// settle fixes what stays the same over all attempts of the request.
func (r *run) settle() bool {
	found := r.permission.Route
	r.deadline = r.request.Received.Add(found.Timeout)
	if r.request.Patience > 0 && r.request.Patience < found.Timeout {
		r.deadline = r.request.Received.Add(r.request.Patience)
	}
	service, ok := found.Pick(r.draw)
	if !ok {
		return false
	}
	r.enter(service)
	r.lastEvent = r.request.ResumeAfter
	r.model = r.relay.Planner.First(r.progress())
	return true
}

// enter makes a service the one that runs the request.
func (r *run) enter(service route.ServiceName) {
	r.service = service
	r.budget = r.relay.Budgets.Budget(service)
	r.budget.Request(time.Now())
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

// attempts tries until the request has its final answer.
func (r *run) attempts(ctx context.Context) {
	for {
		if refusal := r.check(ctx); refusal != nil {
			r.end(ctx, refusal)
			return
		}
		place, refusal := r.place(ctx)
		if refusal != nil {
			if r.instead(ctx, refusal) {
				continue
			}
			r.end(ctx, refusal)
			return
		}
		r.arrivals++
		attempt := r.newAttempt(place)
		attempt.do(ctx)
		place.End(attempt.ending())
		r.relay.Observer.Attempted(attempt.event())
		if !r.next(ctx, attempt) {
			return
		}
	}
}

func (r *run) place(ctx context.Context) (Place, *Refusal) {
	return r.relay.Places.Place(ctx, &Query{
		Request:    r.request,
		Permission: &r.permission,
		Service:    r.service,
		Model:      r.model,
		Version:    r.version,
		Avoid:      r.avoid,
	})
}

func (r *run) newAttempt(place Place) *attempt {
	endpoint := place.Endpoint()
	if r.version == "" {
		r.version = endpoint.Version
	}
	a := &attempt{run: r, place: place, endpoint: endpoint, model: r.model, started: time.Now()}
	a.heard.Store(a.started.UnixNano())
	return a
}

// check asks whether the request may be sent now.
func (r *run) check(ctx context.Context) *Refusal {
	if ctx.Err() != nil || time.Until(r.deadline) < leastLeft {
		return &Refusal{Reason: TimeIsUp}
	}
	if r.arrivals+r.unsent == 0 {
		return nil // it has just been admitted
	}
	permission, refusal := r.relay.Gate.Admit(r.request)
	if refusal != nil {
		return refusal
	}
	r.permission = permission
	if permission.Route.Allows(r.service) {
		return nil
	}
	service, ok := permission.Route.Pick(r.draw)
	if !ok {
		return &Refusal{Reason: NoEndpoint, RetryAfter: r.request.comeBack()}
	}
	r.enter(service)
	return nil
}

// next decides what follows an attempt. It reports false if the request has
// its final answer.
func (r *run) next(ctx context.Context, a *attempt) bool {
	if a.ran() {
		r.runs++
	}
	r.observe(a)
	switch a.verdict {
	case verdictDelivered:
		return false
	case verdictClientGone:
		return false
	case verdictLowConfidence:
		// The budget has been asked before the answer was dropped.
		r.escalated, r.model = true, a.next
		return true
	}
	r.avoid = append(r.avoid, a.endpoint.ID)
	if a.verdict == verdictNotSent {
		// It did not arrive, and so costs no retry.
		r.arrivals--
		r.unsent++
		return r.unsent < maxArrivals || r.giveUp(ctx, a)
	}
	if a.ran() && !r.mayRepeat() || !r.pay() {
		return r.giveUp(ctx, a)
	}
	return true
}

// observe tells the planner how the attempt went for the client.
func (r *run) observe(a *attempt) {
	if r.overdue.Load() {
		return
	}
	switch a.verdict {
	case verdictDelivered, verdictClientGone, verdictBroken:
		r.relay.Planner.Observe(r.progress(), a.delivery())
	default:
	}
}

// mayRepeat reports whether another run is allowed after one that may have
// run.
func (r *run) mayRepeat() bool {
	found := r.permission.Route
	if r.begun && !found.Resumable {
		return false
	}
	return found.Repeatable() && r.runs < found.MaxAttempts
}

// pay takes what another arrival costs from the retry budget. A stream that
// the client has a part of may use its reserve.
func (r *run) pay() bool {
	if r.arrivals >= maxArrivals {
		return false
	}
	if r.begun {
		return r.budget.WithdrawUrgent(time.Now())
	}
	return r.budget.Withdraw(time.Now())
}

// giveUp ends the attempts at a model. It reports true if another model takes
// its place; else the client has the answer that was dropped, or what the last
// attempt brought.
func (r *run) giveUp(ctx context.Context, a *attempt) bool {
	refusal := &Refusal{Reason: EndpointsFailed, RetryAfter: r.request.comeBack()}
	switch {
	case r.instead(ctx, refusal):
		return true
	case a.verdict == verdictFailure && !r.begun && r.fallback == nil:
		a.passFailure()
	default:
		r.end(ctx, refusal)
	}
	return false
}

// instead turns to another model if the present one is not to be had. A request
// that crashes endpoints does so with any model.
func (r *run) instead(ctx context.Context, refusal *Refusal) bool {
	if r.begun || ctx.Err() != nil || refusal.Reason == CrashSuspect {
		return false
	}
	model, ok := r.relay.Planner.Instead(r.model)
	if ok {
		r.model = model
	}
	return ok
}

// end gives the final answer if no endpoint's answer was passed on.
func (r *run) end(ctx context.Context, refusal *Refusal) {
	if r.begun {
		r.aborted = true
		r.client.Abort()
		return
	}
	if r.fallback != nil {
		r.fallBack()
		return
	}
	if ctx.Err() != nil && refusal.Reason != TimeIsUp {
		refusal = &Refusal{Reason: TimeIsUp}
	}
	final := *refusal
	final.NotRun = r.runs == 0
	r.refuse(&final)
}

func (r *run) refuse(refusal *Refusal) {
	r.refusal = refusal
	r.client.Refuse(refusal)
}

// comeBack spreads the times at which refused clients return around a base, so
// that they do not return together, and early enough that a client with so
// much time left does return. draw is in [0, 1).
func comeBack(base, left time.Duration, draw float64) time.Duration {
	after := time.Duration(float64(base) * (0.5 + draw))
	if left > 0 {
		after = min(after, left/returnPart)
	}
	return max(after, leastRetryAfter)
}

func (r *run) report(ctx context.Context) {
	event := &DoneEvent{
		RequestID: r.request.ID,
		Account:   r.permission.Account,
		Revision:  r.permission.Revision,
		ConfigAge: r.permission.Age,
		Attempts:  r.arrivals,
		Refusal:   r.refusal,
		Status:    r.status,
		Gone:      ctx.Err() != nil,
		Aborted:   r.aborted,
		Took:      time.Since(r.request.Received),
	}
	if r.permission.Route != nil {
		event.Route = r.permission.Route.Name
	}
	r.relay.Observer.Done(event)
}
