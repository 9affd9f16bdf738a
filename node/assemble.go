package node

import (
	"crypto/tls"
	"encoding/hex"
	"hash/fnv"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/membership"
	"github.com/wigeonusher/wigeonusher/coord/outbox"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/coord/tail"
	"github.com/wigeonusher/wigeonusher/node/admin"
	"github.com/wigeonusher/wigeonusher/node/admit"
	"github.com/wigeonusher/wigeonusher/node/atmostonce"
	"github.com/wigeonusher/wigeonusher/node/billing"
	"github.com/wigeonusher/wigeonusher/node/caller"
	"github.com/wigeonusher/wigeonusher/node/cluster"
	"github.com/wigeonusher/wigeonusher/node/control"
	"github.com/wigeonusher/wigeonusher/node/directory"
	"github.com/wigeonusher/wigeonusher/node/feedback"
	"github.com/wigeonusher/wigeonusher/node/follow"
	"github.com/wigeonusher/wigeonusher/node/limits"
	"github.com/wigeonusher/wigeonusher/node/logwriter"
	"github.com/wigeonusher/wigeonusher/node/orders"
	"github.com/wigeonusher/wigeonusher/node/reservations"
	"github.com/wigeonusher/wigeonusher/node/rollouts"
	"github.com/wigeonusher/wigeonusher/node/sessions"
	"github.com/wigeonusher/wigeonusher/node/suspects"
	"github.com/wigeonusher/wigeonusher/node/telemetry"
	"github.com/wigeonusher/wigeonusher/node/tlsconfig"
	"github.com/wigeonusher/wigeonusher/policy/admission"
	"github.com/wigeonusher/wigeonusher/policy/placement"
	"github.com/wigeonusher/wigeonusher/wire/engine"
	"github.com/wigeonusher/wigeonusher/wire/peer"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
	"github.com/wigeonusher/wigeonusher/wire/platformhttp"
)

const (
	// Bounds of the entries that wait for an append, per stream. The bills stream
	// has its own bound of entries, the setting Limits.HeldBills.
	maxPendingEntries = 20_000
	maxPendingBytes   = 32 << 20
	// Backoff after a failed append.
	appendRetryBase = 100 * time.Millisecond
	appendRetryCap  = 2 * time.Second
	// appendStallTimeout is the age at which an unanswered append makes the log
	// count as unavailable.
	appendStallTimeout = 4 * time.Second
	// controlInterval and sessionInterval are the minimum times between appends
	// to the control and the sessions stream.
	controlInterval = 20 * time.Millisecond
	sessionInterval = time.Second
	// followInterval is the pause between two reads from a peer. Each read
	// blocks until there is a record or a time limit ends it.
	followInterval = 20 * time.Millisecond
	// maxBillCopyWait bounds the wait until a peer has a backup copy of a bill.
	maxBillCopyWait = 200 * time.Millisecond
	// billAdoptionDelay is the time for which a peer must be gone before its bills
	// are adopted.
	billAdoptionDelay = 2 * time.Second
	// Connections to endpoints.
	dialTimeout         = time.Second
	endpointIdleTimeout = 30 * time.Second
	maxIdlePerEndpoint  = 64
	// Connections to peers.
	peerCallTimeout = 2 * time.Second
	peerIdleTimeout = time.Minute
	peerConnections = 128
	// readHeaderTimeout bounds the reading of a request's header.
	readHeaderTimeout = 10 * time.Second
)

