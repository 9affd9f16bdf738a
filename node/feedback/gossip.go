package feedback

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/cascade"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

const (
	// exportInterval is the time between exports of the planner's counts.
	exportInterval = 2 * time.Second
	// tellFor is how long an export goes into digests: one round of
	// heartbeats to all peers.
	tellFor = 1500 * time.Millisecond
	// maxExportBytes bounds an export once it is unpacked.
	maxExportBytes = 1 << 20
)

// export is the last export of the planner's counts.
type export struct {
	at      time.Time
	encoded []byte
}

// Fill implements cluster.Gossip.
func (f *Feedback) Fill(now time.Time, _ platform.InstanceID, digest *peerpb.Digest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.export.at) >= exportInterval {
		f.export = export{at: now, encoded: pack(f.planner.Export())}
	}
	if now.Sub(f.export.at) < tellFor {
		digest.Estimates = f.export.encoded
	}
}

// Heard implements cluster.Gossip.
func (f *Feedback) Heard(_ time.Time, digest *peerpb.Digest) {
	counts, ok := unpack(digest.Estimates)
	if !ok || counts.Instance != platform.InstanceID(digest.Instance) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.planner.Merge(counts)
}

// pack returns the compressed encoding of counts, nil if there are none.
func pack(counts cascade.Counts) []byte {
	if len(counts.Cells) == 0 {
		return nil
	}
	encoded, err := json.Marshal(counts)
	if err != nil {
		return nil
	}
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil
	}
	if _, err := writer.Write(encoded); err != nil {
		return nil
	}
	if err := writer.Close(); err != nil {
		return nil
	}
	return packed.Bytes()
}

// unpack is the inverse of pack. It reports false for what it cannot read.
func unpack(packed []byte) (cascade.Counts, bool) {
	var counts cascade.Counts
	if len(packed) == 0 {
		return counts, false
	}
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxExportBytes))
	if err != nil {
		return counts, false
	}
	return counts, json.Unmarshal(encoded, &counts) == nil
}
