package config

import (
	"encoding/json"
	"maps"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Fold turns the control stream into the document in force. It is
// deterministic: equal entries in equal order give equal documents and equal
// verdicts. It is not safe for concurrent use.
type Fold struct {
	validate Validator
	next     platform.Offset
	document *Document
}

// NewFold returns a fold of the empty document, at the start of the stream.
func NewFold(validate Validator) *Fold {
	return &Fold{
		validate: validate,
		next:     1,
		document: &Document{Sections: map[SectionName]Section{}},
	}
}

// Next returns the offset of the record that the fold wants next.
func (f *Fold) Next() platform.Offset { return f.next }

// Document returns the document in force. Callers must not modify it.
func (f *Fold) Document() *Document { return f.document }

// Apply folds the entries of one record and returns a verdict for each that
// concerns the configuration. Records below [Fold.Next] are ignored.
func (f *Fold) Apply(offset platform.Offset, entries []platform.Entry) []Verdict {
	if offset < f.next {
		return nil
	}
	f.next = offset + 1
	var verdicts []Verdict
	for i, entry := range entries {
		if entry.Kind != KindProposal {
			continue
		}
		position := platform.Position{Offset: offset, Index: i}
		verdicts = append(verdicts, f.applyProposal(position, entry))
	}
	return verdicts
}

func (f *Fold) applyProposal(position platform.Position, entry platform.Entry) Verdict {
	verdict := Verdict{EntryID: entry.ID, Revision: f.document.Revision, Result: Malformed}
	var proposal Proposal
	if err := json.Unmarshal(entry.Body, &proposal); err != nil || proposal.Section == "" {
		return verdict
	}
	verdict.Section = proposal.Section
	verdict.Author = proposal.Author
	verdict.Reason = proposal.Reason
	current, exists := f.document.Sections[proposal.Section]
	if current.Revision != proposal.Base {
		verdict.Result = Conflicted
		if exists {
			verdict.Current = &current
		}
		return verdict
	}
	candidate := f.with(proposal, Revision(position.Number()))
	if findings := f.validate(candidate); len(findings) > 0 {
		verdict.Result = Invalid
		verdict.Findings = findings
		return verdict
	}
	f.document = candidate
	verdict.Result = Accepted
	verdict.Revision = candidate.Revision
	return verdict
}

func (f *Fold) with(proposal Proposal, revision Revision) *Document {
	sections := maps.Clone(f.document.Sections)
	sections[proposal.Section] = Section{
		Revision: revision,
		Author:   proposal.Author,
		Reason:   proposal.Reason,
		Body:     proposal.Body,
	}
	return &Document{Revision: revision, Sections: sections}
}