// components lists the components of a node.
type components struct {
	log       *platformhttp.Log
	list      *platformhttp.InstanceList
	peers     *peer.Client
	traffic   peer.Traffic
	cluster   *cluster.Cluster
	engines   *engine.Client
	directory *directory.Directory

	control         *control.Control
	controlTail     *follow.Follower
	controlWriter   *logwriter.Writer
	atMostOnce      *atmostonce.Runner
	intentTail      *follow.Follower
	intentWriter    *logwriter.Writer
	biller          *billing.Biller
	billWriter      *logwriter.Writer
	sessions        *sessions.Sessions
	sessionWriter   *logwriter.Writer
	suspects        *suspects.Suspects
	rollouts        *rollouts.Rollouts
	orders          *orders.Orders
	limits          *limits.Limits
	reservations    *reservations.Client
	pools           *admit.Pools
	feedback        *feedback.Feedback
	telemetry       *telemetry.Telemetry
	snapshotWriters []*snapshotWriter
	peerHandler     *cluster.Handler
}

// millis returns the duration of n milliseconds.
func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func (n *Node) assemble() error {
	c := &components{}
	n.components = c
	c.telemetry = telemetry.New(n.log)
	if err := n.assembleClients(c); err != nil {
		return err
	}
	n.assembleStreams(c)
	if err := n.assembleControllers(c); err != nil {
		return err
	}
	n.assembleServers(c)
	return nil
}

// assembleClients creates the clients of the platform, the peers and the
// endpoints.
func (n *Node) assembleClients(c *components) error {
	platformClient := &http.Client{}
	c.log = platformhttp.NewLog(n.settings.Platform.Log, platformClient)
	c.list = platformhttp.NewInstanceList(n.settings.Platform.Instances, platformClient)
	var peerTLS *tls.Config
	if n.settings.PeerTLS != nil {
		config, err := tlsconfig.Client(*n.settings.PeerTLS)
		if err != nil {
			return err
		}
		peerTLS = config
	}
	c.peers = peer.NewClient(peer.ClientConfig{
		TLS:         peerTLS,
		Traffic:     &c.traffic,
		CallTimeout: peerCallTimeout,
		IdleTimeout: peerIdleTimeout,
		Connections: peerConnections,
	})
	self := membership.Peer{ID: n.id, Zone: n.settings.Zone, Address: n.Addresses().Peer}
	c.cluster = cluster.New(self, n.settings.Seeds, millis(n.settings.Timing.HeartbeatMillis), c.peers, n.log)
	c.engines = engine.NewClient(engine.Config{
		DialTimeout:        dialTimeout,
		ProgressTimeout:    millis(n.settings.Timing.ProgressMillis),
		IdleTimeout:        endpointIdleTimeout,
		MaxIdlePerEndpoint: maxIdlePerEndpoint,
	})
	c.directory = directory.New(directory.Config{
		List:         c.list,
		Loader:       c.engines,
		Peers:        c.cluster,
		ListInterval: millis(n.settings.Timing.ListPollMillis),
		LoadInterval: millis(n.settings.Timing.LoadPollMillis),
	})
	return nil
}

// assembleStreams creates the followers of the log's streams, with their folds,
// and the writers.
func (n *Node) assembleStreams(c *components) {
	c.control = control.New(n.log)
	c.controlWriter = n.newWriter(c, platform.StreamControl, controlInterval, maxPendingEntries, nil)
	c.controlTail = n.newFollower(c, platform.StreamControl, c.control.State, follow.OffsetField{
		Get: (*peerpb.Digest).GetControlNext,
		Set: func(d *peerpb.Digest, next uint64) { d.ControlNext = next },
	})
	c.intentWriter = n.newWriter(c, platform.StreamIntents, millis(n.settings.Timing.IntentIntervalMillis), maxPendingEntries, nil)
	c.atMostOnce = atmostonce.New(n.id, c.intentWriter, c.cluster.IsGone)
	c.intentTail = n.newFollower(c, platform.StreamIntents, c.atMostOnce.State(), follow.OffsetField{
		Get: (*peerpb.Digest).GetIntentsNext,
		Set: func(d *peerpb.Digest, next uint64) { d.IntentsNext = next },
	})
	c.atMostOnce.SetCaughtUp(c.intentTail.Ready())
	c.billWriter = n.newWriter(c, platform.StreamBills, millis(n.settings.Timing.BillIntervalMillis), n.settings.Limits.HeldBills,
		func(ids []string) { c.biller.RecordSettled(ids) })
	c.biller = billing.New(n.id, c.billWriter, c.peers, c.cluster, billing.Config{
		MaxBills:    n.settings.Limits.HeldBills,
		MaxCopyWait: maxBillCopyWait,
		GoneAfter:   billAdoptionDelay,
	})
	c.sessionWriter = n.newWriter(c, platform.StreamSessions, sessionInterval, maxPendingEntries, nil)
	c.snapshotWriters = []*snapshotWriter{
		newSnapshotWriter(n.id, platform.StreamControl, c.control.State, c.controlTail, c.controlWriter, c.cluster),
		newSnapshotWriter(n.id, platform.StreamIntents, c.atMostOnce.State(), c.intentTail, c.intentWriter, c.cluster),
	}
}

