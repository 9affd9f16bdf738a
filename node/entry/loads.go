package entry

import (
	"math/rand/v2"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/policy/latency"
	"github.com/wigeonusher/wigeonusher/policy/route"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

// maxSharedLoadAge is the age above which a load is not sent to peers: each of them had it in one
// of the heartbeats since.
const maxSharedLoadAge = heartbeatInterval + heartbeatInterval/4

// loadGossip is the [cluster.Gossip] of the loads that endpoints report with their answers. An
// instance of a large fleet gets few answers of each endpoint.
type loadGossip struct{ pools *pool.Pools }

// Fill implements [cluster.Gossip].
func (g loadGossip) Fill(now time.Time, _ platform.InstanceID, digest *peerpb.Digest) {
	for _, report := range g.pools.LoadReports(now, pool.MaxSharedLoads, maxSharedLoadAge) {
		digest.Loads = append(digest.Loads, &peerpb.EndpointLoad{
			Endpoint: string(report.Endpoint), Reported: true,
			Running: uint32(report.Running), Queued: uint32(report.Waiting), AgeMs: uint64(report.Age.Milliseconds()),
			Pace: uint32(report.Pace),
		})
	}
}

// HandleDigest implements [cluster.Gossip].
func (g loadGossip) HandleDigest(now time.Time, digest *peerpb.Digest) {
	var reports []pool.LoadReport
	for _, load := range digest.Loads[:min(len(digest.Loads), pool.MaxSharedLoads)] {
		if !load.Reported {
			continue
		}
		reports = append(reports, pool.LoadReport{
			Endpoint: platform.EndpointID(load.Endpoint),
			Running:  int(min(load.Running, maxReportedRequests)),
			Waiting:  int(min(load.Queued, maxReportedRequests)),
			Pace:     int(load.Pace),
			Age:      time.Duration(min(load.AgeMs, maxReportAgeMillis)) * time.Millisecond,
		})
	}
	g.pools.MergeLoads(now, reports)
}

// maxReportedRequests bounds the requests at an endpoint in a peer's report, which may be
// malformed.
const maxReportedRequests = 1 << 16

// statisticsOneIn is how many digests there are to one with statistics, which change slowly.
const statisticsOneIn = 4

// statisticsGossip is the [cluster.Gossip] of the statistics of services.
type statisticsGossip struct{ pools *pool.Pools }

// Fill implements [cluster.Gossip].
func (g statisticsGossip) Fill(_ time.Time, _ platform.InstanceID, digest *peerpb.Digest) {
	if rand.IntN(statisticsOneIn) > 0 {
		return
	}
	for _, statistics := range g.pools.Statistics() {
		encoded := &peerpb.ServiceStatistics{Service: string(statistics.Service), Work: statistics.Work, LongWork: statistics.LongWork}
		for model, sums := range statistics.FirstEvents {
			encoded.FirstEvents = append(encoded.FirstEvents, &peerpb.FirstEventSums{
				Model: string(model), Weight: sums.Weight, X: sums.X, Y: sums.Y, Xx: sums.XX, Xy: sums.XY,
			})
		}
		digest.Statistics = append(digest.Statistics, encoded)
	}
}

// HandleDigest implements [cluster.Gossip].
func (g statisticsGossip) HandleDigest(now time.Time, digest *peerpb.Digest) {
	var all []pool.Statistics
	for _, encoded := range digest.Statistics {
		statistics := pool.Statistics{
			Service: route.ServiceName(encoded.Service), Work: encoded.Work, LongWork: encoded.LongWork,
			FirstEvents: make(map[route.ModelName]latency.Sums),
		}
		for _, sums := range encoded.FirstEvents {
			statistics.FirstEvents[route.ModelName(sums.Model)] = latency.Sums{Weight: sums.Weight, X: sums.X, Y: sums.Y, XX: sums.Xx, XY: sums.Xy}
		}
		all = append(all, statistics)
	}
	g.pools.MergeStatistics(now, platform.InstanceID(digest.Instance), all)
}
