package relay

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/crashcause"
	"github.com/wigeonusher/wigeonusher/coord/fleetlimit"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// Pools returns the endpoint pool of a service.
type Pools interface {
	Service(name route.ServiceName) *pool.Pool
}

// Versions decides which versions of a service may run a request.
type Versions interface {
	// Choose returns the versions for a request of a session.
	Choose(ctx context.Context, service route.ServiceName, session, requestID string) Choice
	// Observe records the outcome of one answer by an endpoint of the version.
	Observe(service route.ServiceName, version string, outcome VersionOutcome)
	// RecordSend counts an attempt that is about to be sent to an endpoint of the version.
	// RecordArrival follows if the endpoint answers, RecordUnsent if the attempt was not sent.
	RecordSend(service route.ServiceName, version string)
	RecordArrival(service route.ServiceName)
	RecordUnsent(service route.ServiceName, version string)
}

// Choice selects the versions of a service that may run a request. A nil
// function selects all.
type Choice struct {
	// Assigned reports whether the roll-out assigns a version to the request.
	Assigned func(version string) bool
	// Allowed reports whether a version may run the request if no endpoint of an
	// assigned version is available.
	Allowed func(version string) bool
	// Keeps reports whether a request may stay on a version after its first attempt. It
	// does not hold for a version whose endpoints may all stop at once.
	Keeps func(version string) bool
	// Concentration limits a version to few of its endpoints; nil for none.
	Concentration *pool.Concentration
}

// VersionOutcome describes one answer by an endpoint of a version.
type VersionOutcome struct {
	// Route is the name of the request's route.
	Route string
	// Failed reports that the endpoint answered with a failure.
	Failed bool
	// FirstEvent is the time to the first event, 0 if there was none.
	FirstEvent time.Duration
	// UsualFirstEvent is the usual time to the first event of such requests.
	UsualFirstEvent time.Duration
	// Pace is the mean time between events, 0 if there were too few. UsualPace is
	// the moving average of Pace over the model's streams, 0 if unknown.
	Pace, UsualPace time.Duration
	// Model is the model that answered, empty for a plain service. Load is the number of
	// requests that the endpoint reported, 0 if it reported none.
	Model route.ModelName
	Load  int
	// Cold reports that the endpoint was still slow after its start.
	Cold bool
}

// ErrSuspected is the cause with which an attempt is canceled because its request may
// crash the endpoint.
var ErrSuspected = eris.New("request may crash the endpoint")

// Suspects decides which requests may crash endpoints.
type Suspects interface {
	// Admit decides whether an attempt of a request with the features may be sent now. If
	// it must run alone, Begin or Release follows.
	Admit(uses []crashcause.Use) crashcause.Decision
	// Release gives up the trial of a decision after which no attempt begins.
	Release(decision crashcause.Decision)
	// Begin records an attempt that is about to be sent.
	Begin(record pool.Record, uses []crashcause.Use, decision crashcause.Decision) AttemptWatch
}

// AttemptEnd says what the end of an attempt shows about its endpoint.
type AttemptEnd int

// Ends of an attempt.
const (
	// AttemptCanceled: the attempt ended on this side.
	AttemptCanceled AttemptEnd = iota
	// AttemptNotRun: the endpoint did not run the request.
	AttemptNotRun
	// AttemptComplete: the endpoint sent the whole answer to a request that it ran to its end.
	AttemptComplete
	// AttemptFailed: the endpoint answered with a failure, and may not have run the request.
	AttemptFailed
	// AttemptBroken: the endpoint broke the connection. It may have crashed, or lost the
	// answer.
	AttemptBroken
)

// AttemptWatch watches one attempt for [Suspects].
type AttemptWatch interface {
	// SetCancel sets the function that ends the attempt, with a cause.
	SetCancel(cancel context.CancelCauseFunc)
	// RecordHead records that the endpoint has begun its answer, and RecordFirstEvent that
	// it has sent an event, or a whole answer that is not a stream.
	RecordHead()
	RecordFirstEvent()
	End(end AttemptEnd)
	// AwaitCause waits, after a broken attempt that may have crashed the endpoint, until it
	// is known whether it has, so that the next attempt is decided by that.
	AwaitCause(ctx context.Context)
}

// PooledPicker is the [EndpointPicker] of services whose endpoints form one pool
// each. It respects the versions assigned to a request and refuses requests that
// are known to crash endpoints.
type PooledPicker struct {
	Pools    Pools
	Versions Versions
	Suspects Suspects
	// Forwarder selects a peer if this instance does not reach the endpoints; nil for none.
	Forwarder Forwarder
}

