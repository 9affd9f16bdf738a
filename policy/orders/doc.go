// Package orders plans which model versions the engines of one pool load and
// unload, before the roll-out step that needs them.
//
// # Planner
//
// A [Planner] belongs to one instance and one pool. [Planner.Step] takes the
// time and an [Event] and returns the [Effect] values that the caller must
// execute. It does no I/O and reads no clock. The caller passes an [Observation]
// after every poll of the engines, and each response of the weight store and of
// the engines.
//
// # Demands
//
// [Demands] derives from the policy and the roll-outs how many engines must
// have each version loaded. The stable version is loaded on every engine. The
// candidate of a roll-out is loaded on the share of engines that equals its
// traffic share after the next step, and on at least [MinCopies], so that the
// engines are ready before the step. Every other serving version keeps
// [MinCopies] for the sessions pinned to it.
//
// # Lifecycle of a job
//
// A load reserves a slot at the weight store, waits until the slot opens, is
// ordered, and is confirmed when the engine's load report lists the version. If
// the response to an order is lost, the planner repeats the order without a new
// reservation, because loads are idempotent. A reservation belongs to the
// version, so it moves to another engine when the first one leaves. An unload
// needs no reservation.
//
// # Invariants
//
//   - An order carries the fencing number of the latest observation. The planner
//     issues no order without a number, or with one that an engine has refused
//     as stale.
//   - A load is ordered only after the slot reserved for it has opened.
//   - At most [Config.MaxInFlight] jobs exist, and at most one per engine.
//   - An engine that is leaving, or that did not answer the last poll, gets no
//     order.
//   - A version in use is never unloaded, and neither is the last reported copy
//     of a serving version.
//   - No version is unloaded while a demanded copy is missing or a load is in
//     flight.
//   - Responses for a job that has ended are ignored.
package orders
