package node

import (
	"sync"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/coord/retry"
	"github.com/wigeonusher/wigeonusher/policy/document"
)

// budgets holds the retry budgets of accounts and pools. It implements
// caller.Budgets.
type budgets struct {
	mu       sync.Mutex
	accounts map[document.AccountID]*retry.Budget
	pools    map[platform.PoolName]*retry.Budget
}

func newBudgets() *budgets {
	return &budgets{
		accounts: map[document.AccountID]*retry.Budget{},
		pools:    map[platform.PoolName]*retry.Budget{},
	}
}

// Account returns the budget of an account.
func (b *budgets) Account(account document.AccountID) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	return budgetOf(b.accounts, account)
}

// Pool returns the budget of a pool.
func (b *budgets) Pool(pool platform.PoolName) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	return budgetOf(b.pools, pool)
}

// budgetOf returns the budget of a key and creates it at the first use. Keys are
// names of the validated policy, so their number is bounded.
func budgetOf[K comparable](budgets map[K]*retry.Budget, key K) *retry.Budget {
	budget, ok := budgets[key]
	if !ok {
		budget = retry.NewBudget(retry.BudgetConfig{})
		budgets[key] = budget
	}
	return budget
}
