package orders

import (
	"maps"
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
)

// maxAttempts is the maximum number of times that a job's order is sent.
const maxAttempts = 3

// Config holds the limits of a planner. [DefaultConfig] returns the usual values;
// zero fields are not replaced.
type Config struct {
	Pool platform.PoolName
	// MaxInFlight is the maximum number of concurrent jobs.
	MaxInFlight int
	// ConfirmTimeout is how long the planner waits for the engine's load reports
	// to show the effect of an answered order before it repeats the order.
	ConfirmTimeout time.Duration
	// AvoidFor is how long an engine gets no new job after one has failed there.
	AvoidFor time.Duration
	// UnloadAfter is how long a version must be unused before it is unloaded.
	UnloadAfter time.Duration
	// StoreRetryBase and StoreRetryCap are the initial and the maximum delay of
	// the exponential backoff after failures of the weight store.
	StoreRetryBase time.Duration
	StoreRetryCap  time.Duration
}

// DefaultConfig returns the default limits for a pool.
func DefaultConfig(pool platform.PoolName) Config {
	return Config{
		Pool:           pool,
		MaxInFlight:    8,
		ConfirmTimeout: 10 * time.Second,
		AvoidFor:       30 * time.Second,
		UnloadAfter:    2 * time.Minute,
		StoreRetryBase: time.Second,
		StoreRetryCap:  30 * time.Second,
	}
}

// phase is the state of a job.
type phase int

const (
	reserving phase = iota
	waiting
	ordered
	confirming
)

// job is one load or unload in flight.
type job struct {
	id       JobID
	action   Action
	ref      document.Ref
	endpoint platform.EndpointID
	phase    phase
	// due is the time when the slot opens, in the phase waiting, or the time when
	// the order is repeated, in the phase confirming.
	due      time.Time
	attempts int
}

// Planner plans the loads and unloads of one pool. It is not safe for concurrent
// use.
type Planner struct {
	cfg         Config
	observation Observation
	engines     map[platform.EndpointID]Engine
	demands     []Demand

	lastJob    JobID
	jobs       map[JobID]*job
	avoidUntil map[platform.EndpointID]time.Time
	// unusedSince holds the time when each loaded but unused version was first
	// seen unused.
	unusedSince map[document.Ref]time.Time
	// refusedFencing is the highest fencing number that an engine refused as stale.
	refusedFencing uint64
	storeFailures  int
	storeRetryAt   time.Time
}

// NewPlanner returns a planner without jobs.
func NewPlanner(cfg Config) *Planner {
	return &Planner{
		cfg:         cfg,
		jobs:        map[JobID]*job{},
		avoidUntil:  map[platform.EndpointID]time.Time{},
		unusedSince: map[document.Ref]time.Time{},
	}
}

// Step applies an event and returns the effects to execute now, in order.
func (p *Planner) Step(now time.Time, event Event) []Effect {
	switch event := event.(type) {
	case Observation:
		p.observe(now, event)
	case Reserved:
		p.handleReserved(now, event)
	case ReserveFailed:
		p.handleReserveFailed(now, event)
	case Answered:
		p.handleAnswered(now, event)
	}
	if !p.canOrder() {
		return nil
	}
	effects := p.issueDueOrders(now)
	if _, ok := event.(Observation); ok {
		effects = append(effects, p.plan(now)...)
	}
	return effects
}

// InFlight returns the number of jobs in flight.
func (p *Planner) InFlight() int { return len(p.jobs) }

// Ordered returns the number of orders that are not answered yet.
func (p *Planner) Ordered() int {
	count := 0
	for _, j := range p.jobs {
		if j.phase == ordered {
			count++
		}
	}
	return count
}

// Missing returns the number of demanded copies that no engine reports. Copies on
// leaving engines count as missing.
func (p *Planner) Missing() int {
	missing := 0
	for _, demand := range p.demands {
		missing += max(0, demand.Copies-p.copies(demand.Ref))
	}
	return missing
}

func (p *Planner) canOrder() bool {
	return p.observation.Fencing > p.refusedFencing && p.observation.Policy != nil
}

