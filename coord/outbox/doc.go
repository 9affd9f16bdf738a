// Package outbox brings entries into a stream of the platform's log, by group
// commit with one append in flight.
//
// # Group commit
//
// Entries that are added while an append is in flight, or before
// [Config].MinInterval has passed since the last one, wait and leave together
// in the next record. The rate of appends therefore has a bound, one per
// MinInterval, that does not depend on the rate of entries; a slow log makes
// the groups larger, not the appends more frequent.
//
// # A pure state machine
//
// An [Outbox] does no IO. The caller adds entries, hands events to
// [Outbox.Step] together with the present time, and carries out the effects
// that come back: each [Append] is answered by one [AppendResult], each
// [ReadBack] by one [ReadResult]. Between events the caller delivers a [Tick]
// at the time that [Outbox.Wake] names.
//
// # Lost answers
//
// An append without effect (platform.ErrUnavailable) is tried again after a
// pause that doubles from failure to failure and carries jitter. An append of
// unknown outcome is not: the outbox first asks for the stream to be read from
// an end that was known before the entries were first appended. Entries found
// are settled. Entries not found are appended again under the same IDs,
// because the lost append may still take effect later; folds drop the repeated
// IDs.
//
// The invariant is that an entry stays held until the log is known to have it,
// or until its owner removes it. [Outbox.Withdraw] is the removal that is
// certain: it succeeds only for entries that no append can have carried.
//
// # One appender for many instances
//
// With an outbox in each instance the rate of appends grows with the number of
// instances. Where they all follow the stream, one of them can append for the
// others: the others say [Delegated], hand their entries to it with
// [Forwarded], and settle what they meet in the stream with [Outbox.Observe].
// An entry that does not turn up within [Config].Patience is appended by its
// own outbox after all, under the same ID. Who appends is a matter of cost, not
// of safety: two appenders, or none, do no harm. An outbox that delegates learns
// of an outage of the log by its own appends, a patience late; [Outbox.Health]
// is better asked at the appender.
//
// # Bounds
//
// [Outbox.Add] reports [ErrFull] at MaxEntries or MaxBytes. Work whose entry
// falls due only at its end, such as a bill, takes a [Reservation] before it
// starts, and is refused then instead of losing the entry later.
package outbox
