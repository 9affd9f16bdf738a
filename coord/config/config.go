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
	// KindSnapshot is reserved. Snapshots of the whole stream are entries of
	// fold.KindSnapshot.
	KindSnapshot platform.Kind = "config.snapshot"
)

// Limits of the document.
const (
	// MaxSectionBytes bounds the body of one section.
	MaxSectionBytes = 512 << 10
	// MaxSections bounds the number of sections, those removed included.
	MaxSections = 64
	// MaxDocumentBytes bounds the bodies of all sections together, so that
	// the state of the fold fits a snapshot record.
	MaxDocumentBytes = 600 << 10
	// MaxNameBytes bounds a section's name and an author's.
	MaxNameBytes = 256
	// MaxReasonBytes bounds a proposal's reason.
	MaxReasonBytes = 2 << 10
	// MaxFindings bounds the findings of one verdict.
	MaxFindings = 100
)

// SectionName names a section of the document.
type SectionName string

// Revision numbers accepted proposals: the [platform.Position.Number] of the
// proposal's entry. Revisions of a fold only grow. 0 is the empty document.
type Revision uint64

// Proposal asks to replace one section of the document.
type Proposal struct {
	Section SectionName `json:"section"`
	// Base is the revision of the section that the author edited, see
	// [Document.Base]. The proposal is accepted only while it is current.
	Base   Revision `json:"base"`
	Author string   `json:"author"`
	Reason string   `json:"reason,omitempty"`
	// Body replaces the section; null removes it.
	Body json.RawMessage `json:"body"`
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
	// Removed holds the revisions of removals of sections not in force.
	Removed map[SectionName]Revision `json:"removed,omitempty"`
}

// Base returns the revision that a proposal for the section must name as its
// base: that of the section in force, of its removal, or 0.
func (d *Document) Base(name SectionName) Revision {
	if section, ok := d.Sections[name]; ok {
		return section.Revision
	}
	return d.Removed[name]
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
	EntryID  string            `json:"entry_id"`
	Position platform.Position `json:"position"`
	Section  SectionName       `json:"section"`
	Author   string            `json:"author"`
	Reason   string            `json:"reason,omitempty"`
	Result   Result            `json:"result"`
	Revision Revision          `json:"revision"` // of the document after the entry
	Findings finding.List      `json:"findings,omitempty"`
	// Current is the section that a conflicting proposal lost against.
	Current *Section `json:"current,omitempty"`
}
