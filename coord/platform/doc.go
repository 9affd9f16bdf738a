// Package platform defines the interfaces of the platform's services that this
// project uses, and the records in the platform's log.
//
// # The log decides the order
//
// Everything that instances must agree on or that must be durable is an [Entry]
// in an append-only [Log]. One [Record] carries several entries: the log charges
// for appends, not for entries, so writers commit in groups. The total order of
// a stream is the order of [Position]: first the offset of the record, then the
// index in the record.
//
// Every reader of a stream runs the same deterministic fold over the same
// entries, so all readers reach the same state. Every fold must skip the same
// entries: those with a duplicate [Entry.ID], those it cannot decode, and those
// of an unknown kind.
//
// # Results of an append
//
// An append has three results. Without an error, the record is in the log at
// the returned offset. With [ErrUnavailable], it is not in the log and never
// will be. With [ErrOutcomeUnknown], it may be in the log now or later: the
// writer reads the log back before it decides anything, and may append the same
// entries again, because folds drop duplicate IDs.
package platform
