// Package config decides which configuration is in force, alike on every
// instance, by folding proposals from the platform's log.
//
// # One document, many owners
//
// The configuration is one [Document] made of sections. An operator publishes
// by appending a [Proposal] that replaces one section and names the revision
// of it that the author edited. [Fold] decides on every proposal where it
// stands in the log: it is accepted if the section still has that revision and
// the whole document stays valid. So two operators who race on one section get
// one acceptance and one conflict, two who race on different sections are both
// accepted if their edits are valid together, and every instance, having folded
// the same entries, says the same. There is no lock and no leader.
//
// # Never back
//
// The revision of a document is the position of the proposal that made it, so
// it only grows. [Fold.Check] refuses a snapshot that lacks something this
// instance has accepted. A proposal that is appended twice names a base that
// is no longer current the second time and changes nothing.
//
// # Removing a section
//
// A proposal whose body is null removes the section. The document keeps the
// revision of the removal in [Document.Removed], and a proposal that brings the
// section back must name it; otherwise a late repeat of an old proposal could
// bring it back. [Document.Base] gives the revision to name.
//
// # Bounds
//
// An entry that cannot be read, or exceeds a bound, is [Malformed] or
// [Invalid], everywhere alike, and stands in the [Audit] with its findings.
package config
