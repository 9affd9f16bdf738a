package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/keyed"
	"github.com/wigeonusher/wigeonusher/coord/membership"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/coord/readers"
	"github.com/wigeonusher/wigeonusher/node/broadcast"
	"github.com/wigeonusher/wigeonusher/node/cluster"
	"github.com/wigeonusher/wigeonusher/node/tailer"
	"github.com/wigeonusher/wigeonusher/wire/peer"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

const (
	// readersPerZone is the number of instances of a zone that read a topic from the log: one may
	// be frozen or cut off without anybody's knowledge getting older.
	readersPerZone = 2
	// failingLifetime is how long an instance that could not read a topic leaves that to others.
	failingLifetime = 5 * time.Second
	// settleTime is how long an instance may take to get to know its peers after its start.
	settleTime = 2 * time.Second
	// maxTopics bounds the topics in a peer's digest or notice, and maxTopicPeers the peers whose
	// digests are remembered.
	maxTopics     = 8
	maxTopicPeers = 256
)

// topics shares the topics of the log among the instances of the zone: it implements [tailer.Peers]
// and [cluster.Gossip], and serves the peers that follow this instance.
type topics struct {
	cluster     *cluster.Cluster
	client      *peer.Client
	broadcaster *broadcast.Broadcaster
	startedAt   time.Time

	mu      sync.Mutex
	tailers map[keyed.Topic]*tailer.Tailer
	// failedAt is when this instance last failed to read a topic.
	failedAt map[keyed.Topic]time.Time
	// peers holds what peers say of the topics. One that says nothing of a topic, as those of
	// earlier builds, is not followed.
	peers map[platform.InstanceID]peerTopics
}

type peerTopics struct {
	failing map[keyed.Topic]bool
	toldAt  time.Time
}

func newTopics(cluster *cluster.Cluster, client *peer.Client) *topics {
	return &topics{
		cluster: cluster, client: client, startedAt: time.Now(), tailers: make(map[keyed.Topic]*tailer.Tailer),
		failedAt: make(map[keyed.Topic]time.Time), peers: make(map[platform.InstanceID]peerTopics),
	}
}

// add makes a tailer's topic known to peers.
func (t *topics) add(followed *tailer.Tailer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tailers[followed.Topic()] = followed
}

func (t *topics) tailer(topic keyed.Topic) *tailer.Tailer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tailers[topic]
}

// statuses tells how this instance follows each topic, in order of their names.
func (t *topics) statuses() []tailer.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	statuses := []tailer.Status{}
	for _, topic := range slices.Sorted(maps.Keys(t.tailers)) {
		statuses = append(statuses, t.tailers[topic].Status())
	}
	return statuses
}

// isFailing reports whether this instance lately failed to read the topic. The caller holds mu.
func (t *topics) isFailing(topic keyed.Topic) bool {
	failedAt, ok := t.failedAt[topic]
	return ok && time.Since(failedAt) < failingLifetime
}

// candidates returns the live instances of the zone that share the topic, by rank.
func (t *topics) candidates(topic keyed.Topic) ([]readers.Candidate, map[platform.InstanceID]membership.Peer) {
	ranked, self := t.cluster.Rank(string(topic)), t.cluster.Self().ID
	t.mu.Lock()
	defer t.mu.Unlock()
	var candidates []readers.Candidate
	known := make(map[platform.InstanceID]membership.Peer, len(ranked))
	for _, member := range ranked {
		failing, shares := t.peers[member.ID].failing[topic]
		if member.ID == self {
			failing, shares = t.isFailing(topic), true
		}
		if shares {
			candidates = append(candidates, readers.Candidate{ID: member.ID, Failing: failing})
			known[member.ID] = member
		}
	}
	return candidates, known
}

// IsReader implements [tailer.Peers].
func (t *topics) IsReader(topic keyed.Topic) bool {
	candidates, _ := t.candidates(topic)
	return readers.IsReader(t.cluster.Self().ID, readers.Select(candidates, readersPerZone))
}

// IsSettling implements [tailer.Peers].
func (t *topics) IsSettling() bool { return time.Since(t.startedAt) < settleTime }

// Source implements [tailer.Peers]. The followers divide themselves among the readers. An instance
// that must avoid all of them asks another one, the same each time.
func (t *topics) Source(topic keyed.Topic, avoid func(platform.InstanceID) bool) (tailer.Source, bool) {
	candidates, known := t.candidates(topic)
	self := t.cluster.Self().ID
	var others []platform.InstanceID
	for _, candidate := range candidates {
		others = append(others, candidate.ID)
	}
	for _, group := range [][]platform.InstanceID{readers.Select(candidates, readersPerZone), others} {
		group = slices.DeleteFunc(group, func(id platform.InstanceID) bool { return id == self || avoid(id) })
		if len(group) > 0 {
			best := slices.MinFunc(group, func(a, b platform.InstanceID) int {
				return membership.CompareScores(string(self), string(a), string(b))
			})
			return tailer.Source{ID: best, Address: known[best].Address}, true
		}
	}
	return tailer.Source{}, false
}

// ZoneSize implements [tailer.Peers].
func (t *topics) ZoneSize() int { return len(t.cluster.Live()) }

// SetFailing implements [tailer.Peers].
func (t *topics) SetFailing(topic keyed.Topic, failing bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if failing {
		t.failedAt[topic] = time.Now()
	} else {
		delete(t.failedAt, topic)
	}
}

