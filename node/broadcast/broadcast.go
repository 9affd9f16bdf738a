// Package broadcast broadcasts observations among the instances: endpoints that are
// processing a long prompt, requests that crashed endpoints, and the evidence of
// roll-outs. It also looks up at peers which version of a roll-out a session runs
// on.
//
// Notices are hints: losing one may lead to a less favorable decision, never to an
// incorrect one.
package broadcast

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/membership"
	"github.com/wigeonusher/wigeonusher/node/cluster"
	"github.com/wigeonusher/wigeonusher/node/loop"
	"github.com/wigeonusher/wigeonusher/wire/peer"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

const (
	// batchDelay is how long a notice waits for others to be sent in the same
	// call.
	batchDelay = 40 * time.Millisecond
	// crashDelay is the same for evidence of crashes, which is urgent.
	crashDelay = 5 * time.Millisecond
	// evidenceInterval is the time between broadcasts of roll-out evidence. Urgent evidence is
	// sent twice as often.
	evidenceInterval = time.Second
	// maxPerKind bounds the notices of long prompts in one call, and the evidence of crashes
	// that waits.
	maxPerKind = 256
)

// Listener handles notices and lookups from peers, and provides this instance's
// evidence.
type Listener interface {
	// HandleLongRead records that an endpoint is processing a long prompt that a peer
	// dispatched, and for how long it is expected to do so.
	HandleLongRead(service, endpoint string, expected time.Duration)
	// HandleFull records that a brittle endpoint had no room for a request of a peer.
	HandleFull(endpoint string)
	// HandleAdvanced records up to where a peer has read topics of the log.
	HandleAdvanced(instance string, advanced []*peerpb.TopicPosition)
	// HandleCrashNotice processes the evidence of crashes in a notice, and returns what the
	// peer asks for in it.
	HandleCrashNotice(notice *peerpb.Notice) *peerpb.NoticeReply
	// HandleEvidence records a peer's counts of a roll-out.
	HandleEvidence(instance string, evidence *peerpb.VersionEvidence)
	// LocalEvidence returns this instance's counts of the roll-outs under way, or only those
	// that are urgent.
	LocalEvidence(urgent bool) []*peerpb.VersionEvidence
	// ZoneEvidence is LocalEvidence for the sums over the zone.
	ZoneEvidence(urgent bool) []*peerpb.VersionEvidence
	// SessionVersion reports whether a session runs on the target version of a
	// roll-out, and whether this instance knows that.
	SessionVersion(service, target, session string) (onTarget, known bool)
}

// ForwardHandler runs requests that peers forward.
type ForwardHandler interface {
	Forward(stream peerpb.DRPCPeer_ForwardStream) error
}

// TopicHandler answers the peers that follow topics of the log at this instance.
type TopicHandler interface {
	FollowTopic(ctx context.Context, request *peerpb.FollowTopicRequest) *peerpb.FollowTopicReply
}

// Broadcaster broadcasts notices to the live peers and serves the calls of peers. It
// is safe for concurrent use.
type Broadcaster struct {
	peerpb.DRPCPeerUnimplementedServer
	cluster  *cluster.Cluster
	client   *peer.Client
	listener Listener
	log      *logrus.Entry
	// forwards handles forwarded requests, nil if this instance runs none, and topics the requests
	// of followers, nil if there is nothing to follow.
	forwards ForwardHandler
	topics   TopicHandler

	mu      sync.Mutex
	pending peerpb.Notice
	wake    chan struct{}
	// crashes holds evidence that is sent after crashDelay, and relays what contacts in other
	// zones asked to pass on.
	crashes, relays chan *peerpb.Notice
}

// New returns a broadcaster among the peers of a cluster.
func New(cluster *cluster.Cluster, client *peer.Client, listener Listener, log *logrus.Entry) *Broadcaster {
	return &Broadcaster{
		cluster: cluster, client: client, listener: listener, log: log, wake: make(chan struct{}, 1), crashes: make(chan *peerpb.Notice, maxPerKind), relays: make(chan *peerpb.Notice, maxPerKind),
	}
}

// BroadcastLongRead announces that an endpoint is starting to process a long prompt
// and is expected to take the given time. It drops the notice if too many are
// pending.
func (b *Broadcaster) BroadcastLongRead(service, endpoint string, expected time.Duration) {
	b.mu.Lock()
	if len(b.pending.LongReads) < maxPerKind {
		b.pending.LongReads = append(b.pending.LongReads, &peerpb.LongRead{
			Service: service, Endpoint: endpoint, ExpectedMs: uint32(expected.Milliseconds()),
		})
	}
	b.mu.Unlock()
	b.wakeSender()
}

