// Package hold keeps copies of entries that are not in the platform's log yet
// on a second instance, so that they survive the death of the first.
//
// # Why
//
// A bill is due once the last byte of an answer has left. Its append takes as
// long as the log does, minutes in an outage, and the answer must not wait for
// it. An instance therefore hands a copy of the bill to a peer of its
// availability zone before the last byte, and appends the bill in a group
// afterwards. If the instance dies in between, the peer appends the bill under
// the same ID. If the instance was not dead but slow, the log gets the bill
// twice and its readers drop the repeated ID.
//
// # The two sides
//
// A [Replicator] is the sending side: [Protect] hands it entries, and
// [Release] tells which of them a peer has copied, or that no peer did before
// the deadline. It sends one [Copy] at a time, so a group of entries travels
// in one message and the rate of messages does not grow with the rate of
// entries. It goes on to the next peer if one fails, copies again what a
// departed peer was the only one to hold, and tells every peer that may hold
// an entry once the log has it.
//
// A [Store] is the receiving side, bounded for each peer and in all.
// [Store.Orphans] hands out the entries of peers that are gone, each once, for
// an outbox to adopt; [Store.Failed] takes them back if that did not succeed,
// and [Store.Settled] forgets them. News of settled entries from a peer goes to
// the outbox as well (Observe), which may have adopted them on a wrong belief;
// together the bounds of the two then hold.
//
// Both are pure: they do no IO and have no clock. Which peers are gone is a
// hint from the membership. A wrong hint costs repeated appends and nothing
// else.
package hold
