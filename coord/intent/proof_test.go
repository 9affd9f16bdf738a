package intent_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wigeonusher/wigeonusher/coord/intent"
	"github.com/wigeonusher/wigeonusher/coord/outbox"
	"github.com/wigeonusher/wigeonusher/coord/outbox/outboxtest"
	"github.com/wigeonusher/wigeonusher/coord/outcome"
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

func TestMain(m *testing.M) { os.Exit(outboxtest.Main(m, 4202, 300, 200)) }

var boxConfig = outbox.Config{
	MaxEntries:  6,
	MaxBytes:    1 << 20,
	MinInterval: 100 * time.Millisecond,
	RetryBase:   100 * time.Millisecond,
	RetryCap:    time.Second,
}

// request is one request of a caller at one instance.
type request struct {
	call     *intent.Call
	progress outcome.Attempt
	cfg      intent.CallConfig
	response *intent.Respond
	toSend   *intent.Dispatch // permitted and not sent yet
}

// node is one instance. Its clock moves only when the test moves it, so a node
// that gets no step is paused.
type node struct {
	id     platform.InstanceID
	clock  time.Time
	writer *outboxtest.Writer
	ledger *intent.Ledger
	next   platform.Offset
	target platform.Offset // end of the stream at the node's start
	seen   map[string]bool
	open   map[string]*request // by attempt
}

// run is one execution of a call at an endpoint.
type run struct {
	key     intent.Key
	attempt string
	fencing uint64
}

// world is all that a check draws: a log, nodes, endpoints and callers.
type world struct {
	t        assert.TestingT
	gone     func() bool // believes that a holder is dead
	log      *outboxtest.Log
	window   uint64
	dedupe   bool // nodes drop repeated entry IDs before they fold
	checks   bool // endpoints check fencing numbers
	nodes    []*node
	dead     map[platform.InstanceID]bool
	requests []*request
	transit  []run // sent, not arrived
	runs     []run
	highest  map[intent.Key]uint64
	started  int
	// events counts runs and responses; checked is its value at the last check.
	events, checked int
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t:       t,
		gone:    func() bool { return rapid.Bool().Draw(t, "holder gone") },
		log:     outboxtest.NewLog(),
		window:  rapid.SampledFrom([]uint64{6, 30, 10_000}).Draw(t, "window"),
		dedupe:  rapid.Bool().Draw(t, "dedupe"),
		checks:  rapid.Bool().Draw(t, "endpoints check fencing"),
		dead:    map[platform.InstanceID]bool{},
		highest: map[intent.Key]uint64{},
	}
	for range 3 {
		w.nodes = append(w.nodes, w.newNode(w.log.First(), boxConfig))
	}
	return w
}

func (w *world) newNode(from platform.Offset, box outbox.Config) *node {
	w.started++
	n := &node{
		id:     platform.InstanceID(fmt.Sprintf("instance-%d", w.started)),
		clock:  time.Unix(0, 0),
		next:   from,
		target: w.log.End(),
		seen:   map[string]bool{},
		open:   map[string]*request{},
	}
	n.writer = &outboxtest.Writer{
		Box: outbox.New(box, rand.New(rand.NewPCG(uint64(w.started), 1))),
		Log: w.log,
	}
	cfg := intent.LedgerConfig{Window: w.window, MaxKeys: 1000, MaxBody: 100, MaxBodies: 300}
	n.ledger = intent.NewLedger(cfg, func(d intent.Decision) { w.decided(n, d) })
	n.ledger.StartAt(from)
	return n
}

// replace kills a node and starts one with empty memory, from the retained
// records or from another node's snapshot.
func (w *world) replace(i int, snapshotOf *node) {
	w.dead[w.nodes[i].id] = true
	n := w.newNode(w.log.First(), boxConfig)
	if snapshotOf != nil && snapshotOf != w.nodes[i] {
		snapshot, err := snapshotOf.ledger.Snapshot()
		assert.NilError(w.t, err)
		assert.NilError(w.t, n.ledger.Restore(snapshot))
		n.next = snapshotOf.next
	}
	w.nodes[i] = n
}

func (w *world) fold(n *node, limit int) {
	for _, record := range w.log.Read(n.next, limit) {
		n.next = record.Offset + 1
		entries, _ := platform.DecodeEntries(record.Payload)
		for i, entry := range entries {
			if w.dedupe && n.seen[entry.ID] {
				continue
			}
			n.seen[entry.ID] = true
			n.ledger.Apply(platform.Position{Offset: record.Offset, Index: i}, entry)
			n.writer.Do(n.writer.Box.Observe([]string{entry.ID}))
		}
	}
}

