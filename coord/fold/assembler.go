package fold

import (
	"crypto/sha256"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// maxPartial bounds the incomplete snapshots that are collected side by side.
const maxPartial = 4

// chunkProgress tells when all chunks of a snapshot have passed, without
// keeping their data.
type chunkProgress struct {
	base    platform.Offset // of the newest complete snapshot
	partial []partialChunks // oldest first
}

type partialChunks struct {
	base   platform.Offset
	digest Digest
	count  int
	seen   map[int]bool
	data   map[int][]byte
}

func (p *chunkProgress) add(chunk Chunk) {
	if chunk.Base <= p.base {
		return
	}
	partial := findPartial(&p.partial, chunk)
	partial.seen[chunk.Index] = true
	if len(partial.seen) < partial.count {
		return
	}
	p.base = chunk.Base
	p.partial = nil
}

// Assembler collects snapshot entries from records and gives the newest
// snapshot that is complete. Memory is bounded by a few snapshots. It is not
// safe for concurrent use.
type Assembler struct {
	partial  []partialChunks
	rejected map[Digest]bool
	base     platform.Offset
	digest   Digest
	encoded  []byte
}

// NewAssembler returns an empty assembler.
func NewAssembler() *Assembler {
	return &Assembler{rejected: map[Digest]bool{}}
}

// Add looks for snapshot entries in the record. Unreadable ones are skipped.
func (a *Assembler) Add(record platform.Record) {
	entries, err := platform.DecodeEntries(record.Payload)
	if err != nil {
		return
	}
	for _, entry := range entries {
		if entry.Kind != KindSnapshot {
			continue
		}
		chunk, err := DecodeChunk(entry.Body)
		if err != nil || chunk.Base > record.Offset {
			continue
		}
		a.addChunk(chunk)
	}
}

// Newest returns the encoding and the base of the newest complete snapshot.
func (a *Assembler) Newest() (encoded []byte, base platform.Offset, ok bool) {
	return a.encoded, a.base, a.encoded != nil
}

// Reject drops the newest snapshot for good: the stream refused it.
func (a *Assembler) Reject() {
	if len(a.rejected) >= maxRejected {
		clear(a.rejected)
	}
	a.rejected[a.digest] = true
	a.base, a.digest, a.encoded = 0, "", nil
}

// maxRejected bounds the digests remembered of refused snapshots.
const maxRejected = 64

// Reset drops all that was collected. What was rejected stays so.
func (a *Assembler) Reset() {
	a.partial = nil
	a.base, a.digest, a.encoded = 0, "", nil
}

func (a *Assembler) addChunk(chunk Chunk) {
	if chunk.Base <= a.base || a.rejected[chunk.Digest] {
		return
	}
	partial := findPartial(&a.partial, chunk)
	partial.data[chunk.Index] = chunk.Data
	if len(partial.data) < partial.count {
		return
	}
	var encoded []byte
	for i := range partial.count {
		encoded = append(encoded, partial.data[i]...)
	}
	partial.data = map[int][]byte{}
	if digestOf(sha256.Sum256(encoded)) != chunk.Digest {
		return
	}
	a.base, a.digest, a.encoded = chunk.Base, chunk.Digest, encoded
}

// findPartial returns the partial snapshot that the chunk belongs to, making
// room for a new one by dropping the oldest.
func findPartial(partials *[]partialChunks, chunk Chunk) *partialChunks {
	for i := range *partials {
		p := &(*partials)[i]
		if p.base == chunk.Base && p.digest == chunk.Digest && p.count == chunk.Count {
			return p
		}
	}
	if len(*partials) == maxPartial {
		*partials = (*partials)[1:]
	}
	*partials = append(*partials, partialChunks{
		base:   chunk.Base,
		digest: chunk.Digest,
		count:  chunk.Count,
		seen:   map[int]bool{},
		data:   map[int][]byte{},
	})
	return &(*partials)[len(*partials)-1]
}
