package capacity

import (
	"bytes"
	"fmt"

	"google.golang.org/protobuf/proto"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

var batchSizes = []int{1, 8, 64, 512}

const (
	requestBody = 200
	replyBody   = 1024
)

func requests(n int) *pb.Batch {
	b := &pb.Batch{}
	for i := range n {
		b.Frames = append(b.Frames, &pb.Frame{Body: &pb.Frame_Request{Request: &pb.SubRequest{
			Id:          uint64(1_000_000 + i),
			Upstream:    fmt.Sprintf("lease-search/%03d", i%targetFanOut),
			Shard:       uint32(i),
			Snapshot:    &pb.Snapshot{Generation: 3, Version: 712},
			Customer:    "land-office",
			Kind:        "lease-search",
			RemainingUs: 250_000,
			Idempotent:  true,
			Body:        bytes.Repeat([]byte{'q'}, requestBody),
			RequestId:   "0123456789abcdef",
		}}})
	}
	return b
}

func replies(n int) *pb.Batch {
	b := &pb.Batch{}
	for i := range n {
		b.Frames = append(b.Frames, &pb.Frame{Body: &pb.Frame_Reply{Reply: &pb.SubReply{
			Id:        uint64(1_000_000 + i),
			Result:    pb.Result_OK,
			Snapshot:  &pb.Snapshot{Generation: 3, Version: 712},
			Body:      bytes.Repeat([]byte{'h'}, replyBody),
			QueueUs:   300,
			ServiceUs: 4000,
		}}})
	}
	return b
}

// codec measures a frame's marshalling and its reverse in batches.
func (r *Report) codec() {
	kinds := []struct {
		name string
		make func(int) *pb.Batch
	}{{"request", requests}, {"reply of 1 KiB", replies}}
	for _, k := range kinds {
		for _, n := range batchSizes {
			batch := k.make(n)
			data, _ := proto.Marshal(batch)
			out := measure(func() { _, _ = proto.Marshal(batch) })
			in := measure(func() { _ = proto.Unmarshal(data, &pb.Batch{}) })
			size := fmt.Sprintf("%d frames a batch", n)
			per := float64(n)
			r.add("peer stream", k.name+": marshalled", size, float64(out.time.Nanoseconds())/per, "ns/frame")
			r.add("peer stream", k.name+": unmarshalled", size, float64(in.time.Nanoseconds())/per, "ns/frame")
			r.add("peer stream", k.name+": allocations to unmarshal", size, in.allocs/per, "allocs/frame")
			r.add("peer stream", k.name+": length", size, float64(len(data))/per, "B/frame")
		}
	}
}
