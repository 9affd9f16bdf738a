package crashes

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/crashcause"
	"github.com/wigeonusher/wigeonusher/node/relay"
)

// repeat sends the same request again and again, at any instance, until the end.
func (s *simulation) repeat(group *sync.WaitGroup, rate float64, name string, uses []crashcause.Use) {
	group.Go(func() {
		for time.Now().Before(s.end) {
			time.Sleep(s.between(0, time.Duration(2*float64(time.Second)/rate)))
			s.mu.Lock()
			from := s.instances[s.random.IntN(len(s.instances))]
			s.mu.Unlock()
			group.Go(func() { s.send(from, uses, name) })
		}
	})
}

// TestRequestThatCrashesEndpointsIsNotSentAgain requires the users' bound: at most three sends
// later than the window after the third crash, whether endpoints end before or after they have
// begun an answer, with instances that are cut off and endpoints that crash for other reasons.
// After the third crash, only what is on its way then may end another endpoint or two.
func TestRequestThatCrashesEndpointsIsNotSentAgain(t *testing.T) {
	const maxLate, maxEnded, warmUp = 3, 5, 3 * time.Second
	for _, c := range []struct {
		simulationCase
		seeds  uint64
		length time.Duration
	}{
		{simulationCase{size: 9, engines: 18, soundRate: 20, badRate: 0.2}, 6, 60 * time.Second},
		{simulationCase{size: 9, engines: 18, soundRate: 100, badRate: 1}, 4, 12 * time.Second},
		{simulationCase{size: 9, engines: 18, soundRate: 100, badRate: 6}, 4, 12 * time.Second},
		{simulationCase{size: 60, engines: 100, soundRate: 300, badRate: 6}, 2, 12 * time.Second},
		{simulationCase{size: 78, engines: 112, soundRate: 300, badRate: 6}, 2, 12 * time.Second},
		{simulationCase{size: 380, engines: 400, soundRate: 400, badRate: 10}, 1, 12 * time.Second},
	} {
		for seed := range c.seeds {
			for _, isSilent := range []bool{false, true} {
				c.seed, c.withFaults = seed+1, seed%2 == 1
				t.Run(fmt.Sprintf("%d instances, %v a second, seed %d, silent %t", c.size, c.badRate, c.seed, isSilent), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						s := startSimulation(t, c.simulationCase)
						s.isSilent = isSilent
						s.badFrom, s.end = s.start.Add(warmUp), s.start.Add(warmUp+c.length)
						var group sync.WaitGroup
						s.sendSound(&group, c.soundRate)
						time.Sleep(warmUp)
						s.repeat(&group, c.badRate, "again", crashcause.PartUses(4711, []string{"route", "subject7"}))
						if c.withFaults {
							s.faults(c.size)
						}
						group.Wait()
						time.Sleep(simulatedRestart + time.Second)
						late := s.lateArrivals("again", 3, 3*time.Second)
						t.Logf("%d engines ended, %d arrivals, %d late", len(s.endedBy["again"]), len(s.arrivals["again"]), late)
						assert.Check(t, late <= maxLate)
						assert.Check(t, len(s.endedBy["again"]) <= maxEnded, "%d endpoints ended", len(s.endedBy["again"]))
						s.checkSound(t, 3*time.Second)
					})
				})
			}
		}
	}
}

type (
	waitFunc  = func(time.Duration) (relay.AttemptEnd, bool)
	crashFunc = func(after time.Duration)
)

// The users' bound, whatever the end of an attempt looks like from here.
func TestRequestThatCrashesEndpointsIsFoundHoweverItsAttemptsEnd(t *testing.T) {
	t.Parallel()
	const maxLate, warmUp, length, window = 3, 3 * time.Second, 12 * time.Second, 3 * time.Second
	for name, newRun := range map[string]func(s *simulation) func(relay.AttemptWatch, waitFunc, crashFunc) relay.AttemptEnd{
		"endpoints fail each third attempt": func(s *simulation) func(relay.AttemptWatch, waitFunc, crashFunc) relay.AttemptEnd {
			return func(watch relay.AttemptWatch, wait waitFunc, crash crashFunc) relay.AttemptEnd {
				watch.RecordHead()
				if s.draw(3) == 0 {
					return relay.AttemptFailed
				}
				crash(crashTime)
				end, _ := wait(time.Second)
				return end
			}
		},
		"clients leave first": func(*simulation) func(relay.AttemptWatch, waitFunc, crashFunc) relay.AttemptEnd {
			return func(_ relay.AttemptWatch, wait waitFunc, crash crashFunc) relay.AttemptEnd {
				crash(crashTime)
				if end, ok := wait(crashTime / 2); !ok {
					return end
				}
				return relay.AttemptCanceled
			}
		},
		"endpoints end long after the head": func(*simulation) func(relay.AttemptWatch, waitFunc, crashFunc) relay.AttemptEnd {
			return func(watch relay.AttemptWatch, wait waitFunc, crash crashFunc) relay.AttemptEnd {
				watch.RecordHead()
				crash(800 * time.Millisecond)
				end, _ := wait(2 * time.Second)
				return end
			}
		},
		"endpoints end while they stream": func(*simulation) func(relay.AttemptWatch, waitFunc, crashFunc) relay.AttemptEnd {
			return func(watch relay.AttemptWatch, wait waitFunc, crash crashFunc) relay.AttemptEnd {
				watch.RecordHead()
				watch.RecordFirstEvent()
				crash(800 * time.Millisecond)
				end, _ := wait(2 * time.Second)
				return end
			}
		},
	} {
		for _, c := range []simulationCase{
			{size: 9, engines: 18, soundRate: 100, badRate: 6},
			{size: 78, engines: 112, soundRate: 300, badRate: 6},
			{size: 380, engines: 400, soundRate: 400, badRate: 10},
			{size: 9, engines: 3, soundRate: 20, badRate: 4},
		} {
			t.Run(fmt.Sprintf("%s, %d instances, %d endpoints", name, c.size, c.engines), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					c.seed = 7
					s := startSimulation(t, c)
					s.pools.Put(otherService)
					s.runBad = newRun(s)
					s.badFrom, s.end = s.start.Add(warmUp), s.start.Add(warmUp+length)
					var group sync.WaitGroup
					s.sendSound(&group, c.soundRate)
					time.Sleep(warmUp)
					s.repeat(&group, c.badRate, "again", crashcause.PartUses(4711, []string{"route", "subject7"}))
					group.Wait()
					time.Sleep(simulatedRestart + time.Second)
					late := s.lateArrivals("again", 3, window)
					t.Logf("%d engines ended, %d arrivals, %d late", len(s.endedBy["again"]), len(s.arrivals["again"]), late)
					assert.Check(t, late <= maxLate, "%d late sends", late)
					s.checkSound(t, window)
				})
			})
		}
	}
}
