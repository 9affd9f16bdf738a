// Package orders has the engines of the pools that this instance is in charge
// of load and unload model versions. It keeps the claims, polls the engines,
// and carries out what policy/orders plans.
package orders

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/claim"
	"github.com/wigeonusher/wigeonusher/coord/membership"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/orders"
	"github.com/wigeonusher/wigeonusher/policy/rollout"
	"github.com/wigeonusher/wigeonusher/wire/engine"
)

const (
	// stepInterval is the least time between polls of a pool's engines.
	stepInterval = time.Second
	// loadTimeout bounds one load report.
	loadTimeout = time.Second
	// reserveTimeout bounds one call of the weight store.
	reserveTimeout = 2 * time.Second
	// orderTimeout bounds one order. An engine may go on loading after it.
	orderTimeout = 2 * time.Minute
	// takeoverAfter is how long a holder must be believed dead.
	takeoverAfter = 2 * time.Second
	// claimRetry is the least time between two claims of a pool.
	claimRetry = 5 * time.Second
	// rankDelay is the wait per rank before an instance takes a pool that those
	// before it leave vacant.
	rankDelay = 10 * time.Second
	// maxReportsPerSecond bounds the load reports of one pool.
	maxReportsPerSecond = 24
	// maxPolls bounds the load reports that are asked for side by side.
	maxPolls = 32
)

// Policies gives the policy in force, nil before the first.
type Policies interface {
	Policy() *document.Policy
}

// Claims gives the fold of the claims.
type Claims interface {
	Holding(resource claim.Resource) claim.Holding
	Holds(resource claim.Resource, instance platform.InstanceID) (fencing uint64, ok bool)
}

// Rollouts gives the runs in force.
type Rollouts interface {
	Statuses() []rollout.Status
}

// Writer appends entries to the control stream.
type Writer interface {
	Add(entry platform.Entry) error
	Available(now time.Time) bool
}

// Peers tells who is alive, and ranks this instance among the live ones.
type Peers interface {
	FleetRank(key string) int
	Gone(id platform.InstanceID) bool
}

// Directory lists the endpoints.
type Directory interface {
	All() []membership.Endpoint
}

// Engines talks to engines.
type Engines interface {
	Load(ctx context.Context, address string) (engine.LoadReport, error)
	Order(ctx context.Context, address string, order engine.Order) error
}

// Config describes an instance's part in the orders.
type Config struct {
	Instance platform.InstanceID
	Policies Policies
	Claims   Claims
	Rollouts Rollouts
	Writer   Writer
	Peers    Peers
	// CaughtUp is closed once the fold of the claims has caught up.
	CaughtUp  <-chan struct{}
	Directory Directory
	Engines   Engines
	// Weights is the weight store; without one no pool is taken.
	Weights platform.WeightStore
	Logger  *logrus.Entry
}

// Status is what an instance tells of a pool that it is in charge of.
type Status struct {
	Pool    platform.PoolName `json:"pool"`
	Fencing uint64            `json:"fencing"`
	// InFlight are loads and unloads under way, Missing the copies of versions
	// that the pool's engines lack.
	InFlight int `json:"in_flight"`
	Missing  int `json:"missing"`
	// Loads, Unloads, Failures and Refusals count orders since the start.
	Loads    uint64 `json:"loads"`
	Unloads  uint64 `json:"unloads"`
	Failures uint64 `json:"failures"`
	Refusals uint64 `json:"refusals"`
}

// Orders is an instance's part in the orders to engines. Its methods may be
// called from several goroutines.
type Orders struct {
	config   Config
	stopping atomic.Bool

	mu    sync.Mutex
	pools map[platform.PoolName]*pool
}

// New returns orders of an instance that is in charge of no pool.
func New(config Config) *Orders {
	return &Orders{config: config, pools: map[platform.PoolName]*pool{}}
}

// Run keeps the claims and orders the engines until the context ends.
func (o *Orders) Run(ctx context.Context) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		o.step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Release gives up the claims, before the instance leaves. No order is begun
// afterwards.
func (o *Orders) Release() {
	o.stopping.Store(true)
	for _, p := range o.all() {
		p.release(time.Now())
	}
}

// Statuses returns the pools that this instance is in charge of, by name.
func (o *Orders) Statuses() []Status {
	var statuses []Status
	for _, p := range o.all() {
		if status, ok := p.status(); ok {
			statuses = append(statuses, status)
		}
	}
	slices.SortFunc(statuses, func(a, b Status) int { return cmp.Compare(a.Pool, b.Pool) })
	return statuses
}

// step looks after all pools, side by side.
func (o *Orders) step(ctx context.Context) {
	policy := o.config.Policies.Policy()
	if policy == nil || o.config.Weights == nil || o.stopping.Load() {
		return
	}
	var group sync.WaitGroup
	for _, p := range o.present(policy) {
		group.Go(func() { p.step(ctx, policy) })
	}
	group.Wait()
}

// present returns the pools of engines, and forgets those that the policy no
// longer has.
func (o *Orders) present(policy *document.Policy) []*pool {
	o.mu.Lock()
	defer o.mu.Unlock()
	var present []*pool
	for name := range o.pools {
		if len(policy.Pools[name].Serves) == 0 {
			delete(o.pools, name)
		}
	}
	for name, described := range policy.Pools {
		if len(described.Serves) == 0 {
			continue
		}
		if o.pools[name] == nil {
			o.pools[name] = newPool(o, name)
		}
		present = append(present, o.pools[name])
	}
	return present
}

func (o *Orders) all() []*pool {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := make([]*pool, 0, len(o.pools))
	for _, p := range o.pools {
		all = append(all, p)
	}
	return all
}

// caughtUp reports whether the fold of the claims has caught up.
func (o *Orders) caughtUp() bool {
	select {
	case <-o.config.CaughtUp:
		return true
	default:
		return false
	}
}

// listed returns the endpoints of a pool.
func (o *Orders) listed(pool platform.PoolName) []membership.Endpoint {
	var listed []membership.Endpoint
	for _, endpoint := range o.config.Directory.All() {
		if endpoint.Pool == pool {
			listed = append(listed, endpoint)
		}
	}
	return listed
}

// poll asks the engines for their reports.
func (o *Orders) poll(ctx context.Context, listed []membership.Endpoint) []orders.Engine {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	engines := make([]orders.Engine, len(listed))
	slots := make(chan struct{}, maxPolls)
	var group sync.WaitGroup
	for i, endpoint := range listed {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			engines[i] = o.ask(ctx, endpoint)
		})
	}
	group.Wait()
	return engines
}

// ask polls one engine. A report of another run at the same address is none.
func (o *Orders) ask(ctx context.Context, endpoint membership.Endpoint) orders.Engine {
	known := orders.Engine{
		ID:      endpoint.ID,
		Zone:    endpoint.Zone,
		Address: endpoint.Address,
		Leaving: endpoint.Belief == membership.EndpointLeaving,
	}
	if known.Leaving {
		return known
	}
	report, err := o.config.Engines.Load(ctx, endpoint.Address)
	if err != nil || report.ID != string(endpoint.ID) {
		return known
	}
	known.Reported = true
	known.Leaving = report.Leaving
	known.Outstanding = report.Running + report.Queued
	for _, text := range report.Loaded {
		if ref, ok := orders.ParseRef(text); ok {
			known.Loaded = append(known.Loaded, ref)
		}
	}
	return known
}