// Pick implements [EndpointPicker]. It prefers the version of the first attempt if
// [Choice.Keeps] holds for it, then the assigned versions, then any allowed one.
// Endpoints of failed attempts are used only if there is no other; an answer of low
// confidence does not count as a failure. Endpoints that the registry does not list any
// more are used only if it lists none that may run the request, not if limits keep the request
// from those. The versions are chosen for each attempt, because the roll-out may have
// advanced since the last one. If this instance does not reach the endpoints, it selects a peer.
func (p *PooledPicker) Pick(ctx context.Context, query *Query) (Lease, *Refusal) {
	request := query.Request
	uses := request.Features(query.Permission.Account)
	decision := p.admit(ctx, uses)
	switch decision.Permission {
	case crashcause.Refused:
		return nil, &Refusal{Reason: CrashSuspect, Cause: newSuspectError(decision)}
	case crashcause.Pending, crashcause.Undecided:
		return nil, &Refusal{Reason: SuspectPending, RetryAfter: request.RetryAfter(), Cause: newSuspectError(decision)}
	case crashcause.Normal, crashcause.Alone:
	}
	if p.isCutOff(query.Service, len(query.Avoid)) {
		if request.Forwarded {
			p.Suspects.Release(decision)
			return nil, &Refusal{Reason: NoEndpoint, RetryAfter: request.RetryAfter()}
		}
		if peer, ok := p.pickPeer(query); ok {
			p.Suspects.Release(decision) // the peer decides again
			return peer, nil
		}
	}
	lease, refusal := p.pickAdmitted(ctx, query, decision)
	if refusal != nil {
		p.Suspects.Release(decision)
		return nil, refusal
	}
	lease.watch = p.Suspects.Begin(lease.lease.Endpoint, uses, decision)
	return lease, nil
}

// A request that is undecided asks again each decisionPause, up to maxDecisionPauses times.
const (
	decisionPause     = 10 * time.Millisecond
	maxDecisionPauses = 20
)

// admit decides whether the request may be sent, and waits a moment if that is not known yet.
func (p *PooledPicker) admit(ctx context.Context, uses []crashcause.Use) crashcause.Decision {
	decision := p.Suspects.Admit(uses)
	for n := 0; decision.Permission == crashcause.Undecided && n < maxDecisionPauses && ctx.Err() == nil; n++ {
		time.Sleep(decisionPause)
		decision = p.Suspects.Admit(uses)
	}
	return decision
}

// maxUnreached is the number of endpoints that one request tries to reach before it counts
// as cut off from them, and maxPeerTries the number of peers that it is forwarded to in vain: if
// the endpoints themselves are down, no peer reaches them.
const (
	maxUnreached = 3
	maxPeerTries = 6
)

// isCutOff reports whether this instance does not reach the endpoints of the service, as far
// as it knows, or as far as a request with the given number of failed attempts has shown.
func (p *PooledPicker) isCutOff(service route.ServiceName, failed int) bool {
	endpoints := p.Pools.Service(service)
	return endpoints.IsPathBroken() || failed >= maxUnreached && endpoints.IsPathInDoubt()
}

// pickPeer selects a peer for a request that this instance cannot send to an endpoint.
func (p *PooledPicker) pickPeer(query *Query) (PeerLease, bool) {
	if p.Forwarder == nil || len(query.Avoid) >= maxUnreached+maxPeerTries {
		return nil, false
	}
	return p.Forwarder.Pick(query.Service, query.Avoid)
}

