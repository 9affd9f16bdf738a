package tail

import (
	"github.com/wigeonusher/wigeonusher/coord/fold"
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Bounds of [Recent] and of answers to peers.
const (
	// MaxRecentRecords bounds the number of records kept.
	MaxRecentRecords = 2048
	// MaxRecentBytes bounds the total size of the payloads kept.
	MaxRecentBytes = 4 << 20
	// MaxPageBytes bounds the total size of the payloads in one answer to a
	// peer. The first record is always included, whatever its size.
	MaxPageBytes = 1 << 20
)

// Recent holds the last records of a stream, for peers that follow this
// instance. It is not safe for concurrent use.
type Recent struct {
	records []platform.Record
	bytes   int
}

// Add appends a record and evicts the oldest ones beyond the bounds. A record
// that does not directly follow the last one replaces all of them.
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

// Read returns at most limit records, bounded by [MaxPageBytes], starting at the
// offset. It reports whether the record at that offset is available.
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
		if i > 0 && bytes > MaxPageBytes {
			return rest[:i:i], true
		}
	}
	return rest[:len(rest):len(rest)], true
}

// ServePeer returns the answer to a [ReadPeer] with the given offset and limit:
// no records if the stream has not reached the offset, else the records if they
// are in recent, else a snapshot. The caller sets the ReadID of the page.
func ServePeer(stream *fold.Stream, recent *Recent, from platform.Offset, limit int) (PeerPage, error) {
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
