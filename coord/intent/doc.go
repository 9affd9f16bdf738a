// Package intent makes a call run at most once, over all instances, by letting
// the platform's log decide who may dispatch it.
//
// # The rule
//
// A call is named by a [Key]. An instance that means to run it appends an
// [Intent]. Every instance folds the stream with a [Ledger], and the first
// intent of a key in log order is accepted, by all ledgers alike. The writer
// of the accepted intent, and nobody else, dispatches the call, once, after its
// own ledger has told it so. When it knows the result it appends an [Outcome].
//
// Nothing else gives permission: no clock, no lease, no peer's word. An
// instance that was paused for an hour between the acceptance and the dispatch
// may still go on, because nobody else was permitted in the meantime. An
// instance that takes over never runs what it finds claimed; its callers are
// told that the outcome is unknown.
//
// # Giving up
//
// A writer that has not dispatched may give the key back with an abandoned
// outcome. A [Call] does so when its deadline passes or its caller goes before
// the decision: the caller is told at once that the call was not run, the call
// stays, and when its intent turns out accepted the key is freed. The order
// matters: a call that has been answered "not run" is never dispatched, even
// if the acceptance comes a moment later.
//
// When the log becomes unavailable, [LogLost] lets the calls whose intents have
// certainly not reached it be answered at once; the others wait for a decision
// or for their deadline.
//
// # The lifetime of a key
//
// A ledger forgets a key [LedgerConfig].Window records after the last entry
// that names it. A caller that sends a key again later than that makes a new
// call. The count of records, not a clock, decides, and it decides alike in an
// instance that started within the stream, since nothing before the last
// Window records has any bearing; see [Ledger.Complete].
//
// # A pure state machine
//
// A [Call] does no IO: it takes events with the present time and returns
// effects. The caller adds entries to an outbox, folds the stream, and hands
// each [Decision] to the call whose attempt it names. Entries reach the log in
// groups, so the rate of appends does not grow with the rate of calls.
package intent
