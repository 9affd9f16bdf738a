package tail

import (
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// peerState is the state of the peers as sources and of the reads from them.
type peerState struct {
	ranked  []platform.InstanceID // instances of the local zone, including self
	sources map[platform.InstanceID]*source

	activeRead ReadID // 0 if none
	peer       platform.InstanceID
	deadline   time.Time
	pollAt     time.Time // next read without a peer known to be ahead
	// aheadSince is the time since which some source has been ahead; zero if
	// none is.
	aheadSince time.Time
	// target is the next offset of the first peer that answered, ignoring peers
	// without records. While the log is unavailable, the tailer is ready once
	// it has reached this offset.
	target platform.Offset
}

// source is a peer that can serve records.
type source struct {
	PeerOffset
	retryAt  time.Time // end of the delay after a failure
	failures int
}

func newPeerState() peerState {
	return peerState{sources: map[platform.InstanceID]*source{}}
}

// update replaces the sources, and keeps the failures and delays of those that
// remain.
func (p *peerState) update(event PeersUpdated, now time.Time, next platform.Offset) {
	sources := make(map[platform.InstanceID]*source, len(event.Sources))
	for _, offset := range event.Sources {
		current, ok := p.sources[offset.ID]
		if !ok {
			current = &source{}
		}
		current.PeerOffset = offset
		sources[offset.ID] = current
	}
	p.sources = sources
	p.ranked = event.Readers
	if _, ahead := p.ahead(now, next); !ahead {
		p.aheadSince = time.Time{}
	} else if p.aheadSince.IsZero() {
		p.aheadSince = now
	}
}

// ahead returns the sources whose next offset is above next and that are not
// delayed after a failure, in no particular order, and whether there are any.
func (p *peerState) ahead(now time.Time, next platform.Offset) ([]*source, bool) {
	var ahead []*source
	for _, candidate := range p.sources {
		if candidate.Next > next && !now.Before(candidate.retryAt) {
			ahead = append(ahead, candidate)
		}
	}
	return ahead, len(ahead) > 0
}

// rank returns the position of a source in the order of preference: its rank
// among the live instances of the local zone, or the same last position for all
// other peers.
func (p *peerState) rank(candidate *source) int {
	if position := slices.Index(p.ranked, candidate.ID); position >= 0 {
		return position
	}
	return len(p.ranked)
}

// choose returns the candidate with the lowest rank. Candidates of other zones
// rank equally; pick returns a random index below its argument, so that they
// share the load.
func (p *peerState) choose(candidates []*source, pick func(n int) int) *source {
	best := len(p.ranked)
	for _, candidate := range candidates {
		best = min(best, p.rank(candidate))
	}
	candidates = slices.DeleteFunc(candidates, func(candidate *source) bool {
		return p.rank(candidate) != best
	})
	slices.SortFunc(candidates, func(a, b *source) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return candidates[pick(len(candidates))]
}

// pauseCurrent excludes the peer of the last read until the given time and counts
// a failure of the peer.
func (p *peerState) pauseCurrent(until time.Time) {
	if current, ok := p.sources[p.peer]; ok {
		current.failures++
		current.retryAt = until
	}
}

// planPeer returns the next read from a peer, if one is due.
func (t *Tailer) planPeer() (Effect, bool) {
	if t.peers.activeRead != 0 {
		return nil, false
	}
	candidates, ahead := t.peers.ahead(t.now, t.next)
	if ahead && t.shouldReadPeer() {
		return t.readPeer(t.peers.choose(candidates, t.rnd.IntN)), true
	}
	if t.isReader() || t.now.Before(t.peers.pollAt) {
		return nil, false
	}
	candidates = t.peers.upstream(t.now, t.cfg.Self)
	if len(candidates) == 0 {
		return nil, false
	}
	return t.readPeer(t.peers.choose(candidates, t.rnd.IntN)), true
}

// shouldReadPeer reports whether to read now, given that some peer is ahead. While
// the log answers and no snapshot is needed, a reader of the log reads from a peer
// only once peers have been ahead for HintDelay. With a strategy other than
// [PeerFirst], the result is false until the tailer is ready or the log fails.
func (t *Tailer) shouldReadPeer() bool {
	switch {
	case t.log.failures > 0:
		return true
	case t.cfg.Bootstrap != PeerFirst && !t.ready:
		return false
	case !t.isReader() || t.needsSnapshot():
		return true
	default:
		return !t.peers.aheadSince.IsZero() && t.now.Sub(t.peers.aheadSince) >= t.cfg.HintDelay
	}
}

// upstream returns the sources that rank above self in the local zone and are not
// delayed after a failure.
func (p *peerState) upstream(now time.Time, self platform.InstanceID) []*source {
	var upstream []*source
	for _, id := range p.ranked {
		if id == self {
			break
		}
		if candidate, ok := p.sources[id]; ok && !now.Before(candidate.retryAt) {
			upstream = append(upstream, candidate)
		}
	}
	return upstream
}

// readPeer starts a read from the peer.
func (t *Tailer) readPeer(from *source) ReadPeer {
	t.peers.activeRead = t.newRead()
	t.peers.peer = from.ID
	t.peers.deadline = t.now.Add(t.cfg.ReadTimeout)
	t.peers.pollAt = t.now.Add(t.jitter(t.cfg.FollowInterval))
	return ReadPeer{Read: t.peers.activeRead, Peer: from.ID, From: t.next, Limit: t.cfg.PageRecords}
}

func (t *Tailer) recordPeerFailure() {
	t.peers.activeRead = 0
	if current, ok := t.peers.sources[t.peers.peer]; ok {
		t.peers.pauseCurrent(t.now.Add(t.retryDelay(current.failures + 1)))
	}
}

func (t *Tailer) handlePeerPage(event PeerPage) []Effect {
	if event.Read == 0 || event.Read > t.lastRead {
		return nil
	}
	if event.Read != t.peers.activeRead {
		return t.deliver(event.Records)
	}
	t.peers.activeRead = 0
	t.lastAnswer = t.now
	if t.peers.target <= 1 {
		t.peers.target = event.Next
	}
	if len(event.Snapshot) > 0 && event.SnapshotNext > t.next {
		t.restoring = true
		return []Effect{DeliverSnapshot{Snapshot: event.Snapshot, Next: event.SnapshotNext}}
	}
	before := t.next
	effects := t.deliver(event.Records)
	t.updateSource(event, t.next > before)
	return effects
}

// updateSource records the offset that the peer of the last read reported and
// resets its failures. A peer that reports records above t.next but sent none that
// could be delivered is excluded for FollowInterval.
func (t *Tailer) updateSource(event PeerPage, progressed bool) {
	current, ok := t.peers.sources[t.peers.peer]
	if !ok {
		return
	}
	current.Next = event.Next
	current.failures = 0
	if !progressed && event.Next > t.next {
		t.peers.pauseCurrent(t.now.Add(t.cfg.FollowInterval))
	}
}
