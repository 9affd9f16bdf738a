package retry

import "github.com/wigeonusher/wigeonusher/coord/outcome"

// Allowed reports whether a failed attempt may be made again: it certainly did
// not run, or the request is idempotent and has not been answered.
func Allowed(result outcome.Outcome, idempotent bool) bool {
	if result.IsNotRun() {
		return true
	}
	return idempotent && result.IsUnknown()
}
