package orders

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/claim"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/orders"
	"github.com/wigeonusher/wigeonusher/wire/engine"
)

// pool claims one pool of engines and sends orders to them.
type pool struct {
	orders   *Orders
	name     platform.PoolName
	lastPoll time.Time // accessed by step only
	resource claim.Resource
	logger   *logrus.Entry

	mu            sync.Mutex
	keeper        *claim.Keeper
	planner       *orders.Planner
	loggedFencing uint64    // fencing number last logged, 0 if not held
	vacantSince   time.Time // since when the pool has had no live holder, zero if it has one

	loads    atomic.Uint64
	unloads  atomic.Uint64
	failures atomic.Uint64
	refusals atomic.Uint64
}

func newPool(o *Orders, name platform.PoolName) *pool {
	resource := claim.Resource("orders/" + name)
	return &pool{
		orders:   o,
		name:     name,
		resource: resource,
		logger:   o.config.Logger.WithField("pool", name),
		keeper: claim.NewKeeper(claim.KeeperConfig{
			Self:          o.config.Instance,
			Resource:      resource,
			TakeoverAfter: takeoverAfter,
			RetryAfter:    claimRetry,
		}),
		planner: orders.NewPlanner(orders.DefaultConfig(name)),
	}
}

// step appends a claim if one is due, and steps the planner. While this instance
// holds the claim, step polls the engines first, and does not step the planner
// until pollInterval has passed since the previous poll.
func (p *pool) step(ctx context.Context, policy *document.Policy) {
	p.claim(time.Now(), false)
	observation := orders.Observation{Policy: policy, Statuses: p.orders.config.Rollouts.Statuses()}
	if _, ok := p.holds(); ok {
		endpoints := p.orders.poolEndpoints(p.name)
		if time.Since(p.lastPoll) < pollInterval(len(endpoints)) {
			return
		}
		p.lastPoll = time.Now()
		observation.Engines = p.orders.pollEngines(ctx, endpoints)
	}
	// The claim may have been lost during the poll, so it is checked again.
	observation.Fencing, _ = p.holds()
	p.logHolding(observation.Fencing)
	p.stepPlanner(ctx, observation)
}

// pollInterval returns the shortest time between polls of a pool, so that a large
// pool causes at most maxReportsPerSecond load reports per second.
func pollInterval(engines int) time.Duration {
	return time.Duration(engines) * time.Second / maxReportsPerSecond
}

// holds returns the fencing number of the claim if this instance holds it.
func (p *pool) holds() (fencing uint64, ok bool) {
	fencing, ok = p.orders.config.Claims.Holds(p.resource, p.orders.config.Instance)
	if !ok {
		return 0, false
	}
	return fencing, true
}

// claim adds the claim or release that the claim's keeper returns, if any, to the
// outbox. Nothing is claimed while the log is unavailable, so that no outdated claim
// is appended when the log becomes available again.
func (p *pool) claim(now time.Time, leaving bool) {
	config := p.orders.config
	if !leaving && !config.Writer.Available(now) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.orders.stopping.Load() && !leaving {
		return
	}
	holding := config.Claims.Holding(p.resource)
	entry, due, err := p.keeper.Step(now, claim.View{
		Holding:  holding,
		CaughtUp: p.orders.caughtUp(),
		IsLive:   func(id platform.InstanceID) bool { return !config.Peers.IsGone(id) },
		Rank:     p.rank(now, holding),
		Leaving:  leaving,
	})
	if err != nil || !due {
		return
	}
	if err := config.Writer.Add(entry); err != nil {
		p.keeper.ReleaseFailed()
		p.logger.WithError(err).Warn("cannot add claim of engine orders to the outbox")
		return
	}
	p.logger.WithField("entry", entry.Kind).Info("claim of engine orders written")
}

// rank returns this instance's rank among those that may take the pool. The rank
// improves while the pool stays vacant, because instances of lower rank may be
// unable to reach the log.
func (p *pool) rank(now time.Time, holding claim.Holding) int {
	peers := p.orders.config.Peers
	if holding.Fencing != 0 && !holding.Released && !peers.IsGone(holding.Holder) {
		p.vacantSince = time.Time{}
	} else if p.vacantSince.IsZero() {
		p.vacantSince = now
	}
	rank := peers.FleetRank(string(p.resource))
	if p.vacantSince.IsZero() {
		return rank
	}
	return max(0, rank-int(now.Sub(p.vacantSince)/rankDelay))
}

