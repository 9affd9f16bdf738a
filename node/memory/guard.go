// Package memory keeps what the process holds for clients and endpoints within its budget. The
// decisions are those of policy/memory; this package does the locking, ends what has lost its
// memory, and counts and logs it.
package memory

import (
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/policy/memory"
)

// Guard is the budget of a process. It is safe for concurrent use. A nil guard grants everything.
type Guard struct {
	count func(metric string)
	log   *logrus.Entry

	mu     sync.Mutex
	budget *memory.Budget
	// holdings finds the holding of a holder that has lost its memory.
	holdings map[*memory.Holder]*Holding
	// loggedAt is the time of the last line, and unlogged counts the events since.
	loggedAt time.Time
	unlogged map[string]int
}

// logInterval is the least time between two log lines about clients.
const logInterval = time.Second

// NewGuard returns a guard of the given number of bytes. count increments a counter.
func NewGuard(total int64, count func(metric string), log *logrus.Entry) *Guard {
	return &Guard{
		count: count, log: log, budget: memory.NewBudget(total),
		holdings: make(map[*memory.Holder]*Holding), unlogged: make(map[string]int),
	}
}

// SetTotal changes the size of the budget.
func (g *Guard) SetTotal(total int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.SetTotal(total)
}

// Usage returns what is held and the size of the budget.
func (g *Guard) Usage() (held, total int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Held(), g.budget.Total()
}

// Holding is the memory that one request holds. Its methods are safe for concurrent use; those of a
// nil holding grant everything.
type Holding struct {
	guard  *Guard
	holder *memory.Holder
	// reclaim ends what holds the memory. It must not block.
	reclaim func()
}

// Open returns a holding of nothing. reclaim is called, once at most, if its memory is needed
// elsewhere. The caller closes the holding.
func (g *Guard) Open(kind memory.Kind, phase memory.Phase, reclaim func()) *Holding {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	h := &Holding{guard: g, holder: g.budget.Open(time.Now(), kind, phase), reclaim: reclaim}
	g.holdings[h.holder] = h
	return h
}

// Close releases the holding.
func (h *Holding) Close() {
	if h == nil {
		return
	}
	h.guard.mu.Lock()
	defer h.guard.mu.Unlock()
	h.guard.budget.Close(h.holder)
	delete(h.guard.holdings, h.holder)
}

// Grow asks for more memory and reports whether it was granted.
func (h *Holding) Grow(size int) bool {
	if h == nil {
		return true
	}
	losers, granted := h.grow(size)
	for _, loser := range losers {
		loser.reclaim()
	}
	return granted
}

func (h *Holding) grow(size int) (losers []*Holding, granted bool) {
	g := h.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	reclaimed, granted := g.budget.Grow(now, h.holder, int64(size))
	for _, holder := range reclaimed {
		losers = append(losers, g.holdings[holder])
		delete(g.holdings, holder)
		g.record(now, "reclaimed", holder.Kind)
	}
	if !granted {
		g.record(now, "refused", h.holder.Kind)
	}
	return losers, granted
}

// GrowFree is like Grow, but takes only what is free, and a refusal is an ordinary event.
func (h *Holding) GrowFree(size int) bool {
	if h == nil {
		return true
	}
	h.guard.mu.Lock()
	defer h.guard.mu.Unlock()
	return h.guard.budget.GrowFree(h.holder, int64(size))
}

// Shrink releases a part of the holding.
func (h *Holding) Shrink(size int) {
	if h == nil {
		return
	}
	h.guard.mu.Lock()
	defer h.guard.mu.Unlock()
	h.guard.budget.Shrink(h.holder, int64(size))
}

// Progress records that the client has sent or read something.
func (h *Holding) Progress() {
	if h == nil {
		return
	}
	h.guard.mu.Lock()
	defer h.guard.mu.Unlock()
	h.guard.budget.Progress(time.Now(), h.holder)
}

// SetPhase records for what the memory is needed from now on.
func (h *Holding) SetPhase(phase memory.Phase) {
	if h == nil {
		return
	}
	h.guard.mu.Lock()
	defer h.guard.mu.Unlock()
	h.guard.budget.SetPhase(time.Now(), h.holder, phase)
}

// Record counts an event of a client and logs it, at most one line in a while.
func (g *Guard) Record(event string, kind memory.Kind) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.record(time.Now(), event, kind)
}

// record counts and logs an event. The caller holds the lock; the log sink does not block.
func (g *Guard) record(now time.Time, event string, kind memory.Kind) {
	g.count(fmt.Sprintf(`wigeonusher_client_events_total{event=%q,kind=%q}`, event, kind))
	g.unlogged[event+" "+string(kind)]++
	if now.Sub(g.loggedAt) < logInterval {
		return
	}
	g.log.WithFields(logrus.Fields{
		"events": g.unlogged, "held_bytes": g.budget.Held(), "budget_bytes": g.budget.Total(), "holders": len(g.holdings),
	}).Warn("clients were refused or cut off")
	g.loggedAt, g.unlogged = now, make(map[string]int)
}
