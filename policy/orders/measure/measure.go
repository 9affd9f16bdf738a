package measure

import (
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/orders"
	"github.com/wigeonusher/wigeonusher/policy/rollout"
)

const (
	pool platform.PoolName = "models"
	// weightBytes is the size of a large model's weights, storeRate the read rate of
	// the weight store in bytes per second, and loadTime the time that an engine
	// takes to load the weights.
	weightBytes = 40 << 30
	storeRate   = 10 << 30
	loadTime    = 20 * time.Second
	// pollInterval is the interval between polls of the engines.
	pollInterval = time.Second
	// stepTime is how long the roll-out stays paused, and how long it stays at a
	// step.
	stepTime = 10 * time.Minute
	// otherPoolAt is the time after the publication at which the store's wait for
	// another pool is measured.
	otherPoolAt = 10 * time.Second
)

var (
	stable    = document.Ref{Model: "strong", Version: "v1"}
	candidate = document.Ref{Model: "strong", Version: "v2"}
	previous  = document.Ref{Model: "strong", Version: "v0"}
)

// Result holds the measurements of a roll-out that is halted at its second step.
type Result struct {
	// Ready is the time from the roll-out's publication until enough engines had
	// loaded the candidate for the first and for the second step; 0 if they never
	// had.
	Ready [2]time.Duration
	// Slots is the number of loads that the weight store admitted.
	Slots int
	// OtherWait is the wait that another pool would have had at the store ten
	// seconds after the publication.
	OtherWait time.Duration
}

// run is one simulated roll-out.
type run struct {
	now      time.Time
	engines  []*Engine
	store    Store
	policy   *document.Policy
	status   rollout.Status
	planner  *orders.Planner
	inFlight []inFlightOrder
	result   Result
}

// inFlightOrder is an order that an engine is executing.
type inFlightOrder struct {
	order orders.Order
	ends  time.Time
}

// RunPlanner measures the planner. The roll-out is published as paused, starts
// after ten minutes, takes its second step after twenty and is halted at once.
func RunPlanner(engines int) Result {
	r := newRun(engines)
	r.planner = orders.NewPlanner(orders.DefaultConfig(pool))
	return r.simulate()
}

// RunLoadEverywhere measures the baseline: every engine loads all missing versions
// immediately.
func RunLoadEverywhere(engines int) Result {
	r := newRun(engines)
	for _, e := range r.engines {
		for _, ref := range []document.Ref{candidate, previous} {
			order := orders.Order{Endpoint: e.ID, Action: orders.Load, Ref: ref, Fencing: 1}
			ends := r.now.Add(r.store.Reserve(r.now, weightBytes) + loadTime)
			r.inFlight = append(r.inFlight, inFlightOrder{order, ends})
		}
	}
	return r.simulate()
}

func newRun(engines int) *run {
	version := document.Version{State: document.VersionServing, WeightBytes: weightBytes}
	r := &run{
		now:   time.Unix(0, 0),
		store: Store{BytesPerSecond: storeRate},
		policy: &document.Policy{
			Models: map[document.ModelName]document.Model{"strong": {
				Stable:   "v1",
				Versions: map[document.VersionName]document.Version{"v0": version, "v1": version, "v2": version},
			}},
			Pools: map[platform.PoolName]document.Pool{pool: {Serves: []document.Ref{previous, stable, candidate}}},
		},
		status: rollout.Status{Rollout: document.Rollout{
			Model: "strong", Candidate: "v2", State: document.RolloutPaused, Steps: []float64{0.05, 0.25, 1},
		}},
	}
	for i := range engines {
		r.engines = append(r.engines, NewEngine(i, true, stable))
	}
	return r
}

func (r *run) simulate() Result {
	start := r.now
	for elapsed := time.Duration(0); elapsed < 3*stepTime; elapsed += pollInterval {
		r.now = start.Add(elapsed)
		r.advanceRollout(elapsed)
		r.finishLoads()
		r.poll()
		r.record(elapsed)
	}
	r.result.Slots = r.store.Slots
	return r.result
}

func (r *run) advanceRollout(elapsed time.Duration) {
	if elapsed >= stepTime {
		r.status.Rollout.State = document.RolloutRunning
	}
	if elapsed >= 2*stepTime {
		r.status.Step = 1
		r.status.Halted = true
	}
}

func (r *run) finishLoads() {
	running := r.inFlight
	r.inFlight = nil
	for _, l := range running {
		if r.now.Before(l.ends) {
			r.inFlight = append(r.inFlight, l)
			continue
		}
		for _, e := range r.engines {
			if e.ID == l.order.Endpoint {
				r.feed(orders.Answered{Job: l.order.Job, Result: e.Apply(l.order)})
			}
		}
	}
}

func (r *run) poll() {
	observation := orders.Observation{Fencing: 1, Policy: r.policy, Statuses: []rollout.Status{r.status}}
	for _, e := range r.engines {
		observation.Engines = append(observation.Engines, e.Engine)
	}
	r.feed(observation)
}

// feed passes an event to the planner, if the run has one, and executes the
// returned effects.
func (r *run) feed(event orders.Event) {
	if r.planner == nil {
		return
	}
	for _, effect := range r.planner.Step(r.now, event) {
		switch effect := effect.(type) {
		case orders.Reserve:
			r.feed(orders.Reserved{Job: effect.Job, Wait: r.store.Reserve(r.now, effect.Bytes)})
		case orders.Order:
			r.inFlight = append(r.inFlight, inFlightOrder{effect, r.now.Add(loadTime)})
		}
	}
}

func (r *run) record(elapsed time.Duration) {
	if elapsed == otherPoolAt {
		r.result.OtherWait = r.store.Wait(r.now)
	}
	quarter := (len(r.engines) + 3) / 4
	for step, copies := range []int{orders.MinCopies, quarter} {
		if r.result.Ready[step] == 0 && Copies(r.engines, candidate) >= copies {
			r.result.Ready[step] = elapsed
		}
	}
}
