package tailer

import (
	"context"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/keyed"
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Peers are the instances of the zone that may be followed.
type Peers interface {
	// IsReader reports whether this instance reads the topic from the log.
	IsReader(topic keyed.Topic) bool
	// IsSettling reports whether this instance has just started and may not know its peers yet.
	IsSettling() bool
	// Source returns an instance to follow, one that reads the topic if possible. It reports
	// false if there is none besides those to avoid.
	Source(topic keyed.Topic, avoid func(platform.InstanceID) bool) (Source, bool)
	// ZoneSize is the number of live instances of the zone.
	ZoneSize() int
	// Fetch asks an instance for the changes since a position. The instance may hold the
	// request for the given time until it knows more.
	Fetch(ctx context.Context, source Source, request Request) (Reply, error)
	// SetFailing tells peers whether this instance can read the topic from the log.
	SetFailing(topic keyed.Topic, failing bool)
	// Advanced tells the zone that this instance has read new records.
	Advanced(topic keyed.Topic, next keyed.Position)
}

// Source is an instance to follow.
type Source struct {
	ID      platform.InstanceID
	Address string
}

// Request asks a peer for what it knows of a topic since a position.
type Request struct {
	Topic keyed.Topic
	// Loaded reports that the sender has the topic up to From.
	Loaded bool
	From   keyed.Position
	Wait   time.Duration
	// SeenProofs is the number of proofs of the peer that the sender has seen, see [Reply.Proofs].
	SeenProofs uint64
}

// Reply is what a peer knows of a topic.
type Reply struct {
	// Known reports that the peer has the topic. The other fields are valid only then.
	Known bool
	// Page holds the records since the request's position or, if Snapshot is set, the newest of
	// each key.
	Page     keyed.Page
	Snapshot bool
	// ProofAge is the time since the peer last knew that the topic ends at the page's Next, and
	// Held the time for which it held the request, both by its boot clock at its reply.
	ProofAge, Held time.Duration
	// Grace is how much longer keys that are missing may be written again.
	Grace time.Duration
	// TooLarge reports that the records do not fit into a reply.
	TooLarge bool
	// Proofs counts the proofs that the peer has had, so that a later one is told from the same one
	// on a faster network.
	Proofs uint64
}

const (
	// silenceTolerance is how much later than usual the next proof may arrive before the log
	// itself is read.
	silenceTolerance = 350 * time.Millisecond
	// minProofWait is the least wait of a read that decides when a proof is overdue. With shorter
	// ones, the followers of a source that fails for a moment would all read the log.
	minProofWait = 1100 * time.Millisecond
	// holdTolerance is the part of it for which a peer may hold a request: its own read may
	// have begun somewhat later.
	holdTolerance = 200 * time.Millisecond
	// fetchLimit bounds a call to a peer while the log does not answer.
	fetchLimit = maxHold + 500*time.Millisecond
	// maxHold bounds the time for which a peer may hold a request, so that a peer that is
	// frozen is not waited for longer.
	maxHold = 2 * time.Second
	// avoidFor is how long a source is avoided that could not be reached or was silent.
	avoidFor = 2 * time.Second
	// ownReadPause is the minimum time between two reads of the log by a follower while the log
	// does not answer, and zoneReadPause the time between those of all followers of a zone.
	ownReadPause  = time.Second
	zoneReadPause = 500 * time.Millisecond
	// settlePause is the time until an instance that has just started looks again for its peers.
	settlePause = 100 * time.Millisecond
	// noSourcePause is the time until a follower without a source looks for one again.
	noSourcePause = 50 * time.Millisecond
	// hintDelay is how long a follower that was told of new records waits for its source.
	hintDelay = 50 * time.Millisecond
	// maxRecent bounds the records that are kept for peers beside the newest of each key.
	maxRecent = 512
	// MaxReplyBytes bounds the records in a reply: 40 followers must not fill the link of the
	// instance that they follow, which may have 20 Mbit/s.
	MaxReplyBytes = 64 << 10
	// failuresUntilTold is the number of failed reads after which peers are told.
	failuresUntilTold = 2
	// maxAge bounds the ages in a reply, which may be malformed.
	maxAge = time.Hour
)
