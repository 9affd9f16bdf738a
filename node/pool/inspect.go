package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/placement"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// Exclusion is why an endpoint is not chosen for a request, whatever its cost.
type Exclusion string

// Values of [Exclusion], in the order in which they are checked.
const (
	ExcludedLeaving   Exclusion = "leaving"
	ExcludedUnlisted  Exclusion = "unlisted"
	ExcludedListed    Exclusion = "listed, while unlisted endpoints are used"
	ExcludedEvacuated Exclusion = "evacuated zone"
	ExcludedVersion   Exclusion = "version"
	ExcludedResting   Exclusion = "resting"
	ExcludedLimited   Exclusion = "limited"
	ExcludedCold      Exclusion = "cold without a permit"
	ExcludedNoRoom    Exclusion = "full and brittle"
	ExcludedPaused    Exclusion = "paused"
	ExcludedEasing    Exclusion = "one request at a time after its rest"
	ExcludedFull      Exclusion = "full"
	ExcludedZone      Exclusion = "zone"
	ExcludedPrompt    Exclusion = "kept for prompts of another length"
	ExcludedShare     Exclusion = "share of the new version"
)

// EndpointInspection is what decides whether a request runs at an endpoint.
type EndpointInspection struct {
	ID      platform.EndpointID `json:"id"`
	Zone    platform.Zone       `json:"zone"`
	Version string              `json:"version"`
	Slots   int                 `json:"slots"`
	// Candidate reports that the choice is among this endpoint and the other candidates. Excluded
	// says why it is not. A candidate has an exclusion too if all others have a stronger one.
	Candidate bool      `json:"candidate"`
	Excluded  Exclusion `json:"excluded,omitempty"`
	// Load estimates the requests of all instances, and Cost is the load with failures, slowness
	// and pace.
	Load float64 `json:"load"`
	Cost float64 `json:"cost"`
	// Pace is the expected pace now, and PaceAgeMillis the age of its report; absent if none is known.
	Pace          float64 `json:"pace,omitempty"`
	PaceAgeMillis *int64  `json:"pace_age_ms,omitempty"`
	// LoadAgeMillis is the age of the endpoint's last report of its load; absent if none is known.
	LoadAgeMillis *int64 `json:"load_age_ms,omitempty"`
	ColdMillis    int64  `json:"cold_ms,omitempty"`
}

// Inspection explains which endpoint a request would be sent to.
type Inspection struct {
	Endpoints []EndpointInspection `json:"endpoints"`
	// Chosen is empty if no endpoint may run the request.
	Chosen platform.EndpointID `json:"chosen,omitempty"`
	// First and Second are the candidates of the highest ranks for the prompt part, among those whose
	// cost is at most CostBound.
	First     platform.EndpointID `json:"prefix_first,omitempty"`
	Second    platform.EndpointID `json:"prefix_second,omitempty"`
	CostBound float64             `json:"prefix_cost_bound,omitempty"`
	// Zone is the zone of this instance, ZoneAware reports that zones are decided about, and Leave is
	// why the chosen endpoint is in another zone.
	Zone      platform.Zone `json:"zone"`
	ZoneAware bool          `json:"zone_aware"`
	Leave     LeaveReason   `json:"leave_reason,omitempty"`
	// LongPrompt reports that the prompt counts as long.
	LongPrompt bool `json:"long_prompt"`
	// FirstEventMillis is the usual time to the first event of such a request; 0 if unknown.
	FirstEventMillis int64 `json:"usual_first_event_ms"`
	// LimitWaitMillis is the expected time until limits allow a request; 0 if they are not what
	// keeps the request back.
	LimitWaitMillis int64 `json:"limit_wait_ms,omitempty"`
}

// Has reports whether the service has a pool. [Pools.Service] would create it.
func (p *Pools) Has(name route.ServiceName) bool { return p.known(name) != nil }

// Inspect explains which endpoint a request would be sent to now. It changes nothing. It reports
// false if the service has never had an endpoint.
func (p *Pools) Inspect(now time.Time, name route.ServiceName, query Query) (Inspection, bool) {
	service := p.known(name)
	if service == nil {
		return Inspection{}, false
	}
	return service.inspect(now, query), true
}

func (p *Pool) inspect(now time.Time, query Query) Inspection {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The exclusions and the choice each have a copy: to check a brittle endpoint may use up this
	// instance's turn to explore it.
	excluded := p.clone().exclusions(now, query)
	c := p.clone()
	c.estimateLoads(now)
	result := Inspection{
		Zone: c.zone, ZoneAware: c.paced.reported || c.isZoneAware(),
		FirstEventMillis: c.expectedFirstEvent(query.Model, query.Tokens).Milliseconds(),
	}
	c.zones.reason = ""
	candidates := c.candidates(now, query)
	if len(candidates) > 0 {
		candidates = c.inspectChoice(now, candidates, query, excluded, &result)
	} else if wait, limited := c.LimitWait(now, query); limited {
		result.LimitWaitMillis = wait.Milliseconds()
	}
	isCandidate := setOf(candidates)
	for _, m := range c.members {
		result.Endpoints = append(result.Endpoints, c.inspectMember(now, m, isCandidate[m], excluded[m.record.ID]))
	}
	slices.SortFunc(result.Endpoints, func(a, b EndpointInspection) int { return cmp.Compare(a.ID, b.ID) })
	return result
}

