// Package admit stands in front of the pools: it runs one admission queue for
// each, under a lock of its own, and lets requests wait for their slot.
package admit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/loop"
	"github.com/wigeonusher/wigeonusher/policy/admission"
)

// tickInterval is the time between checks of queued requests.
const tickInterval = 50 * time.Millisecond

// Slots tells how many requests this instance may run in a pool at once.
type Slots func(pool platform.PoolName, inFlight int) float64

// Pools holds the queues of all pools. Its methods may be called from several
// goroutines.
type Pools struct {
	slots     Slots
	maxQueued int
	tokens    atomic.Uint64

	mu    sync.Mutex
	gates map[platform.PoolName]*gate
}

// New returns pools without queues; a queue is made at its pool's first
// request.
func New(slots Slots, maxQueued int) *Pools {
	return &Pools{slots: slots, maxQueued: maxQueued, gates: map[platform.PoolName]*gate{}}
}

// gate is the queue of one pool.
type gate struct {
	mu      sync.Mutex
	queue   *admission.Queue
	waiting map[admission.Token]chan *admission.Refusal
}

// Slot is a request's place in a pool.
type Slot struct {
	gate    *gate
	token   admission.Token
	started time.Time
}

// Enter waits until the request may start. The error is an
// [*admission.Refusal], or that of a context that ended first.
func (p *Pools) Enter(ctx context.Context, pool platform.PoolName, request admission.Request) (*Slot, error) {
	g := p.gate(pool)
	token := admission.Token(p.tokens.Add(1))
	started := make(chan *admission.Refusal, 1)
	g.mu.Lock()
	g.waiting[token] = started
	g.act(g.queue.SetSlots(time.Now(), p.slots(pool, g.queue.Running())))
	g.act(g.queue.Offer(time.Now(), request, token))
	g.mu.Unlock()
	select {
	case refusal := <-started:
		if refusal != nil {
			return nil, refusal
		}
		return &Slot{gate: g, token: token, started: time.Now()}, nil
	case <-ctx.Done():
		g.cancel(token)
		return nil, ctx.Err()
	}
}

// Leave frees the slot of a request that was served.
func (s *Slot) Leave() {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	now := time.Now()
	s.gate.act(s.gate.queue.Done(now, s.token, now.Sub(s.started)))
}

// Abort frees the slot of a request that was not served, so that its time is
// not learned from.
func (s *Slot) Abort() { s.gate.cancel(s.token) }

// Run checks the queues until the context ends.
func (p *Pools) Run(ctx context.Context) error {
	return loop.Every(ctx, tickInterval, func(time.Time) { p.tick() })
}

// Queued returns the number of requests that wait in all pools.
func (p *Pools) Queued() int {
	queued := 0
	for _, g := range p.all() {
		g.mu.Lock()
		queued += g.queue.Queued()
		g.mu.Unlock()
	}
	return queued
}

func (p *Pools) tick() {
	p.mu.Lock()
	names := make([]platform.PoolName, 0, len(p.gates))
	for name := range p.gates {
		names = append(names, name)
	}
	p.mu.Unlock()
	for _, name := range names {
		g := p.gate(name)
		g.mu.Lock()
		g.act(g.queue.SetSlots(time.Now(), p.slots(name, g.queue.Running())))
		g.mu.Unlock()
	}
}

func (p *Pools) all() []*gate {
	p.mu.Lock()
	defer p.mu.Unlock()
	gates := make([]*gate, 0, len(p.gates))
	for _, g := range p.gates {
		gates = append(gates, g)
	}
	return gates
}

func (p *Pools) gate(pool platform.PoolName) *gate {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.gates[pool]
	if !ok {
		g = &gate{
			queue:   admission.New(admission.Config{MaxQueued: p.maxQueued}),
			waiting: map[admission.Token]chan *admission.Refusal{},
		}
		p.gates[pool] = g
	}
	return g
}

// act tells those who wait what was decided. The caller holds the lock.
func (g *gate) act(effects []admission.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case admission.Start:
			g.tell(effect.Token, nil)
		case admission.Refuse:
			g.tell(effect.Token, effect.Refusal)
		}
	}
}

func (g *gate) tell(token admission.Token, refusal *admission.Refusal) {
	if waiting, ok := g.waiting[token]; ok {
		waiting <- refusal
		delete(g.waiting, token)
	}
}

func (g *gate) cancel(token admission.Token) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, token)
	g.act(g.queue.Cancel(time.Now(), token))
}
