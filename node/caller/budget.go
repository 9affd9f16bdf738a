package caller

import (
	"time"

	"github.com/wigeonusher/wigeonusher/coord/retry"
	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// accountPoolBudget is the retry budget of an account and a pool: a retry takes
// from both.
type accountPoolBudget struct{ account, pool *retry.Budget }

// RecordRequest implements [relay.Budget].
func (b accountPoolBudget) RecordRequest(time.Time) {
	b.account.Deposit()
	b.pool.Deposit()
}

// Available implements [relay.Budget]. It always returns 0: no decision of the
// callers' API depends on it.
func (accountPoolBudget) Available(time.Time) float64 { return 0 }

// Withdraw implements [relay.Budget].
func (b accountPoolBudget) Withdraw(now time.Time) bool {
	return retry.WithdrawAll(now, b.account, b.pool)
}

// WithdrawUrgent implements [relay.Budget].
func (b accountPoolBudget) WithdrawUrgent(now time.Time) bool { return b.Withdraw(now) }

// AllowsUrgent implements [relay.Budget]. It always returns true: only the relay's
// watchdog calls AllowsUrgent, and the callers' API does not use the watchdog.
func (accountPoolBudget) AllowsUrgent(time.Time) bool { return true }

// Escalate implements [relay.Budget]. It always succeeds, because a step of a
// cascade is not a retry.
func (accountPoolBudget) Escalate(time.Time) bool { return true }

// Budget implements [relay.Budgets].
func (p *chatPicker) Budget(route.ServiceName) relay.Budget { return stepBudget{p} }

// stepBudget is the retry budget of the current step. A retry after a dispatch
// that the endpoint refused is free, because the endpoint did no work for it.
type stepBudget struct{ picker *chatPicker }

// RecordRequest implements [relay.Budget]. It does nothing: startStep counts each step
// once.
func (stepBudget) RecordRequest(time.Time) {}

// Available implements [relay.Budget].
func (b stepBudget) Available(now time.Time) float64 { return b.picker.budget.Available(now) }

// Withdraw implements [relay.Budget].
func (b stepBudget) Withdraw(now time.Time) bool {
	return b.picker.lastRefused || b.picker.budget.Withdraw(now)
}

// WithdrawUrgent implements [relay.Budget].
func (b stepBudget) WithdrawUrgent(now time.Time) bool { return b.Withdraw(now) }

// AllowsUrgent implements [relay.Budget].
func (b stepBudget) AllowsUrgent(now time.Time) bool { return b.picker.budget.AllowsUrgent(now) }

// Escalate implements [relay.Budget].
func (b stepBudget) Escalate(now time.Time) bool { return b.picker.budget.Escalate(now) }
