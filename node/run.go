package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/admin"
	"github.com/wigeonusher/wigeonusher/node/loop"
	"github.com/wigeonusher/wigeonusher/wire/peer"
)

const (
	// announceInterval is the time between two announcements to the instance
	// list.
	announceInterval = time.Second
	// announceTimeout bounds one announcement.
	announceTimeout = 2 * time.Second
	// leaveTimeout bounds the time to report to the peers and the instance list
	// that this instance leaves.
	leaveTimeout = time.Second
	// sessionsPollInterval is the pause before the next read of the sessions
	// stream, after the end of the stream was reached or a read failed.
	sessionsPollInterval = time.Second
	// sessionsPageSize is the maximum number of records in one read of the
	// sessions stream.
	sessionsPageSize = 256
	// readyCheckInterval is the time between checks whether the node is ready.
	readyCheckInterval = 10 * time.Millisecond
)

// actor is a component that runs until its context ends.
type actor func(ctx context.Context) error

// Run serves until the context ends, then drains and returns. After
// [Node.Kill], or if an actor fails, it returns without draining.
func (n *Node) Run(ctx context.Context) error {
	c := n.components
	workCtx, cancelWork := context.WithCancel(n.killed)
	defer cancelWork()
	actors := []actor{
		c.controlTail.Run, c.controlWriter.Run,
		c.intentTail.Run, c.intentWriter.Run,
		c.billWriter.Run, c.biller.Run,
		c.sessionWriter.Run, c.sessions.Run, n.followSessions,
		c.cluster.Run, c.directory.RunList, c.directory.RunLoads,
		c.limits.Run, c.pools.Run, c.rollouts.Run, c.orders.Run, c.feedback.RunSubmit, c.feedback.RunRatings,
		n.announce, n.watchReady, n.updateAppendRates,
		func(ctx context.Context) error {
			return peer.Serve(ctx, c.traffic.WrapListener(n.peerListener), c.peerHandler)
		},
	}
	actors = append(actors, func(ctx context.Context) error {
		return c.atMostOnce.RunAdvance(ctx, func() bool { return c.cluster.FleetRank("advance") == 0 })
	})
	for _, snapshots := range c.snapshotWriters {
		actors = append(actors, snapshots.run)
	}
	var group run.Group
	for _, act := range actors {
		group.Add(func() error { return act(workCtx) }, func(error) { cancelWork() })
	}
	n.addServer(&group, n.callerServer, n.callerListener)
	n.addServer(&group, n.adminServer, n.adminListener)
	group.Add(func() error { return n.awaitShutdown(ctx) }, func(error) { n.kill() })
	err := group.Run()
	n.closeListeners()
	c.engines.Close()
	c.peers.Close()
	return err
}

// addServer adds an HTTP server to the group. Serve returns as soon as a
// shutdown begins, and the first actor to return stops the group. The server's
// actor therefore waits until n.killed is cancelled, so that the other actors keep
// running during the shutdown.
func (n *Node) addServer(group *run.Group, server *http.Server, listener net.Listener) {
	group.Add(func() error {
		err := server.Serve(listener)
		if eris.Is(err, http.ErrServerClosed) {
			<-n.killed.Done()
			return nil
		}
		if n.killed.Err() != nil {
			return nil
		}
		return err
	}, func(error) { server.Close() })
}

// awaitShutdown waits until the context ends and drains, or until the node is
// killed.
func (n *Node) awaitShutdown(ctx context.Context) error {
	select {
	case <-ctx.Done():
		n.drain()
	case <-n.killed.Done():
	}
	return nil
}

// drain shuts the node down gracefully: it stops reporting ready, serves while
// the load balancer still sends requests, finishes the requests, releases the
// claims of engine orders, appends the pending entries to the log and leaves the
// cluster.
func (n *Node) drain() {
	started, lag, grace := time.Now(), millis(n.settings.Timing.DrainLagMillis), millis(n.settings.Timing.DrainMillis)
	n.stop.Begin(started.Add(lag), started.Add(grace))
	ctx, cancel := context.WithDeadline(n.killed, started.Add(grace))
	defer cancel()
	select {
	case <-time.After(lag):
	case <-ctx.Done():
	}
	if err := n.callerServer.Shutdown(ctx); err != nil {
		n.log.WithError(err).Warn("drain period ended; cutting off unfinished requests")
	}
	n.components.orders.Release()
	n.flush(ctx)
	leaveCtx, cancelLeave := context.WithTimeout(n.killed, leaveTimeout)
	defer cancelLeave()
	n.components.cluster.Leave(leaveCtx)
	n.announceOnce(leaveCtx, true)
}

