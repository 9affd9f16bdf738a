package pool

import (
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Probe is a due check of an endpoint, which must accept a connection before it
// gets requests again.
type Probe struct {
	pool    *Pool
	member  *member
	begun   time.Time
	Address string
}

// Probes returns the endpoints that are due for a probe, because their pause is
// over.
func (p *Pool) Probes(now time.Time) []Probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	var probes []Probe
	for _, m := range p.members {
		if (m.probing || m.isAway() && p.coldRule.Start > 0) && !m.record.Leaving && !now.Before(m.pausedUntil) {
			probes = append(probes, Probe{pool: p, member: m, begun: now, Address: m.record.Address})
		}
	}
	return probes
}

// Done records whether the endpoint accepted a connection.
func (p Probe) Done(now time.Time, reachable bool) {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	if reachable {
		p.member.probing = false
		p.pool.recordReturn(now, p.begun, p.member)
		p.pool.recordReached(p.begun)
		return
	}
	p.member.recordBroken(now)
	p.pool.recordOutage(now, p.member)
}

// ActiveSince reports whether an endpoint other than the given one has sent something to
// this instance since the given time.
func (p *Pool) ActiveSince(other platform.EndpointID, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, m := range p.members {
		if last := m.lastActivity.Load(); id != other && last >= since.UnixNano() && last != m.listedAt {
			return true
		}
	}
	return false
}

// Addresses returns the addresses of up to the given number of endpoints other than the
// given one, those that are not paused first.
func (p *Pool) Addresses(other platform.EndpointID, most int) []string {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var usable, paused []string
	for id, m := range p.members {
		switch {
		case id == other || m.record.Leaving:
		case m.isUsable(now):
			usable = append(usable, m.record.Address)
		default:
			paused = append(paused, m.record.Address)
		}
	}
	addresses := append(usable, paused...)
	return addresses[:min(most, len(addresses))]
}

// Lookup returns the last record of an endpoint. It reports false if the endpoint is not listed.
func (p *Pool) Lookup(id platform.EndpointID) (Record, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[id]
	if m == nil {
		return Record{}, false
	}
	return m.record, true
}

// ActiveSince reports whether an endpoint of any service, other than the given one, has sent
// something to this instance since the given time.
func (p *Pools) ActiveSince(other platform.EndpointID, since time.Time) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, service := range p.services {
		if service.ActiveSince(other, since) {
			return true
		}
	}
	return false
}

// Addresses returns the addresses of up to the given number of endpoints of the services to
// which the given endpoint does not belong.
func (p *Pools) Addresses(other platform.EndpointID, most int) []string {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var addresses []string
	for _, service := range p.services {
		if service != p.poolByEndpoint[other] {
			addresses = append(addresses, service.Addresses(other, most-len(addresses))...)
		}
	}
	return addresses
}
