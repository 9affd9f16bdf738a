package caller

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/gate"
	"github.com/wigeonusher/wigeonusher/wire/engine"
	"github.com/wigeonusher/wigeonusher/wire/problem"
)

// service serves calls to plain services.
func (s *Server) service(c echo.Context) error {
	e, trouble := s.open(c)
	if trouble != nil {
		return s.refuse(c, trouble)
	}
	name := document.ServiceName(c.Param("service"))
	if err := gate.CheckService(e.policy, e.account, name); err != nil {
		return s.refuse(c, problem.New(problem.NotAllowed, http.StatusForbidden, err.Error(), e.attempt))
	}
	var pools []platform.PoolName
	for pool, rule := range e.policy.Pools {
		if rule.Service == name {
			pools = append(pools, pool)
		}
	}
	usable := s.Endpoints.Usable(pools...)
	if len(usable) == 0 {
		return s.refuse(c, problem.New(problem.NoEndpoint, http.StatusServiceUnavailable, "no endpoint", e.attempt).After(time.Second))
	}
	request := c.Request()
	path := "/" + c.Param("*")
	if request.URL.RawQuery != "" {
		path += "?" + request.URL.RawQuery
	}
	call := engine.ServiceCall{
		Address:        usable[rand.IntN(len(usable))].Address,
		Method:         request.Method,
		PathAndQuery:   path,
		ContentType:    request.Header.Get("Content-Type"),
		Body:           e.body,
		RequestID:      e.id,
		IdempotencyKey: request.Header.Get(HeaderIdempotency),
		Timeout:        time.Duration(e.policy.Services[name].TimeoutMillis) * time.Millisecond,
		Fresh:          true,
	}
	answer, err := s.Engines.Service(request.Context(), call, e.attempt)
	if err != nil {
		return s.refuse(c, problem.New(problem.OutcomeUnknown, http.StatusBadGateway, err.Error(), e.attempt).After(time.Second))
	}
	return c.Blob(answer.Status, answer.ContentType, answer.Body)
}
