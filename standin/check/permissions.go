package check

import (
	"slices"

	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/standin/engine"
)

// checkPermissions compares each run with the policies that may have been in force
// when the engine received the request. It reports the run if none of them lists
// its version as serving, and also if none grants its version to the account.
func (e *evaluation) checkPermissions() {
	withdrawnRow := e.table.row(WithdrawnVersionsIdle)
	allowedRow := e.table.row(OnlyAllowed)
	for _, run := range e.history.EngineRuns {
		policies := e.policiesInForce(run)
		if len(policies) == 0 {
			continue
		}
		ref := parseRef(run.Ref)
		withdrawnRow.Checked++
		if !slices.ContainsFunc(policies, func(p *document.Policy) bool { return isServing(p, ref) }) {
			withdrawnRow.addViolation("%s ran %s on %s", run.Endpoint, run.RequestID, run.Ref)
		}
		o, known := e.observationsByID[run.RequestID]
		if !known {
			continue
		}
		allowedRow.Checked++
		account := document.AccountID(o.Account)
		if !slices.ContainsFunc(policies, func(p *document.Policy) bool { return isGranted(p, account, ref) }) {
			allowedRow.addViolation("%s ran %s of account %s on %s", run.Endpoint, run.RequestID, account, run.Ref)
		}
	}
}

// policiesInForce returns the policies that may have been in force on some
// instance when the engine received the request of the run: the newest one
// accepted by then, and those replaced less than SettleGrace before then.
func (e *evaluation) policiesInForce(run engine.Run) []*document.Policy {
	var policies []*document.Policy
	for i, p := range e.acceptedPolicies {
		if p.acceptedAt.After(run.Received) {
			break
		}
		replaced := i+1 < len(e.acceptedPolicies) && e.acceptedPolicies[i+1].acceptedAt.Add(e.history.SettleGrace).Before(run.Received)
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
