package quota

import (
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Limit is the limit of one account over the whole fleet.
type Limit struct {
	Account string
	// RequestsPerSecond is the sustained rate, Burst what may come at once.
	RequestsPerSecond float64
	Burst             int
}

// Demand is the rate at which an account's requests arrive at an instance,
// refused ones included.
type Demand struct {
	Instance          platform.InstanceID
	Account           string
	RequestsPerSecond float64
}
