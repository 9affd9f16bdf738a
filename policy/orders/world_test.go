package orders_test

import (
	"slices"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/orders"
	"github.com/wigeonusher/wigeonusher/policy/orders/measure"
	"github.com/wigeonusher/wigeonusher/policy/rollout"
)

const (
	pool     platform.PoolName = "models"
	gibibyte                   = 1 << 30
	fewJobs                    = 3
)

var (
	v1      = document.Ref{Model: "strong", Version: "v1"}
	v2      = document.Ref{Model: "strong", Version: "v2"}
	v3      = document.Ref{Model: "strong", Version: "v3"}
	foreign = document.Ref{Model: "strong", Version: "v4"}
)

// holder is an instance that holds, or held, the pool's claim.
type holder struct {
	fencing uint64
	planner *orders.Planner
	seen    orders.Observation
	pending []orders.Effect
	events  []orders.Event
	// slots holds when the slot of each job opens.
	slots map[orders.JobID]time.Time
}

// world is one pool with the instances in charge of it, the newest last.
type world struct {
	t         assert.TestingT
	now       time.Time
	maxJobs   int
	policy    *document.Policy
	run       rollout.Status
	engines   []*measure.Engine
	made      int
	holders   []*holder
	storeDown bool
	store     measure.Store
}

func newWorld(t assert.TestingT, engines, maxJobs int, checks bool) *world {
	w := &world{t: t, now: time.Unix(1_700_000_000, 0), maxJobs: maxJobs, store: measure.Store{BytesPerSecond: 10 * gibibyte}}
	w.setVersions(document.VersionServing, document.VersionServing)
	w.run = rollout.Status{Rollout: document.Rollout{
		Model: "strong", Candidate: "v2", State: document.RolloutPaused, Steps: []float64{0.05, 0.25, 1},
	}}
	for range engines {
		w.addEngine(checks, v1)
	}
	w.takeOver()
	return w
}

func (w *world) setVersions(second, third document.VersionState) {
	version := func(state document.VersionState) document.Version {
		return document.Version{State: state, WeightBytes: 40 * gibibyte}
	}
	w.policy = &document.Policy{
		Models: map[document.ModelName]document.Model{"strong": {
			Stable: "v1",
			Versions: map[document.VersionName]document.Version{
				"v1": version(document.VersionServing), "v2": version(second), "v3": version(third), "v4": version(document.VersionServing),
			},
		}},
		Pools: map[platform.PoolName]document.Pool{pool: {Serves: []document.Ref{v1, v2, v3}}},
	}
}

func (w *world) addEngine(checks bool, loaded ...document.Ref) {
	w.engines = append(w.engines, measure.NewEngine(w.made, checks, loaded...))
	w.made++
}

func (w *world) count(ref document.Ref) int { return measure.Copies(w.engines, ref) }

// takeOver gives the claim to another instance. The one before doesn't know.
func (w *world) takeOver() {
	cfg := orders.DefaultConfig(pool)
	cfg.MaxInFlight = w.maxJobs
	w.holders = append(w.holders, &holder{
		fencing: uint64(len(w.holders) + 1),
		planner: orders.NewPlanner(cfg),
		slots:   map[orders.JobID]time.Time{},
	})
}

func (w *world) newest() *holder { return w.holders[len(w.holders)-1] }

// observe polls the engines for a holder.
func (w *world) observe(h *holder) {
	seen := orders.Observation{Fencing: h.fencing, Policy: w.policy, Statuses: []rollout.Status{w.run}}
	for _, e := range w.engines {
		polled := e.Engine
		polled.Loaded = slices.Clone(e.Loaded)
		seen.Engines = append(seen.Engines, polled)
	}
	h.seen = seen
	w.feed(h, seen)
}

func (w *world) feed(h *holder, event orders.Event) {
	h.events = append(h.events, event)
	for _, effect := range h.planner.Step(w.now, event) {
		w.check(h, effect)
		h.pending = append(h.pending, effect)
	}
	assert.Assert(w.t, h.planner.InFlight() <= w.maxJobs)
}

// check compares an effect with the rules, by the holder's last observation.
func (w *world) check(h *holder, effect orders.Effect) {
	order, ok := effect.(orders.Order)
	if !ok {
		return
	}
	assert.Assert(w.t, order.Fencing == h.fencing && order.Fencing != 0)
	at := slices.IndexFunc(h.seen.Engines, func(e orders.Engine) bool { return e.ID == order.Endpoint })
	assert.Assert(w.t, at >= 0, "an order to an unknown engine")
	assert.Assert(w.t, h.seen.Engines[at].Reported && !h.seen.Engines[at].Leaving, "an order to a leaving or silent engine")
	if order.Action == orders.Load {
		slot, reserved := h.slots[order.Job]
		assert.Assert(w.t, reserved && !w.now.Before(slot), "a load without a slot")
		return
	}
	copies, listed := map[document.Ref]int{}, 0
	for _, e := range h.seen.Engines {
		if !e.Leaving {
			listed++
		}
		for _, ref := range e.Loaded {
			if e.Reported && !e.Leaving {
				copies[ref]++
			}
		}
	}
	state := h.seen.Policy.Models["strong"].Versions[order.Ref.Version].State
	inUse := order.Ref == v1 || state == document.VersionServing && order.Ref != foreign
	assert.Assert(w.t, !inUse, "a version in use is unloaded: %v", order.Ref)
	assert.Assert(w.t, state == document.VersionWithdrawn || copies[order.Ref] > 1, "the last copy is unloaded")
	for _, demand := range orders.Demands(h.seen.Policy, pool, h.seen.Statuses, listed) {
		assert.Assert(w.t, copies[demand.Ref] >= demand.Copies, "an unload while a load is missing")
	}
}

// fault is what happens to a call.
type fault int

const (
	none fault = iota
	lostAnswer
	lostCall
)

// carryOut makes a holder's oldest pending call.
func (w *world) carryOut(h *holder, fault fault) {
	effect := h.pending[0]
	h.pending = h.pending[1:]
	switch effect := effect.(type) {
	case orders.Reserve:
		if w.storeDown || fault != none {
			w.feed(h, orders.ReserveFailed{Job: effect.Job})
			return
		}
		wait := w.store.Reserve(w.now, effect.Bytes)
		h.slots[effect.Job] = w.now.Add(wait)
		w.feed(h, orders.Reserved{Job: effect.Job, Wait: wait})
	case orders.Order:
		result := orders.Unknown
		at := slices.IndexFunc(w.engines, func(e *measure.Engine) bool { return e.ID == effect.Endpoint })
		if at >= 0 && fault != lostCall {
			result = w.engines[at].Apply(effect)
		}
		if fault != none {
			result = orders.Unknown
		}
		w.feed(h, orders.Answered{Job: effect.Job, Result: result})
	}
}

// settle ends all faults and lets the newest holder work.
func (w *world) settle() {
	w.storeDown = false
	for _, e := range w.engines {
		e.Reported = true
	}
	for range 600 {
		w.now = w.now.Add(time.Second)
		w.observe(w.newest())
		for len(w.newest().pending) > 0 {
			w.carryOut(w.newest(), none)
		}
	}
}
