package pool

import (
	"time"

	"github.com/sirupsen/logrus"
)

// leavingMemory is how long an instance remembers that an endpoint has said that it leaves. An
// endpoint that leaves ends within it.
const leavingMemory = 10 * time.Minute

// leavings holds when endpoints have said that they leave, by their lifetime, also while they are
// not registered.
type leavings map[lifetime]time.Time

func (l leavings) expire(now time.Time) {
	for key, at := range l {
		if now.Sub(at) > leavingMemory {
			delete(l, key)
		}
	}
}

// RecordLeaving records that an answer of the endpoint says that it leaves. That is final in its
// lifetime, like the same statement in its registration, which may come later.
func (l *Lease) RecordLeaving(now time.Time) {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.member.record.Leaving {
		return
	}
	l.member.record.Leaving = true
	p.leavings.expire(now)
	if len(p.leavings) < maxRested {
		p.leavings[l.member.lifetime()] = now
	}
	if p.log != nil {
		p.log.WithFields(logrus.Fields{
			"service": p.service, "endpoint": l.Endpoint.ID, "born": l.Endpoint.Born,
		}).Info("endpoint says that it leaves")
	}
}
