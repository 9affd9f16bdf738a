package pool

import "time"

const (
	// An attempt is overdue once it has shown no event for overdueFactor times the expected time, and for
	// minOverdue: expectations of a few milliseconds are exceeded by any other delay.
	overdueFactor = 3
	minOverdue    = 300 * time.Millisecond
	// overdueShare is the part of what was left of the objective that must have passed: an attempt that is
	// likely to be on time stays, as the work that its endpoint has begun would be lost.
	overdueShare = 1.0 / 3
	// restShare is the expected rest of the wait of an overdue attempt, relative to its wait so far. Waits in
	// a queue have a long tail: the longer one has been, the longer it is still expected to be.
	restShare = 0.5
	// soonerFactor is by how much sooner another endpoint must be expected to send the first event than
	// the rest of the wait.
	soonerFactor = 2
	// freeUse is the part of its slots in use up to which an endpoint may take over an attempt.
	freeUse = 0.75
)

// IsLate reports whether the attempt is well past the expected time of its first event. It is false for
// services that report no pace.
func (l *Lease) IsLate(now time.Time) bool {
	patience := max(minOverdue, overdueFactor*l.Expected.FirstEvent, time.Duration(overdueShare*float64(l.target)))
	return l.Expected.Pace > 0 && now.Sub(l.started) >= patience
}

// IsOverdue reports whether [Lease.IsLate] holds and other endpoints that the query allows are expected to
// send the first event much sooner than this one.
func (l *Lease) IsOverdue(now time.Time, query Query) bool {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if !l.IsLate(now) {
		return false
	}
	waited := now.Sub(l.started)
	limit := time.Duration(restShare / soonerFactor * float64(waited))
	p.estimateLoads(now)
	brittle := p.isBrittle(now)
	var usable []*member
	for _, m := range p.members {
		if m != l.member && query.accepts(m) && m.isUsable(now) && !m.isResting(now) && !m.isEasing() && !m.isFull(now) &&
			!p.isCold(now, m) && !brittle && p.limits.allow(now, m.record) {
			usable = append(usable, m)
		}
	}
	e := p.newEstimator(now, usable, query)
	sooner := 0
	for _, m := range usable {
		if situation := e.situation(m); situation.Use() <= freeUse && e.firstEvent(m) <= limit {
			sooner++
		}
	}
	// The next endpoint is chosen by load and pace, so more than one must be sooner unless there is only one.
	return sooner >= min(2, len(usable)) && sooner > 0
}
