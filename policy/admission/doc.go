// Package admission decides at once whether a request can be served in time,
// and tells the refused when to come back.
//
// # The queue
//
// A [Queue] stands in front of one pool. It is a pure state machine: events go
// in with the time ([Queue.Offer], [Queue.Done], [Queue.Cancel],
// [Queue.SetSlots], [Queue.Tick]), and a list of effects comes out. [Start]
// says that the request takes a slot now, [Refuse] that it gets its final
// answer now. Every request offered meets exactly one of the two, unless it is
// cancelled.
//
// # Who goes next
//
// Accounts share the slots by weighted fair queueing on slot time. Each account
// has a virtual time that advances by the slot time it used divided by its
// weight; the account that is furthest behind goes next. An account that was
// idle starts at the queue's virtual time, so it can neither save up nor fall
// behind. Inside an account, requests go by priority, then in order of arrival.
//
// # Who is refused
//
// The same virtual times tell which work will be served before a new request,
// and thus how long it would wait. A request that would not finish before its
// deadline is refused when it comes, not after it has waited. Estimates may
// turn out wrong and work may arrive that goes first, so queued requests are
// checked again: one whose deadline can no longer be met is refused at that
// moment and never dispatched.
//
// # When to come back
//
// [Refusal.RetryAfter] covers the time until the queue has room and, after
// that, the time that those refused earlier will need. Refused callers thus
// return one after the other, at the rate of a part of the pool's capacity,
// also after an outage in which all were refused.
//
// # Concurrency
//
// A Queue is not safe for concurrent use. The caller keeps one for each pool,
// under a lock of its own.
package admission
