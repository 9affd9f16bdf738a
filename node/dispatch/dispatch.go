package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/gate"
	"github.com/wigeonusher/wigeonusher/wire/engine"
	"github.com/wigeonusher/wigeonusher/wire/openai"
	"github.com/wigeonusher/wigeonusher/wire/problem"
)

const (
	// maxTries bounds the dispatches of one step.
	maxTries = 3
	// retryAfter is when to come back after a failure of the endpoints.
	retryAfter = time.Second
)

// Policies gives the policy in force.
type Policies interface {
	Policy() *document.Policy
}

// Endpoints gives the endpoints of pools.
type Endpoints interface {
	Usable(pools ...platform.PoolName) []platform.ListedEndpoint
}

// Dispatcher runs requests. Its methods may be called from several goroutines.
type Dispatcher struct {
	instance  platform.InstanceID
	policies  Policies
	endpoints Endpoints
	engines   *engine.Client
	attempts  atomic.Uint64
}

// New returns a dispatcher.
func New(instance platform.InstanceID, policies Policies, endpoints Endpoints, engines *engine.Client) *Dispatcher {
	return &Dispatcher{instance: instance, policies: policies, endpoints: endpoints, engines: engines}
}

// errCallerGone reports that the sink refused a frame.
var errCallerGone = eris.New("dispatch: caller has gone")

// Run dispatches a request and passes its answer to the sink.
func (d *Dispatcher) Run(ctx context.Context, request *Request, sink Sink) (*Result, *problem.Problem) {
	ref, trouble := d.choose(request)
	if trouble != nil {
		return &Result{}, trouble
	}
	result := &Result{Ref: ref}
	var avoid []platform.EndpointID
	for range maxTries {
		endpoint, trouble := d.place(request, ref, avoid)
		if trouble != nil {
			return result, trouble
		}
		avoid = append(avoid, endpoint.ID)
		delivered, err := d.try(ctx, request, result, endpoint, sink)
		if err == nil {
			return result, nil
		}
		if delivered || ctx.Err() != nil {
			break
		}
	}
	return result, problem.New(problem.AnswerInterrupted, http.StatusBadGateway, "no endpoint answered whole", &request.Attempt).After(retryAfter)
}

func (d *Dispatcher) choose(request *Request) (document.Ref, *problem.Problem) {
	policy := d.policies.Policy()
	model := request.Model
	if model == "" {
		rule := policy.Routing.Classes[request.Class]
		if len(rule.Models) == 0 {
			return document.Ref{}, problem.New(problem.UnknownModel, http.StatusNotFound, "no model for the task class", &request.Attempt)
		}
		model = rule.Models[0]
	}
	return document.Ref{Model: model, Version: request.Pins[model]}, nil
}

// place passes the gate with the policy in force now, and picks an endpoint.
func (d *Dispatcher) place(request *Request, ref document.Ref, avoid []platform.EndpointID) (platform.ListedEndpoint, *problem.Problem) {
	policy := d.policies.Policy()
	if err := gate.CheckModel(policy, request.Account, ref); err != nil {
		return platform.ListedEndpoint{}, Refused(err, request)
	}
	var pools []platform.PoolName
	for name, pool := range policy.Pools {
		if slices.Contains(pool.Serves, ref) {
			pools = append(pools, name)
		}
	}
	usable := d.endpoints.Usable(pools...)
	usable = slices.DeleteFunc(usable, func(e platform.ListedEndpoint) bool { return slices.Contains(avoid, e.ID) })
	if len(usable) == 0 {
		return platform.ListedEndpoint{}, problem.New(problem.NoEndpoint, http.StatusServiceUnavailable, "no endpoint serves "+ref.String(), &request.Attempt).After(retryAfter)
	}
	return usable[rand.IntN(len(usable))], nil
}

func (d *Dispatcher) try(ctx context.Context, request *Request, result *Result, endpoint platform.ListedEndpoint, sink Sink) (delivered bool, err error) {
	call := engine.Call{
		Address:   endpoint.Address,
		RequestID: request.ID,
		AttemptID: string(d.instance) + "-" + strconv.FormatUint(d.attempts.Add(1), 36),
		Ref:       result.Ref,
		Request:   request.Body,
	}
	answer, err := d.engines.Chat(ctx, call, &request.Attempt, func(chunk *openai.Chunk) error {
		delivered = true
		if err := sink.Frame(result.Ref, chunk); err != nil {
			return errCallerGone
		}
		return nil
	})
	if err != nil {
		return delivered, err
	}
	request.Attempt.Answer()
	result.Answer = answer
	usage := answer.Usage()
	result.Uses = append(result.Uses, Use{Ref: result.Ref, PromptTokens: usage.PromptTokens, AnswerTokens: usage.CompletionTokens})
	return delivered, nil
}

// Refused turns a refusal of the gate into a problem.
func Refused(err error, request *Request) *problem.Problem {
	var refusal *gate.Refusal
	if !errors.As(err, &refusal) {
		return problem.New(problem.NotAllowed, http.StatusForbidden, err.Error(), &request.Attempt)
	}
	switch refusal.Reason {
	case gate.NoPolicyYet:
		return problem.New(problem.NotReady, http.StatusServiceUnavailable, "no configuration yet", &request.Attempt).After(retryAfter)
	case gate.UnknownModel:
		return problem.New(problem.UnknownModel, http.StatusNotFound, "unknown model", &request.Attempt)
	case gate.VersionWithdrawn:
		return problem.New(problem.VersionWithdrawn, http.StatusGone, refusal.Ref.String()+" is withdrawn", &request.Attempt)
	default:
		return problem.New(problem.NotAllowed, http.StatusForbidden, string(refusal.Reason), &request.Attempt)
	}
}
