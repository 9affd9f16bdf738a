// Package intent runs a call at most once across all instances: the order of
// the platform's log decides which instance may dispatch it.
//
// # Protocol
//
// A [Key] identifies a call. An instance that wants to run the call appends an
// [Intent]. Every instance folds the stream with a [Ledger], and all ledgers
// accept the first intent of a key in log order. Only the writer of the
// accepted intent dispatches the call, after its own ledger has reported the
// acceptance. It dispatches the call again only if no byte of the previous
// dispatch was sent. When it knows the result, it appends an [Outcome].
//
// Nothing else permits a dispatch: no clock, no lease, no message from a peer.
// An instance that was paused for an hour between acceptance and dispatch may
// still dispatch, because no other instance was permitted in the meantime. An
// instance that replaces another never runs a call that it finds claimed; it
// answers that the call is in progress, or that the outcome is unknown once the
// writer of the claim is considered gone.
//
// A call without a token cannot have duplicates. It is dispatched without an
// intent and has no [Outcome] in the log.
//
// # Abandoning a call
//
// A writer whose call certainly did not run frees the key with an abandoned
// outcome. If the deadline of a [Call] passes or its caller disconnects before
// the decision, the caller is answered "not run" at once; the call remains open
// and frees the key if its intent is accepted later. Because the answer comes
// first, a call that was answered "not run" is never dispatched, even if the
// acceptance follows a moment later.
//
// When the log becomes unavailable, [LogLost] makes calls withdraw their
// intents. Calls whose intents certainly did not reach the log are answered at
// once; the others wait for a decision or for their deadline.
//
// # Expiry of a key
//
// A ledger expires a key [LedgerConfig].Window records after the last entry
// that renewed it. A key that a caller sends again later than that starts a
// new call. Expiry counts records instead of reading a clock, so that all
// ledgers agree on it. The ledger of an instance that started in the middle of
// the stream agrees as well once it has folded Window records, because older
// records do not matter; see [Ledger.Complete].
//
// # State machine
//
// A [Call] does no IO: it consumes events together with the current time and
// returns effects. The user of the package adds entries to an outbox, folds
// the stream, and passes each [Decision] to the call whose attempt it names.
// The outbox groups entries into records, so the rate of appends does not grow
// with the rate of calls.
package intent
