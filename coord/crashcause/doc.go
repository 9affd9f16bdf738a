// Package crashcause finds out what crashes endpoints: a whole request, or one feature
// that requests have in common, such as a part of their prompts.
//
// # Evidence
//
// An endpoint that crashes takes all its requests with it. Each instance accuses the
// whole requests that it had there and that were not run to their end, and the parts of those whose
// answers had just begun, or could have begun: parts are shared by many requests, so an answer that
// has gone on for a while did not cause the crash by one of them. A request survives if an endpoint
// runs it to its end, a part also if an endpoint goes on after it has begun an answer on it; that
// refutes all earlier accusations. Instances exchange both, so that all decide alike.
//
// # Decision
//
// A [Ledger] holds the recent crashes and decides by the fewest features that explain
// them: it takes the feature with the strongest accusations first, of equal ones the most
// specific, and does not count the crashes that it explains against the others. So what
// shares its requests with a guilty feature is not blamed for long.
//
// A feature with [SuspectScore] is [Suspected]: one request with it may be tried at a time, in
// the whole fleet. One with [GuiltyScore] is [Guilty], and no request with it is sent. A
// feature that has survived lately needs more, and some time without a survival: endpoints
// that crash for another reason take the features of all their requests with them.
//
// A whole request is guilty only if its crashes are not all of one moment. One that is accused by
// crashes of one moment is [Questioned] before it is suspected.
//
// Features that only ever come together cannot be told apart: the most specific one becomes
// guilty, and the others remain suspected until one survives, or crashes an endpoint alone.
//
// # Bounds
//
// All state is bounded, and expires: crashes after [CrashMemory], verdicts [VerdictMemory]
// after the last request that they have refused.
//
// The package does no input or output; the caller passes the time. A Ledger is not safe for
// concurrent use.
package crashcause
