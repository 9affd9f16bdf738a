package outbox_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wigeonusher/wigeonusher/coord/outbox"
	"github.com/wigeonusher/wigeonusher/coord/outbox/outboxtest"
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

func TestMain(m *testing.M) { os.Exit(outboxtest.Main(m, 4201, 150, 100)) }

var (
	epoch  = time.Unix(0, 0)
	config = outbox.Config{
		MaxEntries:  40,
		MaxBytes:    8 << 10,
		MinInterval: 100 * time.Millisecond,
		RetryBase:   100 * time.Millisecond,
		RetryCap:    4 * time.Second,
		StallAfter:  5 * time.Second,
		Patience:    2 * time.Second,
	}
)

func newWriter(log *outboxtest.Log) *outboxtest.Writer {
	return &outboxtest.Writer{
		Box:       outbox.New(config, rand.New(rand.NewPCG(1, 2))),
		Log:       log,
		ReadLimit: 2,
	}
}

func entryOf(t assert.TestingT, id string) platform.Entry {
	entry, err := platform.NewEntry(id, "test", "instance-1", "body")
	assert.NilError(t, err)
	return entry
}

// TestNothingLostNothingBlind draws faults of the log and checks that what is
// settled is in the log, that what is withdrawn never will be, that the bounds
// hold, and that in the end everything is in the log. An entry may be there
// twice only if some append of it was lost.
func TestNothingLostNothingBlind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := outboxtest.NewLog()
		w := newWriter(log)
		now, added := epoch, 0
		settled, withdrawn := map[string]bool{}, map[string]bool{}
		lost := false
		var given []platform.Entry // to the instance that appends for this one
		w.OnSettled = func(ids []string) {
			for _, id := range ids {
				assert.Assert(t, !settled[id], "settled twice")
				settled[id] = true
			}
		}
		lastAppends, lastAppend := 0, epoch.Add(-time.Hour)
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				err := w.Box.Add(entryOf(t, fmt.Sprint(added)))
				assert.Assert(t, err == nil || w.Box.Len() == config.MaxEntries)
				if err == nil {
					added++
				}
			},
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				w.Step(now, outbox.Tick{})
			},
			"answer": func(t *rapid.T) {
				fault := rapid.SampledFrom(outboxtest.Faults()).Draw(t, "fault")
				lost = lost || fault > outboxtest.Unavailable
				sought := w.Sought()
				w.Answer(now, fault)
				if fault != outboxtest.None || w.Sought() != nil {
					return
				}
				for _, entry := range w.Box.Held() {
					found := slices.Contains(sought, entry.ID) && log.IDs()[entry.ID] > 0
					assert.Assert(t, !found, "entry %s overlooked", entry.ID)
				}
			},
			"land": func(t *rapid.T) {
				if log.Late() == 0 {
					t.Skip("nothing late")
				}
				log.Land(rapid.IntRange(0, log.Late()-1).Draw(t, "late"))
			},
			"delegate": func(t *rapid.T) {
				w.Step(now, outbox.Delegated{Active: rapid.Bool().Draw(t, "active")})
			},
			"forward": func(t *rapid.T) {
				if held := w.Box.Held(); len(held) > 0 {
					entry := rapid.SampledFrom(held).Draw(t, "entry")
					w.Step(now, outbox.Forwarded{IDs: []string{entry.ID}})
					given, lost = append(given, entry), true
				}
			},
			"delegate appends": func(t *rapid.T) {
				payload, err := platform.EncodeEntries(given)
				assert.NilError(t, err)
				log.Append(payload)
				if rapid.Bool().Draw(t, "observed") {
					for _, entry := range given {
						w.Do(w.Box.Observe([]string{entry.ID}))
					}
				}
				given = nil
			},
			"see the end": func(*rapid.T) { w.Step(now, outbox.EndSeen{Next: log.End()}) },
			"withdraw": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(0, added).Draw(t, "entry"))
				for _, id := range w.Box.Withdraw(id) {
					withdrawn[id] = true
				}
			},
			"": func(t *rapid.T) {
				counts := log.IDs()
				for id := range settled {
					assert.Assert(t, counts[id] > 0, "entry %s settled but not logged", id)
				}
				for id, n := range counts {
					assert.Assert(t, !withdrawn[id], "entry %s withdrawn but logged", id)
					assert.Assert(t, lost || n == 1, "entry %s logged %d times", id, n)
				}
				if log.Appends > lastAppends {
					assert.Assert(t, log.Appends == lastAppends+1)
					assert.Assert(t, now.Sub(lastAppend) >= config.MinInterval, "appends too close")
					lastAppends, lastAppend = log.Appends, now
				}
			},
		})
		w.Step(now, outbox.Delegated{})
		for range 200 {
			now = now.Add(config.RetryCap)
			w.Step(now, outbox.Tick{})
			w.Answer(now, outboxtest.None)
		}
		assert.Equal(t, w.Box.Len(), 0)
		assert.Equal(t, len(settled)+len(withdrawn), added)
		assert.Assert(t, w.Box.Health(now).Available)
	})
}

// TestLateEffectAfterReadBack is the hardest single case: the read-back does
// not find the entry, and the lost append takes effect afterwards.
func TestLateEffectAfterReadBack(t *testing.T) {
	log := outboxtest.NewLog()
	w := newWriter(log)
	assert.NilError(t, w.Box.Add(entryOf(t, "a")))
	w.Step(epoch, outbox.Tick{})
	w.Answer(epoch, outboxtest.LostLate)
	w.Answer(epoch, outboxtest.None)
	assert.Equal(t, w.Box.Len(), 1)
	assert.Equal(t, len(w.Box.Withdraw("a")), 0)
	log.Land(0)
	assert.Assert(t, !w.Box.Health(epoch).Available)
	later := epoch.Add(config.RetryCap)
	w.Step(later, outbox.Tick{})
	w.Answer(later, outboxtest.None)
	assert.Equal(t, log.IDs()["a"], 2)
	assert.Equal(t, w.Box.Len(), 0)
}