func (p *pool) release(now time.Time) { p.claim(now, true) }

// logHolding logs when this instance gains or loses the claim.
func (p *pool) logHolding(fencing uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if fencing == p.loggedFencing {
		return
	}
	if fencing != 0 {
		p.logger.WithField("fencing", fencing).Info("in charge of engine orders")
	} else {
		p.logger.WithField("fencing", p.loggedFencing).Info("no longer in charge of engine orders")
	}
	p.loggedFencing = fencing
}

// stepPlanner passes an event to the planner and executes the effects that the
// planner returns, each in its own goroutine.
func (p *pool) stepPlanner(ctx context.Context, event orders.Event) {
	p.mu.Lock()
	effects := p.planner.Step(time.Now(), event)
	p.mu.Unlock()
	for _, effect := range effects {
		switch effect := effect.(type) {
		case orders.Reserve:
			go p.reserve(ctx, effect)
		case orders.Order:
			go p.order(ctx, effect)
		}
	}
}

func (p *pool) reserve(ctx context.Context, effect orders.Reserve) {
	callCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	model, version := string(effect.Ref.Model), string(effect.Ref.Version)
	wait, err := p.orders.config.Weights.Reserve(callCtx, model, version, effect.Bytes)
	if err != nil {
		p.logger.WithError(err).WithField("version", effect.Ref.String()).Warn("weight store gave no slot")
		p.stepPlanner(ctx, orders.ReserveFailed{Job: effect.Job})
		return
	}
	p.stepPlanner(ctx, orders.Reserved{Job: effect.Job, Wait: wait})
}

// order sends an order if, according to the fold, this instance still holds the
// claim with the order's fencing number. Otherwise, or after [Orders.Release], it
// reports the result [orders.Unknown] to the planner without sending the order.
func (p *pool) order(ctx context.Context, effect orders.Order) {
	fencing, ok := p.holds()
	if !ok || fencing != effect.Fencing || p.orders.stopping.Load() {
		p.stepPlanner(ctx, orders.Answered{Job: effect.Job, Result: orders.Unknown})
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := p.orders.config.Engines.Order(callCtx, effect.Address, engine.Order{
		Fencing: effect.Fencing,
		Action:  string(effect.Action),
		Model:   string(effect.Ref.Model),
		Version: string(effect.Ref.Version),
	})
	result := p.countResult(effect, err)
	p.logResult(effect, err)
	p.stepPlanner(ctx, orders.Answered{Job: effect.Job, Result: result})
}

func (p *pool) countResult(effect orders.Order, err error) orders.Result {
	switch {
	case eris.Is(err, engine.ErrStaleFencing):
		p.refusals.Add(1)
		return orders.Stale
	case err != nil:
		p.failures.Add(1)
		return orders.Unknown
	case effect.Action == orders.Load:
		p.loads.Add(1)
	default:
		p.unloads.Add(1)
	}
	return orders.Done
}

func (p *pool) logResult(effect orders.Order, err error) {
	entry := p.logger.WithFields(logrus.Fields{
		"action":   effect.Action,
		"version":  effect.Ref.String(),
		"endpoint": effect.Endpoint,
		"fencing":  effect.Fencing,
	})
	if err != nil {
		entry.WithError(err).Warn("engine order without success")
		return
	}
	entry.Info("engine order done")
}

// status returns the pool's status if this instance holds the claim.
func (p *pool) status() (Status, bool) {
	fencing, ok := p.holds()
	if !ok {
		return Status{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return Status{
		Pool:     p.name,
		Fencing:  fencing,
		InFlight: p.planner.InFlight(),
		Missing:  p.planner.Missing(),
		Loads:    p.loads.Load(),
		Unloads:  p.unloads.Load(),
		Failures: p.failures.Load(),
		Refusals: p.refusals.Load(),
	}, true
}
