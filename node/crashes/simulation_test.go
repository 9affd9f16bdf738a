package crashes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/crashcause"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/node/relay"
)

// simulation sends requests through the trackers of a fleet to simulated endpoints, some of
// which crash for other reasons, while instances are cut off and restarted.
type simulation struct {
	*fleet
	random *rand.Rand
	// badFrom and end bound the time in which requests with bad parts come.
	start, badFrom, end time.Time
	// isSilent reports that engines crash before they write anything of their answer.
	isSilent bool
	// runBad replaces the run of a bad request once its engine has begun it; nil for the default.
	runBad func(watch relay.AttemptWatch, wait func(time.Duration) (relay.AttemptEnd, bool), crash func(after time.Duration)) relay.AttemptEnd

	mu        sync.Mutex
	engines   []*engine
	endedBy   map[string][]time.Time
	arrivals  map[string][]time.Time
	sound     []soundRequest
	instances []*simulatedInstance
}

type simulatedInstance struct {
	tracker *Tracker
	// cutOff reports that it reaches no endpoint.
	cutOff bool
}

type soundRequest struct {
	at      time.Time
	refused bool
}

// engine is a simulated endpoint. down is closed when its lifetime ends.
type engine struct {
	record pool.Record
	alive  bool
	down   chan struct{}
}

const (
	simulatedRestart = 4 * time.Second
	// crashTime is the time from the begin of an answer to the end of the engine.
	crashTime = 70 * time.Millisecond
)

// kill ends a lifetime of an engine, which is back later.
func (s *simulation) kill(e *engine, cause string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !e.alive {
		return
	}
	e.alive = false
	close(e.down)
	s.endedBy[cause] = append(s.endedBy[cause], time.Now())
	s.prober.set(e.record.Address, relay.ProbeRefused)
	time.AfterFunc(simulatedRestart, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		e.record.Born++
		e.alive, e.down = true, make(chan struct{})
		s.prober.set(e.record.Address, relay.ProbeReached)
	})
}

func (s *simulation) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.draw(int(high-low)))
}

// pick returns a live engine, and the end of its lifetime.
func (s *simulation) pick() (record pool.Record, e *engine, down chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range 1000 {
		e = s.engines[s.random.IntN(len(s.engines))]
		if e.alive {
			return e.record, e, e.down
		}
	}
	return pool.Record{}, nil, nil
}

// send sends a request, up to three times. bad is the bad part of its prompt, empty if it is
// sound.
func (s *simulation) send(from *simulatedInstance, uses []crashcause.Use, bad string) (refused bool) {
	for range 3 {
		s.mu.Lock()
		tracker, cutOff := from.tracker, from.cutOff
		s.mu.Unlock()
		decision := tracker.Admit(uses)
		for decision.Permission == crashcause.Undecided {
			time.Sleep(10 * time.Millisecond)
			decision = tracker.Admit(uses)
		}
		if decision.Permission == crashcause.Refused || decision.Permission == crashcause.Pending {
			return true
		}
		record, e, down := s.pick()
		if e == nil {
			tracker.Release(decision)
			return false
		}
		watch := tracker.Begin(record, uses, decision)
		if cutOff {
			watch.End(relay.AttemptBroken)
			watch.AwaitCause(context.Background())
			continue
		}
		if bad != "" {
			s.mu.Lock()
			s.arrivals[bad] = append(s.arrivals[bad], time.Now())
			s.mu.Unlock()
		}
		end := s.run(watch, e, down, bad)
		watch.End(end)
		if end != relay.AttemptBroken {
			return false
		}
		watch.AwaitCause(context.Background())
	}
	return false
}

