// Package retry decides which failed attempts may be made again, whether there
// is budget for it, and how long to wait.
//
// # May it run again?
//
// [Allowed] permits a retry after an attempt that certainly did not run, and
// after any attempt of an idempotent request. Nothing else is ever repeated.
//
// # Is there budget?
//
// When a pool is down, every request fails, and retries multiply the load just
// when there is least room for it. A [Budget] ties retries to first tries:
// each first try deposits a part of a token, each retry withdraws a whole one.
// Retries are thus at most that part of the traffic, however long an outage
// lasts, plus a small floor per second that lets rare requests be retried at
// all. Tokens are capped, so a quiet time saves up no storm. A Budget guards
// one account or one pool; a retry needs room in both, see [WithdrawAll].
//
// # How long to wait?
//
// [Backoff] gives exponentially growing waits with full jitter: a wait is
// uniform between zero and a bound, so callers that failed together do not
// come back together.
//
// # Concurrency
//
// A [Budget] has a lock of its own and may be used by many goroutines. Time and
// random numbers come in as arguments.
package retry
