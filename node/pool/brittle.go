package pool

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/fleetlimit"
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Endpoints may be brittle: one that has to reject more than a few requests a second, of all
// instances together, for want of room fails. Rejections then cost more than a request that is
// refused at once, so the instances tell each other of each, and none sends to an endpoint
// that may be full.
const (
	// brittleMemory is how long endpoints count as brittle without an answer.
	brittleMemory = 30 * time.Second
	// rejectionWindow is the time in which the rejections of a brittle endpoint count, and
	// maxKnownRejections bounds those that are remembered.
	rejectionWindow    = time.Second
	maxKnownRejections = 64
	// brittlePause is how long an endpoint gets nothing of an instance whose request it has
	// rejected, twice as long after each further one, up to the window, and spread by half of
	// it in both directions.
	brittlePause = 100 * time.Millisecond
	// The instances share the slots of a brittle endpoint. One that uses its share may use
	// others too while few requests are rejected and, by a report not older than
	// reportMemory, at most spareFraction of the slots are used. Older reports say little, and
	// only another request brings a newer one.
	spareFraction = 0.34
	reportMemory  = 100 * time.Millisecond
	// spareRejections is the fraction of the rejections that an endpoint bears, from which on
	// instances keep to their shares.
	spareRejections = 0.5
)

// Brittleness is what an answer says about the brittleness of its endpoint.
type Brittleness struct {
	// Named reports that the endpoint is brittle. PerSecond is the number of requests a second
	// that it may reject.
	Named     bool
	PerSecond float64
}

// brittleness is what a pool knows of the brittleness of its endpoints.
type brittleness struct {
	Brittleness
	// toldAt is when an answer last told it.
	toldAt time.Time
}

// isBrittle reports whether the endpoints of the pool are brittle. The caller holds the lock.
func (p *Pool) isBrittle(now time.Time) bool {
	return p.brittle.Named && now.Sub(p.brittle.toldAt) <= brittleMemory
}

// RecordBrittleness records what an answer says about its endpoint, and so about all of the
// service. sent is when its request was about to be sent.
func (l *Lease) RecordBrittleness(told Brittleness, sent time.Time) {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if !told.Named && sent.Before(p.brittle.toldAt) {
		return
	}
	now := time.Now()
	if told.Named != p.isBrittle(now) && p.log != nil {
		p.log.WithFields(logrus.Fields{
			"service": p.service, "endpoint": l.Endpoint.ID, "brittle": told.Named, "rejections_per_second": told.PerSecond,
		}).Info("brittleness of endpoints changed")
	}
	p.brittle = brittleness{Brittleness: told, toldAt: now}
}

// recordRejection records that an endpoint had no room. The caller holds the lock.
func (p *Pool) recordRejection(now time.Time, m *member) {
	if !p.isBrittle(now) {
		m.fullUntil = now.Add(fullPause)
		return
	}
	m.recordBrittleRejection(now)
	m.ownRejections++
	if until := now.Add(spread(min(rejectionWindow, brittlePause<<min(m.ownRejections-1, 8)))); until.After(m.fullUntil) {
		m.fullUntil = until
	}
	if p.onBrittleRejection != nil {
		p.onBrittleRejection(m.record.ID)
	}
}

// recordBrittleRejection records a rejection of a brittle endpoint, of this instance or
// another one.
func (m *member) recordBrittleRejection(now time.Time) {
	if len(m.rejections) < maxKnownRejections {
		m.rejections = append(m.rejections, now)
	}
}

// spread returns a random duration between a half and one and a half times the given one.
func spread(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// recentRejections returns the number of known rejections within the window.
func (m *member) recentRejections(now time.Time) int {
	m.rejections = slices.DeleteFunc(m.rejections, func(at time.Time) bool { return now.Sub(at) >= rejectionWindow })
	return len(m.rejections)
}

// hasNoRoom reports whether a brittle endpoint may reject another request of this instance.
// The caller holds the lock.
func (p *Pool) hasNoRoom(now time.Time, m *member) bool {
	if m.isFull(now) {
		return true
	}
	rejections, bearable := float64(m.recentRejections(now)), p.brittle.PerSecond
	if p.group == nil {
		return rejections > 0 || m.inFlight > 0 // the shares are not known yet
	}
	if m.inFlight < p.seats(m) {
		return rejections >= max(1, bearable-1)
	}
	if rejections >= max(1, spareRejections*bearable) {
		return true
	}
	if now.Sub(m.reportedAt) <= reportMemory {
		return m.load() >= spareFraction*float64(m.record.Slots)
	}
	return !p.mayExplore(now, m)
}

// mayExplore reports whether this instance is one of the few in the fleet that may send a
// request to an endpoint of whose load it knows nothing. They change with each window. The
// caller holds the lock.
func (p *Pool) mayExplore(now time.Time, m *member) bool {
	window := now.UnixNano() / int64(rejectionWindow)
	if m.explored == window || m.inFlight > 0 {
		return false
	}
	key := limitKey(m.record)
	key.Endpoint += platform.EndpointID("#" + strconv.FormatInt(window, 10))
	m.explored = window
	return p.group.SeatsOf(key, int(max(1, spareRejections*p.brittle.PerSecond))) > 0
}

// seats returns this instance's share of the endpoint's slots. The caller holds the lock.
func (p *Pool) seats(m *member) int {
	if m.seatsOf != p.group {
		m.seatsOf, m.seats = p.group, 0
		if p.group != nil {
			m.seats = p.group.SeatsOf(limitKey(m.record), m.record.Slots)
		}
	}
	return m.seats
}

// OnBrittleRejection registers a function that is called when a brittle endpoint has rejected
// a request of this instance. notify is called with the pool locked. It must be called before
// the first request.
func (p *Pools) OnBrittleRejection(notify func(endpoint platform.EndpointID)) {
	p.onBrittleRejection = notify
}

// RecordPeerRejection pauses a brittle endpoint that has rejected a request of a peer.
func (p *Pools) RecordPeerRejection(now time.Time, id platform.EndpointID) {
	p.mu.RLock()
	owner := p.poolByEndpoint[id]
	p.mu.RUnlock()
	if owner == nil {
		return
	}
	owner.mu.Lock()
	defer owner.mu.Unlock()
	m := owner.members[id]
	if m == nil {
		return
	}
	m.recordBrittleRejection(now)
}

// setGroup sets the instances that share the slots of brittle endpoints.
func (p *Pool) setGroup(group *fleetlimit.Group) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.group = group
}

// BrittleWait returns the time until one of the brittle endpoints that the query allows may
// have room, and reports whether the want of room, and nothing else, keeps this instance from
// sending to them.
func (p *Pool) BrittleWait(now time.Time, query Query) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isBrittle(now) {
		return 0, false
	}
	wait, found := rejectionWindow, false
	for _, m := range p.members {
		if !query.accepts(m) || !m.isUsable(now) {
			continue
		}
		found = true
		wait = min(wait, max(fullPause, m.fullUntil.Sub(now)))
	}
	return wait, found
}
