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

// pool is one pool of engines.
type pool struct {
	orders   *Orders
	name     platform.PoolName
	polled   time.Time // used by step only
	resource claim.Resource
	logger   *logrus.Entry

	mu      sync.Mutex
	keeper  *claim.Keeper
	planner *orders.Planner
	held    uint64    // fencing number that was last logged
	vacant  time.Time // since when the pool has no live holder

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

// step takes the pool if it is due, and plans if this instance holds it.
func (p *pool) step(ctx context.Context, policy *document.Policy) {
	p.claim(time.Now(), false)
	seen := orders.Observation{Policy: policy, Statuses: p.orders.config.Rollouts.Statuses()}
	if _, ok := p.holds(); ok {
		listed := p.orders.listed(p.name)
		if time.Since(p.polled) < pollInterval(len(listed)) {
			return
		}
		p.polled = time.Now()
		seen.Engines = p.orders.poll(ctx, listed)
	}
	// The poll took time; the claim is looked at after it.
	seen.Fencing, _ = p.holds()
	p.noteHolding(seen.Fencing)
	p.feed(ctx, seen)
}

// pollInterval returns the time between polls of a pool, so that a large pool
// costs no more reports a second than the bound.
func pollInterval(engines int) time.Duration {
	return time.Duration(engines) * time.Second / maxReportsPerSecond
}

func (p *pool) holds() (fencing uint64, ok bool) {
	fencing, ok = p.orders.config.Claims.Holds(p.resource, p.orders.config.Instance)
	if !ok {
		return 0, false
	}
	return fencing, true
}

// claim appends what the claim's keeper asks for. Nothing is claimed while the
// log is down, so that no old claim lands when it comes back.
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
		Live:     func(id platform.InstanceID) bool { return !config.Peers.Gone(id) },
		Rank:     p.rank(now, holding),
		Leaving:  leaving,
	})
	if err != nil || !due {
		return
	}
	if err := config.Writer.Add(entry); err != nil {
		p.keeper.ReleaseFailed()
		p.logger.WithError(err).Warn("claim of engine orders not added")
		return
	}
	p.logger.WithField("entry", entry.Kind).Info("claim of engine orders written")
}

// rank returns this instance's place among those that may take the pool. It
// moves up while the pool stays vacant, because the first may be cut off from
// the log.
func (p *pool) rank(now time.Time, holding claim.Holding) int {
	peers := p.orders.config.Peers
	if holding.Fencing != 0 && !holding.Released && !peers.Gone(holding.Holder) {
		p.vacant = time.Time{}
	} else if p.vacant.IsZero() {
		p.vacant = now
	}
	rank := peers.FleetRank(string(p.resource))
	if p.vacant.IsZero() {
		return rank
	}
	return max(0, rank-int(now.Sub(p.vacant)/rankDelay))
}

func (p *pool) release(now time.Time) { p.claim(now, true) }

// noteHolding logs when the instance comes into charge or out of it.
func (p *pool) noteHolding(fencing uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if fencing == p.held {
		return
	}
	if fencing != 0 {
		p.logger.WithField("fencing", fencing).Info("in charge of engine orders")
	} else {
		p.logger.WithField("fencing", p.held).Info("no longer in charge of engine orders")
	}
	p.held = fencing
}

// feed gives the planner an event and carries out what it asks for.
func (p *pool) feed(ctx context.Context, event orders.Event) {
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
		p.feed(ctx, orders.ReserveFailed{Job: effect.Job})
		return
	}
	p.feed(ctx, orders.Reserved{Job: effect.Job, Wait: wait})
}

// order sends an order, if the fold still says that the instance holds the pool
// under the order's number.
func (p *pool) order(ctx context.Context, effect orders.Order) {
	fencing, ok := p.holds()
	if !ok || fencing != effect.Fencing || p.orders.stopping.Load() {
		p.feed(ctx, orders.Answered{Job: effect.Job, Result: orders.Unknown})
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
	result := p.count(effect, err)
	p.audit(effect, err)
	p.feed(ctx, orders.Answered{Job: effect.Job, Result: result})
}

func (p *pool) count(effect orders.Order, err error) orders.Result {
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

func (p *pool) audit(effect orders.Order, err error) {
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

// status returns the pool's status while this instance is in charge of it.
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
