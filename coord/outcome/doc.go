// Package outcome records whether a call ran.
//
// A caller that receives "not run" may safely send its call again. The answer
// "not run" must therefore never be wrong. [Outcome] is a closed type without a
// constructor for "not run": only an [Attempt] that has been marked neither as
// sent nor as answered returns such an outcome. An [Attempt] covers one
// dispatch, or a request over all its dispatches. Code that sends the request
// calls [Attempt.MarkSent] before the first byte, and from then on the outcome
// is unknown until [Attempt.MarkAnswered].
//
// An outcome is valid only for the moment at which it was read. Code that
// answers "not run" must ensure beforehand that the request is not dispatched
// afterwards, as a call of package intent does.
package outcome
