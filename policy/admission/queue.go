package admission

import "time"

// Token identifies a request in a [Queue]. The caller chooses it and never reuses
// one.
type Token uint64

// Effect is an action for the caller: [Start] or [Refuse].
type Effect interface{ effect() }

// Start reports that the request holds a slot until [Queue.Done] or [Queue.Cancel].
type Start struct{ Token Token }

// Refuse reports that the request is refused.
type Refuse struct {
	Token   Token
	Refusal *Refusal
}

func (Start) effect()  {}
func (Refuse) effect() {}

// Config holds the settings of a [Queue]. Zero values select the defaults, except
// for Slots.
type Config struct {
	// Slots is the number of requests that may run at once.
	Slots float64
	// MaxQueued bounds the number of waiting requests.
	MaxQueued int
	// MaxRetryAfter bounds [Refusal.RetryAfter].
	MaxRetryAfter time.Duration
}

// Defaults of [Config].
const (
	DefaultMaxQueued     = 1024
	DefaultMaxRetryAfter = 2 * time.Minute
)

func (c Config) withDefaults() Config {
	if c.MaxQueued <= 0 {
		c.MaxQueued = DefaultMaxQueued
	}
	if c.MaxRetryAfter <= 0 {
		c.MaxRetryAfter = DefaultMaxRetryAfter
	}
	return c
}

// Queue admits requests to one pool.
type Queue struct {
	cfg       Config
	slots     float64
	flows     flowSet
	running   map[Token]*entry
	queued    map[Token]*entry
	estimator workEstimator
	retries   retrySchedule
}

// entry is a request in the queue or on a slot.
type entry struct {
	token   Token
	request Request
	flow    *flow
	// deadline is when the caller stops waiting for the answer.
	deadline time.Time
	// startedAt is when the entry got its slot.
	startedAt time.Time
	// expected is the estimated slot time.
	expected time.Duration
	// needed is the minimum time remaining at the start; with less, the entry is
	// refused.
	needed time.Duration
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	cfg = cfg.withDefaults()
	return &Queue{
		cfg:       cfg,
		slots:     max(0, cfg.Slots),
		flows:     newFlowSet(),
		running:   make(map[Token]*entry),
		queued:    make(map[Token]*entry),
		estimator: newWorkEstimator(),
		retries:   retrySchedule{limit: cfg.MaxRetryAfter, slots: cfg.Slots},
	}
}

// Queued returns the number of waiting requests.
func (q *Queue) Queued() int { return len(q.queued) }

// Running returns the number of requests that hold a slot.
func (q *Queue) Running() int { return len(q.running) }

// SetSlots changes the number of requests that may run at once when endpoints join or
// leave. Running requests keep their slots.
func (q *Queue) SetSlots(now time.Time, slots float64) []Effect {
	q.slots = max(0, slots)
	q.retries.setSlots(slots)
	return q.Tick(now)
}

// Offer adds a new request. A call with a token that is already in use is ignored.
func (q *Queue) Offer(now time.Time, request Request, token Token) []Effect {
	if q.contains(token) {
		return nil
	}
	e := q.newEntry(now, request, token)
	if refusal := q.checkDeadline(now, e); refusal != nil {
		q.flows.removeIfIdle(e.flow)
		return []Effect{Refuse{Token: token, Refusal: refusal}}
	}
	var effects []Effect
	if len(q.queued) >= q.cfg.MaxQueued {
		effects = q.makeRoom(now, e)
		if effects == nil {
			q.flows.removeIfIdle(e.flow)
			return []Effect{q.refuse(now, e, QueueFull, 0)}
		}
	}
	q.enqueue(e)
	return append(effects, q.dispatch(now)...)
}

// Done releases the slot of a request that took the given time. Unknown tokens are
// ignored.
func (q *Queue) Done(now time.Time, token Token, took time.Duration) []Effect {
	e, ok := q.running[token]
	if !ok {
		return nil
	}
	q.estimator.observe(e.request, took)
	q.releaseSlot(e, took)
	return q.dispatch(now)
}

// Cancel drops a queued or running request whose caller is gone. Unknown tokens are
// ignored.
func (q *Queue) Cancel(now time.Time, token Token) []Effect {
	if e, ok := q.queued[token]; ok {
		q.dequeue(e)
		return nil
	}
	if e, ok := q.running[token]; ok {
		q.releaseSlot(e, max(0, now.Sub(e.startedAt)))
	}
	return q.dispatch(now)
}

// Tick refuses the queued requests that can no longer finish before their deadline, and
// starts others while slots are free. It should be called several times a second.
func (q *Queue) Tick(now time.Time) []Effect {
	effects := q.expire(now)
	return append(effects, q.dispatch(now)...)
}

