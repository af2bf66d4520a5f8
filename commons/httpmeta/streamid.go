package httpmeta

import (
	"crypto/sha256"
	"encoding/binary"
)

// StreamID identifies a stream by the attempt of its caller that brought its first event.
type StreamID uint64

// NewStreamID returns the ID of the stream of which an attempt of a customer brought the first
// event: the first bytes of the SHA-256 of both, each preceded by its length. customer is empty
// for callers without one.
func NewStreamID(customer, attempt string) StreamID {
	sum := sha256.New()
	for _, field := range []string{customer, attempt} {
		// Writes to a hash never fail.
		_, _ = sum.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		_, _ = sum.Write([]byte(field))
	}
	return StreamID(binary.BigEndian.Uint64(sum.Sum(nil)))
}
