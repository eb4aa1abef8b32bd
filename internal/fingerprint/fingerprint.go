// Package fingerprint identifies requests by their content. Every attempt of a caller has its
// own request id, so the id does not identify retries of the same request.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies the content of a request: method, host, target and body. It is a
// truncated SHA-256 hash, so callers cannot construct a request with the fingerprint of another
// one.
type Fingerprint [16]byte

// Of returns the fingerprint of a request. host must be normalised; target is the path and the
// query string as sent.
func Of(method, host, target string, body []byte) Fingerprint {
	h := sha256.New()
	var text [headBufferSize]byte
	buf := text[:0]
	for _, field := range []string{method, host, target} {
		// The length prefix makes the field boundaries unambiguous.
		buf = binary.BigEndian.AppendUint64(buf, uint64(len(field)))
		buf = append(buf, field...)
	}
	// Write of a hash never returns an error.
	_, _ = h.Write(buf)
	_, _ = h.Write(body)
	var sum [sha256.Size]byte
	return Fingerprint(h.Sum(sum[:0])[:len(Fingerprint{})])
}

// headBufferSize is enough for the method, host and target of a typical request, in bytes.
const headBufferSize = 256

// String returns the fingerprint in hexadecimal, as used in logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
