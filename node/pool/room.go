package pool

import (
	"time"

	"github.com/wigeonusher/wigeonusher/policy/route"
)

// waitingReportAge is the age above which a report of waiting requests does not count: they have
// been served, or a newer report of them has arrived.
const waitingReportAge = 1500 * time.Millisecond

// Room summarizes what the endpoints of a service have to do.
type Room struct {
	// Slots are those of the endpoints that take requests of this instance now, and AllSlots
	// those of all endpoints that are registered and not leaving.
	Slots, AllSlots int
	// Busy estimates the requests at the endpoints that take requests, running and waiting, and
	// Waiting is the number of requests that they have reported as waiting lately.
	Busy    float64
	Waiting int
}

// Room returns the room that the endpoints have now. Endpoints that are paused, rest, are cold or evacuated, have
// used up their limit or have turned a request away while brittle take none.
func (p *Pool) Room(now time.Time) Room {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.estimateLoads(now)
	brittle := p.isBrittle(now)
	var room Room
	for _, m := range p.members {
		if !m.record.Leaving && !m.unlisted {
			room.AllSlots += m.record.Slots
		}
	}
	for _, group := range p.byVersion {
		for i, m := range group.members {
			if m.record.Leaving || m.unlisted || p.members[m.record.ID] != m {
				continue
			}
			if m.evacuated || !m.isUsable(now) || m.isResting(now) || p.isCold(now, m) || brittle && m.isFull(now) || !p.limits.allow(now, m.record) {
				continue
			}
			room.Slots += m.record.Slots
			room.Busy += m.load()
			if candidate := group.candidates[i]; candidate.ReportAge <= waitingReportAge {
				room.Waiting += candidate.Queued
			}
		}
	}
	return room
}

// Rooms returns the room of each service that has endpoints.
func (p *Pools) Rooms(now time.Time) map[route.ServiceName]Room {
	p.mu.RLock()
	defer p.mu.RUnlock()
	rooms := make(map[route.ServiceName]Room)
	for name, service := range p.services {
		if room := service.Room(now); room.AllSlots > 0 {
			rooms[name] = room
		}
	}
	return rooms
}
