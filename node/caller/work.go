package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/wigeonusher/wigeonusher/node/memory"
	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/node/stop"
	"github.com/wigeonusher/wigeonusher/node/telemetry"
	"github.com/wigeonusher/wigeonusher/policy/cascade"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/placement"
	"github.com/wigeonusher/wigeonusher/policy/route"
	"github.com/wigeonusher/wigeonusher/wire/engine"
	"github.com/wigeonusher/wigeonusher/wire/problem"
)

// maxDispatches bounds the dispatches of one step of a cascade, and those of one
// call to a plain service.
const maxDispatches = 3

// chatService stands for all pools of engines in the relay's route. Each step of a
// cascade chooses its own pool.
const chatService route.ServiceName = "chat"

// chatWork holds the state of one chat request while it is served. Its fields
// implement the ports of the relay.
type chatWork struct {
	server  *Server
	request *chatRequest
	plan    chatPlan
	picker  chatPicker
	usage   usageTotals
}

// usageTotals collects the usage of the dispatches of a request.
type usageTotals struct {
	// answers lists the usage of each complete answer.
	answers []tokenUsage
	// latest is the last complete answer.
	latest *engine.Answer
	// partialRef is the version whose answer has started and is not complete, and
	// partialFrames is the number of its frames received.
	partialRef    document.Ref
	partialFrames int
}

// tokenUsage counts the tokens of one dispatch.
type tokenUsage struct {
	ref          document.Ref
	promptTokens int
	answerTokens int
}

// newChatWork plans a request and returns its state.
func (s *Server) newChatWork(request *chatRequest) (*chatWork, *problem.Problem) {
	plan, prob := s.plan(request)
	if prob != nil {
		return nil, prob
	}
	work := &chatWork{server: s, request: request, plan: plan}
	work.picker.work = work
	return work, nil
}

// run serves the request through the relay.
func (w *chatWork) run(ctx context.Context, client relay.Client) {
	defer w.picker.releaseSlot()
	core := relay.New(relay.Config{
		Gate:      fixedGate(w.permission()),
		Planner:   w.plan,
		Picker:    &w.picker,
		Endpoints: &chatEndpoints{work: w},
		Budgets:   &w.picker,
		Observer:  attemptLog{w.server.Telemetry, w.server.Stop},
		Stop:      w.server.Stop,
	})
	core.Serve(ctx, &relay.Request{
		ID:       w.request.id,
		Method:   http.MethodPost,
		Body:     memory.NewBody(w.request.raw),
		Received: time.Now(),
		Timeout:  time.Until(w.request.deadline),
		AnyModel: len(w.plan) > 1,
	}, client)
}

// permission describes the request to the relay. It sets no priority: the pool's
// queue and the engine rank requests by the caller's header, higher values first.
func (w *chatWork) permission() relay.Permission {
	kind := route.Idempotent
	if w.request.body.Stream {
		kind = route.Stream
	}
	return relay.Permission{
		Account:  route.AccountName(w.request.account),
		Revision: int64(w.server.Policies.Policy().Revision),
		Route: &route.Route{
			Name:        string(chatService),
			Kind:        kind,
			Restartable: true,
			Timeout:     time.Until(w.request.deadline),
			Models:      w.plan.models(),
			MaxAttempts: maxDispatches * len(w.plan),
			Split:       []route.Share{{Service: chatService, Weight: 1}},
		},
	}
}

// recordAnswer records a complete answer.
func (w *chatWork) recordAnswer(ref document.Ref, answer *engine.Answer) {
	usage := answer.Usage()
	w.server.speeds.record(ref, answer.FirstToken, answer.Duration, usage.CompletionTokens)
	result := cascade.Result{
		Class:        w.request.class,
		Ref:          ref,
		Confidence:   answer.Confidence(),
		PromptTokens: usage.PromptTokens,
		AnswerTokens: usage.CompletionTokens,
	}
	if previous := w.usage.latest; previous != nil {
		result.Escalated = true
		result.PreviousConfidence = previous.Confidence()
	}
	w.server.Planner.RecordAnswer(w.request.id, w.request.prompt, result, answer.Text())
	w.usage.latest, w.usage.partialFrames = answer, 0
	w.usage.answers = append(w.usage.answers, tokenUsage{ref: ref, promptTokens: usage.PromptTokens, answerTokens: usage.CompletionTokens})
	w.picker.recordAnswer(answer.FirstToken)
}

// addPartialUsage adds the usage of an answer during which the caller disconnected.
// It counts one token per frame.
func (w *chatWork) addPartialUsage() {
	if w.usage.partialFrames == 0 {
		return
	}
	w.usage.answers = append(w.usage.answers, tokenUsage{
		ref:          w.usage.partialRef,
		promptTokens: placement.EstimateTokens(w.request.prompt),
		answerTokens: w.usage.partialFrames,
	})
}

// fixedGate is the [relay.Gate] that admits the request with a permission decided
// before. The endpoint picker checks the policy in force before each dispatch.
type fixedGate relay.Permission

// Admit implements [relay.Gate].
func (g fixedGate) Admit(*relay.Request) (relay.Permission, *relay.Refusal) {
	return relay.Permission(g), nil
}

// attemptLog is the [relay.Observer] of the callers' API. Its telemetry has the
// attempts only: the server's middleware reports requests, with their HTTP status.
type attemptLog struct {
	telemetry *telemetry.Telemetry
	stop      *stop.Stop
}

// RecordAttempt implements [relay.Observer].
func (l attemptLog) RecordAttempt(event *relay.AttemptEvent) {
	if l.telemetry != nil {
		l.telemetry.RecordAttempt(event)
	}
}

// Done implements [relay.Observer].
func (l attemptLog) Done(event *relay.DoneEvent) { l.stop.RecordEnd(event) }
