package pool

import (
	"time"

	"github.com/wigeonusher/wigeonusher/policy/route"
)

// Lease is a request's place at an endpoint. It ends with exactly one call of
// [Lease.End].
type Lease struct {
	pool   *Pool
	member *member
	model  route.ModelName
	tokens int
	ended  bool
	// Long tells that the prompt counts as long.
	Long bool
	// Endpoint is the registry's record at the time of the choice.
	Endpoint Record
}

// Result tells how a request ended at an endpoint.
type Result int

// Results.
const (
	// Succeeded requests got a whole answer.
	Succeeded Result = iota
	// Abandoned requests were given up by this side: the endpoint is not to
	// blame.
	Abandoned
	// Failed requests got a failure as the endpoint's own answer.
	Failed
	// Full endpoints refused to run the request.
	Full
	// Replaced endpoints were not the ones that the registry listed.
	Replaced
	// Broken requests got no answer, or one that broke off.
	Broken
)

// Sign notes that the endpoint sent something.
func (l *Lease) Sign() { l.member.sign.Store(time.Now().UnixNano()) }

// LastSign returns when the endpoint last sent something to this instance, at
// first when it was listed.
func (l *Lease) LastSign() time.Time { return time.Unix(0, l.member.sign.Load()) }

// Reported takes in the load that the endpoint told with its answer.
func (l *Lease) Reported(running, waiting int) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.member.report(running, waiting)
}

// FirstEvent takes in the time to the first event or the whole answer.
func (l *Lease) FirstEvent(took time.Duration) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	usual := l.pool.expect(l.model, l.tokens)
	if usual > 0 {
		l.member.timed(float64(took) / float64(usual))
	}
	l.pool.learn(l.model, l.tokens, took)
}

// NoEvent takes in that no event came in a time: what such requests take is at
// least that, if it is more than usual.
func (l *Lease) NoEvent(waited time.Duration) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	if waited > l.pool.expect(l.model, l.tokens) {
		l.pool.learn(l.model, l.tokens, waited)
	}
}

// End gives the place back.
func (l *Lease) End(now time.Time, result Result) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	l.member.inFlight--
	switch result {
	case Succeeded:
		l.member.succeeded()
	case Failed:
		l.member.failed()
	case Full:
		l.member.fullUntil = now.Add(fullPause)
	case Replaced, Broken:
		l.member.broke(now)
	case Abandoned:
	}
}
