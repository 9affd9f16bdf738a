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
	// weightBytes, storeRate (bytes a second) and loadTime describe a large
	// model.
	weightBytes = 40 << 30
	storeRate   = 10 << 30
	loadTime    = 20 * time.Second
	// pollInterval is the time between polls of the engines.
	pollInterval = time.Second
	// stepTime is how long the roll-out stays paused, and at a step.
	stepTime = 10 * time.Minute
	// otherPoolAt is when another pool asks the store for a slot.
	otherPoolAt = 10 * time.Second
)

var (
	stable    = document.Ref{Model: "strong", Version: "v1"}
	candidate = document.Ref{Model: "strong", Version: "v2"}
	former    = document.Ref{Model: "strong", Version: "v0"}
)

// Figures are what a roll-out cost that was braked at its second step.
type Figures struct {
	// Ready is the time from the roll-out's publication until the candidate
	// was on the engines of the first and second step.
	Ready [2]time.Duration
	// Slots is the number of slots of the weight store.
	Slots int
	// OtherWait is the wait that the store had for another pool, ten seconds
	// after the publication.
	OtherWait time.Duration
}

// run is one measurement.
type run struct {
	now     time.Time
	engines []*Engine
	store   Store
	policy  *document.Policy
	status  rollout.Status
	planner *orders.Planner
	loading []loading
	figures Figures
}

// loading is an order that an engine carries out.
type loading struct {
	order orders.Order
	ends  time.Time
}

// Planned measures the planner. The roll-out is published as paused, starts
// after ten minutes, takes its second step after twenty and is braked at once.
func Planned(engines int) Figures {
	r := newRun(engines)
	r.planner = orders.NewPlanner(orders.DefaultConfig(pool))
	return r.work()
}

// Everywhere measures the baseline: every engine loads every version that it
// lacks at once.
func Everywhere(engines int) Figures {
	r := newRun(engines)
	for _, e := range r.engines {
		for _, ref := range []document.Ref{candidate, former} {
			order := orders.Order{Endpoint: e.ID, Action: orders.Load, Ref: ref, Fencing: 1}
			ends := r.now.Add(r.store.Reserve(r.now, weightBytes) + loadTime)
			r.loading = append(r.loading, loading{order, ends})
		}
	}
	return r.work()
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
			Pools: map[platform.PoolName]document.Pool{pool: {Serves: []document.Ref{former, stable, candidate}}},
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

func (r *run) work() Figures {
	start := r.now
	for elapsed := time.Duration(0); elapsed < 3*stepTime; elapsed += pollInterval {
		r.now = start.Add(elapsed)
		r.moveRollout(elapsed)
		r.endLoads()
		r.poll()
		r.note(elapsed)
	}
	r.figures.Slots = r.store.Slots
	return r.figures
}

func (r *run) moveRollout(elapsed time.Duration) {
	if elapsed >= stepTime {
		r.status.Rollout.State = document.RolloutRunning
	}
	if elapsed >= 2*stepTime {
		r.status.Step = 1
		r.status.Braked = true
	}
}

func (r *run) endLoads() {
	under := r.loading
	r.loading = nil
	for _, l := range under {
		if r.now.Before(l.ends) {
			r.loading = append(r.loading, l)
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
	seen := orders.Observation{Fencing: 1, Policy: r.policy, Statuses: []rollout.Status{r.status}}
	for _, e := range r.engines {
		seen.Engines = append(seen.Engines, e.Engine)
	}
	r.feed(seen)
}

// feed gives the planner an event, if the run has one, and makes its calls.
func (r *run) feed(event orders.Event) {
	if r.planner == nil {
		return
	}
	for _, effect := range r.planner.Step(r.now, event) {
		switch effect := effect.(type) {
		case orders.Reserve:
			r.feed(orders.Reserved{Job: effect.Job, Wait: r.store.Reserve(r.now, effect.Bytes)})
		case orders.Order:
			r.loading = append(r.loading, loading{effect, r.now.Add(loadTime)})
		}
	}
}

func (r *run) note(elapsed time.Duration) {
	if elapsed == otherPoolAt {
		r.figures.OtherWait = r.store.Wait(r.now)
	}
	quarter := (len(r.engines) + 3) / 4
	for step, copies := range []int{orders.MinCopies, quarter} {
		if r.figures.Ready[step] == 0 && Copies(r.engines, candidate) >= copies {
			r.figures.Ready[step] = elapsed
		}
	}
}
