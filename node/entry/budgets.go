package entry

import (
	"sync"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/retry"
	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

const (
	// retryRatioFraction is the fraction of the fleet's retry ratio that each
	// instance uses.
	retryRatioFraction = 0.95
	// minFleetSize is the smallest number of instances that the fleet's retry
	// slack is divided by: a small fleet may grow before its instances discover
	// each other.
	minFleetSize = 12
	// fleetSizeMargin is the number of instances assumed per live instance, to
	// allow for those that have not been discovered yet.
	fleetSizeMargin = 1.3
	// resumeReserveFraction is the fraction of an instance's slack that is
	// reserved for resuming interrupted streams.
	resumeReserveFraction = 0.5
)

// budgets holds the retry budget of each service. Each instance bounds its
// retries by a ratio of the requests it received itself plus a share of the
// fleet's slack, so that the sum over all instances stays below the fleet's
// bound.
type budgets struct {
	mu sync.Mutex
	// fleetSlack is the retry slack of the whole fleet, and liveInstances the
	// number of live instances that share it.
	fleetSlack    float64
	liveInstances int
	// slackShare is this instance's current share of fleetSlack, and targetShare
	// the share for the current number of live instances.
	slackShare, targetShare float64
	// targetChangedAt is when targetShare last changed, initially when the
	// instance started.
	targetChangedAt time.Time
	// retryRatio is the retry ratio of this instance.
	retryRatio float64
	config     retry.WindowConfig
	services   map[route.ServiceName]*retry.Window
}

func newBudgets(bounds Bounds, started time.Time) *budgets {
	b := &budgets{
		fleetSlack: bounds.RetrySlack,
		config: retry.WindowConfig{
			Length: millis(bounds.RetryWindowMillis),
			Ratio:  retryRatioFraction * bounds.RetryRatio,
		},
		services:        make(map[route.ServiceName]*retry.Window),
		targetChangedAt: started,
		retryRatio:      retryRatioFraction * bounds.RetryRatio,
	}
	b.targetShare = b.computeTargetShare()
	return b
}

// computeTargetShare returns this instance's share of the fleet's slack for the
// current number of live instances.
func (b *budgets) computeTargetShare() float64 {
	return b.fleetSlack / max(minFleetSize, fleetSizeMargin*float64(b.liveInstances))
}

// setBounds applies new retry bounds, except for the length of the window, which
// is fixed at the start.
func (b *budgets) setBounds(now time.Time, bounds Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleetSlack, b.retryRatio = bounds.RetrySlack, retryRatioFraction*bounds.RetryRatio
	b.updateShare(now)
}

// setLiveInstances updates the number of live instances that share the fleet's
// slack.
func (b *budgets) setLiveInstances(now time.Time, live int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.liveInstances = live
	b.updateShare(now)
}

// updateShare applies the target share and the retry ratio. A lower share applies
// at once, a higher one only after the target has been unchanged for a whole
// window: retries within that window by instances that have since stopped, or by
// this instance before a restart, still count against the fleet's bound. A new
// ratio applies together with the share. The caller holds the lock.
func (b *budgets) updateShare(now time.Time) {
	target := b.computeTargetShare()
	if target != b.targetShare {
		b.targetShare, b.targetChangedAt = target, now
	}
	if target > b.slackShare && now.Sub(b.targetChangedAt) < b.config.Length {
		return
	}
	if target == b.slackShare && b.config.Ratio == b.retryRatio {
		return
	}
	b.slackShare, b.config.Ratio = target, b.retryRatio
	b.config.Slack, b.config.Reserve = target, resumeReserveFraction*target
	for _, window := range b.services {
		window.SetBounds(b.config)
	}
}

// currentSlackShare returns this instance's current share of the fleet's slack.
func (b *budgets) currentSlackShare() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.slackShare
}

// Budget implements [relay.Budgets].
func (b *budgets) Budget(name route.ServiceName) relay.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	return serviceBudget{b.window(name)}
}

// inspect returns the number of retries that the service's budget allows now, without creating it.
func (b *budgets) inspect(now time.Time, name route.ServiceName) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	window := b.services[name]
	if window == nil {
		window = retry.NewWindow(b.config)
	}
	return window.Available(now)
}

func (b *budgets) window(name route.ServiceName) *retry.Window {
	window := b.services[name]
	if window == nil {
		window = retry.NewWindow(b.config)
		b.services[name] = window
	}
	return window
}

// serviceBudget implements [relay.Budget]. Escalation to a larger model withdraws
// from the same budget because the platform counts it as a retry.
type serviceBudget struct{ *retry.Window }

// Escalate implements [relay.Budget].
func (b serviceBudget) Escalate(now time.Time) bool { return b.Withdraw(now) }
