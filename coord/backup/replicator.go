package backup

import (
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// ReplicatorConfig bounds a [Replicator].
type ReplicatorConfig struct {
	// Deadline is the time after a [CopyRequest] at which its entries are released
	// even without a copy. If no peer responds, the end of an answer is delayed by
	// this time.
	Deadline time.Duration
	// CopyTimeout is the longest time to wait for the result of one [Copy]. It is below
	// Deadline so that a second peer can be tried.
	CopyTimeout time.Duration
	// PeerBackoff is how long a peer gets no messages after it failed or refused
	// entries.
	PeerBackoff time.Duration
	// SettledInterval is the minimum time between two messages that carry only
	// settled IDs.
	SettledInterval time.Duration
	// MaxTracked bounds the entries that are tracked until the log has them.
	// Entries beyond it are released without a copy.
	MaxTracked int
	// MaxBatch bounds the entries, and the settled IDs, of one message.
	MaxBatch int
}

// trackedEntry is an entry that is not known to be in the log.
type trackedEntry struct {
	entry    platform.Entry
	stream   platform.Stream
	deadline time.Time
	released bool
	// queued reports whether the entry is in the copy queue.
	queued bool
	// copiedTo lists the peers that confirmed a copy; sentTo lists all peers
	// that may have one.
	copiedTo []platform.InstanceID
	sentTo   []platform.InstanceID
}

// inFlightCopy is a [Copy] message that the peer has not answered yet.
type inFlightCopy struct {
	copy   Copy
	sentAt time.Time
}

// Replicator decides which entries are copied to which peer, and when the callers
// that wait for the copies are released. It is not safe for concurrent use.
type Replicator struct {
	cfg               ReplicatorConfig
	peers             []platform.InstanceID
	avoidUntil        map[platform.InstanceID]time.Time // peers to avoid, and until when
	entries           map[string]*trackedEntry
	copyQueue         []string // IDs of entries to copy, in order
	unreleased        []string // IDs of entries not released, by deadline
	settled           map[platform.InstanceID][]string
	lastSettleMessage time.Time // when the last message with only settled IDs was sent
	lastCopyID        CopyID
	inFlight          *inFlightCopy
	// uncopied counts the entries released without a copy and before they were known
	// to be in the log: those beyond MaxTracked and those past their deadline.
	uncopied uint64
}

// NewReplicator returns a replicator without peers.
func NewReplicator(cfg ReplicatorConfig) *Replicator {
	return &Replicator{
		cfg:        cfg,
		avoidUntil: map[platform.InstanceID]time.Time{},
		entries:    map[string]*trackedEntry{},
		settled:    map[platform.InstanceID][]string{},
	}
}

// Step processes an event and returns the effects for the caller to perform, in
// order.
func (r *Replicator) Step(now time.Time, event Event) []Effect {
	var effects []Effect
	switch event := event.(type) {
	case CopyRequest:
		effects = r.handleRequest(now, event)
	case CopyResult:
		effects = r.handleResult(now, event)
	case Logged:
		effects = r.handleLogged(event)
	case Peers:
		r.setPeers(event.IDs)
	}
	effects = append(effects, r.releaseExpired(now)...)
	return append(effects, r.sendNext(now)...)
}

// Uncopied returns the number of entries that were released without a copy.
func (r *Replicator) Uncopied() uint64 { return r.uncopied }

// Len returns the number of entries that are not known to be in the log.
func (r *Replicator) Len() int { return len(r.entries) }

// NextTick returns the time at which the next [Tick] is due. It returns false if
// none is due.
func (r *Replicator) NextTick() (time.Time, bool) {
	var next time.Time
	earliest := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	if r.inFlight != nil {
		earliest(r.inFlight.sentAt.Add(r.cfg.CopyTimeout))
	}
	if len(r.unreleased) > 0 {
		earliest(r.entries[r.unreleased[0]].deadline)
	}
	for peer := range r.settled {
		if r.inFlight == nil {
			earliest(laterOf(r.lastSettleMessage.Add(r.cfg.SettledInterval), r.avoidUntil[peer]))
		}
	}
	if r.inFlight == nil && len(r.copyQueue) > 0 && len(r.peers) > 0 {
		earliest(r.nextPeerTime())
	}
	return next, !next.IsZero()
}

func (r *Replicator) handleRequest(now time.Time, request CopyRequest) []Effect {
	var untracked []string
	for _, entry := range request.Entries {
		if r.entries[entry.ID] != nil {
			continue
		}
		if len(r.entries) >= r.cfg.MaxTracked {
			untracked = append(untracked, entry.ID)
			continue
		}
		r.entries[entry.ID] = &trackedEntry{
			entry:    entry,
			stream:   request.Stream,
			deadline: now.Add(r.cfg.Deadline),
			queued:   true,
		}
		r.copyQueue = append(r.copyQueue, entry.ID)
		r.unreleased = append(r.unreleased, entry.ID)
	}
	r.uncopied += uint64(len(untracked))
	return release(untracked, false)
}

func (r *Replicator) handleResult(now time.Time, result CopyResult) []Effect {
	if r.inFlight == nil || r.inFlight.copy.ID != result.Copy {
		return nil
	}
	sent := r.inFlight.copy
	if result.Failed || !slices.Contains(r.peers, sent.To) {
		r.failInFlight(now)
		return nil
	}
	r.inFlight = nil
	delete(r.avoidUntil, sent.To)
	r.removeSettled(sent.To, sent.Settled)
	held := min(max(result.Stored, 0), len(sent.Entries))
	if held < len(sent.Entries) {
		r.avoidUntil[sent.To] = now.Add(r.cfg.PeerBackoff)
		r.requeue(sent.Entries[held:])
	}
	return r.confirmCopies(sent.To, sent.Entries[:held])
}

// confirmCopies records that the peer has copies of the entries and releases
// those not released yet.
func (r *Replicator) confirmCopies(peer platform.InstanceID, entries []platform.Entry) []Effect {
	var ids []string
	for _, entry := range entries {
		t := r.entries[entry.ID]
		if t == nil {
			continue
		}
		t.copiedTo = append(t.copiedTo, peer)
		if !t.released {
			t.released = true
			ids = append(ids, entry.ID)
		}
	}
	return release(ids, true)
}

// handleLogged stops tracking entries and queues their IDs as settled for each
// peer that may have copies. It releases those not released yet, because an
// entry in the log needs no copy.
func (r *Replicator) handleLogged(event Logged) []Effect {
	var ids []string
	for _, id := range event.IDs {
		t := r.entries[id]
		if t == nil {
			continue
		}
		for _, peer := range t.sentTo {
			if slices.Contains(r.peers, peer) {
				r.settled[peer] = append(r.settled[peer], id)
			}
		}
		if !t.released {
			ids = append(ids, id)
		}
		delete(r.entries, id)
	}
	r.copyQueue = slices.DeleteFunc(r.copyQueue, r.isUntracked)
	r.unreleased = slices.DeleteFunc(r.unreleased, r.isUntracked)
	return release(ids, true)
}

// setPeers replaces the peers and drops the state of departed ones. Entries whose
// only copies were on departed peers are queued to be copied again.
func (r *Replicator) setPeers(ids []platform.InstanceID) {
	r.peers = slices.Clone(ids)
	departed := func(id platform.InstanceID) bool { return !slices.Contains(ids, id) }
	for id := range r.settled {
		if departed(id) {
			delete(r.settled, id)
		}
	}
	for id := range r.avoidUntil {
		if departed(id) {
			delete(r.avoidUntil, id)
		}
	}
	var toCopy []string
	for id, t := range r.entries {
		before := len(t.copiedTo)
		t.copiedTo = slices.DeleteFunc(t.copiedTo, departed)
		t.sentTo = slices.DeleteFunc(t.sentTo, departed)
		if before > 0 && len(t.copiedTo) == 0 && !t.queued {
			toCopy = append(toCopy, id)
		}
	}
	slices.Sort(toCopy)
	r.enqueue(toCopy)
}

// releaseExpired releases the entries whose deadline has passed, and fails the
// copy in flight if it has timed out.
func (r *Replicator) releaseExpired(now time.Time) []Effect {
	if r.inFlight != nil && now.Sub(r.inFlight.sentAt) >= r.cfg.CopyTimeout {
		r.failInFlight(now)
	}
	var ids []string
	for _, id := range r.unreleased {
		t := r.entries[id]
		if now.Before(t.deadline) {
			break
		}
		t.released = true
		ids = append(ids, id)
	}
	r.uncopied += uint64(len(ids))
	r.compactUnreleased()
	return release(ids, false)
}

// sendNext returns the next message to send: queued entries, or else settled IDs.
// It returns nil if a message is in flight, no peer is available or nothing is due.
func (r *Replicator) sendNext(now time.Time) []Effect {
	if r.inFlight != nil {
		return nil
	}
	if to, ok := r.availablePeer(now); ok && len(r.copyQueue) > 0 {
		return r.sendCopy(now, to, r.nextBatch(to))
	}
	if now.Before(r.lastSettleMessage.Add(r.cfg.SettledInterval)) {
		return nil
	}
	for _, peer := range r.peers {
		if len(r.settled[peer]) > 0 && !now.Before(r.avoidUntil[peer]) {
			r.lastSettleMessage = now
			return r.sendCopy(now, peer, Copy{})
		}
	}
	return nil
}

func (r *Replicator) sendCopy(now time.Time, to platform.InstanceID, c Copy) []Effect {
	r.lastCopyID++
	c.ID, c.To = r.lastCopyID, to
	c.Settled = slices.Clone(r.settled[to][:min(len(r.settled[to]), r.cfg.MaxBatch)])
	r.inFlight = &inFlightCopy{copy: c, sentAt: now}
	return []Effect{c}
}

// nextBatch removes up to MaxBatch entries of one stream from the front of the
// queue and returns a message with them. It records that the given peer may
// have copies of them.
func (r *Replicator) nextBatch(to platform.InstanceID) Copy {
	c := Copy{Stream: r.entries[r.copyQueue[0]].stream}
	n := 0
	for n < len(r.copyQueue) && n < r.cfg.MaxBatch {
		t := r.entries[r.copyQueue[n]]
		if t.stream != c.Stream {
			break
		}
		t.queued = false
		if !slices.Contains(t.sentTo, to) {
			t.sentTo = append(t.sentTo, to)
		}
		c.Entries = append(c.Entries, t.entry)
		n++
	}
	r.copyQueue = r.copyQueue[n:]
	return c
}

// availablePeer returns the first peer that is not avoided.
func (r *Replicator) availablePeer(now time.Time) (platform.InstanceID, bool) {
	for _, peer := range r.peers {
		if !now.Before(r.avoidUntil[peer]) {
			return peer, true
		}
	}
	return "", false
}

// nextPeerTime returns the earliest time at which a peer is not avoided.
func (r *Replicator) nextPeerTime() time.Time {
	next := r.avoidUntil[r.peers[0]]
	for _, peer := range r.peers[1:] {
		if until := r.avoidUntil[peer]; until.Before(next) {
			next = until
		}
	}
	return next
}

func (r *Replicator) failInFlight(now time.Time) {
	failed := r.inFlight.copy
	r.inFlight = nil
	r.avoidUntil[failed.To] = now.Add(r.cfg.PeerBackoff)
	r.requeue(failed.Entries)
}

func (r *Replicator) requeue(entries []platform.Entry) {
	ids := make([]string, 0, len(entries))
	for _, entry := range entries {
		ids = append(ids, entry.ID)
	}
	r.enqueue(ids)
}

// enqueue adds the entries that are still tracked to the front of the queue.
func (r *Replicator) enqueue(ids []string) {
	ids = slices.DeleteFunc(ids, r.isUntracked)
	for _, id := range ids {
		r.entries[id].queued = true
	}
	r.copyQueue = append(ids, r.copyQueue...)
}

// removeSettled removes the settled IDs that the peer has received.
func (r *Replicator) removeSettled(peer platform.InstanceID, received []string) {
	isReceived := make(map[string]struct{}, len(received))
	for _, id := range received {
		isReceived[id] = struct{}{}
	}
	pending := slices.DeleteFunc(r.settled[peer], func(id string) bool {
		_, ok := isReceived[id]
		return ok
	})
	if len(pending) == 0 {
		delete(r.settled, peer)
		return
	}
	r.settled[peer] = pending
}

func (r *Replicator) isUntracked(id string) bool { return r.entries[id] == nil }

func (r *Replicator) compactUnreleased() {
	r.unreleased = slices.DeleteFunc(r.unreleased, func(id string) bool {
		return r.entries[id] == nil || r.entries[id].released
	})
}

func laterOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

func release(ids []string, copied bool) []Effect {
	if len(ids) == 0 {
		return nil
	}
	return []Effect{Release{IDs: ids, Copied: copied}}
}
