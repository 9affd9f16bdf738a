package control

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/claim"
	"github.com/wigeonusher/wigeonusher/coord/config"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/coord/suspect"
	"github.com/wigeonusher/wigeonusher/policy/rollout"
)

// Event is one line of the audit trail.
type Event struct {
	// Time is when the log appended the record, by the log's clock.
	Time     time.Time         `json:"time"`
	Position platform.Position `json:"position"`
	Kind     platform.Kind     `json:"kind"`
	// Author is the operator of a proposal, or the instance that wrote the
	// entry.
	Author string `json:"author"`
	// Subject names the object that the entry is about, as in "rollout/ID".
	// Action is the result of the verdict on a proposal, or what an instance did.
	Subject string `json:"subject"`
	Action  string `json:"action"`
	Reason  string `json:"reason,omitempty"`
	// Verdict is set for proposals.
	Verdict *config.Verdict `json:"verdict,omitempty"`
}

// IsProposal reports whether the event is an operator's proposal.
func (e Event) IsProposal() bool { return e.Verdict != nil }

// describeAutomatic describes an entry that an instance wrote without an
// operator's proposal: roll-out verdicts, crash suspects, claims and releases. It
// returns false for entries of any other kind, including proposals, and for
// entries that cannot be decoded.
func describeAutomatic(entry platform.Entry) (subject, action, reason string, ok bool) {
	switch entry.Kind {
	case rollout.KindVerdict:
		var verdict rollout.Verdict
		if json.Unmarshal(entry.Body, &verdict) != nil {
			return "", "", "", false
		}
		evidence := fmt.Sprintf("%s (candidate %d good, %d bad; incumbent %d good, %d bad)", verdict.Reason,
			verdict.Evidence.CandidateGood, verdict.Evidence.CandidateBad,
			verdict.Evidence.IncumbentGood, verdict.Evidence.IncumbentBad)
		return "rollout/" + string(verdict.Run.ID), string(verdict.Action), evidence, true
	case suspect.KindReport:
		var report suspect.Report
		if json.Unmarshal(entry.Body, &report) != nil {
			return "", "", "", false
		}
		return "request/" + string(report.Fingerprint), "suspect", "endpoint " + string(report.Endpoint) + " crashed", true
	case claim.KindClaim:
		var acquired claim.Claim
		if json.Unmarshal(entry.Body, &acquired) != nil {
			return "", "", "", false
		}
		return "resource/" + string(acquired.Resource), "claim", "", true
	case claim.KindRelease:
		var released claim.Release
		if json.Unmarshal(entry.Body, &released) != nil {
			return "", "", "", false
		}
		return "resource/" + string(released.Resource), "release", "", true
	default:
		return "", "", "", false
	}
}
