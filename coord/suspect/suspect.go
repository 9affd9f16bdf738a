// Package suspect finds requests that crash the endpoints that run them, and
// keeps them from costing a pool more than two endpoints.
package suspect

import (
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// KindReport is the kind of a [Report] in the control stream.
const KindReport platform.Kind = "suspect.report"

// MaxCrashes is the number of endpoints that one request may cost.
const MaxCrashes = 2

// Fingerprint identifies a request by what the endpoint would run: a digest
// of account, pool and body. A caller's repetition has the same fingerprint.
type Fingerprint string

// Report says that an endpoint crashed while it ran a request.
type Report struct {
	Fingerprint Fingerprint         `json:"fingerprint"`
	Pool        platform.PoolName   `json:"pool"`
	Endpoint    platform.EndpointID `json:"endpoint"`
}

// Permission says how a request may be dispatched.
type Permission string

// Permissions.
const (
	// Normal requests have crashed nothing.
	Normal Permission = "normal"
	// Isolated requests have crashed one endpoint: one dispatch at a time
	// over the zone, no hedge, no retry after a crash.
	Isolated Permission = "isolated"
	// Refused requests have crashed [MaxCrashes] endpoints.
	Refused Permission = "refused"
)
