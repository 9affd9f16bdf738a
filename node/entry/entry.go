// Package entry assembles an entry instance: the core path of package relay,
// what follows the platform's log, and the servers for clients and operators.
// The platform itself is behind the interface [Platform].
package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/keyed"
	"github.com/wigeonusher/wigeonusher/node/boottime"
	"github.com/wigeonusher/wigeonusher/node/cluster"
	"github.com/wigeonusher/wigeonusher/node/notices"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/node/versions"
	"github.com/wigeonusher/wigeonusher/policy/canary"
	"github.com/wigeonusher/wigeonusher/policy/route"
	"github.com/wigeonusher/wigeonusher/wire/peer"
)

// Topics names the topics of the platform's log.
type Topics struct {
	// Operator holds the configuration and the orders of roll-outs.
	Operator keyed.Topic
	// Registry holds the endpoints' entries.
	Registry keyed.Topic
	// Status holds the agreed state of roll-outs.
	Status keyed.Topic
}

// Platform translates between the platform and the product.
type Platform interface {
	Log() keyed.Log
	Topics() Topics
	// ReadinessPath is where the balancer asks for readiness.
	ReadinessPath() string
	Endpoints() relay.Endpoints
	// Handler serves clients by the relay.
	Handler(server *relay.Relay, limits func() route.Limits) http.Handler
	// DecodeTable decodes the configuration; nil if the change is none.
	DecodeTable(change keyed.Change) (*route.Table, error)
	DecodeEndpoint(change keyed.Change) (pool.Record, error)
	// DecodeOrder decodes the order of a roll-out; nil if the change is none.
	DecodeOrder(change keyed.Change) (*canary.Order, error)
	// DecodeStatus decodes the state of a roll-out; nil if the change is none.
	DecodeStatus(change keyed.Change) (*canary.Status, error)
	// EncodeStatus is the inverse of DecodeStatus.
	EncodeStatus(status canary.Status) (key string, value []byte, err error)
}

const (
	// operatorWait bounds a read of the operator's topic. Each answer proves
	// the configuration current, so it has to be well below the time in which
	// revoked keys must stop.
	operatorWait = 1500 * time.Millisecond
	// answerSlack is how late an answer to such a read may be before the store
	// counts as disturbed.
	answerSlack = 700 * time.Millisecond
	// registryWait and statusWait bound reads of topics whose silence needs no
	// proof.
	registryWait = 10 * time.Second
	statusWait   = 20 * time.Second
	// registryPart is the part of the endpoints' drain time that may pass
	// between two reads of the registry.
	registryPart = 0.3
	// revocationMargin is what remains of the revocation bound for the way of a
	// request to its endpoint.
	revocationMargin = 700 * time.Millisecond
	// graceReserve is what a stop leaves unused of its grace.
	graceReserve = 500 * time.Millisecond
	// upkeepInterval is the time between looks for endpoints that did not
	// register again, or whose pause is over.
	upkeepInterval = 100 * time.Millisecond
	// memoryPart is the part of the memory limit that the garbage collector
	// keeps the heap below.
	memoryPart = 0.7
	// headerTimeout and idleTimeout bound clients while no configuration is
	// known.
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
	headerBytes   = 64 << 10
)

// Entry is an entry instance.
type Entry struct {
	// settings are those of the start, with the ports that were taken, and live
	// those in force.
	settings Settings
	live     atomic.Pointer[Settings]
	platform Platform
	log      *logrus.Entry

	table    atomic.Pointer[route.Table]
	provenAt atomic.Int64
	// answeredAt is when the store last answered a read of the operator's topic.
	answeredAt atomic.Int64
	pools      *pool.Pools
	reach      *reach
	suspects   *suspects
	budgets    *budgets

	cluster    *cluster.Cluster
	peerClient *peer.Client
	notices    *notices.Notices

	versions *versions.Versions
	observer *observer
	relay    *relay.Relay
	stopping atomic.Bool
	clients  *http.Server

	healthListener, clientListener, peerListener net.Listener
}

// New assembles an instance. It accepts connections from now on and serves
// them once it runs.
func New(settings Settings, platform Platform, logger *logrus.Logger) (*Entry, error) {
	log := logger.WithField("instance", settings.Name)
	e := &Entry{settings: settings, platform: platform, log: log}
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.live.Store(&settings)
	e.pools = pool.New(settings.Zone, log)
	e.reach = newReach()
	e.budgets = newBudgets(settings.Bounds, time.Now())
	e.observer = newObserver(log)
	e.newPeers()
	e.suspects = newSuspects(e.reach, e.notices.Crashed, log)
	e.pools.OnLongRead(e.notices.LongRead)
	e.versions = versions.New(settings.Bounds.canary(), versions.Config{Pools: e.pools, Writer: e, Sessions: e.notices, Logger: log})
	e.relay = relay.New(relay.Config{
		Gate:      &relay.TableGate{Tables: e, MaxAge: e.configMaxAge},
		Planner:   &relay.SizePlanner{Pools: e.pools, Accept: e.acceptConfidence},
		Places:    &relay.PooledPlaces{Pools: e.pools, Versions: e.versions, Suspects: e.suspects},
		Endpoints: platform.Endpoints(),
		Budgets:   e.budgets,
		Reach:     e.reach,
		Observer:  e.observer,
		Dial:      e.dialTimeout,
	})
	e.observer.gauges(e)
	return e, nil
}

// listen opens the listeners. A port of 0 in the settings takes a free one.
func (e *Entry) listen() error {
	for _, one := range []struct {
		address *string
		bound   *net.Listener
	}{
		{&e.settings.HealthAddress, &e.healthListener},
		{&e.settings.ClientAddress, &e.clientListener},
		{&e.settings.PeerAddress, &e.peerListener},
	} {
		bound, err := net.Listen("tcp", *one.address)
		if err != nil {
			e.closeListeners()
			return eris.Wrap(err, "entry: listen")
		}
		*one.bound, *one.address = bound, bound.Addr().String()
	}
	return nil
}

func (e *Entry) closeListeners() {
	for _, bound := range []net.Listener{e.healthListener, e.clientListener, e.peerListener} {
		if bound != nil {
			bound.Close()
		}
	}
}

// Settings returns the settings, with the ports that were taken.
func (e *Entry) Settings() Settings { return e.settings }

func millis(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// configMaxAge returns how old the proof of the configuration may be for
// requests that need a key; 0 if any age will do.
func (e *Entry) configMaxAge() time.Duration {
	bounds := e.live.Load().Bounds
	if !bounds.StrictRevocation {
		return 0
	}
	return millis(bounds.RevocationMillis) - revocationMargin
}

// Table implements [relay.Tables].
func (e *Entry) Table() (*route.Table, boottime.Instant) {
	return e.table.Load(), boottime.Instant(e.provenAt.Load())
}

func (e *Entry) limits() route.Limits {
	if table := e.table.Load(); table != nil {
		return table.Limits
	}
	return route.Limits{}
}

// Ready reports whether the instance can serve requests.
func (e *Entry) Ready() bool {
	table, provenAt := e.Table()
	if table == nil || e.stopping.Load() || e.pools.Count() == 0 {
		return false
	}
	maxAge := e.configMaxAge()
	return maxAge == 0 || boottime.Since(provenAt) < maxAge
}

// Propose implements [versions.Writer].
func (e *Entry) Propose(ctx context.Context, at keyed.Offset, status canary.Status) error {
	key, value, err := e.platform.EncodeStatus(status)
	if err != nil {
		return err
	}
	return e.platform.Log().AppendAt(ctx, e.platform.Topics().Status, at, key, value)
}
