package pool

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/fleetlimit"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// An endpoint that has started, or returned, is cold for a time: it fails if more than a few requests
// arrive in one second, of all instances together. While it counts as cold, each instance sends it
// only what its seats allow, see package fleetlimit.

const (
	// maxColdStart bounds the time for which an endpoint counts as cold after an event.
	maxColdStart = time.Hour
	// permitLifetime is how long after the choice of a cold endpoint the request may be written
	// without a new permit. Connecting may take longer, and the request would arrive beside later
	// ones. It is part of the delay that package fleetlimit allows for.
	permitLifetime = 50 * time.Millisecond
	// MaxColdReports bounds the reports about cold endpoints in one exchange with a peer.
	MaxColdReports = 8
	// maxReportedCold bounds what peers may report, which may be malformed.
	maxReportedCold = time.Minute
	// coldNews is how much longer than known an endpoint must be cold for a report to count.
	// Otherwise the delay of each report that is passed on would prolong the time again.
	coldNews = time.Second
)

// ColdRule is what the configuration says about the cold endpoints of a service.
type ColdRule struct {
	// Start is how long an endpoint counts as cold after it may have become so.
	Start time.Duration
	// PerSecond is the number of requests a second that a cold endpoint takes from all instances
	// together; 0 if cold endpoints take as much as others.
	PerSecond float64
}

// coldSends counts the requests to cold endpoints of all services. It is safe for concurrent use.
type coldSends struct {
	mu    sync.Mutex
	known *fleetlimit.Limits
	// sent counts the permits that were used, and withdrawn the requests that were not sent because
	// they had none.
	sent, withdrawn int64
}

// coldKey identifies an endpoint in all its lifetimes: instances learn of a new lifetime at
// different times, and must agree on the seats meanwhile.
func coldKey(record Record) fleetlimit.Key { return fleetlimit.Key{Endpoint: record.ID} }

// name makes the limit of a cold endpoint known. The caller holds the lock.
func (c *coldSends) name(now time.Time, key fleetlimit.Key, perSecond float64) {
	c.known.Observe(now, key, fleetlimit.Statement{Named: true, PerSecond: perSecond}, now)
}

func (c *coldSends) allow(now time.Time, key fleetlimit.Key, perSecond float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.name(now, key, perSecond)
	return c.known.Allows(now, key)
}

func (c *coldSends) take(now time.Time, key fleetlimit.Key, perSecond float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.name(now, key, perSecond)
	taken := c.known.Take(now, key)
	if taken {
		c.sent++
	}
	return taken
}

func (c *coldSends) wait(now time.Time, key fleetlimit.Key, perSecond float64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.name(now, key, perSecond)
	return c.known.Wait(now, key)
}

func (c *coldSends) setGroup(now time.Time, group fleetlimit.Group) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known.SetGroup(now, group)
}

func (c *coldSends) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known.Expire(now)
}

// isCold reports whether the endpoint takes only few requests now. The caller holds the lock.
func (p *Pool) isCold(now time.Time, m *member) bool {
	return p.coldRule.PerSecond > 0 && (now.Before(m.warmAt) || m.isAway() && p.coldRule.Start > 0)
}

// allows reports whether limits allow this instance a request to the endpoint now. The caller holds
// the lock, as for take and limitWait.
func (p *Pool) allows(now time.Time, m *member) bool {
	return p.limits.allow(now, m.record) &&
		(!p.isCold(now, m) || p.limits.cold.allow(now, coldKey(m.record), p.coldRule.PerSecond))
}

// take counts a request that is about to be sent, and reports whether limits allow it.
func (p *Pool) take(now time.Time, m *member) bool {
	return (!p.isCold(now, m) || p.limits.cold.take(now, coldKey(m.record), p.coldRule.PerSecond)) &&
		p.limits.take(now, m.record)
}

// limitWait returns the time until this instance may expect that limits allow it a request.
func (p *Pool) limitWait(now time.Time, m *member) time.Duration {
	wait := p.limits.wait(now, m.record)
	if p.isCold(now, m) {
		wait = max(wait, p.limits.cold.wait(now, coldKey(m.record), p.coldRule.PerSecond))
	}
	return wait
}

// hasPermit reports whether the request may be sent now although the endpoint may be cold. One that
// was chosen while the endpoint was warm, or too long ago, needs a new permit. The caller holds the
// lock of the pool.
func (l *Lease) hasPermit(now time.Time) bool {
	p, m := l.pool, l.member
	if current := p.members[l.Endpoint.ID]; current != nil {
		m = current // it may be in a new lifetime
	}
	if !p.isCold(now, m) || l.permitted && now.Sub(l.started) <= permitLifetime {
		return true
	}
	if p.limits.cold.take(now, coldKey(m.record), p.coldRule.PerSecond) {
		return true
	}
	p.limits.cold.mu.Lock()
	p.limits.cold.withdrawn++
	p.limits.cold.mu.Unlock()
	return false
}

