package fleetlimit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/fleetlimit"
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

const (
	tick = 20 * time.Millisecond
	// Times of the membership, as in the instances.
	discovery  = 10 * time.Second
	deadAfter  = 10 * time.Second
	removeDead = 2 * time.Minute
	// The bound counts from graceAfterNaming after the first answer with a limit, and an
	// instance from graceAfterTold after it has got one.
	graceAfterNaming = 3 * time.Second
	graceAfterTold   = 500 * time.Millisecond
	// The limit changes at changeAt; the simulation ends at end.
	changeAt = 30 * time.Second
	end      = 45 * time.Second
)

// member is an instance of a simulated fleet.
type member struct {
	id      platform.InstanceID
	zone    platform.Zone
	limits  *fleetlimit.Limits
	started time.Duration
	// stoppedAt is when it stopped, 0 if it runs; announced reports that its peers were
	// told.
	stoppedAt time.Duration
	announced bool
	side      int
	toldAt    time.Duration
	told      bool
	lastHeard map[platform.InstanceID]time.Duration
}

// fleet simulates instances that send to one endpoint with a limit, in steps of a tick.
type fleet struct {
	random  *rand.Rand
	now     time.Duration
	members []*member
	zones   int
	// demand is the number of requests a second of each instance.
	demand  float64
	limit   float64
	namedAt time.Duration
	answers []answer
	// arrivals are the times of the requests that count; sent counts all.
	arrivals []time.Duration
	sent     int
}

// answer is an answer on its way to an instance.
type answer struct {
	at, sent  time.Duration
	to        *member
	statement fleetlimit.Statement
}

func newFleet(seed uint64, size, zones int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), zones: zones}
	for range size {
		f.start()
	}
	for _, m := range f.members {
		m.started = -time.Hour
		for _, other := range f.members {
			m.lastHeard[other.id] = 0
		}
	}
	return f
}

func (f *fleet) start() {
	number := len(f.members)
	f.members = append(f.members, &member{
		id: platform.InstanceID("i" + strconv.Itoa(number)), zone: platform.Zone("z" + strconv.Itoa(number%f.zones)),
		limits: fleetlimit.New(), started: f.now, lastHeard: make(map[platform.InstanceID]time.Duration),
	})
}

func (f *fleet) clock() time.Time { return start.Add(f.now) }

func (f *fleet) running() []*member {
	return slices.DeleteFunc(slices.Clone(f.members), func(m *member) bool { return m.stoppedAt > 0 })
}

// restart ends an instance and starts another one in its zone.
func (f *fleet) restart(announce bool) {
	running := f.running()
	stopped := running[f.random.IntN(len(running))]
	stopped.stoppedAt, stopped.announced = f.now, announce
	f.start()
	f.members[len(f.members)-1].zone = stopped.zone
}

// group returns the view of the fleet that an instance has.
func (f *fleet) group(m *member) fleetlimit.Group {
	group := fleetlimit.Group{Self: m.id, Zone: m.zone, Members: []platform.InstanceID{m.id}, Zones: []platform.Zone{m.zone}}
	for _, other := range f.members {
		heard, known := m.lastHeard[other.id]
		left := other.announced && other.stoppedAt > 0 && other.side == m.side && f.now > other.stoppedAt+time.Second
		if other == m || !known || left || f.now-heard >= deadAfter+removeDead {
			continue
		}
		if !slices.Contains(group.Zones, other.zone) {
			group.Zones = append(group.Zones, other.zone)
		}
		if other.zone == m.zone && f.now-heard < deadAfter {
			group.Members = append(group.Members, other.id)
		}
	}
	return group
}

// gossip exchanges what the instances know of each other and of the limit: with each
// instance of the zone, and with two others.
func (f *fleet) gossip() {
	running := f.running()
	for _, m := range running {
		var peers []*member
		for _, other := range running {
			if other.zone == m.zone {
				peers = append(peers, other)
			}
		}
		for range 2 {
			peers = append(peers, running[f.random.IntN(len(running))])
		}
		for _, other := range peers {
			if other == m || other.side != m.side {
				continue
			}
			m.lastHeard[other.id], other.lastHeard[m.id] = f.now, f.now
			for _, report := range m.limits.Reports(f.clock(), 8) {
				other.limits.Merge(f.clock(), report)
			}
		}
		if f.now-m.started >= discovery {
			m.limits.SetGroup(f.clock(), f.group(m))
		}
		m.limits.Expire(f.clock())
	}
}

func (f *fleet) step() {
	f.now += tick
	if f.now%time.Second == 0 {
		f.gossip()
	}
	for len(f.answers) > 0 && f.answers[0].at <= f.now {
		a := f.answers[0]
		f.answers = f.answers[1:]
		a.to.limits.Observe(f.clock(), key, a.statement, start.Add(a.sent))
		if a.statement.Named && !a.to.told {
			a.to.told, a.to.toldAt = true, f.now
		}
	}
	for _, m := range f.running() {
		if f.random.Float64() < f.demand*tick.Seconds() && m.limits.Take(f.clock(), key) {
			f.arrive(m)
		}
	}
}

func (f *fleet) arrive(m *member) {
	f.sent++
	if m.told && f.now >= m.toldAt+graceAfterTold && f.now >= f.namedAt+graceAfterNaming {
		f.arrivals = append(f.arrivals, f.now)
	}
	f.answers = append(f.answers, answer{
		at: f.now + 100*time.Millisecond, sent: f.now, to: m,
		statement: fleetlimit.Statement{Named: true, PerSecond: f.limit},
	})
}

