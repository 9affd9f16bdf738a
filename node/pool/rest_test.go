package pool

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

func restPool(endpoints int) *Pool {
	p := newPool("z", newLimits(nil))
	for n := range endpoints {
		p.put(Record{ID: platform.EndpointID(strconv.Itoa(n)), Service: "s", Zone: "z", Address: "127.0.0.1:1", Version: "v1", Slots: 8})
	}
	return p
}

func TestRestingEndpointIsNeitherFullNorPaused(t *testing.T) {
	now := time.Now()
	p := restPool(1)
	lease, _ := p.Choose(now, Query{})
	lease.RecordRest(now, 3*time.Second)
	lease.End(now, Full)
	for _, later := range []time.Duration{0, time.Second, 2999 * time.Millisecond} {
		_, ok := p.Choose(now.Add(later), Query{})
		assert.Assert(t, !ok, "after %v", later)
		assert.Assert(t, !p.HasUsable(now.Add(later), Query{}))
		wait, resting := p.RestWait(now.Add(later), Query{})
		assert.Assert(t, resting)
		assert.Equal(t, wait, 3*time.Second-later)
	}
	_, ok := p.Choose(now.Add(3*time.Second), Query{})
	assert.Assert(t, ok)
}

// What has waited for the end of a rest must not come at once.
func TestAfterARestOneRequestComesFirst(t *testing.T) {
	now := time.Now()
	p := restPool(1)
	lease, _ := p.Choose(now, Query{})
	lease.RecordRest(now, time.Second)
	lease.End(now, Full)
	now = now.Add(time.Second)
	first, ok := p.Choose(now, Query{})
	assert.Assert(t, ok)
	_, ok = p.Choose(now, Query{})
	assert.Assert(t, !ok, "the first one has not been accepted yet")
	first.started = now
	first.RecordReached()
	_, ok = p.Choose(now, Query{})
	assert.Assert(t, ok)
}

// The answer to an earlier request may come later.
func TestShorterRestDoesNotEndALongerOne(t *testing.T) {
	now := time.Now()
	p := restPool(1)
	one, _ := p.Choose(now, Query{})
	other, _ := p.Choose(now, Query{})
	one.RecordRest(now, 5*time.Second)
	other.RecordRest(now, time.Second)
	assert.Assert(t, !other.MaySend(now.Add(4*time.Second)))
}

func TestRestEndsWithTheLifetimeAndSurvivesALapse(t *testing.T) {
	now := time.Now()
	p := restPool(1)
	lease, _ := p.Choose(now, Query{})
	lease.RecordRest(now, 5*time.Second)
	lease.End(now, Full)
	record := p.remove("0")
	p.put(record)
	_, ok := p.Choose(now, Query{})
	assert.Assert(t, !ok, "the endpoint has only registered again")
	record.Born++
	p.put(record)
	_, ok = p.Choose(now, Query{})
	assert.Assert(t, ok, "the endpoint has started again")
}

// TestNoEndpointGetsARequestInItsRest lets a number of instances send at any time, with endpoints
// that ask each of them for rest, restart, and lapse from the registry.
func TestNoEndpointGetsARequestInItsRest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type key struct {
			instance int
			endpoint platform.EndpointID
			born     int64
		}
		start := time.Now()
		now := start
		instances := make([]*Pool, rapid.SampledFrom([]int{1, 9, 78, 380}).Draw(t, "instances"))
		for n := range instances {
			instances[n] = restPool(4)
		}
		rests := make(map[key]time.Time)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause ms")) * time.Millisecond)
			n := rapid.IntRange(0, len(instances)-1).Draw(t, "instance")
			p := instances[n]
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				id := platform.EndpointID(strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "endpoint")))
				record := p.remove(id)
				if rapid.Bool().Draw(t, "restart") {
					record.Born++
				}
				p.put(record)
			default:
				lease, ok := p.Choose(now, Query{LeastLoaded: rapid.Bool().Draw(t, "trial")})
				if !ok {
					if wait, resting := p.RestWait(now, Query{}); resting && wait <= 0 {
						t.Fatal("no endpoint, and none rests")
					}
					continue
				}
				sentTo := key{n, lease.Endpoint.ID, lease.Endpoint.Born}
				if until, ok := rests[sentTo]; ok && now.Before(until) {
					t.Fatalf("sent %v before the end of the rest", until.Sub(now))
				}
				if rapid.IntRange(0, 2).Draw(t, "turned away") == 0 {
					rest := time.Duration(rapid.IntRange(0, 5000).Draw(t, "rest ms")) * time.Millisecond
					lease.RecordRest(now, rest)
					if until := now.Add(rest); until.After(rests[sentTo]) {
						rests[sentTo] = until
					}
					lease.End(now, Full)
					continue
				}
				lease.RecordReached()
				lease.End(now, Succeeded)
			}
		}
	})
}

func TestEndpointThatSaysItLeavesIsFinalInItsLifetime(t *testing.T) {
	now := time.Now()
	p := restPool(1)
	lease, _ := p.Choose(now, Query{})
	lease.RecordLeaving(now)
	assert.Assert(t, !lease.MaySend(now), "also for a request that was chosen before")
	lease.End(now, Succeeded)
	usable := func() bool {
		_, ok := p.Choose(now, Query{})
		return ok
	}
	assert.Assert(t, !usable())
	record := p.members["0"].record
	record.Leaving = false
	record.Sequence++
	p.put(record)
	assert.Assert(t, !usable(), "its registration still says ready")
	p.remove("0")
	p.put(record)
	assert.Assert(t, !usable(), "it registered again after a lapse")
	record.Born++
	p.put(record)
	assert.Assert(t, usable(), "it has started again")
}
