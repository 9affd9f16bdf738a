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
	// exportLifetime is how long an export is included in digests. It is longer
	// than the default heartbeat interval in a zone. Peers of other zones get
	// digests less often and may miss an export.
	exportLifetime = 1500 * time.Millisecond
	// maxExportBytes bounds the decompressed size of an export.
	maxExportBytes = 1 << 20
)

// countsExport is an encoded export of the planner's counts.
type countsExport struct {
	createdAt time.Time
	encoded   []byte
}

// Fill implements cluster.Gossip.
func (f *Feedback) Fill(now time.Time, _ platform.InstanceID, digest *peerpb.Digest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.export.createdAt) >= exportInterval {
		f.export = countsExport{createdAt: now, encoded: encodeCounts(f.planner.Export())}
	}
	if now.Sub(f.export.createdAt) < exportLifetime {
		digest.Estimates = f.export.encoded
	}
}

// HandleDigest implements cluster.Gossip.
func (f *Feedback) HandleDigest(_ time.Time, digest *peerpb.Digest) {
	counts, ok := decodeCounts(digest.Estimates)
	if !ok || counts.Instance != platform.InstanceID(digest.Instance) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.planner.Merge(counts)
}

// encodeCounts returns the compressed JSON encoding of counts, nil if there are none
// or they cannot be encoded.
func encodeCounts(counts cascade.Counts) []byte {
	if len(counts.Cells) == 0 {
		return nil
	}
	encoded, err := json.Marshal(counts)
	if err != nil {
		return nil
	}
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil
	}
	if _, err := writer.Write(encoded); err != nil {
		return nil
	}
	if err := writer.Close(); err != nil {
		return nil
	}
	return compressed.Bytes()
}

// decodeCounts is the inverse of encodeCounts. It returns false if the input is empty
// or malformed.
func decodeCounts(compressed []byte) (cascade.Counts, bool) {
	var counts cascade.Counts
	if len(compressed) == 0 {
		return counts, false
	}
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxExportBytes))
	if err != nil {
		return counts, false
	}
	return counts, json.Unmarshal(encoded, &counts) == nil
}
