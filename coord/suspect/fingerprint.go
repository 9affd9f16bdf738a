package suspect

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// fingerprintBytes is the part of the digest that is kept.
const fingerprintBytes = 16

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(account string, pool platform.PoolName, body []byte) Fingerprint {
	digest := sha256.New()
	writeField(digest, []byte(account))
	writeField(digest, []byte(pool))
	writeField(digest, body)
	return Fingerprint(hex.EncodeToString(digest.Sum(nil)[:fingerprintBytes]))
}

// writeField writes a field with its length, so that fields cannot run into
// each other.
func writeField(digest hash.Hash, field []byte) {
	length := binary.BigEndian.AppendUint64(nil, uint64(len(field)))
	_, _ = digest.Write(length)
	_, _ = digest.Write(field)
}
