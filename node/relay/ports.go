package relay

import (
	"context"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/crashcause"
	"github.com/wigeonusher/wigeonusher/coord/fleetlimit"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// Gate decides by the current configuration whether a request may run. It is
// consulted before each attempt.
type Gate interface {
	Admit(request *Request) (Permission, *Refusal)
}

// Permission is the result of admitting a request.
type Permission struct {
	Route   *route.Route
	Account route.AccountName
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	// Revision is the revision of the configuration. Age is the time from the
	// moment at which the configuration was last known to be current to the
	// request's arrival.
	Revision int64
	Age      time.Duration
}

// Planner selects the models that run a request.
type Planner interface {
	// First returns the model for the first attempt, or for a further one if the route
	// no longer lists the planned model; empty if the planner does not choose one.
	First(progress *Progress) route.ModelName
	// Next returns the larger model to ask after an answer with the given
	// confidence in [0, 1]. If it reports false, the answer is sent to the client.
	Next(progress *Progress, asked route.ModelName, confidence float64) (route.ModelName, bool)
	// Alternative returns the model to ask if the given one is unavailable. If it
	// reports false, the request ends.
	Alternative(unavailable route.ModelName) (route.ModelName, bool)
	// Observe records the latency and completeness of an answer as the client sees
	// them, or the time that the client has waited without an answer.
	Observe(progress *Progress, delivery Delivery)
}

// FixedModel is the [Planner] of requests that don't leave the model open.
type FixedModel struct{}

// First implements [Planner].
func (FixedModel) First(*Progress) route.ModelName { return "" }

// Next implements [Planner].
func (FixedModel) Next(*Progress, route.ModelName, float64) (route.ModelName, bool) { return "", false }

// Alternative implements [Planner].
func (FixedModel) Alternative(route.ModelName) (route.ModelName, bool) { return "", false }

// Observe implements [Planner].
func (FixedModel) Observe(*Progress, Delivery) {}

// Progress describes the state of a request in progress.
type Progress struct {
	Request  *Request
	Route    *route.Route
	Service  route.ServiceName
	Priority int
	// Retries is the number of retries that the budget allows now.
	Retries float64
	// Escalated reports that an answer was discarded to ask a larger model.
	Escalated bool
}

// Delivery describes the latency and completeness of an answer as the client
// sees it, or how long the client has waited for one.
type Delivery struct {
	// FirstEvent is the time from the request's arrival to the first event; if
	// none has arrived, to the end of the attempt or, during the attempt, to the
	// moment of the report. LongestGap is the longest pause between two events.
	FirstEvent, LongestGap time.Duration
	// Complete reports that the client has the complete answer.
	Complete bool
	// LongPrompt reports that the prompt was sent to an endpoint reserved for
	// long prompts.
	LongPrompt bool
}

// EndpointPicker selects endpoints.
type EndpointPicker interface {
	// Pick selects the endpoint for the request and returns a reservation at it.
	Pick(ctx context.Context, query *Query) (Lease, *Refusal)
}

// Query describes a request that needs an endpoint.
type Query struct {
	Request    *Request
	Permission *Permission
	Service    route.ServiceName
	Model      route.ModelName
	// Version is the version that the first attempt at the service used, empty before
	// it.
	Version string
	// Avoid lists endpoints whose attempts have failed: they are used only if no
	// other endpoint is available.
	Avoid []platform.EndpointID
}

// Lease is an attempt's reservation at an endpoint. It must be released by
// exactly one call of End.
type Lease interface {
	Endpoint() pool.Record
	// Registration returns what was known of the endpoint's registration when it was
	// selected.
	Registration() pool.Registration
	// LongPrompt reports that the prompt counts as long and that the endpoint is
	// reserved for such prompts.
	LongPrompt() bool
	// Leave returns why the endpoint is of another zone; empty if it is not.
	Leave() pool.LeaveReason
	// UsualFirstEvent returns the usual time to the first event of such requests,
	// 0 if unknown.
	UsualFirstEvent() time.Duration
	// HasAlternative reports whether an endpoint other than those to avoid could run
	// the request now.
	HasAlternative(ctx context.Context, avoid []platform.EndpointID) bool
	// RecordActivity records that the endpoint sent something. LastActivity
	// returns when it last did so to this instance.
	RecordActivity()
	LastActivity() time.Time
	// RecordLoad records the numbers of running and waiting requests that the
	// endpoint reported.
	RecordLoad(running, waiting int)
	// RecordPace records the pace that the endpoint reported, or one that could not be decoded.
	RecordPace(hundredths int, invalid string)
	// Expected returns what was expected of the attempt when the endpoint was chosen; the zero value if
	// endpoints of its service report no pace.
	Expected() pool.Expectation
	// IsOverdue reports whether the attempt is well past the expected time of its first event, and
	// other endpoints than those to avoid are expected to send it much sooner.
	IsOverdue(ctx context.Context, avoid []platform.EndpointID) bool
	// RecordLimit records what an answer says about the endpoint's limit on requests.
	// sent is when its request was about to be sent.
	RecordLimit(statement fleetlimit.Statement, sent time.Time)
	// SetCancel sets the function that ends the attempt, with a cause.
	SetCancel(cancel context.CancelCauseFunc)
	// RecordHead records that the head of the endpoint's own answer has arrived.
	RecordHead()
	// RecordBrittleness records what an answer says about the endpoint's brittleness. sent is
	// when its request was about to be sent.
	RecordBrittleness(told pool.Brittleness, sent time.Time)
	// RecordRest records that the endpoint wants no request of this instance for a time.
	RecordRest(rest time.Duration)
	// RecordCold records that the endpoint is cold for a time.
	RecordCold(left time.Duration)
	// RecordLeaving records that the endpoint leaves.
	RecordLeaving()
	// MaySend reports whether the request may still be sent: the endpoint may have asked for
	// rest, or said that it leaves, since it was chosen.
	MaySend() bool
	// RecordFirstEvent records the time to the first event, or to the complete
	// answer if it is not a stream.
	RecordFirstEvent(took time.Duration)
	// RecordNoEvent records that no event arrived within the given time.
	RecordNoEvent(waited time.Duration)
	End(result AttemptResult)
	// AwaitCause waits, after End, until it is known whether the attempt may have crashed
	// the endpoint.
	AwaitCause(ctx context.Context)
}

// Forwarder selects peers that run requests for this instance while it does not reach the
// endpoints itself.
type Forwarder interface {
	// Pick returns a lease at a peer that may reach the service. It reports false if there is
	// none.
	Pick(service route.ServiceName, avoid []platform.EndpointID) (PeerLease, bool)
	// CanForward reports whether there is such a peer.
	CanForward(service route.ServiceName, avoid []platform.EndpointID) bool
}

// PeerLease is a [Lease] at a peer instead of an endpoint.
type PeerLease interface {
	Lease
	// Send forwards the call. Its errors are those of [Endpoints], and [PeerRefusal].
	Send(ctx context.Context, call *Call, deadline time.Time) (*Answer, error)
}

// NopSuspects is the [Suspects] that admits all requests.
type NopSuspects struct{}

// Admit implements [Suspects].
func (NopSuspects) Admit([]crashcause.Use) crashcause.Decision { return crashcause.Decision{} }

// Release implements [Suspects].
func (NopSuspects) Release(crashcause.Decision) {}

// Begin implements [Suspects].
func (NopSuspects) Begin(pool.Record, []crashcause.Use, crashcause.Decision) AttemptWatch {
	return nopWatch{}
}

type nopWatch struct{}

func (nopWatch) SetCancel(context.CancelCauseFunc) {}
func (nopWatch) RecordHead()                       {}
func (nopWatch) RecordFirstEvent()                 {}
func (nopWatch) End(AttemptEnd)                    {}
func (nopWatch) AwaitCause(context.Context)        {}

// NopLease implements the methods of [Lease] other than Endpoint and End: it
// discards measurements, knows no usual or expected time to the first event, counts the endpoint
// as active now and assumes that there are others. It is meant to be embedded.
type NopLease struct{}

// Registration implements [Lease].
func (NopLease) Registration() pool.Registration { return pool.Registration{} }

// LongPrompt implements [Lease].
func (NopLease) LongPrompt() bool { return false }

// Leave implements [Lease].
func (NopLease) Leave() pool.LeaveReason { return "" }

// UsualFirstEvent implements [Lease].
func (NopLease) UsualFirstEvent() time.Duration { return 0 }

// HasAlternative implements [Lease].
func (NopLease) HasAlternative(context.Context, []platform.EndpointID) bool { return true }

// RecordActivity implements [Lease].
func (NopLease) RecordActivity() {}

// LastActivity implements [Lease].
func (NopLease) LastActivity() time.Time { return time.Now() }

// RecordLoad implements [Lease].
func (NopLease) RecordLoad(int, int) {}

// RecordPace implements [Lease].
func (NopLease) RecordPace(int, string) {}

// Expected implements [Lease].
func (NopLease) Expected() pool.Expectation { return pool.Expectation{} }

// IsOverdue implements [Lease].
func (NopLease) IsOverdue(context.Context, []platform.EndpointID) bool { return false }

// RecordLimit implements [Lease].
func (NopLease) RecordLimit(fleetlimit.Statement, time.Time) {}

// SetCancel implements [Lease].
func (NopLease) SetCancel(context.CancelCauseFunc) {}

// AwaitCause implements [Lease].
func (NopLease) AwaitCause(context.Context) {}

// RecordHead implements [Lease].
func (NopLease) RecordHead() {}

// RecordRest implements [Lease].
func (NopLease) RecordRest(time.Duration) {}

// RecordCold implements [Lease].
func (NopLease) RecordCold(time.Duration) {}

// RecordLeaving implements [Lease].
func (NopLease) RecordLeaving() {}

// MaySend implements [Lease].
func (NopLease) MaySend() bool { return true }

// RecordBrittleness implements [Lease].
func (NopLease) RecordBrittleness(pool.Brittleness, time.Time) {}

// RecordFirstEvent implements [Lease].
func (NopLease) RecordFirstEvent(time.Duration) {}

// RecordNoEvent implements [Lease].
func (NopLease) RecordNoEvent(time.Duration) {}

// AttemptResult describes how an attempt ended at its endpoint.
type AttemptResult struct {
	Result pool.Result
	// Crashed reports that the endpoint broke the connection: it may have
	// crashed, or lost the answer.
	Crashed bool
	// End says what the end of the attempt shows about the endpoint.
	End AttemptEnd
	// FirstEvent is the time to the first event, 0 if there was none. Pace is the
	// mean time between events, 0 if there were too few.
	FirstEvent, Pace time.Duration
	// Load is the number of requests that the endpoint reported, 0 if it reported none.
	Load int
	// Unsent reports that nothing was sent to the endpoint.
	Unsent bool
}

// Budgets returns the retry budget of a service.
type Budgets interface {
	Budget(service route.ServiceName) Budget
}

// Budget limits retries.
type Budget interface {
	// RecordRequest counts a request.
	RecordRequest(now time.Time)
	// Available returns the number of retries that may be made now.
	Available(now time.Time) float64
	// Withdraw takes one retry from the budget and reports whether there was one.
	Withdraw(now time.Time) bool
	// WithdrawUrgent takes one retry for a request whose answer has been sent to
	// the client in part, and reports whether the budget allowed the retry.
	// AllowsUrgent reports whether WithdrawUrgent would succeed now.
	WithdrawUrgent(now time.Time) bool
	AllowsUrgent(now time.Time) bool
	// Escalate takes the cost of asking a larger model from the budget and reports
	// whether the budget covers it.
	Escalate(now time.Time) bool
}

// Prober probes endpoints.
type Prober interface {
	// Probe tries to connect to an endpoint.
	Probe(ctx context.Context, address string) ProbeOutcome
}

// ProbeOutcome is the outcome of a probe.
type ProbeOutcome string

// Outcomes of a probe.
const (
	// ProbeReached: the endpoint accepts connections, or has no room for another one.
	ProbeReached ProbeOutcome = "reached"
	// ProbeRefused: the host is reachable, but nothing listens at the endpoint's
	// address. The endpoint may still serve the connections that it has.
	ProbeRefused ProbeOutcome = "refused"
	// ProbeTimedOut: nothing answered.
	ProbeTimedOut ProbeOutcome = "timed out"
	// ProbeFailed: the probe was canceled or failed locally, and says nothing about the
	// endpoint.
	ProbeFailed ProbeOutcome = "failed"
)
