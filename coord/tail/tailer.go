package tail

import (
	"math/rand/v2"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/fold"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/coord/readers"
)

// Tailer decides what to read next, from which source, and what to deliver. It is
// not safe for concurrent use.
type Tailer struct {
	cfg  Config
	rnd  *rand.Rand
	now  time.Time
	next platform.Offset

	lastRead ReadID
	log      logState
	peers    peerState
	search   *search
	// assembler collects the snapshots of a search. It is kept for further
	// searches, so that a refused snapshot is not delivered again.
	assembler *fold.Assembler
	// restoring is true from a DeliverSnapshot until its SnapshotResult.
	restoring bool
	// skipSnapshot is true after a search of the log. The tailer then reads
	// the records themselves, however many, until the fold has caught up.
	skipSnapshot bool
	// lastAnswer is the time of the last answer of any source.
	lastAnswer time.Time

	ready bool
}

// New returns a tailer of a fold. The argument next is the offset of the first
// record that the fold needs.
func New(cfg Config, next platform.Offset) *Tailer {
	cfg = cfg.withDefaults()
	return &Tailer{
		cfg:   cfg,
		rnd:   rand.New(rand.NewPCG(cfg.Seed, uint64(len(cfg.Self)))),
		next:  next,
		peers: newPeerState(),

		assembler: fold.NewAssembler(),
	}
}

// Next returns the offset of the next record to deliver.
func (t *Tailer) Next() platform.Offset { return t.next }

// Ready reports whether the fold has caught up since the start. Once true, it
// remains true.
func (t *Tailer) Ready() bool { return t.ready }

// LogFailing reports whether the last read of the log failed.
func (t *Tailer) LogFailing() bool { return t.log.failures > 0 }

// First returns the lowest offset known to be retained by the log; 0 if unknown.
func (t *Tailer) First() platform.Offset { return t.log.first }

// Step processes an event and returns the effects to carry out, in order.
func (t *Tailer) Step(now time.Time, event Event) []Effect {
	t.advanceClock(now)
	effects := t.handle(event)
	t.updateReady()
	if t.restoring {
		return effects
	}
	return append(effects, t.planReads()...)
}

// advanceClock sets the current time, which never decreases.
func (t *Tailer) advanceClock(now time.Time) {
	if t.now.IsZero() {
		t.lastAnswer = now
		t.log.probeAt = now
		t.peers.pollAt = now
	}
	if now.After(t.now) {
		t.now = now
	}
}

func (t *Tailer) handle(event Event) []Effect {
	switch event := event.(type) {
	case PeersUpdated:
		t.peers.update(event, t.now, t.next)
	case LogPage:
		return t.handleLogPage(event)
	case LogFailed:
		t.handleLogFailed(event)
	case PeerPage:
		return t.handlePeerPage(event)
	case PeerFailed:
		if t.peers.activeRead == event.Read {
			t.recordPeerFailure()
		}
	case SnapshotResult:
		t.handleSnapshotResult(event)
	}
	return nil
}

// planReads starts the reads that are due. At most one read of the log and one
// of a peer are active at a time.
func (t *Tailer) planReads() []Effect {
	t.expireReads()
	var effects []Effect
	if read, ok := t.planPeer(); ok {
		effects = append(effects, read)
	}
	if read, ok := t.planLog(); ok {
		effects = append(effects, read)
	}
	return effects
}

// expireReads records active reads past their deadline as failed.
func (t *Tailer) expireReads() {
	if t.log.activeRead != 0 && t.now.After(t.log.deadline) {
		t.recordLogFailure()
	}
	if t.peers.activeRead != 0 && t.now.After(t.peers.deadline) {
		t.recordPeerFailure()
	}
}

// deliver returns the effect for those records that directly follow the ones
// delivered so far, and advances t.next past them.
func (t *Tailer) deliver(records []platform.Record) []Effect {
	var delivered []platform.Record
	for _, record := range records {
		if record.Offset == t.next {
			delivered = append(delivered, record)
			t.next++
		}
	}
	if len(delivered) == 0 {
		return nil
	}
	if t.next >= t.log.end {
		t.skipSnapshot = false
	}
	return []Effect{Deliver{Records: delivered}}
}

func (t *Tailer) handleSnapshotResult(result SnapshotResult) {
	if !t.restoring {
		return
	}
	t.restoring = false
	t.next = max(t.next, result.Next)
	if result.Refused {
		t.handleSnapshotRefused()
		return
	}
	t.skipSnapshot = t.skipSnapshot || t.search != nil
	t.search = nil
}

// handleSnapshotRefused discards the refused snapshot. If it was found in the log,
// the search continues with older ones; if a peer sent it, the peer is excluded
// for RetryCap.
func (t *Tailer) handleSnapshotRefused() {
	if t.search != nil && t.search.offered {
		t.search.offered = false
		t.assembler.Reject()
		return
	}
	t.peers.pauseCurrent(t.now.Add(t.cfg.RetryCap))
}

// updateReady sets ready once the fold has reached the end of the log observed
// after the start. If the log is failing and no end was observed, it is enough to
// reach the offset of the first peer that answered while no source is ahead.
func (t *Tailer) updateReady() {
	if t.ready || t.restoring {
		return
	}
	if t.log.target > 0 {
		t.ready = t.next >= t.log.target
		return
	}
	_, ahead := t.peers.ahead(t.now, t.next)
	t.ready = t.log.failures > 0 && t.peers.target > 1 && t.next >= t.peers.target && !ahead
}

// isReader reports whether this instance is one of the readers of the log in its
// zone. It is also true while no live instance is known, not even this one.
func (t *Tailer) isReader() bool {
	candidates := make([]readers.Candidate, len(t.peers.ranked))
	for i, id := range t.peers.ranked {
		candidates[i].ID = id
	}
	return readers.IsReader(t.cfg.Self, readers.Select(candidates, t.cfg.Readers))
}

// needsSnapshot reports whether the next records are lost, or too many to read.
func (t *Tailer) needsSnapshot() bool {
	if t.log.first > t.next {
		return true
	}
	if t.cfg.Bootstrap == WholeLog || t.skipSnapshot {
		return false
	}
	return t.log.end > t.next && uint64(t.log.end-t.next) > t.cfg.SnapshotGap
}

// retryDelay returns the delay after the given number of consecutive failures.
func (t *Tailer) retryDelay(failures int) time.Duration {
	const maxDoublings = 16
	delay := t.cfg.RetryBase << min(max(failures-1, 0), maxDoublings)
	return t.jitter(min(delay, t.cfg.RetryCap))
}

// jitter reduces the duration by a random part, up to half.
func (t *Tailer) jitter(d time.Duration) time.Duration {
	return d - time.Duration(t.rnd.Float64()*float64(d)/2)
}

func (t *Tailer) newRead() ReadID {
	t.lastRead++
	return t.lastRead
}
