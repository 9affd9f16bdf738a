package entry

import (
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/cluster"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/policy/route"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

// maxZoneFirstEventMillis bounds the time to the first event in a peer's report, which may be malformed.
const maxZoneFirstEventMillis = 10 * 60 * 1000

// zoneGossip is the [cluster.Gossip] of the demand and load of zones.
type zoneGossip struct {
	pools   *pool.Pools
	cluster *cluster.Cluster
	zone    platform.Zone
}

// Fill implements [cluster.Gossip].
func (g zoneGossip) Fill(now time.Time, peer platform.InstanceID, digest *peerpb.Digest) {
	sameZone := g.cluster.ZoneOf(peer) == g.zone
	if sameZone {
		for _, demand := range g.pools.ZoneDemands(now) {
			digest.ZoneDemands = append(digest.ZoneDemands, &peerpb.ZoneDemand{
				Service: string(demand.Service), Rate: float32(demand.Rate), Earlier: float32(demand.Earlier),
			})
		}
	}
	for _, load := range g.pools.ZoneLoads(now, sameZone) {
		digest.ZoneLoads = append(digest.ZoneLoads, &peerpb.ZoneLoad{
			Service: string(load.Service), Zone: string(load.Zone), Slots: float32(load.Slots), Load: float32(load.Load),
			Rate: float32(load.Rate), Wanted: float32(load.Wanted),
			FirstEventMs: uint32(min(maxZoneFirstEventMillis, load.FirstEvent.Milliseconds())), AgeMs: uint32(load.Age.Milliseconds()),
		})
	}
}

// HandleDigest implements [cluster.Gossip].
func (g zoneGossip) HandleDigest(now time.Time, digest *peerpb.Digest) {
	if platform.Zone(digest.Zone) == g.zone {
		var demands []pool.ZoneDemand
		for _, demand := range digest.ZoneDemands {
			demands = append(demands, pool.ZoneDemand{
				Service: route.ServiceName(demand.Service), Rate: float64(demand.Rate), Earlier: float64(demand.Earlier),
			})
		}
		g.pools.MergeZoneDemands(now, platform.InstanceID(digest.Instance), demands)
	}
	var loads []pool.ZoneLoad
	for _, load := range digest.ZoneLoads {
		loads = append(loads, pool.ZoneLoad{
			Service: route.ServiceName(load.Service), Zone: platform.Zone(load.Zone), Slots: float64(load.Slots), Load: float64(load.Load),
			Rate: float64(load.Rate), Wanted: float64(load.Wanted),
			FirstEvent: time.Duration(min(load.FirstEventMs, maxZoneFirstEventMillis)) * time.Millisecond,
			Age:        time.Duration(min(uint64(load.AgeMs), maxReportAgeMillis)) * time.Millisecond,
		})
	}
	g.pools.MergeZoneLoads(now, loads)
}
