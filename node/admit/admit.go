// Package admit admits requests to pools. Each pool has its own admission queue
// and lock; a request blocks until its queue grants it a slot or refuses it.
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

// tickInterval is the time between updates of the number of slots of all queues.
const tickInterval = 50 * time.Millisecond

// Slots returns how many requests this instance may run concurrently in a pool,
// given the number that it runs now.
type Slots func(pool platform.PoolName, inFlight int) float64

// Pools holds the queues of all pools. Its methods may be called from several
// goroutines.
type Pools struct {
	slots     Slots
	maxQueued int
	tokens    atomic.Uint64

	mu     sync.Mutex
	queues map[platform.PoolName]*poolQueue
}

// New returns Pools without queues. The queue of a pool is created on the pool's
// first request. At most maxQueued requests wait in each queue.
func New(slots Slots, maxQueued int) *Pools {
	return &Pools{slots: slots, maxQueued: maxQueued, queues: map[platform.PoolName]*poolQueue{}}
}

// poolQueue is the admission queue of one pool.
type poolQueue struct {
	mu      sync.Mutex
	queue   *admission.Queue
	waiters map[admission.Token]chan *admission.Refusal
}

// Slot is the slot of one running request in a pool.
type Slot struct {
	pool    *poolQueue
	token   admission.Token
	started time.Time
}

// Acquire waits until the request may start. The error is an
// [*admission.Refusal], or ctx.Err() if the context ends first.
func (p *Pools) Acquire(ctx context.Context, pool platform.PoolName, request admission.Request) (*Slot, error) {
	q := p.queueFor(pool)
	token := admission.Token(p.tokens.Add(1))
	decision := make(chan *admission.Refusal, 1) // nil means admitted
	q.mu.Lock()
	q.waiters[token] = decision
	q.deliver(q.queue.SetSlots(time.Now(), p.slots(pool, q.queue.Running())))
	q.deliver(q.queue.Offer(time.Now(), request, token))
	q.mu.Unlock()
	select {
	case refusal := <-decision:
		if refusal != nil {
			return nil, refusal
		}
		return &Slot{pool: q, token: token, started: time.Now()}, nil
	case <-ctx.Done():
		q.cancel(token)
		return nil, ctx.Err()
	}
}

// Release frees the slot of a request that was served. Its service time enters
// the estimates of the queue.
func (s *Slot) Release() {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	now := time.Now()
	s.pool.deliver(s.pool.queue.Done(now, s.token, now.Sub(s.started)))
}

// Cancel frees the slot of a request that was not served. Its duration does not
// enter the estimates of the queue.
func (s *Slot) Cancel() { s.pool.cancel(s.token) }

// Run updates the queues every [tickInterval] until the context ends.
func (p *Pools) Run(ctx context.Context) error {
	return loop.Every(ctx, tickInterval, func(time.Time) { p.tick() })
}

// Queued returns the number of requests that wait for a slot, over all pools.
func (p *Pools) Queued() int {
	queued := 0
	for _, q := range p.allQueues() {
		q.mu.Lock()
		queued += q.queue.Queued()
		q.mu.Unlock()
	}
	return queued
}

func (p *Pools) tick() {
	p.mu.Lock()
	names := make([]platform.PoolName, 0, len(p.queues))
	for name := range p.queues {
		names = append(names, name)
	}
	p.mu.Unlock()
	for _, name := range names {
		q := p.queueFor(name)
		q.mu.Lock()
		q.deliver(q.queue.SetSlots(time.Now(), p.slots(name, q.queue.Running())))
		q.mu.Unlock()
	}
}

func (p *Pools) allQueues() []*poolQueue {
	p.mu.Lock()
	defer p.mu.Unlock()
	queues := make([]*poolQueue, 0, len(p.queues))
	for _, q := range p.queues {
		queues = append(queues, q)
	}
	return queues
}

func (p *Pools) queueFor(pool platform.PoolName) *poolQueue {
	p.mu.Lock()
	defer p.mu.Unlock()
	q, ok := p.queues[pool]
	if !ok {
		q = &poolQueue{
			queue:   admission.New(admission.Config{MaxQueued: p.maxQueued}),
			waiters: map[admission.Token]chan *admission.Refusal{},
		}
		p.queues[pool] = q
	}
	return q
}

// deliver passes decisions to the waiting requests. The caller holds q.mu.
func (q *poolQueue) deliver(effects []admission.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case admission.Start:
			q.notify(effect.Token, nil)
		case admission.Refuse:
			q.notify(effect.Token, effect.Refusal)
		}
	}
}

func (q *poolQueue) notify(token admission.Token, refusal *admission.Refusal) {
	if decision, ok := q.waiters[token]; ok {
		decision <- refusal
		delete(q.waiters, token)
	}
}

func (q *poolQueue) cancel(token admission.Token) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiters, token)
	q.deliver(q.queue.Cancel(time.Now(), token))
}