// run runs a request at an engine.
func (s *simulation) run(watch relay.AttemptWatch, e *engine, down chan struct{}, bad string) relay.AttemptEnd {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	watch.SetCancel(cancel)
	wait := func(d time.Duration) (end relay.AttemptEnd, ok bool) {
		select {
		case <-time.After(d):
			return 0, true
		case <-down:
			return relay.AttemptBroken, false
		case <-ctx.Done():
			return relay.AttemptCanceled, false
		}
	}
	if end, ok := wait(s.between(20*time.Millisecond, 400*time.Millisecond)); !ok {
		return end
	}
	if bad != "" && s.runBad != nil {
		return s.runBad(watch, wait, func(after time.Duration) { time.AfterFunc(after, func() { s.kill(e, bad) }) })
	}
	if bad != "" && s.isSilent {
		time.AfterFunc(crashTime, func() { s.kill(e, bad) })
		end, _ := wait(s.between(200*time.Millisecond, 3*time.Second))
		return end
	}
	watch.RecordHead()
	if bad != "" {
		time.AfterFunc(crashTime, func() { s.kill(e, bad) })
		if s.draw(4) == 0 {
			return relay.AttemptCanceled // dropped at its head; the engine crashes all the same
		}
	}
	if end, ok := wait(50 * time.Millisecond); !ok {
		return end
	}
	if bad == "" {
		watch.RecordFirstEvent()
	}
	if end, ok := wait(s.between(200*time.Millisecond, 3*time.Second)); !ok {
		return end
	}
	return relay.AttemptComplete
}

// traffic sends requests a second in the mean until the given time.
func (s *simulation) traffic(group *sync.WaitGroup, rate float64, until time.Time, request func(number int) (parts []string, bad string)) {
	group.Go(func() {
		for number := 0; time.Now().Before(until); number++ {
			time.Sleep(time.Duration(s.between(0, time.Duration(2*float64(time.Second)/rate))))
			parts, bad := request(number)
			s.mu.Lock()
			from := s.instances[s.random.IntN(len(s.instances))]
			uses := crashcause.PartUses(s.random.Uint64(), parts)
			s.mu.Unlock()
			group.Go(func() {
				at := time.Now()
				refused := s.send(from, uses, bad)
				if bad == "" {
					s.mu.Lock()
					s.sound = append(s.sound, soundRequest{at: at, refused: refused})
					s.mu.Unlock()
				}
			})
		}
	})
}

// faults cuts instances off from their peers and from all endpoints, restarts one, and
// crashes engines for other reasons.
func (s *simulation) faults(size int) {
	for range max(1, size/10) {
		s.trackers[s.draw(size)].config.Notifier.(*link).cut = true
	}
	for range max(1, size/10) {
		s.mu.Lock()
		s.instances[s.random.IntN(size)].cutOff = true
		s.mu.Unlock()
	}
	time.Sleep(700 * time.Millisecond)
	for n := range max(1, len(s.engines)/20) {
		s.kill(s.engines[(n*7)%len(s.engines)], "another reason")
	}
}

type simulationCase struct {
	size, engines, badParts int
	soundRate, badRate      float64
	withFaults              bool
	seed                    uint64
}

func runSimulation(t *testing.T, c simulationCase) *simulation {
	t.Helper()
	s := startSimulation(t, c)
	const warmUp, length = 3 * time.Second, 9 * time.Second
	s.badFrom, s.end = s.start.Add(warmUp), s.start.Add(warmUp+length)
	var group sync.WaitGroup
	s.sendSound(&group, c.soundRate)
	time.Sleep(warmUp)
	for n := range c.badParts {
		bad := "bad" + strconv.Itoa(n)
		s.traffic(&group, c.badRate, s.end, func(int) ([]string, string) { return []string{"route", bad}, bad })
	}
	if c.withFaults {
		s.faults(c.size)
	}
	group.Wait()
	time.Sleep(simulatedRestart + time.Second)
	return s
}

func (s *simulation) sendSound(group *sync.WaitGroup, rate float64) {
	s.traffic(group, rate, s.end, func(number int) ([]string, string) {
		return []string{"route", "subject" + strconv.Itoa(s.draw(200)), "own" + strconv.Itoa(number)}[:2], ""
	})
}

