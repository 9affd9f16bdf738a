package entry

import (
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

// coldGossip is the [cluster.Gossip] of cold endpoints: an instance of a large fleet seldom notices
// itself that an endpoint was unreachable, and one that has just started does not know that the
// evacuation of a zone has ended.
type coldGossip struct{ pools *pool.Pools }

// Fill implements [cluster.Gossip].
func (g coldGossip) Fill(now time.Time, _ platform.InstanceID, digest *peerpb.Digest) {
	for _, report := range g.pools.ColdReports(now, pool.MaxColdReports) {
		digest.Cold = append(digest.Cold, &peerpb.ColdEndpoint{Endpoint: string(report.Endpoint), LeftMs: uint32(report.Left.Milliseconds())})
	}
	for _, ended := range g.pools.ZoneReturns(now, pool.MaxZoneReturns) {
		digest.ZoneReturns = append(digest.ZoneReturns, &peerpb.ZoneReturn{Zone: string(ended.Zone), AgeMs: uint32(ended.Age.Milliseconds())})
	}
}

// HandleDigest implements [cluster.Gossip].
func (g coldGossip) HandleDigest(now time.Time, digest *peerpb.Digest) {
	var reports []pool.ColdReport
	for _, cold := range digest.Cold[:min(len(digest.Cold), pool.MaxColdReports)] {
		reports = append(reports, pool.ColdReport{Endpoint: platform.EndpointID(cold.Endpoint), Left: time.Duration(cold.LeftMs) * time.Millisecond})
	}
	g.pools.MergeColds(now, reports)
	var returns []pool.ZoneReturn
	for _, ended := range digest.ZoneReturns[:min(len(digest.ZoneReturns), pool.MaxZoneReturns)] {
		returns = append(returns, pool.ZoneReturn{Zone: platform.Zone(ended.Zone), Age: time.Duration(ended.AgeMs) * time.Millisecond})
	}
	g.pools.MergeZoneReturns(now, returns)
}
