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

// Run proposes due phases until the context is canceled.
func (v *Versions) Run(ctx context.Context) error {
	var checkedAt time.Time
	return loop.Every(ctx, activeCheckInterval, func(now time.Time) {
		if now.Sub(checkedAt) < checkInterval && !v.isUnderWay() {
			return
		}
		checkedAt = now
		v.ProposeDue(ctx)
	})
}

// isUnderWay reports whether a roll-out has not ended.
func (v *Versions) isUnderWay() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.services {
		if s.rollout != nil && !s.rollout.Phase.IsFinal() {
			return true
		}
	}
	return false
}

// ProposeDue proposes the phases that are due now.
func (v *Versions) ProposeDue(ctx context.Context) {
	for _, due := range v.due() {
		v.propose(ctx, due)
	}
}

// proposal is a status that this instance proposes, and the position at which the
// status topic must still end.
type proposal struct {
	at     keyed.Position
	status canary.Status
}

// due returns the proposals that are due. A phase is proposed again after a delay
// until the log agrees on it, and if the log has lost it.
func (v *Versions) due() []proposal {
	v.mu.Lock()
	defer v.mu.Unlock()
	var due []proposal
	for name, s := range v.services {
		if s.rollout == nil {
			continue
		}
		next := phaseProposal{
			phase:  s.rollout.NextPhase(v.now(), v.hasEndpoints(name, s.rollout.Order.Target)),
			isLost: v.isPhaseLost(name, s),
		}
		if s.proposal != next {
			s.proposal = next
			s.proposeAt = v.now() + v.proposalDelay(next.phase)
		}
		if next.phase == s.rollout.Phase && !next.isLost || v.now() < s.proposeAt {
			continue
		}
		s.proposeAt = v.now() + proposeSpread + rand.N(proposeSpread)
		due = append(due, proposal{at: v.topicEnd, status: canary.Status{Service: name, Target: s.rollout.Order.Target, Phase: next.phase}})
	}
	return due
}

// isPhaseLost reports whether the log lacks the agreed phase of the current roll-out,
// because it was restored from an older copy. The log then has no status, one of an
// earlier phase, or one of an earlier roll-out.
func (v *Versions) isPhaseLost(name route.ServiceName, s *service) bool {
	if s.rollout.Phase == canary.Ordered {
		return false
	}
	status, ok := v.statuses[name]
	switch {
	case !ok:
		return true
	case status.Target == s.rollout.Order.Target:
		return s.rollout.HasLeft(status.Phase)
	default:
		return slices.ContainsFunc(s.superseded, func(order canary.Order) bool { return order.Target == status.Target })
	}
}

// proposalDelay returns a random delay, because all instances decide on a proposal
// at the same time. A rollback is proposed without delay, and a completion, which must come
// shortly before the end of the order's time, with a short one.
func (v *Versions) proposalDelay(phase canary.Phase) time.Duration {
	switch phase {
	case canary.RolledBack:
		return 0
	case canary.Completed:
		return rand.N(completionSpread)
	default:
		return rand.N(proposeSpread)
	}
}

func (v *Versions) hasEndpoints(name route.ServiceName, target string) bool {
	return slices.Contains(v.pools.Service(name).Versions(), target)
}

func (v *Versions) propose(ctx context.Context, p proposal) {
	entry := v.log.WithFields(logrus.Fields{
		"service": p.status.Service, "target": p.status.Target, "phase": p.status.Phase.String(), "at": p.at.Offset,
	})
	if err := v.writer.Propose(ctx, p.at, p.status); err != nil {
		entry.WithError(err).Info("roll-out phase not accepted")
		return
	}
	entry.Info("roll-out phase proposed")
}