// HandleForwards sets the handler of forwarded requests. It must be called before calls are
// served.
func (b *Broadcaster) HandleForwards(handler ForwardHandler) { b.forwards = handler }

// HandleTopics sets the handler of requests for topics. It must be called before calls are served.
func (b *Broadcaster) HandleTopics(handler TopicHandler) { b.topics = handler }

// FollowTopic handles a request of a peer that follows a topic.
func (b *Broadcaster) FollowTopic(ctx context.Context, request *peerpb.FollowTopicRequest) (*peerpb.FollowTopicReply, error) {
	if b.topics == nil {
		return b.DRPCPeerUnimplementedServer.FollowTopic(ctx, request)
	}
	return b.topics.FollowTopic(ctx, request), nil
}

// TellZone sends a notice to the live peers of the zone at once.
func (b *Broadcaster) TellZone(notice *peerpb.Notice) {
	local, _ := b.peersByZone()
	b.sendTo(context.Background(), local, notice)
}

// Forward handles a request that a peer forwards.
func (b *Broadcaster) Forward(stream peerpb.DRPCPeer_ForwardStream) error {
	if b.forwards == nil {
		return b.DRPCPeerUnimplementedServer.Forward(stream)
	}
	return b.forwards.Forward(stream)
}

// NotifyCrash announces evidence of crashes. It drops the evidence if too much is waiting.
func (b *Broadcaster) NotifyCrash(evidence *peerpb.Notice) { b.enqueue(b.crashes, evidence) }

func (b *Broadcaster) enqueue(queue chan<- *peerpb.Notice, evidence *peerpb.Notice) {
	select {
	case queue <- evidence:
	default:
		b.log.Warn("evidence of crashes dropped: too much is waiting")
	}
}

func (b *Broadcaster) wakeSender() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Run broadcasts pending notices and the local evidence until the context ends.
func (b *Broadcaster) Run(ctx context.Context) error {
	ticker := time.NewTicker(evidenceInterval / 2)
	defer ticker.Stop()
	for urgent := true; ; {
		select {
		case <-ctx.Done():
			return nil
		case <-b.wake:
			loop.Sleep(ctx, batchDelay)
			b.send(ctx, nil)
		case evidence := <-b.crashes:
			b.sendThroughZones(ctx, b.collect(ctx, b.crashes, evidence))
		case evidence := <-b.relays:
			local, _ := b.peersByZone()
			b.sendTo(ctx, local, b.collect(ctx, b.relays, evidence))
		case <-ticker.C:
			if evidence := b.listener.LocalEvidence(urgent); len(evidence) > 0 {
				b.send(ctx, evidence)
				b.sendZoneEvidence(ctx, b.listener.ZoneEvidence(urgent))
			}
			urgent = !urgent
		}
	}
}

// zoneDelegates is the number of instances of a zone that tell the others what all of it has seen.
const zoneDelegates = 2

// sendZoneEvidence sends the sums over the zone to one contact in each other zone, which passes them
// on, if this instance is a delegate of its zone.
func (b *Broadcaster) sendZoneEvidence(ctx context.Context, evidence []*peerpb.VersionEvidence) {
	self := b.cluster.Self().ID
	ranked := b.cluster.Rank("evidence")
	if !slices.ContainsFunc(ranked[:min(len(ranked), zoneDelegates)], func(p membership.Peer) bool { return p.ID == self }) {
		return
	}
	_, contacts := b.peersByZone()
	for _, inZone := range contacts {
		b.sendTo(ctx, inZone[:1], &peerpb.Notice{Instance: string(self), Evidence: evidence, AskZone: true})
	}
}

func (b *Broadcaster) send(ctx context.Context, evidence []*peerpb.VersionEvidence) {
	b.mu.Lock()
	notice := &peerpb.Notice{
		Instance:  string(b.cluster.Self().ID),
		LongReads: b.pending.LongReads,
		Evidence:  evidence,
	}
	full := b.pending.Full
	b.pending.LongReads, b.pending.Full = nil, nil
	b.mu.Unlock()
	if len(notice.LongReads)+len(evidence) > 0 {
		b.sendTo(ctx, b.livePeers(), notice)
	}
	if len(full) > 0 {
		b.sendThroughZones(ctx, &peerpb.Notice{Instance: notice.Instance, Full: full})
	}
}

