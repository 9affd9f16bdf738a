package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/config"
	"github.com/wigeonusher/wigeonusher/policy/document"
)

// Limits of a token.
const (
	// MaxTokenBytes bounds the length of a token as the caller sends it.
	MaxTokenBytes = 4096
	// MaxPins bounds the models that a token pins.
	MaxPins = 64
	// MaxNameBytes bounds each name inside a token.
	MaxNameBytes = 512

	tokenFormat = 1
	macBytes    = 16
)

// ErrToken reports a token that is damaged or was not signed with the fleet's
// key.
var ErrToken = eris.New("session: invalid token")

// Sign encodes a pin set as a token authenticated with the key. It returns the
// empty string if the pin set exceeds the limits of a token; such a session is
// recorded only in tables and in the log.
func Sign(key []byte, set PinSet) string {
	payload, ok := appendPinSet([]byte{tokenFormat}, set)
	if !ok {
		return ""
	}
	raw := append(payload, mac(key, payload)...)
	token := base64.RawURLEncoding.EncodeToString(raw)
	if len(token) > MaxTokenBytes {
		return ""
	}
	return token
}

// Verify decodes a token. The error is [ErrToken].
func Verify(key []byte, token string) (PinSet, error) {
	if len(token) > MaxTokenBytes {
		return PinSet{}, ErrToken
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(token)
	if err != nil || len(raw) <= macBytes {
		return PinSet{}, ErrToken
	}
	payload, gotMAC := raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	if !hmac.Equal(gotMAC, mac(key, payload)) {
		return PinSet{}, ErrToken
	}
	if payload[0] != tokenFormat {
		return PinSet{}, ErrToken
	}
	set, ok := decodePinSet(payload[1:])
	if !ok {
		return PinSet{}, ErrToken
	}
	return set, nil
}

func mac(key, payload []byte) []byte {
	hash := hmac.New(sha256.New, key)
	hash.Write(payload)
	return hash.Sum(nil)[:macBytes]
}

// appendPinSet appends the canonical encoding of the set: equal pin sets have
// equal encodings.
func appendPinSet(dst []byte, set PinSet) ([]byte, bool) {
	if len(set.Pins) > MaxPins {
		return nil, false
	}
	dst = binary.AppendUvarint(dst, uint64(set.Revision))
	dst = binary.AppendVarint(dst, set.StartedUnixMillis)
	names := []string{string(set.Account), string(set.Session)}
	names = append(names, flattenPins(set.Pins)...)
	for _, name := range names {
		if len(name) > MaxNameBytes {
			return nil, false
		}
		dst = binary.AppendUvarint(dst, uint64(len(name)))
		dst = append(dst, name...)
	}
	return dst, true
}

// decodePinSet decodes the output of appendPinSet. It rejects encodings that
// are not canonical.
func decodePinSet(src []byte) (PinSet, bool) {
	r := reader{remaining: src}
	set := PinSet{
		Revision:          config.Revision(r.uvarint()),
		StartedUnixMillis: r.varint(),
		Account:           document.AccountID(r.name()),
		Session:           ID(r.name()),
		Pins:              map[document.ModelName]document.VersionName{},
	}
	for len(r.remaining) > 0 && !r.failed && len(set.Pins) < MaxPins {
		model := document.ModelName(r.name())
		set.Pins[model] = document.VersionName(r.name())
	}
	if r.failed || len(r.remaining) > 0 {
		return PinSet{}, false
	}
	canonical, ok := appendPinSet(nil, set)
	if !ok || !slices.Equal(canonical, src) {
		return PinSet{}, false
	}
	return set, true
}

// reader decodes consecutive fields. After a decoding error, failed is set and
// all methods return zero values.
type reader struct {
	remaining []byte
	failed    bool
}

func (r *reader) uvarint() uint64 {
	value, n := binary.Uvarint(r.remaining)
	r.advance(n)
	return value
}

func (r *reader) varint() int64 {
	value, n := binary.Varint(r.remaining)
	r.advance(n)
	return value
}

func (r *reader) name() string {
	length := r.uvarint()
	if r.failed || length > MaxNameBytes || length > uint64(len(r.remaining)) {
		r.failed = true
		return ""
	}
	name := string(r.remaining[:length])
	r.remaining = r.remaining[length:]
	return name
}

func (r *reader) advance(n int) {
	if n <= 0 {
		r.failed = true
		r.remaining = nil
		return
	}
	r.remaining = r.remaining[n:]
}

// clone returns a copy of s that shares no memory with it.
func (s PinSet) clone() PinSet {
	s.Pins = maps.Clone(s.Pins)
	return s
}

// MarshalBinary implements encoding.BinaryMarshaler. The encoding is that of a token
// without base64 and MAC. MarshalBinary fails if the pin set has more than [MaxPins]
// pins or a name longer than [MaxNameBytes].
func (s PinSet) MarshalBinary() ([]byte, error) {
	encoded, ok := appendPinSet([]byte{tokenFormat}, s)
	if !ok {
		return nil, eris.New("session: pin set exceeds the limits of a token")
	}
	return encoded, nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler. The error is
// [ErrToken]; s is then unchanged.
func (s *PinSet) UnmarshalBinary(data []byte) error {
	if len(data) == 0 || len(data) > MaxTokenBytes || data[0] != tokenFormat {
		return ErrToken
	}
	set, ok := decodePinSet(data[1:])
	if !ok {
		return ErrToken
	}
	*s = set
	return nil
}