// TestReservationIsKept fills the outbox around a reservation.
func TestReservationIsKept(t *testing.T) {
	box := outbox.New(config, rand.New(rand.NewPCG(1, 2)))
	reservation, err := box.Reserve(200)
	assert.NilError(t, err)
	for i := 0; box.Add(entryOf(t, fmt.Sprint(i))) == nil; i++ {
	}
	assert.Equal(t, box.Len(), config.MaxEntries-1)
	assert.NilError(t, reservation.Add(entryOf(t, "last")))
	assert.ErrorIs(t, reservation.Add(entryOf(t, "again")), outbox.ErrReservationUsed)
	assert.Equal(t, box.Len(), config.MaxEntries)
}

// TestAppendsAreFlat measures, in virtual time, the appends of ten seconds at
// growing rates of entries, before a log that answers after the given time.
func TestAppendsAreFlat(t *testing.T) {
	for _, latency := range []time.Duration{20 * time.Millisecond, 2 * time.Second} {
		for _, rate := range []int{10, 100, 1000, 5000} {
			log := outboxtest.NewLog()
			cfg := config
			cfg.MaxEntries, cfg.MaxBytes = 100_000, 100<<20
			w := &outboxtest.Writer{Box: outbox.New(cfg, rand.New(rand.NewPCG(1, 2))), Log: log}
			const step = 10 * time.Millisecond
			added, answerAt := 0, epoch
			for at := time.Duration(0); at < 10*time.Second; at += step {
				now := epoch.Add(at)
				for ; added < int(at.Seconds()*float64(rate)); added++ {
					assert.NilError(t, w.Box.Add(entryOf(t, fmt.Sprint(added))))
				}
				before := log.Appends
				if w.Waiting() && !now.Before(answerAt) {
					w.Answer(now, outboxtest.None)
				}
				w.Step(now, outbox.Tick{})
				if log.Appends > before {
					answerAt = now.Add(latency)
				}
			}
			t.Logf("latency %v, %d entries/s: %d appends in 10 s", latency, rate, log.Appends)
			assert.Assert(t, log.Appends <= int(10*time.Second/cfg.MinInterval))
		}
	}
}

// TestDelegationKeepsAppendsFlat measures the appends of a zone of instances,
// each with entries of its own, with and without one that appends for all. It
// dies after half of the time.
func TestDelegationKeepsAppendsFlat(t *testing.T) {
	for _, instances := range []int{1, 5, 22} {
		for _, delegated := range []bool{false, true} {
			log := outboxtest.NewLog()
			var writers []*outboxtest.Writer
			for range instances {
				writers = append(writers, newWriter(log))
				writers[len(writers)-1].Step(epoch, outbox.Delegated{Active: delegated && len(writers) > 1})
			}
			longest, held, folded, half := 0, map[string]int{}, platform.Offset(1), 0
			const steps = 2000 // of 10 ms
			for i := range steps {
				now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
				if i == steps/2 {
					half = log.Appends
				}
				if i == steps/2 && instances > 1 {
					writers = writers[1:]
					writers[0].Step(now, outbox.Delegated{})
				}
				for j, w := range writers {
					if i%20 == j%20 && i < steps-400 {
						entry := entryOf(t, fmt.Sprintf("%d-%d", i, j))
						held[entry.ID] = i
						assert.NilError(t, w.Box.Add(entry))
						if delegated && j > 0 {
							w.Step(now, outbox.Forwarded{IDs: []string{entry.ID}})
							assert.NilError(t, writers[0].Box.Add(entry))
						}
					}
					w.Answer(now, outboxtest.None)
					w.Step(now, outbox.Tick{})
				}
				for _, record := range log.Read(folded, 1000) {
					folded = record.Offset + 1
					entries, _ := platform.DecodeEntries(record.Payload)
					for _, entry := range entries {
						longest = max(longest, i-held[entry.ID])
						for _, w := range writers {
							w.Do(w.Box.Observe([]string{entry.ID}))
						}
					}
				}
			}
			for _, w := range writers {
				assert.Equal(t, w.Box.Len(), 0)
			}
			t.Logf("%2d instances, delegated=%-5t: %.1f appends/s in the first half, longest wait %d ms", instances, delegated,
				float64(half)/10, longest*10)
			assert.Assert(t, !delegated || half <= 105)
		}
	}
}

// TestForwardedDuringReadBack forwards an entry that a read-back in flight
// does not look for. The next one has to start before it.
func TestForwardedDuringReadBack(t *testing.T) {
	log := outboxtest.NewLog()
	w := newWriter(log)
	assert.NilError(t, w.Box.Add(entryOf(t, "a")))
	w.Step(epoch, outbox.Tick{})
	w.Answer(epoch, outboxtest.LostBefore)
	assert.DeepEqual(t, w.Sought(), []string{"a"})
	assert.NilError(t, w.Box.Add(entryOf(t, "b")))
	w.Step(epoch, outbox.Forwarded{IDs: []string{"b"}})
	payload, err := platform.EncodeEntries([]platform.Entry{entryOf(t, "b")})
	assert.NilError(t, err)
	log.Append(payload)
	w.Answer(epoch, outboxtest.None)
	later := epoch.Add(config.RetryCap)
	w.Step(later, outbox.Tick{})
	w.Answer(later, outboxtest.LostBefore)
	w.Answer(later, outboxtest.None)
	assert.Equal(t, w.Box.Len(), 1)
}
