// Package outbox appends entries to a stream of the platform's log. It uses
// group commit with one append in flight.
//
// # Group commit
//
// Entries that are added while an append is in flight, or before
// [Config].MinInterval has passed since the start of the previous append, wait
// and share the next record. The rate of appends is therefore at most one per
// MinInterval, whatever the rate of entries. A slow log leads to larger groups,
// not to more appends.
//
// # State machine
//
// An [Outbox] does no IO. The caller adds entries, passes events to
// [Outbox.Step] together with the current time, and carries out the returned
// effects: it sends one [AppendResult] for each [Append] and one [ReadResult]
// for each [ReadBack]. Between events it sends a [Tick] at the time that
// [Outbox.NextTick] returns.
//
// # Lost answers
//
// An append without effect (platform.ErrUnavailable) is retried after an
// exponential delay with jitter. An append of unknown outcome is not retried at
// once: the outbox first reads the stream back, from an end that was known
// before the entries were first appended. Entries that are found are settled.
// Entries that are not found are appended again under the same IDs, because the
// lost append may still take effect later; folds drop duplicate IDs.
//
// The invariant is that the outbox holds an entry until the log is known to
// contain it, or until its owner removes it. [Outbox.Withdraw] removes only
// entries that no append can have carried into the log, so a withdrawn entry is
// never in the log.
//
// # One appender for many instances
//
// With an outbox in each instance, the rate of appends grows with the number of
// instances. If all of them follow the stream, one instance can append for the
// others. The others switch to this mode with [Delegated], forward their
// entries to the appender, report them with [Forwarded], and settle entries
// that they read from the stream with [Outbox.SettleLogged]. An entry that does
// not appear in the stream within [Config].AppenderTimeout is appended by its
// own outbox under the same ID. The choice of the appender affects cost, not
// safety: two appenders, or none, do no harm. An outbox that delegates detects
// an outage of the log only by its own appends, that is after AppenderTimeout,
// so [Outbox.Health] of the appender is the better source.
//
// # Bounds
//
// [Outbox.Add] returns [ErrFull] at MaxEntries or MaxBytes. Work that produces
// its entry only at its end, such as a bill, takes a [Reservation] before it
// starts. If there is no room, the work is refused instead of losing the entry
// later.
package outbox
