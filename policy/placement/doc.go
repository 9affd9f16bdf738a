// Package placement chooses the endpoint that runs a request.
//
// # Steps
//
// A [Scheduler] runs named steps. A [Filter] drops candidates that must not or
// should not run the request. A [Scorer] rates the rest by the milliseconds
// that it expects the first token to take for one cause: the wait for a slot
// ([Load]), the prefill that the prefix cache does not save ([Prefix]), the
// way to another zone ([Distance]), an endpoint that is slower than its load
// explains ([Slowness]). Scores share one unit, so they add up, and affinity
// or distance give way to load exactly when they stop paying. A [Picker]
// chooses by the sums.
//
// # Load that is known late
//
// An endpoint's report is seconds old when it is used, and a request may live
// no longer than that. [LoadTable] splits the report into this instance's own
// requests, which it knows exactly at any time, and those of others. Only the
// others' part is a guess: it regresses to the pool's mean as the report ages,
// and its uncertainty enters the expected wait. Own requests that the report
// already counts are not counted again.
//
// # Asking the owner
//
// Late knowledge is not enough when nearly all slots are taken: a request that
// meets a full endpoint waits although another has a free slot. So each
// endpoint has an owner among the instances ([PollShare]), which counts all
// dispatches to it ([LoadTable.Reserve], [LoadTable.Release]). A [Search] asks
// the owners of the likeliest endpoints, one after the other, until one has a
// free slot. An owner that does not answer costs accuracy, never the request.
// Peers repeat what they have in flight in their digests
// ([LoadTable.PeerInFlight]), which mends counts after lost messages.
//
// # Prefix caches
//
// [PrefixIndex] keeps, for each endpoint, hashes of prompt prefixes that it is
// believed to hold: those that this instance sent there and those that the
// engine's cache events name. Events come late and with gaps, so the index is
// a guess that costs one prefill when it is wrong; a gap before a block that
// is known does not end a match. The index is bounded.
//
// # Concurrency
//
// A Scheduler has no state. LoadTable and PrefixIndex are sharded by endpoint,
// each shard under its own lock. Time and random numbers come in as arguments.
package placement
