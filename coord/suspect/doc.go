// Package suspect detects requests that crash the endpoints that run them, and
// bounds the number of endpoints that one such request can crash.
//
// # From crash to refusal
//
// An endpoint that crashes ends some twenty requests, and nothing shows which of
// them, if any, caused the crash. So each becomes a suspect: a [Report] with its
// [Fingerprint] is appended to the log and also sent to peers. A suspect is not
// refused yet but [Isolated]: it may be tried once more, with no other suspect
// on the same endpoint. A request that finishes its try is cleared. If the
// endpoint of the try crashes as well, the request has crashed [MaxCrashes]
// endpoints and is [Refused] by every instance.
//
// # One try at a time
//
// A try is claimed in the log before it is dispatched. The first [Try] of a
// fingerprint in log order is granted, provided that no other suspect is being
// tried on the same endpoint; otherwise an innocent suspect could be blamed for
// the crash of a guilty one. Only the writer of the granted try dispatches the
// request, once, after its own [Fold] has applied the entry, and then appends an
// [End]. If no end is appended, because the writer died or is paused, the try is
// never granted to another writer: the fingerprint stays blocked until it
// expires. The protocol uses neither clocks nor leases, so a writer that resumes
// late does no harm.
//
// While the log is down no try can be claimed, and suspects are refused.
//
// # The bound
//
// Let c be the number of endpoints on which the request was dispatched before
// its first report reached the instances that dispatched it. The request crashes
// at most c + 1 endpoints: those and that of one try. If the caller sends the
// request again after each failure, c is 1 and the request crashes at most two
// endpoints, whichever instances receive it. A caller that first sends it through
// k instances at once can make c as large as k: nothing restricts equal requests
// to fewer endpoints. Package placement only prefers endpoints that probably
// have the prefix of the prompt in their cache.
//
// # Bounded state
//
// The state of the fold is bounded and expires by position in the log, the same
// on every instance. The crashes that a tracker has recorded before the fold
// applies their reports are bounded as well.
//
// # Concurrency
//
// [Tracker] is safe for concurrent use; its state is sharded by fingerprint, with
// one lock per shard. So is [Fold], except that Apply and Restore must be called
// from one goroutine.
package suspect
