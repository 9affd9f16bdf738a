package versions

import (
	"github.com/wigeonusher/wigeonusher/policy/canary"
	"github.com/wigeonusher/wigeonusher/policy/rollout"
	"github.com/wigeonusher/wigeonusher/policy/route"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

// SessionVersion reports to a peer whether a session runs on the target version of
// a roll-out. known is false if this instance has not seen the session lately.
func (v *Versions) SessionVersion(name route.ServiceName, target, session string) (onTarget, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.services[name]
	if s == nil {
		return false, false
	}
	return v.sessionSide(s, target, session)
}

// LocalEvidence returns this instance's counts for the roll-outs in progress. Urgent are those
// that move all requests, since evidence against their versions must come before they complete.
func (v *Versions) LocalEvidence(urgent bool) []*peerpb.VersionEvidence {
	return v.evidence(urgent, func(r *canary.Rollout) (canary.Zone, canary.Sends) {
		return canary.Zone{Evidence: r.LocalEvidence(), Doubted: r.IsDoubted()}, r.LocalSends()
	})
}

// ZoneEvidence returns the sums over the zone for the roll-outs in progress, for other zones.
func (v *Versions) ZoneEvidence(urgent bool) []*peerpb.VersionEvidence {
	return v.evidence(urgent, func(r *canary.Rollout) (canary.Zone, canary.Sends) {
		return r.OwnZone(v.zone, r.IsDoubted()), canary.Sends{}
	})
}

func (v *Versions) evidence(urgent bool, counts func(*canary.Rollout) (canary.Zone, canary.Sends)) []*peerpb.VersionEvidence {
	v.mu.Lock()
	defer v.mu.Unlock()
	var evidence []*peerpb.VersionEvidence
	for name, s := range v.services {
		if s.rollout == nil || s.rollout.Phase.IsFinal() || urgent && s.rollout.Phase != canary.Full {
			continue
		}
		told, sends := counts(s.rollout)
		encoded := v.encodeEvidence(name, s.rollout, told)
		encoded.Arrived, encoded.Exposed = uint32(sends.Arrived), uint32(sends.Exposed)
		evidence = append(evidence, encoded)
	}
	return evidence
}

func (v *Versions) encodeEvidence(name route.ServiceName, current *canary.Rollout, counts canary.Zone) *peerpb.VersionEvidence {
	encoded := &peerpb.VersionEvidence{
		Service: string(name), Target: current.Order.Target, Zone: v.zone, Instances: uint32(counts.Instances),
		Answers: encodeCounts(counts.Evidence.Answers), Failures: encodeCounts(counts.Evidence.Failures), Paces: encodeCounts(counts.Evidence.Paces),
		Doubted: counts.Doubted,
	}
	for _, level := range counts.Evidence.Slowness {
		encoded.Slowness = append(encoded.Slowness, encodeCounts(level))
	}
	for name, answers := range counts.Evidence.Routes {
		encoded.Routes = append(encoded.Routes, &peerpb.RouteAnswers{Route: name, Answers: encodeCounts(answers)})
	}
	return encoded
}

func encodeCounts(counts rollout.Evidence) *peerpb.VersionCounts {
	return &peerpb.VersionCounts{
		CandidateGood: uint32(counts.CandidateGood),
		CandidateBad:  uint32(counts.CandidateBad),
		IncumbentGood: uint32(counts.IncumbentGood),
		IncumbentBad:  uint32(counts.IncumbentBad),
	}
}

func decodeCounts(counts *peerpb.VersionCounts) rollout.Evidence {
	return rollout.Evidence{
		CandidateGood: int(counts.GetCandidateGood()),
		CandidateBad:  int(counts.GetCandidateBad()),
		IncumbentGood: int(counts.GetIncumbentGood()),
		IncumbentBad:  int(counts.GetIncumbentBad()),
	}
}

// MergePeerEvidence records a peer's counts for a roll-out, or the sums of another zone. zone is that
// of a peer that does not tell it.
func (v *Versions) MergePeerEvidence(zone, instance string, evidence *peerpb.VersionEvidence) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.services[route.ServiceName(evidence.Service)]
	if s == nil || s.rollout == nil || s.rollout.Order.Target != evidence.Target {
		return
	}
	counts := canary.Evidence{Answers: decodeCounts(evidence.GetAnswers()), Failures: decodeCounts(evidence.GetFailures()), Paces: decodeCounts(evidence.GetPaces())}
	for i, level := range evidence.GetSlowness()[:min(len(evidence.GetSlowness()), len(counts.Slowness))] {
		counts.Slowness[i] = decodeCounts(level)
	}
	counts.Routes = make(map[string]rollout.Evidence, len(evidence.GetRoutes()))
	for _, answers := range evidence.GetRoutes() {
		counts.Routes[answers.GetRoute()] = decodeCounts(answers.GetAnswers())
	}
	sends := canary.Sends{Arrived: int(evidence.GetArrived()), Exposed: int(evidence.GetExposed())}
	if evidence.GetZone() != "" {
		zone = evidence.GetZone()
	}
	if evidence.GetInstances() == 0 {
		s.rollout.MergePeer(zone, instance, counts, sends)
		s.rollout.SetPeerDoubt(v.now(), instance, evidence.GetDoubted())
		return
	}
	if zone != v.zone {
		s.rollout.MergeZone(zone, counts)
		s.rollout.SetPeerDoubt(v.now(), "zone "+zone, evidence.GetDoubted())
	}
}

// Rollout is this instance's view of a roll-out.
type Rollout struct {
	Service route.ServiceName `json:"service"`
	Target  string            `json:"target"`
	Phase   string            `json:"phase"`
	// Answers counts the candidate's answers at this instance and its peers. Bad
	// counts the bad ones among them.
	Answers int `json:"answers"`
	Bad     int `json:"bad"`
	// Paced counts the candidate's streams whose pace was measured. Slow counts
	// the slow ones among them.
	Paced int `json:"paced"`
	Slow  int `json:"slow"`
}

// Rollouts returns the latest roll-out of each service that has one.
func (v *Versions) Rollouts() []Rollout {
	v.mu.Lock()
	defer v.mu.Unlock()
	rollouts := []Rollout{}
	for name, s := range v.services {
		if s.rollout == nil {
			continue
		}
		all := s.rollout.TotalEvidence()
		rollouts = append(rollouts, Rollout{
			Service: name, Target: s.rollout.Order.Target, Phase: s.rollout.Phase.String(),
			Answers: all.Answers.Candidate(), Bad: all.Answers.CandidateBad,
			Paced: all.Paces.Candidate(), Slow: all.Paces.CandidateBad,
		})
	}
	return rollouts
}
