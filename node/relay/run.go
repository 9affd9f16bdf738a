package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/coord/retry"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// run is the work on one request.
type run struct {
	relay   *Relay
	request *Request
	client  Client
	// draw chooses among the services of the route, in [0, 1).
	draw float64

	permission  permission
	fingerprint uint64
	deadline    time.Time
	service     route.ServiceName
	budget      *retry.Window
	versions    Choice
	// version is the one that the first attempt ran on.
	version string
	// model is the model planned for the next attempt.
	model route.ModelName

	arrivals int
	// unsent counts attempts of which no byte left.
	unsent int
	runs   int
	// mayHaveRun tells that some attempt may have run the request.
	mayHaveRun bool
	// escalated tells that an answer was dropped for a better one.
	escalated bool
	avoid     []platform.EndpointID
	begun     bool
	// lastEvent is the ID of the last event that the client has.
	lastEvent string
	status    int
	refusal   *Refusal
	aborted   bool
}

func (r *run) serve(ctx context.Context) {
	permission, refusal := r.relay.gate(r.request)
	r.permission = permission
	if refusal != nil {
		r.refuse(refusal)
		return
	}
	r.fingerprint = fingerprint(r.request, permission.account)
	if r.relay.Suspects.Refused(r.fingerprint) {
		r.refuse(&Refusal{Reason: CrashSuspect, NotRun: true})
		return
	}
	if !r.settle(ctx) {
		r.refuse(&Refusal{Reason: NoEndpoint, NotRun: true, RetryAfter: defaultRetryAfter})
		return
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	r.attempts(ctx)
}

// settle fixes what stays the same over all attempts of the request.
func (r *run) settle(ctx context.Context) bool {
	found := r.permission.route
	r.deadline = r.request.Received.Add(found.Timeout)
	if r.request.Patience > 0 && r.request.Patience < found.Timeout {
		r.deadline = r.request.Received.Add(r.request.Patience)
	}
	service, ok := found.Pick(r.draw)
	if !ok {
		return false
	}
	r.enter(ctx, service)
	r.lastEvent = r.request.ResumeAfter
	if r.request.AnyModel && len(found.Models) > 0 {
		r.model = r.firstModel(found.Models)
	}
	return true
}

// enter makes a service the one that runs the request.
func (r *run) enter(ctx context.Context, service route.ServiceName) {
	r.service = service
	r.budget = r.relay.Budgets.Service(service)
	r.budget.Request(time.Now())
	r.versions = r.relay.Versions.Choose(ctx, service, r.request.Session, r.request.ID)
}

// attempts tries until the request has its final answer.
func (r *run) attempts(ctx context.Context) {
	for {
		if refusal := r.check(ctx); refusal != nil {
			r.end(ctx, refusal)
			return
		}
		lease, ok := r.choose()
		if !ok {
			r.end(ctx, &Refusal{Reason: NoEndpoint, RetryAfter: defaultRetryAfter})
			return
		}
		r.arrivals++
		attempt := r.newAttempt(lease)
		attempt.do(ctx)
		lease.End(time.Now(), attempt.result())
		r.relay.Observer.Attempted(attempt.event())
		if !r.next(ctx, attempt) {
			return
		}
	}
}

func (r *run) newAttempt(lease *pool.Lease) *attempt {
	if r.version == "" {
		r.version = lease.Endpoint.Version
	}
	a := &attempt{run: r, lease: lease, model: r.model, started: time.Now()}
	a.heard.Store(a.started.UnixNano())
	return a
}

// check asks whether the request may be sent now.
func (r *run) check(ctx context.Context) *Refusal {
	if ctx.Err() != nil || time.Until(r.deadline) < leastLeft {
		return &Refusal{Reason: TimeIsUp}
	}
	permission, refusal := r.relay.gate(r.request)
	if refusal != nil {
		return refusal
	}
	r.permission = permission
	if permission.route.Allows(r.service) {
		if r.version != "" {
			// A roll-out may have gone on since the last attempt.
			r.versions = r.relay.Versions.Choose(ctx, r.service, r.request.Session, r.request.ID)
		}
		return nil
	}
	service, ok := permission.route.Pick(r.draw)
	if !ok {
		return &Refusal{Reason: NoEndpoint, RetryAfter: defaultRetryAfter}
	}
	r.enter(ctx, service)
	return nil
}

// next decides what follows an attempt. It reports false if the request has
// its final answer.
func (r *run) next(ctx context.Context, a *attempt) bool {
	if a.ran() {
		r.runs++
		r.mayHaveRun = true
	}
	switch a.verdict {
	case verdictDelivered:
		r.notePressure(a)
		return false
	case verdictClientGone:
		return false
	case verdictLowConfidence:
		// The budget has been asked before the answer was dropped.
		r.escalated, r.model = true, a.next
		return true
	}
	r.avoid = append(r.avoid, a.lease.Endpoint.ID)
	if a.verdict == verdictNotSent {
		// It did not arrive, and so costs no retry.
		r.arrivals--
		r.unsent++
		return r.unsent < maxArrivals || r.giveUp(ctx, a)
	}
	if a.crashed {
		r.relay.Suspects.Crashed(r.fingerprint, a.lease.Endpoint.Address)
	}
	if a.ran() && !r.mayRepeat() || !r.pay() {
		return r.giveUp(ctx, a)
	}
	return true
}

// mayRepeat reports whether another run is allowed after one that may have
// run.
func (r *run) mayRepeat() bool {
	return r.permission.route.Repeatable() && r.runs < r.permission.route.MaxAttempts
}

// giveUp answers with what the last attempt brought. It returns false: the
// request is at its end.
func (r *run) giveUp(ctx context.Context, a *attempt) bool {
	if a.verdict == verdictFailure && !r.begun {
		a.passFailure()
		return false
	}
	r.end(ctx, &Refusal{Reason: EndpointsFailed, RetryAfter: defaultRetryAfter})
	return false
}

// end gives the final answer if no endpoint's answer was passed on.
func (r *run) end(ctx context.Context, refusal *Refusal) {
	if r.begun {
		r.aborted = true
		r.client.Abort()
		return
	}
	if ctx.Err() != nil && refusal.Reason != TimeIsUp {
		refusal = &Refusal{Reason: TimeIsUp}
	}
	final := *refusal
	final.NotRun = !r.mayHaveRun
	r.refuse(&final)
}

func (r *run) refuse(refusal *Refusal) {
	if refusal.RetryAfter > 0 {
		left := r.request.Patience - time.Since(r.request.Received)
		refusal.RetryAfter = comeBack(refusal.RetryAfter, left, rand.Float64())
	}
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
		Account:   r.permission.account,
		ConfigAge: r.permission.age,
		Attempts:  r.arrivals,
		Refusal:   r.refusal,
		Status:    r.status,
		Gone:      ctx.Err() != nil,
		Aborted:   r.aborted,
		Took:      time.Since(r.request.Received),
	}
	if r.permission.route != nil {
		event.Route = r.permission.route.Name
	}
	if r.permission.table != nil {
		event.Revision = r.permission.table.Revision
	}
	r.relay.Observer.Done(event)
}

// fingerprint names a request by what decides how an endpoint runs it.
func fingerprint(request *Request, account route.AccountName) uint64 {
	digest := xxhash.New()
	for _, part := range []string{request.Method, request.Target, string(account)} {
		_, _ = digest.WriteString(part) // a digest's writes never fail
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(request.Body)
	return digest.Sum64()
}
