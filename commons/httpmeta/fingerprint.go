package httpmeta

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintSize is the length of a fingerprint in bytes.
const fingerprintSize = 12

// Fingerprint identifies the content of a request. Requests that a caller repeats
// have the same one, whatever their IDs. The zero value is no request's.
//
// The query is not part of it. The platform says that a request which crashes backend servers
// comes again with the same path, caller and body, and names the query apart from the path
// where it means both.
type Fingerprint [fingerprintSize]byte

// FingerprintConfig holds what a Fingerprint is made of.
type FingerprintConfig struct {
	Method string
	Host   string // without the port
	Path   string // without the query
	Caller string // API key, or other name of the caller
	Body   []byte
}

// NewFingerprint returns the first bytes of the SHA-256 of the config's fields, each
// preceded by its length.
func NewFingerprint(config FingerprintConfig) Fingerprint {
	sum := sha256.New()
	for _, field := range [][]byte{[]byte(config.Method), []byte(config.Host), []byte(config.Path), []byte(config.Caller), config.Body} {
		// Writes to a hash never fail.
		_, _ = sum.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		_, _ = sum.Write(field)
	}
	return Fingerprint(sum.Sum(nil)[:fingerprintSize])
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
