// Package rollouts runs one instance's roll-out controller. It passes the state of
// the fold, the local counters and the counters of peers to the controller, and
// appends the verdicts and grants that the controller returns.
package rollouts

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/loop"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/rollout"
	"github.com/wigeonusher/wigeonusher/policy/session"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

const (
	// stepInterval is the time between steps of the controller.
	stepInterval = 500 * time.Millisecond
	// rankKey is the key by which instances are ranked for proposing verdicts.
	rankKey = "rollouts"
	// maxCountersPerDigest bounds the counters merged from one digest.
	maxCountersPerDigest = 64
)

// State provides the fold of the roll-outs.
type State interface {
	// Rollouts calls a function with the fold while holding the fold's lock.
	Rollouts(read func(*rollout.Fold))
}

// Writer appends entries to the control stream.
type Writer interface {
	Add(entry platform.Entry) error
}

// Peers provides the rank of this instance and the size of the live fleet.
type Peers interface {
	// FleetRank returns the rank, from 0, of this instance among the live
	// instances of the fleet for a key.
	FleetRank(key string) int
	// LiveCount returns the number of live instances of the fleet.
	LiveCount() int
}

// Rollouts exposes sessions to candidates, counts the outcomes of candidates and
// incumbents, and runs the controller of the roll-outs. It is safe for concurrent
// use.
type Rollouts struct {
	instance      platform.InstanceID
	state         State
	writer        Writer
	peers         Peers
	logger        *logrus.Entry
	ledger        *rollout.Ledger
	entrySequence atomic.Uint64

	mu         sync.Mutex
	merger     *rollout.Merger
	controller *rollout.Controller
	statuses   []rollout.Status
}

// New returns the roll-outs of an instance that has no grants yet.
func New(instance platform.InstanceID, state State, writer Writer, peers Peers, logger *logrus.Entry) *Rollouts {
	return &Rollouts{
		instance:   instance,
		state:      state,
		writer:     writer,
		peers:      peers,
		logger:     logger,
		ledger:     rollout.NewLedger(instance),
		merger:     rollout.NewMerger(),
		controller: rollout.NewController(instance),
	}
}

// Expose implements session.Exposer.
func (r *Rollouts) Expose(model document.ModelName, id session.ID, allowed func(document.VersionName) bool) (document.VersionName, bool) {
	return r.ledger.Expose(model, id, allowed)
}

// RecordRequest counts a further request of an exposed session.
func (r *Rollouts) RecordRequest(ref document.Ref) { r.ledger.Charge(ref) }

// RecordRating implements feedback.Evidence.
func (r *Rollouts) RecordRating(ref document.Ref, good bool) { r.ledger.Observe(ref, good) }

// RecordFailure implements feedback.Evidence.
func (r *Rollouts) RecordFailure(ref document.Ref) { r.ledger.Observe(ref, false) }

// Statuses returns the statuses of the roll-outs as of the last [Rollouts.Refresh].
func (r *Rollouts) Statuses() []rollout.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.statuses
}

// Refresh copies the statuses and allotments from the fold. It is called after every
// change of the fold, so that a halt stops new exposure immediately.
func (r *Rollouts) Refresh(fold *rollout.Fold) {
	statuses := fold.Statuses()
	r.ledger.Update(statuses, func(id document.RolloutID) rollout.Allotment {
		return fold.Allotted(id, r.instance)
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statuses = statuses
}

// Run steps the controller until the context ends.
func (r *Rollouts) Run(ctx context.Context) error {
	return loop.Every(ctx, stepInterval, r.step)
}

func (r *Rollouts) step(now time.Time) {
	tick := rollout.Tick{
		Allotments: map[rollout.Run]rollout.Allotment{},
		Needs:      r.ledger.Needs(),
		Rank:       r.peers.FleetRank(rankKey),
		Live:       r.peers.LiveCount(),
	}
	r.state.Rollouts(func(fold *rollout.Fold) {
		tick.Statuses = fold.Statuses()
		for _, status := range tick.Statuses {
			tick.Allotments[status.Run] = fold.Allotted(status.Run.ID, r.instance)
		}
	})
	r.mu.Lock()
	for _, counter := range r.ledger.Counters() {
		r.merger.Merge(counter)
	}
	r.merger.Retain(tick.Statuses)
	tick.Evidence = r.merger.Total
	effects := r.controller.Step(now, tick)
	r.mu.Unlock()
	for _, effect := range effects {
		r.execute(effect)
	}
}

func (r *Rollouts) execute(effect rollout.Effect) {
	switch effect := effect.(type) {
	case rollout.AppendVerdict:
		r.logger.WithFields(logrus.Fields{
			"rollout": effect.Verdict.Run.ID,
			"move":    effect.Verdict.Action,
			"reason":  effect.Verdict.Reason,
		}).Info("roll-out verdict proposed")
		r.appendEntry(rollout.KindVerdict, effect.Verdict)
	case rollout.AppendGrant:
		r.appendEntry(rollout.KindGrant, effect.Grant)
	case rollout.StopLocally:
		r.logger.WithFields(logrus.Fields{
			"rollout": effect.Run.ID,
			"reason":  effect.Reason,
		}).Warn("roll-out halted at this instance")
		r.ledger.Stop(effect.Run)
	}
}

func (r *Rollouts) appendEntry(kind platform.Kind, body any) {
	id := string(kind) + "/" + string(r.instance) + "/" + strconv.FormatUint(r.entrySequence.Add(1), 10)
	entry, err := platform.NewEntry(id, kind, r.instance, body)
	if err != nil {
		return
	}
	if err := r.writer.Add(entry); err != nil {
		r.logger.WithError(err).Warn("cannot add roll-out entry to the outbox")
	}
}

// Fill implements cluster.Gossip.
func (r *Rollouts) Fill(_ time.Time, _ platform.InstanceID, digest *peerpb.Digest) {
	for _, counter := range r.ledger.Counters() {
		digest.Candidates = append(digest.Candidates, &peerpb.CandidateCount{
			Rollout:       counter.Key(),
			Exposed:       uint64(counter.Exposed),
			Good:          uint64(counter.Evidence.CandidateGood),
			Bad:           uint64(counter.Evidence.CandidateBad),
			IncumbentGood: uint64(counter.Evidence.IncumbentGood),
			IncumbentBad:  uint64(counter.Evidence.IncumbentBad),
		})
	}
}

// HandleDigest implements cluster.Gossip.
func (r *Rollouts) HandleDigest(_ time.Time, digest *peerpb.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, count := range digest.Candidates {
		run, step, ok := rollout.ParseKey(count.Rollout)
		if !ok || i == maxCountersPerDigest {
			return
		}
		r.merger.Merge(rollout.Counter{
			Instance: platform.InstanceID(digest.Instance),
			Sequence: digest.Sequence,
			Run:      run,
			Step:     step,
			Exposed:  int(count.Exposed),
			Evidence: rollout.Evidence{
				CandidateGood: int(count.Good),
				CandidateBad:  int(count.Bad),
				IncumbentGood: int(count.IncumbentGood),
				IncumbentBad:  int(count.IncumbentBad),
			},
		})
	}
}
