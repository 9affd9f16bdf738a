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

// observedKey is where a request's observation is kept in its context.
const observedKey = "observed"

// observed gathers what the telemetry tells of a request.
type observed struct {
	started    time.Time
	firstFrame time.Duration
	ref        document.Ref
	exchange   *exchange
	trouble    *problem.Problem
}

// frame notes the first frame that goes to the caller.
func (o *observed) frame(ref document.Ref) {
	o.ref = ref
	o.firstFrame = time.Since(o.started)
}

func observedOf(c echo.Context) *observed {
	if seen, ok := c.Get(observedKey).(*observed); ok {
		return seen
	}
	return &observed{started: time.Now()}
}

// observe is the middleware that counts and logs requests.
func (s *Server) observe(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		seen := &observed{started: time.Now()}
		c.Set(observedKey, seen)
		err := next(c)
		if err != nil {
			c.Error(err)
		}
		s.Telemetry.Done(seen.request(c))
		return nil
	}
}

func (o *observed) request(c echo.Context) telemetry.Request {
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
	if o.trouble != nil {
		done.Problem = string(o.trouble.Type)
		done.Outcome = o.trouble.Outcome
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
