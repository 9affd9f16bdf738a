// Package rollout brings candidate versions into use step by step, stops bad
// ones early, and keeps the exposure of the whole fleet inside a budget.
//
// # Idea
//
// A roll-out is a state machine in the platform's log. Every instance folds
// the same entries ([Fold]) and therefore knows the same step, the same
// verdicts and the same grants. No instance leads: whichever instance sees
// that a move is due appends a [Verdict], and the first one in log order moves
// the run. So a roll-out that loses any instance goes on from any other.
//
// # Budget
//
// A new session may meet the candidate only against a [Grant] that the fold
// has accepted for the instance that exposes it. The fold accepts grants up to
// the run's allowance and no further, so the sum over the fleet holds without
// any instance asking another, also when zones are cut off from each other or
// from the log: an instance without the log spends what it was granted and
// then stops. An instance that dies takes the unspent rest of its grants with
// it. A restarted instance has a new ID and starts with no grant.
//
// The allowance is the budget of the document plus [ExposurePerGood] for every
// good answer in evidence that the log has accepted. It grows geometrically
// while answers are good and stands still while they are not.
//
// A grant pays for sessions. Later requests of a session that has begun are
// charged too, but never refused, because a session keeps its version: they
// can overdraw the ledger, and then no new session begins there until further
// grants cover the debt.
//
// # Evidence
//
// Instances count good and bad answers of candidate and incumbent by run and
// step, and tell each other their counters; [Merger] keeps the latest counter
// of each instance and adds them up.
//
// # Test
//
// The [Test] is an e-process: a bet against the hypothesis that the candidate
// fails no more often than the incumbent, whose expected value never grows
// while the hypothesis holds. The chance that it ever exceeds 1/a is at most
// a, however often it is looked at. Each look adds one block of new answers of
// both versions, compared only with each other, so an incident that hits both
// versions, or a share that changes, says nothing against the candidate.
// The last step keeps [MaxShare] below 1, because without answers of the
// incumbent there is nothing to compare with.
//
// # Decisions
//
// [Controller] turns the fold's state and the merged evidence into effects
// once per tick. It performs no IO: the caller appends the entries.
package rollout
