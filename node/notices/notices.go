// Package notices passes between the instances what one of them saw and all
// should know soon: long prompts that endpoints read, requests that crashed
// endpoints, and the evidence of roll-outs. It also answers on which side of a
// roll-out a session runs.
//
// Notices are hints. One that is lost makes a decision worse, never wrong.
package notices

import (
	"context"
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
	// gatherTime is how long notices wait for others, to share a call.
	gatherTime = 40 * time.Millisecond
	// evidenceInterval is the time between notices of a roll-out's evidence.
	evidenceInterval = time.Second
	// askTimeout bounds the question for a session: it delays a request.
	askTimeout = 60 * time.Millisecond
	// maxGathered bounds the notices of a kind in one call.
	maxGathered = 256
)

// Listener takes in what peers told.
type Listener interface {
	// LongRead is told that an endpoint reads a long prompt of a peer.
	LongRead(service, endpoint string, expected time.Duration)
	// Crashed is told of a request that crashed an endpoint.
	Crashed(fingerprint uint64)
	// Evidence takes in a peer's counts of a roll-out.
	Evidence(instance string, evidence *peerpb.VersionEvidence)
	// OwnEvidence returns this instance's counts of the roll-outs under way.
	OwnEvidence() []*peerpb.VersionEvidence
	// SessionVersion returns on which side of the roll-out to a target a
	// session runs.
	SessionVersion(service, target, session string) (onTarget, known bool)
}

// Notices passes notices on. Its methods may be called from several
// goroutines.
type Notices struct {
	peerpb.DRPCPeerUnimplementedServer
	cluster  *cluster.Cluster
	client   *peer.Client
	listener Listener
	log      *logrus.Entry

	mu      sync.Mutex
	pending peerpb.Notice
	wake    chan struct{}
}

// New returns notices among the peers of a cluster.
func New(cluster *cluster.Cluster, client *peer.Client, listener Listener, log *logrus.Entry) *Notices {
	return &Notices{cluster: cluster, client: client, listener: listener, log: log, wake: make(chan struct{}, 1)}
}

// LongRead tells that an endpoint begins to read a long prompt.
func (n *Notices) LongRead(service, endpoint string, expected time.Duration) {
	n.mu.Lock()
	if len(n.pending.LongReads) < maxGathered {
		n.pending.LongReads = append(n.pending.LongReads, &peerpb.LongRead{
			Service: service, Endpoint: endpoint, ExpectedMs: uint32(expected.Milliseconds()),
		})
	}
	n.mu.Unlock()
	n.signal()
}

// Crashed tells of a request that crashed an endpoint.
func (n *Notices) Crashed(fingerprint uint64) {
	n.mu.Lock()
	if len(n.pending.Crashed) < maxGathered {
		n.pending.Crashed = append(n.pending.Crashed, fingerprint)
	}
	n.mu.Unlock()
	n.signal()
}

func (n *Notices) signal() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Run passes notices on until the context ends.
func (n *Notices) Run(ctx context.Context) error {
	ticker := time.NewTicker(evidenceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.wake:
			loop.Sleep(ctx, gatherTime)
			n.send(ctx, nil)
		case <-ticker.C:
			if evidence := n.listener.OwnEvidence(); len(evidence) > 0 {
				n.send(ctx, evidence)
			}
		}
	}
}

func (n *Notices) send(ctx context.Context, evidence []*peerpb.VersionEvidence) {
	n.mu.Lock()
	notice := &peerpb.Notice{
		Instance:  string(n.cluster.Self().ID),
		LongReads: n.pending.LongReads,
		Crashed:   n.pending.Crashed,
		Evidence:  evidence,
	}
	n.pending.LongReads, n.pending.Crashed = nil, nil
	n.mu.Unlock()
	for _, target := range n.alive() {
		go func() {
			if err := n.client.Tell(ctx, target.Address, notice); err != nil {
				n.log.WithError(err).WithField("peer", target.ID).Debug("notice not delivered")
			}
		}()
	}
}

func (n *Notices) alive() []membership.Peer {
	var alive []membership.Peer
	for _, known := range n.cluster.All() {
		if known.Liveness == membership.Alive {
			alive = append(alive, known)
		}
	}
	return alive
}

// AskSession asks all live peers on which side of a roll-out a session runs.
// The first that knows decides.
func (n *Notices) AskSession(ctx context.Context, service, target, session string) (onTarget, known bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	peers := n.alive()
	replies := make(chan *peerpb.SessionVersionReply, len(peers))
	for _, asked := range peers {
		go func() {
			reply, err := n.client.SessionVersion(ctx, asked.Address, &peerpb.SessionVersionRequest{Service: service, Target: target, Session: session})
			if err != nil {
				// A peer that does not answer in time may not know either.
				reply = &peerpb.SessionVersionReply{}
			}
			replies <- reply
		}()
	}
	for range peers {
		if reply := <-replies; reply.Known {
			return reply.OnTarget, true
		}
	}
	return false, false
}

// Exchange answers a heartbeat.
func (n *Notices) Exchange(ctx context.Context, digest *peerpb.Digest) (*peerpb.Digest, error) {
	handler := cluster.Handler{Cluster: n.cluster}
	return handler.Exchange(ctx, digest)
}

// Tell takes in a peer's notice.
func (n *Notices) Tell(_ context.Context, notice *peerpb.Notice) (*peerpb.NoticeReply, error) {
	for _, read := range notice.LongReads {
		n.listener.LongRead(read.Service, read.Endpoint, time.Duration(read.ExpectedMs)*time.Millisecond)
	}
	for _, fingerprint := range notice.Crashed {
		n.listener.Crashed(fingerprint)
	}
	for _, evidence := range notice.Evidence {
		n.listener.Evidence(notice.Instance, evidence)
	}
	return &peerpb.NoticeReply{}, nil
}

// SessionVersion answers a peer's question for a session.
func (n *Notices) SessionVersion(_ context.Context, request *peerpb.SessionVersionRequest) (*peerpb.SessionVersionReply, error) {
	onTarget, known := n.listener.SessionVersion(request.Service, request.Target, request.Session)
	return &peerpb.SessionVersionReply{Known: known, OnTarget: onTarget}, nil
}
