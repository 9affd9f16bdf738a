package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/finding"
)

// Errors of snapshots.
var (
	// ErrMalformedSnapshot reports a snapshot that cannot be decoded or whose
	// document is not valid.
	ErrMalformedSnapshot = eris.New("config: malformed snapshot")
	// ErrWouldRevert reports a snapshot that lacks or changes something that
	// the fold has accepted.
	ErrWouldRevert = eris.New("config: snapshot would revert the configuration")
)

// DecodeProposal decodes and checks the body of an entry of [KindProposal]. It
// returns all findings that do not depend on the document. The body of the
// returned proposal is in canonical form, so that equal documents have equal
// bytes.
func DecodeProposal(body json.RawMessage) (Proposal, finding.List) {
	var proposal Proposal
	var findings finding.List
	if err := json.Unmarshal(body, &proposal); err != nil {
		findings.Add("", "cannot be decoded: "+err.Error(), "publish with the operators' tool")
		return Proposal{}, findings
	}
	checkName(&findings, "/section", string(proposal.Section))
	checkName(&findings, "/author", proposal.Author)
	if len(proposal.Reason) > MaxReasonBytes {
		findings.Add("/reason", fmt.Sprintf("exceeds %d bytes", MaxReasonBytes), "shorten it")
	}
	if len(proposal.Body) == 0 {
		findings.Add("/body", "is missing", "write null to remove the section")
		return proposal, findings
	}
	canonical, err := json.Marshal(proposal.Body)
	if err != nil {
		findings.Add("/body", "is not JSON", "")
	}
	if len(canonical) > MaxSectionBytes {
		findings.Add("/body", fmt.Sprintf("exceeds %d bytes", MaxSectionBytes), "split the section")
	}
	proposal.Body = canonical
	return proposal, findings
}

func checkName(findings *finding.List, path, name string) {
	switch {
	case strings.TrimSpace(name) == "":
		findings.Add(path, "must not be empty", "")
	case len(name) > MaxNameBytes:
		findings.Add(path, fmt.Sprintf("exceeds %d bytes", MaxNameBytes), "shorten it")
	}
}

// check returns the findings on a document: those on its bounds, or those of
// the validator if it is within the bounds.
func (f *Fold) check(document *Document) finding.List {
	findings := document.checkBounds()
	if len(findings) > 0 {
		return findings
	}
	return f.validate(document)
}

func (d *Document) checkBounds() finding.List {
	var findings finding.List
	if count := len(d.Sections) + len(d.Removed); count > MaxSections {
		findings.Add("", fmt.Sprintf("%d sections exceed the limit of %d", count, MaxSections), "merge sections")
	}
	total := 0
	for _, section := range d.Sections {
		total += len(section.Body)
	}
	if total > MaxDocumentBytes {
		findings.Add("", fmt.Sprintf("%d bytes exceed the limit of %d", total, MaxDocumentBytes), "shorten the document")
	}
	return findings
}

// decodeSnapshot decodes a document and checks the invariants that hold for
// every document built by the fold.
func (f *Fold) decodeSnapshot(snapshot json.RawMessage) (*Document, error) {
	var document Document
	if err := json.Unmarshal(snapshot, &document); err != nil {
		return nil, eris.Wrap(ErrMalformedSnapshot, err.Error())
	}
	if document.Sections == nil {
		document.Sections = map[SectionName]Section{}
	}
	if document.Removed == nil {
		document.Removed = map[SectionName]Revision{}
	}
	findings := document.checkStructure()
	if len(findings) == 0 {
		findings = f.check(&document)
	}
	if len(findings) > 0 {
		return nil, eris.Wrap(ErrMalformedSnapshot, findings.Error())
	}
	return &document, nil
}

// checkStructure checks the names, revisions, authors and bodies of a decoded
// document.
func (d *Document) checkStructure() finding.List {
	var findings finding.List
	newest := Revision(0)
	for name, section := range d.Sections {
		path := "/sections/" + string(name)
		checkName(&findings, path, string(name))
		checkName(&findings, path+"/author", section.Author)
		checkRevision(&findings, path, section.Revision)
		if !json.Valid(section.Body) || len(section.Body) > MaxSectionBytes {
			findings.Add(path+"/body", "is not a JSON value within the limit", "")
		}
		newest = max(newest, section.Revision)
	}
	for name, revision := range d.Removed {
		checkName(&findings, "/removed/"+string(name), string(name))
		checkRevision(&findings, "/removed/"+string(name), revision)
		if _, inForce := d.Sections[name]; inForce {
			findings.Add("/removed/"+string(name), "is in force as well", "")
		}
		newest = max(newest, revision)
	}
	if newest != d.Revision {
		findings.Add("/revision", "is not that of the newest section", "")
	}
	return findings
}

func checkRevision(findings *finding.List, path string, revision Revision) {
	if revision == 0 {
		findings.Add(path+"/revision", "must not be 0", "")
	}
}

// checkSuccessor returns an error if the next document would revert this one:
// if its revision is lower, if a section or removal of this document is older or
// missing in it, or if a section differs at the same revision.
func (d *Document) checkSuccessor(next *Document) error {
	if next.Revision < d.Revision {
		return eris.Wrapf(ErrWouldRevert, "snapshot at revision %d, document at %d", next.Revision, d.Revision)
	}
	for name, section := range d.Sections {
		if next.Base(name) < section.Revision {
			return eris.Wrapf(ErrWouldRevert, "section %s is older or missing", name)
		}
		successor, ok := next.Sections[name]
		if next.Base(name) == section.Revision && (!ok || !bytes.Equal(successor.Body, section.Body)) {
			return eris.Wrapf(ErrWouldRevert, "section %s differs at revision %d", name, section.Revision)
		}
	}
	for name, revision := range d.Removed {
		_, inForce := next.Sections[name]
		if next.Base(name) < revision || next.Base(name) == revision && inForce {
			return eris.Wrapf(ErrWouldRevert, "removal of section %s is older or missing", name)
		}
	}
	return nil
}
