package config

import (
	"bytes"
	"encoding/json"
	"maps"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Fold builds the document in force from the control stream. It implements
// fold.Part and fold.Checker: equal entries in equal order produce equal
// documents and equal verdicts. It is not safe for concurrent use.
type Fold struct {
	validate  Validator
	onVerdict func(Verdict)
	document  *Document
}

// NewFold returns a fold with the empty document. onVerdict, if not nil, is
// called with the verdict on every entry of [KindProposal].
func NewFold(validate Validator, onVerdict func(Verdict)) *Fold {
	if onVerdict == nil {
		onVerdict = func(Verdict) {}
	}
	return &Fold{
		validate:  validate,
		onVerdict: onVerdict,
		document: &Document{
			Sections: map[SectionName]Section{},
			Removed:  map[SectionName]Revision{},
		},
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

// Check implements fold.Checker. The errors are [ErrMalformedSnapshot] and
// [ErrWouldRevert].
func (f *Fold) Check(snapshot json.RawMessage) error {
	document, err := f.decodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	return f.document.checkSuccessor(document)
}

// Restore implements fold.Part. The error is [ErrMalformedSnapshot].
func (f *Fold) Restore(snapshot json.RawMessage) error {
	document, err := f.decodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	f.document = document
	return nil
}

func (f *Fold) applyProposal(position platform.Position, entry platform.Entry) Verdict {
	verdict := Verdict{
		EntryID:  entry.ID,
		Position: position,
		Result:   Malformed,
		Revision: f.document.Revision,
	}
	proposal, findings := DecodeProposal(entry.Body)
	if len(findings) > 0 {
		verdict.Findings = findings
		return verdict
	}
	verdict.Section = proposal.Section
	verdict.Author = proposal.Author
	verdict.Reason = proposal.Reason
	if f.document.Base(proposal.Section) != proposal.Base {
		verdict.Result = Conflicted
		if current, exists := f.document.Sections[proposal.Section]; exists {
			verdict.Current = &current
		}
		return verdict
	}
	candidate := f.document.withProposal(proposal, Revision(position.Number()))
	if findings := f.check(candidate); len(findings) > 0 {
		verdict.Result = Invalid
		verdict.Findings = findings[:min(len(findings), MaxFindings)]
		return verdict
	}
	f.document = candidate
	verdict.Result = Accepted
	verdict.Revision = candidate.Revision
	return verdict
}

// withProposal returns a copy of the document with the proposal applied at the
// revision.
func (d *Document) withProposal(proposal Proposal, revision Revision) *Document {
	next := &Document{
		Revision: revision,
		Sections: maps.Clone(d.Sections),
		Removed:  maps.Clone(d.Removed),
	}
	if proposal.isRemoval() {
		delete(next.Sections, proposal.Section)
		next.Removed[proposal.Section] = revision
		return next
	}
	delete(next.Removed, proposal.Section)
	next.Sections[proposal.Section] = Section{
		Revision: revision,
		Author:   proposal.Author,
		Reason:   proposal.Reason,
		Body:     proposal.Body,
	}
	return next
}

// isRemoval reports whether the proposal removes its section.
func (p Proposal) isRemoval() bool { return bytes.Equal(p.Body, []byte("null")) }
