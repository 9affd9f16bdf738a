// Package entry assembles an entry instance from the request path of package
// relay, the tailers of the platform's log, and the servers for clients, peers
// and operators. [Platform] abstracts the platform.
package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/evacuation"
	"github.com/wigeonusher/wigeonusher/coord/keyed"
	coordplatform "github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/admit"
	"github.com/wigeonusher/wigeonusher/node/boottime"
	"github.com/wigeonusher/wigeonusher/node/broadcast"
	"github.com/wigeonusher/wigeonusher/node/clients"
	"github.com/wigeonusher/wigeonusher/node/cluster"
	"github.com/wigeonusher/wigeonusher/node/crashes"
	"github.com/wigeonusher/wigeonusher/node/forward"
	"github.com/wigeonusher/wigeonusher/node/memory"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/node/stop"
	"github.com/wigeonusher/wigeonusher/node/versions"
	"github.com/wigeonusher/wigeonusher/policy/canary"
	"github.com/wigeonusher/wigeonusher/policy/route"
	"github.com/wigeonusher/wigeonusher/wire/peer"
)

// Topics names the topics of the platform's log.
type Topics struct {
	// Operator holds the configuration and the operator's roll-out orders.
	Operator keyed.Topic
	// Registry holds the registrations of endpoints.
	Registry keyed.Topic
	// Status holds the agreed status of each roll-out.
	Status keyed.Topic
	// Verdicts holds the features of requests that crash endpoints. Only the instances
	// read it.
	Verdicts keyed.Topic
}

// Platform adapts the platform's log, endpoints and data formats to this
// package.
type Platform interface {
	Log() keyed.Log
	Topics() Topics
	// Features translates the terms of the platform that are in force, see
	// [Settings.Contracts].
	Features(contracts []string) Features
	// ReadinessPath is the HTTP path of the load balancer's readiness check.
	ReadinessPath() string
	// Endpoints returns the codec of calls to endpoints. dial connects to an endpoint.
	Endpoints(dial func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)) relay.Endpoints
	// DialEndpoint connects to an endpoint.
	DialEndpoint(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)
	// Handler returns the handler that serves clients through the relay.
	Handler(server *relay.Relay, limits func() route.Limits, guard *memory.Guard) http.Handler
	// PromisesNotRun reports whether clients take a status as the promise that the request has not
	// run and never will.
	PromisesNotRun(status int) bool
	// DecodeTable decodes a routing configuration. It returns nil if the change
	// does not hold one.
	DecodeTable(change keyed.Change) (*route.Table, error)
	DecodeEndpoint(change keyed.Change) (pool.Record, error)
	// DecodeOrder decodes a roll-out order. It returns nil if the change does not
	// hold one.
	DecodeOrder(change keyed.Change) (*canary.Order, error)
	// DecodeEvacuation decodes an order to send nothing to the endpoints of a zone. It returns
	// nil if the change does not hold one.
	DecodeEvacuation(change keyed.Change) (*evacuation.Change, error)
	// DecodeStatus decodes the status of a roll-out. It returns nil if the change
	// does not hold one.
	DecodeStatus(change keyed.Change) (*canary.Status, error)
	// EncodeStatus is the inverse of DecodeStatus.
	EncodeStatus(status canary.Status) (key string, value []byte, err error)
}

const (
	// minOperatorWait and maxOperatorWait bound the wait of a read of the operator topic,
	// see [Entry.operatorWait].
	minOperatorWait = 400 * time.Millisecond
	maxOperatorWait = 1500 * time.Millisecond
	// outageFraction is the longest outage of the store that requests with a key outlast, as a
	// fraction of the time within which revoked keys must stop working.
	outageFraction = 0.5
	// lateAnswerTolerance is how much later than the wait a response may
	// arrive before the store counts as unresponsive.
	lateAnswerTolerance = 700 * time.Millisecond
	// statusWait is the longest wait of a read of the status topic, for which no
	// regular proof of freshness is needed.
	statusWait = 20 * time.Second
	// registryWaitFraction is the longest wait of a read of the registry, as a fraction
	// of the endpoints' drain time: an endpoint that leaves must not be hidden for
	// longer by a read that hangs.
	registryWaitFraction = 0.5
	// registryPollFraction is the minimum time between the starts of two reads of
	// the registry, as a fraction of the endpoints' drain time: a leaving endpoint
	// must be noticed well within the drain time.
	registryPollFraction = 0.3
	// revocationMargin is the part of the revocation bound that is left for
	// sending a request to its endpoint.
	revocationMargin = 700 * time.Millisecond
	// shutdownReserve is the time at the end of the stop grace period that a
	// graceful stop leaves unused.
	shutdownReserve = 500 * time.Millisecond
	// maintenanceInterval is the time between checks for endpoints whose
	// registration expired or whose pause is over.
	maintenanceInterval = 100 * time.Millisecond
	// healthHeaderTimeout and healthIdleTimeout bound connections to the health address.
	healthHeaderTimeout = 3 * time.Second
	healthIdleTimeout   = 60 * time.Second
)

