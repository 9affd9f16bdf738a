package retry

import (
	"sync"
	"time"
)

// BudgetConfig holds the settings of a [Budget]. Zero fields take the
// defaults; a negative FloorPerSecond means none.
type BudgetConfig struct {
	// Ratio is the number of retries per first try, in (0, 1].
	Ratio float64
	// FloorPerSecond is the number of retries per second allowed besides.
	FloorPerSecond float64
	// Cap bounds the tokens saved.
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

// Budget bounds the retries of one account or one pool.
type Budget struct {
	cfg BudgetConfig

	mu     sync.Mutex
	tokens float64
	last   time.Time
}

// NewBudget returns a budget that holds one token.
func NewBudget(cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg.withDefaults(), tokens: 1}
}

// Deposit counts a first try.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.cfg.Cap, b.tokens+b.cfg.Ratio)
}

// Withdraw takes a token for a retry. It reports whether there was one.
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

// refund returns a token whose retry was not made.
func (b *Budget) refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.cfg.Cap, b.tokens+1)
}

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

// WithdrawAll takes a token of each budget, or of none. It reports whether
// there was one in each.
func WithdrawAll(now time.Time, budgets ...*Budget) bool {
	for i, budget := range budgets {
		if budget.Withdraw(now) {
			continue
		}
		for _, taken := range budgets[:i] {
			taken.refund()
		}
		return false
	}
	return true
}
