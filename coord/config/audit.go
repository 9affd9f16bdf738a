package config

// Audit keeps the most recent verdicts in order, for reports. It is not part of
// the fold's state: after a restore it lacks the verdicts on the entries that
// the snapshot covers. It is not safe for concurrent use.
type Audit struct {
	verdicts []Verdict // ring; once full, the oldest verdict is at index oldest
	oldest   int
	capacity int
	total    uint64
}

// NewAudit returns an audit that keeps at most capacity verdicts, at least one.
func NewAudit(capacity int) *Audit {
	return &Audit{capacity: max(capacity, 1)}
}

// Add appends a verdict and evicts the oldest one if the audit is full. It omits
// the body of [Verdict.Current], which is in the document.
func (a *Audit) Add(verdict Verdict) {
	if verdict.Current != nil {
		current := *verdict.Current
		current.Body = nil
		verdict.Current = &current
	}
	a.total++
	if len(a.verdicts) < a.capacity {
		a.verdicts = append(a.verdicts, verdict)
		return
	}
	a.verdicts[a.oldest] = verdict
	a.oldest = (a.oldest + 1) % a.capacity
}

// Verdicts returns the kept verdicts, oldest first.
func (a *Audit) Verdicts() []Verdict {
	verdicts := make([]Verdict, 0, len(a.verdicts))
	verdicts = append(verdicts, a.verdicts[a.oldest:]...)
	return append(verdicts, a.verdicts[:a.oldest]...)
}

// Total returns the number of verdicts added so far, including evicted ones.
func (a *Audit) Total() uint64 { return a.total }
