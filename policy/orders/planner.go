package orders

import (
	"maps"
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
)

// maxAttempts is the number of times that one job's order is sent.
const maxAttempts = 3

// Config bounds a planner. Zero fields take the defaults of [DefaultConfig].
type Config struct {
	Pool platform.PoolName
	// MaxInFlight bounds the jobs.
	MaxInFlight int
	// SettleAfter is how long an order may be without effect on the engine's
	// reports before it is repeated.
	SettleAfter time.Duration
	// AvoidFor is how long an engine gets no order after a job that failed.
	AvoidFor time.Duration
	// UnloadAfter is how long a version must be out of use before it is
	// unloaded.
	UnloadAfter time.Duration
	// StoreRetryBase and StoreRetryCap bound the wait after a failure of the
	// weight store.
	StoreRetryBase time.Duration
	StoreRetryCap  time.Duration
}

// DefaultConfig returns the bounds in use.
func DefaultConfig(pool platform.PoolName) Config {
	return Config{
		Pool:           pool,
		MaxInFlight:    8,
		SettleAfter:    10 * time.Second,
		AvoidFor:       30 * time.Second,
		UnloadAfter:    2 * time.Minute,
		StoreRetryBase: time.Second,
		StoreRetryCap:  30 * time.Second,
	}
}

// phase is where a job stands.
type phase int

const (
	reserving phase = iota
	waiting
	ordered
	settling
)

// job is one load or unload under way.
type job struct {
	id       JobID
	action   Action
	ref      document.Ref
	endpoint platform.EndpointID
	phase    phase
	// due is when the slot opens while waiting, and when the order is repeated
	// while settling.
	due      time.Time
	attempts int
}

// Planner decides for one pool. It is not safe for concurrent use.
type Planner struct {
	cfg     Config
	seen    Observation
	engines map[platform.EndpointID]Engine
	demands []Demand

	lastJob JobID
	jobs    map[JobID]*job
	avoid   map[platform.EndpointID]time.Time
	// unused holds since when versions that some engine has are out of use.
	unused map[document.Ref]time.Time
	// refused is the highest fencing number that an engine called old.
	refused       uint64
	storeFailures int
	storeRetry    time.Time
}

// NewPlanner returns a planner without jobs.
func NewPlanner(cfg Config) *Planner {
	return &Planner{
		cfg:    cfg,
		jobs:   map[JobID]*job{},
		avoid:  map[platform.EndpointID]time.Time{},
		unused: map[document.Ref]time.Time{},
	}
}

// Step takes an event in and returns what to do now, in order.
func (p *Planner) Step(now time.Time, event Event) []Effect {
	switch event := event.(type) {
	case Observation:
		p.observe(now, event)
	case Reserved:
		p.reserved(now, event)
	case ReserveFailed:
		p.reserveFailed(now, event)
	case Answered:
		p.answered(now, event)
	}
	if !p.mayOrder() {
		return nil
	}
	effects := p.advance(now)
	if _, ok := event.(Observation); ok {
		effects = append(effects, p.plan(now)...)
	}
	return effects
}

// InFlight returns the number of jobs.
func (p *Planner) InFlight() int { return len(p.jobs) }

// Ordered returns the number of orders without an answer.
func (p *Planner) Ordered() int {
	count := 0
	for _, j := range p.jobs {
		if j.phase == ordered {
			count++
		}
	}
	return count
}

// Missing returns the number of copies that the demands lack.
func (p *Planner) Missing() int {
	missing := 0
	for _, demand := range p.demands {
		missing += max(0, demand.Copies-p.copies(demand.Ref))
	}
	return missing
}

func (p *Planner) mayOrder() bool { return p.seen.Fencing > p.refused && p.seen.Policy != nil }

