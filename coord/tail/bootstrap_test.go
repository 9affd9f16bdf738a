package tail_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/config"
	"github.com/wigeonusher/wigeonusher/coord/fold"
	"github.com/wigeonusher/wigeonusher/coord/tail"
)

const (
	proposalBytes = 2 << 10
	documentParts = 20 // sections of proposalBytes each
	snapshotEvery = 1000
)

// longLog returns a world whose log has the given number of records, a snapshot
// among every snapshotEvery, and one instance that has them all.
func longLog(t assert.TestingT, records int) *world {
	w := newWorld(t, 11)
	w.keeper = fold.KeeperConfig{MaxRecords: 1 << 20, MaxBytes: 1 << 40} // none but those below
	body := json.RawMessage(`"` + strings.Repeat("x", proposalBytes) + `"`)
	for len(w.log) < records {
		if len(w.log)%snapshotEvery == snapshotEvery/2 {
			w.appendSnapshot()
			continue
		}
		w.publishBody(config.SectionName(fmt.Sprint(len(w.log)%documentParts)), body)
	}
	w.nodes = append(w.nodes, w.newNode("east"))
	w.run(20 * time.Second)
	assert.Assert(t, w.nodes[0].tailer.Ready())
	return w
}

func (w *world) appendSnapshot() {
	snapshot, err := w.reference.stream.Snapshot()
	assert.NilError(w.t, err)
	chunks, err := fold.Chunks(snapshot, "writer")
	assert.NilError(w.t, err)
	for _, chunk := range chunks {
		w.append(chunk)
	}
}

// BenchmarkBootstrap compares the ways to get a state from nothing: bytes read,
// reads made, and virtual time to ready, at 100 ms a read.
func BenchmarkBootstrap(b *testing.B) {
	for _, records := range []int{1000, 4000, 16000} {
		w := longLog(b, records)
		for _, way := range []tail.Bootstrap{tail.WholeLog, tail.SnapshotFirst, tail.PeerFirst} {
			b.Run(fmt.Sprintf("records=%d/way=%s", records, way), func(b *testing.B) {
				for b.Loop() {
					measureBootstrap(b, w, way)
				}
			})
		}
	}
}

func measureBootstrap(b *testing.B, w *world, way tail.Bootstrap) {
	fresh := w.newNodeWith("north", way)
	w.nodes = append(w.nodes[:1:1], fresh)
	logReads, peerReads, logBytes, peerBytes := w.logReads, w.peerReads, w.logBytes, w.peerBytes
	begin := w.now
	for !fresh.tailer.Ready() && w.now.Sub(begin) < time.Minute {
		w.run(step)
	}
	assert.Assert(b, fresh.tailer.Ready())
	b.ReportMetric(float64(w.logBytes-logBytes), "log_bytes")
	b.ReportMetric(float64(w.peerBytes-peerBytes), "peer_bytes")
	b.ReportMetric(float64(w.logReads-logReads+w.peerReads-peerReads), "reads")
	b.ReportMetric(float64(w.now.Sub(begin).Milliseconds()), "virtual_ms")
}

// A fresh instance need not read a long log, from a peer or alone.
func TestBootstrapDoesNotFollowTheLogsLength(t *testing.T) {
	w := longLog(t, 5000)
	for _, way := range []tail.Bootstrap{tail.SnapshotFirst, tail.PeerFirst} {
		fresh := w.newNodeWith("north", way)
		w.nodes = append(w.nodes[:1:1], fresh)
		before := w.logBytes + w.peerBytes
		w.run(10 * time.Second)
		assert.Assert(t, fresh.tailer.Ready())
		const bound = 3 * snapshotEvery * proposalBytes
		assert.Assert(t, w.logBytes+w.peerBytes-before < bound, "%s: %d bytes", way, w.logBytes+w.peerBytes-before)
	}
}
