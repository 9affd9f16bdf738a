package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// evacuations holds the zones to whose endpoints nothing may be sent. A map is never modified once
// it is in use.
type evacuations struct {
	zones map[platform.Zone]struct{}
	// endedAt is when an evacuation has ended: the endpoints may have become cold shortly before.
	endedAt map[platform.Zone]time.Time
}

func (e evacuations) has(zone platform.Zone) bool {
	_, evacuated := e.zones[zone]
	return evacuated
}

// SetEvacuated sets the zones to whose endpoints nothing may be sent. Requests in progress there
// continue. A zone without known endpoints is remembered: they may be listed later.
func (p *Pools) SetEvacuated(now time.Time, zones []platform.Zone) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(zones) == 0 && len(p.evacuations.zones) == 0 {
		return
	}
	next := evacuations{zones: make(map[platform.Zone]struct{}, len(zones)), endedAt: make(map[platform.Zone]time.Time)}
	for _, zone := range zones {
		next.zones[zone] = struct{}{}
		if !p.evacuations.has(zone) {
			p.logEvacuation(zone, "zone is evacuated")
		}
	}
	for zone, at := range p.evacuations.endedAt {
		if now.Sub(at) < maxColdStart && !next.has(zone) {
			next.endedAt[zone] = at
		}
	}
	for zone := range p.evacuations.zones {
		if !next.has(zone) {
			next.endedAt[zone] = now
			p.logEvacuation(zone, "evacuation of a zone has ended")
		}
	}
	if maps.Equal(next.zones, p.evacuations.zones) {
		return
	}
	p.setEvacuations(now, next)
}

func (p *Pools) logEvacuation(zone platform.Zone, message string) {
	endpoints := 0
	for _, service := range p.services {
		endpoints += service.countIn(zone)
	}
	p.log.WithFields(logrus.Fields{"zone": zone, "endpoints": endpoints}).Info(message)
}

// EvacuatedZones returns the zones to whose endpoints nothing may be sent, sorted.
func (p *Pools) EvacuatedZones() []platform.Zone {
	p.mu.RLock()
	defer p.mu.RUnlock()
	zones := slices.Sorted(maps.Keys(p.evacuations.zones))
	if zones == nil {
		zones = []platform.Zone{}
	}
	return zones
}

func (p *Pool) countIn(zone platform.Zone) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, m := range p.members {
		if m.record.Zone == zone {
			count++
		}
	}
	return count
}

func (p *Pool) setEvacuations(now time.Time, next evacuations) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuations = next
	for _, m := range p.members {
		p.updateEvacuation(now, m)
	}
}

// updateEvacuation brings the member up to date after a change of the evacuated zones or of its
// record. The caller holds the lock.
func (p *Pool) updateEvacuation(now time.Time, m *member) {
	m.evacuated = p.evacuations.has(m.record.Zone)
	if endedAt, ok := p.evacuations.endedAt[m.record.Zone]; ok && p.coldRule.Start > 0 {
		p.stayCold(now, m, endedAt.Add(p.coldRule.Start), "")
	}
}

// IsEvacuated reports whether evacuations, and nothing else, leave no endpoint for the query.
func (p *Pool) IsEvacuated(query Query) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := false
	for _, m := range p.members {
		switch {
		case query.accepts(m):
			return false
		case m.evacuated && query.allows(m):
			found = true
		}
	}
	return found
}

// ZoneReturn is the end of the evacuation of a zone.
type ZoneReturn struct {
	Zone platform.Zone
	// Age is the time since the end.
	Age time.Duration
}

// MaxZoneReturns bounds the ends of evacuations in one exchange with a peer, and returnMemory is how
// long an end is told.
const (
	MaxZoneReturns = 4
	returnMemory   = 15 * time.Second
)

// ZoneReturns returns up to the given number of ends of evacuations, for peers: one that has just
// started finds neither the order nor its end in the log.
func (p *Pools) ZoneReturns(now time.Time, most int) []ZoneReturn {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var returns []ZoneReturn
	for zone, at := range p.evacuations.endedAt {
		if age := now.Sub(at); age < returnMemory && len(returns) < most {
			returns = append(returns, ZoneReturn{Zone: zone, Age: max(0, age)})
		}
	}
	return returns
}

// MergeZoneReturns merges what a peer tells about ends of evacuations. Of a zone whose last end is
// known, it changes nothing.
func (p *Pools) MergeZoneReturns(now time.Time, returns []ZoneReturn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, told := range returns {
		at := now.Add(-told.Age)
		known, isKnown := p.evacuations.endedAt[told.Zone]
		if told.Age < 0 || told.Age >= returnMemory || p.evacuations.has(told.Zone) || isKnown && at.Sub(known) < returnMemory {
			continue
		}
		next := evacuations{zones: p.evacuations.zones, endedAt: maps.Clone(p.evacuations.endedAt)}
		if next.endedAt == nil {
			next.endedAt = make(map[platform.Zone]time.Time)
		}
		if len(next.endedAt) >= maxReturns {
			return
		}
		next.endedAt[told.Zone] = at
		p.setEvacuations(now, next)
	}
}

// maxReturns bounds the ends of evacuations that are remembered; a deployment has some tens of zones.
const maxReturns = 256

// setEvacuations tells all services. The caller holds the lock.
func (p *Pools) setEvacuations(now time.Time, next evacuations) {
	p.evacuations = next
	for _, service := range p.services {
		service.setEvacuations(now, next)
	}
}
