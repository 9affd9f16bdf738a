// Package capacity estimates the processor, memory, network and log costs of
// each role of an instance at the size that the design targets.
//
// The estimate extrapolates measured slopes of two kinds. The parts that work
// all the time (membership, digests, polls, followers) are measured on idle
// fleets of real instances in this process, at several sizes: bytes, processor
// time and heap per instance are fitted to a constant, a cost per peer of the
// zone, and a cost per other zone. The stand-ins share the process, so processor
// time and heap are upper bounds. The parts that work per request or per change of
// the configuration, and the handling of demands in digests, are measured by
// benchmarks.
package capacity
