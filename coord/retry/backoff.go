package retry

import "time"

// Random is a source of random numbers in [0, n).
type Random interface {
	Int64N(n int64) int64
}

// Backoff computes the waits before retries: exponential, with full jitter.
type Backoff struct {
	// Base bounds the first wait. The bound doubles with each further retry.
	Base time.Duration
	// Max bounds all waits.
	Max time.Duration
}

// Defaults of [Backoff], used for zero fields.
const (
	DefaultBase = 50 * time.Millisecond
	DefaultMax  = 2 * time.Second
)

// Wait returns the wait before the retry of the given number, counted from 0. The
// wait is uniformly distributed between 0 and the bound of that retry.
func (b Backoff) Wait(random Random, number int) time.Duration {
	return time.Duration(random.Int64N(int64(b.bound(number)) + 1))
}

// bound returns the longest wait before the retry of the given number.
func (b Backoff) bound(number int) time.Duration {
	base, limit := b.Base, b.Max
	if base <= 0 {
		base = DefaultBase
	}
	if limit <= 0 {
		limit = DefaultMax
	}
	for range number {
		if base >= limit/2 {
			return limit
		}
		base *= 2
	}
	return min(base, limit)
}