// decided routes a decision to its call, or frees the key of an acceptance
// that no call knows.
func (w *world) decided(n *node, d intent.Decision) {
	if d.Writer != n.id {
		return
	}
	if r := n.open[d.Attempt]; r != nil {
		w.step(n, r, intent.Decided{Decision: d, HolderGone: w.gone()})
		return
	}
	if entry, err := intent.AbandonEntry(d); err == nil && d.Accepted {
		_ = n.writer.Box.Add(entry)
	}
}

func (w *world) step(n *node, r *request, event intent.Event) {
	for _, effect := range r.call.Step(n.clock, event) {
		switch effect := effect.(type) {
		case intent.AddEntry:
			if n.writer.Box.Add(effect.Entry) != nil {
				w.step(n, r, intent.Rejected{RetryAfter: time.Second})
			}
		case intent.Withdraw:
			if len(n.writer.Box.Withdraw(effect.ID)) > 0 {
				w.step(n, r, intent.Withdrawn{RetryAfter: time.Second})
			}
		case intent.Dispatch:
			assert.Assert(w.t, r.toSend == nil && n.clock.Before(r.cfg.Deadline))
			r.toSend = &effect
		case intent.Respond:
			w.respond(r, effect)
		}
	}
	if r.call.Finished() {
		delete(n.open, r.cfg.Attempt)
	}
}

func (w *world) respond(r *request, response intent.Respond) {
	assert.Assert(w.t, r.response == nil, "answered twice")
	r.response = &response
	w.events++
	switch response.Kind {
	case intent.NotRun:
		assert.Assert(w.t, response.Outcome.IsNotRun())
	case intent.Answered:
		assert.Assert(w.t, response.Outcome.IsRan())
	case intent.Replayed:
		replayed := slices.ContainsFunc(w.runs, func(x run) bool {
			return x.key == r.cfg.Key && (response.Truncated || x.attempt == string(response.Body))
		})
		assert.Assert(w.t, replayed, "replay of an answer that no endpoint gave")
	}
}

func (w *world) startRequest(t *rapid.T, n *node) {
	token := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key")
	w.begin(n, token, rapid.SampledFrom([]string{"f", "f", "f", "f", "f", "f", "g"}).Draw(t, "fingerprint"))
}

func (w *world) begin(n *node, token, fingerprint string) *request {
	r := &request{cfg: intent.CallConfig{
		Writer:      n.id,
		Key:         intent.Key{Account: "a", Service: "s", Token: token},
		Attempt:     fmt.Sprintf("attempt-%d", len(w.requests)),
		Fingerprint: fingerprint,
		Deadline:    n.clock.Add(5 * time.Second),
		MaxBody:     100,
		RetryAfter:  time.Second,
	}}
	r.call = intent.NewCall(r.cfg, &r.progress)
	w.requests = append(w.requests, r)
	n.open[r.cfg.Attempt] = r
	w.step(n, r, intent.Start{
		LogAvailable: n.writer.Box.Health(n.clock).Available,
		RetryAfter:   time.Second,
		CaughtUp:     n.next >= n.target && n.ledger.Complete(),
		Folded:       n.ledger.Last(),
		Status:       n.ledger.Status(r.cfg.Key),
		HolderGone:   w.gone(),
	})
	return r
}

// arrive lets a sent call reach its endpoint, and reports whether it ran.
func (w *world) arrive(x run) bool {
	if w.checks && x.fencing < w.highest[x.key] {
		return false
	}
	w.highest[x.key] = max(w.highest[x.key], x.fencing)
	w.runs = append(w.runs, x)
	w.events++
	return true
}

// send carries out a permitted dispatch with the fate given.
func (w *world) send(n *node, r *request, fate string) {
	x := run{key: r.cfg.Key, attempt: r.cfg.Attempt, fencing: r.toSend.Fencing}
	r.toSend = nil
	if fate == "not departed" {
		w.step(n, r, intent.DispatchResult{Outcome: r.progress.Outcome(), MayRetry: true})
		return
	}
	r.progress.Depart()
	result := intent.DispatchResult{}
	switch fate {
	case "answered":
		result.Status, result.Body = 200, []byte(r.cfg.Attempt)
		result.Refused = !w.arrive(x)
		r.progress.Answer()
	case "answer lost":
		w.arrive(x)
	case "refused":
		result.Status, result.Refused = 503, true
		r.progress.Answer()
	case "late":
		w.transit = append(w.transit, x)
	}
	result.Outcome = r.progress.Outcome()
	w.step(n, r, result)
}

