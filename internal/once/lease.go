// Package once decides whether a non-idempotent request may run. It issues
// operation leases, names operations within them, and keeps the first outcome of
// every operation until its lease can no longer be used. It is pure: time and
// the key are handed in, and it dispatches nothing.
package once

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/binary"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// The text of a key is scheme~vm~incarnation~serial~expires~mac.counter. No VM
// name holds the separator.
const (
	scheme    = "op1"
	separator = "~"
	fields    = 6
	hexBase   = 16
	wordBits  = 64
	// macSize in bytes is half of the hash: enough against guessing, and short.
	macSize = sha256.Size / 2
)

// MaxKeyLength is the most characters of a key.
const MaxKeyLength = 200

// KeySize is the least bytes of the secret that authenticates leases.
const KeySize = 32

// Lease lets one customer name operations that one incarnation of one VM will
// run. Nothing is stored for it: the MAC proves that the incarnation issued it.
type Lease struct {
	VM          string
	Incarnation uint64
	// Serial is unique within the incarnation.
	Serial uint64
	// Expires is when new operations are no longer taken, in milliseconds since
	// the incarnation started, on its own monotonic clock. No other VM reads it.
	Expires uint64

	mac [macSize]byte
}

// Prefix is the lease's text; an operation's key is prefix, full stop, counter.
func (l *Lease) Prefix() string {
	return strings.Join([]string{
		scheme,
		l.VM,
		strconv.FormatUint(l.Incarnation, hexBase),
		strconv.FormatUint(l.Serial, hexBase),
		strconv.FormatUint(l.Expires, hexBase),
		base64.RawURLEncoding.EncodeToString(l.mac[:]),
	}, separator)
}

func (l *Lease) expires() time.Duration {
	return time.Duration(l.Expires) * time.Millisecond
}

// Key names one operation of a lease.
type Key struct {
	Lease
	Counter uint64
}

// String is the text a caller sends.
func (k *Key) String() string {
	return k.Prefix() + "." + strconv.FormatUint(k.Counter, 10)
}

// ParseKey reads a key's text. Success says only that the text has the form of a
// key: the MAC can be checked by the incarnation that issued it, nobody else.
func ParseKey(text string) (*Key, error) {
	if len(text) > MaxKeyLength {
		return nil, trace.BadParameter("the key is longer than %d characters", MaxKeyLength)
	}
	parts := strings.Split(text, separator)
	if len(parts) != fields || parts[0] != scheme || parts[1] == "" {
		return nil, errForeign()
	}
	k := &Key{Lease: Lease{VM: parts[1]}}
	mac, counter, _ := strings.Cut(parts[5], ".")
	if !parseWords(k, parts, counter) || !parseMAC(k, mac) {
		return nil, errForeign()
	}
	// One operation has one text. Were "01" and "1" the same counter, an
	// operation could be looked up under one text and logged under another.
	if k.String() != text {
		return nil, errForeign()
	}
	return k, nil
}

func parseWords(k *Key, parts []string, counter string) bool {
	words := []struct {
		to   *uint64
		text string
		base int
	}{
		{&k.Incarnation, parts[2], hexBase},
		{&k.Serial, parts[3], hexBase},
		{&k.Expires, parts[4], hexBase},
		{&k.Counter, counter, 10},
	}
	for _, w := range words {
		v, err := strconv.ParseUint(w.text, w.base, wordBits)
		if err != nil {
			return false
		}
		*w.to = v
	}
	return true
}

func parseMAC(k *Key, text string) bool {
	mac, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(mac) != macSize {
		return false
	}
	copy(k.mac[:], mac)
	return true
}

func errForeign() error {
	return trace.BadParameter("the key is not one of an operation lease")
}

// issuer makes and verifies the leases of one incarnation.
type issuer struct {
	vm          string
	incarnation uint64
	secret      []byte
	serial      uint64
}

func (i *issuer) issue(customer string, expires time.Duration) *Lease {
	i.serial++
	l := &Lease{VM: i.vm, Incarnation: i.incarnation, Serial: i.serial, Expires: uint64(expires.Milliseconds())}
	l.mac = i.sum(customer, l)
	return l
}

// verify is true for a lease of this incarnation that was issued to customer.
func (i *issuer) verify(customer string, l *Lease) bool {
	want := i.sum(customer, l)
	return i.names(l) && subtle.ConstantTimeCompare(want[:], l.mac[:]) == 1
}

func (i *issuer) names(l *Lease) bool {
	return l.VM == i.vm && l.Incarnation == i.incarnation
}

// sum covers the customer, which is not in the text: a key that one customer
// hands to another does not verify there.
func (i *issuer) sum(customer string, l *Lease) [macSize]byte {
	h := hmac.New(sha256.New, i.secret)
	var word [8]byte
	for _, v := range []uint64{l.Incarnation, l.Serial, l.Expires, uint64(len(l.VM))} {
		binary.BigEndian.PutUint64(word[:], v)
		h.Write(word[:])
	}
	h.Write([]byte(l.VM))
	h.Write([]byte(customer))
	var out [macSize]byte
	copy(out[:], h.Sum(nil))
	return out
}
