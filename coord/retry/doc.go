// Package retry decides whether a failed attempt may be retried, whether the
// retry budget allows it, and how long to wait.
//
// # Safety
//
// [Allowed] permits a retry after an attempt that certainly did not run, and, for
// an idempotent request, after an attempt that may or may not have run.
// Nothing else is retried.
//
// # Budget
//
// When a pool is down, every request fails, and retries multiply the load just when
// there is the least capacity for it. A [Budget] ties retries to first tries: each
// first try deposits a fraction of a token, each retry withdraws a whole token.
// However long an outage lasts, retries are at most that fraction of the first
// tries, plus a small number per second that allows retries at low traffic. Tokens
// are capped, so that quiet periods do not accumulate a burst of retries. A Budget
// covers one account or one pool; a retry needs a token of both, see [WithdrawAll].
//
// A [Window] bounds retries by the requests of a sliding window instead, and allows
// them all at once.
//
// # Waits
//
// [Backoff] computes exponentially growing waits with full jitter: a wait is
// uniformly distributed between 0 and a bound, so callers that failed at the same
// time do not retry at the same time.
//
// # Concurrency
//
// A [Budget] and a [Window] each have a lock and may be used by several goroutines.
// Time and random numbers are passed as arguments.
package retry
