package fold

import (
	"crypto/sha256"

	"github.com/rotisserie/eris"
)

const (
	// WindowIDs is the number of most recent entry IDs that a stream keeps to
	// drop repeats.
	WindowIDs = 4096

	idDigestBytes = 16
)

// idDigest is the truncated SHA-256 digest of an entry's ID.
type idDigest [idDigestBytes]byte

func digestID(id string) idDigest {
	digest := sha256.Sum256([]byte(id))
	return idDigest(digest[:idDigestBytes])
}

// idWindow holds the digests of the last [WindowIDs] entry IDs, in order.
type idWindow struct {
	members map[idDigest]struct{}
	ring    []idDigest // once full, the oldest digest is at index oldest
	oldest  int
}

func newIDWindow() *idWindow {
	return &idWindow{members: make(map[idDigest]struct{})}
}

// add adds an ID, evicting the oldest if the window is full. It returns false if
// the ID is already in the window.
func (w *idWindow) add(id string) bool {
	k := digestID(id)
	if _, ok := w.members[k]; ok {
		return false
	}
	w.members[k] = struct{}{}
	if len(w.ring) < WindowIDs {
		w.ring = append(w.ring, k)
		return true
	}
	delete(w.members, w.ring[w.oldest])
	w.ring[w.oldest] = k
	w.oldest = (w.oldest + 1) % WindowIDs
	return true
}

// encode returns the concatenated digests, oldest first.
func (w *idWindow) encode() []byte {
	encoded := make([]byte, 0, len(w.ring)*idDigestBytes)
	for i := range w.ring {
		k := w.ring[(w.oldest+i)%len(w.ring)]
		encoded = append(encoded, k[:]...)
	}
	return encoded
}

func decodeIDWindow(encoded []byte) (*idWindow, error) {
	if len(encoded)%idDigestBytes != 0 || len(encoded) > WindowIDs*idDigestBytes {
		return nil, eris.Wrapf(ErrMalformedSnapshot, "window has an invalid length of %d bytes", len(encoded))
	}
	w := newIDWindow()
	for ; len(encoded) > 0; encoded = encoded[idDigestBytes:] {
		k := idDigest(encoded[:idDigestBytes])
		if _, ok := w.members[k]; ok {
			return nil, eris.Wrap(ErrMalformedSnapshot, "window has a repeated ID digest")
		}
		w.members[k] = struct{}{}
		w.ring = append(w.ring, k)
	}
	return w, nil
}
