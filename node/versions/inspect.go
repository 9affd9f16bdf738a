package versions

import (
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/policy/canary"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// Inspect is like Choose for a request of the session, but changes nothing and asks no peer. certain
// is false if the choice also depends on what peers know of the session, or on the ID of a request
// without one; the versions are then those of the incumbent's side.
func (v *Versions) Inspect(name route.ServiceName, session string) (choice relay.Choice, certain bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.services[name]
	if s == nil || s.rollout == nil {
		return relay.Choice{}, true
	}
	onTarget, certain := v.inspectSide(s, s.rollout, session)
	choice = s.choice(s.rollout, onTarget, v.mayFallBack(name, s))
	if s.rollout.Phase == canary.Canary {
		choice.Concentration = &pool.Concentration{Version: s.rollout.Order.Target, Share: s.rollout.UsedShare(), Turn: s.rollout.Turn(v.now())}
	}
	return choice, certain
}

// inspectSide is like onTarget for what this instance knows.
func (v *Versions) inspectSide(s *service, current *canary.Rollout, session string) (onTarget, certain bool) {
	known := false
	if state, ok := s.sessions.Peek(session); ok && session != "" && v.now()-state.lastSeen < v.tuning.SessionGap+maxRequestDuration {
		onTarget, known = state.target == current.Order.Target, true
	}
	switch current.Phase {
	case canary.Completed:
		return true, true
	case canary.Full:
		if current.MayExpose() {
			return true, true
		}
		return onTarget, known || session == ""
	case canary.Canary:
		if session != "" && !known && !current.IsInCanary(session) {
			return false, true
		}
		return onTarget, known || session == "" && !current.MayExpose()
	default:
		return false, true
	}
}
