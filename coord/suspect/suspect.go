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

// Kinds of the entries that claim and end the try of a suspect.
const (
	KindTry platform.Kind = "suspect.try"
	KindEnd platform.Kind = "suspect.end"
)

// Try claims the one try of a suspect. The entry's writer is the claimant.
type Try struct {
	Fingerprint Fingerprint         `json:"fingerprint"`
	Pool        platform.PoolName   `json:"pool"`
	Endpoint    platform.EndpointID `json:"endpoint"`
}

// End says how a try went. Only the end of the try's own writer counts.
type End struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Crashed tells whether the endpoint crashed; otherwise the suspect is
	// cleared.
	Crashed bool `json:"crashed"`
}

// TryState is what a fold knows of a claimed try.
type TryState string

// States of a try.
const (
	// TryUnknown tries have not been met in the log.
	TryUnknown TryState = "unknown"
	// TryGranted tries may be dispatched, once, by their writer.
	TryGranted TryState = "granted"
	// TryDenied tries must not be dispatched.
	TryDenied TryState = "denied"
)
