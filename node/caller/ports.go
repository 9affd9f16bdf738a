package caller

import (
	"context"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/intent"
	"github.com/wigeonusher/wigeonusher/coord/outcome"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/coord/retry"
	"github.com/wigeonusher/wigeonusher/coord/suspect"
	"github.com/wigeonusher/wigeonusher/node/admit"
	"github.com/wigeonusher/wigeonusher/node/atmostonce"
	"github.com/wigeonusher/wigeonusher/node/billing"
	"github.com/wigeonusher/wigeonusher/node/sessions"
	"github.com/wigeonusher/wigeonusher/node/suspects"
	"github.com/wigeonusher/wigeonusher/policy/admission"
	"github.com/wigeonusher/wigeonusher/policy/cascade"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/placement"
	"github.com/wigeonusher/wigeonusher/policy/session"
	"github.com/wigeonusher/wigeonusher/wire/engine"
	"github.com/wigeonusher/wigeonusher/wire/openai"
)

// Policies provides the policy in force.
type Policies interface {
	Policy() *document.Policy
}

// Biller records the cost of requests.
type Biller interface {
	// Reserve reserves room for the bill of a request that is about to start.
	Reserve() (*billing.Reservation, error)
}

// Sessions provides the pin sets of sessions.
type Sessions interface {
	Resolve(ctx context.Context, query sessions.Query) (sessions.Found, error)
	SingleRequest(query sessions.Query, requestID string) sessions.Found
	Token(pins session.PinSet) string
}

// Limits decides whether a request is within its account's limit.
type Limits interface {
	Allow(account document.AccountID) (ok bool, retryAfter time.Duration)
}

// AtMostOnce runs calls at most once.
type AtMostOnce interface {
	Run(ctx context.Context, call atmostonce.Call, progress *outcome.Attempt, dispatch atmostonce.Dispatch) intent.Respond
}

// Endpoints provides the endpoints and their load.
type Endpoints interface {
	Usable(pools ...platform.PoolName) []platform.ListedEndpoint
	MayDispatch(endpoint platform.EndpointID) bool
	// MayHaveLoaded reports whether the endpoint may have the version loaded. It
	// is true if the endpoint's loaded versions are unknown.
	MayHaveLoaded(endpoint platform.EndpointID, ref document.Ref) bool
	Candidate(now time.Time, endpoint platform.ListedEndpoint, slots int, prefix []uint64) placement.Candidate
	PrefixHashes(prompt string) []uint64
	RecordDispatch(now time.Time, endpoint platform.EndpointID, prefix []uint64)
	RecordCompletion(now time.Time, endpoint platform.EndpointID, firstToken time.Duration, failed bool)
	// PollAfterRefusal polls an endpoint that refused work, because it may be
	// leaving.
	PollAfterRefusal(endpoint platform.ListedEndpoint)
}

// Pools queues requests until they get a slot of their pool.
type Pools interface {
	Acquire(ctx context.Context, pool platform.PoolName, request admission.Request) (*admit.Slot, error)
}

// Engines dispatches chat requests to engines.
type Engines interface {
	Chat(ctx context.Context, call engine.Call, recorder engine.SendRecorder) (Stream, error)
	Reachable(ctx context.Context, address string) bool
}

// Stream is an engine's answer, frame by frame.
type Stream interface {
	// Next returns the next frame, or io.EOF once the answer is complete.
	Next() (*openai.Chunk, error)
	Answer() *engine.Answer
	Close()
}

// Services dispatches calls to plain services.
type Services interface {
	Service(ctx context.Context, call engine.ServiceCall, recorder engine.SendRecorder) (*engine.ServiceAnswer, error)
}

// Suspects tracks requests that may crash endpoints.
type Suspects interface {
	Permission(fingerprint suspect.Fingerprint) suspect.Permission
	IsOccupied(endpoint platform.EndpointID) bool
	RecordStart(fingerprint suspect.Fingerprint, endpoint platform.EndpointID)
	RecordFinish(fingerprint suspect.Fingerprint, endpoint platform.EndpointID)
	RecordCrash(fingerprint suspect.Fingerprint, pool platform.PoolName, endpoint platform.EndpointID)
	ClaimTry(ctx context.Context, fingerprint suspect.Fingerprint, pool platform.PoolName, endpoint platform.EndpointID) suspects.ClaimResult
	RecordTryResult(fingerprint suspect.Fingerprint, crashed bool)
}

// Planner plans which versions a request tries, and learns from the answers.
type Planner interface {
	Plan(rule document.ClassRule, exploreShare float64, request cascade.Request) cascade.Plan
	// RecordAnswer records an answer to a request's prompt.
	RecordAnswer(requestID, prompt string, result cascade.Result, text string)
	// RecordFailure records a dispatch that failed at its endpoint.
	RecordFailure(class document.TaskClass, ref document.Ref)
}

// Exposures counts the requests that are exposed to the candidate of a roll-out.
type Exposures interface {
	// RecordRequest counts a request that uses an existing pin set. The creation
	// of a pin set itself counts the request that caused it.
	RecordRequest(ref document.Ref)
}

// Budgets provides the retry budgets of accounts and pools.
type Budgets interface {
	Account(account document.AccountID) *retry.Budget
	Pool(pool platform.PoolName) *retry.Budget
}

// Owners reserves slots at the owners of endpoints. An endpoint's owner is the
// instance that counts the endpoint's requests from all instances.
type Owners interface {
	// Reserve asks the owner for a free slot of an endpoint. If inAnyCase is true,
	// the owner counts the dispatch even if no slot is free. Reserve returns the
	// number of requests that all instances had at the endpoint before the call,
	// and whether the owner counts the dispatch.
	Reserve(ctx context.Context, zone platform.Zone, endpoint platform.EndpointID, slots int, inAnyCase bool) (outstanding int, granted bool, err error)
	// Release reports the end of a dispatch that the owner counts.
	Release(zone platform.Zone, endpoint platform.EndpointID)
}

// EngineClient adapts the client of package engine to [Engines].
type EngineClient struct{ *engine.Client }

// Chat implements [Engines].
func (c EngineClient) Chat(ctx context.Context, call engine.Call, recorder engine.SendRecorder) (Stream, error) {
	return c.Client.Chat(ctx, call, recorder)
}
