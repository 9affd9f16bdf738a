package caller

import (
	"errors"
	"net/http"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/outcome"
	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/policy/cascade"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/gate"
	"github.com/wigeonusher/wigeonusher/policy/placement"
	"github.com/wigeonusher/wigeonusher/policy/route"
	"github.com/wigeonusher/wigeonusher/policy/session"
	"github.com/wigeonusher/wigeonusher/wire/problem"
)

// expectedAnswerTokens is the expected length of the answer to a request that
// sets no maximum, in tokens.
const expectedAnswerTokens = 200

// chatPlan is the [relay.Planner] of a chat request: the steps of its cascade.
// The relay's model names are the versions of the steps.
type chatPlan []cascade.Step

func relayModel(ref document.Ref) route.ModelName { return route.ModelName(ref.String()) }

// models returns the versions in the order in which they are tried.
func (p chatPlan) models() []route.ModelName {
	models := make([]route.ModelName, 0, len(p))
	for _, step := range p {
		models = append(models, relayModel(step.Ref))
	}
	return models
}

// stepIndex returns the index of a model's step, or -1 if it has none.
func (p chatPlan) stepIndex(model route.ModelName) int {
	for i, step := range p {
		if relayModel(step.Ref) == model {
			return i
		}
	}
	return -1
}

// isLast reports whether the model's step is the last one.
func (p chatPlan) isLast(model route.ModelName) bool { return p.stepIndex(model) == len(p)-1 }

// First implements [relay.Planner].
func (p chatPlan) First(*relay.Progress) route.ModelName { return relayModel(p[0].Ref) }

// Next implements [relay.Planner].
func (p chatPlan) Next(_ *relay.Progress, model route.ModelName, confidence float64) (route.ModelName, bool) {
	i := p.stepIndex(model)
	if i < 0 || confidence >= p[i].Accept {
		return "", false
	}
	return p.Alternative(model)
}

// Alternative implements [relay.Planner].
func (p chatPlan) Alternative(unavailable route.ModelName) (route.ModelName, bool) {
	i := p.stepIndex(unavailable)
	if i < 0 || i == len(p)-1 {
		return "", false
	}
	return relayModel(p[i+1].Ref), true
}

// Observe implements [relay.Planner].
func (chatPlan) Observe(*relay.Progress, relay.Delivery) {}

// notRun returns the attempt of a request that was never dispatched.
func notRun() *outcome.Attempt { return &outcome.Attempt{} }

// plan selects the steps of a request.
func (s *Server) plan(request *chatRequest) (chatPlan, *problem.Problem) {
	policy := s.Policies.Policy()
	if request.model != "" {
		ref, prob := requestedVersion(policy, request)
		return chatPlan{{Ref: ref}}, prob
	}
	rule := policy.Routing.Classes[request.class]
	candidates, prob := s.candidateVersions(policy, request, rule)
	if prob != nil {
		return nil, prob
	}
	plan := s.Planner.Plan(rule, policy.Routing.ExploreShare, cascade.Request{
		Class:        request.class,
		PromptTokens: placement.EstimateTokens(request.prompt),
		AnswerTokens: request.answerTokens(),
		Remaining:    time.Until(request.deadline),
		Candidates:   candidates,
	})
	return plan.Steps, nil
}

// requestedVersion returns the version to use for the model that the caller named.
func requestedVersion(policy *document.Policy, request *chatRequest) (document.Ref, *problem.Problem) {
	ref := document.Ref{Model: request.model, Version: request.version}
	if ref.Version == "" {
		version, err := request.pins.Version(policy, request.model)
		if err != nil {
			return ref, pinProblem(policy, err)
		}
		ref.Version = version
	}
	if err := gate.CheckModel(policy, request.account, ref); err != nil {
		return ref, gateProblem(err)
	}
	return ref, nil
}

// candidateVersions returns the versions from which the cascade may choose: those
// of the task class's models that are in the request's pin set and pass the gate.
func (s *Server) candidateVersions(policy *document.Policy, request *chatRequest, rule document.ClassRule) ([]cascade.Candidate, *problem.Problem) {
	prob := problem.New(problem.UnknownModel, http.StatusNotFound, "no model for the task class", notRun())
	var candidates []cascade.Candidate
	for _, model := range rule.Models {
		version, err := request.pins.Version(policy, model)
		if err != nil {
			prob = pinProblem(policy, err)
			continue
		}
		ref := document.Ref{Model: model, Version: version}
		if err := gate.CheckModel(policy, request.account, ref); err != nil {
			prob = gateProblem(err)
			continue
		}
		candidates = append(candidates, s.candidate(policy, ref))
	}
	if len(candidates) == 0 {
		return nil, prob
	}
	return candidates, nil
}

func (s *Server) candidate(policy *document.Policy, ref document.Ref) cascade.Candidate {
	version := policy.Models[ref.Model].Versions[ref.Version]
	speed := s.speeds.estimate(ref)
	return cascade.Candidate{
		Ref:        ref,
		PromptCost: version.PromptCost,
		AnswerCost: version.AnswerCost,
		FirstToken: speed.firstToken,
		PerToken:   speed.perToken,
	}
}

// pinProblem converts the error of a pin set without a usable version to a
// problem.
func pinProblem(policy *document.Policy, err error) *problem.Problem {
	var ended *session.EndedError
	if errors.As(err, &ended) {
		return problem.New(problem.SessionEnded, http.StatusGone, ended.Error(), notRun())
	}
	var unpinned *session.UnpinnedError
	if errors.As(err, &unpinned) {
		if _, exists := policy.Models[unpinned.Model]; !exists {
			return problem.New(problem.UnknownModel, http.StatusNotFound, "unknown model", notRun())
		}
	}
	return problem.New(problem.NotAllowed, http.StatusForbidden, err.Error(), notRun())
}

// gateProblem converts a refusal of the gate to a problem.
func gateProblem(err error) *problem.Problem {
	var refusal *gate.Refusal
	if !errors.As(err, &refusal) {
		return problem.New(problem.NotAllowed, http.StatusForbidden, err.Error(), notRun())
	}
	switch refusal.Reason {
	case gate.NoPolicy:
		return problem.New(problem.NotReady, http.StatusServiceUnavailable, "no configuration yet", notRun()).WithRetryAfter(retryAfter)
	case gate.UnknownModel:
		return problem.New(problem.UnknownModel, http.StatusNotFound, "unknown model", notRun())
	case gate.UnknownService:
		return problem.New(problem.UnknownService, http.StatusNotFound, "unknown service", notRun())
	case gate.VersionWithdrawn:
		return problem.New(problem.VersionWithdrawn, http.StatusGone, refusal.Ref.String()+" is withdrawn", notRun())
	case gate.ServiceNotAllowed:
		return problem.New(problem.NotAllowed, http.StatusForbidden, "service not allowed", notRun())
	default:
		return problem.New(problem.NotAllowed, http.StatusForbidden, string(refusal.Reason), notRun())
	}
}
