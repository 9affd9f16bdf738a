// Package fold runs deterministic state machines over a stream of the
// platform's log.
//
// # Overview
//
// A [Part] is a pure function of the entries of a stream. A [Stream] passes it
// the entries of the records in order, each once, and drops entries with an ID
// that it has already seen. Two instances that folded the same records have
// equal parts, so they agree without exchanging messages. A part must not
// depend on any other input: no clock, no random number, no reply of a peer.
//
// # Repeated entries
//
// A writer that lost the reply to an append may append the same entries again.
// The stream keeps the last [WindowIDs] IDs and drops a repeated entry. The
// window is counted in entries, not in time, so that it is the same on every
// instance, and it is part of the snapshot. An entry that is repeated after its
// ID has left the window reaches the parts again; a part whose state a late
// repeat could corrupt must reject it by its own rules, as the configuration
// does by revisions.
//
// # Snapshots
//
// The log retains records for a limited time, so the state must be written to
// the log before the records that produced it are truncated. [Stream.Snapshot]
// encodes the window, all parts and the next offset; [Chunks] splits it into
// entries of kind [KindSnapshot]. These entries change no part, so an instance
// that already has the state ignores them. A reader that finds the records
// truncated collects the entries with an [Assembler] and restores the newest
// snapshot whose following records are all retained. [SnapshotScheduler] decides
// when an instance should write a snapshot.
//
// [Stream.Restore] restores all parts or none. An instance never reverts: a
// snapshot must be ahead of the stream, and every part that implements
// [Checker] must confirm that the snapshot contains what the part has accepted.
//
// # Hostile or damaged snapshots
//
// Each chunk carries the digest of the whole snapshot, so a damaged snapshot is
// detected and ignored. A snapshot that is appended exactly at its own base
// offset can be compared by every instance that has that state; a difference is
// reported as [SnapshotMismatched]. The platform controls who may append to the
// stream: an empty instance trusts a well-formed snapshot in the log as it
// trusts the records.
package fold
