package retry

import "github.com/wigeonusher/wigeonusher/coord/outcome"

// Allowed reports whether a failed attempt may be retried: either it certainly did
// not run, or it is unknown whether it ran and the request is idempotent.
func Allowed(result outcome.Outcome, idempotent bool) bool {
	if result.IsNotRun() {
		return true
	}
	return idempotent && result.IsUnknown()
}
