// Package idempotency decides whether a non-idempotent request may run, so that each
// operation runs at most once. It issues operation leases, parses the keys that
// name operations within them, and keeps the first outcome of every operation
// until its lease can no longer be used. The package is pure: callers pass in
// the time and the secret, and dispatch the requests themselves.
package idempotency

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

// The text of a key is scheme~vm~incarnation~serial~expires~mac.counter. VM
// names do not contain the separator.
const (
	scheme    = "op1"
	separator = "~"
	fields    = 6
	hexBase   = 16
	uintBits  = 64
	// macSize is half of the hash in bytes: long enough to prevent guessing,
	// and it keeps keys short.
	macSize = sha256.Size / 2
)

// MaxKeyLength is the maximum number of characters in a key.
const MaxKeyLength = 200

// KeySize is the minimum number of bytes in the secret that authenticates
// leases.
const KeySize = 32

// Lease lets one customer name operations that one incarnation of one VM runs.
// Leases are not stored: the MAC proves that the incarnation issued them.
type Lease struct {
	VM          string
	Incarnation uint64
	// Serial is unique within the incarnation.
	Serial uint64
	// Expires is when the lease stops accepting new operations, in milliseconds
	// since the start of the incarnation by its own monotonic clock. Other VMs
	// do not interpret it.
	Expires uint64

	mac [macSize]byte
}

// Prefix returns the text of the lease. The key of an operation is the prefix,
// a full stop and the counter.
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

// Key identifies one operation of a lease.
type Key struct {
	Lease
	Counter uint64
}

// String returns the text that a caller sends.
func (k *Key) String() string {
	return k.Prefix() + "." + strconv.FormatUint(k.Counter, 10)
}

// ParseKey parses the text of a key. Success means only that the text is
// well-formed: the MAC can be verified only by the incarnation that issued the
// key.
func ParseKey(text string) (*Key, error) {
	if len(text) > MaxKeyLength {
		return nil, trace.BadParameter("the key is longer than %d characters", MaxKeyLength)
	}
	parts := strings.Split(text, separator)
	if len(parts) != fields || parts[0] != scheme || parts[1] == "" {
		return nil, errNotOperationKey()
	}
	k := &Key{Lease: Lease{VM: parts[1]}}
	mac, counter, _ := strings.Cut(parts[5], ".")
	if !parseNumbers(k, parts, counter) || !parseMAC(k, mac) {
		return nil, errNotOperationKey()
	}
	// Each operation has exactly one text. If "01" and "1" were the same
	// counter, an operation could be looked up under one text and logged under
	// another.
	if k.String() != text {
		return nil, errNotOperationKey()
	}
	return k, nil
}

func parseNumbers(k *Key, parts []string, counter string) bool {
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
		v, err := strconv.ParseUint(w.text, w.base, uintBits)
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

func errNotOperationKey() error {
	return trace.BadParameter("the key is not one of an operation lease")
}

// issuer creates and verifies the leases of one incarnation.
type issuer struct {
	vm          string
	incarnation uint64
	secret      []byte
	lastSerial  uint64
}

func (i *issuer) issue(customer string, expires time.Duration) *Lease {
	i.lastSerial++
	l := &Lease{VM: i.vm, Incarnation: i.incarnation, Serial: i.lastSerial, Expires: uint64(expires.Milliseconds())}
	l.mac = i.computeMAC(customer, l)
	return l
}

// verify reports whether this incarnation issued the lease to the customer.
func (i *issuer) verify(customer string, l *Lease) bool {
	want := i.computeMAC(customer, l)
	return i.issued(l) && subtle.ConstantTimeCompare(want[:], l.mac[:]) == 1
}

func (i *issuer) issued(l *Lease) bool {
	return l.VM == i.vm && l.Incarnation == i.incarnation
}

// computeMAC covers the customer, which is not part of the text: a key that one
// customer passes to another does not verify for the other.
func (i *issuer) computeMAC(customer string, l *Lease) [macSize]byte {
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
