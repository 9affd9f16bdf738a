// Package orders sends engines their orders to load and unload model versions, in
// the pools whose claims this instance holds. It maintains the claims, polls the
// engines, and executes the plans of policy/orders.
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
	// stepInterval is the time between steps, and thus the shortest time between
	// polls of a pool's engines.
	stepInterval = time.Second
	// pollTimeout bounds one poll of a pool's engines for load reports.
	pollTimeout = time.Second
	// reserveTimeout bounds one call to the weight store.
	reserveTimeout = 2 * time.Second
	// orderTimeout bounds one order. An engine may continue loading afterwards.
	orderTimeout = 2 * time.Minute
	// takeoverAfter is how long a holder must have been unreachable before its
	// claim is taken over.
	takeoverAfter = 2 * time.Second
	// claimRetry is the shortest time between two claims of a pool by this instance.
	claimRetry = 5 * time.Second
	// rankDelay is the wait per rank before an instance takes a vacant pool that
	// the instances of lower rank have not taken.
	rankDelay = 10 * time.Second
	// maxReportsPerSecond bounds the load reports of one pool.
	maxReportsPerSecond = 24
	// maxPolls bounds the concurrent requests for load reports in one pool.
	maxPolls = 32
)

// Policies provides the policy in force, which is nil until the first one is known.
type Policies interface {
	Policy() *document.Policy
}

// Claims provides the fold of the claims.
type Claims interface {
	Holding(resource claim.Resource) claim.Holding
	Holds(resource claim.Resource, instance platform.InstanceID) (fencing uint64, ok bool)
}

// Rollouts provides the statuses of the roll-outs in force.
type Rollouts interface {
	Statuses() []rollout.Status
}

// Writer appends entries to the control stream.
type Writer interface {
	Add(entry platform.Entry) error
	Available(now time.Time) bool
}

// Peers provides the liveness of instances and ranks this instance among the live
// ones.
type Peers interface {
	// FleetRank returns the rank, from 0, of this instance among the live
	// instances of the fleet for a key.
	FleetRank(key string) int
	// IsGone reports whether an instance is dead or has left.
	IsGone(id platform.InstanceID) bool
}

// Directory lists the endpoints.
type Directory interface {
	All() []membership.Endpoint
}

// Engines calls engines.
type Engines interface {
	Load(ctx context.Context, address string) (engine.LoadReport, error)
	Order(ctx context.Context, address string, order engine.Order) error
}

// Config configures [Orders].
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
	// Weights is the weight store. Without one, no pool is claimed.
	Weights platform.WeightStore
	Logger  *logrus.Entry
}

// Status is the status of a pool whose claim this instance holds.
type Status struct {
	Pool    platform.PoolName `json:"pool"`
	Fencing uint64            `json:"fencing"`
	// InFlight is the number of loads and unloads in progress, Missing the number
	// of copies of versions that the pool's engines lack.
	InFlight int `json:"in_flight"`
	Missing  int `json:"missing"`
	// Loads, Unloads, Failures and Refusals count the orders that this instance has
	// sent, by result. A refusal is an order that the engine rejected for a stale
	// fencing number.
	Loads    uint64 `json:"loads"`
	Unloads  uint64 `json:"unloads"`
	Failures uint64 `json:"failures"`
	Refusals uint64 `json:"refusals"`
}

// Orders claims pools and sends orders to their engines. It is safe for
// concurrent use.
type Orders struct {
	config   Config
	stopping atomic.Bool

	mu    sync.Mutex
	pools map[platform.PoolName]*pool
}

// New returns an [Orders] that holds no claim.
func New(config Config) *Orders {
	return &Orders{config: config, pools: map[platform.PoolName]*pool{}}
}

// Run maintains the claims and sends orders to engines until the context ends.
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

// Release releases the claims before the instance leaves. No order is started
// afterwards.
func (o *Orders) Release() {
	o.stopping.Store(true)
	for _, p := range o.allPools() {
		p.release(time.Now())
	}
}

// Statuses returns the statuses of the pools whose claims this instance holds,
// sorted by name.
func (o *Orders) Statuses() []Status {
	var statuses []Status
	for _, p := range o.allPools() {
		if status, ok := p.status(); ok {
			statuses = append(statuses, status)
		}
	}
	slices.SortFunc(statuses, func(a, b Status) int { return cmp.Compare(a.Pool, b.Pool) })
	return statuses
}

// step steps the active pools concurrently and returns when all steps have ended.
// It does nothing without a policy or a weight store, or after [Orders.Release].
func (o *Orders) step(ctx context.Context) {
	policy := o.config.Policies.Policy()
	if policy == nil || o.config.Weights == nil || o.stopping.Load() {
		return
	}
	var group sync.WaitGroup
	for _, p := range o.activePools(policy) {
		group.Go(func() { p.step(ctx, policy) })
	}
	group.Wait()
}

// activePools returns the pools that serve model versions according to the policy,
// and removes all other pools from o.pools.
func (o *Orders) activePools(policy *document.Policy) []*pool {
	o.mu.Lock()
	defer o.mu.Unlock()
	var active []*pool
	for name := range o.pools {
		if len(policy.Pools[name].Serves) == 0 {
			delete(o.pools, name)
		}
	}
	for name, spec := range policy.Pools {
		if len(spec.Serves) == 0 {
			continue
		}
		if o.pools[name] == nil {
			o.pools[name] = newPool(o, name)
		}
		active = append(active, o.pools[name])
	}
	return active
}

func (o *Orders) allPools() []*pool {
	o.mu.Lock()
	defer o.mu.Unlock()
	pools := make([]*pool, 0, len(o.pools))
	for _, p := range o.pools {
		pools = append(pools, p)
	}
	return pools
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

// poolEndpoints returns the endpoints of a pool.
func (o *Orders) poolEndpoints(pool platform.PoolName) []membership.Endpoint {
	var endpoints []membership.Endpoint
	for _, endpoint := range o.config.Directory.All() {
		if endpoint.Pool == pool {
			endpoints = append(endpoints, endpoint)
		}
	}
	return endpoints
}

// pollEngines returns the current states of the endpoints' engines.
func (o *Orders) pollEngines(ctx context.Context, endpoints []membership.Endpoint) []orders.Engine {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	engines := make([]orders.Engine, len(endpoints))
	slots := make(chan struct{}, maxPolls)
	var group sync.WaitGroup
	for i, endpoint := range endpoints {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			engines[i] = o.pollEngine(ctx, endpoint)
		})
	}
	group.Wait()
	return engines
}

// pollEngine returns the current state of one engine. An engine that is known to be
// leaving is not polled. A report with the ID of another process at the same
// address is ignored.
func (o *Orders) pollEngine(ctx context.Context, endpoint membership.Endpoint) orders.Engine {
	state := orders.Engine{
		ID:      endpoint.ID,
		Zone:    endpoint.Zone,
		Address: endpoint.Address,
		Leaving: endpoint.LocalState == membership.EndpointLeaving,
	}
	if state.Leaving {
		return state
	}
	report, err := o.config.Engines.Load(ctx, endpoint.Address)
	if err != nil || report.ID != string(endpoint.ID) {
		return state
	}
	state.Reported = true
	state.Leaving = report.Leaving
	state.Outstanding = report.Running + report.Queued
	for _, text := range report.Loaded {
		if ref, ok := orders.ParseRef(text); ok {
			state.Loaded = append(state.Loaded, ref)
		}
	}
	return state
}
