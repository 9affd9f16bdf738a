package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/wigeonusher/wigeonusher/node/dispatch"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/wire/openai"
	"github.com/wigeonusher/wigeonusher/wire/problem"
)

const defaultDeadline = 60 * time.Second

// chat serves POST /v1/chat/completions.
func (s *Server) chat(c echo.Context) error {
	e, trouble := s.open(c)
	if trouble != nil {
		return s.refuse(c, trouble)
	}
	request, trouble := s.chatRequest(e)
	if trouble != nil {
		return s.refuse(c, trouble)
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), request.Deadline)
	defer cancel()
	if request.Body.Stream {
		return s.streamed(ctx, e, request)
	}
	return s.whole(ctx, e, request)
}

func (s *Server) chatRequest(e *exchange) (*dispatch.Request, *problem.Problem) {
	body, err := openai.Parse(e.body)
	if err != nil {
		return nil, problem.New(problem.Malformed, http.StatusBadRequest, err.Error(), e.attempt)
	}
	header := e.echo.Request().Header
	class := document.TaskClass(header.Get(HeaderTaskClass))
	if _, known := e.policy.Routing.Classes[class]; !known {
		class = e.policy.Routing.DefaultClass
	}
	fallback := defaultDeadline
	if rule, ok := e.policy.Routing.Classes[class]; ok {
		fallback = time.Duration(rule.DeadlineMillis) * time.Millisecond
	}
	request := &dispatch.Request{
		ID:       e.id,
		Account:  e.account,
		Class:    class,
		Body:     body,
		Prompt:   body.Prompt(),
		Pins:     stablePins(e.policy),
		Deadline: deadlineOf(e.echo.Request(), fallback),
	}
	s.applyModel(request, body.Model)
	return request, nil
}

// applyModel reads "auto", "model" or "model@version".
func (s *Server) applyModel(request *dispatch.Request, asked string) {
	if asked == openai.ModelAuto {
		return
	}
	model, version, exact := strings.Cut(asked, "@")
	request.Model = document.ModelName(model)
	if exact {
		request.Pins[request.Model] = document.VersionName(version)
	}
}

func stablePins(policy *document.Policy) map[document.ModelName]document.VersionName {
	pins := make(map[document.ModelName]document.VersionName, len(policy.Models))
	for name, model := range policy.Models {
		pins[name] = model.Stable
	}
	return pins
}

type discard struct{}

func (discard) Frame(document.Ref, *openai.Chunk) error { return nil }

func (s *Server) whole(ctx context.Context, e *exchange, request *dispatch.Request) error {
	result, trouble := s.Dispatcher.Run(ctx, request, discard{})
	s.bill(e, request, result)
	if trouble != nil {
		return s.refuse(e.echo, trouble)
	}
	body, err := result.Answer.Whole(e.id, result.Ref.String())
	if err != nil {
		return err
	}
	e.echo.Response().Header().Set(HeaderModel, result.Ref.String())
	return e.echo.JSONBlob(http.StatusOK, body)
}

// sseSink writes frames to the caller as server-sent events.
type sseSink struct {
	exchange *exchange
	started  bool
}

// Frame implements dispatch.Sink.
func (s *sseSink) Frame(ref document.Ref, chunk *openai.Chunk) error {
	response := s.exchange.echo.Response()
	if !s.started {
		s.started = true
		header := response.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-store")
		header.Set(HeaderModel, ref.String())
		response.WriteHeader(http.StatusOK)
	}
	chunk.ID = s.exchange.id
	chunk.Model = ref.String()
	return s.event(chunk)
}

func (s *sseSink) event(message any) error {
	encoded, err := json.Marshal(message)
	if err != nil {
		return err
	}
	return s.raw(encoded)
}

func (s *sseSink) raw(data []byte) error {
	response := s.exchange.echo.Response()
	frame := make([]byte, 0, len(data)+len("data: \n\n"))
	frame = append(frame, "data: "...)
	frame = append(frame, data...)
	frame = append(frame, "\n\n"...)
	if _, err := response.Write(frame); err != nil {
		return err
	}
	response.Flush()
	return nil
}

type streamError struct {
	Error *problem.Problem `json:"error"`
}

func (s *Server) streamed(ctx context.Context, e *exchange, request *dispatch.Request) error {
	sink := &sseSink{exchange: e}
	result, trouble := s.Dispatcher.Run(ctx, request, sink)
	s.bill(e, request, result)
	if trouble == nil {
		return sink.raw([]byte("[DONE]"))
	}
	if !sink.started {
		return s.refuse(e.echo, trouble)
	}
	trouble.RequestID = e.id
	return sink.event(streamError{trouble})
}

// bill books what the request used. Nothing is booked for a request that no
// endpoint worked on.
func (s *Server) bill(e *exchange, request *dispatch.Request, result *dispatch.Result) {
	if len(result.Uses) == 0 {
		return
	}
	bill := Bill{
		RequestID: request.ID,
		Account:   request.Account,
		Model:     string(result.Ref.Model),
		Version:   string(result.Ref.Version),
		Outcome:   request.Attempt.Outcome().String(),
		Key:       billKey(e),
	}
	for _, use := range result.Uses {
		version := e.policy.Models[use.Ref.Model].Versions[use.Ref.Version]
		bill.PromptTokens += use.PromptTokens
		bill.AnswerTokens += use.AnswerTokens
		bill.CostMicro += version.PromptCost*float64(use.PromptTokens) + version.AnswerCost*float64(use.AnswerTokens)
	}
	_ = s.Biller.Bill(bill)
}

// billKey returns what makes the booking unique.
func billKey(e *exchange) string {
	if key := e.echo.Request().Header.Get(HeaderIdempotency); key != "" {
		return string(e.account) + "/k/" + key
	}
	return string(e.account) + "/r/" + e.id
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
	e, trouble := s.open(c)
	if trouble != nil {
		return s.refuse(c, trouble)
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, grant := range e.policy.Accounts[e.account].Allow {
		list.Data = append(list.Data, modelItem{ID: string(grant.Model), Object: "model"})
	}
	return c.JSON(http.StatusOK, list)
}
