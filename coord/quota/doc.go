// Package quota divides the limits of client accounts among instances by
// demand.
//
// # Shares
//
// A limit applies to the whole fleet, but each instance must allow or refuse a
// request without asking another one. So each instance keeps a token bucket per
// account whose rate is its share of the limit, and reports the rate of the
// account's requests to its peers. If k of n listed instances, including this
// one, have sent a digest recently, the group of k divides k/n of the limit:
//
//   - If the demand of the group fits, each instance gets its own demand and an
//     equal part of the rest.
//   - Otherwise each instance gets a share in proportion to its demand, so a
//     request has the same chance at whichever instance the balancer selected.
//
// # Partitions
//
// The part of listed instances without a recent digest remains reserved for
// them. So partitioned instances never exceed the limit together once all sides
// have detected the partition, however the fleet is split; each side may refuse
// requests that the other's unused part would allow. The number n must come from
// the platform's list and not from the view of peers, because a dead peer and a
// peer behind a partition look the same.
//
// An instance that has just started has received no digest and uses 1/n of the
// limit, where n is 1 until the first [Shares.Tick]. Its buckets start empty.
//
// # Concurrency
//
// [Shares] is safe for concurrent use. Accounts are sharded, and each shard has
// its own lock. Time is an argument.
package quota
