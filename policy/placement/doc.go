// Package placement chooses the endpoint that runs a request.
//
// # Steps
//
// A [Scheduler] runs filters, scorers and a picker. A [Filter] drops
// candidates that must not or should not run the request. A [Scorer] scores
// the remaining ones by the expected delay of the first token, in
// milliseconds, from one cause: the wait for a slot ([Load]), the prefill of
// tokens outside the prefix cache ([Prefix]), the round trip to another zone
// ([Distance]), or an endpoint that is slower than its load explains
// ([Slowness]). All scores have the same unit and are summed, so affinity and
// distance yield to load once the wait costs more than they save. A [Picker]
// chooses by the sums.
//
// # Stale load reports
//
// An endpoint's load report is seconds old when it is used, which can exceed
// the duration of a request. [LoadTable] separates the local requests in a
// report, which this instance counts itself, from those of other instances.
// Only the latter are estimated: the estimate regresses to the pool's mean as
// the report ages, and its variance is part of the expected wait. Local
// requests that the report includes are not counted twice.
//
// # Owners
//
// Stale reports do not suffice when nearly all slots are taken: a request sent to a
// full endpoint waits although another endpoint has a free slot. Therefore each
// endpoint is owned by one instance of its zone ([OwnedEndpoints]), which counts all
// dispatches to it ([LoadTable.Reserve], [LoadTable.Release]). A [Search] asks the
// owners of the best endpoints in turn, until one has a free slot. If an owner does
// not answer, the choice is less accurate but the request does not fail. Digests
// repeat the number of each peer's dispatches in flight
// ([LoadTable.RecordPeerInFlight]), which corrects the counts after lost messages.
//
// # Prefix caches
//
// [PrefixIndex] records, for each endpoint, the hashes of prompt prefixes that
// its cache probably holds: those of prompts that this instance sent there and
// those reported by the engine's cache events. Events arrive late and some are
// lost, so the index is an estimate. An error costs one prefill. A missing
// block before a known one does not end a match. The index is bounded.
//
// # Concurrency
//
// Scheduler is stateless. LoadTable and PrefixIndex are sharded by endpoint,
// and each shard has its own lock. Times and random numbers are arguments.
package placement
