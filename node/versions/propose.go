package versions

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/keyed"
	"github.com/wigeonusher/wigeonusher/node/loop"
	"github.com/wigeonusher/wigeonusher/policy/canary"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// Run proposes phases until the context ends.
func (v *Versions) Run(ctx context.Context) error {
	return loop.Every(ctx, checkInterval, func(time.Time) {
		for _, due := range v.due() {
			v.propose(ctx, due)
		}
	})
}

// proposal is a status that this instance wants agreed.
type proposal struct {
	at     keyed.Offset
	status canary.Status
}

// due returns the proposals whose time has come.
func (v *Versions) due() []proposal {
	v.mu.Lock()
	defer v.mu.Unlock()
	var due []proposal
	for name, s := range v.services {
		if s.rollout == nil || s.rollout.Phase.Over() {
			continue
		}
		next := s.rollout.Next(v.now(), v.available(name, s.rollout.Order.Target))
		if next == s.rollout.Phase {
			s.proposes = next
			continue
		}
		if s.proposes != next {
			s.proposes = next
			s.proposeAt = v.now() + v.hesitation(next)
		}
		if v.now() < s.proposeAt {
			continue
		}
		s.proposeAt = v.now() + proposeSpread + rand.N(proposeSpread)
		due = append(due, proposal{at: v.end, status: canary.Status{Service: name, Target: s.rollout.Order.Target, Phase: next}})
	}
	return due
}

// hesitation spreads proposals that all instances come to at the same moment.
// A bad version is not waited for.
func (v *Versions) hesitation(phase canary.Phase) time.Duration {
	if phase == canary.RolledBack {
		return 0
	}
	return rand.N(proposeSpread)
}

func (v *Versions) available(name route.ServiceName, target string) bool {
	return slices.Contains(v.pools.Service(name).Versions(), target)
}

func (v *Versions) propose(ctx context.Context, p proposal) {
	entry := v.log.WithFields(logrus.Fields{
		"service": p.status.Service, "target": p.status.Target, "phase": p.status.Phase.String(), "at": p.at,
	})
	if err := v.writer.Propose(ctx, p.at, p.status); err != nil {
		entry.WithError(err).Info("roll-out phase not accepted")
		return
	}
	entry.Info("roll-out phase proposed")
}