// Advanced implements [tailer.Peers].
func (t *topics) Advanced(topic keyed.Topic, next keyed.Position) {
	t.broadcaster.TellZone(&peerpb.Notice{Instance: string(t.cluster.Self().ID), Advanced: []*peerpb.TopicPosition{
		{Topic: string(topic), Era: uint64(next.Era), Next: uint64(next.Offset)},
	}})
}

// handleAdvanced tells the tailers that a peer has read new records.
func (t *topics) handleAdvanced(instance string, advanced []*peerpb.TopicPosition) {
	if len(advanced) == 0 {
		return
	}
	id := platform.InstanceID(instance)
	for _, member := range t.cluster.Live() {
		if member.ID != id {
			continue
		}
		for _, position := range advanced[:min(len(advanced), maxTopics)] {
			if followed := t.tailer(keyed.Topic(position.Topic)); followed != nil {
				followed.Hint(tailer.Source{ID: id, Address: member.Address}, keyed.Position{Era: keyed.Era(position.Era), Offset: keyed.Offset(position.Next)})
			}
		}
	}
}

// Fill implements [cluster.Gossip].
func (t *topics) Fill(_ time.Time, _ platform.InstanceID, digest *peerpb.Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for topic := range t.tailers {
		digest.Topics = append(digest.Topics, &peerpb.TopicState{Topic: string(topic), Failing: t.isFailing(topic)})
	}
}

// HandleDigest implements [cluster.Gossip].
func (t *topics) HandleDigest(now time.Time, digest *peerpb.Digest) {
	told := peerTopics{failing: make(map[keyed.Topic]bool), toldAt: now}
	for _, state := range digest.Topics[:min(len(digest.Topics), maxTopics)] {
		told.failing[keyed.Topic(state.Topic)] = state.Failing
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[platform.InstanceID(digest.Instance)] = told
	for id, other := range t.peers {
		if len(t.peers) > maxTopicPeers && now.Sub(other.toldAt) > failingLifetime {
			delete(t.peers, id)
		}
	}
}

// Fetch implements [tailer.Peers].
func (t *topics) Fetch(ctx context.Context, source tailer.Source, request tailer.Request) (tailer.Reply, error) {
	reply, err := t.client.FollowTopic(ctx, source.Address, &peerpb.FollowTopicRequest{
		Topic: string(request.Topic), Loaded: request.Loaded,
		Era: uint64(request.From.Era), Offset: uint64(request.From.Offset), WaitMs: uint32(request.Wait.Milliseconds()),
		SeenProofs: request.SeenProofs,
	})
	if err != nil {
		return tailer.Reply{}, err
	}
	return decodeReply(reply), nil
}

// FollowTopic implements [broadcast.TopicHandler].
func (t *topics) FollowTopic(ctx context.Context, request *peerpb.FollowTopicRequest) *peerpb.FollowTopicReply {
	followed := t.tailer(keyed.Topic(request.Topic))
	if followed == nil {
		return &peerpb.FollowTopicReply{}
	}
	return encodeReply(followed.Serve(ctx, tailer.Request{
		Topic: keyed.Topic(request.Topic), Loaded: request.Loaded,
		From: keyed.Position{Era: keyed.Era(request.Era), Offset: keyed.Offset(request.Offset)},
		Wait: time.Duration(request.WaitMs) * time.Millisecond, SeenProofs: request.SeenProofs,
	}))
}

// encodeReply rounds the ages so that the proof never becomes newer.
func encodeReply(reply tailer.Reply) *peerpb.FollowTopicReply {
	encoded := &peerpb.FollowTopicReply{
		Known: reply.Known, Snapshot: reply.Snapshot, TooLarge: reply.TooLarge,
		Era: uint64(reply.Page.Next.Era), Next: uint64(reply.Page.Next.Offset), Proofs: reply.Proofs,
		ProofAgeMs: uint64((reply.ProofAge + time.Millisecond - 1).Milliseconds()), HeldMs: uint64(reply.Held.Milliseconds()),
		GraceMs: uint32(max(0, reply.Grace).Milliseconds()),
	}
	for _, record := range reply.Page.Records {
		encoded.Records = append(encoded.Records, &peerpb.TopicRecord{Key: record.Key, Value: record.Value, Offset: uint64(record.Offset)})
	}
	return encoded
}

func decodeReply(encoded *peerpb.FollowTopicReply) tailer.Reply {
	reply := tailer.Reply{
		Known: encoded.Known, Snapshot: encoded.Snapshot, TooLarge: encoded.TooLarge, Proofs: encoded.Proofs,
		ProofAge: time.Duration(min(encoded.ProofAgeMs, maxReportAgeMillis+1)) * time.Millisecond,
		Held:     time.Duration(min(encoded.HeldMs, maxReportAgeMillis+1)) * time.Millisecond,
		Grace:    time.Duration(encoded.GraceMs) * time.Millisecond,
	}
	reply.Page.Next = keyed.Position{Era: keyed.Era(encoded.Era), Offset: keyed.Offset(encoded.Next)}
	for _, record := range encoded.Records {
		reply.Page.Records = append(reply.Page.Records, keyed.Record{Key: record.Key, Value: record.Value, Offset: keyed.Offset(record.Offset)})
	}
	return reply
}
