// Package fold runs deterministic state machines over a stream of the
// platform's log.
//
// # The idea
//
// A [Part] is a pure function of the entries of a stream. A [Stream] feeds it
// records in order, each once, and drops entries whose ID it has met before.
// Two instances that folded the same records have equal parts, so they agree
// without speaking to each other. Nothing else may reach a part: no clock, no
// random number, no answer of a peer.
//
// # Repeated entries
//
// A writer that lost the answer to an append may append the same entries
// again. The stream remembers the last [WindowIDs] IDs and drops a repeat. The
// window is counted in entries, not in time, so that it is the same on every
// instance, and it is part of the snapshot. A repeat that comes later than
// that reaches the parts again; a part whose state a late repeat could harm
// must refuse it by its own rules, as the configuration does by revisions.
//
// # Snapshots
//
// The log keeps records for a limited time, so the state must be written back
// before the records that made it go. [Stream.Snapshot] encodes the window, all
// parts and the next offset; [Chunks] cuts it into entries of kind
// [KindSnapshot]. To an instance that has the state, these entries are no
// operation: they change no part. A reader that finds the records truncated
// collects them with an [Assembler] and restores the newest one whose following
// records are all retained. [Keeper] says when an instance should write one.
//
// [Stream.Restore] takes over all parts or none. An instance never goes back
// or sideways: a snapshot must be ahead of the stream, and every part that
// implements [Checker] must find that it contains what the part has.
//
// # Hostile or damaged snapshots
//
// A chunk carries the digest of the whole, so damage is found and the snapshot
// ignored. A snapshot that lands in the log exactly at its own base offset can
// be compared by every instance that has that state; a difference is reported
// with [SnapshotMismatched]. Who may append to the stream is the platform's
// matter: an empty instance believes a well-formed snapshot in the log, as it
// would believe the records.
package fold
