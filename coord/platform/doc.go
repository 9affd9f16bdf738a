// Package platform states what this project asks of the platform's services,
// as narrow interfaces, and defines the records kept in the platform's log.
//
// # The log is the only arbiter
//
// Whatever must be agreed on or kept is an [Entry] in an append-only [Log].
// Several entries travel in one [Record]: the log charges for appends, not for
// entries, so writers commit in groups. The total order of a stream is the
// order of [Position]: record offset first, index inside the record second.
//
// Every reader of a stream runs the same deterministic fold over the same
// entries, so all readers reach the same state. A fold must skip, in the same
// way everywhere, an entry that it has met before ([Entry.ID] repeats), that
// it cannot read, or whose kind it does not know.
//
// # What an answer means
//
// An append has three results. No error: the record is in the log at the
// offset returned. [ErrUnavailable]: it is certainly not in the log and never
// will be. [ErrOutcomeUnknown]: it may be in the log now or later; the writer
// reads the log back before it decides anything, and may append the same
// entries again, because folds drop repeated IDs.
package platform
