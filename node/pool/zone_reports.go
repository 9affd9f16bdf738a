package pool

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

const (
	// MaxZoneLoads bounds the states of zones in one exchange with a peer: at the size to design for,
	// 22 instances and 17 zones, they take 2 KB/s of the 18 KB/s that an instance may use for control.
	MaxZoneLoads = 3
	// maxDemandPeers, maxToldZones and maxDemandServices bound what is kept and told.
	maxDemandPeers    = 128
	maxToldZones      = 64
	maxDemandServices = 8
	// demandLifetime is how long the demand of a peer counts after it last told it.
	demandLifetime = 4 * time.Second
	// rateLead is the part of the lag by which the rate of a zone is extrapolated. More makes noise
	// stronger than it makes waves earlier.
	rateLead = 1
	// zoneLoadLifetime is how long the state of a zone is kept and passed on.
	zoneLoadLifetime = 8 * time.Second
)

// ZoneDemand is the mean number of one instance's requests to a service per second, and the mean of this
// mean, with the same time constant.
type ZoneDemand struct {
	Service       route.ServiceName
	Rate, Earlier float64
}

type toldDemand struct {
	ZoneDemand
	at time.Time
}

// ZoneLoad is the state of a zone's endpoints of a service, as an instance of that zone has told it.
type ZoneLoad struct {
	Service route.ServiceName
	Zone    platform.Zone
	// Slots is the number of slots that can be used, and Load the number of requests there.
	Slots, Load float64
	// Rate is the number of requests of the zone's clients per second, and Wanted the part that the zone
	// wants to run elsewhere.
	Rate, Wanted float64
	// FirstEvent is the expected time to the first event.
	FirstEvent, Age time.Duration
}

func (l ZoneLoad) isPossible() bool {
	return isFigure(l.Slots) && isFigure(l.Load) && isFigure(l.Rate) && isFigure(l.Wanted) && l.FirstEvent >= 0 && l.Age >= 0
}

type toldLoad struct {
	ZoneLoad
	at time.Time
}

func (t toldLoad) age(now time.Time) time.Duration { return max(0, now.Sub(t.at)) }

func compareZones(a, b platform.Zone) int { return cmp.Compare(a, b) }

// ZoneDemands returns the demand of this instance, for the peers of its zone.
func (p *Pools) ZoneDemands(now time.Time) []ZoneDemand {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var demands []ZoneDemand
	for name, service := range p.services {
		service.mu.Lock()
		if rate, earlier := service.zones.rates(now); service.tellsZones() && len(demands) < maxDemandServices {
			demands = append(demands, ZoneDemand{Service: name, Rate: rate, Earlier: earlier})
		}
		service.mu.Unlock()
	}
	return demands
}

// tellsZones reports whether peers need to know what this instance knows of the zones.
func (p *Pool) tellsZones() bool { return p.isZoneAware() && len(p.members) > 0 }

// MergeZoneDemands records the demand that a peer of this zone has told.
func (p *Pools) MergeZoneDemands(now time.Time, peer platform.InstanceID, demands []ZoneDemand) {
	for _, demand := range demands[:min(len(demands), maxDemandServices)] {
		service := p.known(demand.Service)
		if service == nil || !isFigure(demand.Rate) || !isFigure(demand.Earlier) {
			continue
		}
		service.mu.Lock()
		told := service.zones.told
		if told == nil {
			told = make(map[platform.InstanceID]toldDemand)
			service.zones.told = told
		}
		if _, ok := told[peer]; ok || len(told) < maxDemandPeers {
			told[peer] = toldDemand{ZoneDemand: demand, at: now}
		}
		service.mu.Unlock()
	}
}

// known returns the pool of a service, nil if it has none.
func (p *Pools) known(name route.ServiceName) *Pool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.services[name]
}

func isFigure(n float64) bool { return n >= 0 && n < maxWork }

// zoneRate returns the requests per second of all instances of this zone. A rate that rises or falls
// steadily is extrapolated to now.
func (p *Pool) zoneRate(now time.Time) float64 {
	rate, earlier := p.zones.rates(now)
	for peer, told := range p.zones.told {
		if now.Sub(told.at) > demandLifetime {
			delete(p.zones.told, peer)
			continue
		}
		rate, earlier = rate+told.Rate, earlier+told.Earlier
	}
	return max(0, rate+rateLead*(rate-earlier))
}

// ZoneLoads returns states of zones for a peer: that of this zone to other zones, and some of those of
// other zones within the zone, whose instances each hear of another zone only now and then.
func (p *Pools) ZoneLoads(now time.Time, sameZone bool) []ZoneLoad {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var loads []ZoneLoad
	for name, service := range p.services {
		service.mu.Lock()
		if service.tellsZones() && !sameZone {
			service.estimateLoads(now)
			service.updateZones(now)
			own, _, _ := service.zoneStates(now)
			loads = append(loads, ZoneLoad{
				Service: name, Zone: p.zone, Slots: own.Slots, Rate: service.zoneRate(now), Load: own.Load, FirstEvent: own.FirstEvent,
				Wanted: service.zones.shares.Wanted() / service.zones.meanDuration().Seconds(),
			})
		}
		for zone, told := range service.zones.loads {
			switch age := told.age(now); {
			case age > zoneLoadLifetime:
				delete(service.zones.loads, zone)
			case sameZone:
				told.Age = age
				loads = append(loads, told.ZoneLoad)
			}
		}
		service.mu.Unlock()
	}
	rand.Shuffle(len(loads), func(i, j int) { loads[i], loads[j] = loads[j], loads[i] })
	return loads[:min(len(loads), MaxZoneLoads)]
}

// MergeZoneLoads records states of zones that a peer has told.
func (p *Pools) MergeZoneLoads(now time.Time, loads []ZoneLoad) {
	for _, load := range loads[:min(len(loads), MaxZoneLoads)] {
		service := p.known(load.Service)
		if service != nil && !load.isPossible() {
			if !p.invalidZoneLoad.Swap(true) {
				p.log.WithFields(logrus.Fields{"service": load.Service, "zone": load.Zone}).Warn("peer tells an impossible load of a zone, which is ignored")
			}
			continue
		}
		if service == nil || load.Zone == p.zone || load.Age > zoneLoadLifetime {
			continue
		}
		service.mu.Lock()
		at := now.Add(-load.Age)
		known, ok := service.zones.loads[load.Zone]
		switch {
		case service.zones.loads == nil:
			service.zones.loads = map[platform.Zone]toldLoad{load.Zone: {ZoneLoad: load, at: at}}
		case ok && !at.After(known.at), !ok && len(service.zones.loads) >= maxToldZones:
		default:
			service.zones.loads[load.Zone] = toldLoad{ZoneLoad: load, at: at}
		}
		service.mu.Unlock()
	}
}
