package tail

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/fold"
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Tailer decides what to read next, from where, and what to deliver. It is not
// safe for concurrent use.
type Tailer struct {
	cfg  Config
	rnd  *rand.Rand
	now  time.Time
	next platform.Offset

	lastRead ReadID
	log      logState
	peers    peerState
	search   *search
	// assembler collects snapshots for all searches, so that one refused is
	// not offered again.
	assembler *fold.Assembler
	// restoring is set from a DeliverSnapshot to its SnapshotResult.
	restoring bool
	// noSnapshot is set once the log was searched: the records themselves are
	// read, however many there are, until the fold has caught up.
	noSnapshot bool
	// lastAnswer is when a source last answered.
	lastAnswer time.Time

	ready bool
}

// New returns a tailer of a fold that wants the record at offset next.
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

// Next returns the offset that the tailer wants next.
func (t *Tailer) Next() platform.Offset { return t.next }

// Ready reports whether the fold has caught up since the start. Once true it
// stays true.
func (t *Tailer) Ready() bool { return t.ready }

// LogFailing reports whether the last read of the log failed.
func (t *Tailer) LogFailing() bool { return t.log.failures > 0 }

// First returns the lowest offset that the log is known to retain, 0 if
// unknown.
func (t *Tailer) First() platform.Offset { return t.log.first }

// Step takes in an event and returns what to do now, in order.
func (t *Tailer) Step(now time.Time, event Event) []Effect {
	t.observe(now)
	effects := t.handle(event)
	t.updateReady()
	if t.restoring {
		return effects
	}
	return append(effects, t.plan()...)
}

// observe moves the tailer's time forward; it never goes back.
func (t *Tailer) observe(now time.Time) {
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
	case PeersSeen:
		t.peers.see(event, t.now, t.next)
	case LogPage:
		return t.handleLogPage(event)
	case LogFailed:
		t.handleLogFailed(event)
	case PeerPage:
		return t.handlePeerPage(event)
	case PeerFailed:
		if t.peers.reading == event.Read {
			t.peerFailed()
		}
	case SnapshotResult:
		t.handleSnapshotResult(event)
	}
	return nil
}

// plan begins the reads that are due, at most one of the log and one of a
// peer at a time.
func (t *Tailer) plan() []Effect {
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

// expireReads takes reads without an answer for failed.
func (t *Tailer) expireReads() {
	if t.log.reading != 0 && t.now.After(t.log.deadline) {
		t.logFailed()
	}
	if t.peers.reading != 0 && t.now.After(t.peers.deadline) {
		t.peerFailed()
	}
}

// take returns those of the records that continue the fold, and moves next
// past them.
func (t *Tailer) take(records []platform.Record) []Effect {
	var taken []platform.Record
	for _, record := range records {
		if record.Offset == t.next {
			taken = append(taken, record)
			t.next++
		}
	}
	if len(taken) == 0 {
		return nil
	}
	if t.next >= t.log.end {
		t.noSnapshot = false
	}
	return []Effect{Deliver{Records: taken}}
}

func (t *Tailer) handleSnapshotResult(result SnapshotResult) {
	if !t.restoring {
		return
	}
	t.restoring = false
	t.next = max(t.next, result.Next)
	if result.Refused {
		t.snapshotRefused()
		return
	}
	t.noSnapshot = t.noSnapshot || t.search != nil
	t.search = nil
}

// snapshotRefused goes on without the snapshot: with an older one of the log,
// or with another peer.
func (t *Tailer) snapshotRefused() {
	if t.search != nil && t.search.offered {
		t.search.offered = false
		t.assembler.Reject()
		return
	}
	t.peers.refuse(t.now.Add(t.cfg.RetryCap))
}

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

// isReader reports whether this instance is one of its zone's that read the
// log. One that knows of no live instance, not even itself, reads it too.
func (t *Tailer) isReader() bool {
	readers := t.peers.ranked[:min(len(t.peers.ranked), t.cfg.Readers)]
	return len(readers) == 0 || slices.Contains(readers, t.cfg.Self)
}

// needsSnapshot reports whether records are lost, or too many to read.
func (t *Tailer) needsSnapshot() bool {
	if t.log.first > t.next {
		return true
	}
	if t.cfg.Bootstrap == WholeLog || t.noSnapshot {
		return false
	}
	return t.log.end > t.next && uint64(t.log.end-t.next) > t.cfg.SnapshotGap
}

// pause returns the time to wait after the given number of failures in a row.
func (t *Tailer) pause(failures int) time.Duration {
	const maxDoublings = 16
	pause := t.cfg.RetryBase << min(max(failures-1, 0), maxDoublings)
	return t.jitter(min(pause, t.cfg.RetryCap))
}

// jitter takes up to half off the duration.
func (t *Tailer) jitter(d time.Duration) time.Duration {
	return d - time.Duration(t.rnd.Float64()*float64(d)/2)
}

func (t *Tailer) newRead() ReadID {
	t.lastRead++
	return t.lastRead
}
