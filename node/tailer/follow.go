package tailer

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/keyed"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/boottime"
	"github.com/wigeonusher/wigeonusher/node/loop"
)

// follow makes one step of a follower: it asks a peer, or reads the log itself if no peer has
// proved in time that the topic is as this instance knows it.
func (t *Tailer) follow(ctx context.Context) {
	now, due := t.now(), t.proofDue()
	if now >= due && now >= t.ownReadAt {
		t.readOverdue(ctx)
		return
	}
	source, ok := t.source()
	if !ok {
		loop.Sleep(ctx, noSourcePause)
		return
	}
	hold, limit := min(t.config.Wait()+holdTolerance, maxHold), fetchLimit
	if now < due {
		limit = time.Duration(due - now)
		hold = min(hold, max(0, limit-(silenceTolerance-holdTolerance)))
	}
	fetchCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	t.setFetch(source.ID, cancel)
	asked := t.now()
	reply, err := t.config.Peers.Fetch(fetchCtx, source, Request{Topic: t.config.Topic, Loaded: t.state.Loaded(), From: t.state.Next(), Wait: hold, SeenProofs: t.seenProofs(source.ID)})
	t.setFetch("", nil)
	switch {
	case ctx.Err() != nil || errors.Is(fetchCtx.Err(), context.Canceled): // the latter after a hint
	case err != nil:
		t.config.Logger.WithError(err).WithFields(logrus.Fields{"topic": t.config.Topic, "peer": source.ID}).Debug("topic not read from a peer")
		t.avoid(source.ID)
		t.isDoubtful = true
	case reply.TooLarge:
		t.readOnce(ctx)
	default:
		t.applyReply(ctx, source, reply, asked)
	}
}

// proofDue returns when the next proof is due. That of a reader is as old as its read was long, and
// its next read may be as long again. If a source has failed, the next one may fail too.
func (t *Tailer) proofDue() boottime.Instant {
	wait := max(minProofWait, t.config.Wait())
	waits := 2 * wait
	if t.isDoubtful {
		waits = wait
	}
	return t.proved + boottime.Instant(waits+silenceTolerance)
}

// readOverdue reads the log without waiting, and follows another source afterwards. While the log
// does not answer, the followers of a zone share the reads that find out when it does again.
func (t *Tailer) readOverdue(ctx context.Context) {
	t.avoid(t.lastSource)
	if t.tryRead(ctx, 0) {
		return
	}
	pause := max(ownReadPause, time.Duration(t.config.Peers.ZoneSize())*zoneReadPause)
	t.ownReadAt = t.now() + boottime.Instant(pause/2+rand.N(pause))
}

// source returns the peer to ask: one that said that it knows more, or one that reads the log.
func (t *Tailer) source() (Source, bool) {
	t.mu.Lock()
	hint := t.hint
	t.hint = nil
	t.mu.Unlock()
	if hint != nil {
		return *hint, true
	}
	now := t.now()
	source, ok := t.config.Peers.Source(t.config.Topic, func(id platform.InstanceID) bool { return now < t.avoided[id] })
	if ok && source.ID != t.lastSource {
		t.config.Logger.WithFields(logrus.Fields{"topic": t.config.Topic, "peer": source.ID}).Info("topic is read from a peer")
		t.mu.Lock()
		t.lastSource = source.ID
		t.mu.Unlock()
	}
	return source, ok
}

func (t *Tailer) avoid(id platform.InstanceID) {
	now := t.now()
	for other, until := range t.avoided {
		if now >= until {
			delete(t.avoided, other)
		}
	}
	if id != "" {
		t.avoided[id] = now + boottime.Instant(avoidFor)
	}
}

// applyReply applies what a peer knows. A reply that is older than what this instance knows, or
// proves nothing new, changes nothing.
//
// The proof is dated without a common clock: the peer replied at the earliest Held after the
// request was sent, and knew the topic ProofAge before its reply.
func (t *Tailer) applyReply(ctx context.Context, source Source, reply Reply, asked boottime.Instant) {
	if !t.isUsable(reply) {
		t.config.Logger.WithFields(logrus.Fields{
			"topic": t.config.Topic, "peer": source.ID, "known": reply.Known, "era": reply.Page.Next.Era, "next": reply.Page.Next.Offset,
			"own_era": t.state.Next().Era, "own_next": t.state.Next().Offset,
		}).Warn("topic of a peer is unknown, older or malformed, and is ignored")
		t.avoid(source.ID)
		t.isDoubtful = true
		loop.Sleep(ctx, noSourcePause)
		return
	}
	proved := min(asked+boottime.Instant(reply.Held-reply.ProofAge), t.now())
	isRenewed := proved > t.proved && reply.Proofs != t.seenProofs(source.ID)
	t.seenFrom, t.seen = source.ID, reply.Proofs
	if len(reply.Page.Records) == 0 && !reply.Snapshot && !isRenewed {
		if reply.Held < noSourcePause {
			loop.Sleep(ctx, noSourcePause) // a source that is new here answers at once
		}
		return
	}
	t.apply(reply.Page, Batch{
		Sent: max(proved, t.proved), Snapshot: reply.Snapshot, Grace: reply.Grace,
		Restored: reply.Snapshot && t.state.Loaded() && reply.Page.Next.Era != t.state.Next().Era,
	})
	if isRenewed {
		t.recordRest(reply.Page)
		t.isDoubtful = false
	}
}

// seenProofs returns the number of proofs of a source that this instance has seen, 0 if unknown.
func (t *Tailer) seenProofs(source platform.InstanceID) uint64 {
	if source != t.seenFrom {
		return 0
	}
	return t.seen
}

// isUsable reports whether a reply is well-formed and not older than what this instance knows.
func (t *Tailer) isUsable(reply Reply) bool {
	if !reply.Known || reply.ProofAge < 0 || reply.ProofAge > maxAge || reply.Held < 0 || reply.Held > maxAge {
		return false
	}
	own, next := t.state.Next(), reply.Page.Next
	if !t.state.Loaded() {
		return reply.Snapshot
	}
	if next.Era != own.Era {
		return next.Era > own.Era && reply.Snapshot
	}
	if isBefore(next, own) {
		return false
	}
	// Without a snapshot, the records are those from the own position on, without a gap.
	for _, record := range reply.Page.Records {
		if record.Key == "" || record.Offset >= next.Offset && !reply.Snapshot {
			return false
		}
	}
	return true
}

// Hint tells that a peer knows the topic up to a position. If the source of this instance does not
// bring the records soon, the peer is asked.
func (t *Tailer) Hint(peer Source, next keyed.Position) {
	if !t.isBehind(next) {
		return
	}
	time.AfterFunc(hintDelay, func() {
		if !t.isBehind(next) {
			return
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.cancelFetch != nil && t.fetching != peer.ID {
			t.hint = &peer
			t.cancelFetch()
		}
	})
}

func (t *Tailer) isBehind(next keyed.Position) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Loaded() && isBefore(t.state.Next(), next)
}

func (t *Tailer) setFetch(peer platform.InstanceID, cancel context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fetching, t.cancelFetch = peer, cancel
}
