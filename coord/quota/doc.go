// Package quota shares the limits of client accounts among instances by
// demand.
//
// # The share
//
// A limit holds over the whole fleet, but every instance must say yes or no
// without asking another. So each keeps a token bucket per account whose rate
// is the instance's share of the limit, and tells its peers at which rate the
// account's requests arrive. With k of n listed instances heard of lately, the
// group of k divides k/n of the limit:
//
//   - if the group's demand fits, each gets its own demand and an equal part
//     of what is left;
//   - if it does not fit, each gets a part in proportion to its demand, so a
//     request has the same chance wherever the balancer sent it.
//
// # Which way it errs
//
// The part of the instances that are listed but silent stays reserved for
// them. Instances that are cut off from each other thus never exceed the limit
// together, whatever the cut, once both sides have noticed it; they may refuse
// what the other side leaves unused. The number n must come from the
// platform's list and not from the belief about peers: a dead peer and a peer
// beyond a cut look alike from here.
//
// An instance that has just started has heard of nobody and has 1/n of the
// limit; its buckets start empty.
//
// # Concurrency
//
// [Shares] may be used by many goroutines. Accounts are sharded, each shard
// under its own lock. Time comes in as an argument.
package quota
