package quota

import (
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Limit is the rate limit of one client account over the whole fleet.
type Limit struct {
	Account string
	// RequestsPerSecond is the sustained rate. Burst is the number of requests
	// allowed at once.
	RequestsPerSecond float64
	Burst             int
}

// Demand is the rate at which requests of an account arrive at an instance,
// including refused ones.
type Demand struct {
	Instance          platform.InstanceID
	Account           string
	RequestsPerSecond float64
}
