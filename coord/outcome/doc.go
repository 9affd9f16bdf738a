// Package outcome says what became of a call.
//
// A caller that is told "not run" may safely send its call again, so the word
// must never be wrong. [Outcome] is a closed type without a constructor for
// that case: an outcome whose IsNotRun is true can only be had from an
// [Attempt] that never let a byte leave for an endpoint. An [Attempt] follows a
// request over all its dispatches; whatever sends the request marks it with
// [Attempt.Depart] before the first byte, and from then on the outcome is
// unknown until [Attempt.Answer].
//
// An outcome is true of the moment at which it was asked for. Whoever answers
// "not run" must have made sure before that nothing will be dispatched
// afterwards, as a call of package intent does.
package outcome