// pickAdmitted selects the endpoint for a request that may be sent.
func (p *PooledPicker) pickAdmitted(ctx context.Context, query *Query, decision crashcause.Decision) (*pooledLease, *Refusal) {
	request := query.Request
	choice := p.Versions.Choose(ctx, query.Service, request.Session, request.ID)
	endpoints := p.Pools.Service(query.Service)
	now := time.Now()
	poolQuery := query.forPool()
	poolQuery.LeastLoaded = decision.Permission == crashcause.Alone
	poolQuery.Concentration = choice.Concentration
	poolQuery.Key, poolQuery.Bytes = xxhash.Sum64String(request.ID), request.expectedBytes()
	lease, ok := choose(now, endpoints, query, choice, poolQuery)
	if !ok {
		if wait, limited := endpoints.LimitWait(now, pool.Query{Version: choice.allows}); limited {
			return nil, &Refusal{Reason: EndpointsLimited, RetryAfter: spreadRetryAfter(wait, request.remaining(), rand.Float64())}
		}
		if wait, resting := endpoints.RestWait(now, pool.Query{Version: choice.allows}); resting {
			return nil, &Refusal{Reason: EndpointsLimited, RetryAfter: retryAfterRest(wait, request.remaining(), rand.Float64())}
		}
		if wait, brittle := endpoints.BrittleWait(now, pool.Query{Version: choice.allows}); brittle {
			return nil, &Refusal{Reason: EndpointsLimited, RetryAfter: spreadRetryAfter(wait, request.remaining(), rand.Float64())}
		}
		poolQuery.Unlisted = true
		lease, ok = choose(now, endpoints, query, choice, poolQuery)
	}
	if !ok && endpoints.IsEvacuated(pool.Query{Version: choice.allows}) {
		return nil, &Refusal{Reason: ZonesEvacuated, RetryAfter: spreadRetryAfter(evacuationRetry, request.remaining(), rand.Float64())}
	}
	if !ok {
		return nil, &Refusal{Reason: NoEndpoint, RetryAfter: request.RetryAfter()}
	}
	p.Versions.RecordSend(query.Service, lease.Endpoint.Version)
	return &pooledLease{picker: p, lease: lease, endpoints: endpoints, query: *query}, nil
}

// evacuationRetry is the mean time after which a request is to be tried again that only evacuated
// zones could run. Evacuations last for seconds at least.
const evacuationRetry = 2 * time.Second

// forPool returns the part of the query that describes the request.
func (q *Query) forPool() pool.Query {
	request, rt := q.Request, q.Permission.Route
	described := pool.Query{
		Model:        q.Model,
		Affinity:     request.affinity(),
		Tokens:       request.PromptTokens,
		SharedTokens: request.sharedTokens(),
		GapTarget:    rt.TargetGap,
	}
	if rt.TargetLatency > 0 {
		described.Target = max(time.Millisecond, rt.TargetLatency-time.Since(request.Received))
	}
	return described
}

// choose chooses an endpoint of a version that the request may use.
func choose(now time.Time, endpoints *pool.Pool, query *Query, choice Choice, poolQuery pool.Query) (*pool.Lease, bool) {
	for _, avoid := range [][]platform.EndpointID{query.Avoid, nil} {
		for _, filter := range choice.preferences(query.Version) {
			poolQuery.Avoid, poolQuery.Version = avoid, filter
			if lease, ok := endpoints.Choose(now, poolQuery); ok {
				return lease, true
			}
		}
	}
	return nil, false
}

// preferences returns the filters on versions in the order in which to try them.
// first is the version of the first attempt, empty before it.
func (c Choice) preferences(first string) []func(version string) bool {
	filters := []func(string) bool{c.Assigned, c.Allowed}
	if first == "" || !c.mayContinue(first) {
		return filters
	}
	isFirst := func(version string) bool { return version == first }
	return append([]func(string) bool{isFirst}, filters...)
}

// mayContinue reports whether a version is suited for further attempts: it is allowed,
// and its endpoints do not stop all at once.
func (c Choice) mayContinue(version string) bool {
	return c.allows(version) && (c.Keeps == nil || c.Keeps(version))
}

func (c Choice) allows(version string) bool { return c.Allowed == nil || c.Allowed(version) }

// pooledLease is a [Lease] at an endpoint of a pool.
type pooledLease struct {
	picker    *PooledPicker
	lease     *pool.Lease
	endpoints *pool.Pool
	query     Query
	watch     AttemptWatch
}

func (p *pooledLease) Endpoint() pool.Record           { return p.lease.Endpoint }
func (p *pooledLease) Registration() pool.Registration { return p.lease.Registration }
func (p *pooledLease) LongPrompt() bool                { return p.lease.LongPrompt }
func (p *pooledLease) Leave() pool.LeaveReason         { return p.lease.Leave }
func (p *pooledLease) RecordActivity()                 { p.lease.RecordActivity() }
func (p *pooledLease) LastActivity() time.Time         { return p.lease.LastActivity() }
func (p *pooledLease) RecordLoad(running, waiting int) { p.lease.RecordLoad(running, waiting) }
func (p *pooledLease) Expected() pool.Expectation      { return p.lease.Expected }

// RecordPace implements [Lease].
func (p *pooledLease) RecordPace(hundredths int, invalid string) {
	p.lease.RecordPace(hundredths, invalid)
}

