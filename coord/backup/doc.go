// Package backup keeps backup copies of entries that are not yet in the
// platform's log. The copies are on a second instance, so that the entries
// survive the crash of the first.
//
// # Purpose
//
// A bill is due once the last byte of an answer has been sent. Appending it
// takes as long as the log does, minutes during an outage, and the answer must
// not wait for it. An instance therefore sends a backup copy of the bill to a
// peer of its availability zone before the last byte, and appends the bill in a
// group afterwards. If the instance dies in between, the peer appends the bill
// under the same ID. If the instance was only slow, the bill is appended twice
// and readers of the log drop the repeated ID.
//
// # Sender and receiver
//
// A [Replicator] is the sending side: [CopyRequest] passes it entries, and
// [Release] reports which of them a peer has copied, or that no peer did before
// the deadline. It sends one [Copy] at a time, so a group of entries travels in
// one message and the rate of messages does not grow with the rate of entries.
// If a peer fails, it tries the next one; if the only peer with a copy departs,
// it copies the entries again; and once the log has an entry, it informs every
// peer that may have a copy.
//
// A [Store] is the receiving side, with bounds per peer and in total.
// [Store.Orphans] returns the entries of peers that are gone, each once, for an
// outbox to adopt; [Store.RecordFailure] makes entries available again if the
// outbox did not append them, and [Store.RemoveSettled] removes settled entries,
// which are those that the log has. The caller must also pass the settled IDs of
// a peer's message to the outbox (Outbox.SettleLogged), because the outbox may
// have adopted entries of a peer wrongly taken for gone. The removal of settled
// entries and the outbox's bounds keep memory bounded.
//
// Both types are deterministic: they do no I/O and do not read a clock. Which
// peers are gone is a hint from the membership; a wrong hint causes repeated
// appends and no other harm.
package backup