// flush appends the pending entries to the log, stream by stream, and stops at the
// first failure. Bills that the log does not accept before the context ends remain
// as backup copies at peers.
func (n *Node) flush(ctx context.Context) {
	for _, writer := range []interface {
		Flush(ctx context.Context) error
	}{n.components.intentWriter, n.components.billWriter, n.components.sessionWriter, n.components.controlWriter} {
		if err := writer.Flush(ctx); err != nil {
			n.log.WithError(err).Error("entries not appended to the log by the end of the drain period")
			return
		}
	}
}

// announce keeps the instance listed until the context ends.
func (n *Node) announce(ctx context.Context) error {
	return loop.Every(ctx, announceInterval, func(time.Time) { n.announceOnce(ctx, n.stop.HasBegun()) })
}

func (n *Node) announceOnce(ctx context.Context, leaving bool) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	instance := platform.ListedInstance{ID: n.id, Zone: n.settings.Zone, Address: n.Addresses().Peer}
	if err := n.components.list.Announce(ctx, instance, leaving); err != nil {
		n.log.WithError(err).Debug("could not announce the instance to the instance list")
	}
}

// followSessions reads the pin sets of sessions from the log until the context
// ends.
func (n *Node) followSessions(ctx context.Context) error {
	next := platform.Offset(1)
	for ctx.Err() == nil {
		page, err := n.components.log.Read(ctx, platform.StreamSessions, next, sessionsPageSize)
		switch {
		case eris.Is(err, platform.ErrTruncated):
			next = max(next, page.First)
			continue
		case err == nil:
			n.components.sessions.Apply(page.Records)
			next = max(next, page.Next)
		}
		if err == nil && next < page.End {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(sessionsPollInterval):
		}
	}
	return nil
}

// watchReady closes the channel of [Node.Ready] once the node can serve.
func (n *Node) watchReady(ctx context.Context) error {
	ticker := time.NewTicker(readyCheckInterval)
	defer ticker.Stop()
	for !n.isReady() {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
	n.readyOnce.Do(func() { close(n.ready) })
	<-ctx.Done()
	return nil
}

func (n *Node) isReady() bool {
	c := n.components
	select {
	case <-c.controlTail.Ready():
	default:
		return false
	}
	return c.control.Policy() != nil && c.directory.HasEndpointList()
}

// Status returns the state that the node reports to operators.
func (n *Node) Status() admin.Status {
	c := n.components
	health := c.billWriter.Health(time.Now())
	status := admin.Status{
		Instance:      n.id,
		Zone:          n.settings.Zone,
		Stopping:      n.stop.HasBegun(),
		ControlNext:   c.controlTail.Next(),
		IntentsNext:   c.intentTail.Next(),
		BillsHeld:     c.billWriter.Len(),
		BillsForPeers: c.biller.HeldForPeers(),
		BillsUncopied: c.biller.Uncopied(),
		Sessions:      c.sessions.Len(),
		Keys:          c.atMostOnce.Keys(),
		Queued:        c.pools.Queued(),
		LogAvailable:  health.Available,
		Peers:         c.cluster.All(),
		Endpoints:     c.directory.All(),
		Verdicts:      c.control.Verdicts(),
		Rollouts:      c.rollouts.Statuses(),
		Orders:        c.orders.Statuses(),
		PeerSent:      c.traffic.Sent(),
		PeerReceived:  c.traffic.Received(),
	}
	select {
	case <-n.ready:
		status.Ready = true
	default:
	}
	if policy := c.control.Policy(); policy != nil {
		status.Revision = uint64(policy.Revision)
	}
	return status
}
