package dispatch

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/coord/retry"
	"github.com/wigeonusher/wigeonusher/coord/suspect"
	"github.com/wigeonusher/wigeonusher/node/admit"
	"github.com/wigeonusher/wigeonusher/node/suspects"
	"github.com/wigeonusher/wigeonusher/policy/admission"
	"github.com/wigeonusher/wigeonusher/policy/cascade"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/placement"
	"github.com/wigeonusher/wigeonusher/wire/engine"
	"github.com/wigeonusher/wigeonusher/wire/openai"
	"github.com/wigeonusher/wigeonusher/wire/problem"
)

// Policies gives the policy in force.
type Policies interface {
	Policy() *document.Policy
}

// Endpoints knows the endpoints and their load.
type Endpoints interface {
	Usable(pools ...platform.PoolName) []platform.ListedEndpoint
	MayDispatch(endpoint platform.EndpointID) bool
	// MayHave reports whether the endpoint has the version loaded, as far as
	// is known.
	MayHave(endpoint platform.EndpointID, ref document.Ref) bool
	Candidate(now time.Time, endpoint platform.ListedEndpoint, slots int, prefix []uint64) placement.Candidate
	PrefixHashes(prompt string) []uint64
	Dispatched(now time.Time, endpoint platform.EndpointID, prefix []uint64)
	Finished(now time.Time, endpoint platform.EndpointID, firstToken time.Duration, failed bool)
	// Refused is told of an endpoint that refused work; it may be leaving.
	Refused(endpoint platform.ListedEndpoint)
}

// Pools lets requests wait for a slot.
type Pools interface {
	Enter(ctx context.Context, pool platform.PoolName, request admission.Request) (*admit.Slot, error)
}

// Engines dispatches to endpoints.
type Engines interface {
	Chat(ctx context.Context, call engine.Call, departed engine.Departure, sink func(*openai.Chunk) error) (*engine.Answer, error)
	Reachable(ctx context.Context, address string) bool
}

// Suspects judges requests that may crash endpoints.
type Suspects interface {
	Permission(fingerprint suspect.Fingerprint) suspect.Permission
	Occupied(endpoint platform.EndpointID) bool
	Started(fingerprint suspect.Fingerprint, endpoint platform.EndpointID)
	Finished(fingerprint suspect.Fingerprint, endpoint platform.EndpointID)
	Crashed(fingerprint suspect.Fingerprint, pool platform.PoolName, endpoint platform.EndpointID)
	Try(ctx context.Context, fingerprint suspect.Fingerprint, pool platform.PoolName, endpoint platform.EndpointID) suspects.Claim
	End(fingerprint suspect.Fingerprint, crashed bool)
}

// Planner plans which versions a request tries, and learns from answers.
type Planner interface {
	Plan(rule document.ClassRule, exploreShare float64, request cascade.Request) cascade.Plan
	Answered(request *Request, result cascade.Result, text string)
	// Failed is told of a dispatch that an endpoint failed.
	Failed(class document.TaskClass, ref document.Ref)
}

// Exposures counts requests that meet the candidate of a roll-out.
type Exposures interface {
	// Charge counts a later request of a session.
	Charge(ref document.Ref)
}

// Budgets gives the retry budgets of an account and a pool.
type Budgets interface {
	Account(account document.AccountID) *retry.Budget
	Pool(pool platform.PoolName) *retry.Budget
}

// Owners asks the instances that count an endpoint's requests.
type Owners interface {
	// Reserve asks for a free slot of an endpoint. It returns the requests
	// that all instances have there, and whether the dispatch is counted.
	Reserve(ctx context.Context, zone platform.Zone, endpoint platform.EndpointID, slots int, inAnyCase bool) (outstanding int, granted bool, err error)
	// Release tells of the end of a dispatch that was counted.
	Release(zone platform.Zone, endpoint platform.EndpointID)
}

// Config lists the parts that a dispatcher uses.
type Config struct {
	Instance  platform.InstanceID
	Zone      platform.Zone
	Policies  Policies
	Endpoints Endpoints
	Pools     Pools
	Engines   Engines
	Suspects  Suspects
	Planner   Planner
	Budgets   Budgets
	Exposures Exposures
	Owners    Owners
	Scheduler *placement.Scheduler
}

// Dispatcher runs requests. Its methods may be called from several goroutines.
type Dispatcher struct {
	Config
	speeds   *speeds
	attempts atomic.Uint64
}

// New returns a dispatcher.
func New(config Config) *Dispatcher {
	return &Dispatcher{Config: config, speeds: newSpeeds()}
}

// Run dispatches a request and passes its answer to the sink. The result says
// what was consumed, also if there is a problem.
func (d *Dispatcher) Run(ctx context.Context, request *Request, sink Sink) (*Result, *problem.Problem) {
	result := &Result{}
	plan, trouble := d.plan(request)
	if trouble != nil {
		return result, trouble
	}
	var held *buffer
	for i, step := range plan.Steps {
		last := i == len(plan.Steps)-1
		out := sink
		if !last {
			held = &buffer{}
			out = held
		}
		answer, stepTrouble := d.runStep(ctx, request, step.Ref, out, result)
		if stepTrouble != nil {
			trouble = stepTrouble
			if last || stepTrouble.Type == problem.CrashSuspect {
				break
			}
			continue
		}
		d.learn(request, step.Ref, answer, result.Answer)
		result.Ref, result.Answer = step.Ref, answer
		trouble = nil
		if last {
			return result, nil
		}
		if answer.Confidence() >= step.Accept {
			return result, held.flush(request, sink)
		}
	}
	return d.fallBack(request, result, held, sink, trouble)
}

// fallBack gives the answer of an earlier step if the last one was not to be
// had.
func (d *Dispatcher) fallBack(request *Request, result *Result, held *buffer, sink Sink, trouble *problem.Problem) (*Result, *problem.Problem) {
	if result.Answer == nil || trouble.Type == problem.AnswerInterrupted || trouble.Type == problem.CrashSuspect {
		result.Answer = nil
		return result, trouble
	}
	result.Degraded = true
	return result, held.flush(request, sink)
}

// learn tells the planner of an answer. earlier is the answer that fell short
// before it, nil if there is none.
func (d *Dispatcher) learn(request *Request, ref document.Ref, answer, earlier *engine.Answer) {
	usage := answer.Usage()
	d.speeds.add(ref, answer.FirstToken, answer.Took, usage.CompletionTokens)
	result := cascade.Result{
		Class:        request.Class,
		Ref:          ref,
		Confidence:   answer.Confidence(),
		PromptTokens: usage.PromptTokens,
		AnswerTokens: usage.CompletionTokens,
	}
	if earlier != nil {
		result.Escalated = true
		result.Before = earlier.Confidence()
	}
	d.Planner.Answered(request, result, answer.Text())
}

func (d *Dispatcher) attemptID() string {
	return string(d.Instance) + "-" + strconv.FormatUint(d.attempts.Add(1), 36)
}
