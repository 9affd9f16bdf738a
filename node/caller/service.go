package caller

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/wigeonusher/wigeonusher/coord/outcome"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/memory"
	"github.com/wigeonusher/wigeonusher/node/random"
	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/gate"
	"github.com/wigeonusher/wigeonusher/policy/placement"
	"github.com/wigeonusher/wigeonusher/policy/route"
	"github.com/wigeonusher/wigeonusher/wire/engine"
	"github.com/wigeonusher/wigeonusher/wire/problem"
)

const contentType = "Content-Type"

// serviceCall is one call to a plain service. It implements [relay.EndpointPicker],
// [relay.Endpoints] and [relay.Budgets].
type serviceCall struct {
	*exchange
	service  document.ServiceName
	pool     platform.PoolName
	slots    int
	path     string
	deadline time.Time
	budget   accountPoolBudget
	// runAtMostOnce reports that the call must run at most once. The field fencing
	// is the fencing number of such a call, and 0 for other calls.
	runAtMostOnce bool
	fencing       uint64
}

// service serves calls to plain services.
func (s *Server) service(c echo.Context) error {
	e, prob := s.openExchange(c, notRun())
	if prob != nil {
		return s.refuse(c, prob)
	}
	call, prob := s.newServiceCall(e)
	if prob != nil {
		return s.refuse(c, prob)
	}
	call.runAtMostOnce = call.atMostOnce()
	if call.runAtMostOnce {
		return s.serveAtMostOnce(c.Request().Context(), call)
	}
	writer := &serviceWriter{}
	call.run(c.Request().Context(), writer)
	return writer.finish(call)
}

func (s *Server) newServiceCall(e *exchange) (*serviceCall, *problem.Problem) {
	name := document.ServiceName(e.echo.Param("service"))
	if err := gate.CheckService(s.Policies.Policy(), e.account, name); err != nil {
		return nil, gateProblem(err)
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
		return nil, problem.New(problem.NoEndpoint, http.StatusServiceUnavailable, noEndpointDetail, notRun()).WithRetryAfter(retryAfter)
	}
	call.pool = pools[0]
	call.slots = e.policy.Pools[call.pool].Slots
	call.budget = accountPoolBudget{account: s.Budgets.Account(call.account), pool: s.Budgets.Pool(call.pool)}
	return call, nil
}

const noEndpointDetail = "no endpoint runs the service"

// atMostOnce reports whether the call must not be repeated. The first matching
// rule of the service decides; without one, all methods but GET and HEAD run at
// most once.
func (c *serviceCall) atMostOnce() bool {
	method := c.echo.Request().Method
	for _, rule := range c.policy.Services[c.service].Rules {
		if rule.Method == method && strings.HasPrefix(c.path, rule.PathPrefix) {
			return rule.AtMostOnce
		}
	}
	return method != http.MethodGet && method != http.MethodHead
}

// idempotencyKey returns the caller's idempotency key, or the empty string if the
// request has none.
func (c *serviceCall) idempotencyKey() string {
	return c.echo.Request().Header.Get(HeaderIdempotency)
}

// run serves the call through the relay.
func (c *serviceCall) run(ctx context.Context, client relay.Client) {
	core := relay.New(relay.Config{
		Gate:      fixedGate(c.permission()),
		Planner:   relay.FixedModel{},
		Picker:    c,
		Endpoints: c,
		Budgets:   c,
		Observer:  attemptLog{c.server.Telemetry, c.server.Stop},
		Stop:      c.server.Stop,
	})
	core.Serve(ctx, &relay.Request{
		ID:       c.id,
		Method:   c.echo.Request().Method,
		Target:   c.path,
		Body:     memory.NewBody(c.body),
		Received: time.Now(),
		Timeout:  time.Until(c.deadline),
	}, client)
}

func (c *serviceCall) permission() relay.Permission {
	kind := route.Idempotent
	if c.runAtMostOnce {
		kind = route.AtMostOnce
	}
	return relay.Permission{
		Account:  route.AccountName(c.account),
		Revision: int64(c.policy.Revision),
		Route: &route.Route{
			Name:        string(c.service),
			Kind:        kind,
			Timeout:     time.Until(c.deadline),
			MaxAttempts: maxDispatches,
			Split:       []route.Share{{Service: route.ServiceName(c.service), Weight: 1}},
		},
	}
}

// Budget implements [relay.Budgets].
func (c *serviceCall) Budget(route.ServiceName) relay.Budget { return c.budget }

// Pick implements [relay.EndpointPicker]. It checks each dispatch against the
// policy that is then in force.
func (c *serviceCall) Pick(_ context.Context, query *relay.Query) (relay.Lease, *relay.Refusal) {
	if err := gate.CheckService(c.server.Policies.Policy(), c.account, c.service); err != nil {
		return nil, &relay.Refusal{Reason: relay.NotAllowed, Cause: gateProblem(err)}
	}
	now := time.Now()
	var candidates []placement.Candidate
	for _, endpoint := range c.server.Endpoints.Usable(c.pool) {
		if c.server.Endpoints.MayDispatch(endpoint.ID) {
			candidates = append(candidates, c.server.Endpoints.Candidate(now, endpoint, c.slots, nil))
		}
	}
	picked, err := c.server.Scheduler.Pick(random.Global{}, placement.Request{Zone: c.server.Zone, Avoid: query.Avoid}, candidates)
	if err != nil {
		cause := problem.New(problem.NoEndpoint, http.StatusServiceUnavailable, noEndpointDetail, notRun()).WithRetryAfter(retryAfter)
		return nil, &relay.Refusal{Reason: relay.NoEndpoint, RetryAfter: retryAfter, Cause: cause}
	}
	c.server.Endpoints.RecordDispatch(now, picked.ID, nil)
	return &serviceLease{call: c, candidate: picked, started: now}, nil
}

// Send implements [relay.Endpoints].
func (c *serviceCall) Send(ctx context.Context, call *relay.Call, deadline time.Time) (*relay.Answer, error) {
	request := c.echo.Request()
	var sent outcome.Attempt
	answer, err := c.server.Services.Service(ctx, engine.ServiceCall{
		Address:        call.Address,
		Method:         request.Method,
		PathAndQuery:   c.path,
		ContentType:    request.Header.Get(contentType),
		Body:           c.body,
		RequestID:      c.id,
		AttemptID:      c.server.attemptID(),
		IdempotencyKey: c.idempotencyKey(),
		Fencing:        c.fencing,
		Timeout:        time.Until(deadline),
		NewConnection:  c.runAtMostOnce,
	}, &sent)
	if err != nil {
		return classifySendError(&sent, err)
	}
	return &relay.Answer{
		Status:    answer.Status,
		Header:    http.Header{contentType: {answer.ContentType}},
		Authentic: true,
		Body:      &bufferedBody{Reader: bytes.NewReader(answer.Body)},
	}, nil
}

// bufferedBody is a body that has been read completely.
type bufferedBody struct {
	*bytes.Reader
	emptyBody
}

// Read implements [relay.Body].
func (b *bufferedBody) Read(p []byte) (int, error) { return b.Reader.Read(p) }
