package node

import (
	"context"
	"time"

	"github.com/wigeonusher/wigeonusher/node/loop"
)

// Appends per second to each stream by the whole fleet. Each instance takes an
// equal share, so that the log's capacity is shared without coordination.
const (
	billAppendsPerSecond    = 100.0
	intentAppendsPerSecond  = 100.0
	sessionAppendsPerSecond = 50.0
)

// appendRateInterval is the time between updates of the instance's shares.
const appendRateInterval = time.Second

// BillInterval returns the mean time between two appends of bills by one of the
// given number of instances if it always has bills to append.
func BillInterval(instances int) time.Duration { return meanInterval(instances, billAppendsPerSecond) }

// IntentInterval is the equivalent of [BillInterval] for intents.
func IntentInterval(instances int) time.Duration {
	return meanInterval(instances, intentAppendsPerSecond)
}

// SessionInterval is the equivalent of [BillInterval] for the pin sets of sessions.
func SessionInterval(instances int) time.Duration {
	return meanInterval(instances, sessionAppendsPerSecond)
}

// meanInterval returns the mean time between two appends of one instance if all
// instances together append perSecond times a second.
func meanInterval(instances int, perSecond float64) time.Duration {
	return time.Duration(float64(max(1, instances)) / perSecond * float64(time.Second))
}

// updateAppendRates adjusts this instance's shares to the number of listed
// instances until the context ends.
func (n *Node) updateAppendRates(ctx context.Context) error {
	return loop.Every(ctx, appendRateInterval, func(time.Time) {
		instances := float64(max(1, n.components.directory.ListedInstanceCount()))
		n.components.billWriter.SetAppendRate(billAppendsPerSecond / instances)
		n.components.intentWriter.SetAppendRate(intentAppendsPerSecond / instances)
		n.components.sessionWriter.SetAppendRate(sessionAppendsPerSecond / instances)
	})
}
