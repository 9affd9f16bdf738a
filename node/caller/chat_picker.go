package caller

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/coord/retry"
	"github.com/wigeonusher/wigeonusher/coord/suspect"
	"github.com/wigeonusher/wigeonusher/node/admit"
	"github.com/wigeonusher/wigeonusher/node/random"
	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/policy/admission"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/gate"
	"github.com/wigeonusher/wigeonusher/policy/placement"
	"github.com/wigeonusher/wigeonusher/policy/route"
	"github.com/wigeonusher/wigeonusher/wire/problem"
)

const (
	// askThreshold is the occupancy of a pool, in [0, 1], from which on owners are
	// asked for a slot. maxAsks bounds the number of owners asked per dispatch.
	askThreshold = 0.5
	maxAsks      = 12
)

// chatPicker is the [relay.EndpointPicker] and the [relay.Budgets] of a chat
// request. A step of the cascade waits once for a slot of its pool and keeps the
// slot during all its dispatches.
type chatPicker struct {
	work        *chatWork
	fingerprint suspect.Fingerprint
	prefix      []uint64

	// The following fields belong to the current step.
	model route.ModelName
	ref   document.Ref
	pool  platform.PoolName
	slots int
	slot  *admit.Slot
	// answered reports that the step has a complete answer.
	answered bool
	// picks counts the endpoints picked in the step, including those that turned
	// out to be leaving.
	picks  int
	budget accountPoolBudget

	// leaving lists the endpoints that were found to be leaving after they had
	// been picked.
	leaving []platform.EndpointID
	// current is the lease of the current dispatch.
	current *chatLease
	// lastRefused reports that the endpoint refused the last dispatch without
	// running it.
	lastRefused bool
	// crashedIsolated reports that the request crashed the endpoint on which it
	// was tried as the only suspect.
	crashedIsolated bool
}

// Pick implements [relay.EndpointPicker].
func (p *chatPicker) Pick(ctx context.Context, query *relay.Query) (relay.Lease, *relay.Refusal) {
	if query.Model != p.model {
		if refusal := p.startStep(ctx, query.Model); refusal != nil {
			return nil, refusal
		}
	}
	if p.picks >= maxDispatches {
		return nil, &relay.Refusal{Reason: relay.EndpointsFailed, RetryAfter: retryAfter}
	}
	if p.picks > 0 && !sleep(ctx, retry.Backoff{}.Wait(random.Global{}, p.picks-1)) {
		return nil, &relay.Refusal{Reason: relay.DeadlineExceeded}
	}
	p.picks++
	lease, refusal := p.pickPermitted(ctx, append(slices.Clip(query.Avoid), p.leaving...))
	if refusal != nil {
		return nil, refusal
	}
	if !p.work.server.Endpoints.MayDispatch(lease.candidate.ID) {
		lease.releaseReservation()
		p.leaving = append(p.leaving, lease.candidate.ID)
		return p.Pick(ctx, query)
	}
	p.lastRefused = false
	p.current = lease
	lease.recordDispatch(ctx)
	return lease, nil
}

// startStep ends the current step and starts the step of the given model: it chooses
// a pool and waits for a slot.
func (p *chatPicker) startStep(ctx context.Context, model route.ModelName) *relay.Refusal {
	p.releaseSlot()
	step := p.work.plan.stepIndex(model)
	p.model, p.ref, p.picks, p.answered = model, p.work.plan[step].Ref, 0, false
	if p.fingerprint == "" {
		p.fingerprint = fingerprintOf(p.work.request)
		p.prefix = p.work.server.Endpoints.PrefixHashes(p.work.request.prompt)
	}
	if !p.choosePool() {
		return p.noEndpoint()
	}
	if refusal := p.waitForSlot(ctx); refusal != nil {
		return refusal
	}
	server := p.work.server
	if !p.work.request.pinsCreated {
		server.Exposures.RecordRequest(p.ref)
	}
	p.budget = accountPoolBudget{account: server.Budgets.Account(p.work.request.account), pool: server.Budgets.Pool(p.pool)}
	p.budget.RecordRequest(time.Now())
	return nil
}

// releaseSlot returns the slot of the current step to its pool.
func (p *chatPicker) releaseSlot() {
	switch {
	case p.slot == nil:
	case p.answered:
		p.slot.Release()
	default:
		p.slot.Cancel()
	}
	p.slot = nil
}

// recordAnswer records that the current step has a complete answer.
func (p *chatPicker) recordAnswer(firstToken time.Duration) {
	p.answered = true
	p.current.firstToken = firstToken
}

