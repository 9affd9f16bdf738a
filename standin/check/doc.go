// Package check holds a run's history against the invariants that the router
// makes to its users.
//
// The history is what callers saw, what endpoints ran, and what the log holds.
// [Evaluate] folds it into a [Table]: figures, and for each invariant the violations
// found. It trusts no counter of the router itself.
package check
