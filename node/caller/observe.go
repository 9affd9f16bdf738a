package caller

import (
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/wigeonusher/wigeonusher/coord/outcome"
	"github.com/wigeonusher/wigeonusher/node/telemetry"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/wire/problem"
)

// observationKey is the key of a request's observation in its echo context.
const observationKey = "observed"

// observation collects the data about a request that telemetry reports.
type observation struct {
	started    time.Time
	firstFrame time.Duration
	ref        document.Ref
	exchange   *exchange
	problem    *problem.Problem
}

// recordFirstFrame records the time from the start of the request to the start of
// the answer to the caller, and the version that answers.
func (o *observation) recordFirstFrame(ref document.Ref) {
	o.ref = ref
	o.firstFrame = time.Since(o.started)
}

// observationOf returns the observation of a request. If the request has none, it
// returns a new observation, which is never reported.
func observationOf(c echo.Context) *observation {
	if obs, ok := c.Get(observationKey).(*observation); ok {
		return obs
	}
	return &observation{started: time.Now()}
}

// observe is the middleware that reports each request to telemetry.
func (s *Server) observe(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		obs := &observation{started: time.Now()}
		c.Set(observationKey, obs)
		err := next(c)
		if err != nil {
			c.Error(err)
		}
		s.Telemetry.RecordRequest(obs.request(c))
		return nil
	}
}

func (o *observation) request(c echo.Context) telemetry.Request {
	done := telemetry.Request{
		Path:       pathOf(c.Path()),
		Ref:        o.ref,
		Status:     c.Response().Status,
		Outcome:    outcome.Ran().String(),
		Took:       time.Since(o.started),
		FirstFrame: o.firstFrame,
	}
	if o.exchange != nil {
		done.ID = o.exchange.id
		done.Account = o.exchange.account
		if o.exchange.policy != nil {
			done.Revision = o.exchange.policy.Revision
		}
	}
	if o.problem != nil {
		done.Problem = string(o.problem.Type)
		done.Outcome = o.problem.Outcome
	}
	return done
}

func pathOf(route string) telemetry.Path {
	switch {
	case route == "/v1/chat/completions":
		return telemetry.PathChat
	case strings.HasPrefix(route, "/services/"):
		return telemetry.PathService
	default:
		return telemetry.PathOther
	}
}
