package relay

import (
	"context"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// Gate decides whether a request may run, by what is in force now. It is asked
// before each attempt.
type Gate interface {
	Admit(request *Request) (Permission, *Refusal)
}

// Permission is what a gate says of a request.
type Permission struct {
	Route   *route.Route
	Account route.AccountName
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	// Revision is the configuration's, and Age the time since it was last
	// known to be the newest, at the request's arrival.
	Revision int64
	Age      time.Duration
}

// Planner chooses the models that a request is run by.
type Planner interface {
	// First returns the model to ask first, empty if there is no choice.
	First(progress *Progress) route.ModelName
	// Next returns the model to ask after an answer of a confidence in [0, 1];
	// false passes the answer on.
	Next(progress *Progress, asked route.ModelName, confidence float64) (route.ModelName, bool)
	// Instead returns the model to ask if another is not to be had; false gives
	// the request up.
	Instead(unavailable route.ModelName) (route.ModelName, bool)
	// Observe is told how an attempt went for the client.
	Observe(progress *Progress, delivery Delivery)
}

// NoChoice is the [Planner] of requests that leave no choice of a model.
type NoChoice struct{}

// First implements [Planner].
func (NoChoice) First(*Progress) route.ModelName { return "" }

// Next implements [Planner].
func (NoChoice) Next(*Progress, route.ModelName, float64) (route.ModelName, bool) { return "", false }

// Instead implements [Planner].
func (NoChoice) Instead(route.ModelName) (route.ModelName, bool) { return "", false }

// Observe implements [Planner].
func (NoChoice) Observe(*Progress, Delivery) {}

// Progress is how far a request has come.
type Progress struct {
	Request  *Request
	Route    *route.Route
	Service  route.ServiceName
	Priority int
	// Retries is how many retries the budget allows now.
	Retries float64
	// Escalated tells that an answer was dropped for a larger model's.
	Escalated bool
}

// Delivery tells how an answer reached the client, or how long the client has
// waited for one.
type Delivery struct {
	// FirstEvent is the time from the request's arrival to the first event, or
	// to the end of an attempt without one, and LongestGap the longest pause
	// between two events.
	FirstEvent, LongestGap time.Duration
	// Whole tells that the client has the whole answer.
	Whole bool
	// LongPrompt tells that the prompt went to endpoints kept for long ones.
	LongPrompt bool
}

// Places finds endpoints.
type Places interface {
	// Place returns a place at the endpoint that is to run the request.
	Place(ctx context.Context, query *Query) (Place, *Refusal)
}

// Query describes a request that needs an endpoint.
type Query struct {
	Request    *Request
	Permission *Permission
	Service    route.ServiceName
	Model      route.ModelName
	// Version is the version that the request began on, empty before.
	Version string
	// Avoid lists endpoints that the request should not meet again.
	Avoid []platform.EndpointID
}

// Place is an attempt's place at an endpoint. It ends with exactly one call of
// End.
type Place interface {
	Endpoint() pool.Record
	// LongPrompt tells that the endpoint is kept for long prompts.
	LongPrompt() bool
	// Usual is the usual time to the first event of such requests, 0 if
	// unknown.
	Usual() time.Duration
	// Sign notes that the endpoint sent something, and LastSign is when it last
	// did to this instance.
	Sign()
	LastSign() time.Time
	// Reported takes in the load that the endpoint told.
	Reported(running, waiting int)
	// FirstEvent takes in the time to the first event or the whole answer.
	FirstEvent(took time.Duration)
	// NoEvent takes in that none came in a time.
	NoEvent(waited time.Duration)
	End(ending Ending)
}

// QuietPlace answers for a [Place] what it has nothing to say to: it learns
// nothing from the answer's course. It is meant to be embedded.
type QuietPlace struct{}

// LongPrompt implements [Place].
func (QuietPlace) LongPrompt() bool { return false }

// Usual implements [Place].
func (QuietPlace) Usual() time.Duration { return 0 }

// Sign implements [Place].
func (QuietPlace) Sign() {}

// LastSign implements [Place].
func (QuietPlace) LastSign() time.Time { return time.Now() }

// Reported implements [Place].
func (QuietPlace) Reported(int, int) {}

// FirstEvent implements [Place].
func (QuietPlace) FirstEvent(time.Duration) {}

// NoEvent implements [Place].
func (QuietPlace) NoEvent(time.Duration) {}

// Ending tells how an attempt ended at its endpoint.
type Ending struct {
	Result pool.Result
	// Crashed tells that the endpoint broke the connection: it may have
	// crashed, or lost the answer.
	Crashed bool
	// FirstEvent is the time to the first event, and Pace the mean time from
	// event to event; 0 if there were none or too few.
	FirstEvent, Pace time.Duration
}

// Budgets gives the retry budget of a service.
type Budgets interface {
	Budget(service route.ServiceName) Budget
}

// Budget bounds retries.
type Budget interface {
	// Request counts a request.
	Request(now time.Time)
	// Available is how many retries may be made now.
	Available(now time.Time) float64
	// Withdraw takes a retry, if there is one.
	Withdraw(now time.Time) bool
	// WithdrawUrgent takes one for a request that the client has a part of the
	// answer to, and Urgent tells whether it would.
	WithdrawUrgent(now time.Time) bool
	Urgent(now time.Time) bool
	// Escalate takes what the turn of a larger model costs.
	Escalate(now time.Time) bool
}

// Reach tells whether endpoints can be reached.
type Reach interface {
	// Reachable reports whether an endpoint accepts connections now.
	Reachable(ctx context.Context, address string) bool
}
