package entry

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/node/clients"
	"github.com/wigeonusher/wigeonusher/node/loop"
	"github.com/wigeonusher/wigeonusher/node/memory"
	"github.com/wigeonusher/wigeonusher/node/relay"
	policymemory "github.com/wigeonusher/wigeonusher/policy/memory"
)

// Run serves until the context ends, then drains and returns. If a server or a
// background task fails, it returns the error without draining.
func (e *Entry) Run(ctx context.Context) error {
	e.applyProcessLimits()
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var group run.Group
	for _, task := range []func(context.Context) error{
		e.operatorTailer().Run, e.registryTailer().Run, e.statusTailer().Run, e.verdictTailer().Run, e.versions.Run, e.maintain, e.runCrashes, e.runAdmission,
		e.cluster.Run, e.broadcaster.Run,
		e.servePeers,
	} {
		group.Add(func() error { return task(work) }, func(error) { stop() })
	}
	healthServer := &http.Server{Handler: e.healthHandler(), ReadHeaderTimeout: healthHeaderTimeout, IdleTimeout: healthIdleTimeout}
	group.Add(func() error { return serveUntil(work, healthServer, e.healthListener) }, func(error) { healthServer.Close() })
	group.Add(func() error {
		return awaitEnd(work, e.clientServer.Serve(e.clientListener))
	}, func(error) { e.clientServer.Close() })
	group.Add(func() error { return e.awaitStop(ctx, work) }, func(error) { stop() })
	e.log.WithFields(logrus.Fields{"clients": e.settings.ClientAddress, "health": e.settings.HealthAddress, "zone": e.settings.Zone}).Info("instance starts")
	err := group.Run()
	e.closeListeners()
	if closeErr := e.peerClient.Close(); closeErr != nil {
		e.log.WithError(closeErr).Debug("cannot close connections to peers")
	}
	e.log.Info("instance stopped")
	return err
}

func (e *Entry) runCrashes(ctx context.Context) error {
	return e.crashes.Run(ctx, e.platform.Log(), e.platform.Topics().Verdicts)
}

// serveUntil serves until the server is shut down or closed, and then waits until
// the context ends, so that the run group doesn't stop early. The end of the
// context alone doesn't stop the server.
func serveUntil(ctx context.Context, server *http.Server, listener net.Listener) error {
	return awaitEnd(ctx, server.Serve(listener))
}

// awaitEnd waits until the context ends if a server was shut down.
func awaitEnd(ctx context.Context, err error) error {
	if eris.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return nil
	}
	return eris.Wrap(err, "entry: serve")
}

// plan returns how the memory and the descriptors of the process are divided.
func (l ProcessLimits) plan() policymemory.Plan {
	return policymemory.NewPlan(l.MemoryMB*(1<<20), l.Descriptors)
}

// applyProcessLimits sets the Go runtime's processor and memory limits, and the bounds on what
// clients may hold.
func (e *Entry) applyProcessLimits() {
	limits := e.currentSettings.Load().Limits
	plan := limits.plan()
	runtime.GOMAXPROCS(max(1, limits.Processors))
	debug.SetMemoryLimit(plan.Runtime)
	e.memory.SetTotal(plan.Requests)
	e.sockets.SetTotal(plan.Sockets)
	e.clientServer.SetLimit(plan.Connections)
}

// initClients sets up the bounds on what clients may hold.
func (e *Entry) initClients() {
	plan := e.settings.Limits.plan()
	e.memory = memory.NewGuard(plan.Requests, e.observer.Count, e.log)
	e.sockets = clients.NewSockets(plan.Sockets)
}

func (e *Entry) newClientServer() *clients.Server {
	handler := sync.OnceValue(func() http.Handler {
		return e.closeWhileStopping(e.platform.Handler(e.relay, e.limits, e.memory))
	})
	return clients.NewServer(clients.Config{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handler().ServeHTTP(w, r) }),
		Limits:  e.limits, Guard: e.memory,
	}, e.settings.Limits.plan().Connections, e.sockets)
}

// dialEndpoint connects to an endpoint for a request.
func (e *Entry) dialEndpoint(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	conn, err := e.platform.DialEndpoint(ctx, address, timeout)
	if err != nil {
		return nil, err
	}
	return e.sockets.Track(conn), nil
}

// closeWhileStopping closes each keep-alive connection after its next response
// once the instance is stopping. The shutdown that follows closes idle
// connections, and a request in transit on one of them would be lost.
func (e *Entry) closeWhileStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.stopping.HasBegun() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (e *Entry) awaitStop(ctx, work context.Context) error {
	select {
	case <-ctx.Done():
		e.drain(work)
	case <-work.Done():
	}
	return nil
}

// drain stops gracefully: the instance reports not ready at once, serves until
// the balancer has had time to remove it, then refuses new connections and closes
// existing ones when they become idle. Requests that cannot be answered before the end are refused
// (package drain), and those that have no answer shortly before it get a final one.
func (e *Entry) drain(work context.Context) {
	started := time.Now()
	bounds := e.currentSettings.Load().Bounds
	grace := millis(bounds.StopGraceMillis) - shutdownReserve
	lag := min(millis(bounds.BalancerLagMillis), grace/2)
	e.stopping.Begin(started.Add(lag), started.Add(grace))
	e.log.WithFields(logrus.Fields{"lag_ms": lag.Milliseconds(), "grace_ms": grace.Milliseconds()}).Info("instance drains")
	select {
	case <-time.After(lag):
	case <-work.Done():
		return
	}
	e.forwardServer.Stop()
	ctx, cancel := context.WithDeadline(work, started.Add(grace))
	defer cancel()
	if err := e.clientServer.Shutdown(ctx); err != nil {
		e.log.WithError(err).Warn("grace period ended with requests running; their connections are closed")
	}
	e.forwardServer.AwaitIdle(ctx)
	e.cluster.Leave(ctx)
}

// reachesAny reports whether one of the addresses accepts a connection.
func (e *Entry) reachesAny(ctx context.Context, addresses []string) bool {
	reached := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() { reached <- e.prober.Probe(ctx, address) == relay.ProbeReached }()
	}
	found := false
	for range addresses {
		found = <-reached || found
	}
	return found
}

// maintain evicts endpoints whose registration expired, probes those whose pause
// is over, and updates this instance's share of the retry slack.
func (e *Entry) maintain(ctx context.Context) error {
	return loop.Every(ctx, maintenanceInterval, func(now time.Time) {
		e.pools.Expire(now)
		e.evacuations.update(now, e.pools)
		e.observer.registerShares(e.pools)
		if group, ok := e.cluster.LimitGroup(); ok {
			e.pools.SetLimitGroup(now, group)
		}
		live := e.cluster.LiveCount()
		e.budgets.setLiveInstances(now, live)
		e.versions.SetFleetSize(live)
		for _, check := range e.pools.PathChecks(now) {
			go func() { check.Done(e.reachesAny(ctx, check.Addresses)) }()
		}
		for _, probe := range e.pools.Probes(now) {
			go func() {
				if outcome := e.prober.Probe(ctx, probe.Address); outcome != relay.ProbeFailed {
					probe.Done(time.Now(), outcome == relay.ProbeReached)
				}
			}()
		}
	})
}