// Entry is an entry instance.
type Entry struct {
	// settings are the settings at the start, with the actual listener addresses;
	// currentSettings are those in force after the last reload.
	settings        Settings
	currentSettings atomic.Pointer[Settings]
	platform        Platform
	log             *logrus.Entry

	table atomic.Pointer[route.Table]
	// verifiedAt is the boot time at which the table was last known to be current.
	verifiedAt atomic.Int64
	// operatorAnsweredAt is the boot time of the last successful read of the operator
	// topic.
	operatorAnsweredAt atomic.Int64
	// registryAnsweredAt is the boot time of the last successful read of the
	// registry topic.
	registryAnsweredAt atomic.Int64
	pools              *pool.Pools
	evacuations        evacuations
	prober             *dialProber
	crashes            *crashes.Tracker
	forwardClient      *forward.Client
	forwardServer      *forward.Server
	budgets            *budgets

	admission   *admit.Fleet
	cluster     *cluster.Cluster
	peerClient  *peer.Client
	broadcaster *broadcast.Broadcaster
	// topics shares the topics of the log with the peers of the zone.
	topics *topics

	versions     *versions.Versions
	observer     *observer
	planner      *relay.SizePlanner
	relay        *relay.Relay
	stopping     *stop.Stop
	clientServer *clients.Server
	// memory and sockets bound what is held for clients and endpoints.
	memory  *memory.Guard
	sockets *clients.Sockets

	healthListener, clientListener, peerListener net.Listener
}

// New returns an instance whose listeners are open. Connections are accepted by
// the kernel from now on and served once [Entry.Run] is called.
func New(settings Settings, platform Platform, logger *logrus.Logger) (*Entry, error) {
	log := logger.WithField("instance", settings.Name)
	e := &Entry{settings: settings, platform: platform, log: log}
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.currentSettings.Store(&settings)
	e.pools = pool.New(settings.Zone, log)
	e.prober = newDialProber(platform.DialEndpoint)
	e.budgets = newBudgets(settings.Bounds, time.Now())
	e.stopping = stop.New()
	e.observer = newObserver(log, e.stopping)
	e.initClients()
	e.initPeers()
	e.cluster.AddGossip(limitGossip{e.pools}, loadGossip{e.pools}, statisticsGossip{e.pools}, coldGossip{e.pools},
		zoneGossip{pools: e.pools, cluster: e.cluster, zone: settings.Zone})
	e.pools.SetZonePrice(settings.Routing.zonePrice())
	e.crashes = crashes.New(crashes.Config{
		Prober: e.prober, Pools: e.pools, Notifier: e.broadcaster, Logger: log, Count: e.observer.Count,
	})
	e.cluster.AddGossip(e.crashes)
	e.pools.OnBrittleRejection(func(endpoint coordplatform.EndpointID) { e.broadcaster.BroadcastFull(string(endpoint)) })
	e.pools.OnLongRead(e.broadcaster.BroadcastLongRead)
	e.versions = versions.New(settings.Bounds.canaryTuning(), versions.Config{Zone: string(settings.Zone), Pools: e.pools, Writer: e, Sessions: e.broadcaster, Logger: log})
	e.forwardClient = forward.NewClient(e.cluster, e.pools, e.peerClient)
	e.cluster.AddGossip(e.forwardClient)
	e.initAdmission()
	e.planner = &relay.SizePlanner{Pools: e.pools, Accept: e.acceptConfidence}
	e.relay = relay.New(relay.Config{
		Admission:      e.admission,
		Gate:           &relay.TableGate{Tables: e, MaxAge: e.configMaxAge},
		Planner:        e.planner,
		Picker:         &relay.PooledPicker{Pools: e.pools, Versions: e.versions, Suspects: e.crashes, Forwarder: e.forwardClient},
		Endpoints:      platform.Endpoints(e.dialEndpoint),
		Budgets:        e.budgets,
		Prober:         e.prober,
		Observer:       e.observer,
		DialTimeout:    e.dialTimeout,
		PromisesNotRun: platform.PromisesNotRun,
		Stop:           e.stopping,
		Memory:         e.memory,
	})
	e.forwardServer = forward.NewServer(forward.ServerConfig{
		Peers: e.cluster, Relay: e.relay, Memory: e.memory, MaxBody: func() int64 { return e.limits().BodyBytes }, Count: e.observer.Count, Log: log,
	})
	e.broadcaster.HandleForwards(e.forwardServer)
	e.clientServer = e.newClientServer()
	e.observer.registerGauges(e)
	return e, nil
}