// IsOverdue implements [Lease].
func (p *pooledLease) IsOverdue(ctx context.Context, avoid []platform.EndpointID) bool {
	now := time.Now()
	if !p.lease.IsLate(now) {
		return false
	}
	request := p.query.Request
	choice := p.picker.Versions.Choose(ctx, p.query.Service, request.Session, request.ID)
	query := p.query.forPool()
	query.Avoid, query.Version = avoid, choice.mayContinue
	return p.lease.IsOverdue(now, query)
}

// RecordLimit implements [Lease].
func (p *pooledLease) RecordLimit(statement fleetlimit.Statement, sent time.Time) {
	p.lease.RecordLimit(statement, sent)
}

func (p *pooledLease) RecordFirstEvent(took time.Duration) {
	p.lease.RecordFirstEvent(took)
	p.watch.RecordFirstEvent()
}

func (p *pooledLease) RecordBrittleness(told pool.Brittleness, sent time.Time) {
	p.lease.RecordBrittleness(told, sent)
}
func (p *pooledLease) RecordRest(rest time.Duration) { p.lease.RecordRest(time.Now(), rest) }

// RecordCold implements [Lease].
func (p *pooledLease) RecordCold(left time.Duration) { p.lease.RecordCold(time.Now(), left) }

// RecordLeaving implements [Lease].
func (p *pooledLease) RecordLeaving() { p.lease.RecordLeaving(time.Now()) }

// MaySend implements [Lease].
func (p *pooledLease) MaySend() bool { return p.lease.MaySend(time.Now()) }

func (p *pooledLease) AwaitCause(ctx context.Context)           { p.watch.AwaitCause(ctx) }
func (p *pooledLease) SetCancel(cancel context.CancelCauseFunc) { p.watch.SetCancel(cancel) }

func (p *pooledLease) RecordNoEvent(waited time.Duration) { p.lease.RecordNoEvent(waited) }

// RecordHead implements [Lease].
func (p *pooledLease) RecordHead() {
	p.lease.RecordReached()
	p.watch.RecordHead()
	p.picker.Versions.RecordArrival(p.query.Service)
}

// HasAlternative implements [Lease]. The versions are chosen anew, because the
// roll-out may have advanced during the attempt.
func (p *pooledLease) HasAlternative(ctx context.Context, avoid []platform.EndpointID) bool {
	request := p.query.Request
	choice := p.picker.Versions.Choose(ctx, p.query.Service, request.Session, request.ID)
	if p.endpoints.HasUsable(time.Now(), pool.Query{Version: choice.mayContinue, Avoid: avoid}) {
		return true
	}
	return !request.Forwarded && p.picker.Forwarder != nil && p.picker.isCutOff(p.query.Service, len(avoid)) &&
		p.picker.Forwarder.CanForward(p.query.Service, avoid)
}

func (p *pooledLease) UsualFirstEvent() time.Duration {
	return p.endpoints.UsualFirstEvent(p.query.Model, p.query.Request.PromptTokens)
}

// End implements [Lease].
func (p *pooledLease) End(result AttemptResult) {
	switch result.Result {
	case pool.Succeeded:
		p.reportOutcome(result, false)
	case pool.Failed:
		p.reportOutcome(result, true)
	default:
	}
	if result.Unsent {
		p.picker.Versions.RecordUnsent(p.query.Service, p.lease.Endpoint.Version)
	}
	p.lease.End(time.Now(), result.Result)
	p.watch.End(result.End)
}

// suspectError is the [Refusal.Cause] of a request that may crash endpoints.
type suspectError struct{ features []crashcause.Feature }

func newSuspectError(decision crashcause.Decision) error {
	return &suspectError{features: decision.Features}
}

func (e *suspectError) Error() string {
	names := make([]string, 0, len(e.features))
	for _, feature := range e.features {
		names = append(names, crashcause.Name(feature))
	}
	return "features " + strings.Join(names, " ")
}

// reportOutcome reports the answer to the roll-out of the service, with the usual
// latency and pace for comparison, and adds the answer's pace to the usual pace.
func (p *pooledLease) reportOutcome(result AttemptResult, failed bool) {
	outcome := VersionOutcome{
		Route:           p.query.Permission.Route.Name,
		Failed:          failed,
		FirstEvent:      result.FirstEvent,
		UsualFirstEvent: p.UsualFirstEvent(),
		Pace:            result.Pace,
		UsualPace:       p.endpoints.UsualPace(p.query.Model),
		Model:           p.query.Model,
		Load:            result.Load,
		Cold:            p.lease.Cold,
	}
	if result.Pace > 0 {
		p.endpoints.LearnPace(p.query.Model, result.Pace)
	}
	p.picker.Versions.Observe(p.query.Service, p.lease.Endpoint.Version, outcome)
}
