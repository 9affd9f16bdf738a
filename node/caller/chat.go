package caller

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/wigeonusher/wigeonusher/coord/outcome"
	"github.com/wigeonusher/wigeonusher/node/billing"
	"github.com/wigeonusher/wigeonusher/node/dispatch"
	"github.com/wigeonusher/wigeonusher/node/sessions"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/session"
	"github.com/wigeonusher/wigeonusher/wire/openai"
	"github.com/wigeonusher/wigeonusher/wire/problem"
)

const defaultDeadline = 60 * time.Second

// chat serves POST /v1/chat/completions.
func (s *Server) chat(c echo.Context) error {
	request := &dispatch.Request{}
	e, trouble := s.open(c, &request.Attempt)
	if trouble != nil {
		return s.refuse(c, trouble)
	}
	if trouble := s.fill(e, request); trouble != nil {
		return s.refuse(c, trouble)
	}
	e.reservation, trouble = s.reserveBill(e)
	if trouble != nil {
		return s.refuse(c, trouble)
	}
	defer e.reservation.Close()
	ctx, cancel := context.WithDeadline(c.Request().Context(), request.Deadline)
	defer cancel()
	if trouble := s.bindSession(ctx, e, request); trouble != nil {
		return s.refuse(c, trouble)
	}
	if request.Body.Stream {
		return s.streamed(ctx, e, request)
	}
	return s.whole(ctx, e, request)
}

// reserveBill keeps room for the request's bill.
func (s *Server) reserveBill(e *exchange) (*billing.Reservation, *problem.Problem) {
	reservation, err := s.Biller.Reserve()
	if err != nil {
		return nil, problem.New(problem.LogUnavailable, http.StatusServiceUnavailable, "no further bill can be held", e.attempt).After(retryAfter)
	}
	return reservation, nil
}

// fill reads the request's body and headers.
func (s *Server) fill(e *exchange, request *dispatch.Request) *problem.Problem {
	body, err := openai.Parse(e.body)
	if err != nil {
		return problem.New(problem.Malformed, http.StatusBadRequest, err.Error(), e.attempt)
	}
	header := e.echo.Request().Header
	request.ID = e.id
	request.Account = e.account
	request.Body = body
	request.Raw = e.body
	request.Prompt = body.Prompt()
	request.Class = classOf(e.policy, header)
	request.Priority, _ = strconv.Atoi(header.Get(HeaderPriority))
	fallback := defaultDeadline
	if rule, ok := e.policy.Routing.Classes[request.Class]; ok {
		fallback = time.Duration(rule.DeadlineMillis) * time.Millisecond
	}
	request.Deadline = deadlineOf(e.echo.Request(), fallback)
	if body.Model != openai.ModelAuto {
		model, version, _ := strings.Cut(body.Model, "@")
		request.Model = document.ModelName(model)
		request.Version = document.VersionName(version)
	}
	return nil
}

func classOf(policy *document.Policy, header http.Header) document.TaskClass {
	class := document.TaskClass(header.Get(HeaderTaskClass))
	if _, known := policy.Routing.Classes[class]; known {
		return class
	}
	return policy.Routing.DefaultClass
}

// bindSession finds the versions that the request may use.
func (s *Server) bindSession(ctx context.Context, e *exchange, request *dispatch.Request) *problem.Problem {
	header := e.echo.Request().Header
	query := sessions.Query{
		Account: e.account,
		Session: session.ID(header.Get(HeaderSession)),
		Token:   header.Get(HeaderSessionToken),
		Models:  modelsOf(e.policy, request),
	}
	if query.Session == "" && query.Token == "" {
		found := s.Sessions.Single(query, e.id)
		request.Birth, request.Fresh = found.Birth, found.Fresh
		return nil
	}
	if len(query.Session) > session.MaxNameBytes {
		return problem.New(problem.Malformed, http.StatusBadRequest, "session ID too long", e.attempt)
	}
	found, err := s.Sessions.Resolve(ctx, query)
	if err != nil {
		return problem.New(problem.Malformed, http.StatusBadRequest, err.Error(), e.attempt)
	}
	request.Birth, request.Fresh = found.Birth, found.Fresh
	response := e.echo.Response().Header()
	response.Set(HeaderSession, string(found.Birth.Session))
	response.Set(HeaderSessionToken, s.Sessions.Token(found.Birth))
	return nil
}

