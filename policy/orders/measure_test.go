package orders_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/orders"
)

const (
	pollInterval = time.Second
	// stepTime is how long the roll-out stays at a step.
	stepTime = 10 * time.Minute
	// otherPoolAt is when another pool asks the store for a slot.
	otherPoolAt = 10 * time.Second
)

// figures are what one roll-out cost until it was braked at its second step.
type figures struct {
	// ready is the time until the candidate was on the engines of a step.
	ready [2]time.Duration
	// late is how long after the step's begin that was.
	late [2]time.Duration
	// reserved counts slots of the weight store.
	reserved int
	// otherWait is the wait that the store would give to another pool.
	otherWait time.Duration
}

// running is an order that an engine carries out.
type running struct {
	order orders.Order
	ends  time.Time
}

// measure runs a roll-out that is paused for a step's time, runs its first
// step, and is braked in its second, which is the share of a quarter. The
// baseline loads every missing version everywhere at once.
func measure(t testing.TB, engines int, baseline bool) figures {
	w := newWorld(t, engines, orders.DefaultConfig(pool).MaxInFlight, true)
	start, h := w.now, w.newest()
	var got figures
	var loading []running
	if baseline {
		for _, e := range w.engines {
			for _, ref := range []document.Ref{v2, v3} {
				order := orders.Order{Endpoint: e.ID, Action: orders.Load, Ref: ref, Fencing: h.fencing}
				loading = append(loading, running{order, w.now.Add(w.reserve(40*gibibyte) + loadTime)})
			}
		}
	}
	for elapsed := time.Duration(0); elapsed < 3*stepTime; elapsed += pollInterval {
		w.now = start.Add(elapsed)
		w.run.Step = max(0, int(elapsed/stepTime)-1)
		w.run.Braked = elapsed >= 2*stepTime
		if elapsed >= stepTime {
			w.run.Rollout.State = document.RolloutRunning
		}
		loading = w.endLoads(h, loading)
		if !baseline {
			w.observe(h)
			loading = append(loading, w.startCalls(h)...)
		}
		if elapsed == otherPoolAt {
			got.otherWait = max(0, w.storeFree.Sub(w.now))
		}
		for step, share := range []int{orders.MinCopies, max(orders.MinCopies, (engines+3)/4)} {
			if got.ready[step] == 0 && w.count(v2) >= share {
				got.ready[step] = elapsed
				got.late[step] = max(0, elapsed-time.Duration(step+1)*stepTime)
			}
		}
	}
	got.reserved = w.reserved
	return got
}

// startCalls makes the holder's calls; loads end later.
func (w *world) startCalls(h *holder) []running {
	var started []running
	for len(h.pending) > 0 {
		if order, ok := h.pending[0].(orders.Order); ok {
			h.pending = h.pending[1:]
			started = append(started, running{order, w.now.Add(loadTime)})
			continue
		}
		w.carryOut(h, none)
	}
	return started
}

func (w *world) endLoads(h *holder, loading []running) []running {
	var left []running
	for _, r := range loading {
		if w.now.Before(r.ends) {
			left = append(left, r)
			continue
		}
		h.pending = append([]orders.Effect{r.order}, h.pending...)
		w.carryOut(h, none)
	}
	return left
}

// TestMeasureAgainstLoadingEverywhere prints the figures of the design note.
func TestMeasureAgainstLoadingEverywhere(t *testing.T) {
	for _, engines := range []int{12, 88} {
		planner, baseline := measure(t, engines, false), measure(t, engines, true)
		for _, row := range []struct {
			name string
			figures
		}{{"planner", planner}, {"everywhere at once", baseline}} {
			t.Logf("%d engines, %s: first step ready after %v (late %v), second after %v (late %v), slots %d, wait of another pool %v",
				engines, row.name, row.ready[0], row.late[0], row.ready[1], row.late[1], row.reserved, row.otherWait)
		}
		assert.Equal(t, planner.late, [2]time.Duration{}, "a step began before its engines were ready")
		assert.Assert(t, planner.reserved < baseline.reserved && planner.otherWait < baseline.otherWait)
	}
}
