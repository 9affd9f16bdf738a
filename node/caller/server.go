// Package caller serves the callers' API: it authenticates, checks and bounds
// requests, hands them on, and writes answers and refusals.
package caller

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/wigeonusher/wigeonusher/coord/outcome"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/dispatch"
	"github.com/wigeonusher/wigeonusher/node/settings"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/wire/engine"
	"github.com/wigeonusher/wigeonusher/wire/problem"
)

// Headers of the callers' API.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderSession      = "Session-Id"
	HeaderSessionToken = "Session-Token"
	HeaderTaskClass    = "Task-Class"
	HeaderDeadline     = "Deadline-Ms"
	HeaderIdempotency  = "Idempotency-Key"
	HeaderModel        = "Wigeonusher-Model"
	HeaderInstance     = "Wigeonusher-Instance"
)

// Policies gives the policy in force.
type Policies interface {
	Policy() *document.Policy
}

// Biller books answered requests.
type Biller interface {
	// Bill books a request before its last byte goes out.
	Bill(bill Bill) error
}

// Bill is what one request cost.
type Bill struct {
	RequestID    string             `json:"request_id"`
	Account      document.AccountID `json:"account"`
	Model        string             `json:"model"`
	Version      string             `json:"version"`
	PromptTokens int                `json:"prompt_tokens"`
	AnswerTokens int                `json:"answer_tokens"`
	CostMicro    float64            `json:"cost_micro"`
	Outcome      string             `json:"outcome"`
	// Key makes the booking unique: the same key is booked once.
	Key string `json:"-"`
}

// Server is the callers' API of one instance.
type Server struct {
	Instance   platform.InstanceID
	Limits     settings.Limits
	Policies   Policies
	Dispatcher *dispatch.Dispatcher
	Engines    *engine.Client
	Endpoints  dispatch.Endpoints
	Biller     Biller

	requests atomic.Uint64
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	router := echo.New()
	router.HideBanner = true
	router.HTTPErrorHandler = s.handleError
	router.POST("/v1/chat/completions", s.chat)
	router.GET("/v1/models", s.models)
	router.Any("/services/:service/*", s.service)
	return router
}

// exchange is one request of a caller and the way back to it.
type exchange struct {
	echo     echo.Context
	id       string
	policy   *document.Policy
	account  document.AccountID
	body     []byte
	deadline time.Time
	attempt  *outcome.Attempt
}

// open authenticates a request and reads its body.
func (s *Server) open(c echo.Context) (*exchange, *problem.Problem) {
	e := &exchange{echo: c, policy: s.Policies.Policy(), attempt: &outcome.Attempt{}}
	e.id = s.requestID(c.Request())
	header := c.Response().Header()
	header.Set(HeaderRequestID, e.id)
	header.Set(HeaderInstance, string(s.Instance))
	if e.policy == nil {
		return nil, problem.New(problem.NotReady, http.StatusServiceUnavailable, "no configuration yet", e.attempt).After(time.Second)
	}
	key, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
	if ok {
		e.account, ok = e.policy.AccountForKey(key)
	}
	if !ok {
		return nil, problem.New(problem.Unauthenticated, http.StatusUnauthorized, "unknown API key", e.attempt)
	}
	trouble := s.readBody(e)
	return e, trouble
}

func (s *Server) readBody(e *exchange) *problem.Problem {
	request := e.echo.Request()
	body, err := io.ReadAll(http.MaxBytesReader(e.echo.Response(), request.Body, s.Limits.BodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return problem.New(problem.TooLarge, http.StatusRequestEntityTooLarge, "body exceeds "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes", e.attempt)
	}
	if err != nil {
		return problem.New(problem.Malformed, http.StatusBadRequest, "body could not be read", e.attempt)
	}
	e.body = body
	return nil
}

// requestID returns the caller's ID for the request, or a new one.
func (s *Server) requestID(request *http.Request) string {
	const maxIDBytes = 128
	id := request.Header.Get(HeaderRequestID)
	if id != "" && len(id) <= maxIDBytes {
		return id
	}
	return string(s.Instance) + "-r" + strconv.FormatUint(s.requests.Add(1), 36)
}

// deadlineOf returns the request's deadline.
func deadlineOf(request *http.Request, fallback time.Duration) time.Time {
	millis, err := strconv.ParseInt(request.Header.Get(HeaderDeadline), 10, 64)
	if err != nil || millis <= 0 {
		return time.Now().Add(fallback)
	}
	return time.Now().Add(time.Duration(millis) * time.Millisecond)
}

func (s *Server) refuse(c echo.Context, trouble *problem.Problem) error {
	trouble.RequestID = c.Response().Header().Get(HeaderRequestID)
	trouble.Write(c.Response())
	return nil
}

// handleError answers what the router itself refuses.
func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status := http.StatusInternalServerError
	var wrong *echo.HTTPError
	if errors.As(err, &wrong) {
		status = wrong.Code
	}
	kind := problem.Malformed
	if status == http.StatusNotFound {
		kind = problem.NotFound
	}
	_ = s.refuse(c, problem.New(kind, status, http.StatusText(status), &outcome.Attempt{}))
}