// observe stores an observation and updates the demands and jobs. A new fencing
// number discards all jobs, because they belong to an earlier claim of the pool.
func (p *Planner) observe(now time.Time, observation Observation) {
	if observation.Fencing != p.observation.Fencing {
		clear(p.jobs)
		clear(p.unusedSince)
	}
	p.observation = observation
	p.engines = make(map[platform.EndpointID]Engine, len(observation.Engines))
	engines := 0 // not leaving
	for _, engine := range observation.Engines {
		p.engines[engine.ID] = engine
		if !engine.Leaving {
			engines++
		}
	}
	p.demands = nil
	if observation.Policy != nil {
		p.demands = Demands(observation.Policy, p.cfg.Pool, observation.Statuses, engines)
		p.updateUnused(now)
	}
	maps.DeleteFunc(p.avoidUntil, func(_ platform.EndpointID, until time.Time) bool { return !now.Before(until) })
	p.reviewJobs()
}

// reviewJobs removes jobs whose effect is reported, reservations of versions that
// are no longer demanded, and jobs of engines that are leaving or gone. A
// reservation of such an engine moves to another engine if possible.
func (p *Planner) reviewJobs() {
	for _, j := range p.sortedJobs() {
		engine, listed := p.engines[j.endpoint]
		gone := !listed || engine.Leaving
		notOrdered := j.phase == reserving || j.phase == waiting
		switch {
		case !gone && engine.Reported && engine.has(j.ref) == (j.action == Load):
			delete(p.jobs, j.id)
		case notOrdered && !p.demanded(j.ref):
			delete(p.jobs, j.id)
		case gone && !(notOrdered && p.reassign(j)):
			delete(p.jobs, j.id)
		}
	}
}

// reassign moves a job that has not been ordered to another engine, and reports
// whether it found one.
func (p *Planner) reassign(j *job) bool {
	endpoint, ok := p.pickEngine(j.ref)
	if ok {
		j.endpoint = endpoint
	}
	return ok
}

func (p *Planner) handleReserved(now time.Time, event Reserved) {
	j, ok := p.jobs[event.Job]
	if !ok || j.phase != reserving {
		return
	}
	p.storeFailures = 0
	j.phase = waiting
	j.due = now.Add(event.Wait)
}

func (p *Planner) handleReserveFailed(now time.Time, event ReserveFailed) {
	j, ok := p.jobs[event.Job]
	if !ok || j.phase != reserving {
		return
	}
	delete(p.jobs, j.id)
	wait := p.cfg.StoreRetryBase << min(p.storeFailures, 10)
	p.storeFailures++
	p.storeRetryAt = now.Add(min(wait, p.cfg.StoreRetryCap))
}

func (p *Planner) handleAnswered(now time.Time, event Answered) {
	j, ok := p.jobs[event.Job]
	if !ok || j.phase != ordered {
		return
	}
	if event.Result == Stale {
		p.refusedFencing = max(p.refusedFencing, p.observation.Fencing)
		clear(p.jobs)
		return
	}
	j.phase = confirming
	j.due = now.Add(p.cfg.ConfirmTimeout)
}

// issueDueOrders returns the orders that are due. It removes jobs that are no
// longer needed, and jobs that are due after maxAttempts attempts.
func (p *Planner) issueDueOrders(now time.Time) []Effect {
	var effects []Effect
	for _, j := range p.sortedJobs() {
		due := j.phase == waiting || j.phase == confirming
		if !due || now.Before(j.due) || !p.engines[j.endpoint].orderable() {
			continue
		}
		switch {
		case !p.stillNeeded(j):
			delete(p.jobs, j.id)
		case j.attempts == maxAttempts:
			delete(p.jobs, j.id)
			p.avoidUntil[j.endpoint] = now.Add(p.cfg.AvoidFor)
		default:
			effects = append(effects, p.issueOrder(j))
		}
	}
	return effects
}

// stillNeeded reports whether the job is still justified. A repeated order must
// not unload a version that is in use again, nor any version while a demanded copy
// is missing.
func (p *Planner) stillNeeded(j *job) bool {
	if j.action == Load {
		return p.demanded(j.ref)
	}
	return p.unloadable(j.ref) && p.Missing() == 0
}

func (p *Planner) issueOrder(j *job) Effect {
	j.phase = ordered
	j.attempts++
	return Order{
		Job:      j.id,
		Endpoint: j.endpoint,
		Address:  p.engines[j.endpoint].Address,
		Action:   j.action,
		Ref:      j.ref,
		Fencing:  p.observation.Fencing,
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
