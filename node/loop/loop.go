// Package loop runs work at intervals.
package loop

import (
	"context"
	"time"
)

// Every calls work immediately and then once per interval, until the context ends.
// It always returns nil. A call that takes longer than the interval delays the
// next one.
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

// Sleep waits for d or until the context ends.
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
