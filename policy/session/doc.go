// Package session binds a conversation to the model versions it began with.
//
// # Idea
//
// A conversation that changes model version halfway contradicts itself, so a
// session keeps its versions for life. Remembering a choice per session at
// every instance would not fit many instances that keep nothing. Instead the
// choice is computed once, at the session's [Birth], from its ID and the state
// of configuration and roll-outs at that moment, and the small, immutable
// result is what travels and is copied:
//
//   - as a signed token in the caller's hands ([Sign], [Verify]),
//   - in the [Table] of the instances that served the session,
//   - in the log, in batches ([NewBornEntry], [DecodeBorn]).
//
// Any copy is enough to go on at any instance. No copy needs the log to be up.
//
// # Rules
//
// A birth is never edited. [Birth.Version] returns the pinned version or a
// typed refusal: [*Ended] if the version has been withdrawn since, [*Unpinned]
// if the session was born without the model. It never returns another version.
//
// # Two births of one session
//
// Two first turns that arrive at the same time at two instances, without a
// token and while the instances cannot ask each other, make two births. All
// holders settle on the same one of them: the lowest in the order of
// [Compare]. One of the two first turns may then have been answered by a
// version that the session does not keep. A caller avoids it by waiting for
// the token of the first answer before it sends the second turn. Nothing else
// makes two births: with a token, or with one reachable holder, the birth is
// found rather than made.
//
// # Purity
//
// Nothing here reads a clock, draws a random number, or performs IO. Times
// are arguments.
package session