func (w *world) draw(t *rapid.T) *node { return rapid.SampledFrom(w.nodes).Draw(t, "node") }

// drawOpen draws an open request of the node that satisfies the condition.
func drawOpen(t *rapid.T, n *node, ok func(*request) bool) *request {
	var attempts []string
	for attempt, r := range n.open {
		if ok(r) {
			attempts = append(attempts, attempt)
		}
	}
	if len(attempts) == 0 {
		t.Skip("no such request")
	}
	slices.Sort(attempts)
	return n.open[rapid.SampledFrom(attempts).Draw(t, "request")]
}

func (w *world) tick(n *node, by time.Duration) {
	n.clock = n.clock.Add(by)
	n.writer.Step(n.clock, outbox.Tick{})
	for _, attempt := range sortedAttempts(n) {
		w.step(n, n.open[attempt], intent.Tick{})
	}
}

func sortedAttempts(n *node) []string {
	var attempts []string
	for attempt := range n.open {
		attempts = append(attempts, attempt)
	}
	slices.Sort(attempts)
	return attempts
}

func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"request": func(t *rapid.T) { w.startRequest(t, w.draw(t)) },
		"fold":    func(t *rapid.T) { w.fold(w.draw(t), rapid.IntRange(1, 5).Draw(t, "records")) },
		"answer": func(t *rapid.T) {
			n := w.draw(t)
			n.writer.Answer(n.clock, rapid.SampledFrom(outboxtest.Faults()).Draw(t, "fault"))
		},
		"progress":      func(t *rapid.T) { w.progress(w.draw(t)) },
		"more progress": func(t *rapid.T) { w.progress(w.draw(t)) },
		"more requests": func(t *rapid.T) { w.startRequest(t, w.draw(t)) },
		"tick": func(t *rapid.T) {
			w.tick(w.draw(t), time.Duration(rapid.SampledFrom([]int{50, 200, 3000}).Draw(t, "ms"))*time.Millisecond)
		},
		"pause": func(t *rapid.T) { n := w.draw(t); n.clock = n.clock.Add(6 * time.Second) },
		"send": func(t *rapid.T) {
			var permitted []*node
			for _, n := range w.nodes {
				if slices.ContainsFunc(sortedAttempts(n), func(a string) bool { return n.open[a].toSend != nil }) {
					permitted = append(permitted, n)
				}
			}
			if len(permitted) == 0 {
				t.Skip("nothing permitted")
			}
			n := rapid.SampledFrom(permitted).Draw(t, "node")
			r := drawOpen(t, n, func(r *request) bool { return r.toSend != nil })
			fates := []string{"answered", "answered", "answer lost", "not departed", "refused", "late", "vanished"}
			w.send(n, r, rapid.SampledFrom(fates).Draw(t, "fate"))
		},
		"cancel": func(t *rapid.T) {
			n := w.draw(t)
			w.step(n, drawOpen(t, n, func(*request) bool { return true }), intent.Cancelled{})
		},
		"log lost": func(t *rapid.T) {
			n := w.draw(t)
			w.step(n, drawOpen(t, n, func(*request) bool { return true }), intent.LogLost{})
		},
		"land": func(t *rapid.T) {
			if w.log.Late() == 0 {
				t.Skip("nothing late")
			}
			w.log.Land(rapid.IntRange(0, w.log.Late()-1).Draw(t, "late"))
		},
		"repeat a record": func(t *rapid.T) {
			if w.log.End() > 1 {
				w.log.Append(rapid.SampledFrom(w.log.All()).Draw(t, "record").Payload)
			}
		},
		"arrive": func(t *rapid.T) {
			if len(w.transit) > 0 {
				w.arrive(w.transit[0])
				w.transit = w.transit[1:]
			}
		},
		"kill": func(t *rapid.T) {
			if rapid.IntRange(0, 4).Draw(t, "spare") > 0 {
				return
			}
			var source *node
			if rapid.Bool().Draw(t, "from snapshot") {
				source = w.draw(t)
			}
			w.replace(rapid.IntRange(0, len(w.nodes)-1).Draw(t, "killed"), source)
		},
		"retention": func(t *rapid.T) {
			if rapid.IntRange(0, 4).Draw(t, "spare") > 0 {
				return
			}
			keep := platform.Offset(rapid.IntRange(1, 40).Draw(t, "kept"))
			w.log.Truncate(max(w.log.End(), keep) - keep)
			for i, n := range w.nodes {
				if n.next < w.log.First() {
					w.replace(i, nil)
				}
			}
		},
		"": func(*rapid.T) { w.check() },
	}
}

