package peer

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Failure: a daemon panics, exhausts its memory or accepts a reply that the owner did
// not send. A peer sends an arbitrary batch of frames whose lengths, offsets or
// bodies were not checked.
func FuzzBatch(f *testing.F) {
	seeds := []*pb.Batch{
		{}, {Frames: []*pb.Frame{{}}},
		{Frames: []*pb.Frame{{Body: &pb.Frame_Hello{Hello: &pb.Hello{Vm: "vm-1", Incarnation: 3}}}}},
		{Frames: []*pb.Frame{{Body: &pb.Frame_Request{Request: &pb.SubRequest{Id: 1, Body: []byte("{}")}}}, {Body: &pb.Frame_Cancel{Cancel: &pb.Cancel{Id: 1}}}}},
		{Frames: []*pb.Frame{{Body: &pb.Frame_Reply{Reply: &pb.SubReply{Id: 1, Length: 1 << 60, Offset: 1 << 59}}}}},
		{Frames: []*pb.Frame{{Body: &pb.Frame_Reply{Reply: &pb.SubReply{Id: 1, Length: 4, Body: []byte("ab")}}}, {Body: &pb.Frame_Reply{Reply: &pb.SubReply{Id: 1, Length: 4, Offset: 2, Body: []byte("cd")}}}}},
	}
	for _, b := range seeds {
		raw, err := proto.Marshal(b)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		b := &pb.Batch{}
		if proto.Unmarshal(raw, b) != nil {
			return
		}
		_ = helloFrom(b)
		ra := newReassembler()
		for _, frame := range b.Frames {
			checkFrame(t, ra, frame)
		}
	})
}

func checkFrame(t *testing.T, ra *reassembler, f *pb.Frame) {
	_, request := requestID(f)
	_, reply := replyID(f)
	if request && reply {
		t.Fatalf("both a request and a reply: %v", f)
	}
	if frameSize(f) <= 0 {
		t.Fatalf("size of %v", f)
	}
	r := f.GetReply()
	if r == nil || !isChunk(r) {
		return
	}
	complete, reason := ra.add(r, true)
	if ra.reservedBytes < 0 || ra.reservedBytes > maxLargeBytes {
		t.Fatalf("%d bytes reserved", ra.reservedBytes)
	}
	if complete != nil && reason == "" && (r.Offset+uint64(len(r.Body)) != r.Length || uint64(len(complete.Body)) != r.Length) {
		t.Fatalf("a reply of %d bytes, announced %d", len(complete.Body), r.Length)
	}
}
