package quota_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/coord/quota"
)

var start = time.Unix(1_700_000_000, 0)

func TestUnknownAccountsAreRefused(t *testing.T) {
	shares := quota.New("a", quota.Config{})
	ok, retryAfter := shares.Allow(start, "nobody")
	assert.Assert(t, !ok)
	assert.Equal(t, retryAfter, quota.RetryUnknown)
}

func TestOneInstanceHasTheWholeLimit(t *testing.T) {
	shares := quota.New("a", quota.Config{})
	shares.SetLimits(start, []quota.Limit{{Account: "x", RequestsPerSecond: 10, Burst: 10}})
	allowed := 0
	for ms := range 10_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%250 == 0 {
			shares.Tick(now, 1)
		}
		if ok, _ := shares.Allow(now, "x"); ok {
			allowed++
		}
	}
	assert.Assert(t, allowed >= 95 && allowed <= 110, "%d allowed", allowed)
}

func TestRefusedCallersAreSpread(t *testing.T) {
	shares := quota.New("a", quota.Config{})
	shares.SetLimits(start, []quota.Limit{{Account: "x", RequestsPerSecond: 10, Burst: 1}})
	_, first := shares.Allow(start, "x")
	_, second := shares.Allow(start, "x")
	assert.Equal(t, first, 100*time.Millisecond)
	assert.Equal(t, second, 200*time.Millisecond)
}

func TestSilentInstancesKeepTheirPart(t *testing.T) {
	shares := quota.New("a", quota.Config{})
	shares.SetLimits(start, []quota.Limit{{Account: "x", RequestsPerSecond: 90, Burst: 90}})
	shares.Tick(start, 9)
	shares.HeardAll(start, "b", []quota.Demand{{Account: "x", RequestsPerSecond: 0}})
	allowed := 0
	for ms := range 20_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%250 == 0 {
			shares.Tick(now, 9)
		}
		if ok, _ := shares.Allow(now, "x"); ok && ms >= 10_000 {
			allowed++
		}
	}
	// The peer expired, so only 1/9 of the limit is left here.
	assert.Assert(t, allowed >= 95 && allowed <= 105, "%d allowed", allowed)
}

func TestDemandsAreBounded(t *testing.T) {
	shares := quota.New("a", quota.Config{MaxDemands: 2})
	shares.SetLimits(start, []quota.Limit{
		{Account: "x", RequestsPerSecond: 10, Burst: 10},
		{Account: "y", RequestsPerSecond: 10, Burst: 10},
		{Account: "z", RequestsPerSecond: 10, Burst: 10},
	})
	for account, count := range map[string]int{"x": 1, "y": 5, "z": 3} {
		for range count {
			shares.Allow(start, account)
		}
	}
	shares.Tick(start.Add(time.Second), 1)
	demands := shares.Demands(start.Add(time.Second))
	assert.Equal(t, len(demands), 2)
	assert.Equal(t, demands[0].Account, "y")
	assert.Equal(t, demands[1].Account, "z")
	assert.Equal(t, demands[0].Instance, platform.InstanceID("a"))
}
