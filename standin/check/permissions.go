package check

import (
	"slices"

	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/standin/engine"
)

// permissions holds each run against the policies in force at that time or
// shortly before.
func (e *evaluation) permissions() {
	withdrawn := e.table.row(WithdrawnIsIdle)
	allowed := e.table.row(OnlyAllowed)
	for _, run := range e.history.EngineRuns {
		policies := e.inForce(run)
		if len(policies) == 0 {
			continue
		}
		ref := splitRef(run.Ref)
		withdrawn.Checked++
		if !slices.ContainsFunc(policies, func(p *document.Policy) bool { return isServing(p, ref) }) {
			withdrawn.violation("%s ran %s on %s", run.Endpoint, run.RequestID, run.Ref)
		}
		o, known := e.byID[run.RequestID]
		if !known {
			continue
		}
		allowed.Checked++
		account := document.AccountID(o.Account)
		if !slices.ContainsFunc(policies, func(p *document.Policy) bool { return isGranted(p, account, ref) }) {
			allowed.violation("%s ran %s of account %s on %s", run.Endpoint, run.RequestID, account, run.Ref)
		}
	}
}

// inForce returns the policies that may have been in force somewhere when the
// engine received the run: the newest accepted by then, and those that it
// replaced less than the grace before.
func (e *evaluation) inForce(run engine.Run) []*document.Policy {
	var policies []*document.Policy
	for i, p := range e.periods {
		if p.since.After(run.Received) {
			break
		}
		replaced := i+1 < len(e.periods) && e.periods[i+1].since.Add(e.history.SettleGrace).Before(run.Received)
		if !replaced {
			policies = append(policies, p.policy)
		}
	}
	return policies
}

func isServing(policy *document.Policy, ref document.Ref) bool {
	version, ok := policy.Models[ref.Model].Versions[ref.Version]
	return ok && version.State == document.VersionServing
}

func isGranted(policy *document.Policy, account document.AccountID, ref document.Ref) bool {
	for _, grant := range policy.Accounts[account].Allow {
		if grant.Model == ref.Model && grant.Covers(ref.Version) {
			return true
		}
	}
	return false
}
