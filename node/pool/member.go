package pool

import (
	"sync/atomic"
	"time"
)

// What an endpoint's outcomes do to its standing.
const (
	// outcomeWeight is the weight of the newest outcome in the smoothed rates.
	outcomeWeight = 0.15
	// firstPause and longestPause bound how long an endpoint that broke off or
	// could not be reached is left alone; the pause doubles with each failure.
	firstPause   = 250 * time.Millisecond
	longestPause = 3 * time.Second
	// slowest bounds how much slower than the pool an endpoint is taken for, so
	// that it still gets requests that show it fast again.
	slowest = 8.0
	// fullPause is how long an endpoint that refused a request as full counts
	// as full.
	fullPause = 100 * time.Millisecond
)

// member is one endpoint of a pool.
type member struct {
	record Record
	// longRank orders the endpoints for long prompts, alike on all instances.
	longRank uint64
	// inFlight counts this instance's requests at the endpoint.
	inFlight int
	// reported is what the endpoint last reported of running and waiting requests,
	// and ownThen this instance's requests at that moment.
	reported int
	ownThen  int
	known    bool
	// failing is the smoothed share of failed requests.
	failing float64
	// slowness is the smoothed ratio of first-event times to the pool's.
	slowness float64
	streak   int
	// pausedUntil and fullUntil end the times without new requests.
	pausedUntil time.Time
	fullUntil   time.Time
	// readingUntil is when the endpoint is through with the long prompts that
	// are known.
	readingUntil time.Time
	// probing tells that the endpoint is asked for a connection before it gets
	// requests again.
	probing bool
	// sign is when the endpoint last sent something, in Unix nanoseconds.
	sign atomic.Int64
}

// load estimates the requests at the endpoint now: its last report, moved by
// what this instance has begun and ended since.
func (m *member) load() float64 {
	if !m.known {
		return float64(m.inFlight)
	}
	return float64(max(m.inFlight, m.reported+m.inFlight-m.ownThen))
}

// cost is the load, made larger by failures and slowness.
func (m *member) cost() float64 {
	const failureCost = 6 // a failed request costs a retry and a wait
	return (m.load() + 1) * (1 + failureCost*m.failing) * max(1, m.slowness)
}

func (m *member) report(running, waiting int) {
	m.reported, m.ownThen, m.known = running+waiting, m.inFlight, true
}

func (m *member) succeeded() {
	m.streak = 0
	m.pausedUntil = time.Time{}
	m.probing = false
	m.failing -= outcomeWeight * m.failing
}

func (m *member) failed() { m.failing += outcomeWeight * (1 - m.failing) }

// broke notes that the endpoint could not be reached or broke off.
func (m *member) broke(now time.Time) {
	m.failed()
	pause := min(longestPause, firstPause<<min(m.streak, 8))
	m.streak++
	m.pausedUntil = now.Add(pause)
	m.probing = true
}

func (m *member) usable(now time.Time) bool {
	return !m.record.Leaving && !m.probing && !now.Before(m.pausedUntil)
}

func (m *member) full(now time.Time) bool { return now.Before(m.fullUntil) }

func (m *member) timed(ratio float64) {
	ratio = min(slowest, ratio)
	if m.slowness == 0 {
		m.slowness = 1
	}
	m.slowness += outcomeWeight * (ratio - m.slowness)
}
