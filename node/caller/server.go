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
	"github.com/wigeonusher/wigeonusher/node/billing"
	"github.com/wigeonusher/wigeonusher/node/stop"
	"github.com/wigeonusher/wigeonusher/node/telemetry"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/placement"
	"github.com/wigeonusher/wigeonusher/wire/problem"
)

// Headers of the callers' API.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderSession      = "Session-Id"
	HeaderSessionToken = "Session-Token"
	HeaderTaskClass    = "Task-Class"
	HeaderDeadline     = "Deadline-Ms"
	HeaderPriority     = "Priority"
	HeaderIdempotency  = "Idempotency-Key"
	HeaderModel        = "Wigeonusher-Model"
	HeaderInstance     = "Wigeonusher-Instance"
	HeaderDegraded     = "Wigeonusher-Degraded"
	HeaderReplayed     = "Wigeonusher-Replayed"
)

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 256

// retryAfter is the delay before a retry that a refusal suggests if nothing more
// precise is known.
const retryAfter = time.Second

// Config lists the settings and the dependencies of a server.
type Config struct {
	Instance   platform.InstanceID
	Zone       platform.Zone
	BodyBytes  int64
	Policies   Policies
	Endpoints  Endpoints
	Pools      Pools
	Engines    Engines
	Services   Services
	Suspects   Suspects
	Planner    Planner
	Exposures  Exposures
	Owners     Owners
	Biller     Biller
	Sessions   Sessions
	Limits     Limits
	AtMostOnce AtMostOnce
	Budgets    Budgets
	Scheduler  *placement.Scheduler
	Telemetry  *telemetry.Telemetry
	// Stop decides what is still run while the instance stops; nil for one that never does.
	Stop *stop.Stop
}

// Server serves the callers' API of one instance.
type Server struct {
	Config
	speeds   *speeds
	requests atomic.Uint64
	attempts atomic.Uint64
}

// New returns a server.
func New(config Config) *Server {
	if config.Stop == nil {
		config.Stop = stop.New()
	}
	return &Server{Config: config, speeds: newSpeeds()}
}

// attemptID returns a new ID for one dispatch.
func (s *Server) attemptID() string {
	return string(s.Instance) + "-" + strconv.FormatUint(s.attempts.Add(1), 36)
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	router := echo.New()
	router.HideBanner = true
	router.HTTPErrorHandler = s.handleError
	router.Use(s.observe)
	router.POST("/v1/chat/completions", s.chat)
	router.GET("/v1/models", s.models)
	router.Any("/services/:service/*", s.service)
	return router
}

// exchange is one request of a caller with its response.
type exchange struct {
	server  *Server
	echo    echo.Context
	id      string
	policy  *document.Policy
	account document.AccountID
	body    []byte
	attempt *outcome.Attempt
	// reservation is the room reserved for the bill of a chat request.
	reservation *billing.Reservation
}

// openExchange authenticates a request, counts it against its account's limit and
// reads its body.
func (s *Server) openExchange(c echo.Context, attempt *outcome.Attempt) (*exchange, *problem.Problem) {
	e := &exchange{server: s, echo: c, policy: s.Policies.Policy(), attempt: attempt}
	e.id = s.requestID(c.Request())
	obs := observationOf(c)
	obs.exchange = e
	header := c.Response().Header()
	header.Set(HeaderRequestID, e.id)
	header.Set(HeaderInstance, string(s.Instance))
	if e.policy == nil {
		return nil, problem.New(problem.NotReady, http.StatusServiceUnavailable, "no configuration yet", attempt).WithRetryAfter(retryAfter)
	}
	if !e.authenticate() {
		return nil, problem.New(problem.Unauthenticated, http.StatusUnauthorized, "unknown API key", attempt)
	}
	if len(c.Request().Header.Get(HeaderIdempotency)) > maxKeyBytes {
		return nil, problem.New(problem.Malformed, http.StatusBadRequest, "idempotency key too long", attempt)
	}
	if ok, wait := s.Limits.Allow(e.account); !ok {
		return nil, problem.New(problem.AccountLimit, http.StatusTooManyRequests, "account limit reached", attempt).WithRetryAfter(wait)
	}
	if prob := s.readBody(e); prob != nil {
		return nil, prob
	}
	return e, nil
}

func (e *exchange) authenticate() bool {
	key, ok := strings.CutPrefix(e.echo.Request().Header.Get("Authorization"), "Bearer ")
	if !ok {
		return false
	}
	e.account, ok = e.policy.AccountForKey(key)
	return ok
}

func (s *Server) readBody(e *exchange) *problem.Problem {
	request := e.echo.Request()
	body, err := io.ReadAll(http.MaxBytesReader(e.echo.Response(), request.Body, s.BodyBytes))
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

// requestID returns the caller's ID for the request, or a new one if the caller's is
// missing or too long.
func (s *Server) requestID(request *http.Request) string {
	const maxIDBytes = 128
	id := request.Header.Get(HeaderRequestID)
	if id != "" && len(id) <= maxIDBytes {
		return id
	}
	return string(s.Instance) + "-r" + strconv.FormatUint(s.requests.Add(1), 36)
}

// deadlineOf returns the request's deadline. The parameter fallback is the time limit
// of a request without a valid deadline header.
func deadlineOf(request *http.Request, fallback time.Duration) time.Time {
	millis, err := strconv.ParseInt(request.Header.Get(HeaderDeadline), 10, 32)
	if err != nil || millis <= 0 {
		return time.Now().Add(fallback)
	}
	return time.Now().Add(time.Duration(millis) * time.Millisecond)
}

// refuse writes a problem as the response.
func (s *Server) refuse(c echo.Context, prob *problem.Problem) error {
	observationOf(c).problem = prob
	prob.RequestID = c.Response().Header().Get(HeaderRequestID)
	prob.Write(c.Response())
	return nil
}

// handleError answers requests for which the router or a handler returned an
// error.
func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status := http.StatusInternalServerError
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		status = httpError.Code
	}
	kind := problem.Malformed
	if status == http.StatusNotFound {
		kind = problem.NotFound
	}
	_ = s.refuse(c, problem.New(kind, status, http.StatusText(status), &outcome.Attempt{}))
}
