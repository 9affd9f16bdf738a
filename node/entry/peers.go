package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/membership"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/boottime"
	"github.com/wigeonusher/wigeonusher/node/cluster"
	"github.com/wigeonusher/wigeonusher/node/notices"
	"github.com/wigeonusher/wigeonusher/policy/route"
	"github.com/wigeonusher/wigeonusher/wire/peer"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

const (
	// heartbeatInterval is the time between heartbeats to peers of the zone.
	heartbeatInterval = time.Second
	// peerCallTimeout bounds a call to a peer, and peerIdleTimeout how long an
	// unused connection is kept.
	peerCallTimeout = 500 * time.Millisecond
	peerIdleTimeout = time.Minute
	// peerConnections bounds the connections to all peers.
	peerConnections = 128
)

// newPeers joins the instance to its peers.
func (e *Entry) newPeers() {
	e.peerClient = peer.NewClient(peer.ClientConfig{
		CallTimeout: peerCallTimeout, IdleTimeout: peerIdleTimeout, Connections: peerConnections,
	})
	// Each run of a process is an instance of its own: its peers must not take
	// it for the one that ended.
	id := e.settings.Name + "-" + strconv.FormatInt(int64(boottime.Now()), 36)
	self := membership.Peer{ID: platform.InstanceID(id), Zone: e.settings.Zone, Address: e.settings.PeerAddress}
	members := cluster.New(self, e.seeds(), heartbeatInterval, e.peerClient, e.log)
	e.cluster = members
	e.notices = notices.New(members, e.peerClient, (*listener)(e), e.log)
}

// seeds are the seed addresses without this instance's own.
func (e *Entry) seeds() []string {
	var seeds []string
	for _, seed := range e.live.Load().Seeds {
		if seed != e.settings.PeerAddress {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

func (e *Entry) servePeers(ctx context.Context) error {
	return peer.Serve(ctx, e.peerListener, e.notices)
}

// listener takes in what peers told.
type listener Entry

// LongRead implements [notices.Listener].
func (l *listener) LongRead(service, endpoint string, expected time.Duration) {
	l.pools.Service(route.ServiceName(service)).LongRead(time.Now(), platform.EndpointID(endpoint), expected)
}

// Crashed implements [notices.Listener].
func (l *listener) Crashed(fingerprint uint64) { l.suspects.add(fingerprint) }

// Evidence implements [notices.Listener].
func (l *listener) Evidence(instance string, evidence *peerpb.VersionEvidence) {
	l.versions.PeerEvidence(instance, evidence)
}

// OwnEvidence implements [notices.Listener].
func (l *listener) OwnEvidence() []*peerpb.VersionEvidence { return l.versions.OwnEvidence() }

// SessionVersion implements [notices.Listener].
func (l *listener) SessionVersion(service, target, session string) (onTarget, known bool) {
	return l.versions.SessionVersion(route.ServiceName(service), target, session)
}
