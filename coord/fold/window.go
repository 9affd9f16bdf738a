package fold

import (
	"crypto/sha256"

	"github.com/rotisserie/eris"
)

const (
	// WindowIDs is the number of entries whose IDs a stream remembers.
	WindowIDs = 4096

	keyBytes = 16
)

// key is the truncated SHA-256 digest of an entry's ID.
type key [keyBytes]byte

func keyOf(id string) key {
	digest := sha256.Sum256([]byte(id))
	return key(digest[:keyBytes])
}

// window remembers the keys of the last WindowIDs entries, in order.
type window struct {
	members map[key]struct{}
	ring    []key // oldest at head once full
	head    int
}

func newWindow() *window {
	return &window{members: make(map[key]struct{})}
}

// add reports whether the ID was new to the window.
func (w *window) add(id string) bool {
	k := keyOf(id)
	if _, ok := w.members[k]; ok {
		return false
	}
	w.members[k] = struct{}{}
	if len(w.ring) < WindowIDs {
		w.ring = append(w.ring, k)
		return true
	}
	delete(w.members, w.ring[w.head])
	w.ring[w.head] = k
	w.head = (w.head + 1) % WindowIDs
	return true
}

// encode returns the keys, oldest first.
func (w *window) encode() []byte {
	encoded := make([]byte, 0, len(w.ring)*keyBytes)
	for i := range w.ring {
		k := w.ring[(w.head+i)%len(w.ring)]
		encoded = append(encoded, k[:]...)
	}
	return encoded
}

func decodeWindow(encoded []byte) (*window, error) {
	if len(encoded)%keyBytes != 0 || len(encoded) > WindowIDs*keyBytes {
		return nil, eris.Wrapf(ErrMalformedSnapshot, "window of %d bytes", len(encoded))
	}
	w := newWindow()
	for ; len(encoded) > 0; encoded = encoded[keyBytes:] {
		k := key(encoded[:keyBytes])
		if _, ok := w.members[k]; ok {
			return nil, eris.Wrap(ErrMalformedSnapshot, "window with a repeated key")
		}
		w.members[k] = struct{}{}
		w.ring = append(w.ring, k)
	}
	return w, nil
}
