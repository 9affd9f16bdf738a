package retry

import (
	"sync"
	"time"
)

// BudgetConfig configures a [Budget]. Zero fields take the defaults, and so do a
// negative Ratio and a Cap below 1. A negative FloorPerSecond means 0.
type BudgetConfig struct {
	// Ratio is the number of retries allowed per first try, in (0, 1].
	Ratio float64
	// FloorPerSecond is the number of retries per second that are allowed in
	// addition, independent of the first tries.
	FloorPerSecond float64
	// Cap bounds the tokens that accumulate.
	Cap float64
}

// Defaults of [BudgetConfig].
const (
	DefaultRatio          = 0.1
	DefaultFloorPerSecond = 0.2
	DefaultCap            = 10
)

func (c BudgetConfig) withDefaults() BudgetConfig {
	if c.Ratio <= 0 {
		c.Ratio = DefaultRatio
	}
	if c.FloorPerSecond == 0 {
		c.FloorPerSecond = DefaultFloorPerSecond
	}
	if c.Cap < 1 {
		c.Cap = DefaultCap
	}
	c.FloorPerSecond = max(0, c.FloorPerSecond)
	return c
}

// Budget is a token bucket that bounds the retries of one account or one pool. Its
// methods may be called from several goroutines.
type Budget struct {
	cfg BudgetConfig

	mu     sync.Mutex
	tokens float64
	last   time.Time
}

// NewBudget returns a budget with one token.
func NewBudget(cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg.withDefaults(), tokens: 1}
}

// Deposit adds Ratio tokens for a first try, up to Cap.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.cfg.Cap, b.tokens+b.cfg.Ratio)
}

// Withdraw takes a token for a retry and reports whether there was one.
func (b *Budget) Withdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refund puts back a token whose retry was not made.
func (b *Budget) refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.cfg.Cap, b.tokens+1)
}

// refill adds the tokens of FloorPerSecond for the time since the last refill. A
// clock that runs backwards adds none. The caller holds b.mu.
func (b *Budget) refill(now time.Time) {
	if b.last.IsZero() {
		b.last = now
	}
	elapsed := now.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	b.tokens = min(b.cfg.Cap, b.tokens+elapsed.Seconds()*b.cfg.FloorPerSecond)
	b.last = now
}

// WithdrawAll takes one token from each budget, or from none if one of them is
// empty. It reports whether it took the tokens.
func WithdrawAll(now time.Time, budgets ...*Budget) bool {
	for i, budget := range budgets {
		if budget.Withdraw(now) {
			continue
		}
		for _, withdrawn := range budgets[:i] {
			withdrawn.refund()
		}
		return false
	}
	return true
}
