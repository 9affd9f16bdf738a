// Package claim gives one instance at a time charge of a resource, with a
// fencing number that grows from holder to holder.
//
// # Compare and set in the log
//
// A [Claim] names the fencing number that it supersedes. The [Fold] accepts it
// only while that number is current, so of several claims that were written in
// ignorance of each other, the first in log order wins and the others fail.
// The fencing number of the new holder is the position of its claim; it grows
// with each claim accepted. There are no leases: a holder holds until it
// releases the resource or a claim supersedes its own.
//
// # What a holder may do
//
// An instance acts on a resource only while its own fold says that it holds
// it, and passes the fencing number with every order. A holder that was
// superseded and has not read so yet, because it was paused or cut off, still
// believes that it holds. Endpoints that check fencing numbers refuse its
// orders. Before endpoints that ignore the numbers two holders' orders can mix,
// so orders under a claim must be idempotent, or leave the same result in any
// order: "load this version" is such an order, "book this seat" is not. For
// the latter there is package intent.
//
// # When to take
//
// A [Keeper] decides when its instance should take a resource: it was never
// held, it was released, or its holder has been believed dead for a stated
// time and this instance ranks first among the live ones. The belief is a hint
// and may be wrong; it costs a change of holder and nothing else.
package claim
