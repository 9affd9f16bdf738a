package canary

import (
	"maps"

	"github.com/wigeonusher/wigeonusher/policy/rollout"
)

// maxZones bounds the zones whose evidence is kept.
const maxZones = 64

// Zone is the evidence of all instances of a zone, added up by one of them.
type Zone struct {
	Evidence Evidence
	// Instances is the number of the instances.
	Instances int
	Doubted   bool
}

// zoneEvidence is what is known of one zone. Both direct, from its instances themselves, and the
// sums are lower bounds of the truth: an instance knows few of a large zone, and a sum may lack
// instances, too, if another instance has made it than before. So the greater of both counts.
type zoneEvidence struct {
	peers     map[string]Evidence
	peerSends map[string]Sends
	// sends is the sum of peerSends.
	sends                  Sends
	direct, sum, effective Evidence
}

// zone returns the evidence of a zone, nil if there are too many.
func (r *Rollout) zone(name string) *zoneEvidence {
	found := r.zones[name]
	if found == nil && len(r.zones) < maxZones {
		found = &zoneEvidence{peers: make(map[string]Evidence), peerSends: make(map[string]Sends)}
		r.zones[name] = found
	}
	return found
}

// MergePeer merges the cumulative counts of another instance. Counts that arrive late or twice
// add nothing.
func (r *Rollout) MergePeer(zone, instance string, counts Evidence, sends Sends) {
	z := r.zone(zone)
	if z == nil {
		return
	}
	known := z.peers[instance]
	z.direct = combine(z.direct, increaseOf(known, counts), add)
	z.peers[instance] = combine(known, counts, largest)
	r.updateZone(z)
	knownSends := z.peerSends[instance]
	latest := Sends{Arrived: max(knownSends.Arrived, sends.Arrived), Exposed: max(knownSends.Exposed, sends.Exposed)}
	z.peerSends[instance] = latest
	z.sends.Arrived += latest.Arrived - knownSends.Arrived
	z.sends.Exposed += latest.Exposed - knownSends.Exposed
}

// MergeZone merges the sum of another zone.
func (r *Rollout) MergeZone(zone string, told Evidence) {
	z := r.zone(zone)
	if z == nil {
		return
	}
	z.sum = combine(z.sum, told, largest)
	r.updateZone(z)
}

// OwnZone returns the evidence of this instance and of those of its zone.
func (r *Rollout) OwnZone(zone string, doubted bool) Zone {
	own := Zone{Evidence: r.LocalEvidence(), Instances: 1, Doubted: doubted}
	if z := r.zones[zone]; z != nil {
		own.Evidence = combine(own.Evidence, z.direct, add)
		own.Instances += len(z.peerSends)
	}
	return own
}

// updateZone passes to the tests what the zone has gained.
func (r *Rollout) updateZone(z *zoneEvidence) {
	counts, known := combine(z.direct, z.sum, largest), z.effective
	r.answers.accumulate(increase(known.Answers, counts.Answers))
	r.failures.accumulate(increase(known.Failures, counts.Failures))
	r.paces.accumulate(increase(known.Paces, counts.Paces))
	for i := range r.slowness {
		r.slowness[i].accumulate(increase(known.Slowness[i], counts.Slowness[i]))
	}
	r.routes.merge(known.Routes, counts.Routes)
	z.effective = counts
}

// increaseOf returns the increments from known to counts of all kinds of evidence.
func increaseOf(known, counts Evidence) Evidence { return combine(known, counts, increase) }

// largest returns the larger of each count.
func largest(a, b rollout.Evidence) rollout.Evidence { return add(a, increase(a, b)) }

// combine applies an operation to each kind of evidence.
func combine(a, b Evidence, operation func(a, b rollout.Evidence) rollout.Evidence) Evidence {
	result := Evidence{Answers: operation(a.Answers, b.Answers), Failures: operation(a.Failures, b.Failures), Paces: operation(a.Paces, b.Paces)}
	for i := range result.Slowness {
		result.Slowness[i] = operation(a.Slowness[i], b.Slowness[i])
	}
	result.Routes = maps.Clone(a.Routes)
	if result.Routes == nil {
		result.Routes = make(map[string]rollout.Evidence)
	}
	for route := range a.Routes {
		result.Routes[route] = operation(a.Routes[route], b.Routes[route])
	}
	for route, counts := range b.Routes {
		if _, ok := a.Routes[route]; !ok && len(result.Routes) < maxRoutes {
			result.Routes[route] = operation(rollout.Evidence{}, counts)
		}
	}
	return result
}
