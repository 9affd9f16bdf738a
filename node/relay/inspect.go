package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/policy/admission"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// PoolQuery returns the description of the request for the pool, as for its first attempt. The
// request needs an ID and a prompt, but no body.
func (q *Query) PoolQuery(bodyBytes int) pool.Query {
	described := q.forPool()
	described.Key = xxhash.Sum64String(q.Request.ID)
	described.Bytes = bodyBytes + q.Request.answerBytes()
	return described
}

// FleetRequest returns the description of the request for admission, without a key.
func (q *Query) FleetRequest(firstEvent time.Duration) admission.FleetRequest {
	rt, remaining := q.Permission.Route, q.Permission.Route.Timeout
	if q.Request.Timeout > 0 {
		remaining = min(remaining, q.Request.Timeout)
	}
	return admission.FleetRequest{
		Service: string(q.Service), Account: string(q.Permission.Account), Rank: q.Permission.rank(),
		Timeout: rt.Timeout, Remaining: remaining, Objective: rt.TargetLatency, FirstEvent: firstEvent,
	}
}

// Preferences returns the filters on versions of a first attempt, in the order in which to try them.
func (c Choice) Preferences() []func(version string) bool { return c.preferences("") }

// SmallestModel returns the model that the request starts with at the latest, empty if the client
// names it.
func (q *Query) SmallestModel() route.ModelName {
	if models := q.Permission.Route.Models; q.Request.AnyModel && len(models) > 0 {
		return models[0]
	}
	return ""
}
