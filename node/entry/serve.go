package entry

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/node/loop"
)

// Run serves until the context ends, then drains and returns.
func (e *Entry) Run(ctx context.Context) error {
	e.bound()
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var group run.Group
	for _, act := range []func(context.Context) error{
		e.operatorTailer().Run, e.registryTailer().Run, e.statusTailer().Run, e.versions.Run, e.upkeep,
		e.cluster.Run, e.notices.Run,
		e.servePeers,
	} {
		group.Add(func() error { return act(work) }, func(error) { stop() })
	}
	e.clients = e.clientServer()
	healthServer := &http.Server{Handler: e.healthHandler(), ReadHeaderTimeout: headerTimeout}
	group.Add(func() error { return serveUntil(work, healthServer, e.healthListener) }, func(error) { healthServer.Close() })
	group.Add(func() error { return serveUntil(work, e.clients, e.clientListener) }, func(error) { e.clients.Close() })
	group.Add(func() error { return e.awaitStop(ctx, work) }, func(error) { stop() })
	e.log.WithFields(logrus.Fields{"clients": e.settings.ClientAddress, "health": e.settings.HealthAddress, "zone": e.settings.Zone}).Info("instance starts")
	err := group.Run()
	e.closeListeners()
	if closed := e.peerClient.Close(); closed != nil {
		e.log.WithError(closed).Debug("connections to peers not closed")
	}
	e.log.Info("instance stopped")
	return err
}

// serveUntil serves until the context ends; a shutdown of the server alone
// does not end it.
func serveUntil(ctx context.Context, server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if eris.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return nil
	}
	return eris.Wrap(err, "entry: serve")
}

// bound fits the runtime to the machine.
func (e *Entry) bound() {
	limits := e.live.Load().Limits
	runtime.GOMAXPROCS(max(1, limits.Processors))
	debug.SetMemoryLimit(int64(limits.MemoryMB * memoryPart * (1 << 20)))
}

func (e *Entry) clientServer() *http.Server {
	return &http.Server{
		Handler:           e.closeWhileStopping(e.platform.Handler(e.relay, e.limits)),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
	}
}

// closeWhileStopping ends each kept connection with its next answer once the
// instance stops. The shutdown that follows closes idle connections, and a
// request that is on its way on one would be lost.
func (e *Entry) closeWhileStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.stopping.Load() {
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

// drain stops gracefully: not ready at once, serving until the balancer has
// noticed, then no new connections and an end to each kept one.
func (e *Entry) drain(work context.Context) {
	started := time.Now()
	e.stopping.Store(true)
	e.log.Info("instance drains")
	bounds := e.live.Load().Bounds
	grace := millis(bounds.StopGraceMillis) - graceReserve
	select {
	case <-time.After(min(millis(bounds.BalancerLagMillis), grace/2)):
	case <-work.Done():
		return
	}
	ctx, cancel := context.WithDeadline(work, started.Add(grace))
	defer cancel()
	if err := e.clients.Shutdown(ctx); err != nil {
		e.log.WithError(err).Warn("requests are cut off at the end of the grace period")
	}
	e.cluster.Leave(ctx)
}

// upkeep drops endpoints that did not register again, probes those whose
// pause is over, and divides the retry budget among the instances that live.
func (e *Entry) upkeep(ctx context.Context) error {
	return loop.Every(ctx, upkeepInterval, func(now time.Time) {
		e.pools.Expire(now)
		e.budgets.divide(now, e.cluster.LiveCount())
		for _, probe := range e.pools.Probes(now) {
			go func() { probe.Done(time.Now(), e.reach.Reachable(ctx, probe.Address)) }()
		}
	})
}
