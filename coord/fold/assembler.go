package fold

import (
	"crypto/sha256"
	"hash"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// maxPartialSnapshots bounds the incomplete snapshots that are collected at the
// same time.
const maxPartialSnapshots = 2

// completionTracker detects when all chunks of a snapshot have been read and
// match its digest, without storing their data. The chunks of a snapshot must
// arrive in order.
type completionTracker struct {
	newestBase platform.Offset // of the newest complete snapshot
	partial    []partialDigest // oldest first
}

// partialDigest is the running digest of the chunks of a snapshot received so
// far.
type partialDigest struct {
	base     platform.Offset
	digest   Digest
	count    int
	received int
	sum      hash.Hash
}

// add hashes a chunk. It returns false if the chunk completes a snapshot whose
// data does not match its digest.
func (c *completionTracker) add(chunk Chunk) bool {
	if chunk.Base <= c.newestBase {
		return true
	}
	partial := c.partialFor(chunk)
	if chunk.Index != partial.received {
		return true
	}
	partial.sum.Write(chunk.Data)
	partial.received++
	if partial.received < partial.count {
		return true
	}
	digest := hexDigest([sha256.Size]byte(partial.sum.Sum(nil)))
	partial.received = 0
	partial.sum.Reset()
	if digest != chunk.Digest {
		return false
	}
	c.newestBase = chunk.Base
	c.partial = nil
	return true
}

// partialFor returns the running digest of the chunk's snapshot. It adds one if
// there is none, and evicts the oldest if that exceeds [maxPartialSnapshots].
func (c *completionTracker) partialFor(chunk Chunk) *partialDigest {
	for i := range c.partial {
		partial := &c.partial[i]
		if partial.base == chunk.Base && partial.digest == chunk.Digest && partial.count == chunk.Count {
			return partial
		}
	}
	if len(c.partial) == maxPartialSnapshots {
		c.partial = c.partial[1:]
	}
	c.partial = append(c.partial, partialDigest{
		base:   chunk.Base,
		digest: chunk.Digest,
		count:  chunk.Count,
		sum:    sha256.New(),
	})
	return &c.partial[len(c.partial)-1]
}

// partialChunks holds the chunks of one snapshot that have been collected.
type partialChunks struct {
	base   platform.Offset
	digest Digest
	count  int
	data   map[int][]byte // by chunk index
}

// Assembler collects snapshot entries from records and returns the newest
// complete snapshot. Its memory is bounded by a few snapshots. It is not safe
// for concurrent use.
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

// Add collects the snapshot entries of a record. Entries that cannot be decoded
// are skipped.
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

// Newest returns the encoding and the base of the newest complete snapshot; ok
// is false if there is none.
func (a *Assembler) Newest() (encoded []byte, base platform.Offset, ok bool) {
	return a.encoded, a.base, a.encoded != nil
}

// Reject drops the newest snapshot, which the stream refused. Chunks with its
// digest are ignored as long as the digest is kept, see [maxRejectedDigests].
func (a *Assembler) Reject() {
	if len(a.rejected) >= maxRejectedDigests {
		clear(a.rejected)
	}
	a.rejected[a.digest] = true
	a.base, a.digest, a.encoded = 0, "", nil
}

// maxRejectedDigests bounds the digests of rejected snapshots; a full set is
// cleared.
const maxRejectedDigests = 64

// Reset drops all collected chunks and snapshots. Rejected digests stay
// rejected.
func (a *Assembler) Reset() {
	a.partial = nil
	a.base, a.digest, a.encoded = 0, "", nil
}

func (a *Assembler) addChunk(chunk Chunk) {
	if chunk.Base <= a.base || a.rejected[chunk.Digest] {
		return
	}
	partial := a.partialFor(chunk)
	partial.data[chunk.Index] = chunk.Data
	if len(partial.data) < partial.count {
		return
	}
	var encoded []byte
	for i := range partial.count {
		encoded = append(encoded, partial.data[i]...)
	}
	partial.data = map[int][]byte{}
	if hexDigest(sha256.Sum256(encoded)) != chunk.Digest {
		return
	}
	a.base, a.digest, a.encoded = chunk.Base, chunk.Digest, encoded
}

// partialFor returns the partial snapshot that the chunk belongs to. It adds one
// if there is none, and evicts the oldest if that exceeds [maxPartialSnapshots].
func (a *Assembler) partialFor(chunk Chunk) *partialChunks {
	for i := range a.partial {
		partial := &a.partial[i]
		if partial.base == chunk.Base && partial.digest == chunk.Digest && partial.count == chunk.Count {
			return partial
		}
	}
	if len(a.partial) == maxPartialSnapshots {
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
