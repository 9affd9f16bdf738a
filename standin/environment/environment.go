package environment

import (
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/standin/check"
	"github.com/wigeonusher/wigeonusher/standin/endpoint"
	"github.com/wigeonusher/wigeonusher/standin/engine"
	"github.com/wigeonusher/wigeonusher/standin/fixture"
	"github.com/wigeonusher/wigeonusher/standin/instancelist"
	"github.com/wigeonusher/wigeonusher/standin/logservice"
	"github.com/wigeonusher/wigeonusher/standin/ratings"
	"github.com/wigeonusher/wigeonusher/standin/service"
	"github.com/wigeonusher/wigeonusher/standin/weights"
)

const (
	anyPort            = "127.0.0.1:0"
	instanceListLag    = 500 * time.Millisecond
	loadReportLag      = 200 * time.Millisecond
	cacheEventDelay    = 300 * time.Millisecond
	cacheEventLossRate = 0.02
	modelLoadTime      = 500 * time.Millisecond
)

// Environment holds the running stand-ins of a deployment.
type Environment struct {
	Deployment   *fixture.Deployment
	Log          *logservice.Server
	InstanceList *instancelist.Server
	Ratings      *ratings.Server
	Weights      *weights.Server

	seed uint64

	mu      sync.Mutex
	engines []*engine.Server
	desks   []*service.Server
}

// closer is implemented by all stand-ins.
type closer interface{ Close() error }

// Start starts all stand-ins of the deployment. On an error it stops those that
// have started. The seed makes the stand-ins' random choices repeatable.
func Start(deployment *fixture.Deployment, seed uint64) (*Environment, error) {
	e := &Environment{
		Deployment:   deployment,
		seed:         seed,
		Log:          logservice.New(logservice.Config{Seed: seed}),
		InstanceList: instancelist.New(instancelist.Config{Seed: seed, Lag: instanceListLag}),
		Ratings:      ratings.New(ratings.Config{Seed: seed}),
		Weights:      weights.New(weights.Config{Seed: seed}),
	}
	e.Log.Append(platform.StreamControl, deployment.ControlPayload())
	if err := e.startServers(); err != nil {
		_ = e.Close()
		return nil, err
	}
	return e, nil
}

func (e *Environment) startServers() error {
	for _, listen := range []func(string) error{e.Log.Listen, e.InstanceList.Listen, e.Ratings.Listen, e.Weights.Listen} {
		if err := listen(anyPort); err != nil {
			return eris.Wrap(err, "environment: start stand-in of a platform service")
		}
	}
	for _, identity := range e.Deployment.Engines {
		if _, err := e.AddEngine(identity); err != nil {
			return err
		}
	}
	for _, identity := range e.Deployment.Desks {
		if _, err := e.AddDesk(identity); err != nil {
			return err
		}
	}
	return nil
}

// AddEngine starts an engine, which registers with the instance list.
func (e *Environment) AddEngine(identity endpoint.Identity) (*engine.Server, error) {
	pool := e.Deployment.Pools[identity.Pool]
	identity.InstanceList = e.InstanceList.URL()
	server := engine.New(engine.Config{
		Seed:          e.seed,
		Identity:      identity,
		Slots:         pool.Slots,
		Loaded:        e.Deployment.ServedVersions(identity.Pool),
		Profiles:      e.Deployment.Profiles,
		ChecksFencing: pool.ChecksFencing,
		LoadTime:      modelLoadTime,
		LoadLag:       loadReportLag,
		EventDelay:    cacheEventDelay,
		EventLossRate: cacheEventLossRate,
	})
	if err := server.Listen(anyPort); err != nil {
		return nil, eris.Wrapf(err, "environment: start engine %s", identity.ID)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.engines = append(e.engines, server)
	return server, nil
}

// AddDesk starts an endpoint of the plain service, which registers with the
// instance list.
func (e *Environment) AddDesk(identity endpoint.Identity) (*service.Server, error) {
	pool := e.Deployment.Pools[identity.Pool]
	identity.InstanceList = e.InstanceList.URL()
	server := service.New(service.Config{
		Seed:          e.seed,
		Identity:      identity,
		Slots:         pool.Slots,
		ChecksFencing: pool.ChecksFencing,
	})
	if err := server.Listen(anyPort); err != nil {
		return nil, eris.Wrapf(err, "environment: start desk %s", identity.ID)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.desks = append(e.desks, server)
	return server, nil
}

// Engines returns all engines started so far, including those that have stopped.
func (e *Environment) Engines() []*engine.Server {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.engines)
}

// Desks returns all endpoints of the plain service started so far, including
// those that have stopped.
func (e *Environment) Desks() []*service.Server {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.desks)
}

// History returns what is known so far: the requests that the endpoints have run,
// those that arrived at leaving endpoints, and the records of the log's bills and
// control streams.
func (e *Environment) History() check.History {
	history := check.History{
		Bills:   e.Log.Records(platform.StreamBills),
		Control: e.Log.Records(platform.StreamControl),
	}
	for _, server := range e.Engines() {
		history.EngineRuns = append(history.EngineRuns, server.Runs()...)
		history.LateRequests = append(history.LateRequests, server.LateRequests()...)
	}
	for _, server := range e.Desks() {
		history.ServiceRuns = append(history.ServiceRuns, server.Runs()...)
		history.LateRequests = append(history.LateRequests, server.LateRequests()...)
	}
	return history
}

// Close stops all stand-ins. It ignores their errors and returns nil.
func (e *Environment) Close() error {
	var servers []closer
	for _, server := range e.Engines() {
		servers = append(servers, server)
	}
	for _, server := range e.Desks() {
		servers = append(servers, server)
	}
	servers = append(servers, e.Ratings, e.Weights, e.InstanceList, e.Log)
	for _, server := range servers {
		_ = server.Close()
	}
	return nil
}
