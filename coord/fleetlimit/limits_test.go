package fleetlimit_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/fleetlimit"
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

var (
	start = time.Unix(1000, 0)
	key   = fleetlimit.Key{Endpoint: "e", Born: 1}
)

func named(perSecond float64) fleetlimit.Statement {
	return fleetlimit.Statement{Named: true, PerSecond: perSecond}
}

// alone returns the limits of an instance that is the only one of the fleet.
func alone() *fleetlimit.Limits {
	limits := fleetlimit.New()
	limits.SetGroup(start.Add(-time.Hour), fleetlimit.Group{
		Self: "i", Zone: "z", Members: []platform.InstanceID{"i"}, Zones: []platform.Zone{"z"},
	})
	return limits
}

// takeAll returns how many requests are allowed at the given time.
func takeAll(limits *fleetlimit.Limits, now time.Time) int {
	count := 0
	for limits.Take(now, key) {
		if count++; count > 1_000_000 {
			return math.MaxInt
		}
	}
	return count
}

func TestEndpointWithoutALimitIsNotLimited(t *testing.T) {
	limits := alone()
	assert.Equal(t, takeAll(limits, start), math.MaxInt)
	limits.Observe(start, key, fleetlimit.Statement{}, start)
	assert.Equal(t, limits.Len(), 0)
}

// An answer that was sent before the limit was named may arrive after one that names it.
func TestAnswerThatWasOvertakenDoesNotEndTheLimit(t *testing.T) {
	limits := alone()
	limits.Observe(start, key, named(0), start)
	limits.Observe(start.Add(time.Second), key, fleetlimit.Statement{}, start.Add(-time.Millisecond))
	assert.Equal(t, takeAll(limits, start.Add(time.Second)), 1)
	limits.Observe(start.Add(2*time.Second), key, fleetlimit.Statement{}, start.Add(time.Second))
	assert.Equal(t, takeAll(limits, start.Add(2*time.Second)), math.MaxInt)
}

// A limit of 0 is probed with one request, because only an answer shows its end.
func TestLimitOfZeroIsProbed(t *testing.T) {
	limits := alone()
	limits.Observe(start, key, named(0), start)
	assert.Equal(t, takeAll(limits, start), 1)
	assert.Equal(t, takeAll(limits, start.Add(9*time.Second)), 0)
	assert.Equal(t, limits.Wait(start.Add(9*time.Second), key), time.Second)
	assert.Equal(t, takeAll(limits, start.Add(10*time.Second)), 1)
}

func TestNewLifetimeOfAnEndpointIsNotLimited(t *testing.T) {
	limits := alone()
	limits.Observe(start, key, named(0), start)
	assert.Assert(t, limits.Take(start, key))
	assert.Assert(t, !limits.Take(start, key))
	assert.Assert(t, limits.Take(start, fleetlimit.Key{Endpoint: "e", Born: 2}))
}

// A lower limit counts at once, with the requests that were sent under the higher one.
func TestLowerLimitCountsTheRequestsBeforeIt(t *testing.T) {
	limits := alone()
	limits.Observe(start, key, named(10), start)
	assert.Assert(t, takeAll(limits, start) > 20)
	limits.Observe(start.Add(time.Second), key, named(1), start)
	assert.Equal(t, takeAll(limits, start.Add(2*time.Second)), 0)
	assert.Equal(t, takeAll(limits, start.Add(4*time.Second)), 4)
}

// An instance that has just started does not know yet which others have the seats.
func TestInstanceWithoutAGroupSendsNothing(t *testing.T) {
	limits := fleetlimit.New()
	limits.Observe(start, key, named(5), start)
	assert.Equal(t, takeAll(limits, start), 0)
	assert.Assert(t, limits.Wait(start, key) > 0)
}

func TestInvalidReportsOfPeersAreIgnored(t *testing.T) {
	limits := alone()
	for _, limit := range []float64{math.NaN(), -1, math.Inf(1), 1e9} {
		assert.Assert(t, !limits.Merge(start, fleetlimit.Report{Key: key, Statement: named(limit)}))
	}
	assert.Equal(t, limits.Len(), 0)
	assert.Assert(t, limits.Merge(start, fleetlimit.Report{Key: key, Statement: named(1), Age: time.Second}))
	assert.Assert(t, !limits.Merge(start, fleetlimit.Report{Key: key, Age: 2 * time.Second}), "an older report changes nothing")
	assert.Assert(t, limits.Merge(start, fleetlimit.Report{Key: key}))
}

func TestLimitsOfEndpointsThatAreGoneAreForgotten(t *testing.T) {
	limits := alone()
	limits.Observe(start, key, named(1), start)
	limits.Expire(start.Add(59 * time.Second))
	assert.Equal(t, limits.Len(), 1)
	limits.Expire(start.Add(time.Minute))
	assert.Equal(t, limits.Len(), 0)
	assert.Equal(t, len(limits.Reports(start, 8)), 0)
}
