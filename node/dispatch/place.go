package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/random"
	"github.com/wigeonusher/wigeonusher/policy/gate"
	"github.com/wigeonusher/wigeonusher/policy/placement"
	"github.com/wigeonusher/wigeonusher/wire/problem"
)

const (
	// askFrom is the occupancy of a pool, in [0, 1], from which on owners are
	// asked, and maxAsks bounds the asks of one dispatch.
	askFrom = 0.5
	maxAsks = 12
)

// choosePool takes the first pool that serves the version and has endpoints.
func (s *step) choosePool() *problem.Problem {
	policy := s.dispatcher.Policies.Policy()
	var pools []platform.PoolName
	for name, pool := range policy.Pools {
		if slices.Contains(pool.Serves, s.ref) {
			pools = append(pools, name)
		}
	}
	slices.Sort(pools)
	for _, name := range pools {
		if len(s.dispatcher.Endpoints.Usable(name)) > 0 {
			s.pool, s.slots = name, policy.Pools[name].Slots
			return nil
		}
	}
	return s.noEndpoint()
}

// place passes the gate with the policy in force now, and picks an endpoint
// that is not excluded.
func (s *step) place(ctx context.Context, excluded func(platform.EndpointID) bool) (placement.Candidate, error) {
	d := s.dispatcher
	if err := gate.CheckModel(d.Policies.Policy(), s.request.Account, s.ref); err != nil {
		return placement.Candidate{}, Refused(err, s.request)
	}
	now := time.Now()
	var candidates []placement.Candidate
	for _, endpoint := range s.withVersion(d.Endpoints.Usable(s.pool)) {
		if excluded == nil || !excluded(endpoint.ID) {
			candidates = append(candidates, d.Endpoints.Candidate(now, endpoint, s.slots, s.prefix))
		}
	}
	asks := asksFor(candidates)
	search, err := d.Scheduler.Search(random.Global{}, placement.Request{
		Ref:          s.ref,
		Zone:         d.Zone,
		PromptTokens: placement.EstimateTokens(s.request.Prompt),
		Avoid:        s.avoid,
	}, candidates, asks)
	if err != nil {
		return placement.Candidate{}, s.noEndpoint()
	}
	if asks == 0 {
		picked, _ := search.Next()
		return picked, nil
	}
	return s.search(ctx, search), nil
}

// withVersion returns the endpoints that have the version loaded, or all if
// none is known to: what is known may be old.
func (s *step) withVersion(endpoints []platform.ListedEndpoint) []platform.ListedEndpoint {
	var having []platform.ListedEndpoint
	for _, endpoint := range endpoints {
		if s.dispatcher.Endpoints.MayHave(endpoint.ID, s.ref) {
			having = append(having, endpoint)
		}
	}
	if len(having) == 0 {
		return endpoints
	}
	return having
}

// asksFor returns how many owners may be asked. A pool with much room is not
// worth the round trips.
func asksFor(candidates []placement.Candidate) int {
	slots, outstanding := 0, 0
	for _, candidate := range candidates {
		slots += candidate.Slots
		outstanding += max(candidate.Running+candidate.Queued, candidate.InFlight+candidate.PeerInFlight)
	}
	if float64(outstanding) < askFrom*float64(slots) {
		return 0
	}
	return maxAsks
}

// search asks owners until one has a free slot, or enough were asked.
func (s *step) search(ctx context.Context, search *placement.Search) placement.Candidate {
	owners := s.dispatcher.Owners
	s.counted = false
	for {
		candidate, ask := search.Next()
		if !ask && s.counted {
			return candidate
		}
		outstanding, granted, err := owners.Reserve(ctx, candidate.Zone, candidate.ID, s.slots, !ask)
		s.counted = granted && err == nil
		switch {
		case !ask:
			return candidate
		case err != nil:
			search.Unanswered(candidate)
		default:
			running := min(outstanding, s.slots)
			search.Answer(candidate, running, outstanding-running)
		}
	}
}

// uncount tells the endpoint's owner that the dispatch has ended.
func (s *step) uncount(candidate placement.Candidate) {
	if s.counted {
		s.counted = false
		s.dispatcher.Owners.Release(candidate.Zone, candidate.ID)
	}
}