// stayCold makes an endpoint count as cold until the given time. The caller holds the lock.
func (p *Pool) stayCold(now time.Time, m *member, until time.Time, reason string) {
	if !until.After(m.warmAt) || !until.After(now) {
		return
	}
	if p.coldRule.PerSecond > 0 && !p.isCold(now, m) && p.log != nil && reason != "" {
		p.log.WithFields(logrus.Fields{
			"service": p.service, "endpoint": m.record.ID, "reason": reason, "for_ms": until.Sub(now).Milliseconds(),
		}).Info("endpoint counts as cold")
	}
	m.warmAt = until
}

// recordOutage records that an endpoint could not be reached. It counts as cold until it is reached
// again, and for a time afterwards. The caller holds the lock, as for recordReturn.
func (p *Pool) recordOutage(now time.Time, m *member) {
	p.recordColdAfterOutage(now, m)
	m.unreachedAt = now
}

// recordReturn records that a connection begun at the given time has reached an endpoint. One that
// was begun before the outage does not end it.
func (p *Pool) recordReturn(now, begun time.Time, m *member) {
	if m.isAway() && !begun.Before(m.unreachedAt) {
		m.unreachedAt = time.Time{}
		p.recordColdAfterOutage(now, m)
	}
}

// isAway reports whether the endpoint has not been reached since a connection to it failed.
func (m *member) isAway() bool { return !m.unreachedAt.IsZero() }

func (p *Pool) recordColdAfterOutage(now time.Time, m *member) {
	if p.coldRule.Start <= 0 {
		return
	}
	until := now.Add(p.coldRule.Start)
	p.stayCold(now, m, until, "it could not be reached")
	if m.record.Zone == p.zone {
		m.tellColdUntil = until
	}
}

// RecordCold records that an answer of the endpoint says that it is cold for the given time.
func (l *Lease) RecordCold(now time.Time, left time.Duration) {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	until := now.Add(left)
	p.stayCold(now, l.member, until, "its answer says so")
	l.member.tellColdUntil = until
}

// ColdReport is what an instance tells its peers about an endpoint that it found cold.
type ColdReport struct {
	Endpoint platform.EndpointID
	// Left is how much longer the endpoint counts as cold.
	Left time.Duration
}

// ColdReports returns up to the given number of reports. An instance tells nothing of what all learn
// from the log, nor of endpoints of other zones that it could not reach, since it may be cut off from
// these zones, nor while its own path to the endpoints is in doubt.
func (p *Pools) ColdReports(now time.Time, most int) []ColdReport {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var reports []ColdReport
	for _, service := range p.services {
		reports = append(reports, service.coldReports(now, most-len(reports))...)
	}
	return reports
}

func (p *Pool) coldReports(now time.Time, most int) []ColdReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.coldRule.PerSecond <= 0 || p.path.broken || p.hasUnreachedAll() {
		return nil
	}
	var reports []ColdReport
	for id, m := range p.members { // in random order, so that all are told sooner or later
		if len(reports) >= most {
			break
		}
		if now.Before(m.tellColdUntil) {
			reports = append(reports, ColdReport{Endpoint: id, Left: m.tellColdUntil.Sub(now)})
		}
	}
	return reports
}

// MergeColds merges a peer's reports about cold endpoints.
func (p *Pools) MergeColds(now time.Time, reports []ColdReport) {
	for _, report := range reports {
		p.mu.RLock()
		owner := p.poolByEndpoint[report.Endpoint]
		p.mu.RUnlock()
		if owner != nil && report.Left > 0 {
			owner.mergeCold(now, report)
		}
	}
}

func (p *Pool) mergeCold(now time.Time, report ColdReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[report.Endpoint]
	until := now.Add(min(report.Left, maxReportedCold))
	if m == nil || p.coldRule.PerSecond <= 0 || until.Sub(m.warmAt) < coldNews {
		return
	}
	p.stayCold(now, m, until, "a peer says so")
	m.tellColdUntil = until
}

// SetColdRules sets what the configuration says about the cold endpoints of each service.
func (p *Pools) SetColdRules(now time.Time, rules map[route.ServiceName]ColdRule) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.coldRules = rules
	for name, service := range p.services {
		service.setColdRule(now, rules[name])
	}
}

func (p *Pool) setColdRule(now time.Time, rule ColdRule) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.coldRule == rule {
		return
	}
	p.coldRule = rule
	for _, m := range p.members {
		p.updateEvacuation(now, m)
	}
}

// ColdCount returns the number of endpoints that count as cold, and take few requests therefore.
func (p *Pools) ColdCount(now time.Time) int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	count := 0
	for _, service := range p.services {
		count += service.coldCount(now)
	}
	return count
}

func (p *Pool) coldCount(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, m := range p.members {
		if p.isCold(now, m) {
			count++
		}
	}
	return count
}

// ColdSends returns the number of requests to cold endpoints that had a permit, and of those that
// were not sent because they had none any more.
func (p *Pools) ColdSends() (sent, withdrawn int64) {
	p.limits.cold.mu.Lock()
	defer p.limits.cold.mu.Unlock()
	return p.limits.cold.sent, p.limits.cold.withdrawn
}

func (p *Pool) coldMillis(now time.Time, m *member) int64 {
	if !p.isCold(now, m) {
		return 0
	}
	return m.warmAt.Sub(now).Milliseconds()
}
