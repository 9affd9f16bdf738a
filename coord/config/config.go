package config

import (
	"encoding/json"

	"github.com/wigeonusher/wigeonusher/coord/finding"
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Kinds of entries that the fold understands.
const (
	// KindProposal is the kind of a [Proposal].
	KindProposal platform.Kind = "config.proposal"
	// KindSnapshot is the kind of a [Snapshot].
	KindSnapshot platform.Kind = "config.snapshot"
)

// Limits of the document.
const (
	// MaxSectionBytes bounds the body of one section.
	MaxSectionBytes = 512 << 10
	// MaxSections bounds the number of sections.
	MaxSections = 64
)

// SectionName names a section of the document.
type SectionName string

// Revision numbers accepted proposals: the [platform.Position.Number] of the
// proposal's entry. Revisions of a fold only grow. 0 is the empty document.
type Revision uint64

// Proposal asks to replace one section of the document.
type Proposal struct {
	Section SectionName `json:"section"`
	// Base is the revision of the section that the author edited. The
	// proposal is accepted only while the section still has it.
	Base   Revision        `json:"base"`
	Author string          `json:"author"`
	Reason string          `json:"reason,omitempty"`
	Body   json.RawMessage `json:"body"`
}

// Section is one section in force.
type Section struct {
	Revision Revision        `json:"revision"`
	Author   string          `json:"author"`
	Reason   string          `json:"reason,omitempty"`
	Body     json.RawMessage `json:"body"`
}

// Document is the whole configuration at one revision. It is never modified
// after it was published.
type Document struct {
	Revision Revision                `json:"revision"`
	Sections map[SectionName]Section `json:"sections"`
}

// Validator checks a whole document and returns all that is wrong with it. It
// must be a pure function of the document, equal on all instances.
type Validator func(*Document) finding.List

// Result says what became of a proposal.
type Result string

// Results of a proposal.
const (
	// Accepted proposals are in force.
	Accepted Result = "accepted"
	// Conflicted proposals named a base that was no longer current.
	Conflicted Result = "conflicted"
	// Invalid proposals would have made the document invalid.
	Invalid Result = "invalid"
	// Malformed entries could not be read.
	Malformed Result = "malformed"
)

// Verdict is the fold's decision on one entry, the same on every instance.
type Verdict struct {
	EntryID  string       `json:"entry_id"`
	Section  SectionName  `json:"section"`
	Author   string       `json:"author"`
	Reason   string       `json:"reason,omitempty"`
	Result   Result       `json:"result"`
	Revision Revision     `json:"revision"` // of the document after the entry
	Findings finding.List `json:"findings,omitempty"`
	// Current is the section that a conflicting proposal lost against.
	Current *Section `json:"current,omitempty"`
}