// most returns the highest number of requests that count within a window between the
// given times.
func (f *fleet) most(from, to time.Duration) int {
	arrivals := slices.DeleteFunc(slices.Clone(f.arrivals), func(at time.Duration) bool { return at < from || at >= to })
	most, first := 0, 0
	for last, at := range arrivals {
		for at-arrivals[first] >= fleetlimit.Window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// history draws what happens to a fleet.
type history struct {
	demand float64
	// limits are the limit until changeAt and the one after it.
	limits [2]float64
	// Instances are cut off from the others from cutAt to cutEnd.
	cutAt, cutEnd time.Duration
}

func drawHistory(random *rand.Rand) history {
	pick := func(values ...float64) float64 { return values[random.IntN(len(values))] }
	h := history{demand: pick(0.1, 1, 4), cutAt: time.Duration(random.IntN(15)) * time.Second}
	for i := range h.limits {
		h.limits[i] = pick(0, 0.05, 0.3, 1, 2, 2.7, 5, 20, 60)
	}
	h.cutEnd = h.cutAt + time.Duration(random.IntN(40))*time.Second
	return h
}

// play runs the fleet through the history. An instance is replaced every 10 s on average.
func (f *fleet) play(h history) {
	f.demand, f.limit = h.demand, h.limits[0]
	for f.now < end {
		f.step()
		if f.now%time.Second != 0 {
			continue
		}
		if f.random.IntN(10) == 0 {
			f.restart(f.random.IntN(2) == 0)
		}
		for number, m := range f.members {
			m.side = 0
			if f.now >= h.cutAt && f.now < h.cutEnd && number/f.zones%2 == 0 {
				m.side = 1
			}
		}
		if f.now == changeAt {
			f.limit = h.limits[1]
		}
	}
}

// The sum of what all instances send must stay below the bound in any fleet: instances
// start, stop, fail and are cut off from each other, and their views differ.
func TestLimitHoldsWhileTheFleetChanges(t *testing.T) {
	for _, c := range []struct{ size, zones, histories int }{{9, 4, 60}, {78, 6, 25}, {380, 17, 8}} {
		for seed := range uint64(c.histories) {
			t.Run(fmt.Sprintf("%d instances, seed %d", c.size, seed), func(t *testing.T) {
				t.Parallel()
				h := drawHistory(rand.New(rand.NewPCG(seed, uint64(c.size))))
				f := newFleet(seed, c.size, c.zones)
				f.play(h)
				for i, most := range []int{f.most(0, changeAt), f.most(changeAt+graceAfterNaming, end)} {
					bound := 1.5*h.limits[i]*fleetlimit.Window.Seconds() + 5
					assert.Assert(t, float64(most) <= bound, "%d requests within %v, bound %.1f", most, fleetlimit.Window, bound)
				}
			})
		}
	}
}

// An endpoint must not be starved by its own limit: it gets most of what it allows.
func TestMostOfTheLimitIsUsed(t *testing.T) {
	for _, size := range []struct{ instances, zones int }{{9, 4}, {78, 6}, {380, 17}} {
		for _, limit := range []float64{0.3, 2, 2.7, 20} {
			t.Run(fmt.Sprintf("%d instances, %v a second", size.instances, limit), func(t *testing.T) {
				t.Parallel()
				f := newFleet(1, size.instances, size.zones)
				f.demand, f.limit = 4, limit
				for f.now < 20*time.Second {
					f.step()
				}
				before := f.sent
				for f.now < 60*time.Second {
					f.step()
				}
				used := float64(f.sent-before) / (limit * 40)
				t.Logf("%.2f of the limit used, at most %d requests within %v, bound %.1f", used, f.most(0, f.now), fleetlimit.Window, 1.5*limit*4+5)
				assert.Assert(t, used > 0.5, "%.2f used", used)
				assert.Assert(t, float64(f.most(0, f.now)) <= 1.5*limit*4+5)
			})
		}
	}
}

// A limit that has ended must not keep requests from the endpoint for long, although most
// instances send it none that would show the end.
func TestEndOfALimitReachesAllInstances(t *testing.T) {
	for _, size := range []struct{ instances, zones int }{{9, 4}, {78, 6}, {380, 17}} {
		f := newFleet(1, size.instances, size.zones)
		f.demand, f.limit = 1, 1
		for f.now < 20*time.Second {
			f.step()
		}
		for _, m := range f.running() {
			assert.Assert(t, m.limits.Len() == 1, "%s does not know the limit", m.id)
		}
		f.answers = nil
		holder := slices.IndexFunc(f.running(), func(m *member) bool { return m.limits.Allows(f.clock(), key) })
		for holder < 0 {
			f.now += tick
			holder = slices.IndexFunc(f.running(), func(m *member) bool { return m.limits.Allows(f.clock(), key) })
		}
		f.running()[holder].limits.Observe(f.clock(), key, fleetlimit.Statement{}, f.clock())
		f.demand = 0
		for until := f.now + 8*time.Second; f.now < until; {
			f.step()
		}
		for _, m := range f.running() {
			assert.Assert(t, m.limits.Allows(f.clock(), key), "%s keeps the limit", m.id)
		}
	}
}
