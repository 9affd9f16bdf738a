package suspect

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// fingerprintBytes is the length of the truncated digest.
const fingerprintBytes = 16

// NewFingerprint returns the fingerprint of a request of the account to the
// pool.
func NewFingerprint(account string, pool platform.PoolName, body []byte) Fingerprint {
	digest := sha256.New()
	writeField(digest, []byte(account))
	writeField(digest, []byte(pool))
	writeField(digest, body)
	return Fingerprint(hex.EncodeToString(digest.Sum(nil)[:fingerprintBytes]))
}

// writeField hashes the length of a field and the field, so that different
// splits of the same bytes have different digests.
func writeField(digest hash.Hash, field []byte) {
	length := binary.BigEndian.AppendUint64(nil, uint64(len(field)))
	_, _ = digest.Write(length)
	_, _ = digest.Write(field)
}
