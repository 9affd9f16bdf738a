package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/membership"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/boottime"
	"github.com/wigeonusher/wigeonusher/node/broadcast"
	"github.com/wigeonusher/wigeonusher/node/cluster"
	"github.com/wigeonusher/wigeonusher/policy/route"
	"github.com/wigeonusher/wigeonusher/wire/peer"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

const (
	// heartbeatInterval is the time between heartbeats to peers in the same zone.
	heartbeatInterval = time.Second
	// peerCallTimeout bounds a call to a peer; connections unused for
	// peerIdleTimeout are closed.
	peerCallTimeout = 500 * time.Millisecond
	peerIdleTimeout = time.Minute
	// peerConnections bounds the total number of connections to peers.
	peerConnections = 128
)

// initPeers sets up the peer client, the cluster and the broadcast of notices.
func (e *Entry) initPeers() {
	e.peerClient = peer.NewClient(peer.ClientConfig{
		CallTimeout: peerCallTimeout, IdleTimeout: peerIdleTimeout, Connections: peerConnections,
	})
	// The ID is unique for each run of the process, so that peers don't take a
	// restarted instance for the previous run.
	id := e.settings.Name + "-" + strconv.FormatInt(int64(boottime.Now()), 36)
	self := membership.Peer{ID: platform.InstanceID(id), Zone: e.settings.Zone, Address: e.settings.PeerAddress}
	peers := cluster.New(self, e.remoteSeeds(), heartbeatInterval, e.peerClient, e.log)
	e.cluster = peers
	e.broadcaster = broadcast.New(peers, e.peerClient, (*noticeListener)(e), e.log)
	e.topics = newTopics(peers, e.peerClient)
	e.topics.broadcaster = e.broadcaster
	e.broadcaster.HandleTopics(e.topics)
	e.cluster.AddGossip(e.topics)
}

// remoteSeeds returns the seed addresses without this instance's address.
func (e *Entry) remoteSeeds() []string {
	var seeds []string
	for _, seed := range e.currentSettings.Load().Seeds {
		if seed != e.settings.PeerAddress {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

func (e *Entry) servePeers(ctx context.Context) error {
	return peer.Serve(ctx, e.peerListener, e.broadcaster)
}

// noticeListener handles the notices and lookups of peers, and provides this
// instance's evidence for them.
type noticeListener Entry

// HandleLongRead implements [broadcast.Listener].
func (l *noticeListener) HandleLongRead(service, endpoint string, expected time.Duration) {
	l.pools.Service(route.ServiceName(service)).RecordLongRead(time.Now(), platform.EndpointID(endpoint), expected)
}

// HandleFull implements [broadcast.Listener].
func (l *noticeListener) HandleFull(endpoint string) {
	l.pools.RecordPeerRejection(time.Now(), platform.EndpointID(endpoint))
}

// HandleAdvanced implements [broadcast.Listener].
func (l *noticeListener) HandleAdvanced(instance string, advanced []*peerpb.TopicPosition) {
	l.topics.handleAdvanced(instance, advanced)
}

// HandleCrashNotice implements [broadcast.Listener].
func (l *noticeListener) HandleCrashNotice(notice *peerpb.Notice) *peerpb.NoticeReply {
	return l.crashes.HandleNotice(notice)
}

// HandleEvidence implements [broadcast.Listener].
func (l *noticeListener) HandleEvidence(instance string, evidence *peerpb.VersionEvidence) {
	l.versions.MergePeerEvidence(string(l.cluster.ZoneOf(platform.InstanceID(instance))), instance, evidence)
}

// ZoneEvidence implements [broadcast.Listener].
func (l *noticeListener) ZoneEvidence(urgent bool) []*peerpb.VersionEvidence {
	return l.versions.ZoneEvidence(urgent)
}

// LocalEvidence implements [broadcast.Listener].
func (l *noticeListener) LocalEvidence(urgent bool) []*peerpb.VersionEvidence {
	return l.versions.LocalEvidence(urgent)
}

// SessionVersion implements [broadcast.Listener].
func (l *noticeListener) SessionVersion(service, target, session string) (onTarget, known bool) {
	return l.versions.SessionVersion(route.ServiceName(service), target, session)
}
