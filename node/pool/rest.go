package pool

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// An endpoint that turns a request away may ask this instance for rest. It then gets nothing of
// this instance until the time is over: it is neither full, where other requests could still be
// tried, nor failed. After the rest, one request at a time goes there until one has been
// accepted, so that what has waited does not come at once.

// maxRested bounds the endpoints whose rest is remembered beyond their registration.
const maxRested = 4096

// lifetime identifies one lifetime of an endpoint.
type lifetime struct {
	id   platform.EndpointID
	born int64
}

// rests holds the ends of rests by the lifetime of the endpoint, also while it is not registered.
type rests map[lifetime]time.Time

func (r rests) expire(now time.Time) {
	for key, until := range r {
		if !now.Before(until) {
			delete(r, key)
		}
	}
}

func (m *member) lifetime() lifetime { return lifetime{id: m.record.ID, born: m.record.Born} }

func (m *member) isResting(now time.Time) bool { return now.Before(m.restUntil) }

// isEasing reports whether the endpoint has a request after its rest that it may turn away.
func (m *member) isEasing() bool { return m.easing && m.inFlight > 0 }

// RecordRest records that the endpoint wants no request of this instance for a time. A shorter
// rest than the current one does not end it earlier: its answer may be the older one.
func (l *Lease) RecordRest(now time.Time, rest time.Duration) {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	until := now.Add(rest)
	if !until.After(l.member.restUntil) {
		return
	}
	if !l.member.isResting(now) && p.log != nil {
		p.log.WithFields(logrus.Fields{
			"service": p.service, "endpoint": l.Endpoint.ID, "born": l.Endpoint.Born, "rest_ms": rest.Milliseconds(),
		}).Info("endpoint asks for rest")
	}
	l.member.restUntil, l.member.easing = until, true
	p.rests.expire(now)
	if len(p.rests) < maxRested {
		p.rests[l.member.lifetime()] = until
	}
}

// MaySend reports whether the endpoint still takes the request. It is asked once more when a
// request is about to be written: the endpoint may have asked for rest, or said that it leaves,
// or its zone may have been evacuated, or it may have become cold, since it was chosen.
func (l *Lease) MaySend(now time.Time) bool {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return !l.member.isResting(now) && !l.member.record.Leaving &&
		!l.pool.evacuations.has(l.member.record.Zone) && l.hasPermit(now)
}

// RestWait returns the time until the first of the endpoints that the query allows ends its rest,
// and reports whether all of them rest.
func (p *Pool) RestWait(now time.Time, query Query) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var shortest time.Duration
	for _, m := range p.members {
		if !query.accepts(m) {
			continue
		}
		if !m.isResting(now) {
			return 0, false
		}
		if wait := m.restUntil.Sub(now); shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest, shortest > 0
}
