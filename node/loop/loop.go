// Package loop repeats work at an interval.
package loop

import (
	"context"
	"time"
)

// Every does the work at once and then at the interval, until the context ends.
// Work that takes longer than the interval delays the next.
func Every(ctx context.Context, interval time.Duration, work func(now time.Time)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	work(time.Now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			work(now)
		}
	}
}

// Sleep waits, at most until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
