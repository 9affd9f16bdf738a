package retry

import (
	"sync"
	"time"
)

// windowBuckets is the number of buckets of a window. All events of a bucket leave
// the window together.
const windowBuckets = 20

// WindowConfig configures a [Window].
type WindowConfig struct {
	// Length is the duration of the sliding window.
	Length time.Duration
	// Ratio is the number of retries allowed per request in the window, and Slack
	// the number allowed in addition.
	Ratio, Slack float64
	// Reserve is the part of Slack, in retries, that only urgent retries may use.
	Reserve float64
}

// Window bounds the retries in a sliding window by the requests in the window.
// Unlike a [Budget], it allows all retries that the window's requests permit at
// once, as needed when some of the endpoints crash, and carries nothing over beyond
// the window. If each of several instances has such a window with a part of the
// slack, the fleet as a whole stays within the bound with the total slack. Its
// methods may be called from several goroutines.
type Window struct {
	cfg WindowConfig

	mu sync.Mutex
	// There is one more bucket than the window has: retries in the oldest bucket,
	// which is only partly outside the window, still count.
	buckets [windowBuckets + 1]windowBucket
}

// windowBucket counts the events in one bucket of the window. Buckets are numbered
// consecutively from the Unix epoch.
type windowBucket struct {
	number            int64
	requests, retries float64
}

// NewWindow returns a window without requests or retries.
func NewWindow(cfg WindowConfig) *Window { return &Window{cfg: cfg} }

// SetBounds changes the ratio, the slack and the reserve when instances join or
// leave, or settings change. The length does not change, because the counts are
// bucketed by it.
func (w *Window) SetBounds(cfg WindowConfig) {
	w.mu.Lock()
	defer w.mu.Unlock()
	cfg.Length = w.cfg.Length
	w.cfg = cfg
}

// RecordRequest counts a request.
func (w *Window) RecordRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bucket(now).requests++
}

// Withdraw counts an ordinary retry if the window allows one, and reports whether it
// did. It does not use the reserve.
func (w *Window) Withdraw(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.withdraw(now, w.cfg.Reserve)
}

// WithdrawUrgent is like [Window.Withdraw], for a retry whose refusal costs more
// than that of other retries. It may use the reserve.
func (w *Window) WithdrawUrgent(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.withdraw(now, 0)
}

func (w *Window) withdraw(now time.Time, reserve float64) bool {
	if w.headroom(now)-reserve < 1 {
		return false
	}
	w.bucket(now).retries++
	return true
}

// Available returns the number of ordinary retries that are allowed now.
func (w *Window) Available(now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(0, w.headroom(now)-w.cfg.Reserve)
}

// AllowsUrgent reports whether [Window.WithdrawUrgent] would succeed now.
func (w *Window) AllowsUrgent(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.headroom(now) >= 1
}

// headroom returns the number of retries that are allowed now, including the
// reserve. The caller holds w.mu.
func (w *Window) headroom(now time.Time) float64 {
	newest := w.bucketNumber(now)
	requests, retries := 0.0, 0.0
	for _, bucket := range w.buckets {
		if bucket.number > newest-windowBuckets {
			requests += bucket.requests
		}
		if bucket.number >= newest-windowBuckets {
			retries += bucket.retries
		}
	}
	return w.cfg.Ratio*requests + w.cfg.Slack - retries
}

// bucketNumber returns the number of the bucket that contains the time.
func (w *Window) bucketNumber(now time.Time) int64 {
	return now.UnixNano() / int64(w.cfg.Length/windowBuckets)
}

// bucket returns the bucket of the current time, and resets it if it still holds
// the counts of an older one. The caller holds w.mu.
func (w *Window) bucket(now time.Time) *windowBucket {
	number := w.bucketNumber(now)
	const buckets = windowBuckets + 1
	bucket := &w.buckets[(number%buckets+buckets)%buckets]
	if bucket.number != number {
		*bucket = windowBucket{number: number}
	}
	return bucket
}
