package crashes

import (
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/crashcause"
	"github.com/wigeonusher/wigeonusher/node/relay"
)

// popular is a sound request that many clients send.
var popular = crashcause.PartUses(815, []string{"route", "subject"})

// repeatSound sends the popular request until the end, and counts those that are refused.
func (s *simulation) repeatSound(group *sync.WaitGroup, rate float64) {
	group.Go(func() {
		for time.Now().Before(s.end) {
			time.Sleep(s.between(0, time.Duration(2*float64(time.Second)/rate)))
			s.mu.Lock()
			from := s.instances[s.random.IntN(len(s.instances))]
			s.mu.Unlock()
			group.Go(func() {
				at := time.Now()
				refused := s.send(from, popular, "")
				s.mu.Lock()
				defer s.mu.Unlock()
				s.sound = append(s.sound, soundRequest{at: at, refused: refused})
			})
		}
	})
}

// hold keeps the popular request at an engine until it ends, as an answer that takes long.
func (s *simulation) hold(group *sync.WaitGroup, number int) {
	s.mu.Lock()
	e := s.engines[number]
	record, down := e.record, e.down
	from := s.instances[s.random.IntN(len(s.instances))]
	s.mu.Unlock()
	watch := from.tracker.Begin(record, popular, crashcause.Decision{})
	group.Go(func() {
		select {
		case <-down:
			watch.End(relay.AttemptBroken)
		case <-time.After(time.Until(s.end)):
			watch.End(relay.AttemptCanceled)
		}
	})
}

func (s *simulation) refusedSound() (refused, sent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.sound {
		if r.refused {
			refused++
		}
	}
	return refused, len(s.sound)
}

var soundSizes = []simulationCase{
	{size: 9, engines: 18, soundRate: 20}, {size: 78, engines: 112, soundRate: 30}, {size: 380, engines: 400, soundRate: 40},
}

// playSound plays faults against a popular request, and returns how many of it are refused.
func playSound(t *testing.T, c simulationCase, faults func(s *simulation, group *sync.WaitGroup)) (refused, sent int) {
	t.Helper()
	s := startSimulation(t, c)
	s.end = s.start.Add(9 * time.Second)
	var group sync.WaitGroup
	s.repeatSound(&group, c.soundRate)
	time.Sleep(3 * time.Second)
	faults(s, &group)
	group.Wait()
	time.Sleep(simulatedRestart + time.Second)
	return s.refusedSound()
}

func TestPopularRequestIsNotRefusedWhenItsEndpointsEnd(t *testing.T) {
	t.Parallel()
	const number = 3
	leave := func(s *simulation, e *engine) {
		s.mu.Lock()
		record := e.record
		s.mu.Unlock()
		record.Leaving, record.Sequence = true, 1
		s.pools.Put(record)
	}
	for name, faults := range map[string]func(s *simulation, group *sync.WaitGroup){
		"a rack fails": func(s *simulation, group *sync.WaitGroup) {
			for n := range number {
				s.hold(group, n)
			}
			time.Sleep(200 * time.Millisecond)
			for n := range number {
				s.kill(s.engines[n], "rack")
			}
		},
		"three releases in turn": func(s *simulation, group *sync.WaitGroup) {
			for n := range number {
				leave(s, s.engines[n])
				s.hold(group, n)
				time.Sleep(time.Second)
				s.kill(s.engines[n], "release")
			}
		},
		"three drains in turn, not announced": func(s *simulation, group *sync.WaitGroup) {
			for n := range number {
				s.mu.Lock()
				id := s.engines[n].record.ID
				s.mu.Unlock()
				s.pools.Remove(time.Now(), id)
				s.hold(group, n)
				time.Sleep(time.Second)
				s.kill(s.engines[n], "drain")
			}
		},
		"three endpoints fail in turn": func(s *simulation, group *sync.WaitGroup) {
			for n := range number {
				s.hold(group, n)
				time.Sleep(time.Second)
				s.kill(s.engines[n], "another reason")
			}
		},
		"instances are cut off from endpoints": func(s *simulation, _ *sync.WaitGroup) {
			s.mu.Lock()
			defer s.mu.Unlock()
			for n := range max(2, len(s.instances)/10) {
				s.instances[n].cutOff = true
			}
		},
	} {
		for _, c := range soundSizes {
			c.seed = 1
			t.Run(fmt.Sprintf("%s, %d instances", name, c.size), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					refused, sent := playSound(t, c, faults)
					t.Logf("%d of %d refused", refused, sent)
					assert.Equal(t, refused, 0)
				})
			})
		}
	}
}

// Endpoints answer a sound request with failures, and end for other reasons while they have others.
func TestRequestThatEndpointsFailIsNotAccused(t *testing.T) {
	for _, size := range []int{9, 78, 380} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, size, 8)
				for n := range 30 {
					watch := f.trackers[n%size].Begin(endpointAt(n%8), popular, crashcause.Decision{})
					time.Sleep(50 * time.Millisecond)
					watch.RecordHead()
					watch.End(relay.AttemptFailed)
					if n%6 == 0 {
						f.crash(f.trackers[(n+1)%size], endpointAt(n%8), request("other"+strconv.Itoa(n)))
						f.prober.set(endpointAt(n%8).Address, relay.ProbeReached)
					}
				}
				for _, tracker := range f.trackers {
					assert.Equal(t, tracker.permission(popular), crashcause.Normal)
				}
			})
		})
	}
}

// Requests with the parts of the bad one go on, and the evidence stays small.
func TestRequestsThatShareAllPartsWithABadOneAreServed(t *testing.T) {
	t.Parallel()
	for _, c := range soundSizes {
		t.Run(strconv.Itoa(c.size), func(t *testing.T) {
			t.Parallel()
			c.seed = 3
			synctest.Test(t, func(t *testing.T) {
				s := startSimulation(t, c)
				s.badFrom, s.end = s.start.Add(3*time.Second), s.start.Add(12*time.Second)
				var group sync.WaitGroup
				s.traffic(&group, 100, s.end, func(int) ([]string, string) { return []string{"route", "subject"}, "" })
				time.Sleep(3 * time.Second)
				s.repeat(&group, 6, "again", crashcause.PartUses(4711, []string{"route", "subject"}))
				group.Wait()
				time.Sleep(simulatedRestart + time.Second)
				s.checkSound(t, 0)
				refused, sent := s.refusedSound()
				t.Logf("%d engines ended, %d notices", len(s.endedBy["again"]), s.notices())
				assert.Check(t, refused*20 <= sent, "%d of %d refused", refused, sent)
				assert.Check(t, s.lateArrivals("again", 3, 3*time.Second) <= 3)
				// A report of each instance that had requests there and what follows a trial, and one
				// question of each instance in all.
				const noticesPerCrash = 40
				assert.Check(t, s.notices() <= noticesPerCrash*len(s.endedBy["again"])+c.size, "%d notices", s.notices())
			})
		})
	}
}
