package config

import (
	"encoding/json"
	"maps"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Fold turns the control stream into the document in force. It implements
// fold.Part: equal entries in equal order give equal documents and equal
// verdicts.
type Fold struct {
	validate  Validator
	onVerdict func(Verdict)
	document  *Document
}

// NewFold returns a fold of the empty document. onVerdict, if not nil, is
// called for every entry that concerns the configuration.
func NewFold(validate Validator, onVerdict func(Verdict)) *Fold {
	if onVerdict == nil {
		onVerdict = func(Verdict) {}
	}
	return &Fold{
		validate:  validate,
		onVerdict: onVerdict,
		document:  &Document{Sections: map[SectionName]Section{}},
	}
}

// Name implements fold.Part.
func (f *Fold) Name() string { return "config" }

// Document returns the document in force. Callers must not modify it.
func (f *Fold) Document() *Document { return f.document }

// Apply implements fold.Part.
func (f *Fold) Apply(position platform.Position, entry platform.Entry) {
	if entry.Kind != KindProposal {
		return
	}
	f.onVerdict(f.applyProposal(position, entry))
}

// Snapshot implements fold.Part.
func (f *Fold) Snapshot() (json.RawMessage, error) {
	snapshot, err := json.Marshal(f.document)
	return snapshot, eris.Wrap(err, "config: encode snapshot")
}

// Restore implements fold.Part.
func (f *Fold) Restore(snapshot json.RawMessage) error {
	var document Document
	if err := json.Unmarshal(snapshot, &document); err != nil {
		return eris.Wrap(err, "config: decode snapshot")
	}
	if document.Sections == nil {
		document.Sections = map[SectionName]Section{}
	}
	f.document = &document
	return nil
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
