// Package config folds configuration proposals from the platform's log into the
// configuration in force, with the same result on every instance.
//
// # One document, many authors
//
// The configuration is one [Document] made of sections. An operator publishes a
// change by appending a [Proposal] that replaces one section and names the
// revision of the section that the author edited. [Fold] decides on each
// proposal at its position in the log: it is accepted if the section still has
// that revision and the whole document stays valid. If two operators change the
// same section concurrently, one proposal is accepted and the other conflicts;
// if they change different sections, both are accepted provided that the result
// is valid. Every instance that folded the same entries reaches the same
// verdicts, without a lock or a leader.
//
// # No reverts
//
// The revision of a document is the position of the proposal that produced it,
// so it never decreases. [Fold.Check] refuses a snapshot that lacks something
// that this instance has accepted. If a proposal is appended twice, the base of
// the second one is no longer current, so it changes nothing.
//
// # Removing a section
//
// A proposal whose body is null removes the section. The document keeps the
// revision of the removal in [Document.Removed], and a proposal that adds the
// section again must name that revision as its base; otherwise a late repeat of
// an old proposal could restore the section. [Document.Base] returns the base to
// name.
//
// # Bounds
//
// A proposal that cannot be decoded or exceeds a bound is [Malformed] or
// [Invalid] on every instance. The [Audit] keeps the verdict with its findings.
package config
