package relay

import (
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/policy/route"
	"github.com/wigeonusher/wigeonusher/policy/sizes"
)

// firstModel is the model to ask first.
func (r *run) firstModel(models []route.ModelName) route.ModelName {
	plan := r.sizes(models)
	plan.Retries -= escalationReserve
	if found := r.permission.route; found.MaxAttempts < 2 || !found.Repeatable() {
		plan.Retries = 0
	}
	return models[sizes.First(plan)]
}

// sizes describes the models of the route for this request, now.
func (r *run) sizes(models []route.ModelName) sizes.Request {
	described := sizes.Request{
		Target:  r.permission.route.TargetLatency,
		Elapsed: time.Since(r.request.Received),
		Retries: r.budget.Available(time.Now()),
	}
	endpoints := r.relay.Pools.Service(r.service)
	for _, model := range models {
		described.Models = append(described.Models, sizes.Model{FirstEvent: endpoints.FirstEvent(model, r.request.PromptTokens)})
	}
	return described
}

// choose picks an endpoint: of the versions meant for the request, else of any
// version that is not known to be bad, and one that the request has met only if
// there is no other.
func (r *run) choose() (*pool.Lease, bool) {
	query := pool.Query{
		Model:     r.model,
		Affinity:  r.request.affinity(),
		Tokens:    r.request.PromptTokens,
		GapTarget: r.permission.route.TargetGap,
	}
	endpoints := r.relay.Pools.Service(r.service)
	now := time.Now()
	versions := []func(string) bool{r.versions.Meant, r.versions.Allowed}
	if r.version != "" {
		versions = append([]func(string) bool{r.sameVersion}, versions...)
	}
	for _, avoid := range [][]platform.EndpointID{r.avoid, nil} {
		for _, allowed := range versions {
			query.Avoid, query.Version = avoid, allowed
			if lease, ok := endpoints.Choose(now, query); ok {
				return lease, true
			}
		}
	}
	return nil, false
}

// sameVersion reports whether a version is the one that the request began on,
// if that may still run it.
func (r *run) sameVersion(version string) bool {
	return version == r.version && (r.versions.Allowed == nil || r.versions.Allowed(version))
}

// pay takes what another arrival costs from the retry budget. A stream that
// the client has a part of may use its reserve.
func (r *run) pay() bool {
	if r.arrivals >= maxArrivals {
		return false
	}
	if r.begun {
		return r.budget.WithdrawUrgent(time.Now())
	}
	return r.budget.Withdraw(time.Now())
}

// notePressure tells how late a stream was that a choice of models was made
// for. Long prompts are late at any load, so they do not count.
func (r *run) notePressure(a *attempt) {
	found := r.permission.route
	if !r.request.AnyModel || found.TargetLatency <= 0 || a.lease.Long {
		return
	}
	first := a.started.Sub(r.request.Received) + a.firstEvent
	r.relay.pressures.add(r.service, first > found.TargetLatency || a.longestGap > found.TargetGap)
}

// larger reports whether the route has a larger model than the one.
func larger(models []route.ModelName, model route.ModelName) bool {
	at := slices.Index(models, model)
	return at >= 0 && at < len(models)-1
}