// check states the invariants. It has nothing to do until a call has run or
// been answered since.
func (w *world) check() {
	if w.events == w.checked {
		return
	}
	w.checked = w.events
	ran := map[string]int{}
	for _, x := range w.runs {
		ran[x.attempt]++
		assert.Assert(w.t, ran[x.attempt] == 1, "%s ran twice", x.attempt)
	}
	for _, r := range w.requests {
		if r.response != nil && r.response.Kind == intent.NotRun {
			assert.Assert(w.t, ran[r.cfg.Attempt] == 0, "%s was answered not run, and ran", r.cfg.Attempt)
		}
	}
	byKey := map[intent.Key][]run{}
	for _, x := range w.runs {
		byKey[x.key] = append(byKey[x.key], x)
	}
	for key, runs := range byKey {
		slices.SortFunc(runs, func(a, b run) int { return cmp.Compare(a.fencing, b.fencing) })
		for i := 1; i < len(runs); i++ {
			assert.Assert(w.t, w.expiredBetween(runs[i-1], runs[i]), "key %s ran twice", key.Token)
		}
	}
}

// expiredBetween tells whether the lifetime of a key, renewed by each intent
// and by the outcome of the first run, ended between two runs.
func (w *world) expiredBetween(first, second run) bool {
	last, seen := first.fencing>>10, map[string]bool{}
	for _, record := range w.log.All() {
		entries, _ := platform.DecodeEntries(record.Payload)
		for i, entry := range entries {
			number := platform.Position{Offset: record.Offset, Index: i}.Number()
			renews := !seen[entry.ID] && w.renews(entry, uint64(record.Offset), first)
			seen[entry.ID] = true
			if !renews || number <= first.fencing || number > second.fencing {
				continue
			}
			if uint64(record.Offset) >= last+w.window {
				return true
			}
			last = uint64(record.Offset)
		}
	}
	return false
}

func (w *world) renews(entry platform.Entry, offset uint64, first run) bool {
	var body struct {
		intent.Outcome
		After uint64
	}
	if json.Unmarshal(entry.Body, &body) != nil || body.Key != first.key {
		return false
	}
	if entry.Kind == intent.KindOutcome {
		return body.Attempt == first.attempt
	}
	return body.After+w.window > offset
}

// progress lets a node do what it can without a fault.
func (w *world) progress(n *node) {
	w.tick(n, 100*time.Millisecond)
	n.writer.Answer(n.clock, outboxtest.None)
	w.fold(n, 1<<20)
}

// settle ends all faults and lets everything come to rest.
func (w *world) settle() {
	for w.log.Late() > 0 {
		w.log.Land(0)
	}
	for range 80 {
		for _, n := range w.nodes {
			w.tick(n, time.Second)
			w.progress(n)
			for _, attempt := range sortedAttempts(n) {
				if r := n.open[attempt]; r != nil && r.toSend != nil {
					w.send(n, r, "answered")
				}
			}
		}
	}
}

// TestAtMostOnce draws kills, pauses, log faults, lost and late appends,
// repeated records, takeovers from empty memory, cancelled callers, retention,
// and endpoints that do and do not check fencing numbers. Invariants: a key
// runs once in its lifetime; what was answered "not run" never runs; nobody
// is answered twice; in the end everybody is answered and no key is held by a
// live instance.
func TestAtMostOnce(t *testing.T) {
	kinds := map[intent.ResponseKind]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(w.actions())
		w.settle()
		w.check()
		for _, r := range w.requests {
			if w.dead[r.cfg.Writer] {
				continue
			}
			assert.Assert(t, r.response != nil, "%s was never answered", r.cfg.Attempt)
			kinds[r.response.Kind]++
		}
		for _, n := range w.nodes {
			assert.Equal(t, len(n.open), 0)
			for _, token := range []string{"k1", "k2", "k3"} {
				s := n.ledger.Status(intent.Key{Account: "a", Service: "s", Token: token})
				assert.Assert(t, s.State != intent.Claimed || s.Writer != n.id, "key %s left claimed", token)
			}
		}
	})
	t.Logf("responses: %v", kinds)
}
