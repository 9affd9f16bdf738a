package caller

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/wigeonusher/wigeonusher/coord/outcome"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/coord/retry"
	"github.com/wigeonusher/wigeonusher/node/random"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/gate"
	"github.com/wigeonusher/wigeonusher/policy/placement"
	"github.com/wigeonusher/wigeonusher/wire/engine"
	"github.com/wigeonusher/wigeonusher/wire/problem"
)

// maxServiceTries bounds the dispatches of one call to a plain service.
const maxServiceTries = 3

// serviceCall is one call to a plain service.
type serviceCall struct {
	*exchange
	service  document.ServiceName
	pool     platform.PoolName
	slots    int
	path     string
	deadline time.Time
	avoid    []platform.EndpointID
}

// service serves calls to plain services.
func (s *Server) service(c echo.Context) error {
	e, trouble := s.open(c, &outcome.Attempt{})
	if trouble != nil {
		return s.refuse(c, trouble)
	}
	call, trouble := s.newServiceCall(e)
	if trouble != nil {
		return s.refuse(c, trouble)
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), call.deadline)
	defer cancel()
	if call.atMostOnce() {
		return s.serveOnce(ctx, call)
	}
	return s.serveRepeatable(ctx, call)
}

func (s *Server) newServiceCall(e *exchange) (*serviceCall, *problem.Problem) {
	name := document.ServiceName(e.echo.Param("service"))
	if trouble := s.checkService(e, name); trouble != nil {
		return nil, trouble
	}
	request := e.echo.Request()
	call := &serviceCall{exchange: e, service: name, path: "/" + e.echo.Param("*")}
	if request.URL.RawQuery != "" {
		call.path += "?" + request.URL.RawQuery
	}
	call.deadline = deadlineOf(request, time.Duration(e.policy.Services[name].TimeoutMillis)*time.Millisecond)
	var pools []platform.PoolName
	for pool, rule := range e.policy.Pools {
		if rule.Service == name {
			pools = append(pools, pool)
		}
	}
	slices.Sort(pools)
	if len(pools) == 0 {
		return nil, call.noEndpoint()
	}
	call.pool = pools[0]
	call.slots = e.policy.Pools[call.pool].Slots
	return call, nil
}

// checkService passes the gate with the policy in force now.
func (s *Server) checkService(e *exchange, name document.ServiceName) *problem.Problem {
	err := gate.CheckService(s.Policies.Policy(), e.account, name)
	var refusal *gate.Refusal
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refusal) && refusal.Reason == gate.UnknownService:
		return problem.New(problem.UnknownService, http.StatusNotFound, "unknown service", e.attempt)
	default:
		return problem.New(problem.NotAllowed, http.StatusForbidden, "service not allowed", e.attempt)
	}
}

func (c *serviceCall) noEndpoint() *problem.Problem {
	return problem.New(problem.NoEndpoint, http.StatusServiceUnavailable, "no endpoint runs the service", c.attempt).After(retryAfter)
}

// atMostOnce reports whether the call may not be repeated: by the first rule
// that matches, or by its method.
func (c *serviceCall) atMostOnce() bool {
	method := c.echo.Request().Method
	for _, rule := range c.policy.Services[c.service].Rules {
		if rule.Method == method && strings.HasPrefix(c.path, rule.PathPrefix) {
			return rule.AtMostOnce
		}
	}
	return method != http.MethodGet && method != http.MethodHead
}

// idempotencyKey returns the caller's key.
func (c *serviceCall) idempotencyKey() string {
	return c.echo.Request().Header.Get(HeaderIdempotency)
}

// dispatch sends the call to one endpoint. sent tells whether a byte may have
// left.
func (s *Server) dispatch(ctx context.Context, call *serviceCall, fencing uint64, fresh bool, sent engine.Departure) (*engine.ServiceAnswer, error) {
	if trouble := s.checkService(call.exchange, call.service); trouble != nil {
		return nil, trouble
	}
	endpoint, err := s.placeService(call)
	if err != nil {
		return nil, err
	}
	request := call.echo.Request()
	started := time.Now()
	s.Endpoints.Dispatched(started, endpoint.ID, nil)
	answer, err := s.Services.Service(ctx, engine.ServiceCall{
		Address:        endpoint.Address,
		Method:         request.Method,
		PathAndQuery:   call.path,
		ContentType:    request.Header.Get("Content-Type"),
		Body:           call.body,
		RequestID:      call.id,
		AttemptID:      string(s.Instance) + "-s" + strconv.FormatUint(s.attempts.Add(1), 36),
		IdempotencyKey: call.idempotencyKey(),
		Fencing:        fencing,
		Timeout:        time.Until(call.deadline),
		Fresh:          fresh,
	}, sent)
	refused := errors.Is(err, engine.ErrRefused)
	s.Endpoints.Finished(time.Now(), endpoint.ID, time.Since(started), err != nil && !refused)
	if refused {
		s.Endpoints.Refused(platform.ListedEndpoint{ID: endpoint.ID, Address: endpoint.Address})
	}
	if err != nil {
		call.avoid = append(call.avoid, endpoint.ID)
	}
	return answer, err
}

func (s *Server) placeService(call *serviceCall) (placement.Candidate, error) {
	now := time.Now()
	var candidates []placement.Candidate
	for _, endpoint := range s.Endpoints.Usable(call.pool) {
		if s.Endpoints.MayDispatch(endpoint.ID) {
			candidates = append(candidates, s.Endpoints.Candidate(now, endpoint, call.slots, nil))
		}
	}
	picked, err := s.Scheduler.Pick(random.Global{}, placement.Request{Zone: s.Zone, Avoid: call.avoid}, candidates)
	if err != nil {
		return placement.Candidate{}, call.noEndpoint()
	}
	return picked, nil
}

// serveRepeatable dispatches a call that may be repeated, again if need be.
func (s *Server) serveRepeatable(ctx context.Context, call *serviceCall) error {
	accountBudget, poolBudget := s.Budgets.Account(call.account), s.Budgets.Pool(call.pool)
	accountBudget.Deposit()
	poolBudget.Deposit()
	for number := 1; ; number++ {
		var sent outcome.Attempt
		answer, err := s.dispatch(ctx, call, 0, false, &sent)
		refused := errors.Is(err, engine.ErrRefused)
		if sent.Departed() && !refused {
			call.attempt.Depart()
		}
		if err == nil {
			return call.echo.Blob(answer.Status, answer.ContentType, answer.Body)
		}
		var trouble *problem.Problem
		if errors.As(err, &trouble) {
			return s.refuse(call.echo, trouble)
		}
		mayRetry := number < maxServiceTries && ctx.Err() == nil
		if !mayRetry || (!refused && !retry.WithdrawAll(time.Now(), accountBudget, poolBudget)) {
			return s.refuse(call.echo, call.interrupted())
		}
	}
}

func (c *serviceCall) interrupted() *problem.Problem {
	if c.attempt.Outcome().IsNotRun() {
		return c.noEndpoint()
	}
	return problem.New(problem.OutcomeUnknown, http.StatusBadGateway, "no endpoint answered whole", c.attempt).After(retryAfter)
}