// observe takes an observation over. A new fencing number starts afresh: what
// was under way belonged to an earlier charge of the pool.
func (p *Planner) observe(now time.Time, seen Observation) {
	if seen.Fencing != p.seen.Fencing {
		clear(p.jobs)
		clear(p.unused)
	}
	p.seen = seen
	p.engines = make(map[platform.EndpointID]Engine, len(seen.Engines))
	listed := 0
	for _, engine := range seen.Engines {
		p.engines[engine.ID] = engine
		if !engine.Leaving {
			listed++
		}
	}
	p.demands = nil
	if seen.Policy != nil {
		p.demands = Demands(seen.Policy, p.cfg.Pool, seen.Statuses, listed)
		p.noteUnused(now)
	}
	maps.DeleteFunc(p.avoid, func(_ platform.EndpointID, until time.Time) bool { return !now.Before(until) })
	p.review()
}

// review ends the jobs that are done, or that nothing needs any more, and moves
// reservations away from engines that went.
func (p *Planner) review() {
	for _, j := range p.sortedJobs() {
		engine, listed := p.engines[j.endpoint]
		gone := !listed || engine.Leaving
		reservation := j.phase == reserving || j.phase == waiting
		switch {
		case !gone && engine.Reported && engine.has(j.ref) == (j.action == Load):
			delete(p.jobs, j.id)
		case reservation && !p.demanded(j.ref):
			delete(p.jobs, j.id)
		case gone && !(reservation && p.move(j)):
			delete(p.jobs, j.id)
		}
	}
}

// move gives a job that has not been ordered to another engine.
func (p *Planner) move(j *job) bool {
	endpoint, ok := p.pick(j.ref)
	if ok {
		j.endpoint = endpoint
	}
	return ok
}

func (p *Planner) reserved(now time.Time, event Reserved) {
	j, ok := p.jobs[event.Job]
	if !ok || j.phase != reserving {
		return
	}
	p.storeFailures = 0
	j.phase = waiting
	j.due = now.Add(event.Wait)
}

func (p *Planner) reserveFailed(now time.Time, event ReserveFailed) {
	j, ok := p.jobs[event.Job]
	if !ok || j.phase != reserving {
		return
	}
	delete(p.jobs, j.id)
	wait := p.cfg.StoreRetryBase << min(p.storeFailures, 10)
	p.storeFailures++
	p.storeRetry = now.Add(min(wait, p.cfg.StoreRetryCap))
}

func (p *Planner) answered(now time.Time, event Answered) {
	j, ok := p.jobs[event.Job]
	if !ok || j.phase != ordered {
		return
	}
	if event.Result == Stale {
		p.refused = max(p.refused, p.seen.Fencing)
		clear(p.jobs)
		return
	}
	j.phase = settling
	j.due = now.Add(p.cfg.SettleAfter)
}

// advance sends the orders that are due.
func (p *Planner) advance(now time.Time) []Effect {
	var effects []Effect
	for _, j := range p.sortedJobs() {
		due := j.phase == waiting || j.phase == settling
		if !due || now.Before(j.due) || !p.engines[j.endpoint].orderable() {
			continue
		}
		switch {
		case !p.stillWanted(j):
			delete(p.jobs, j.id)
		case j.attempts == maxAttempts:
			delete(p.jobs, j.id)
			p.avoid[j.endpoint] = now.Add(p.cfg.AvoidFor)
		default:
			effects = append(effects, p.order(j))
		}
	}
	return effects
}

// stillWanted reports whether the job would be planned today. A repeated order
// must not unload a version that came into use again, nor anything while a load
// is missing.
func (p *Planner) stillWanted(j *job) bool {
	if j.action == Load {
		return p.demanded(j.ref)
	}
	return p.unloadable(j.ref) && p.Missing() == 0
}

func (p *Planner) order(j *job) Effect {
	j.phase = ordered
	j.attempts++
	return Order{
		Job:      j.id,
		Endpoint: j.endpoint,
		Address:  p.engines[j.endpoint].Address,
		Action:   j.action,
		Ref:      j.ref,
		Fencing:  p.seen.Fencing,
	}
}

func (p *Planner) newJob(action Action, ref document.Ref, endpoint platform.EndpointID) *job {
	p.lastJob++
	j := &job{id: p.lastJob, action: action, ref: ref, endpoint: endpoint}
	p.jobs[j.id] = j
	return j
}

func (p *Planner) sortedJobs() []*job {
	jobs := make([]*job, 0, len(p.jobs))
	for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
		jobs = append(jobs, p.jobs[id])
	}
	return jobs
}