// BroadcastFull announces that a brittle endpoint had no room. It drops the notice if too many
// are pending.
func (b *Broadcaster) BroadcastFull(endpoint string) {
	b.mu.Lock()
	if len(b.pending.Full) < maxPerKind {
		b.pending.Full = append(b.pending.Full, endpoint)
	}
	b.mu.Unlock()
	b.wakeSender()
}

// sendThroughZones sends a notice to the peers of this zone, and to contacts in the others,
// which pass it on: an instance knows only some of the instances of another zone.
func (b *Broadcaster) sendThroughZones(ctx context.Context, notice *peerpb.Notice) {
	local, contacts := b.peersByZone()
	b.sendTo(ctx, local, notice)
	passOn := passedOn(notice)
	passOn.Suspected, passOn.AskZone = notice.Suspected, true
	for _, inZone := range contacts {
		b.sendTo(ctx, inZone, passOn)
	}
}

// passedOn returns a copy of what contacts in other zones pass on.
func passedOn(notice *peerpb.Notice) *peerpb.Notice {
	return &peerpb.Notice{
		Instance: notice.Instance, Crashes: notice.Crashes, Survivals: notice.Survivals, Trials: notice.Trials, Full: notice.Full,
		Evidence: sums(notice.Evidence),
	}
}

// sums returns the sums over zones among the evidence. That of single instances is not passed on.
func sums(evidence []*peerpb.VersionEvidence) []*peerpb.VersionEvidence {
	return slices.DeleteFunc(slices.Clone(evidence), func(e *peerpb.VersionEvidence) bool { return e.Instances == 0 })
}

// collect waits for crashDelay and merges what waits with the first notice: endpoints often
// crash several at a time.
func (b *Broadcaster) collect(ctx context.Context, queue <-chan *peerpb.Notice, first *peerpb.Notice) *peerpb.Notice {
	loop.Sleep(ctx, crashDelay)
	notice := &peerpb.Notice{Instance: string(b.cluster.Self().ID)}
	for more := first; more != nil; {
		notice.Crashes = append(notice.Crashes, more.Crashes...)
		notice.Survivals = append(notice.Survivals, more.Survivals...)
		notice.Trials = append(notice.Trials, more.Trials...)
		notice.Full = append(notice.Full, more.Full...)
		notice.Evidence = append(notice.Evidence, more.Evidence...)
		notice.Suspected = append(notice.Suspected, more.Suspected...)
		select {
		case more = <-queue:
		default:
			more = nil
		}
	}
	return notice
}

func (b *Broadcaster) sendTo(ctx context.Context, targets []membership.Peer, notice *peerpb.Notice) {
	for _, target := range targets {
		go func() {
			reply, err := b.client.Tell(ctx, target.Address, notice)
			if err != nil {
				b.log.WithError(err).WithField("peer", target.ID).Debug("notice not delivered")
				return
			}
			if len(reply.Survivals) > 0 {
				b.listener.HandleCrashNotice(&peerpb.Notice{Survivals: reply.Survivals})
			}
		}()
	}
}

func (b *Broadcaster) livePeers() []membership.Peer {
	var alive []membership.Peer
	for _, known := range b.cluster.All() {
		if known.Liveness == membership.Alive {
			alive = append(alive, known)
		}
	}
	return alive
}

// Exchange handles a heartbeat of a peer.
func (b *Broadcaster) Exchange(ctx context.Context, digest *peerpb.Digest) (*peerpb.Digest, error) {
	handler := cluster.Handler{Cluster: b.cluster}
	return handler.Exchange(ctx, digest)
}

// Tell handles a peer's notice.
func (b *Broadcaster) Tell(_ context.Context, notice *peerpb.Notice) (*peerpb.NoticeReply, error) {
	for _, read := range notice.LongReads {
		b.listener.HandleLongRead(read.Service, read.Endpoint, time.Duration(read.ExpectedMs)*time.Millisecond)
	}
	for _, endpoint := range notice.Full[:min(len(notice.Full), maxPerKind)] {
		b.listener.HandleFull(endpoint)
	}
	b.listener.HandleAdvanced(notice.Instance, notice.Advanced)
	reply := b.listener.HandleCrashNotice(notice)
	if notice.AskZone && len(notice.Crashes)+len(notice.Survivals)+len(notice.Trials)+len(notice.Full)+len(notice.Evidence) > 0 {
		b.enqueue(b.relays, passedOn(notice))
	}
	for _, evidence := range notice.Evidence {
		b.listener.HandleEvidence(notice.Instance, evidence)
	}
	return reply, nil
}
