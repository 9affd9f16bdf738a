package relay

import (
	"context"
	"time"

	"github.com/wigeonusher/wigeonusher/policy/route"
)

const (
	// firstBackoff and longestBackoff bound the pause before an attempt that continues
	// an answer; it doubles with each pause.
	firstBackoff   = 100 * time.Millisecond
	longestBackoff = 400 * time.Millisecond
	// By their protocol, clients abandon a stream that brings no event for the longest
	// of minAbandonment, abandonTargetFactor times the latency objective and
	// abandonGapFactor times the longest allowed pause.
	minAbandonment      = 2 * time.Second
	abandonTargetFactor = 4
	abandonGapFactor    = 8
)

// backoff is the state of a request that waits for an endpoint to continue its
// answer.
type backoff struct {
	// lastEventAt is when the client got the last event.
	lastEventAt time.Time
	// pauses and rejections count the pauses and the calls that were not executed
	// since then.
	pauses, rejections int
}

// recordEvent records that the client has got an event.
func (b *backoff) recordEvent(at time.Time) { *b = backoff{lastEventAt: at} }

// next returns the pause before the next attempt, 0 if the client is assumed to leave
// before its end or the deadline leaves too little time after it.
func (b *backoff) next(now, deadline time.Time, rt *route.Route) time.Duration {
	abandoned := b.lastEventAt.Add(max(minAbandonment, abandonTargetFactor*rt.TargetLatency, abandonGapFactor*rt.TargetGap))
	pause := min(longestBackoff, firstBackoff<<min(b.pauses, 8))
	end := now.Add(pause)
	if end.After(abandoned) || end.Add(minRemaining).After(deadline) {
		return 0
	}
	return pause
}

// waitForEndpoint pauses before the next attempt, or until the context ends. It
// reports false, without a pause, if the request is not worth holding: nothing of the
// answer was sent, so that the client can be told to retry, the route cannot resume
// the answer, or too little time is left.
func (r *run) waitForEndpoint(ctx context.Context) bool {
	rt := r.permission.Route
	if !r.headSent || !r.canResume(rt) {
		return false
	}
	pause := r.backoff.next(time.Now(), r.deadline, rt)
	if pause == 0 {
		return false
	}
	r.backoff.pauses++
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return true
}
