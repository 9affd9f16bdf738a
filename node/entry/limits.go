package entry

import (
	"time"

	"github.com/wigeonusher/wigeonusher/coord/fleetlimit"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

// maxLimitsPerDigest bounds the limits of endpoints in one digest; the others follow in
// later digests.
const maxLimitsPerDigest = 4

// limitGossip is the [cluster.Gossip] of the limits that endpoints name.
type limitGossip struct{ pools *pool.Pools }

// Fill implements [cluster.Gossip].
func (g limitGossip) Fill(now time.Time, _ platform.InstanceID, digest *peerpb.Digest) {
	for _, report := range g.pools.LimitReports(now, maxLimitsPerDigest) {
		digest.Limits = append(digest.Limits, &peerpb.EndpointLimit{
			Endpoint: string(report.Key.Endpoint), Born: report.Key.Born,
			Named: report.Statement.Named, PerSecond: report.Statement.PerSecond,
			AgeMs: uint64(report.Age.Milliseconds()),
		})
	}
}

// HandleDigest implements [cluster.Gossip].
func (g limitGossip) HandleDigest(now time.Time, digest *peerpb.Digest) {
	var reports []fleetlimit.Report
	for _, limit := range digest.Limits[:min(len(digest.Limits), maxLimitsPerDigest)] {
		reports = append(reports, fleetlimit.Report{
			Key:       fleetlimit.Key{Endpoint: platform.EndpointID(limit.Endpoint), Born: limit.Born},
			Statement: fleetlimit.Statement{Named: limit.Named, PerSecond: limit.PerSecond},
			Age:       time.Duration(min(limit.AgeMs, maxReportAgeMillis)) * time.Millisecond,
		})
	}
	g.pools.MergeLimits(now, reports)
}

// maxReportAgeMillis bounds the age in a report, so that it does not overflow.
const maxReportAgeMillis = uint64(time.Hour / time.Millisecond)
