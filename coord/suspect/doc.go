// Package suspect finds requests that crash the endpoints that run them, and
// keeps them from costing a pool more than a bounded number of endpoints.
//
// # From crash to verdict
//
// An endpoint that dies takes some twenty requests with it, and nothing tells
// which of them, if any, was the cause. So each becomes a suspect: its
// [Fingerprint] goes into the log with a [Report], and is told to peers
// besides. A suspect is not refused yet. It is [Isolated]: it may be tried once
// more, alone. A request that finishes its try is innocent and forgotten. One
// whose endpoint dies again has cost [MaxCrashes] endpoints and is [Refused]
// everywhere.
//
// # One try at a time, by the log
//
// A try is claimed in the log before it is dispatched. The first [Try] of a
// fingerprint in log order wins, on the condition that no other suspect is
// being tried on the same endpoint; otherwise an innocent suspect could be
// blamed for the crash of a guilty one. Only the winner dispatches, once, after
// its own [Fold] has met the entry, and then appends an [End]. A try without an
// end, because its writer died or is paused, is never given to another: the
// fingerprint stays blocked until it expires. Neither clocks nor leases take
// part, so a writer that resumes late does no harm.
//
// While the log is down no try can be claimed, and suspects are refused.
//
// # The bound
//
// Let c be the number of endpoints on which the request was dispatched before
// its first report reached the instances that dispatched it. It costs at most
// c + 1 endpoints: those and one try. A caller that sends it again after each
// failure finds c = 1, so it costs at most two, through whatever instances it
// sends. A caller that sends it for the first time through k instances at once
// can make c as large as k; confining equal requests to the same two endpoints,
// as package placement does, brings c back to two while the instances agree on
// the list of endpoints.
//
// # Bounded state
//
// All state is bounded and expires by position in the log, alike everywhere.
// What a tracker knows ahead of the log is bounded too.
//
// # Concurrency
//
// [Fold] and [Tracker] may be used by many goroutines. The tracker's state is
// sharded by fingerprint, each shard under its own lock.
package suspect
