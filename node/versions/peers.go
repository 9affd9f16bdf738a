package versions

import (
	"github.com/wigeonusher/wigeonusher/policy/canary"
	"github.com/wigeonusher/wigeonusher/policy/rollout"
	"github.com/wigeonusher/wigeonusher/policy/route"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

// SessionVersion tells a peer on which side of the roll-out to a target a
// session runs.
func (v *Versions) SessionVersion(name route.ServiceName, target, session string) (onTarget, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.services[name]
	if s == nil {
		return false, false
	}
	return v.running(s, target, session)
}

// OwnEvidence returns what this instance saw of the roll-outs under way.
func (v *Versions) OwnEvidence() []*peerpb.VersionEvidence {
	v.mu.Lock()
	defer v.mu.Unlock()
	var evidence []*peerpb.VersionEvidence
	for name, s := range v.services {
		if s.rollout == nil || s.rollout.Phase.Over() {
			continue
		}
		own := s.rollout.Own()
		evidence = append(evidence, &peerpb.VersionEvidence{
			Service: string(name),
			Target:  s.rollout.Order.Target,
			Answers: encodeCounts(own.Answers),
			Paces:   encodeCounts(own.Paces),
		})
	}
	return evidence
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

// PeerEvidence takes in what a peer saw of a roll-out.
func (v *Versions) PeerEvidence(instance string, evidence *peerpb.VersionEvidence) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.services[route.ServiceName(evidence.Service)]
	if s == nil || s.rollout == nil || s.rollout.Order.Target != evidence.Target {
		return
	}
	s.rollout.Peer(instance, canary.Evidence{
		Answers: decodeCounts(evidence.GetAnswers()), Paces: decodeCounts(evidence.GetPaces()),
	})
}

// Rollout is a roll-out as this instance sees it.
type Rollout struct {
	Service route.ServiceName `json:"service"`
	Target  string            `json:"target"`
	Phase   string            `json:"phase"`
	// Answers and Bad count the new version's answers that this instance and
	// its peers saw.
	Answers int `json:"answers"`
	Bad     int `json:"bad"`
	// Paced and Slow count those among its streams that show a pace.
	Paced int `json:"paced"`
	Slow  int `json:"slow"`
}

// Rollouts returns the roll-outs that were ordered.
func (v *Versions) Rollouts() []Rollout {
	v.mu.Lock()
	defer v.mu.Unlock()
	rollouts := []Rollout{}
	for name, s := range v.services {
		if s.rollout == nil {
			continue
		}
		all := s.rollout.All()
		rollouts = append(rollouts, Rollout{
			Service: name, Target: s.rollout.Order.Target, Phase: s.rollout.Phase.String(),
			Answers: all.Answers.Candidate(), Bad: all.Answers.CandidateBad,
			Paced: all.Paces.Candidate(), Slow: all.Paces.CandidateBad,
		})
	}
	return rollouts
}
