package hold

import (
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// ReplicatorConfig bounds a [Replicator].
type ReplicatorConfig struct {
	// Deadline is the longest wait for a copy. It delays the end of an answer
	// if no peer responds.
	Deadline time.Duration
	// CopyTimeout is the longest wait for one peer, below Deadline so that a
	// second peer can be tried.
	CopyTimeout time.Duration
	// AvoidFor is how long a peer that failed is passed over while there are
	// others.
	AvoidFor time.Duration
	// SettleInterval is the least time between two messages that carry
	// nothing but settled IDs.
	SettleInterval time.Duration
	// MaxTracked bounds the entries followed until the log has them. Entries
	// beyond it are released without a copy.
	MaxTracked int
	// MaxBatch bounds the entries, and the settled IDs, of one message.
	MaxBatch int
}

// tracked is an entry that is not known to be in the log.
type tracked struct {
	entry    platform.Entry
	stream   platform.Stream
	deadline time.Time
	released bool
	// queued is set while the entry waits for a copy to be sent.
	queued bool
	// copiedTo are peers that confirmed a copy; sentTo may hold one.
	copiedTo []platform.InstanceID
	sentTo   []platform.InstanceID
}

// flight is the copy that waits for an answer.
type flight struct {
	copy    Copy
	started time.Time
}

// Replicator decides which entries are copied to which peer, and when what
// waits for the copies goes on. It is not safe for concurrent use.
type Replicator struct {
	cfg     ReplicatorConfig
	peers   []platform.InstanceID
	avoid   map[platform.InstanceID]time.Time // end of the time of avoidance
	entries map[string]*tracked
	queue   []string // IDs that wait for a copy, in order
	waiting []string // IDs not released, in order of deadline
	settled map[platform.InstanceID][]string
	settle  time.Time // start of the last message with settled IDs alone
	last    CopyID
	flight  *flight
	// uncopied counts entries released without a copy.
	uncopied uint64
}

// NewReplicator returns a replicator without peers.
func NewReplicator(cfg ReplicatorConfig) *Replicator {
	return &Replicator{
		cfg:     cfg,
		avoid:   map[platform.InstanceID]time.Time{},
		entries: map[string]*tracked{},
		settled: map[platform.InstanceID][]string{},
	}
}

// Step takes an event in and returns what is to be done.
func (r *Replicator) Step(now time.Time, event Event) []Effect {
	var effects []Effect
	switch event := event.(type) {
	case Protect:
		effects = r.protect(now, event)
	case CopyResult:
		effects = r.onResult(now, event)
	case Logged:
		effects = r.onLogged(event)
	case Peers:
		r.setPeers(event.IDs)
	}
	effects = append(effects, r.expire(now)...)
	return append(effects, r.send(now)...)
}

// Uncopied returns the number of entries that were released without a copy.
func (r *Replicator) Uncopied() uint64 { return r.uncopied }

// Len returns the number of entries that are not known to be in the log.
func (r *Replicator) Len() int { return len(r.entries) }

// Wake returns the time at which a Tick is due. It reports false if none is.
func (r *Replicator) Wake() (time.Time, bool) {
	var wake time.Time
	earliest := func(t time.Time) {
		if wake.IsZero() || t.Before(wake) {
			wake = t
		}
	}
	if r.flight != nil {
		earliest(r.flight.started.Add(r.cfg.CopyTimeout))
	}
	if len(r.waiting) > 0 {
		earliest(r.entries[r.waiting[0]].deadline)
	}
	for peer := range r.settled {
		if r.flight == nil {
			earliest(later(r.settle.Add(r.cfg.SettleInterval), r.avoid[peer]))
		}
	}
	if r.flight == nil && len(r.queue) > 0 && len(r.peers) > 0 {
		earliest(r.nextPeerAt())
	}
	return wake, !wake.IsZero()
}

func (r *Replicator) protect(now time.Time, event Protect) []Effect {
	var refused []string
	for _, entry := range event.Entries {
		if r.entries[entry.ID] != nil {
			continue
		}
		if len(r.entries) >= r.cfg.MaxTracked {
			refused = append(refused, entry.ID)
			continue
		}
		r.entries[entry.ID] = &tracked{
			entry:    entry,
			stream:   event.Stream,
			deadline: now.Add(r.cfg.Deadline),
			queued:   true,
		}
		r.queue = append(r.queue, entry.ID)
		r.waiting = append(r.waiting, entry.ID)
	}
	r.uncopied += uint64(len(refused))
	return release(refused, false)
}

func (r *Replicator) onResult(now time.Time, result CopyResult) []Effect {
	if r.flight == nil || r.flight.copy.ID != result.Copy {
		return nil
	}
	sent := r.flight.copy
	if result.Failed || !slices.Contains(r.peers, sent.To) {
		r.failFlight(now)
		return nil
	}
	r.flight = nil
	delete(r.avoid, sent.To)
	r.dropSettled(sent.To, sent.Settled)
	held := min(max(result.Held, 0), len(sent.Entries))
	if held < len(sent.Entries) {
		r.avoid[sent.To] = now.Add(r.cfg.AvoidFor)
		r.requeue(sent.Entries[held:])
	}
	return r.confirm(sent.To, sent.Entries[:held])
}

// confirm notes the copies at a peer and releases their entries.
func (r *Replicator) confirm(peer platform.InstanceID, entries []platform.Entry) []Effect {
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

// onLogged forgets entries and queues the news for each peer that may hold
// them. An entry that was not released is: the log is as good as a copy.
func (r *Replicator) onLogged(event Logged) []Effect {
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
	r.queue = slices.DeleteFunc(r.queue, r.unknown)
	r.waiting = slices.DeleteFunc(r.waiting, r.unknown)
	return release(ids, true)
}

// setPeers replaces the peers. Entries whose only copies were at departed
// peers are copied again.
func (r *Replicator) setPeers(ids []platform.InstanceID) {
	r.peers = slices.Clone(ids)
	departed := func(id platform.InstanceID) bool { return !slices.Contains(ids, id) }
	for id := range r.settled {
		if departed(id) {
			delete(r.settled, id)
		}
	}
	for id := range r.avoid {
		if departed(id) {
			delete(r.avoid, id)
		}
	}
	var lost []string
	for id, t := range r.entries {
		before := len(t.copiedTo)
		t.copiedTo = slices.DeleteFunc(t.copiedTo, departed)
		t.sentTo = slices.DeleteFunc(t.sentTo, departed)
		if before > 0 && len(t.copiedTo) == 0 && !t.queued {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	r.enqueue(lost)
}

// expire releases what has waited for the whole deadline, and gives up a copy
// that has waited for its timeout.
func (r *Replicator) expire(now time.Time) []Effect {
	if r.flight != nil && now.Sub(r.flight.started) >= r.cfg.CopyTimeout {
		r.failFlight(now)
	}
	var ids []string
	for _, id := range r.waiting {
		t := r.entries[id]
		if now.Before(t.deadline) {
			break
		}
		t.released = true
		ids = append(ids, id)
	}
	r.uncopied += uint64(len(ids))
	r.forgetWaiting()
	return release(ids, false)
}

// send starts the next message if none is in flight.
func (r *Replicator) send(now time.Time) []Effect {
	if r.flight != nil {
		return nil
	}
	if to, ok := r.target(now); ok && len(r.queue) > 0 {
		return r.start(now, to, r.nextBatch(to))
	}
	if now.Before(r.settle.Add(r.cfg.SettleInterval)) {
		return nil
	}
	for _, peer := range r.peers {
		if len(r.settled[peer]) > 0 && !now.Before(r.avoid[peer]) {
			r.settle = now
			return r.start(now, peer, Copy{})
		}
	}
	return nil
}

func (r *Replicator) start(now time.Time, to platform.InstanceID, c Copy) []Effect {
	r.last++
	c.ID, c.To = r.last, to
	c.Settled = slices.Clone(r.settled[to][:min(len(r.settled[to]), r.cfg.MaxBatch)])
	r.flight = &flight{copy: c, started: now}
	return []Effect{c}
}

// nextBatch takes entries of one stream from the front of the queue.
func (r *Replicator) nextBatch(to platform.InstanceID) Copy {
	c := Copy{Stream: r.entries[r.queue[0]].stream}
	n := 0
	for n < len(r.queue) && n < r.cfg.MaxBatch {
		t := r.entries[r.queue[n]]
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
	r.queue = r.queue[n:]
	return c
}

// target returns the first peer that is not avoided.
func (r *Replicator) target(now time.Time) (platform.InstanceID, bool) {
	for _, peer := range r.peers {
		if !now.Before(r.avoid[peer]) {
			return peer, true
		}
	}
	return "", false
}

// nextPeerAt returns when the first avoidance ends.
func (r *Replicator) nextPeerAt() time.Time {
	next := r.avoid[r.peers[0]]
	for _, peer := range r.peers[1:] {
		if until := r.avoid[peer]; until.Before(next) {
			next = until
		}
	}
	return next
}

func (r *Replicator) failFlight(now time.Time) {
	failed := r.flight.copy
	r.flight = nil
	r.avoid[failed.To] = now.Add(r.cfg.AvoidFor)
	r.requeue(failed.Entries)
}

func (r *Replicator) requeue(entries []platform.Entry) {
	ids := make([]string, 0, len(entries))
	for _, entry := range entries {
		ids = append(ids, entry.ID)
	}
	r.enqueue(ids)
}

// enqueue puts entries that are still followed at the front of the queue.
func (r *Replicator) enqueue(ids []string) {
	ids = slices.DeleteFunc(ids, r.unknown)
	for _, id := range ids {
		r.entries[id].queued = true
	}
	r.queue = append(ids, r.queue...)
}

// dropSettled forgets news that the peer has received.
func (r *Replicator) dropSettled(peer platform.InstanceID, received []string) {
	done := make(map[string]struct{}, len(received))
	for _, id := range received {
		done[id] = struct{}{}
	}
	left := slices.DeleteFunc(r.settled[peer], func(id string) bool {
		_, ok := done[id]
		return ok
	})
	if len(left) == 0 {
		delete(r.settled, peer)
		return
	}
	r.settled[peer] = left
}

func (r *Replicator) unknown(id string) bool { return r.entries[id] == nil }

func (r *Replicator) forgetWaiting() {
	r.waiting = slices.DeleteFunc(r.waiting, func(id string) bool {
		return r.entries[id] == nil || r.entries[id].released
	})
}

func later(a, b time.Time) time.Time {
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