func (n *Node) newWriter(c *components, stream platform.Stream, interval time.Duration, maxEntries int, onSettled func([]string)) *logwriter.Writer {
	return logwriter.New(c.log, stream, outbox.Config{
		MaxEntries:  maxEntries,
		MaxBytes:    maxPendingBytes,
		MinInterval: interval,
		RetryBase:   appendRetryBase,
		RetryCap:    appendRetryCap,
		StallAfter:  appendStallTimeout,
	}, onSettled)
}

func (n *Node) newFollower(c *components, stream platform.Stream, state *follow.State, field follow.OffsetField) *follow.Follower {
	hash := fnv.New64a()
	hash.Write([]byte(n.id))
	return follow.New(follow.Config{
		Stream: stream,
		Log:    c.log,
		Peers:  c.cluster,
		Reader: c.peers,
		Offset: field,
		Logger: n.log,
		Tail: tail.Config{
			Self:           n.id,
			Zone:           n.settings.Zone,
			Seed:           hash.Sum64(),
			FollowInterval: followInterval,
		},
	}, state)
}

// assembleControllers creates the components that decide about requests and
// engines.
func (n *Node) assembleControllers(c *components) error {
	key, err := hex.DecodeString(n.settings.SessionKey)
	if err != nil {
		return eris.Wrap(err, "node: session key")
	}
	c.rollouts = rollouts.New(n.id, c.control, c.controlWriter, c.cluster, n.log)
	c.control.OnRollouts(c.rollouts.Refresh)
	c.sessions = sessions.New(key, n.settings.Limits.Sessions, c.control, c.rollouts, c.cluster, c.peers, c.sessionWriter)
	c.suspects = suspects.New(n.id, c.control.Suspects, c.controlWriter, c.control)
	c.orders = n.newOrders(c)
	c.limits = limits.New(n.id, c.control, c.directory.ListedInstanceCount)
	c.pools = admit.New(n.poolSlots, n.settings.Limits.QueuedRequests)
	var rating platform.RatingService
	if n.settings.Platform.Ratings != "" {
		rating = platformhttp.NewRatings(n.settings.Platform.Ratings, &http.Client{}, n.id)
	}
	c.feedback = feedback.New(n.id, rating, c.rollouts, n.log)
	c.reservations = reservations.New(n.id, c.directory.Loads(), c.cluster, c.peers)
	c.cluster.AddGossip(c.controlTail, c.intentTail, c.directory, c.limits, c.suspects, c.rollouts, c.feedback)
	return nil
}

// newOrders creates the component that orders engines to load and unload model
// versions.
func (n *Node) newOrders(c *components) *orders.Orders {
	var store platform.WeightStore
	if n.settings.Platform.Weights != "" {
		store = platformhttp.NewWeightStore(n.settings.Platform.Weights, &http.Client{})
	}
	return orders.New(orders.Config{
		Instance:  n.id,
		Policies:  c.control,
		Claims:    c.control,
		Rollouts:  c.rollouts,
		Writer:    c.controlWriter,
		Peers:     c.cluster,
		CaughtUp:  c.controlTail.Ready(),
		Directory: c.directory,
		Engines:   c.engines,
		Weights:   store,
		Logger:    n.log,
	})
}

