// Package check checks the history of a run against the invariants that the
// router guarantees to its users.
//
// The history consists of what callers observed, what endpoints ran, and the
// records in the log. [Evaluate] computes a [Table] from it: figures, and the
// violations of each invariant. It uses no counter of the router itself.
package check
