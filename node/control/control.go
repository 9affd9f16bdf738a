// Package control holds the state that an instance folds from the control
// stream, and publishes the policy in force as an immutable snapshot that is
// replaced atomically.
package control

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/claim"
	"github.com/wigeonusher/wigeonusher/coord/config"
	"github.com/wigeonusher/wigeonusher/coord/fold"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/coord/suspect"
	"github.com/wigeonusher/wigeonusher/node/follow"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/rollout"
)

// maxAudit bounds the verdicts kept for the status page.
const maxAudit = 256

// Control is the state of the control stream. Its methods may be called from
// several goroutines.
type Control struct {
	*follow.State
	config *config.Fold
	claims *claim.Fold
	// Suspects is the fold of the requests that crash endpoints. It has its own
	// lock.
	Suspects *suspect.Fold
	rollouts *rollout.Fold
	waiters  *waiters
	audit    *config.Audit
	logger   *logrus.Entry

	policy atomic.Pointer[document.Policy]
	// onRollouts is called with the fold of the roll-outs after every change.
	onRollouts func(*rollout.Fold)
}

// New returns the state before the first record of the stream.
func New(logger *logrus.Entry) *Control {
	c := &Control{
		Suspects: suspect.NewFold(),
		waiters:  newWaiters(),
		audit:    config.NewAudit(maxAudit),
		logger:   logger,
	}
	c.config = config.NewFold(document.Validate, c.onVerdict)
	c.claims = claim.NewFold(nil)
	c.rollouts = rollout.NewFold(c.config.Document, c.onRolloutChange)
	c.onRollouts = func(*rollout.Fold) {}
	stream := fold.NewStream(c.config, c.rollouts, c.claims, c.Suspects, c.waiters)
	stream.OnReport(c.onReport)
	c.State = follow.NewState(stream, c.publish, nil)
	return c
}

// Policy returns the policy in force, nil before the first.
func (c *Control) Policy() *document.Policy { return c.policy.Load() }

// Holding returns the state of the claim on a resource.
func (c *Control) Holding(resource claim.Resource) (holding claim.Holding) {
	c.WithLock(func() { holding = c.claims.Holding(resource) })
	return holding
}

// Holds reports whether the instance holds the resource, and returns the fencing
// number of the claim.
func (c *Control) Holds(resource claim.Resource, instance platform.InstanceID) (fencing uint64, ok bool) {
	c.WithLock(func() { fencing, ok = c.claims.Holds(resource, instance) })
	return fencing, ok
}

// OnRollouts sets the function that is called with the fold of the roll-outs
// after every change, under the lock of [follow.State]. It must be set before the
// first record is applied.
func (c *Control) OnRollouts(changed func(*rollout.Fold)) { c.onRollouts = changed }

// Rollouts calls a function with the fold of the roll-outs, under the lock of
// [follow.State].
func (c *Control) Rollouts(read func(*rollout.Fold)) {
	c.WithLock(func() { read(c.rollouts) })
}

// Expect returns a channel that is closed once the entry is folded, and a
// function that stops waiting. It must be called before the entry is added to an
// outbox. The channel is not closed if the entry's record is skipped by the
// restore of a snapshot.
func (c *Control) Expect(entryID string) (<-chan struct{}, func()) { return c.waiters.expect(entryID) }

// Verdicts returns the latest verdicts on proposals, oldest first.
func (c *Control) Verdicts() (verdicts []config.Verdict) {
	c.WithLock(func() { verdicts = c.audit.Verdicts() })
	return verdicts
}

func (c *Control) onVerdict(verdict config.Verdict) {
	c.audit.Add(verdict)
	c.logger.WithFields(logrus.Fields{
		"section":  verdict.Section,
		"author":   verdict.Author,
		"result":   verdict.Result,
		"revision": verdict.Revision,
	}).Info("configuration verdict")
}

func (c *Control) onRolloutChange(change rollout.Change) {
	c.logger.WithFields(logrus.Fields{
		"rollout": change.Verdict.Run.ID,
		"move":    change.Verdict.Action,
		"counted": change.Applied,
		"writer":  change.Writer,
		"reason":  change.Verdict.Reason,
	}).Info("roll-out verdict")
}

func (c *Control) onReport(report fold.Report) {
	c.logger.WithFields(logrus.Fields{
		"offset": report.Position.Offset,
		"entry":  report.EntryID,
		"reason": report.Reason,
	}).Warn("control stream entry skipped")
}

// publish calls onRollouts, and replaces the policy if the revision of the document
// has changed. A document in force has passed [document.Validate], so parsing it
// should not fail.
func (c *Control) publish() {
	c.onRollouts(c.rollouts)
	current := c.policy.Load()
	inForce := c.config.Document()
	if inForce.Revision == 0 || (current != nil && current.Revision == inForce.Revision) {
		return
	}
	policy, findings := document.Parse(inForce)
	if len(findings) > 0 {
		c.logger.WithError(findings).Error("document in force does not parse")
		return
	}
	c.policy.Store(policy)
}
