package gossip

import (
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Guards against a crash, or datagrams that grow without bound, when a peer with
// another version or a bug sends a signed message with unexpected field values.
func FuzzSignedDatagram(f *testing.F) {
	update := func(state pb.MemberState) *pb.MemberUpdate {
		return &pb.MemberUpdate{Vm: "vm-b", Incarnation: 5, State: state, PeerAddress: "10.0.0.2:7100"}
	}
	for _, d := range []*pb.Datagram{
		{},
		{Sender: update(pb.MemberState_ALIVE), Sequence: 1},
		{Sender: update(pb.MemberState_LEAVING), Sequence: 2, Body: &pb.Datagram_Probe{Probe: &pb.Probe{Id: 1, Digest: make([]uint32, 16)}}},
		{Sender: update(pb.MemberState_ALIVE), Sequence: 3, Body: &pb.Datagram_Ack{Ack: &pb.ProbeAck{Id: 9}}},
		{Sender: update(pb.MemberState_ALIVE), Sequence: 4, Body: &pb.Datagram_ProbeRequest{ProbeRequest: &pb.ProbeRequest{Id: 9, Target: "vm-a"}}},
		{Sender: update(pb.MemberState_ALIVE), Sequence: 6, Quarantine: []*pb.QuarantineEntry{{Content: make([]byte, 16), Epoch: 1, Ended: []uint32{1}}}},
		{Sender: update(pb.MemberState_ALIVE), Sequence: 5, Updates: []*pb.MemberUpdate{update(pb.MemberState_DEAD), {Vm: "vm-a", Incarnation: 9, State: pb.MemberState_SUSPECT}}},
	} {
		b, err := proto.Marshal(d)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	signer := NewSigner([]*pb.PeerKey{{Id: "k", Secret: strings.Repeat("k", 32)}})
	now := time.Unix(1000, 0)
	f.Fuzz(func(t *testing.T, message []byte) {
		d, reason := signer.Verify(append(computeMAC(signer.keys[0], message), message...))
		if reason != "" {
			return
		}
		n := membership.New(now, membership.Options{Self: &pb.MemberUpdate{Vm: "vm-a", Incarnation: 7, PeerAddress: "10.0.0.1:7100"}})
		sends := n.Receive(now, d).Sends
		sends = append(sends, n.ReplyToOutdated(now, d.Sender).Sends...)
		for range 20 {
			now = now.Add(200 * time.Millisecond)
			sends = append(sends, n.Tick(now).Sends...)
		}
		for _, s := range sends {
			s.Datagram.Sequence = 1 << 60
			if b, err := signer.Sign(s.Datagram); err != nil || len(b) > membership.MaxDatagram {
				t.Fatalf("signing produced a datagram of %d bytes: %v", len(b), err)
			}
		}
	})
}

// FuzzDatagram verifies arbitrary bytes, as they arrive from the network.
func FuzzDatagram(f *testing.F) {
	signer := NewSigner([]*pb.PeerKey{{Id: "k", Secret: strings.Repeat("k", 32)}})
	f.Add([]byte("hello"))
	f.Add(make([]byte, 200))
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, reason := signer.Verify(b); reason == "" {
			t.Fatal("unsigned bytes were accepted")
		}
	})
}