// modelsOf returns the models that the request may use.
func modelsOf(policy *document.Policy, request *dispatch.Request) []document.ModelName {
	if request.Model != "" {
		return []document.ModelName{request.Model}
	}
	return policy.Routing.Classes[request.Class].Models
}

type discard struct{}

func (discard) Frame(document.Ref, *openai.Chunk) error { return nil }

func (s *Server) whole(ctx context.Context, e *exchange, request *dispatch.Request) error {
	result, trouble := s.Dispatcher.Run(ctx, request, discard{})
	s.bill(ctx, e, request, result, false)
	if trouble != nil {
		return s.refuse(e.echo, trouble)
	}
	body, err := result.Answer.Whole(e.id, result.Ref.String())
	if err != nil {
		return err
	}
	setAnswerHeaders(e.echo.Response().Header(), result.Ref, result.Degraded)
	observedOf(e.echo).frame(result.Ref)
	return e.echo.JSONBlob(http.StatusOK, body)
}

func setAnswerHeaders(header http.Header, ref document.Ref, degraded bool) {
	header.Set(HeaderModel, ref.String())
	if degraded {
		header.Set(HeaderDegraded, "true")
	}
}

func (s *Server) streamed(ctx context.Context, e *exchange, request *dispatch.Request) error {
	sink := &sseSink{exchange: e}
	result, trouble := s.Dispatcher.Run(ctx, request, sink)
	s.bill(ctx, e, request, result, sink.started)
	if trouble == nil {
		return sink.raw([]byte("[DONE]"))
	}
	if !sink.started {
		return s.refuse(e.echo, trouble)
	}
	trouble.RequestID = e.id
	return sink.event(streamError{trouble})
}

// bill records what the request used, before its last byte goes out. Nothing is
// recorded for a request that got no answer; a caller that left in the middle
// of a stream that had begun pays for what it got.
func (s *Server) bill(ctx context.Context, e *exchange, request *dispatch.Request, result *dispatch.Result, begun bool) {
	if result.Answer == nil && !(result.CallerGone && begun) {
		return
	}
	bill := billing.Bill{
		RequestID: request.ID,
		Account:   request.Account,
		Model:     result.Ref.Model,
		Version:   result.Ref.Version,
		Outcome:   outcome.Ran().String(),
		Key:       s.billKey(e),
	}
	for _, use := range result.Uses {
		version := e.policy.Models[use.Ref.Model].Versions[use.Ref.Version]
		bill.PromptTokens += use.PromptTokens
		bill.AnswerTokens += use.AnswerTokens
		bill.CostMicro += version.PromptCost*float64(use.PromptTokens) + version.AnswerCost*float64(use.AnswerTokens)
	}
	if err := e.reservation.Bill(ctx, bill); err != nil {
		s.Telemetry.BillRefused(e.id, err)
		return
	}
	s.Telemetry.Billed(result.Ref, bill.CostMicro)
}

// billKey returns what makes the bill unique: the caller's idempotency key,
// or a number of this instance's own, because callers may reuse request IDs.
func (s *Server) billKey(e *exchange) string {
	if key := e.echo.Request().Header.Get(HeaderIdempotency); key != "" {
		return string(e.account) + "/k/" + key
	}
	return string(s.Instance) + "/" + strconv.FormatUint(s.attempts.Add(1), 36)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// models serves GET /v1/models with the models that the account may use.
func (s *Server) models(c echo.Context) error {
	e, trouble := s.open(c, &outcome.Attempt{})
	if trouble != nil {
		return s.refuse(c, trouble)
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, grant := range e.policy.Accounts[e.account].Allow {
		list.Data = append(list.Data, modelItem{ID: string(grant.Model), Object: "model"})
	}
	return c.JSON(http.StatusOK, list)
}
