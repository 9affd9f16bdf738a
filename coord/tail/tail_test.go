package tail_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wigeonusher/wigeonusher/coord/config"
	"github.com/wigeonusher/wigeonusher/coord/fold"
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// inForceWithin is the time in which every instance must have caught up once
// the faults are over.
const inForceWithin = 16 * time.Second

var zones = []platform.Zone{"east", "north", "west"}

// Instances are killed, replaced and frozen; zones are cut from the log and from
// each other; the log is down, slow, silent or truncated, holds unreadable
// records and damaged snapshots; answers come late and twice. At every moment
// each instance has exactly the state of the records before its next offset,
// and none is ready too early. Soon after the faults all have everything.
func TestEveryInstanceCatchesUpAndNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(2, 8).Draw(t, "instances") {
			w.nodes = append(w.nodes, w.newNode(rapid.SampledFrom(zones).Draw(t, "zone")))
		}
		w.publish("first")
		drawZone := func(t *rapid.T) platform.Zone { return rapid.SampledFrom(zones).Draw(t, "zone") }
		drawNode := func(t *rapid.T) int { return rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node") }
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				w.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "steps")) * step)
			},
			"publish": func(t *rapid.T) {
				for range rapid.IntRange(1, 50).Draw(t, "edits") {
					w.publish(rapid.SampledFrom([]config.SectionName{"a", "b"}).Draw(t, "section"))
				}
			},
			"bad record": func(t *rapid.T) {
				w.appendRaw([]byte(rapid.SampledFrom([]string{`[{`, ``, `[{"id":"x","kind":"fold.snapshot","body":{"base":1}}]`}).Draw(t, "junk")))
			},
			"damaged snapshot": func(*rapid.T) { w.appendDamagedSnapshot() },
			"replace": func(t *rapid.T) {
				i := drawNode(t)
				w.nodes[i] = w.newNode(w.nodes[i].zone)
			},
			"freeze or thaw": func(t *rapid.T) {
				n := w.nodes[drawNode(t)]
				n.frozen = !n.frozen
			},
			"log outage": func(t *rapid.T) { w.logDown = rapid.Bool().Draw(t, "down") },
			"log latency": func(t *rapid.T) {
				w.logLatency = time.Duration(rapid.IntRange(0, 4).Draw(t, "seconds")) * time.Second
			},
			"losses": func(t *rapid.T) {
				w.silent = rapid.Float64Range(0, 0.5).Draw(t, "silent")
				w.doubled = rapid.Float64Range(0, 0.5).Draw(t, "doubled")
			},
			"cut from log": func(t *rapid.T) {
				zone := drawZone(t)
				w.cutFromLog[zone] = !w.cutFromLog[zone]
			},
			"cut zones": func(t *rapid.T) {
				cut := [2]platform.Zone{drawZone(t), drawZone(t)}
				w.cutZones[cut] = !w.cutZones[cut] && cut[0] != cut[1]
			},
			"retention": func(*rapid.T) { w.truncate() },
		})
		w.heal()
		end := w.end()
		w.run(inForceWithin)
		for _, n := range w.nodes {
			assert.Assert(t, n.tailer.Ready(), "%s", n.id)
			assert.Assert(t, n.stream.Next() >= end, "%s is at %d, the log ended at %d", n.id, n.stream.Next(), end)
		}
		w.quiet = true
		w.run(inForceWithin)
		for _, n := range w.nodes {
			assert.Equal(t, n.stream.Next(), w.end(), "%s", n.id)
			assert.DeepEqual(t, n.fold.Document(), w.reference.fold.Document())
		}
	})
}

func (w *world) appendDamagedSnapshot() {
	snapshot, err := w.reference.stream.Snapshot()
	assert.NilError(w.t, err)
	entries, err := fold.Chunks(snapshot, "damaged")
	assert.NilError(w.t, err)
	chunk, err := fold.DecodeChunk(entries[0].Body)
	assert.NilError(w.t, err)
	chunk.Data = append(chunk.Data, '}')
	entry, err := platform.NewEntry(entries[0].ID, fold.KindSnapshot, "damaged", chunk)
	assert.NilError(w.t, err)
	w.append(entry)
}

// fleet returns a world of n instances spread over the zones that has settled.
func fleet(t assert.TestingT, n int) *world {
	w := newWorld(t, 7)
	for i := range n {
		w.nodes = append(w.nodes, w.newNode(zones[i%len(zones)]))
	}
	w.publish("first")
	w.run(20 * time.Second)
	return w
}

