package pool

import (
	"sync/atomic"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/fleetlimit"
	"github.com/wigeonusher/wigeonusher/policy/placement"
)

// Parameters of the health and load of an endpoint.
const (
	// outcomeWeight is the weight of the newest outcome in the moving averages.
	outcomeWeight = 0.15
	// firstPause and longestPause bound how long an endpoint gets no requests after
	// recordBroken; the pause doubles with each consecutive call.
	firstPause   = 250 * time.Millisecond
	longestPause = 3 * time.Second
	// maxSlowness bounds the slowness of an endpoint, so that it still gets
	// requests that can show that it has become fast again.
	maxSlowness = 8.0
	// fullPause is how long an endpoint counts as full after it refused a request.
	fullPause = 100 * time.Millisecond
)

// member is one endpoint of a pool.
type member struct {
	record Record
	// slowUntil is when the endpoint is no longer slow after its start. warmAt is when it is neither that
	// nor cold for another reason, and tellColdUntil the same for the reasons of which peers are told.
	slowUntil, warmAt, tellColdUntil time.Time
	// unlisted reports that the registration is gone and the endpoint is kept.
	unlisted bool
	// evacuated reports that nothing may be sent to the endpoint because of its zone.
	evacuated bool
	// longRank orders the endpoints for long prompts, identically on all
	// instances.
	longRank uint64
	// inFlight counts this instance's requests at the endpoint.
	inFlight int
	// running and waiting are the numbers of requests that the endpoint last reported to this
	// instance, at reportedAt; the zero time if it has reported none.
	running, waiting int
	reportedAt       time.Time
	// pace is what the endpoint has reported to this instance and its peers. invalidPace reports that it
	// has reported an impossible one.
	pace        placement.Pace
	invalidPace bool
	// reportedPace is the pace that it last reported to this instance, in hundredths; 0 if none.
	reportedPace int
	// change is how far its last report to this instance was from what was expected.
	change float64
	// remote estimates the requests of other instances at the endpoint.
	remote placement.RemoteLoad
	// failureRate is the moving average of the fraction of failed requests.
	failureRate float64
	// paceFactor is how much longer work is expected to take at the endpoint than at the mean of the
	// service; 0 if endpoints of the service report no pace.
	paceFactor float64
	// slowness is the moving average of this endpoint's time to the first event,
	// divided by the pool's usual time; 0 before the first measurement.
	slowness float64
	// consecutiveFailures counts the calls of recordBroken since the last success.
	consecutiveFailures int
	// pausedUntil is the end of the pause after a failure, and fullUntil that of
	// the time in which the endpoint counts as full.
	pausedUntil time.Time
	fullUntil   time.Time
	// rejections are the times of the known rejections while the endpoint is brittle,
	// ownRejections counts those of this instance since its last success, and seats is this instance's share of its slots in the group seatsOf.
	rejections    []time.Time
	ownRejections int
	seats         int
	seatsOf       *fleetlimit.Group
	// restUntil is the end of the rest that the endpoint has asked this instance for. easing
	// reports that it has accepted no request since.
	restUntil time.Time
	easing    bool
	// explored is the last window in which it was decided whether this instance may explore
	// the endpoint.
	explored int64
	// readingUntil is when the endpoint is expected to have read all known long
	// prompts.
	readingUntil time.Time
	// probing reports that the endpoint must accept a connection before it gets
	// requests again.
	probing bool
	// unreachedAt is when a connection to the endpoint last failed, the zero time once it has been
	// reached again.
	unreachedAt time.Time
	// lastActivity is when the endpoint last sent something, in Unix nanoseconds;
	// initially listedAt, when it was listed.
	lastActivity *atomic.Int64
	listedAt     int64
}

// cost returns the load, increased by failures and slowness. The pace that the endpoint reports says more
// about its slowness than the times to the first event, which grow with the load too.
func (m *member) cost() float64 {
	const failureCost = 6 // a failed request costs a retry and its delay
	slowness := max(1, m.slowness)
	if m.paceFactor > 0 {
		slowness = m.paceFactor
	}
	return (m.load() + 1) * (1 + failureCost*m.failureRate) * slowness
}

func (m *member) recordSuccess() {
	m.consecutiveFailures, m.ownRejections = 0, 0
	m.pausedUntil = time.Time{}
	m.probing = false
	m.failureRate -= outcomeWeight * m.failureRate
}

func (m *member) recordFailure() { m.failureRate += outcomeWeight * (1 - m.failureRate) }

// recordBroken records that the endpoint could not be reached, sent no complete
// answer or was replaced by another one, and pauses it.
func (m *member) recordBroken(now time.Time) {
	m.recordFailure()
	pause := min(longestPause, firstPause<<min(m.consecutiveFailures, 8))
	m.consecutiveFailures++
	m.pausedUntil = now.Add(pause)
	m.probing = true
}

func (m *member) isUsable(now time.Time) bool {
	return !m.record.Leaving && !m.probing && !now.Before(m.pausedUntil)
}

func (m *member) isFull(now time.Time) bool { return now.Before(m.fullUntil) }

func (m *member) recordLatency(ratio float64) {
	ratio = min(maxSlowness, ratio)
	if m.slowness == 0 {
		m.slowness = 1
	}
	m.slowness += outcomeWeight * (ratio - m.slowness)
}