func (q *Queue) contains(token Token) bool {
	_, running := q.running[token]
	_, queued := q.queued[token]
	return running || queued
}

func (q *Queue) newEntry(now time.Time, request Request, token Token) *entry {
	expected, needed := q.estimator.estimate(request)
	return &entry{
		token:    token,
		request:  request,
		flow:     q.flows.flow(request.Account, request.Weight),
		deadline: now.Add(request.Remaining),
		expected: expected,
		needed:   needed,
	}
}

// checkDeadline returns the refusal of a request that would not finish before its
// deadline or for which the pool has no slot, or nil.
func (q *Queue) checkDeadline(now time.Time, e *entry) *Refusal {
	if q.slots < 1 && len(q.running) == 0 {
		return q.refuse(now, e, Overloaded, 0).Refusal
	}
	wait := q.estimateWait(e)
	if wait == 0 {
		// Refusing would leave the slot free, so the margin is not required.
		e.needed = e.expected
	}
	late := wait + e.needed - e.request.Remaining
	if late <= 0 {
		return nil
	}
	return q.refuse(now, e, Overloaded, late).Refusal
}

func (q *Queue) refuse(now time.Time, e *entry, reason Reason, late time.Duration) Refuse {
	late = max(late, minRetryAfter)
	retryAfter := q.retries.book(now, late, e.expected)
	return Refuse{Token: e.token, Refusal: &Refusal{Reason: reason, RetryAfter: retryAfter}}
}

func (q *Queue) enqueue(e *entry) {
	q.flows.push(e)
	q.queued[e.token] = e
}

func (q *Queue) dequeue(e *entry) {
	delete(q.queued, e.token)
	q.flows.remove(e)
}

// dispatch starts queued requests while slots are free. It refuses those that can no
// longer finish before their deadline.
func (q *Queue) dispatch(now time.Time) []Effect {
	var effects []Effect
	for float64(len(q.running)+1) <= q.slots {
		next := q.flows.next()
		if next == nil {
			break
		}
		if now.Add(next.needed).After(next.deadline) {
			q.dequeue(next)
			effects = append(effects, q.refuse(now, next, Overloaded, 0))
			continue
		}
		delete(q.queued, next.token)
		q.flows.start(next)
		next.startedAt = now
		q.running[next.token] = next
		effects = append(effects, Start{Token: next.token})
	}
	return effects
}

func (q *Queue) releaseSlot(e *entry, took time.Duration) {
	delete(q.running, e.token)
	q.flows.finish(e, took)
}

// expire refuses the queued requests that can no longer finish before their deadline,
// in the order of service within each account.
func (q *Queue) expire(now time.Time) []Effect {
	var effects []Effect
	for _, overdue := range q.flows.overdue(now) {
		q.dequeue(overdue)
		effects = append(effects, q.refuse(now, overdue, Overloaded, 0))
	}
	return effects
}

// makeRoom refuses the last queued request of the account whose queue would be served
// last. It returns nil if that is the account of the new request.
func (q *Queue) makeRoom(now time.Time, e *entry) []Effect {
	last := q.flows.lastToFinish()
	if last == nil || last == e.flow {
		return nil
	}
	dropped := last.lastWaiting()
	q.dequeue(dropped)
	return []Effect{q.refuse(now, dropped, QueueFull, 0)}
}

// estimateWait estimates how long the request would wait for a slot.
func (q *Queue) estimateWait(e *entry) time.Duration {
	ahead := q.flows.workAhead(e)
	if ahead == 0 && float64(len(q.running)+1) <= q.slots {
		return 0
	}
	slots := max(1, q.slots)
	drainTime := float64(ahead) / slots
	return time.Duration(drainTime) + q.estimateNextSlot()
}

// estimateNextSlot estimates the time until a slot is released: the mean slot time
// divided by the number of running requests, or 0 if a slot is free.
func (q *Queue) estimateNextSlot() time.Duration {
	count := len(q.running)
	if float64(count+1) <= q.slots {
		return 0
	}
	return q.estimator.mean() / time.Duration(max(1, count))
}

// SlotShare returns the number of slots that one of several instances may use at once:
// its part of all slots, or more while other instances leave slots free. part is in
// (0, 1]; outstanding is the estimated number of requests in the pool, and inFlight the
// number of those that this instance sent.
func SlotShare(poolSlots, outstanding, inFlight int, part float64) float64 {
	free := max(0, poolSlots-outstanding)
	fair := float64(poolSlots) * part
	return max(fair, float64(inFlight)+float64(free)*part)
}
