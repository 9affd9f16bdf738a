package admission

import "time"

const (
	// minRetryAfter is the minimum of [Refusal.RetryAfter].
	minRetryAfter = 100 * time.Millisecond
	// retryShare is the share of the capacity available to retrying callers.
	retryShare = 0.25
)

// retrySchedule spreads the retries of refused callers over time.
type retrySchedule struct {
	// limit bounds the wait before a retry.
	limit time.Duration
	// bookedUntil is the time up to which retries are booked.
	bookedUntil time.Time
	// slots is the last number of slots that was at least 1, so that retries stay spread
	// during an outage.
	slots float64
}

func (s *retrySchedule) setSlots(slots float64) {
	if slots >= 1 {
		s.slots = slots
	}
}

// book reserves capacity for the retry of a request with the given expected slot time,
// and returns the wait until the retry. The argument late is the minimum wait, unless
// the limit is lower.
func (s *retrySchedule) book(now time.Time, late, expected time.Duration) time.Duration {
	earliest := now.Add(late)
	if s.bookedUntil.Before(earliest) {
		s.bookedUntil = earliest
	}
	wait := min(s.limit, s.bookedUntil.Sub(now))
	capacity := retryShare * max(1, s.slots)
	s.bookedUntil = s.bookedUntil.Add(scale(expected, 1/capacity))
	if latest := now.Add(s.limit); s.bookedUntil.After(latest) {
		s.bookedUntil = latest
	}
	return wait
}
