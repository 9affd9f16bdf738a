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

// ErrToken reports a token that this fleet did not sign, or that is damaged.
var ErrToken = eris.New("session: invalid token")

// Sign encodes the birth as a token that only holders of the key can make. It
// returns the empty string if the birth exceeds the limits of a token; such a
// session lives in tables and in the log only.
func Sign(key []byte, birth Birth) string {
	payload, ok := appendBirth([]byte{tokenFormat}, birth)
	if !ok {
		return ""
	}
	signed := append(payload, mac(key, payload)...)
	token := base64.RawURLEncoding.EncodeToString(signed)
	if len(token) > MaxTokenBytes {
		return ""
	}
	return token
}

// Verify decodes a token. The error is [ErrToken].
func Verify(key []byte, token string) (Birth, error) {
	if len(token) > MaxTokenBytes {
		return Birth{}, ErrToken
	}
	signed, err := base64.RawURLEncoding.Strict().DecodeString(token)
	if err != nil || len(signed) <= macBytes {
		return Birth{}, ErrToken
	}
	payload, given := signed[:len(signed)-macBytes], signed[len(signed)-macBytes:]
	if !hmac.Equal(given, mac(key, payload)) {
		return Birth{}, ErrToken
	}
	if payload[0] != tokenFormat {
		return Birth{}, ErrToken
	}
	birth, ok := decodeBirth(payload[1:])
	if !ok {
		return Birth{}, ErrToken
	}
	return birth, nil
}

func mac(key, payload []byte) []byte {
	hash := hmac.New(sha256.New, key)
	hash.Write(payload)
	return hash.Sum(nil)[:macBytes]
}

// appendBirth appends the birth's canonical encoding: equal births have equal
// encodings.
func appendBirth(dst []byte, birth Birth) ([]byte, bool) {
	if len(birth.Pins) > MaxPins {
		return nil, false
	}
	dst = binary.AppendUvarint(dst, uint64(birth.Revision))
	dst = binary.AppendVarint(dst, birth.BornUnixMillis)
	names := []string{string(birth.Account), string(birth.Session)}
	names = append(names, pinKeys(birth.Pins)...)
	for _, name := range names {
		if len(name) > MaxNameBytes {
			return nil, false
		}
		dst = binary.AppendUvarint(dst, uint64(len(name)))
		dst = append(dst, name...)
	}
	return dst, true
}

// decodeBirth is the inverse of appendBirth. It accepts canonical encodings
// only.
func decodeBirth(src []byte) (Birth, bool) {
	in := reader{rest: src}
	birth := Birth{
		Revision:       config.Revision(in.uvarint()),
		BornUnixMillis: in.varint(),
		Account:        document.AccountID(in.name()),
		Session:        ID(in.name()),
		Pins:           map[document.ModelName]document.VersionName{},
	}
	for len(in.rest) > 0 && !in.bad && len(birth.Pins) < MaxPins {
		model := document.ModelName(in.name())
		birth.Pins[model] = document.VersionName(in.name())
	}
	if in.bad || len(in.rest) > 0 {
		return Birth{}, false
	}
	canonical, ok := appendBirth(nil, birth)
	if !ok || !slices.Equal(canonical, src) {
		return Birth{}, false
	}
	return birth, true
}

// reader decodes fields in turn. After a field that cannot be decoded it is
// bad and returns zero values.
type reader struct {
	rest []byte
	bad  bool
}

func (r *reader) uvarint() uint64 {
	value, n := binary.Uvarint(r.rest)
	r.advance(n)
	return value
}

func (r *reader) varint() int64 {
	value, n := binary.Varint(r.rest)
	r.advance(n)
	return value
}

func (r *reader) name() string {
	length := r.uvarint()
	if r.bad || length > MaxNameBytes || length > uint64(len(r.rest)) {
		r.bad = true
		return ""
	}
	name := string(r.rest[:length])
	r.rest = r.rest[length:]
	return name
}

func (r *reader) advance(n int) {
	if n <= 0 {
		r.bad = true
		r.rest = nil
		return
	}
	r.rest = r.rest[n:]
}

// clone returns a birth that shares no memory with b.
func (b Birth) clone() Birth {
	b.Pins = maps.Clone(b.Pins)
	return b
}

// MarshalBinary implements encoding.BinaryMarshaler, for exchange between
// instances. It fails if the birth exceeds the limits of a token.
func (b Birth) MarshalBinary() ([]byte, error) {
	encoded, ok := appendBirth([]byte{tokenFormat}, b)
	if !ok {
		return nil, eris.New("session: birth exceeds the limits of a token")
	}
	return encoded, nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler. The error is
// [ErrToken]; the birth is then unchanged.
func (b *Birth) UnmarshalBinary(data []byte) error {
	if len(data) == 0 || len(data) > MaxTokenBytes || data[0] != tokenFormat {
		return ErrToken
	}
	birth, ok := decodeBirth(data[1:])
	if !ok {
		return ErrToken
	}
	*b = birth
	return nil
}
