package fold

import (
	"crypto/sha256"
	"hash"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// maxPartial bounds the incomplete snapshots that are collected side by side.
const maxPartial = 2

// chunkProgress tells when a whole snapshot has passed, undamaged, without
// keeping its data. The chunks of one must come in order.
type chunkProgress struct {
	base    platform.Offset // of the newest whole snapshot
	partial []partialSum    // oldest first
}

// partialSum is the running digest of the first chunks of a snapshot.
type partialSum struct {
	base   platform.Offset
	digest Digest
	count  int
	passed int
	sum    hash.Hash
}

// add reports false for a chunk that completes a damaged snapshot.
func (p *chunkProgress) add(chunk Chunk) bool {
	if chunk.Base <= p.base {
		return true
	}
	partial := p.find(chunk)
	if chunk.Index != partial.passed {
		return true
	}
	partial.sum.Write(chunk.Data)
	partial.passed++
	if partial.passed < partial.count {
		return true
	}
	whole := digestOf([sha256.Size]byte(partial.sum.Sum(nil)))
	partial.passed = 0
	partial.sum.Reset()
	if whole != chunk.Digest {
		return false
	}
	p.base = chunk.Base
	p.partial = nil
	return true
}

// find returns the running digest that the chunk belongs to, making room for a
// new one by dropping the oldest.
func (p *chunkProgress) find(chunk Chunk) *partialSum {
	for i := range p.partial {
		partial := &p.partial[i]
		if partial.base == chunk.Base && partial.digest == chunk.Digest && partial.count == chunk.Count {
			return partial
		}
	}
	if len(p.partial) == maxPartial {
		p.partial = p.partial[1:]
	}
	p.partial = append(p.partial, partialSum{
		base:   chunk.Base,
		digest: chunk.Digest,
		count:  chunk.Count,
		sum:    sha256.New(),
	})
	return &p.partial[len(p.partial)-1]
}

// partialChunks are the chunks collected of a snapshot.
type partialChunks struct {
	base   platform.Offset
	digest Digest
	count  int
	data   map[int][]byte
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
	partial := a.find(chunk)
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

// find returns the partial snapshot that the chunk belongs to, making room for
// a new one by dropping the oldest.
func (a *Assembler) find(chunk Chunk) *partialChunks {
	for i := range a.partial {
		partial := &a.partial[i]
		if partial.base == chunk.Base && partial.digest == chunk.Digest && partial.count == chunk.Count {
			return partial
		}
	}
	if len(a.partial) == maxPartial {
		a.partial = a.partial[1:]
	}
	a.partial = append(a.partial, partialChunks{
		base:   chunk.Base,
		digest: chunk.Digest,
		count:  chunk.Count,
		data:   map[int][]byte{},
	})
	return &a.partial[len(a.partial)-1]
}