func (p *chatPicker) noEndpoint() *relay.Refusal {
	detail := "no endpoint serves " + p.ref.String()
	return &relay.Refusal{
		Reason: relay.NoEndpoint, RetryAfter: retryAfter,
		Cause: problem.New(problem.NoEndpoint, http.StatusServiceUnavailable, detail, notRun()).WithRetryAfter(retryAfter),
	}
}

// choosePool selects the first pool, by name, that serves the version and has
// usable endpoints. It reports whether there is one.
func (p *chatPicker) choosePool() bool {
	policy := p.work.server.Policies.Policy()
	var pools []platform.PoolName
	for name, pool := range policy.Pools {
		if slices.Contains(pool.Serves, p.ref) {
			pools = append(pools, name)
		}
	}
	slices.Sort(pools)
	for _, name := range pools {
		if len(p.work.server.Endpoints.Usable(name)) > 0 {
			p.pool, p.slots = name, policy.Pools[name].Slots
			return true
		}
	}
	return false
}

// waitForSlot waits for a slot of the pool.
func (p *chatPicker) waitForSlot(ctx context.Context) *relay.Refusal {
	server, request := p.work.server, p.work.request
	speed := server.speeds.estimate(p.ref)
	slot, err := server.Pools.Acquire(ctx, p.pool, admission.Request{
		Account:   request.account,
		Class:     request.class,
		Work:      speed.firstToken + speed.perToken*time.Duration(request.answerTokens()),
		Remaining: time.Until(request.deadline),
		Weight:    server.Policies.Policy().Accounts[request.account].Weight,
		Priority:  request.priority,
	})
	var refusal *admission.Refusal
	switch {
	case err == nil:
		p.slot = slot
		return nil
	case errors.As(err, &refusal):
		cause := problem.New(problem.Overloaded, http.StatusTooManyRequests, string(refusal.Reason), notRun()).WithRetryAfter(refusal.RetryAfter)
		return &relay.Refusal{Reason: relay.Overloaded, RetryAfter: refusal.RetryAfter, Cause: cause}
	default:
		return &relay.Refusal{Reason: relay.DeadlineExceeded}
	}
}

// pickEndpoint checks the request against the policy that is now in force, and
// picks an endpoint for which excluded returns false. A nil function excludes none.
func (p *chatPicker) pickEndpoint(ctx context.Context, avoid []platform.EndpointID, excluded func(platform.EndpointID) bool) (*chatLease, *relay.Refusal) {
	server := p.work.server
	if err := gate.CheckModel(server.Policies.Policy(), p.work.request.account, p.ref); err != nil {
		return nil, &relay.Refusal{Reason: relay.NotAllowed, Cause: gateProblem(err)}
	}
	now := time.Now()
	var candidates []placement.Candidate
	for _, endpoint := range p.withVersionLoaded(server.Endpoints.Usable(p.pool)) {
		if excluded == nil || !excluded(endpoint.ID) {
			candidates = append(candidates, server.Endpoints.Candidate(now, endpoint, p.slots, p.prefix))
		}
	}
	askLimit := maxAsksFor(candidates)
	search, err := server.Scheduler.Search(random.Global{}, placement.Request{
		Ref:          p.ref,
		Zone:         server.Zone,
		PromptTokens: placement.EstimateTokens(p.work.request.prompt),
		Avoid:        avoid,
	}, candidates, askLimit)
	if err != nil {
		return nil, p.noEndpoint()
	}
	lease := &chatLease{picker: p}
	if askLimit == 0 {
		lease.candidate, _ = search.Next()
		return lease, nil
	}
	lease.search(ctx, search)
	return lease, nil
}

// withVersionLoaded returns the endpoints that may have the version loaded, or
// all endpoints if none may: the reports may be outdated.
func (p *chatPicker) withVersionLoaded(endpoints []platform.ListedEndpoint) []platform.ListedEndpoint {
	var loaded []platform.ListedEndpoint
	for _, endpoint := range endpoints {
		if p.work.server.Endpoints.MayHaveLoaded(endpoint.ID, p.ref) {
			loaded = append(loaded, endpoint)
		}
	}
	if len(loaded) == 0 {
		return endpoints
	}
	return loaded
}

// maxAsksFor returns how many owners may be asked for a slot. It is 0 in a pool
// with many free slots, where the round trips are not worth their time.
func maxAsksFor(candidates []placement.Candidate) int {
	slots, outstanding := 0, 0
	for _, candidate := range candidates {
		slots += candidate.Slots
		outstanding += max(candidate.Running+candidate.Queued, candidate.InFlight+candidate.PeerInFlight)
	}
	if float64(outstanding) < askThreshold*float64(slots) {
		return 0
	}
	return maxAsks
}
