package outbox

import "time"

// Health is the state of the log as observed by the outbox. Calls that need the
// log are refused at once while it is unavailable.
type Health struct {
	// Available reports whether an entry added now is expected to reach the
	// log without waiting for a recovery.
	Available bool
	// InFlightSince is the start of the append or read-back in flight; zero
	// if there is none.
	InFlightSince time.Time
	// ConsecutiveFailures counts failed appends and read-backs since an append
	// last succeeded or a read-back last found all entries that may be in the
	// log.
	ConsecutiveFailures int
	// RetryAfter estimates the delay until the log is available; 0 if it is.
	RetryAfter time.Duration
}

// Health returns the current health. After a failure the log is available again
// once an append has succeeded, or a read-back has found all entries that may be
// in it. An outbox without entries cannot retry. It reports the log as available
// once the retry delay has passed, and the next entry probes it.
func (o *Outbox) Health(now time.Time) Health {
	h := Health{ConsecutiveFailures: o.failures}
	if o.phase == appending || o.phase == reading {
		h.InFlightSince = o.callStarted
	}
	switch {
	case o.failures > 0:
		h.RetryAfter = o.remainingBackOff(now)
		h.Available = o.Len() == 0 && h.RetryAfter == 0
	case o.isStalled(now):
		h.RetryAfter = o.cfg.RetryCap
	default:
		h.Available = true
	}
	if !h.Available {
		h.RetryAfter = max(h.RetryAfter, o.cfg.RetryBase)
	}
	return h
}

func (o *Outbox) remainingBackOff(now time.Time) time.Duration {
	if o.phase != backingOff {
		return 0
	}
	return max(o.resumeAt.Sub(now), 0)
}

func (o *Outbox) isStalled(now time.Time) bool {
	inFlight := o.phase == appending || o.phase == reading
	return inFlight && o.cfg.StallAfter > 0 && now.Sub(o.callStarted) >= o.cfg.StallAfter
}
