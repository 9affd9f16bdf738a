// Package orders plans which model versions the engines of one pool load and
// unload, ahead of the step of a roll-out that needs them.
//
// # A pure planner
//
// A [Planner] belongs to one instance and one pool. [Planner.Step] takes the
// time and an [Event], and returns a list of [Effect] values for the caller to
// carry out. It does no IO and reads no clock. The caller passes an
// [Observation] at every poll of the engines, and the answers of the weight
// store and of the engines as they come.
//
// # What is wanted
//
// [Demands] derives from the policy and the roll-outs how many engines must
// have each version loaded. The stable version goes to every engine. The
// candidate of a roll-out goes to the share of engines that the next step
// gives it, and to at least [MinCopies], so that the engines are ready before
// the step. Every other serving version keeps [MinCopies] for the sessions that
// began with it.
//
// # The life of a job
//
// A load is reserved at the weight store, waits for its slot, is ordered, and
// settles when a report of the engine shows the version. A lost answer is no
// reason to reserve again: the order is repeated, because a repeated load
// changes nothing. A reservation belongs to the version, so it moves to another
// engine when the first one leaves. An unload needs no reservation.
//
// # Invariants
//
//   - An order carries the fencing number of the newest observation, and none is
//     given without a number, or under one that an engine has refused as old.
//   - A load is ordered only after a reservation of its own has come due.
//   - At most [Config.MaxInFlight] jobs exist, and one for an engine.
//   - An engine that is leaving, or whose report is missing, gets no order.
//   - A version in use is never unloaded, and neither is the last reported copy
//     of a serving version.
//   - Nothing is unloaded while a load is missing or under way.
//   - Answers to a job that is over change nothing.
package orders
