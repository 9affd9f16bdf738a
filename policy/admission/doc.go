// Package admission decides immediately whether a request can be served before its
// deadline, and computes when a refused caller should retry.
//
// # Queue
//
// A [Queue] controls access to one pool. It is a pure state machine: each event
// ([Queue.Offer], [Queue.Done], [Queue.Cancel], [Queue.SetSlots], [Queue.Tick])
// carries the time and returns a list of effects. [Start] gives a slot to a request,
// [Refuse] rejects it. Every offered request gets exactly one of the two, unless it
// is cancelled.
//
// # Order
//
// Accounts share the slots by weighted fair queueing on slot time. Each account has
// a virtual time, which advances by the used slot time divided by the account's
// weight; the account with the lowest virtual time is served next. An account that
// becomes active starts at the queue's virtual time, so idle accounts neither
// accumulate credit nor fall behind. Within an account, requests are ordered by
// priority, then by arrival.
//
// # Refusal
//
// The virtual times also determine which work is served before a new request, and
// thus its expected wait. A request that would not finish before its deadline is
// refused on arrival instead of after waiting. Estimates may be wrong and later
// requests may be served first, so queued requests are checked again: one that can no
// longer meet its deadline is refused at that time and never dispatched.
//
// # Retries
//
// [Refusal.RetryAfter] is how long after its deadline the request would finish, or the
// wait until the end of the time booked for the callers refused earlier, if that is
// longer. It is at least 100 ms and at most [Config.MaxRetryAfter]. Refused callers thus
// retry one after another, at a rate of a fixed share of the pool's capacity, also after
// an outage during which every request was refused.
//
// # Fleet
//
// A [Queue] holds requests in front of endpoints that one instance has for itself. A [Fleet] is for
// many instances that share the endpoints of a service, and of which each sees a few requests a
// second: it holds none, and decides at once which requests the instance may send. The load that it
// addresses is that of docs/design/hard-load.md: an account that sends 7.5 times its usual rate,
// clients that retry immediately three times over, and twice the load that the endpoints can take.
//
//   - [Fleet.Observe] tells how many requests the endpoints have. While they are few, each request
//     is admitted and peers are told nothing.
//   - [Fleet.Usage] and [Fleet.ZoneUsage] are told to peers, [Fleet.Merge] and [Fleet.MergeZone]
//     record what they tell: the endpoint seconds a second of each account and rank of urgency. What
//     may be admitted is divided max-min fair among the accounts, and within an account by rank. It is
//     measured in the same unit, by comparing what is admitted with the slots in use, so that all is
//     well if a part of the instances is not known.
//   - Each request draws a number from its key and the time, the same at all instances, and is admitted
//     if the number is below the fraction of its account and rank. A refused client is told to
//     return when its number will be low enough. So it is admitted then, wherever it returns, and
//     gains nothing by an earlier retry.
//
// # Concurrency
//
// Neither a Queue nor a Fleet is safe for concurrent use. The caller keeps one queue per pool and
// guards it with a lock.
package admission
