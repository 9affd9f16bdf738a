package pool

import (
	"time"

	"github.com/wigeonusher/wigeonusher/coord/fleetlimit"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// Lease is a request's reservation at an endpoint. It must be released by
// [Lease.End].
type Lease struct {
	pool   *Pool
	member *member
	model  route.ModelName
	tokens int
	ended  bool
	// started is when the endpoint was chosen.
	started time.Time
	// LongPrompt reports that the prompt counts as long and that the endpoint is
	// reserved for such prompts.
	LongPrompt bool
	// Expected is what was expected when the endpoint was chosen. delay is how long the request waited, at
	// the usual pace.
	Expected Expectation
	delay    time.Duration
	// target is what was left of the latency objective, 0 if there is none.
	target time.Duration
	// Cold reports that the endpoint was still slow after its start, or counted as cold. permitted reports
	// that the choice took a permit for a cold endpoint.
	Cold      bool
	permitted bool
	// Leave is why the endpoint is of another zone; empty if it is not, or if the service's requests do
	// not stay in their zone.
	Leave LeaveReason
	// unqueued reports that the endpoint was expected to begin the request at once.
	unqueued bool
	// Endpoint is the registry's record at the time of the choice.
	Endpoint Record
	// Registration is what was known of the endpoint's registration at that time.
	Registration Registration
}

// Registration describes how an endpoint was known when a request was about to be sent
// to it.
type Registration struct {
	// ViewAge is the age of the instance's view of the registry.
	ViewAge time.Duration
	// Unlisted reports that the registry did not list the endpoint any more.
	Unlisted bool
}

// Result is the outcome of a request at an endpoint.
type Result int

// Results.
const (
	// Succeeded: the request got a complete answer.
	Succeeded Result = iota
	// Abandoned: the request ended before its answer was complete, because the client
	// disconnected or the time was up, which does not count against the endpoint.
	Abandoned
	// Failed: the endpoint answered with a failure.
	Failed
	// Full: the endpoint refused to run the request.
	Full
	// Replaced: the address belongs to another endpoint than the registry listed.
	Replaced
	// Broken: the request got no answer or an incomplete one.
	Broken
	// Unreached: no new connection to the endpoint could be made.
	Unreached
)

// RecordActivity records that the endpoint sent something.
func (l *Lease) RecordActivity() { l.member.lastActivity.Store(time.Now().UnixNano()) }

// LastActivity returns when the endpoint last sent something to this instance, or
// when it was listed if it has sent nothing.
func (l *Lease) LastActivity() time.Time { return time.Unix(0, l.member.lastActivity.Load()) }

// RecordReached records that the endpoint has answered.
func (l *Lease) RecordReached() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.member.easing = l.member.easing && l.member.isResting(l.started)
	l.pool.recordReached(l.started)
	l.pool.recordReturn(time.Now(), l.started, l.member)
}

// RecordLoad records the load that the endpoint reported with its answer.
func (l *Lease) RecordLoad(running, waiting int) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.pool.recordLoad(time.Now(), l.member, running, waiting)
}

// RecordLimit records what an answer says about the endpoint's limit. sent is when its
// request was about to be sent.
func (l *Lease) RecordLimit(statement fleetlimit.Statement, sent time.Time) {
	l.pool.limits.observe(time.Now(), l.Endpoint, statement, sent)
}

// RecordFirstEvent records the time to the first event, or to the complete answer
// if it is not a stream.
func (l *Lease) RecordFirstEvent(took time.Duration) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	usual := l.pool.expectedFirstEvent(l.model, l.tokens)
	if usual > 0 {
		l.member.recordLatency(float64(took) / float64(usual))
	}
	l.pool.learnFirstEvent(l.model, l.tokens, took)
	l.learnStart(took)
	l.learnDelay(took)
}

// RecordNoEvent records that no event arrived within the given time. If that time
// is longer than usual, it is recorded as the time to the first event, of which it
// is a lower bound.
func (l *Lease) RecordNoEvent(waited time.Duration) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	if waited > l.Expected.FirstEvent {
		l.learnDelay(waited)
	}
	if waited > l.pool.expectedFirstEvent(l.model, l.tokens) {
		l.pool.learnFirstEvent(l.model, l.tokens, waited)
	}
}

// End releases the lease and records the result. Further calls have no effect.
func (l *Lease) End(now time.Time, result Result) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	l.member.inFlight--
	l.pool.zones.end(now.Sub(l.started), l.unqueued && result == Succeeded)
	l.pool.loads.RecordCompletion(now, l.Endpoint.ID, 0, false)
	if result == Succeeded {
		l.pool.recordDuration(now.Sub(l.started))
		l.learnDuration(now.Sub(l.started))
	}
	switch result {
	case Succeeded:
		l.member.easing = false
		l.member.recordSuccess()
	case Failed:
		l.member.recordFailure()
	case Full:
		l.pool.recordRejection(now, l.member)
	case Replaced, Broken:
		l.member.recordBroken(now)
	case Unreached:
		l.member.recordBroken(now)
		l.pool.recordOutage(now, l.member)
		l.pool.recordUnreached(now, l.Endpoint.ID)
	case Abandoned:
	}
}
