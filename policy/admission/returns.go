package admission

import "time"

const (
	// minRetryAfter is the least wait that a refused caller is told.
	minRetryAfter = 100 * time.Millisecond
	// returnShare is the part of the capacity that returning callers may take.
	returnShare = 0.25
)

// returnSchedule spreads the returns of refused callers.
type returnSchedule struct {
	limit time.Duration
	// booked is the time up to which returns are booked.
	booked time.Time
	// slots is the number of slots, during an outage that of before.
	slots float64
}

func (s *returnSchedule) resize(slots float64) {
	if slots >= 1 {
		s.slots = slots
	}
}

// next books the return of a request of the expected work, not before late,
// and returns the wait until then.
func (s *returnSchedule) next(now time.Time, late, expected time.Duration) time.Duration {
	earliest := now.Add(late)
	if s.booked.Before(earliest) {
		s.booked = earliest
	}
	wait := min(s.limit, s.booked.Sub(now))
	capacity := returnShare * max(1, s.slots)
	s.booked = s.booked.Add(scale(expected, 1/capacity))
	if latest := now.Add(s.limit); s.booked.After(latest) {
		s.booked = latest
	}
	return wait
}
