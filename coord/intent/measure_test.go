package intent_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/intent"
	"github.com/wigeonusher/wigeonusher/coord/outbox"
	"github.com/wigeonusher/wigeonusher/coord/outbox/outboxtest"
)

// condition is what the log and the instances do during a measurement.
type condition struct {
	name    string
	latency time.Duration // of each call of the log
	downAt  time.Duration // from then on the log refuses; 0 is never
	killAt  time.Duration // then one instance of three dies; 0 is never
}

// sample is one call of a caller, who sends it again with the same key, to
// the next instance, a second after its instance died.
type sample struct {
	request *request
	at      time.Duration
	node    int
	token   string
	took    time.Duration // until the answer
}

// bench drives a world in steps of virtual time.
type bench struct {
	*world
	condition
	at       time.Duration
	calledAt [3]time.Duration // when the outbox's call in flight began
	readAt   [3]time.Duration // when the tail's read in flight returns
	sendAt   map[*request]time.Duration
	samples  []*sample
	waiting  []*sample // samples without an answer
}

const (
	benchStep   = 10 * time.Millisecond
	benchLength = 20 * time.Second
	serviceTime = 50 * time.Millisecond
)

func newBench(t assert.TestingT, c condition) *bench {
	b := &bench{condition: c, sendAt: map[*request]time.Duration{}, world: &world{
		t: t, gone: func() bool { return false }, log: outboxtest.NewLog(), window: 1 << 20, dedupe: true,
		highest: map[intent.Key]uint64{},
	}}
	box := outbox.Config{
		MaxEntries: 10_000, MaxBytes: 16 << 20, MinInterval: 100 * time.Millisecond,
		RetryBase: 100 * time.Millisecond, RetryCap: 5 * time.Second, StallAfter: 4 * time.Second,
	}
	for range 3 {
		b.nodes = append(b.nodes, b.newNode(1, box))
	}
	return b
}

func (b *bench) dead(i int) bool { return i == 0 && b.killAt > 0 && b.at >= b.killAt }

// stepNode lets one instance write, read its tail and dispatch.
func (b *bench) stepNode(i int) {
	n := b.nodes[i]
	fault := outboxtest.None
	if b.downAt > 0 && b.at >= b.downAt {
		fault = outboxtest.Unavailable
	}
	waiting := n.writer.Waiting()
	if waiting && b.at-b.calledAt[i] >= b.latency {
		n.writer.Answer(n.clock, fault)
	}
	b.tick(n, benchStep)
	if !waiting && n.writer.Waiting() {
		b.calledAt[i] = b.at
	}
	if fault == outboxtest.None && b.at >= b.readAt[i] && n.next < b.log.End() {
		b.fold(n, 1000)
		b.readAt[i] = b.at + b.latency
	}
	lost := !n.writer.Box.Health(n.clock).Available
	for _, attempt := range sortedAttempts(n) {
		r := n.open[attempt]
		if lost {
			b.step(n, r, intent.LogLost{})
		}
		if r.toSend == nil {
			continue
		}
		if _, ok := b.sendAt[r]; !ok {
			b.sendAt[r] = b.at + serviceTime
		}
		if b.at >= b.sendAt[r] {
			b.send(n, r, "answered")
		}
	}
}

// callers note their answers; those of a dead instance ask another.
func (b *bench) callers() {
	b.waiting = slices.DeleteFunc(b.waiting, func(s *sample) bool {
		s.took = b.at - s.at
		return s.request.response != nil
	})
	for _, s := range b.waiting {
		if b.dead(s.node) && b.at >= b.killAt+time.Second {
			s.node = 1 + len(s.token)%2
			s.request = b.begin(b.nodes[s.node], s.token, "f")
		}
	}
}

func (b *bench) run(rate int, keyed bool) {
	for ; b.at < benchLength+6*time.Second; b.at += benchStep {
		due := int(min(b.at, benchLength).Seconds() * float64(rate))
		for len(b.samples) < due {
			s := &sample{at: b.at, node: len(b.samples) % 3}
			if b.dead(s.node) {
				s.node = 1
			}
			if keyed {
				s.token = fmt.Sprintf("key-%d", len(b.samples))
			}
			s.request = b.begin(b.nodes[s.node], s.token, "f")
			b.samples = append(b.samples, s)
			b.waiting = append(b.waiting, s)
		}
		for i := range b.nodes {
			if !b.dead(i) {
				b.stepNode(i)
			}
		}
		b.callers()
	}
}

// TestShareServed measures, in virtual time, what becomes of calls that run at
// most once, and how many appends they take.
func TestShareServed(t *testing.T) {
	conditions := []condition{
		{name: "normal", latency: 20 * time.Millisecond},
		{name: "one instance dies", latency: 20 * time.Millisecond, killAt: 10050 * time.Millisecond},
		{name: "log takes 2 s", latency: 2 * time.Second},
		{name: "log down for the second half", latency: 20 * time.Millisecond, downAt: 10 * time.Second},
	}
	for _, c := range conditions {
		for _, rate := range []int{10, 100, 400} {
			for _, keyed := range []bool{true, false} {
				if !keyed && rate != 100 || rate == 400 && c.name != "normal" {
					continue
				}
				b := newBench(t, c)
				b.run(rate, keyed)
				kinds := map[intent.ResponseKind]int{}
				var took []time.Duration
				for _, s := range b.samples {
					took = append(took, s.took)
					assert.Assert(t, s.request.response != nil)
					kinds[s.request.response.Kind]++
				}
				appends := float64(b.log.Appends) / benchLength.Seconds()
				served := 100 * float64(kinds[intent.Answered]+kinds[intent.Replayed]) / float64(len(b.samples))
				slices.Sort(took)
				t.Logf("%-28s %3d calls/s keyed=%-5t served %5.1f %%, %4.1f appends/s, answered within p50 %v p95 %v at most %v, %v, %d runs",
					c.name, rate, keyed, served, appends, took[len(took)/2], took[len(took)*95/100], took[len(took)-1], kinds, len(b.runs))
				assert.Assert(t, appends <= 3*10*1.3)
			}
		}
	}
}
