package gossip

import (
	"crypto/hmac"
	"crypto/sha256"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Reason says why a datagram was dropped.
type Reason string

// Reasons.
const (
	TooLong   Reason = "too_long"
	TooShort  Reason = "too_short"
	Unsigned  Reason = "unsigned"
	Malformed Reason = "malformed"
	Replayed  Reason = "replayed"
	Outdated  Reason = "outdated"
)

const (
	maxName    = 63
	maxAddress = 64
	maxUpdates = 128
	maxDigest  = 64
	// maxQuarantine bounds the entries of a datagram.
	maxQuarantine = 32
)

// Sealer signs and opens datagrams: an HMAC-SHA-256 and then the message.
type Sealer struct {
	keys [][]byte
}

// NewSealer signs by the first key and accepts every key.
func NewSealer(keys []*pb.PeerKey) *Sealer {
	s := &Sealer{}
	for _, k := range keys {
		s.keys = append(s.keys, deriveKey(k.Secret))
	}
	return s
}

// deriveKey keeps the key of the datagrams apart from the other uses of the
// shared secret.
func deriveKey(secret string) []byte {
	m := hmac.New(sha256.New, []byte(secret))
	m.Write([]byte("sycamorekeel gossip v1"))
	return m.Sum(nil)
}

// Seal is the bytes to send.
func (s *Sealer) Seal(d *pb.Datagram) ([]byte, error) {
	out := make([]byte, membership.SignatureBytes, membership.MaxDatagram)
	out, err := proto.MarshalOptions{}.MarshalAppend(out, d)
	if err != nil {
		return nil, err
	}
	copy(out, sign(s.keys[0], out[membership.SignatureBytes:]))
	return out, nil
}

// Open checks the signature and the form of received bytes. The message may be
// used only when the reason is empty.
func (s *Sealer) Open(b []byte) (*pb.Datagram, Reason) {
	switch {
	case len(b) > membership.MaxDatagram:
		return nil, TooLong
	case len(b) <= membership.SignatureBytes:
		return nil, TooShort
	case !s.signed(b[:membership.SignatureBytes], b[membership.SignatureBytes:]):
		return nil, Unsigned
	}
	d := &pb.Datagram{}
	if err := proto.Unmarshal(b[membership.SignatureBytes:], d); err != nil || !wellFormed(d) {
		return nil, Malformed
	}
	return d, ""
}

func (s *Sealer) signed(mac, message []byte) bool {
	for _, key := range s.keys {
		if hmac.Equal(mac, sign(key, message)) {
			return true
		}
	}
	return false
}

func sign(key, message []byte) []byte {
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
