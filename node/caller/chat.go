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
	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/node/sessions"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/session"
	"github.com/wigeonusher/wigeonusher/wire/openai"
	"github.com/wigeonusher/wigeonusher/wire/problem"
)

// defaultTimeout is the time limit of a request that sets no deadline and whose
// task class is not in the policy.
const defaultTimeout = 60 * time.Second

// chat serves POST /v1/chat/completions.
func (s *Server) chat(c echo.Context) error {
	e, prob := s.openExchange(c, notRun())
	if prob != nil {
		return s.refuse(c, prob)
	}
	request, prob := s.decode(e)
	if prob != nil {
		return s.refuse(c, prob)
	}
	e.reservation, prob = s.reserveBill(e)
	if prob != nil {
		return s.refuse(c, prob)
	}
	defer e.reservation.Close()
	ctx, cancel := context.WithDeadline(c.Request().Context(), request.deadline)
	defer cancel()
	if prob := s.resolvePins(ctx, e, request); prob != nil {
		return s.refuse(c, prob)
	}
	work, prob := s.newChatWork(request)
	if prob != nil {
		return s.refuse(c, prob)
	}
	return s.serveChat(ctx, e, work)
}

// serveChat runs the request and records its bill before it sends the last byte
// of the answer. The relay gets the request's context without the deadline of
// ctx, because it sets the deadline itself.
func (s *Server) serveChat(ctx context.Context, e *exchange, work *chatWork) error {
	writer := &chatWriter{exchange: e, plan: work.plan, streaming: work.request.body.Stream}
	work.run(e.echo.Request().Context(), writer)
	s.recordBill(ctx, e, work, writer)
	return writer.finish()
}

// reserveBill reserves room for the request's bill.
func (s *Server) reserveBill(e *exchange) (*billing.Reservation, *problem.Problem) {
	reservation, err := s.Biller.Reserve()
	if err != nil {
		return nil, problem.New(problem.LogUnavailable, http.StatusServiceUnavailable, "no further bill can be held", e.attempt).WithRetryAfter(retryAfter)
	}
	return reservation, nil
}

// decode parses the request's body and headers.
func (s *Server) decode(e *exchange) (*chatRequest, *problem.Problem) {
	body, err := openai.Parse(e.body)
	if err != nil {
		return nil, problem.New(problem.Malformed, http.StatusBadRequest, err.Error(), e.attempt)
	}
	header := e.echo.Request().Header
	request := &chatRequest{
		id:      e.id,
		account: e.account,
		class:   classOf(e.policy, header),
		body:    body,
		raw:     e.body,
		prompt:  body.Prompt(),
	}
	// A priority that is not a number counts as none.
	request.priority, _ = strconv.Atoi(header.Get(HeaderPriority))
	fallback := defaultTimeout
	if rule, ok := e.policy.Routing.Classes[request.class]; ok {
		fallback = time.Duration(rule.DeadlineMillis) * time.Millisecond
	}
	request.deadline = deadlineOf(e.echo.Request(), fallback)
	if body.Model != openai.ModelAuto {
		model, version, _ := strings.Cut(body.Model, "@")
		request.model = document.ModelName(model)
		request.version = document.VersionName(version)
	}
	return request, nil
}

// classOf returns the request's task class, or the default one if the class is
// missing or unknown.
func classOf(policy *document.Policy, header http.Header) document.TaskClass {
	class := document.TaskClass(header.Get(HeaderTaskClass))
	if _, known := policy.Routing.Classes[class]; known {
		return class
	}
	return policy.Routing.DefaultClass
}

// resolvePins looks up or creates the pin set that gives the request's versions.
// With a session, it also sets the session headers of the response.
func (s *Server) resolvePins(ctx context.Context, e *exchange, request *chatRequest) *problem.Problem {
	header := e.echo.Request().Header
	query := sessions.Query{
		Account: e.account,
		Session: session.ID(header.Get(HeaderSession)),
		Token:   header.Get(HeaderSessionToken),
		Models:  modelsOf(e.policy, request),
	}
	if query.Session == "" && query.Token == "" {
		found := s.Sessions.SingleRequest(query, e.id)
		request.pins, request.pinsCreated = found.Pins, found.Created
		return nil
	}
	if len(query.Session) > session.MaxNameBytes {
		return problem.New(problem.Malformed, http.StatusBadRequest, "session ID too long", e.attempt)
	}
	found, err := s.Sessions.Resolve(ctx, query)
	if err != nil {
		return problem.New(problem.Malformed, http.StatusBadRequest, err.Error(), e.attempt)
	}
	request.pins, request.pinsCreated = found.Pins, found.Created
	response := e.echo.Response().Header()
	response.Set(HeaderSession, string(found.Pins.Session))
	response.Set(HeaderSessionToken, s.Sessions.Token(found.Pins))
	return nil
}

// modelsOf returns the model that the request names, or those of its task class.
func modelsOf(policy *document.Policy, request *chatRequest) []document.ModelName {
	if request.model != "" {
		return []document.ModelName{request.model}
	}
	return policy.Routing.Classes[request.class].Models
}

// recordBill records the cost of the request. A request without an answer, or
// whose stream no endpoint could complete, is not billed; a caller that
// disconnects in the middle of a stream pays for the part that it received.
func (s *Server) recordBill(ctx context.Context, e *exchange, work *chatWork, writer *chatWriter) {
	if writer.head == nil || writer.end == relay.AnswerInterrupted {
		return
	}
	work.addPartialUsage()
	ref := writer.answeredBy()
	bill := billing.Bill{
		RequestID: work.request.id,
		Account:   work.request.account,
		Model:     ref.Model,
		Version:   ref.Version,
		Outcome:   outcome.Ran().String(),
		Key:       s.billKey(e),
	}
	for _, usage := range work.usage.answers {
		version := e.policy.Models[usage.ref.Model].Versions[usage.ref.Version]
		bill.PromptTokens += usage.promptTokens
		bill.AnswerTokens += usage.answerTokens
		bill.CostMicro += version.PromptCost*float64(usage.promptTokens) + version.AnswerCost*float64(usage.answerTokens)
	}
	if err := e.reservation.Bill(ctx, bill); err != nil {
		s.Telemetry.RecordRefusedBill(e.id, err)
		return
	}
	s.Telemetry.RecordBill(ref, bill.CostMicro)
}

// billKey returns the key that makes the bill unique: the caller's idempotency
// key, or else a number from this instance. Request IDs would not do, because
// callers may reuse them.
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
	e, prob := s.openExchange(c, &outcome.Attempt{})
	if prob != nil {
		return s.refuse(c, prob)
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, grant := range e.policy.Accounts[e.account].Allow {
		list.Data = append(list.Data, modelItem{ID: string(grant.Model), Object: "model"})
	}
	return c.JSON(http.StatusOK, list)
}
