package gossip

import (
	"crypto/hmac"
	"crypto/sha256"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Reason is why a datagram or update is dropped; it is the metric label.
type Reason string

// Reasons for dropping a datagram.
const (
	TooLong  Reason = "too_long"
	TooShort Reason = "too_short"
	// Unsigned means that no configured key matches the signature.
	Unsigned Reason = "unsigned"
	// Malformed means that the message cannot be decoded or a field is invalid.
	Malformed Reason = "malformed"
	// Replayed means that the sequence number was seen before or is too old.
	Replayed Reason = "replayed"
	// Outdated means that a newer process of the sending VM is known.
	Outdated Reason = "outdated"
)

// Limits on the fields of a datagram: bytes of a string, or entries of a list.
const (
	maxName       = 63
	maxAddress    = 64
	maxUpdates    = 128
	maxDigest     = 64
	maxQuarantine = 32
)

// Signer signs and verifies datagrams. A signed datagram is an HMAC-SHA-256
// followed by the encoded message.
type Signer struct {
	keys [][]byte
}

// NewSigner returns a signer that signs with the first key and accepts every key,
// so that keys can be rotated.
func NewSigner(keys []*pb.PeerKey) *Signer {
	s := &Signer{}
	for _, k := range keys {
		s.keys = append(s.keys, deriveKey(k.Secret))
	}
	return s
}

// deriveKey derives a key specific to gossip datagrams, because the shared secret
// has other uses.
func deriveKey(secret string) []byte {
	m := hmac.New(sha256.New, []byte(secret))
	m.Write([]byte("sycamorekeel gossip v1"))
	return m.Sum(nil)
}

// Sign encodes and signs a datagram.
func (s *Signer) Sign(d *pb.Datagram) ([]byte, error) {
	out := make([]byte, membership.SignatureBytes, membership.MaxDatagram)
	out, err := proto.MarshalOptions{}.MarshalAppend(out, d)
	if err != nil {
		return nil, err
	}
	copy(out, computeMAC(s.keys[0], out[membership.SignatureBytes:]))
	return out, nil
}

// Verify checks the signature and the fields of a received datagram. It returns
// the message, or nil and the reason to drop the datagram.
func (s *Signer) Verify(b []byte) (*pb.Datagram, Reason) {
	switch {
	case len(b) > membership.MaxDatagram:
		return nil, TooLong
	case len(b) <= membership.SignatureBytes:
		return nil, TooShort
	case !s.verifyMAC(b[:membership.SignatureBytes], b[membership.SignatureBytes:]):
		return nil, Unsigned
	}
	d := &pb.Datagram{}
	if err := proto.Unmarshal(b[membership.SignatureBytes:], d); err != nil || !wellFormed(d) {
		return nil, Malformed
	}
	return d, ""
}

func (s *Signer) verifyMAC(mac, message []byte) bool {
	for _, key := range s.keys {
		if hmac.Equal(mac, computeMAC(key, message)) {
			return true
		}
	}
	return false
}

func computeMAC(key, message []byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write(message)
	return m.Sum(nil)
}

func wellFormed(d *pb.Datagram) bool {
	if d.Sequence == 0 || len(d.Updates) > maxUpdates || len(d.Quarantine) > maxQuarantine || !wellFormedSender(d.Sender) {
		return false
	}
	for _, u := range d.Updates {
		if !wellFormedUpdate(u) {
			return false
		}
	}
	switch b := d.Body.(type) {
	case *pb.Datagram_Probe:
		return len(b.Probe.Target) <= maxName && len(b.Probe.Digest) <= maxDigest
	case *pb.Datagram_ProbeRequest:
		return wellFormedName(b.ProbeRequest.Target)
	}
	return true
}

func wellFormedSender(u *pb.MemberUpdate) bool {
	if u == nil || u.SecondHand || !wellFormedUpdate(u) || u.PeerAddress == "" {
		return false
	}
	return u.State == pb.MemberState_ALIVE || u.State == pb.MemberState_LEAVING
}

func wellFormedUpdate(u *pb.MemberUpdate) bool {
	if u.State < pb.MemberState_ALIVE || u.State > pb.MemberState_DEAD {
		return false
	}
	if !wellFormedName(u.Vm) || len(u.Region) > maxName || len(u.DataCentre) > maxName || len(u.Rack) > maxName {
		return false
	}
	return wellFormedAddress(u.PeerAddress) && wellFormedAddress(u.CallerAddress)
}

func wellFormedName(s string) bool {
	return s != "" && len(s) <= maxName
}

func wellFormedAddress(s string) bool {
	if s == "" {
		return true
	}
	if len(s) > maxAddress {
		return false
	}
	_, err := netip.ParseAddrPort(s)
	return err == nil
}
