package outbox

import "time"

// Health is what the outbox can tell about the log. A call that needs the log
// is refused at once while it is not available.
type Health struct {
	// Available tells whether an entry added now can be expected to reach the
	// log without waiting for a recovery.
	Available bool
	// InFlightSince is the start of the append or read-back in flight; zero
	// if there is none.
	InFlightSince time.Time
	// ConsecutiveFailures counts failed calls since the last success.
	ConsecutiveFailures int
	// RetryAfter estimates when it is worth to ask again; 0 if available.
	RetryAfter time.Duration
}

// Health returns the present health. After a failure the log is available
// again once an append or read-back has succeeded, or, if the outbox holds
// nothing to try with, once the pause is over: the next entry is then the try.
func (o *Outbox) Health(now time.Time) Health {
	h := Health{ConsecutiveFailures: o.failures}
	if o.phase == appending || o.phase == reading {
		h.InFlightSince = o.since
	}
	switch {
	case o.failures > 0:
		h.RetryAfter = o.untilRetry(now)
		h.Available = o.Len() == 0 && h.RetryAfter == 0
	case o.stalled(now):
		h.RetryAfter = o.cfg.RetryCap
	default:
		h.Available = true
	}
	if !h.Available {
		h.RetryAfter = max(h.RetryAfter, o.cfg.RetryBase)
	}
	return h
}

func (o *Outbox) untilRetry(now time.Time) time.Duration {
	if o.phase != pausing {
		return 0
	}
	return max(o.resumeAt.Sub(now), 0)
}

func (o *Outbox) stalled(now time.Time) bool {
	inFlight := o.phase == appending || o.phase == reading
	return inFlight && o.cfg.StallAfter > 0 && now.Sub(o.since) >= o.cfg.StallAfter
}
