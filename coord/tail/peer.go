package tail

import (
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// peerState is what is known of the peers as sources.
type peerState struct {
	ranked  []platform.InstanceID // of the own zone, self included
	sources map[platform.InstanceID]*source

	reading  ReadID // 0 if none
	peer     platform.InstanceID
	deadline time.Time
	pollAt   time.Time // next read without a hint
	// aheadSince is since when some source has been ahead; zero if none is.
	aheadSince time.Time
	// target is the first peer's own next offset, from an answer.
	target platform.Offset
}

// source is one peer.
type source struct {
	PeerOffset
	resumeAt time.Time // end of the pause after a failure
	failures int
}

func newPeerState() peerState {
	return peerState{sources: map[platform.InstanceID]*source{}}
}

// see replaces the sources, and keeps the pauses of those that stay.
func (p *peerState) see(event PeersSeen, now time.Time, next platform.Offset) {
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

// ahead returns the sources that are further on than next and not paused, the
// best first: the readers of the own zone in order of rank, then the rest of
// the own zone, then the others, each group by ID.
func (p *peerState) ahead(now time.Time, next platform.Offset) ([]*source, bool) {
	var ahead []*source
	for _, candidate := range p.sources {
		if candidate.Next > next && !now.Before(candidate.resumeAt) {
			ahead = append(ahead, candidate)
		}
	}
	return ahead, len(ahead) > 0
}

// rank is a source's place in the order of preference.
func (p *peerState) rank(candidate *source) int {
	if place := slices.Index(p.ranked, candidate.ID); place >= 0 {
		return place
	}
	return len(p.ranked)
}

// prefer returns the best of the candidates. Among the peers of other zones
// pick chooses, so that they share the load.
func (p *peerState) prefer(candidates []*source, pick func(n int) int) *source {
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

// refuse pauses the peer that was read last.
func (p *peerState) refuse(until time.Time) {
	if current, ok := p.sources[p.peer]; ok {
		current.failures++
		current.resumeAt = until
	}
}

// planPeer chooses the next read of a peer, if one is due.
func (t *Tailer) planPeer() (Effect, bool) {
	if t.peers.reading != 0 {
		return nil, false
	}
	candidates, ahead := t.peers.ahead(t.now, t.next)
	if ahead && t.usesHints() {
		return t.readPeer(t.peers.prefer(candidates, t.rnd.IntN)), true
	}
	if t.isReader() || t.now.Before(t.peers.pollAt) {
		return nil, false
	}
	candidates = t.peers.upstream(t.now, t.cfg.Self)
	if len(candidates) == 0 {
		return nil, false
	}
	return t.readPeer(t.peers.prefer(candidates, t.rnd.IntN)), true
}

// usesHints reports whether a peer that is ahead should be read now. A reader
// of the log gives the log a moment first.
func (t *Tailer) usesHints() bool {
	switch {
	case t.log.failures > 0:
		return true
	case t.cfg.Bootstrap != PeerFirst && !t.ready:
		return false
	case !t.isReader() || t.needsSnapshot():
		return true
	default:
		return !t.peers.aheadSince.IsZero() && t.now.Sub(t.peers.aheadSince) >= t.cfg.HintLag
	}
}

// upstream returns the sources that rank above self in the own zone and are not
// paused.
func (p *peerState) upstream(now time.Time, self platform.InstanceID) []*source {
	var upstream []*source
	for _, id := range p.ranked {
		if id == self {
			break
		}
		if candidate, ok := p.sources[id]; ok && !now.Before(candidate.resumeAt) {
			upstream = append(upstream, candidate)
		}
	}
	return upstream
}

func (t *Tailer) readPeer(from *source) ReadPeer {
	t.peers.reading = t.newRead()
	t.peers.peer = from.ID
	t.peers.deadline = t.now.Add(t.cfg.ReadTimeout)
	t.peers.pollAt = t.now.Add(t.jitter(t.cfg.FollowInterval))
	return ReadPeer{Read: t.peers.reading, Peer: from.ID, From: t.next, Limit: t.cfg.PageRecords}
}

func (t *Tailer) peerFailed() {
	t.peers.reading = 0
	if current, ok := t.peers.sources[t.peers.peer]; ok {
		t.peers.refuse(t.now.Add(t.pause(current.failures + 1)))
	}
}

func (t *Tailer) handlePeerPage(event PeerPage) []Effect {
	if event.Read == 0 || event.Read > t.lastRead {
		return nil
	}
	if event.Read != t.peers.reading {
		return t.take(event.Records)
	}
	t.peers.reading = 0
	t.lastAnswer = t.now
	if t.peers.target <= 1 {
		t.peers.target = event.Next
	}
	if len(event.Snapshot) > 0 && event.SnapshotNext > t.next {
		t.restoring = true
		return []Effect{DeliverSnapshot{Snapshot: event.Snapshot, Next: event.SnapshotNext}}
	}
	before := t.next
	effects := t.take(event.Records)
	t.notePeerProgress(event, t.next > before)
	return effects
}

// notePeerProgress takes in what the peer says of itself. One that promises
// more than it gives is paused.
func (t *Tailer) notePeerProgress(event PeerPage, progressed bool) {
	current, ok := t.peers.sources[t.peers.peer]
	if !ok {
		return
	}
	current.Next = event.Next
	current.failures = 0
	if !progressed && event.Next > t.next {
		t.peers.refuse(t.now.Add(t.cfg.FollowInterval))
	}
}
