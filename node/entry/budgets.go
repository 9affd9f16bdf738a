package entry

import (
	"sync"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/retry"
	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

const (
	// retryPart is the part of the fleet's retry ratio that an instance uses.
	retryPart = 0.95
	// leastInstances is among how many instances the fleet's slack is divided at
	// least: a small fleet may grow before its instances know each other.
	leastInstances = 12
	// unknownInstances is how many instances there may be for each one that is
	// known to live.
	unknownInstances = 1.3
	// reservePart is the part of an instance's slack that is kept for streams
	// that broke off midway.
	reservePart = 0.5
)

// budgets holds the retry budget of each service. A retry ratio of its own
// requests and a fixed part of the slack keep the sum over all instances below
// the fleet's bound.
type budgets struct {
	mu sync.Mutex
	// slack is the whole fleet's, and live the number of instances that it is
	// divided among.
	slack float64
	live  int
	// part is this instance's, and wanted what it is to become.
	part, wanted float64
	// changedAt is when wanted last changed, at first when the instance started.
	changedAt time.Time
	// ratio is the part of the retry ratio that this instance uses.
	ratio    float64
	config   retry.WindowConfig
	services map[route.ServiceName]*retry.Window
}

func newBudgets(bounds Bounds, started time.Time) *budgets {
	b := &budgets{
		slack: bounds.RetrySlack,
		config: retry.WindowConfig{
			Length: millis(bounds.RetryWindowMillis),
			Ratio:  retryPart * bounds.RetryRatio,
		},
		services:  make(map[route.ServiceName]*retry.Window),
		changedAt: started,
		ratio:     retryPart * bounds.RetryRatio,
	}
	b.wanted = b.due()
	return b
}

// due is the part of the slack that the number of instances gives this one.
func (b *budgets) due() float64 {
	return b.slack / max(leastInstances, unknownInstances*float64(b.live))
}

// rebound takes over other bounds. The length of the window stays.
func (b *budgets) rebound(now time.Time, bounds Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slack, b.ratio = bounds.RetrySlack, retryPart*bounds.RetryRatio
	b.apply(now)
}

// divide gives the instance its part of the slack among those that live.
func (b *budgets) divide(now time.Time, live int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.live = live
	b.apply(now)
}

// apply sets the part of the slack. It falls at once and rises only when it has
// been due for a window: what others spent that are gone now, or this instance
// before it began anew, still counts for so long. The caller holds the lock.
func (b *budgets) apply(now time.Time) {
	wanted := b.due()
	if wanted != b.wanted {
		b.wanted, b.changedAt = wanted, now
	}
	if wanted > b.part && now.Sub(b.changedAt) < b.config.Length {
		return
	}
	if wanted == b.part && b.config.Ratio == b.ratio {
		return
	}
	b.part, b.config.Ratio = wanted, b.ratio
	b.config.Slack, b.config.Reserve = wanted, reservePart*wanted
	for _, window := range b.services {
		window.SetBounds(b.config)
	}
}

// allotted is the instance's part of the slack.
func (b *budgets) allotted() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.part
}

// Budget implements [relay.Budgets].
func (b *budgets) Budget(name route.ServiceName) relay.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	return serviceBudget{b.window(name)}
}

func (b *budgets) window(name route.ServiceName) *retry.Window {
	found := b.services[name]
	if found == nil {
		found = retry.NewWindow(b.config)
		b.services[name] = found
	}
	return found
}

// serviceBudget implements [relay.Budget]. The platform counts the turn of a
// larger model as a retry.
type serviceBudget struct{ *retry.Window }

// Escalate implements [relay.Budget].
func (b serviceBudget) Escalate(now time.Time) bool { return b.Withdraw(now) }
