package config

import (
	"encoding/json"

	"github.com/wigeonusher/wigeonusher/coord/finding"
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Kinds of entries of the configuration.
const (
	// KindProposal is the kind of a [Proposal].
	KindProposal platform.Kind = "config.proposal"
	// KindSnapshot is reserved. Snapshots of the stream are entries of
	// fold.KindSnapshot.
	KindSnapshot platform.Kind = "config.snapshot"
)

// Limits of the document.
const (
	// MaxSectionBytes bounds the body of one section.
	MaxSectionBytes = 512 << 10
	// MaxSections bounds the number of sections, including removed ones.
	MaxSections = 64
	// MaxDocumentBytes bounds the total size of the section bodies, so that the
	// state of the fold fits one snapshot record.
	MaxDocumentBytes = 600 << 10
	// MaxNameBytes bounds the names of sections and authors.
	MaxNameBytes = 256
	// MaxReasonBytes bounds a proposal's reason.
	MaxReasonBytes = 2 << 10
	// MaxFindings bounds the findings of one verdict.
	MaxFindings = 100
)

// SectionName names a section of the document.
type SectionName string

// Revision identifies an accepted proposal by the [platform.Position.Number] of
// its entry. The revision of a fold's document never decreases. 0 is the empty
// document.
type Revision uint64

// Proposal is a request to replace or remove one section of the document.
type Proposal struct {
	Section SectionName `json:"section"`
	// Base is the revision of the section that the author edited, see
	// [Document.Base]. The proposal conflicts if the section has another
	// revision.
	Base   Revision `json:"base"`
	Author string   `json:"author"`
	Reason string   `json:"reason,omitempty"`
	// Body replaces the section; null removes it.
	Body json.RawMessage `json:"body"`
}

// Section is the accepted content of one section.
type Section struct {
	Revision Revision        `json:"revision"`
	Author   string          `json:"author"`
	Reason   string          `json:"reason,omitempty"`
	Body     json.RawMessage `json:"body"`
}

// Document is the whole configuration at one revision. It is immutable once the
// fold returns it.
type Document struct {
	Revision Revision                `json:"revision"`
	Sections map[SectionName]Section `json:"sections"`
	// Removed holds the revisions of the removals of removed sections.
	Removed map[SectionName]Revision `json:"removed,omitempty"`
}

// Base returns the revision that a proposal for the section must name as its
// base: the revision of the section, or of its removal if it was removed, or 0 if
// the section never existed.
func (d *Document) Base(name SectionName) Revision {
	if section, ok := d.Sections[name]; ok {
		return section.Revision
	}
	return d.Removed[name]
}

// Validator checks a whole document and returns its findings. It must be a pure
// function of the document and the same on all instances.
type Validator func(*Document) finding.List

// Result is the outcome of a proposal.
type Result string

// Results of a proposal.
const (
	// Accepted marks a proposal that became part of the document.
	Accepted Result = "accepted"
	// Conflicted marks a proposal whose base is not the current revision of
	// the section.
	Conflicted Result = "conflicted"
	// Invalid marks a proposal that would have made the document invalid.
	Invalid Result = "invalid"
	// Malformed marks an entry whose body cannot be decoded or fails the checks
	// of [DecodeProposal].
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
	// Current is the current section if the proposal conflicted with one.
	Current *Section `json:"current,omitempty"`
}
