package pool

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

const (
	// doubtAfter is the number of endpoints that could not be reached, one after the other,
	// after which this instance checks its own path to the endpoints.
	doubtAfter = 3
	// pathProbes is the number of endpoints that one check probes, and pathCheckInterval the
	// time between the checks of a broken path.
	pathProbes        = 3
	pathCheckInterval = 200 * time.Millisecond
)

// path is what an instance knows of its own path to the endpoints of a service. Endpoints
// that cannot be reached one after the other, without one that can, may all be down, or the
// instance may be cut off from them: both look alike from here.
type path struct {
	// unreached holds the endpoints that could not be reached since the last one that was,
	// and since is when the first of them could not.
	unreached map[platform.EndpointID]struct{}
	since     time.Time
	// broken reports that a check has reached no endpoint either. checking reports that a
	// check runs, checkedAt when the last one began.
	broken, checking bool
	checkedAt        time.Time
}

// recordUnreached records that a new connection to an endpoint failed. The caller holds the
// lock.
func (p *Pool) recordUnreached(now time.Time, id platform.EndpointID) {
	if len(p.path.unreached) == 0 {
		p.path.unreached, p.path.since = make(map[platform.EndpointID]struct{}), now
	}
	p.path.unreached[id] = struct{}{}
}

// recordReached records that a connection begun at the given time has reached an endpoint. An
// older connection may go on while new ones fail. The caller holds the lock.
func (p *Pool) recordReached(begun time.Time) {
	if len(p.path.unreached) == 0 || begun.Before(p.path.since) {
		return
	}
	if p.path.broken {
		p.logPath("path to the endpoints of a service works again")
	}
	p.path = path{checking: p.path.checking, checkedAt: p.path.checkedAt}
}

// isInDoubt reports whether the path needs a check.
func (p *Pool) isInDoubt(now time.Time) bool {
	if p.path.checking || len(p.path.unreached) == 0 || len(p.path.unreached) < min(doubtAfter, len(p.members)) {
		return false
	}
	return !p.path.broken || now.Sub(p.path.checkedAt) >= pathCheckInterval
}

// PathCheck is a due check of the path to the endpoints of a service.
type PathCheck struct {
	pool      *Pool
	begun     time.Time
	Addresses []string
}

// PathChecks returns the checks that are due.
func (p *Pools) PathChecks(now time.Time) []PathCheck {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var checks []PathCheck
	for _, service := range p.services {
		if check, ok := service.pathCheck(now); ok {
			checks = append(checks, check)
		}
	}
	return checks
}

func (p *Pool) pathCheck(now time.Time) (PathCheck, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isInDoubt(now) {
		return PathCheck{}, false
	}
	p.path.checking, p.path.checkedAt = true, now
	var addresses []string
	for _, m := range p.members {
		if !m.record.Leaving {
			addresses = append(addresses, m.record.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return PathCheck{pool: p, begun: now, Addresses: addresses[:min(len(addresses), pathProbes)]}, true
}

// Done records whether the check has reached an endpoint.
func (c PathCheck) Done(reached bool) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.path.checking = false
	switch {
	case reached:
		c.pool.recordReached(c.begun)
	case !c.pool.path.broken && len(c.pool.path.unreached) > 0:
		c.pool.path.broken = true
		c.pool.logPath("path to the endpoints of a service is broken")
	}
}

func (p *Pool) logPath(message string) {
	if p.log == nil {
		return
	}
	p.log.WithFields(logrus.Fields{
		"service": p.service, "unreached": len(p.path.unreached), "endpoints": len(p.members),
		"since_ms": time.Since(p.path.since).Milliseconds(),
	}).Warn(message)
}

// IsPathBroken reports whether this instance reaches no endpoint of the service.
func (p *Pool) IsPathBroken() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.path.broken
}

// hasUnreachedAll reports whether as many endpoints could not be reached, one after the other, as
// put the path in doubt. The caller holds the lock.
func (p *Pool) hasUnreachedAll() bool {
	return len(p.path.unreached) > 0 && len(p.path.unreached) >= min(doubtAfter, len(p.members))
}

// IsPathInDoubt reports whether so many endpoints could not be reached, one after the other,
// that the path may be broken.
func (p *Pool) IsPathInDoubt() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hasUnreachedAll()
}

// ServiceCount returns the number of services with endpoints.
func (p *Pools) ServiceCount() int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	count := 0
	for _, service := range p.services {
		if service.count() > 0 {
			count++
		}
	}
	return count
}

// BrokenPaths returns the services of which this instance reaches no endpoint.
func (p *Pools) BrokenPaths() []route.ServiceName {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var broken []route.ServiceName
	for name, service := range p.services {
		if service.IsPathBroken() {
			broken = append(broken, name)
		}
	}
	return broken
}
