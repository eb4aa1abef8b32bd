// Package fingerprint tells requests of the same content from others. Every attempt of a
// caller has an id of its own, so that the id does not show that the same is asked again.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies a request by what an upstream is asked: method, host, target and
// body. It is a part of a cryptographic hash: nobody can make a request that has the
// fingerprint of another one's.
type Fingerprint [16]byte

// Of is the fingerprint of a request. The host is to be in its normal form; the target is
// the path and the query, as sent.
func Of(method, host, target string, body []byte) Fingerprint {
	h := sha256.New()
	var text [textBuffer]byte
	buf := text[:0]
	for _, field := range []string{method, host, target} {
		// The length keeps the fields apart.
		buf = binary.BigEndian.AppendUint64(buf, uint64(len(field)))
		buf = append(buf, field...)
	}
	// A hash never fails to write.
	_, _ = h.Write(buf)
	_, _ = h.Write(body)
	var sum [sha256.Size]byte
	return Fingerprint(h.Sum(sum[:0])[:len(Fingerprint{})])
}

// textBuffer holds method, host and target of a usual request.
const textBuffer = 256

// String is the fingerprint in logs, in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