// caughtUp lets time pass until all live nodes have everything.
func (w *world) caughtUp() time.Duration {
	begin := w.now
	for _, n := range w.nodes {
		for !n.frozen && n.stream.Next() < w.end() && w.now.Sub(begin) < time.Minute {
			w.run(step)
		}
	}
	return w.now.Sub(begin)
}

// Only the best-ranked instances of a zone wait on the log.
func TestFewInstancesReadTheLog(t *testing.T) {
	w := fleet(t, 18)
	for _, zone := range zones {
		assert.Equal(t, w.longPolls(zone), readers)
	}
}

// A change reaches everyone although a whole zone is cut off from the platform.
func TestZoneCutFromPlatformFollowsPeers(t *testing.T) {
	w := fleet(t, 18)
	w.cutFromLog["east"] = true
	w.publish("a")
	assert.Assert(t, w.caughtUp() <= inForceWithin)
}

// A change reaches everyone although both readers of a zone stopped answering
// just before.
func TestReadersOfAZoneFreeze(t *testing.T) {
	w := fleet(t, 18)
	for _, n := range w.nodes {
		ranked := n.peers.Rank(string(platform.StreamControl), n.zone)
		n.frozen = n.zone == "east" && (ranked[0].ID == n.id || ranked[1].ID == n.id)
	}
	w.publish("a")
	assert.Assert(t, w.caughtUp() <= inForceWithin)
}

// A change reaches a zone that is cut off from the others although its readers,
// which live and answer, are cut off from the log.
func TestReadersOfAZoneLoseTheLog(t *testing.T) {
	w := fleet(t, 18)
	w.cutZones[[2]platform.Zone{"east", "north"}] = true
	w.cutZones[[2]platform.Zone{"east", "west"}] = true
	for _, n := range w.nodes {
		ranked := n.peers.Rank(string(platform.StreamControl), n.zone)
		n.cut = n.zone == "east" && (ranked[0].ID == n.id || ranked[1].ID == n.id)
	}
	w.publish("a")
	assert.Assert(t, w.caughtUp() <= inForceWithin)
}

// A snapshot of which following records are lost is not used; a later one is.
func TestSnapshotWithLostRecordsIsNotUsed(t *testing.T) {
	w := newWorld(t, 7)
	w.publish("first")
	snapshot, err := w.reference.stream.Snapshot()
	assert.NilError(t, err)
	chunks, err := fold.Chunks(snapshot, "slow")
	assert.NilError(t, err)
	w.publish("a")
	w.publish("b")
	w.append(chunks...)
	w.first = snapshot.Next + 1
	fresh := w.newNode("east")
	w.nodes = append(w.nodes, fresh)
	w.run(inForceWithin)
	assert.Equal(t, fresh.stream.Next(), platform.Offset(1))
	assert.Assert(t, !fresh.tailer.Ready())
	w.appendSnapshot()
	w.run(inForceWithin)
	assert.Assert(t, fresh.tailer.Ready())
	assert.Equal(t, fresh.stream.Next(), w.end())
}

// A newest snapshot that the fold refuses makes way for an older one.
func TestRefusedSnapshotMakesWay(t *testing.T) {
	w := newWorld(t, 7)
	w.publish("first")
	w.first = w.end()
	w.appendSnapshot()
	w.publish("a")
	chunks, err := fold.Chunks(fold.Snapshot{Next: w.end()}, "hostile")
	assert.NilError(t, err)
	w.append(chunks...)
	fresh := w.newNode("east")
	w.nodes = append(w.nodes, fresh)
	w.run(inForceWithin)
	assert.Assert(t, fresh.tailer.Ready())
	assert.Equal(t, fresh.stream.Next(), w.end())
}

// An instance that starts empty in an outage of the log gets its state from a
// peer, and is not ready before.
func TestStartInAnOutage(t *testing.T) {
	w := fleet(t, 4)
	w.logDown = true
	fresh := w.newNode("east")
	alone := w.newNode("nowhere")
	for _, zone := range zones {
		w.cutZones[[2]platform.Zone{"nowhere", zone}] = true
	}
	w.nodes = append(w.nodes, fresh, alone)
	w.run(inForceWithin)
	assert.Assert(t, fresh.tailer.Ready())
	assert.Equal(t, fresh.stream.Next(), w.end())
	assert.Assert(t, !alone.tailer.Ready())
}
