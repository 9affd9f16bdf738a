package orders

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
)

// plan starts jobs for missing copies, up to [Config.MaxInFlight]. It plans an
// unload only if no job is in flight, no copy is missing and the retry delay of
// the weight store is over.
func (p *Planner) plan(now time.Time) []Effect {
	effects := p.planLoads(now)
	if len(p.jobs) > 0 || p.Missing() > 0 || now.Before(p.storeRetryAt) {
		return effects
	}
	return append(effects, p.planUnloads(now)...)
}

// planLoads reserves slots for missing copies. After a failure of the weight
// store only one job at a time tries it until a reservation succeeds.
func (p *Planner) planLoads(now time.Time) []Effect {
	var effects []Effect
	if now.Before(p.storeRetryAt) {
		return nil
	}
	limit := p.cfg.MaxInFlight
	if p.storeFailures > 0 {
		limit = 1
	}
	for len(p.jobs) < limit {
		demand, endpoint, ok := p.nextLoad()
		if !ok {
			break
		}
		j := p.newJob(Load, demand.Ref, endpoint)
		effects = append(effects, Reserve{Job: j.id, Ref: demand.Ref, Bytes: demand.Bytes})
	}
	return effects
}

// nextLoad returns the most urgent load: first versions with fewer than
// [MinCopies] copies, then the others, each group in the order of [Demands].
func (p *Planner) nextLoad() (Demand, platform.EndpointID, bool) {
	for _, target := range []int{MinCopies, len(p.engines)} {
		for _, demand := range p.demands {
			if p.copies(demand.Ref)+p.loading(demand.Ref) >= min(target, demand.Copies) {
				continue
			}
			if endpoint, ok := p.pickEngine(demand.Ref); ok {
				return demand, endpoint, true
			}
		}
	}
	return Demand{}, "", false
}

// pickEngine returns the engine on which to load a version, and false if each engine
// has the version, is busy or may not receive orders. It prefers the availability
// zone with the fewest copies, including those being loaded, then the fewest
// outstanding requests, then the lowest ID.
func (p *Planner) pickEngine(ref document.Ref) (platform.EndpointID, bool) {
	zones := p.copiesByZone(ref)
	var free []Engine
	for _, engine := range p.engines {
		if engine.orderable() && !engine.has(ref) && !p.busy(engine.ID) {
			free = append(free, engine)
		}
	}
	if len(free) == 0 {
		return "", false
	}
	best := slices.MinFunc(free, func(a, b Engine) int {
		return cmp.Or(
			cmp.Compare(zones[a.Zone], zones[b.Zone]),
			cmp.Compare(a.Outstanding, b.Outstanding),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return best.ID, true
}

// busy reports whether the engine has a job, or is avoided after a failed one.
func (p *Planner) busy(endpoint platform.EndpointID) bool {
	if _, avoided := p.avoidUntil[endpoint]; avoided {
		return true
	}
	for _, j := range p.jobs {
		if j.endpoint == endpoint {
			return true
		}
	}
	return false
}

func (p *Planner) copiesByZone(ref document.Ref) map[platform.Zone]int {
	zones := map[platform.Zone]int{}
	for _, engine := range p.engines {
		if engine.orderable() && engine.has(ref) {
			zones[engine.Zone]++
		}
	}
	for _, j := range p.jobs {
		if j.action == Load && j.ref == ref {
			zones[p.engines[j.endpoint].Zone]++
		}
	}
	return zones
}

// copies returns the number of orderable engines that report the version.
func (p *Planner) copies(ref document.Ref) int {
	count := 0
	for _, engine := range p.engines {
		if engine.orderable() && engine.has(ref) {
			count++
		}
	}
	return count
}

// loading returns the number of jobs that load the version.
func (p *Planner) loading(ref document.Ref) int {
	count := 0
	for _, j := range p.jobs {
		if j.action == Load && j.ref == ref {
			count++
		}
	}
	return count
}

func (p *Planner) demanded(ref document.Ref) bool {
	return slices.ContainsFunc(p.demands, func(d Demand) bool { return d.Ref == ref })
}

// planUnloads orders at most one unload at a time, so that the load reports show
// its effect before the next one is planned.
func (p *Planner) planUnloads(now time.Time) []Effect {
	for _, ref := range p.sortedUnused() {
		if now.Sub(p.unusedSince[ref]) < p.cfg.UnloadAfter || !p.unloadable(ref) {
			continue
		}
		for _, id := range slices.Sorted(maps.Keys(p.engines)) {
			engine := p.engines[id]
			if engine.orderable() && engine.has(ref) && !p.busy(id) {
				return []Effect{p.issueOrder(p.newJob(Unload, ref, id))}
			}
		}
	}
	return nil
}

// updateUnused records when each loaded version was first seen unused. Versions
// that the policy document does not list are ignored: they are not managed by the
// planner.
func (p *Planner) updateUnused(now time.Time) {
	loaded := map[document.Ref]bool{}
	for _, engine := range p.observation.Engines {
		for _, ref := range engine.Loaded {
			loaded[ref] = p.isUnused(ref)
		}
	}
	maps.DeleteFunc(p.unusedSince, func(ref document.Ref, _ time.Time) bool { return !loaded[ref] })
	for ref, unused := range loaded {
		if _, known := p.unusedSince[ref]; unused && !known {
			p.unusedSince[ref] = now
		}
	}
}

// isUnused reports whether the policy document lists the version, and it is
// neither demanded in the pool nor in use.
func (p *Planner) isUnused(ref document.Ref) bool {
	policy := p.observation.Policy
	if _, known := policy.Models[ref.Model].Versions[ref.Version]; !known {
		return false
	}
	return !p.demanded(ref) && !inUse(policy, p.observation.Statuses, ref)
}

// unloadable reports whether a copy of the version may be unloaded: the version
// is unused, and it is either not serving or has another copy.
func (p *Planner) unloadable(ref document.Ref) bool {
	if !p.isUnused(ref) {
		return false
	}
	return !serving(p.observation.Policy, ref) || p.copies(ref) > 1
}

// sortedUnused returns the unused versions by name, those still serving first.
func (p *Planner) sortedUnused() []document.Ref {
	refs := slices.Collect(maps.Keys(p.unusedSince))
	slices.SortFunc(refs, func(a, b document.Ref) int {
		if serving(p.observation.Policy, a) != serving(p.observation.Policy, b) {
			if serving(p.observation.Policy, a) {
				return -1
			}
			return 1
		}
		return compareRefs(a, b)
	})
	return refs
}
