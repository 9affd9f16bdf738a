package orders

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
)

// plan starts the jobs that are wanted and fit into the bound.
func (p *Planner) plan(now time.Time) []Effect {
	effects := p.planLoads(now)
	if len(p.jobs) > 0 || p.Missing() > 0 || now.Before(p.storeRetry) {
		return effects
	}
	return append(effects, p.planUnloads(now)...)
}

// planLoads asks for slots. After a failure of the weight store one job tries
// it first.
func (p *Planner) planLoads(now time.Time) []Effect {
	var effects []Effect
	if now.Before(p.storeRetry) {
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

// nextLoad returns the most urgent load: versions below [MinCopies] first, then
// in order of use.
func (p *Planner) nextLoad() (Demand, platform.EndpointID, bool) {
	for _, enough := range []int{MinCopies, len(p.engines)} {
		for _, demand := range p.demands {
			if p.copies(demand.Ref)+p.loading(demand.Ref) >= min(enough, demand.Copies) {
				continue
			}
			if endpoint, ok := p.pick(demand.Ref); ok {
				return demand, endpoint, true
			}
		}
	}
	return Demand{}, "", false
}

// pick returns the engine to load a version on: in the availability zone with
// the fewest copies, then the least loaded, then by name.
func (p *Planner) pick(ref document.Ref) (platform.EndpointID, bool) {
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

// busy reports whether the engine has a job, or is avoided after one.
func (p *Planner) busy(endpoint platform.EndpointID) bool {
	if _, avoided := p.avoid[endpoint]; avoided {
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

// copies returns the number of engines that report the version.
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

// planUnloads orders at most one unload, so that each is planned by reports
// that show the one before.
func (p *Planner) planUnloads(now time.Time) []Effect {
	for _, ref := range p.unusedRefs() {
		if now.Sub(p.unused[ref]) < p.cfg.UnloadAfter || !p.unloadable(ref) {
			continue
		}
		for _, id := range slices.Sorted(maps.Keys(p.engines)) {
			engine := p.engines[id]
			if engine.orderable() && engine.has(ref) && !p.busy(id) {
				return []Effect{p.order(p.newJob(Unload, ref, id))}
			}
		}
	}
	return nil
}

// noteUnused keeps since when each loaded version is out of use. Versions that
// the document doesn't know are not the planner's.
func (p *Planner) noteUnused(now time.Time) {
	present := map[document.Ref]bool{}
	for _, engine := range p.seen.Engines {
		for _, ref := range engine.Loaded {
			present[ref] = p.outOfUse(ref)
		}
	}
	maps.DeleteFunc(p.unused, func(ref document.Ref, _ time.Time) bool { return !present[ref] })
	for ref, unused := range present {
		if _, known := p.unused[ref]; unused && !known {
			p.unused[ref] = now
		}
	}
}

// outOfUse reports whether the document knows the version, and the pool has no
// use for it.
func (p *Planner) outOfUse(ref document.Ref) bool {
	policy := p.seen.Policy
	if _, known := policy.Models[ref.Model].Versions[ref.Version]; !known {
		return false
	}
	return !p.demanded(ref) && !pinned(policy, p.seen.Statuses, ref)
}

// unloadable reports whether a copy may go: the version is out of use, and it
// is withdrawn or another copy stays.
func (p *Planner) unloadable(ref document.Ref) bool {
	if !p.outOfUse(ref) {
		return false
	}
	return !serving(p.seen.Policy, ref) || p.copies(ref) > 1
}

// unusedRefs returns the versions out of use, the withdrawn ones last.
func (p *Planner) unusedRefs() []document.Ref {
	refs := slices.Collect(maps.Keys(p.unused))
	slices.SortFunc(refs, func(a, b document.Ref) int {
		if serving(p.seen.Policy, a) != serving(p.seen.Policy, b) {
			if serving(p.seen.Policy, a) {
				return -1
			}
			return 1
		}
		return compareRefs(a, b)
	})
	return refs
}
