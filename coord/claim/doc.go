// Package claim assigns a resource to one instance at a time, with a fencing
// number that increases with each new holder.
//
// # Compare-and-set in the log
//
// A [Claim] names the fencing number that it supersedes. The [Fold] accepts it
// only while that number is current. Of several concurrent claims, the first in
// log order wins and the others are rejected. The fencing number of the new holder
// is the position of its claim, so it increases with each accepted claim. There
// are no leases: an instance holds a resource until it releases it or another
// claim supersedes its own.
//
// # What a holder may do
//
// An instance acts on a resource only while its local fold shows it as the
// holder, and sends the fencing number with every order to an endpoint. A
// superseded holder that was paused or partitioned, and has not read the claim
// that superseded its own, still acts as the holder. Endpoints that check fencing
// numbers refuse its orders. At endpoints that ignore the numbers, the orders of
// two holders can interleave. Orders under a claim must therefore be idempotent,
// or have the same result in any order. "Load this version" is such an order,
// "book this seat" is not; for the latter use package intent.
//
// # When to claim
//
// A [Keeper] claims a resource for its instance if the instance ranks first among
// the live ones, and the resource was never held, was released, or its holder has
// been considered dead for [KeeperConfig].TakeoverAfter. The view of which instances
// are dead may be wrong; the only cost is a change of holder.
package claim
