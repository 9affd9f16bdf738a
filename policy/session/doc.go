// Package session pins the model versions of a session when it starts.
//
// # Pin sets
//
// A conversation whose model version changes halfway becomes inconsistent, so
// a session uses the same version of each model throughout. The instances keep
// no durable state, so they cannot store a choice per session. Instead the
// versions are chosen once, at the session's first request, from the session
// ID and the configuration and roll-outs of that time. The result is a small
// immutable pin set ([PinSet]) that is copied:
//
//   - to the caller, as a signed token ([Sign], [Verify]),
//   - to the [Table] of the instances that served the session,
//   - to the log, in batches ([NewPinSetsEntry], [DecodePinSets]).
//
// Any copy is enough to continue the session at any instance. The token and
// the tables work without the log.
//
// # Refusals
//
// A pin set is never changed. [PinSet.Version] returns the pinned version or a
// typed error: [*EndedError] if the version has been withdrawn since,
// [*UnpinnedError] if the session does not pin the model. It never returns
// another version.
//
// # Conflicts
//
// Two first requests of one session that arrive at two instances at the same
// time, without a token and while the instances cannot reach each other,
// create two pin sets. All holders converge on the lowest one in the order of
// [Compare]. One of the two requests may then have been answered by a version
// that the session does not keep. Callers avoid this by waiting for the token
// of the first answer before sending the second request. There is no other
// conflict: with a token, or with one reachable holder, the existing pin set
// is used.
//
// # Determinism
//
// The package reads no clock, draws no random numbers and performs no IO.
// Times are arguments.
package session
