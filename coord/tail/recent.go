package tail

import (
	"github.com/wigeonusher/wigeonusher/coord/fold"
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Bounds of the records kept for peers.
const (
	// MaxRecentRecords bounds their number.
	MaxRecentRecords = 2048
	// MaxRecentBytes bounds their payloads together.
	MaxRecentBytes = 4 << 20
	// MaxAnswerBytes bounds the payloads of one answer to a peer; the first
	// record is given whatever its size.
	MaxAnswerBytes = 1 << 20
)

// Recent keeps the last records of a stream for peers that follow this
// instance. It is not safe for concurrent use.
type Recent struct {
	records []platform.Record
	bytes   int
}

// Add keeps a record. One that does not follow the last kept makes the others
// go.
func (r *Recent) Add(record platform.Record) {
	if n := len(r.records); n > 0 && r.records[n-1].Offset+1 != record.Offset {
		r.records, r.bytes = nil, 0
	}
	r.records = append(r.records, record)
	r.bytes += len(record.Payload)
	for len(r.records) > MaxRecentRecords || r.bytes > MaxRecentBytes {
		r.bytes -= len(r.records[0].Payload)
		r.records = r.records[1:]
	}
}

// Read returns at most limit records from the offset on. It reports whether
// the record at the offset is kept.
func (r *Recent) Read(from platform.Offset, limit int) ([]platform.Record, bool) {
	if len(r.records) == 0 || from < r.records[0].Offset || limit <= 0 {
		return nil, false
	}
	skip := uint64(from - r.records[0].Offset)
	if skip >= uint64(len(r.records)) {
		return nil, false
	}
	rest := r.records[skip:]
	rest = rest[:min(len(rest), limit)]
	bytes := 0
	for i, record := range rest {
		bytes += len(record.Payload)
		if i > 0 && bytes > MaxAnswerBytes {
			return rest[:i:i], true
		}
	}
	return rest[:len(rest):len(rest)], true
}

// Answer returns what this instance tells a peer that wants the record at from:
// the records if they are kept, else a snapshot. The caller sets the read's ID.
func Answer(stream *fold.Stream, recent *Recent, from platform.Offset, limit int) (PeerPage, error) {
	page := PeerPage{Next: stream.Next()}
	if from >= stream.Next() {
		return page, nil
	}
	if records, ok := recent.Read(from, limit); ok {
		page.Records = records
		return page, nil
	}
	snapshot, err := stream.Snapshot()
	if err != nil {
		return PeerPage{}, err
	}
	page.Snapshot, err = snapshot.Encode()
	if err != nil {
		return PeerPage{}, err
	}
	page.SnapshotNext = snapshot.Next
	return page, nil
}
