package entry

import (
	"io"
	"math"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/fleetlimit"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

func limitPools() *pool.Pools {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return pool.New("z", logrus.NewEntry(logger))
}

// An instance that sends an endpoint nothing learns of its limit from peers only.
func TestLimitsReachPeers(t *testing.T) {
	now := time.Now()
	from, to := limitPools(), limitPools()
	key := fleetlimit.Key{Endpoint: "e", Born: 7}
	from.MergeLimits(now, []fleetlimit.Report{{Key: key, Statement: fleetlimit.Statement{Named: true, PerSecond: 2.5}}})
	digest := &peerpb.Digest{}
	limitGossip{from}.Fill(now.Add(time.Second), "peer", digest)
	limitGossip{to}.HandleDigest(now.Add(time.Second), digest)
	assert.DeepEqual(t, to.LimitReports(now.Add(time.Second), 8), from.LimitReports(now.Add(time.Second), 8))
}

// A digest that is not well-formed must neither limit an endpoint nor be kept at length.
func TestInvalidLimitsOfPeersAreIgnored(t *testing.T) {
	pools := limitPools()
	digest := &peerpb.Digest{Limits: []*peerpb.EndpointLimit{
		{Endpoint: "a", Named: true, PerSecond: math.NaN()},
		{Endpoint: "b", Named: true, PerSecond: -1},
		{Endpoint: "c", Named: true, PerSecond: 1, AgeMs: math.MaxUint64},
		{Endpoint: "d"},
	}}
	limitGossip{pools}.HandleDigest(time.Now(), digest)
	assert.Equal(t, pools.LimitedCount(), 0)
	digest.Limits = nil
	for i := range 100 {
		digest.Limits = append(digest.Limits, &peerpb.EndpointLimit{Endpoint: "e", Born: int64(i), Named: true, PerSecond: 1})
	}
	limitGossip{pools}.HandleDigest(time.Now(), digest)
	assert.Equal(t, pools.LimitedCount(), maxLimitsPerDigest)
}