// startSimulation returns a fleet that has received no request yet.
func startSimulation(t *testing.T, c simulationCase) *simulation {
	t.Helper()
	s := &simulation{
		fleet: newFleet(t, c.size, c.engines), random: rand.New(rand.NewPCG(c.seed, 1)), start: time.Now(),
		endedBy: make(map[string][]time.Time), arrivals: make(map[string][]time.Time),
	}
	for n := range c.engines {
		s.engines = append(s.engines, &engine{record: endpointAt(n), alive: true, down: make(chan struct{})})
	}
	for n, tracker := range s.trackers {
		i := &simulatedInstance{tracker: tracker}
		s.instances = append(s.instances, i)
		s.proberOf[n].isCutOff = func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return i.cutOff
		}
	}
	return s
}

// lateArrivals counts the bad requests that were sent later than the window after the crash of
// the given number.
func (s *simulation) lateArrivals(bad string, number int, window time.Duration) int {
	if len(s.endedBy[bad]) < number {
		return 0
	}
	late := 0
	for _, at := range s.arrivals[bad] {
		if at.Sub(s.endedBy[bad][number-1]) > window {
			late++
		}
	}
	return late
}

// The bounds are those of the users' rules: three requests after the fifth crash and the
// window, and half of the sound requests. In the mean no more than five engines end.
func TestFleetOfAnySizeFindsTheBadParts(t *testing.T) {
	const maxMeanEnded, maxLate = 5.0, 3
	ended, parts := make(map[bool]int), make(map[bool]int) // of the fleets with more than 9 instances, and the others
	for _, c := range []struct {
		simulationCase
		seeds  uint64
		window time.Duration
	}{
		{simulationCase{size: 9, engines: 18, badParts: 1, soundRate: 100, badRate: 12}, 8, 3 * time.Second},
		{simulationCase{size: 9, engines: 18, badParts: 3, soundRate: 100, badRate: 8}, 4, 3 * time.Second},
		{simulationCase{size: 78, engines: 112, badParts: 2, soundRate: 400, badRate: 15}, 4, 4 * time.Second},
		{simulationCase{size: 380, engines: 400, badParts: 1, soundRate: 500, badRate: 20}, 2, 4 * time.Second},
	} {
		for seed := range c.seeds {
			c.seed = seed + 1
			for _, c.withFaults = range []bool{false, true} {
				t.Run(fmt.Sprintf("%d instances, %d parts, seed %d, faults %t", c.size, c.badParts, c.seed, c.withFaults), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						s := runSimulation(t, c.simulationCase)
						for n := range c.badParts {
							bad := "bad" + strconv.Itoa(n)
							late := s.lateArrivals(bad, 5, c.window)
							t.Logf("%s: %d engines ended, %d arrivals, %d late", bad, len(s.endedBy[bad]), len(s.arrivals[bad]), late)
							assert.Check(t, late <= maxLate)
							ended[c.size > 9] += len(s.endedBy[bad])
							parts[c.size > 9]++
						}
						s.checkSound(t, c.window)
					})
				})
			}
		}
	}
	for isLarge := range ended {
		mean := float64(ended[isLarge]) / float64(parts[isLarge])
		t.Logf("large fleets %t: %.2f engines ended in the mean of %d parts", isLarge, mean, parts[isLarge])
		assert.Check(t, mean <= maxMeanEnded, "large fleets %t", isLarge)
	}
}

// checkSound checks the share of the sound requests that are refused, from twice the window
// after the begin of the crashes.
func (s *simulation) checkSound(t *testing.T, window time.Duration) {
	t.Helper()
	refusedBefore, refused, sent := 0, 0, 0
	for _, r := range s.sound {
		switch {
		case r.at.Before(s.badFrom.Add(2 * window)):
			if r.refused {
				refusedBefore++
			}
		default:
			sent++
			if r.refused {
				refused++
			}
		}
	}
	t.Logf("sound requests: %d refused before, %d of %d after", refusedBefore, refused, sent)
	assert.Check(t, sent >= 20)
	assert.Check(t, refused <= sent/2)
}
