package follow

import (
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Bounds of the records that an instance holds for peers.
const (
	maxRingRecords = 4096
	maxRingBytes   = 8 << 20
	maxReplyBytes  = 2 << 20
)

// ring holds the last records of a stream, without a gap.
type ring struct {
	records []platform.Record
	bytes   int
}

func (r *ring) reset() { *r = ring{} }

// add appends consecutive records and drops the oldest beyond the bounds.
func (r *ring) add(records []platform.Record) {
	for _, record := range records {
		r.records = append(r.records, record)
		r.bytes += len(record.Payload)
	}
	drop := 0
	for drop < len(r.records) && (len(r.records)-drop > maxRingRecords || r.bytes > maxRingBytes) {
		r.bytes -= len(r.records[drop].Payload)
		drop++
	}
	if drop > 0 {
		r.records = append([]platform.Record(nil), r.records[drop:]...)
	}
}

// from returns records from the offset on. It reports false if the ring no
// longer holds the offset.
func (r *ring) from(offset platform.Offset, limit int) ([]platform.Record, bool) {
	if len(r.records) == 0 || offset < r.records[0].Offset {
		return nil, false
	}
	start := int(offset - r.records[0].Offset)
	if start >= len(r.records) {
		return nil, false
	}
	end := start
	bytes := 0
	for end < len(r.records) && end-start < limit && bytes < maxReplyBytes {
		bytes += len(r.records[end].Payload)
		end++
	}
	return r.records[start:end], true
}
