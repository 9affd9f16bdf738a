// Package check holds a run's history against the promises that the router
// makes to its users.
//
// The history is what callers saw, what endpoints ran, and what the log holds.
// [Judge] folds it into a [Table]: figures, and for each promise the breaches
// found. It trusts no counter of the router itself.
package check
