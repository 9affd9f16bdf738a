package config

// Audit keeps the last verdicts in order, for reports. It is no part of the
// fold's state: an instance that restored a snapshot has none from before. It
// is not safe for concurrent use.
type Audit struct {
	verdicts []Verdict // ring, oldest at head once full
	head     int
	bound    int
	total    uint64
}

// NewAudit returns an audit that keeps at most bound verdicts.
func NewAudit(bound int) *Audit {
	return &Audit{bound: max(bound, 1)}
}

// Add appends a verdict. The body of the section that a conflicting proposal
// lost against is left out; it stands in the document.
func (a *Audit) Add(verdict Verdict) {
	if verdict.Current != nil {
		current := *verdict.Current
		current.Body = nil
		verdict.Current = &current
	}
	a.total++
	if len(a.verdicts) < a.bound {
		a.verdicts = append(a.verdicts, verdict)
		return
	}
	a.verdicts[a.head] = verdict
	a.head = (a.head + 1) % a.bound
}

// Verdicts returns the verdicts kept, oldest first.
func (a *Audit) Verdicts() []Verdict {
	verdicts := make([]Verdict, 0, len(a.verdicts))
	verdicts = append(verdicts, a.verdicts[a.head:]...)
	return append(verdicts, a.verdicts[:a.head]...)
}

// Total returns the number of verdicts ever added.
func (a *Audit) Total() uint64 { return a.total }
