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
	anyPort    = "127.0.0.1:0"
	listLag    = 500 * time.Millisecond
	loadLag    = 200 * time.Millisecond
	eventDelay = 300 * time.Millisecond
	eventGaps  = 0.02
	loadTime   = 500 * time.Millisecond
)

// Environment is the running surroundings of a deployment.
type Environment struct {
	Deployment *fixture.Deployment
	Log        *logservice.Server
	List       *instancelist.Server
	Ratings    *ratings.Server
	Weights    *weights.Server

	seed uint64

	mu      sync.Mutex
	engines []*engine.Server
	desks   []*service.Server
}

// closer is a stand-in that can be stopped.
type closer interface{ Close() error }

// Start starts everything. On an error, what had started is stopped.
func Start(deployment *fixture.Deployment, seed uint64) (*Environment, error) {
	e := &Environment{
		Deployment: deployment,
		seed:       seed,
		Log:        logservice.New(logservice.Config{Seed: seed}),
		List:       instancelist.New(instancelist.Config{Seed: seed, Lag: listLag}),
		Ratings:    ratings.New(ratings.Config{Seed: seed}),
		Weights:    weights.New(weights.Config{Seed: seed}),
	}
	e.Log.Append(platform.StreamControl, deployment.Payload())
	if err := e.listen(); err != nil {
		_ = e.Close()
		return nil, err
	}
	return e, nil
}

func (e *Environment) listen() error {
	for _, listen := range []func(string) error{e.Log.Listen, e.List.Listen, e.Ratings.Listen, e.Weights.Listen} {
		if err := listen(anyPort); err != nil {
			return eris.Wrap(err, "environment: start platform")
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

// AddEngine starts an engine and announces it.
func (e *Environment) AddEngine(identity endpoint.Identity) (*engine.Server, error) {
	pool := e.Deployment.Pools[identity.Pool]
	identity.InstanceList = e.List.URL()
	added := engine.New(engine.Config{
		Seed:          e.seed,
		Identity:      identity,
		Slots:         pool.Slots,
		Loaded:        e.Deployment.Loaded(identity.Pool),
		Profiles:      e.Deployment.Profiles,
		ChecksFencing: pool.ChecksFencing,
		LoadTime:      loadTime,
		LoadLag:       loadLag,
		EventDelay:    eventDelay,
		EventGapRate:  eventGaps,
	})
	if err := added.Listen(anyPort); err != nil {
		return nil, eris.Wrapf(err, "environment: start engine %s", identity.ID)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.engines = append(e.engines, added)
	return added, nil
}

// AddDesk starts an endpoint of the plain service and announces it.
func (e *Environment) AddDesk(identity endpoint.Identity) (*service.Server, error) {
	pool := e.Deployment.Pools[identity.Pool]
	identity.InstanceList = e.List.URL()
	added := service.New(service.Config{
		Seed:          e.seed,
		Identity:      identity,
		Slots:         pool.Slots,
		ChecksFencing: pool.ChecksFencing,
	})
	if err := added.Listen(anyPort); err != nil {
		return nil, eris.Wrapf(err, "environment: start desk %s", identity.ID)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.desks = append(e.desks, added)
	return added, nil
}

// Engines returns all engines started so far, also those that have stopped.
func (e *Environment) Engines() []*engine.Server {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.engines)
}

// Desks returns all endpoints of the plain service started so far.
func (e *Environment) Desks() []*service.Server {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.desks)
}

// History returns what endpoints ran and what the log holds so far.
func (e *Environment) History() check.History {
	history := check.History{
		Bills:   e.Log.Records(platform.StreamBills),
		Control: e.Log.Records(platform.StreamControl),
	}
	for _, running := range e.Engines() {
		history.EngineRuns = append(history.EngineRuns, running.Runs()...)
		history.Late = append(history.Late, running.Late()...)
	}
	for _, running := range e.Desks() {
		history.ServiceRuns = append(history.ServiceRuns, running.Runs()...)
		history.Late = append(history.Late, running.Late()...)
	}
	return history
}

// Close stops everything.
func (e *Environment) Close() error {
	var all []closer
	for _, running := range e.Engines() {
		all = append(all, running)
	}
	for _, running := range e.Desks() {
		all = append(all, running)
	}
	all = append(all, e.Ratings, e.Weights, e.List, e.Log)
	for _, running := range all {
		_ = running.Close()
	}
	return nil
}