// listen opens the listeners. Port 0 in the settings selects a free port.
func (e *Entry) listen() error {
	for _, server := range []struct {
		address  *string
		listener *net.Listener
	}{
		{&e.settings.HealthAddress, &e.healthListener},
		{&e.settings.ClientAddress, &e.clientListener},
		{&e.settings.PeerAddress, &e.peerListener},
	} {
		listener, err := net.Listen("tcp", *server.address)
		if err != nil {
			e.closeListeners()
			return eris.Wrap(err, "entry: listen")
		}
		*server.listener, *server.address = listener, listener.Addr().String()
	}
	return nil
}

func (e *Entry) closeListeners() {
	for _, listener := range []net.Listener{e.healthListener, e.clientListener, e.peerListener} {
		if listener != nil {
			listener.Close()
		}
	}
}

// Settings returns the settings at the start, with the actual listener addresses.
func (e *Entry) Settings() Settings { return e.settings }

func millis(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// configMaxAge returns the maximum time since the configuration was last known to
// be current for requests that need a key; 0 means no limit.
func (e *Entry) configMaxAge() time.Duration {
	bounds := e.currentSettings.Load().Bounds
	if !bounds.StrictRevocation {
		return 0
	}
	return millis(bounds.RevocationMillis) - revocationMargin
}

// operatorWait returns the longest wait of a read of the operator topic. Each response proves that
// the configuration was current when the read was sent. So a proof is up to two waits old when the
// next one arrives, and that much less of an outage of the store can be outlasted.
func (e *Entry) operatorWait() time.Duration {
	maxAge := e.configMaxAge()
	if maxAge == 0 {
		return maxOperatorWait
	}
	outage := millis(outageFraction * e.currentSettings.Load().Bounds.RevocationMillis)
	return min(maxOperatorWait, max(minOperatorWait, (maxAge-outage)/2))
}

// Table implements [relay.TableSource].
func (e *Entry) Table() (*route.Table, boottime.Instant) {
	return e.table.Load(), boottime.Instant(e.verifiedAt.Load())
}

func (e *Entry) limits() route.Limits {
	if table := e.table.Load(); table != nil {
		return table.Limits
	}
	return route.Limits{}
}

// Ready reports whether the instance can serve requests.
func (e *Entry) Ready() bool {
	table, verifiedAt := e.Table()
	if table == nil || e.stopping.HasBegun() || e.pools.Count() == 0 || !e.reachesEndpoints() {
		return false
	}
	maxAge := e.configMaxAge()
	return maxAge == 0 || boottime.Since(verifiedAt) < maxAge
}

// reachesEndpoints reports whether the instance can run requests to any service, itself or
// through a peer.
func (e *Entry) reachesEndpoints() bool {
	broken := e.pools.BrokenPaths()
	if len(broken) < e.pools.ServiceCount() {
		return true
	}
	for _, service := range broken {
		if e.forwardClient.CanForward(service, nil) {
			return true
		}
	}
	return len(broken) == 0
}

// Propose implements [versions.Writer].
func (e *Entry) Propose(ctx context.Context, at keyed.Position, status canary.Status) error {
	key, value, err := e.platform.EncodeStatus(status)
	if err != nil {
		return err
	}
	return e.platform.Log().AppendAt(ctx, e.platform.Topics().Status, at, key, value)
}
