// Package capacity measures what the roles of an instance cost, and works out
// from these slopes what they make of an instance at the size to design for.
//
// Two kinds of slopes are measured. Those of the parts that work all the time
// (membership, digests, polls, followers) come from fleets of real instances in
// this process, idle, at several sizes: bytes, processor time and heap per
// instance are fitted to a constant, a part per peer of the zone, and a part
// per other zone. The stand-ins share the process, so processor time and heap
// are upper bounds. Those of the parts that work per request come from
// benchmarks of the parts themselves.
package capacity
