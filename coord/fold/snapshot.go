package fold

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// KindSnapshot is the kind of an entry whose body is a [Chunk].
const KindSnapshot platform.Kind = "fold.snapshot"

// Limits of snapshots.
const (
	// MaxChunkBytes bounds the data of one chunk, so that its encoded entry
	// fits a record.
	MaxChunkBytes = 640 << 10
	// MaxChunks bounds the chunks of one snapshot.
	MaxChunks = 8
	// MaxSnapshotBytes bounds the encoding of a snapshot.
	MaxSnapshotBytes = MaxChunks * MaxChunkBytes
	// MaxParts bounds the parts of a snapshot.
	MaxParts = 64
)

// Errors of snapshots.
var (
	// ErrMalformedSnapshot reports a snapshot that cannot be decoded.
	ErrMalformedSnapshot = eris.New("fold: malformed snapshot")
	// ErrNotForward reports a snapshot that is not ahead of the stream.
	ErrNotForward = eris.New("fold: snapshot not ahead of the stream")
	// ErrPartMissing reports a snapshot that lacks one of the stream's parts.
	ErrPartMissing = eris.New("fold: snapshot lacks a part")
	// ErrSnapshotTooLarge reports a state whose encoding exceeds
	// [MaxSnapshotBytes].
	ErrSnapshotTooLarge = eris.New("fold: snapshot too large")
)

// PartState is the encoded state of one part.
type PartState struct {
	Name  string          `json:"name"`
	State json.RawMessage `json:"state"`
}

// Snapshot is the state of a stream before the record at offset Next.
type Snapshot struct {
	Next platform.Offset `json:"next"`
	// Window holds the truncated digests of the last [WindowIDs] entry IDs,
	// oldest first.
	Window []byte      `json:"window"`
	Parts  []PartState `json:"parts"`
	// LogBase is the base of the newest complete snapshot in the log that the
	// encoding instance has seen. Peers pass it to each other as a hint; it is 0
	// in snapshots in the log.
	LogBase platform.Offset `json:"log_base,omitempty"`
}

// Encode returns the snapshot's encoding. Equal states have equal encodings.
// The errors are [ErrSnapshotTooLarge] and that of a part's state that is not
// valid JSON.
func (s Snapshot) Encode() ([]byte, error) {
	encoded, err := json.Marshal(s)
	if err != nil {
		return nil, eris.Wrap(err, "fold: encode snapshot")
	}
	if len(encoded) > MaxSnapshotBytes {
		return nil, eris.Wrapf(ErrSnapshotTooLarge, "%d bytes", len(encoded))
	}
	return encoded, nil
}

// DecodeSnapshot decodes the encoding that [Snapshot.Encode] returns. The error
// is [ErrMalformedSnapshot].
func DecodeSnapshot(encoded []byte) (Snapshot, error) {
	if len(encoded) > MaxSnapshotBytes {
		return Snapshot{}, eris.Wrapf(ErrMalformedSnapshot, "%d bytes", len(encoded))
	}
	var snapshot Snapshot
	if err := json.Unmarshal(encoded, &snapshot); err != nil {
		return Snapshot{}, eris.Wrap(ErrMalformedSnapshot, err.Error())
	}
	if snapshot.Next == 0 || len(snapshot.Parts) > MaxParts {
		return Snapshot{}, ErrMalformedSnapshot
	}
	return snapshot, nil
}

func (s Snapshot) part(name string) (json.RawMessage, bool) {
	for _, part := range s.Parts {
		if part.Name == name {
			return part.State, true
		}
	}
	return nil, false
}

// Digest is the hex SHA-256 digest of a snapshot's encoding.
type Digest string

func hexDigest(sum [sha256.Size]byte) Digest { return Digest(hex.EncodeToString(sum[:])) }

// Chunk is a piece of a snapshot, the body of an entry of [KindSnapshot].
type Chunk struct {
	// Base is the snapshot's Next.
	Base platform.Offset `json:"base"`
	// Digest is the digest of the whole snapshot.
	Digest Digest `json:"digest"`
	// Index is the position of the chunk, from 0, among Count chunks.
	Index int    `json:"index"`
	Count int    `json:"count"`
	Data  []byte `json:"data"`
}

// DecodeChunk decodes the body of an entry of [KindSnapshot]. The error is
// [ErrMalformedSnapshot].
func DecodeChunk(body json.RawMessage) (Chunk, error) {
	var chunk Chunk
	if err := json.Unmarshal(body, &chunk); err != nil {
		return Chunk{}, eris.Wrap(ErrMalformedSnapshot, err.Error())
	}
	countOK := chunk.Count >= 1 && chunk.Count <= MaxChunks
	indexOK := chunk.Index >= 0 && chunk.Index < chunk.Count
	dataOK := len(chunk.Data) > 0 && len(chunk.Data) <= MaxChunkBytes
	digestOK := len(chunk.Digest) == hex.EncodedLen(sha256.Size)
	if chunk.Base == 0 || !countOK || !indexOK || !dataOK || !digestOK {
		return Chunk{}, ErrMalformedSnapshot
	}
	return chunk, nil
}

// Chunks splits a snapshot into entries that must be appended in order. Each fits
// into one record. Their IDs are derived from the writer, the base and the index,
// so the entries of a writer for one base always have the same IDs.
func Chunks(snapshot Snapshot, writer platform.InstanceID) ([]platform.Entry, error) {
	snapshot.LogBase = 0
	encoded, err := snapshot.Encode()
	if err != nil {
		return nil, err
	}
	digest := hexDigest(sha256.Sum256(encoded))
	count := (len(encoded) + MaxChunkBytes - 1) / MaxChunkBytes
	entries := make([]platform.Entry, 0, count)
	for i := range count {
		data := encoded[i*MaxChunkBytes : min((i+1)*MaxChunkBytes, len(encoded))]
		chunk := Chunk{Base: snapshot.Next, Digest: digest, Index: i, Count: count, Data: data}
		id := fmt.Sprintf("snapshot/%s/%d/%d", writer, snapshot.Next, i)
		entry, err := platform.NewEntry(id, KindSnapshot, writer, chunk)
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	return entries, nil
}
