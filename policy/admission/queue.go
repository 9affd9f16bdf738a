package admission

import "time"

// Token identifies a request in a [Queue]. The caller chooses it and uses none
// twice.
type Token uint64

// Effect is what the caller has to do: a [Start] or a [Refuse].
type Effect interface{ effect() }

// Start says that the request holds a slot from now on, until [Queue.Done].
type Start struct{ Token Token }

// Refuse says that the request gets its final answer now.
type Refuse struct {
	Token   Token
	Refusal *Refusal
}

func (Start) effect()  {}
func (Refuse) effect() {}

// Config holds the settings of a [Queue]. Zero fields take the defaults.
type Config struct {
	// Slots is the number of requests that may run at once.
	Slots float64
	// MaxQueued bounds the requests that wait.
	MaxQueued int
	// MaxRetryAfter bounds what refused callers are told.
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
	cfg     Config
	slots   float64
	flows   flowSet
	running map[Token]*entry
	queued  map[Token]*entry
	work    workTable
	returns returnSchedule
}

// entry is a request in the queue or on a slot.
type entry struct {
	token   Token
	request Request
	flow    *flow
	// deadline is when the answer is of no more use.
	deadline time.Time
	// startedAt is when the entry got its slot.
	startedAt time.Time
	// expected is the slot time expected.
	expected time.Duration
	// needed is the time to the deadline without which it must not start.
	needed time.Duration
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	cfg = cfg.withDefaults()
	return &Queue{
		cfg:     cfg,
		slots:   max(0, cfg.Slots),
		flows:   newFlowSet(),
		running: make(map[Token]*entry),
		queued:  make(map[Token]*entry),
		work:    newWorkTable(),
		returns: returnSchedule{limit: cfg.MaxRetryAfter, slots: cfg.Slots},
	}
}

// Queued returns the number of requests that wait.
func (q *Queue) Queued() int { return len(q.queued) }

// Running returns the number of requests that hold a slot.
func (q *Queue) Running() int { return len(q.running) }

// SetSlots changes the number of requests that may run at once, as endpoints
// come and go. Running requests stay.
func (q *Queue) SetSlots(now time.Time, slots float64) []Effect {
	q.slots = max(0, slots)
	q.returns.resize(slots)
	return q.Tick(now)
}

// Offer takes a new request. A token that is in use is ignored.
func (q *Queue) Offer(now time.Time, request Request, token Token) []Effect {
	if q.holds(token) {
		return nil
	}
	added := q.newEntry(now, request, token)
	if refusal := q.judge(now, added); refusal != nil {
		q.flows.release(added.flow)
		return []Effect{Refuse{Token: token, Refusal: refusal}}
	}
	var effects []Effect
	if len(q.queued) >= q.cfg.MaxQueued {
		effects = q.makeRoom(now, added)
		if effects == nil {
			q.flows.release(added.flow)
			return []Effect{q.refuse(now, added, QueueFull, 0)}
		}
	}
	q.enqueue(added)
	return append(effects, q.dispatch(now)...)
}

// Done frees the slot of a request that took the time given. Unknown tokens
// are ignored.
func (q *Queue) Done(now time.Time, token Token, took time.Duration) []Effect {
	ended, ok := q.running[token]
	if !ok {
		return nil
	}
	q.work.learn(ended.request, took)
	q.free(ended, took)
	return q.dispatch(now)
}

// Cancel drops a request whose caller has gone, queued or running. Unknown
// tokens are ignored.
func (q *Queue) Cancel(now time.Time, token Token) []Effect {
	if waiting, ok := q.queued[token]; ok {
		q.dequeue(waiting)
		return nil
	}
	if ended, ok := q.running[token]; ok {
		q.free(ended, max(0, now.Sub(ended.startedAt)))
	}
	return q.dispatch(now)
}

// Tick refuses the queued requests that can no longer finish in time. Call it
// several times a second.
func (q *Queue) Tick(now time.Time) []Effect {
	effects := q.expire(now)
	return append(effects, q.dispatch(now)...)
}

func (q *Queue) holds(token Token) bool {
	_, running := q.running[token]
	_, queued := q.queued[token]
	return running || queued
}

func (q *Queue) newEntry(now time.Time, request Request, token Token) *entry {
	expected, needed := q.work.expect(request)
	return &entry{
		token:    token,
		request:  request,
		flow:     q.flows.flow(request.Account, request.Weight),
		deadline: now.Add(request.Left),
		expected: expected,
		needed:   needed,
	}
}

// judge returns the refusal of a request that would not finish in time.
func (q *Queue) judge(now time.Time, added *entry) *Refusal {
	if q.slots < 1 && len(q.running) == 0 {
		return q.refuse(now, added, Overloaded, 0).Refusal
	}
	wait := q.wait(added)
	if wait == 0 {
		// The slot would stay free, so a fair chance is enough.
		added.needed = added.expected
	}
	late := wait + added.needed - added.request.Left
	if late <= 0 {
		return nil
	}
	return q.refuse(now, added, Overloaded, late).Refusal
}

func (q *Queue) refuse(now time.Time, refused *entry, reason Reason, late time.Duration) Refuse {
	late = max(late, minRetryAfter)
	retryAfter := q.returns.next(now, late, refused.expected)
	return Refuse{Token: refused.token, Refusal: &Refusal{Reason: reason, RetryAfter: retryAfter}}
}

func (q *Queue) enqueue(added *entry) {
	q.flows.push(added)
	q.queued[added.token] = added
}

func (q *Queue) dequeue(waiting *entry) {
	delete(q.queued, waiting.token)
	q.flows.remove(waiting)
}

// dispatch starts queued requests while there are free slots.
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

func (q *Queue) free(ended *entry, took time.Duration) {
	delete(q.running, ended.token)
	q.flows.finish(ended, took)
}

// expire refuses queued requests that can no longer finish in time, in the
// order in which they would have been served in their accounts.
func (q *Queue) expire(now time.Time) []Effect {
	var effects []Effect
	for _, late := range q.flows.late(now) {
		q.dequeue(late)
		effects = append(effects, q.refuse(now, late, Overloaded, 0))
	}
	return effects
}

// makeRoom refuses the last request of the account that would be served last,
// unless that is the added one's account. It returns nil then.
func (q *Queue) makeRoom(now time.Time, added *entry) []Effect {
	longest := q.flows.longest()
	if longest == nil || longest == added.flow {
		return nil
	}
	dropped := longest.last()
	q.dequeue(dropped)
	return []Effect{q.refuse(now, dropped, QueueFull, 0)}
}

// wait estimates how long the request would wait for a slot.
func (q *Queue) wait(added *entry) time.Duration {
	ahead := q.flows.ahead(added)
	if ahead == 0 && float64(len(q.running)+1) <= q.slots {
		return 0
	}
	slots := max(1, q.slots)
	drain := float64(ahead) / slots
	return time.Duration(drain) + q.firstFree()
}

// firstFree estimates when the next slot gets free: the mean of what is left
// to run, divided by the number that runs.
func (q *Queue) firstFree() time.Duration {
	count := len(q.running)
	if float64(count+1) <= q.slots {
		return 0
	}
	return q.work.mean() / time.Duration(max(1, count))
}

// Share returns the slots that one of several instances may use at once: its
// part of all slots, or more while others leave slots free. Part is in (0, 1];
// outstanding is the pool's estimated load, inFlight this instance's own.
func Share(poolSlots, outstanding, inFlight int, part float64) float64 {
	free := max(0, poolSlots-outstanding)
	fair := float64(poolSlots) * part
	return max(fair, float64(inFlight)+float64(free)*part)
}
