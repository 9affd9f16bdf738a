package pool

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/fleetlimit"
)

// limits holds the limits that endpoints of all services name. It is safe for concurrent
// use.
type limits struct {
	log *logrus.Entry
	// cold counts the requests to cold endpoints.
	cold coldSends

	mu    sync.Mutex
	known *fleetlimit.Limits
}

func newLimits(log *logrus.Entry) *limits {
	return &limits{log: log, known: fleetlimit.New(), cold: coldSends{known: fleetlimit.NewForArrivals()}}
}

func limitKey(record Record) fleetlimit.Key {
	return fleetlimit.Key{Endpoint: record.ID, Born: record.Born}
}

func (l *limits) allow(now time.Time, record Record) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known.Len() == 0 || l.known.Allows(now, limitKey(record))
}

func (l *limits) take(now time.Time, record Record) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known.Take(now, limitKey(record))
}

func (l *limits) wait(now time.Time, record Record) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known.Wait(now, limitKey(record))
}

func (l *limits) observe(now time.Time, record Record, statement fleetlimit.Statement, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known.Observe(now, limitKey(record), statement, sent) {
		l.logChange(limitKey(record), statement, "answer")
	}
}

func (l *limits) expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known.Expire(now)
	l.cold.expire(now)
}

func (l *limits) logChange(key fleetlimit.Key, statement fleetlimit.Statement, source string) {
	log := l.log.WithFields(logrus.Fields{"endpoint": key.Endpoint, "born": key.Born, "source": source})
	if !statement.Named {
		log.Info("endpoint names no limit any more")
		return
	}
	log.WithField("per_second", statement.PerSecond).Info("endpoint names a limit")
}

// SetLimitGroup sets the instances that share the limits of endpoints, and the slots of
// brittle ones.
func (p *Pools) SetLimitGroup(now time.Time, group fleetlimit.Group) {
	p.limits.mu.Lock()
	p.limits.known.SetGroup(now, group)
	p.limits.mu.Unlock()
	p.limits.cold.setGroup(now, group)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.group != nil && p.group.Equal(group) {
		return
	}
	p.group = &group
	for _, service := range p.services {
		service.setGroup(p.group)
	}
}

// LimitReports returns up to the given number of reports about limits for a peer.
func (p *Pools) LimitReports(now time.Time, most int) []fleetlimit.Report {
	p.limits.mu.Lock()
	defer p.limits.mu.Unlock()
	return p.limits.known.Reports(now, most)
}

// MergeLimits merges a peer's reports about limits.
func (p *Pools) MergeLimits(now time.Time, reports []fleetlimit.Report) {
	p.limits.mu.Lock()
	defer p.limits.mu.Unlock()
	for _, report := range reports {
		if p.limits.known.Merge(now, report) {
			p.limits.logChange(report.Key, report.Statement, "peer")
		}
	}
}

// LimitedCount returns the number of endpoints that name a limit or did so lately.
func (p *Pools) LimitedCount() int {
	p.limits.mu.Lock()
	defer p.limits.mu.Unlock()
	return p.limits.known.Len()
}
