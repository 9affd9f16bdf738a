package suspect

import (
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// KindReport is the kind of an entry of the control stream whose body is a
// [Report].
const KindReport platform.Kind = "suspect.report"

// MaxCrashes is the number of crashed endpoints at which a request is refused.
const MaxCrashes = 2

// Fingerprint identifies a request by a digest of account, pool and body. A
// caller's repetition of the request has the same fingerprint.
type Fingerprint string

// Report states that an endpoint crashed while it ran a request.
type Report struct {
	Fingerprint Fingerprint         `json:"fingerprint"`
	Pool        platform.PoolName   `json:"pool"`
	Endpoint    platform.EndpointID `json:"endpoint"`
}

// Permission is how a request may be dispatched.
type Permission string

// Permissions.
const (
	// Normal requests have crashed no endpoint; their dispatch is unrestricted.
	Normal Permission = "normal"
	// Isolated requests have crashed one endpoint. Such a request has at
	// most one dispatch in progress at a time across all instances, without
	// hedging and without a retry after a crash.
	Isolated Permission = "isolated"
	// Refused requests have crashed [MaxCrashes] endpoints and must not be
	// dispatched.
	Refused Permission = "refused"
)

// Kinds of the entries with a [Try] and an [End].
const (
	KindTry platform.Kind = "suspect.try"
	KindEnd platform.Kind = "suspect.end"
)

// Try is the body of an entry that claims the single try of a suspect for the
// entry's writer.
type Try struct {
	Fingerprint Fingerprint         `json:"fingerprint"`
	Pool        platform.PoolName   `json:"pool"`
	Endpoint    platform.EndpointID `json:"endpoint"`
}

// End is the outcome of a granted try. It is ignored unless the writer of the
// try appended it.
type End struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Crashed is whether the endpoint crashed. If not, the suspect is cleared.
	Crashed bool `json:"crashed"`
}

// TryState is the state of a claimed try.
type TryState string

// States of a try.
const (
	// TryUnknown tries have not been folded yet.
	TryUnknown TryState = "unknown"
	// TryGranted tries may be dispatched, once, by their writer.
	TryGranted TryState = "granted"
	// TryDenied tries must not be dispatched.
	TryDenied TryState = "denied"
)
