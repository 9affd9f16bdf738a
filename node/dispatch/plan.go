package dispatch

import (
	"errors"
	"net/http"
	"time"

	"github.com/wigeonusher/wigeonusher/policy/cascade"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/gate"
	"github.com/wigeonusher/wigeonusher/policy/placement"
	"github.com/wigeonusher/wigeonusher/policy/session"
	"github.com/wigeonusher/wigeonusher/wire/problem"
)

// expectedAnswerTokens is expected of requests that set no bound.
const expectedAnswerTokens = 200

// plan chooses the steps of a request.
func (d *Dispatcher) plan(request *Request) (cascade.Plan, *problem.Problem) {
	policy := d.Policies.Policy()
	if request.Model != "" {
		ref, trouble := d.asked(policy, request)
		return cascade.Plan{Steps: []cascade.Step{{Ref: ref}}}, trouble
	}
	rule := policy.Routing.Classes[request.Class]
	candidates, trouble := d.candidateVersions(policy, request, rule)
	if trouble != nil {
		return cascade.Plan{}, trouble
	}
	return d.Planner.Plan(rule, policy.Routing.ExploreShare, cascade.Request{
		Class:        request.Class,
		PromptTokens: placement.EstimateTokens(request.Prompt),
		AnswerTokens: answerTokens(request),
		Left:         time.Until(request.Deadline),
		Candidates:   candidates,
	}), nil
}

// asked returns the version of a model that the caller named.
func (d *Dispatcher) asked(policy *document.Policy, request *Request) (document.Ref, *problem.Problem) {
	ref := document.Ref{Model: request.Model, Version: request.Version}
	if ref.Version == "" {
		version, err := request.Birth.Version(policy, request.Model)
		if err != nil {
			return ref, unpinned(policy, err, request)
		}
		ref.Version = version
	}
	if err := gate.CheckModel(policy, request.Account, ref); err != nil {
		return ref, Refused(err, request)
	}
	return ref, nil
}

// candidateVersions returns the versions that the cascade may choose from: of
// the class's models, pinned to the session, allowed and serving.
func (d *Dispatcher) candidateVersions(policy *document.Policy, request *Request, rule document.ClassRule) ([]cascade.Candidate, *problem.Problem) {
	trouble := problem.New(problem.UnknownModel, http.StatusNotFound, "no model for the task class", &request.Attempt)
	var candidates []cascade.Candidate
	for _, model := range rule.Models {
		version, err := request.Birth.Version(policy, model)
		if err != nil {
			trouble = unpinned(policy, err, request)
			continue
		}
		ref := document.Ref{Model: model, Version: version}
		if err := gate.CheckModel(policy, request.Account, ref); err != nil {
			trouble = Refused(err, request)
			continue
		}
		candidates = append(candidates, d.candidate(policy, ref))
	}
	if len(candidates) == 0 {
		return nil, trouble
	}
	return candidates, nil
}

func (d *Dispatcher) candidate(policy *document.Policy, ref document.Ref) cascade.Candidate {
	version := policy.Models[ref.Model].Versions[ref.Version]
	speed := d.speeds.of(ref)
	return cascade.Candidate{
		Ref:        ref,
		PromptCost: version.PromptCost,
		AnswerCost: version.AnswerCost,
		FirstToken: speed.firstToken,
		PerToken:   speed.perToken,
	}
}

func answerTokens(request *Request) int {
	if request.Body.MaxTokens > 0 {
		return request.Body.MaxTokens
	}
	return expectedAnswerTokens
}

// unpinned turns the error of a session without a usable version into a
// problem.
func unpinned(policy *document.Policy, err error, request *Request) *problem.Problem {
	var ended *session.Ended
	if errors.As(err, &ended) {
		return problem.New(problem.SessionEnded, http.StatusGone, ended.Error(), &request.Attempt)
	}
	var unknown *session.Unpinned
	if errors.As(err, &unknown) {
		if _, exists := policy.Models[unknown.Model]; !exists {
			return problem.New(problem.UnknownModel, http.StatusNotFound, "unknown model", &request.Attempt)
		}
	}
	return problem.New(problem.NotAllowed, http.StatusForbidden, err.Error(), &request.Attempt)
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
