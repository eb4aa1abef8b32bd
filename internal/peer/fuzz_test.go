package peer

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Symptom: a daemon panics or fills its memory, or hands on an answer that is
// not what the owner sent.
// Sequence: a peer sends any batch of frames.
// Cause: lengths, offsets or frame bodies taken over unchecked.
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
		_ = helloOf(b)
		j := newJoiner()
		for _, frame := range b.Frames {
			checkFrame(t, j, frame)
		}
	})
}

func checkFrame(t *testing.T, j *joiner, f *pb.Frame) {
	_, owed := requestID(f)
	_, settles := replyID(f)
	if owed && settles {
		t.Fatalf("a request and a reply at once: %v", f)
	}
	if frameSize(f) <= 0 {
		t.Fatalf("size of %v", f)
	}
	r := f.GetReply()
	if r == nil || !chunk(r) {
		return
	}
	whole, why := j.add(r, true)
	if j.bytes < 0 || j.bytes > maxLargeBytes {
		t.Fatalf("%d bytes reserved", j.bytes)
	}
	if whole != nil && why == "" && (r.Offset+uint64(len(r.Body)) != r.Length || uint64(len(whole.Body)) != r.Length) {
		t.Fatalf("an answer of %d bytes, announced %d", len(whole.Body), r.Length)
	}
}