// inspectChoice makes the choice of [Pool.pick], and records which step excludes which endpoint.
func (p *Pool) inspectChoice(now time.Time, candidates []*member, query Query, excluded map[platform.EndpointID]Exclusion, result *Inspection) []*member {
	narrow := func(next []*member, reason Exclusion) {
		kept := setOf(next)
		for _, m := range candidates {
			if !kept[m] {
				excluded[m.record.ID] = reason
			}
		}
		candidates = next
	}
	inZone, query := p.selectZone(now, candidates, query)
	narrow(inZone, ExcludedZone)
	separated, long := p.separateLongPrompts(candidates, query)
	narrow(separated, ExcludedPrompt)
	result.LongPrompt = long
	var chosen *member
	if long {
		chosen = p.leastDisturbed(now, candidates)
	} else {
		if query.Concentration != nil {
			narrow(p.concentrate(candidates, query.Concentration), ExcludedShare)
		}
		chosen = p.pickByAffinity(candidates, query)
		if query.Affinity != "" {
			result.CostBound = affinityFactor*meanCost(candidates) + affinitySlack
			first, second := highestRanks(candidates, query.Affinity, result.CostBound)
			result.First, result.Second = idOf(first), idOf(second)
		}
	}
	result.Chosen, result.Leave = chosen.record.ID, p.leaveReason(chosen)
	return candidates
}

func setOf(members []*member) map[*member]bool {
	set := make(map[*member]bool, len(members))
	for _, m := range members {
		set[m] = true
	}
	return set
}

func idOf(m *member) platform.EndpointID {
	if m == nil {
		return ""
	}
	return m.record.ID
}

// exclusions returns why [Pool.candidates] would not take an endpoint, or only if there is no other.
func (p *Pool) exclusions(now time.Time, query Query) map[platform.EndpointID]Exclusion {
	p.estimateLoads(now)
	excluded := make(map[platform.EndpointID]Exclusion)
	for id, m := range p.members {
		if reason := p.exclusion(now, m, query); reason != "" {
			excluded[id] = reason
		}
	}
	return excluded
}

func (p *Pool) exclusion(now time.Time, m *member, query Query) Exclusion {
	switch {
	case m.record.Leaving:
		return ExcludedLeaving
	case m.unlisted && !query.Unlisted:
		return ExcludedUnlisted
	case !m.unlisted && query.Unlisted:
		return ExcludedListed
	case m.evacuated:
		return ExcludedEvacuated
	case !query.accepts(m):
		return ExcludedVersion
	case m.isResting(now):
		return ExcludedResting
	case !p.limits.allow(now, m.record):
		return ExcludedLimited
	case !p.allows(now, m):
		return ExcludedCold
	case p.isBrittle(now) && p.hasNoRoom(now, m):
		return ExcludedNoRoom
	case !m.isUsable(now):
		return ExcludedPaused
	case m.isEasing():
		return ExcludedEasing
	case m.isFull(now):
		return ExcludedFull
	}
	return ""
}

func (p *Pool) inspectMember(now time.Time, m *member, candidate bool, excluded Exclusion) EndpointInspection {
	inspected := EndpointInspection{
		ID: m.record.ID, Zone: m.record.Zone, Version: m.record.Version, Slots: m.record.Slots,
		Candidate: candidate, Excluded: excluded, Load: m.load(), Cost: m.cost(), ColdMillis: p.coldMillis(now, m),
	}
	if age, known := m.pace.Age(now); known {
		inspected.Pace, inspected.PaceAgeMillis = m.pace.Over(now, 0, p.paced.mean), millis(age)
	}
	reported := placement.Candidate{ID: m.record.ID}
	if p.loads.Fill(now, &reported); reported.ReportAge < placement.NoReportAge {
		inspected.LoadAgeMillis = millis(reported.ReportAge)
	}
	return inspected
}

func millis(d time.Duration) *int64 {
	n := d.Milliseconds()
	return &n
}

// clone returns a copy in which a choice can be tried. It shares what a choice only reads, so the
// caller holds the lock as long as it uses the copy.
func (p *Pool) clone() *Pool {
	cloned := &Pool{
		zone: p.zone, limits: p.limits.clone(), rests: p.rests, leavings: p.leavings, evacuations: p.evacuations,
		coldRule: p.coldRule, viewedAt: p.viewedAt, members: make(map[platform.EndpointID]*member, len(p.members)),
		firstEvents: p.firstEvents, paces: p.paces, work: p.work,
		peerStatistics: p.peerStatistics, peerWork: p.peerWork, peerFirstEvents: p.peerFirstEvents, path: p.path,
		loads: p.loads, meanDuration: p.meanDuration, byVersion: make(map[string]*loadGroup), estimatedAt: p.estimatedAt,
		brittle: p.brittle, group: p.group,
		zones: p.zones, zoneAware: p.zoneAware, zonePrice: p.zonePrice, paced: p.paced, service: p.service,
	}
	cloned.zones.told = maps.Clone(p.zones.told)
	for id, m := range p.members {
		copied := *m
		copied.rejections = slices.Clone(m.rejections)
		cloned.members[id] = &copied
	}
	return cloned
}

// clone returns a copy that is not shared with other pools and logs nothing.
func (l *limits) clone() *limits {
	cloned := &limits{}
	l.mu.Lock()
	cloned.known = l.known.Clone()
	l.mu.Unlock()
	l.cold.mu.Lock()
	defer l.cold.mu.Unlock()
	cloned.cold.known, cloned.cold.sent, cloned.cold.withdrawn = l.cold.known.Clone(), l.cold.sent, l.cold.withdrawn
	return cloned
}