// poolSlots returns the number of requests that this instance may run in a pool
// at once: its equal share of the pool's slots, or more while other instances
// leave slots free, and at least 1. It returns 0 if no policy is known yet.
// The parameter inFlight is the number of requests that this instance currently runs
// in the pool.
func (n *Node) poolSlots(pool platform.PoolName, inFlight int) float64 {
	policy := n.components.control.Policy()
	if policy == nil {
		return 0
	}
	perEndpoint := policy.Pools[pool].Slots
	total, outstanding := n.components.directory.Occupancy(time.Now(), pool, perEndpoint)
	share := 1 / float64(max(1, n.components.directory.ListedInstanceCount()))
	return max(1, admission.SlotShare(total, outstanding, inFlight, share))
}

// assembleServers creates the servers for callers, peers and operators.
func (n *Node) assembleServers(c *components) {
	scheduler := placement.New(placement.Standard(placement.Tuning{}))
	retryBudgets := newBudgets()
	server := caller.New(caller.Config{
		Instance:   n.id,
		Zone:       n.settings.Zone,
		BodyBytes:  n.settings.Limits.BodyBytes,
		Policies:   c.control,
		Endpoints:  c.directory,
		Pools:      c.pools,
		Engines:    caller.EngineClient{Client: c.engines},
		Services:   c.engines,
		Suspects:   c.suspects,
		Planner:    c.feedback,
		Exposures:  c.rollouts,
		Owners:     c.reservations,
		Biller:     c.biller,
		Sessions:   c.sessions,
		Limits:     c.limits,
		AtMostOnce: c.atMostOnce,
		Budgets:    retryBudgets,
		Scheduler:  scheduler,
		Telemetry:  c.telemetry,
		Stop:       n.stop,
	})
	n.addGauges(c)
	n.callerServer = &http.Server{
		Handler:           server.Handler(),
		MaxHeaderBytes:    n.settings.Limits.HeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	n.adminServer = &http.Server{Handler: admin.Handler(n.Status, c.telemetry), ReadHeaderTimeout: readHeaderTimeout}
	c.peerHandler = &cluster.Handler{
		Cluster:  c.cluster,
		Records:  &recordReader{control: c.controlTail, intents: c.intentTail},
		Copies:   c.biller,
		Sessions: c.sessions,
		Slots:    reservations.Server{Client: c.reservations},
	}
}

// addGauges registers the gauges of the components.
func (n *Node) addGauges(c *components) {
	gauge := c.telemetry.RegisterGauge
	gauge(`wigeonusher_revision`, func() float64 { return float64(n.Status().Revision) })
	gauge(`wigeonusher_bills_held`, func() float64 { return float64(c.billWriter.Len()) })
	gauge(`wigeonusher_bills_for_peers`, func() float64 { return float64(c.biller.HeldForPeers()) })
	gauge(`wigeonusher_bills_uncopied`, func() float64 { return float64(c.biller.Uncopied()) })
	gauge(`wigeonusher_sessions`, func() float64 { return float64(c.sessions.Len()) })
	gauge(`wigeonusher_idempotency_keys`, func() float64 { return float64(c.atMostOnce.Keys()) })
	gauge(`wigeonusher_queued_requests`, func() float64 { return float64(c.pools.Queued()) })
	gauge(`wigeonusher_peers_alive`, func() float64 { return float64(len(c.cluster.Live())) })
	gauge(`wigeonusher_peer_sent_bytes`, func() float64 { return float64(c.traffic.Sent()) })
	gauge(`wigeonusher_peer_received_bytes`, func() float64 { return float64(c.traffic.Received()) })
	gauge(`wigeonusher_log_available`, func() float64 {
		if c.billWriter.Available(time.Now()) {
			return 1
		}
		return 0
	})
}
