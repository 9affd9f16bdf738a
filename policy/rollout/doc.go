// Package rollout moves traffic to candidate versions step by step, halts
// roll-outs of bad candidates early, and keeps the exposure of the whole fleet
// within a budget.
//
// # State
//
// A roll-out is a state machine over the platform's log. Every instance folds
// the same entries ([Fold]) and therefore derives the same step, verdicts and
// grants. There is no leader: any instance that finds an action due appends a
// [Verdict], and the first one in log order takes effect. A roll-out therefore
// survives the loss of any instance.
//
// # Budget
//
// Until the run is complete, a new session uses the candidate only against a
// [Grant] that the fold has accepted for the session's instance. The fold accepts
// grants up to the run's allowance, so the limit on the fleet's total needs no
// coordination between instances and holds while zones are partitioned from each
// other or from the log: an instance without the log spends its grants and then
// exposes no further session. The unspent grants of an instance that dies are
// lost. A restarted instance has a new ID and starts without grants.
//
// The allowance is the budget of the document plus at most [ExposurePerGood] for
// every good answer in evidence accepted by the fold. It grows geometrically
// while answers are good and stays constant while they are not.
//
// A grant counts requests. The first request of an exposed session needs free
// exposure. Later requests of the session are charged too but never refused,
// because a session keeps its version. They can overdraw the ledger; the
// instance then exposes no new session until further grants cover the deficit.
//
// # Evidence
//
// Instances count good and bad answers of candidate and incumbent by run and
// step, and exchange their counters; [Merger] keeps the latest counter of each
// instance and sums them.
//
// # Test
//
// [SequentialTest] is an e-process against the hypothesis that the candidate
// fails no more often than the incumbent. Its expected value does not grow while
// the hypothesis holds, so the probability that it ever exceeds 1/a is at most
// a, however often it is evaluated. Each evaluation adds one block of new
// answers of both versions, compared only with each other, so an incident that
// affects both versions, or a change of the share, is no evidence against the
// candidate. [MaxShare], which is below 1, also limits the share at the last
// step, because the comparison needs answers of the incumbent.
//
// # Decisions
//
// [Controller] turns the fold's state and the merged evidence into effects
// once per tick. It performs no IO: the caller appends the entries.
package rollout
