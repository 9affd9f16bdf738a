package relay

import (
	"slices"
	"sync"
	"time"

	"github.com/wigeonusher/wigeonusher/policy/route"
	"github.com/wigeonusher/wigeonusher/policy/sizes"
)

// SizePlanner is the [Planner] of services whose models differ in size. The
// rules are those of package sizes.
type SizePlanner struct {
	Pools Pools
	// Accept returns, by the priority of the request, the least confidence in
	// [0, 1] at which an answer of a model other than the largest is sent to the
	// client. Index 0 is the most urgent priority; the last entry holds for all
	// further ones.
	Accept func() []float64

	mu        sync.Mutex
	pressures map[route.ServiceName]*sizes.Pressure
}

// First implements [Planner]. After a discarded answer it returns the largest model,
// because no further answer is discarded.
func (s *SizePlanner) First(p *Progress) route.ModelName {
	models := p.Route.Models
	if !p.Request.AnyModel || len(models) == 0 {
		return ""
	}
	if p.Escalated {
		return models[len(models)-1]
	}
	plan := s.sizingRequest(p)
	plan.Retries -= escalationReserve
	plan.Relief = s.relief(p.Service)
	if p.Route.MaxAttempts < 2 || !p.Route.Repeatable() {
		plan.Retries = 0
	}
	return models[sizes.First(plan)]
}

// Next implements [Planner]. At most one answer of a request is discarded.
func (s *SizePlanner) Next(p *Progress, asked route.ModelName, confidence float64) (route.ModelName, bool) {
	models := p.Route.Models
	at := slices.Index(models, asked)
	if p.Escalated || at < 0 || at == len(models)-1 {
		return "", false
	}
	next, ok := sizes.Next(s.sizingRequest(p), at, confidence, s.acceptThreshold(p))
	if !ok {
		return "", false
	}
	return models[next], true
}

// Alternative implements [Planner]. All sizes run on the same endpoints, so no
// other model is available either.
func (s *SizePlanner) Alternative(route.ModelName) (route.ModelName, bool) { return "", false }

// Observe implements [Planner]. A request that was given up after its latency
// objective counts as late, like one that was served late: if only answers
// counted, an overload in which most clients disconnect would not show. Long
// prompts are late at any load, so they do not count.
func (s *SizePlanner) Observe(p *Progress, delivery Delivery) {
	if !p.Request.AnyModel || p.Route.TargetLatency <= 0 || delivery.LongPrompt {
		return
	}
	late := delivery.FirstEvent > p.Route.TargetLatency || delivery.LongestGap > p.Route.TargetGap
	if !late && !delivery.Complete {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pressure(p.Service).Observe(time.Now(), late)
}

// sizingRequest returns the request's objective and the expected latency of each
// model of the route.
func (s *SizePlanner) sizingRequest(p *Progress) sizes.Request {
	request := sizes.Request{
		Target:  p.Route.TargetLatency,
		Elapsed: time.Since(p.Request.Received),
		Retries: p.Retries,
	}
	endpoints := s.Pools.Service(p.Service)
	for _, model := range p.Route.Models {
		request.Models = append(request.Models, sizes.Model{FirstEvent: endpoints.UsualFirstEvent(model, p.Request.PromptTokens)})
	}
	return request
}

// acceptThreshold returns the least accepted confidence under the current
// pressure on the service.
func (s *SizePlanner) acceptThreshold(p *Progress) float64 {
	base := 0.0
	if byPriority := s.Accept(); len(byPriority) > 0 {
		base = byPriority[min(max(0, p.Priority), len(byPriority)-1)]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pressure(p.Service).RequiredConfidence(base)
}

func (s *SizePlanner) relief(service route.ServiceName) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.pressures[service]; known != nil {
		return known.Relief()
	}
	return 0
}

func (s *SizePlanner) pressure(service route.ServiceName) *sizes.Pressure {
	if s.pressures == nil {
		s.pressures = make(map[route.ServiceName]*sizes.Pressure)
	}
	found := s.pressures[service]
	if found == nil {
		found = &sizes.Pressure{}
		s.pressures[service] = found
	}
	return found
}
