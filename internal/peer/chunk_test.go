package peer

import (
	"bytes"
	"testing"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// large returns a reply of n bytes whose pattern does not repeat with the chunk size.
func large(id uint64, n int) *pb.SubReply {
	body := make([]byte, n)
	for i := range body {
		body[i] = byte(i % 251)
	}
	return &pb.SubReply{Id: id, Result: pb.Result_OK, Snapshot: &pb.Snapshot{Generation: 1, Version: 7}, Body: body, ServiceUs: 9}
}

func split(r *pb.SubReply) []*pb.SubReply {
	var out []*pb.SubReply
	for s := newSplitter(r); ; {
		f, done := s.nextChunk()
		out = append(out, f.GetReply())
		if done {
			return out
		}
	}
}

func TestReplyIsReassembled(t *testing.T) {
	for _, n := range []int{chunkSize + 1, 2 * chunkSize, 5*chunkSize - 1} {
		want := large(64, n)
		ra := newReassembler()
		var got *pb.SubReply
		for _, c := range split(want) {
			if len(c.Body) > chunkSize {
				t.Fatalf("a chunk of %d bytes", len(c.Body))
			}
			complete, reason := ra.add(c, true)
			if reason != "" {
				t.Fatalf("%d bytes: dropped as %s", n, reason)
			}
			got = complete
		}
		if got == nil || !bytes.Equal(got.Body, want.Body) || got.Result != pb.Result_OK || got.ServiceUs != 9 || got.Length != 0 {
			t.Fatalf("%d bytes: the reply differs from the one sent", n)
		}
		if ra.reservedBytes != 0 || len(ra.partials) != 0 {
			t.Errorf("%d bytes stay reserved", ra.reservedBytes)
		}
	}
}

// Failure: a caller gets a reply with wrong or missing bytes, or a VM runs out of
// memory. One chunk of a reply of five is changed, lost, duplicated or unexpected.
// Chunks were joined in order of arrival without checks.
func TestBadChunks(t *testing.T) {
	for _, c := range []struct {
		name     string
		change   func(chunks []*pb.SubReply) []*pb.SubReply
		expected bool
		reason   dropReason
		// complete says that the reply is complete in spite of the change.
		complete bool
	}{
		{name: "changed byte", expected: true, reason: chunkChecksum, change: func(c []*pb.SubReply) []*pb.SubReply {
			c[2].Body = append([]byte(nil), c[2].Body...)
			c[2].Body[0]++
			return c
		}},
		{name: "lost chunk", expected: true, reason: chunkGap, change: func(c []*pb.SubReply) []*pb.SubReply { return append(c[:2], c[3:]...) }},
		{name: "duplicate chunk", expected: true, reason: chunkDuplicate, complete: true, change: func(c []*pb.SubReply) []*pb.SubReply {
			return append(c[:3:3], c[1:]...)
		}},
		{name: "different checksum in a later chunk", expected: true, reason: chunkMismatch, change: func(c []*pb.SubReply) []*pb.SubReply { c[3].Checksum++; return c }},
		{name: "more bytes than announced", expected: true, reason: chunkMismatch, change: func(c []*pb.SubReply) []*pb.SubReply {
			c[4].Body = make([]byte, chunkSize+1)
			return c
		}},
		{name: "empty chunk", expected: true, reason: chunkMismatch, change: func(c []*pb.SubReply) []*pb.SubReply { c[1].Body = nil; return c }},
		{name: "huge announced length", expected: true, reason: chunkTooLarge, change: func(c []*pb.SubReply) []*pb.SubReply {
			c[0].Length = 1 << 62
			return c[:1]
		}},
		{name: "unexpected or late", reason: chunkUnexpected, change: func(c []*pb.SubReply) []*pb.SubReply { return c }},
	} {
		t.Run(c.name, func(t *testing.T) {
			ra := newReassembler()
			expected := c.expected
			var first dropReason
			var got *pb.SubReply
			for _, ch := range c.change(split(large(64, 5*chunkSize))) {
				complete, reason := ra.add(ch, expected)
				if first == "" {
					first = reason
				}
				if complete != nil {
					got = complete
					// The reply was returned, so later chunks are unexpected.
					expected = false
				}
			}
			if first != c.reason {
				t.Errorf("dropped as %q, want %q", first, c.reason)
			}
			switch {
			case !c.expected && got != nil:
				t.Errorf("an unexpected reply was returned: %v", got.Result)
			case c.expected && c.complete && (got == nil || got.Result != pb.Result_OK):
				t.Error("no reply with result OK")
			case c.expected && !c.complete && (got == nil || got.Result != pb.Result_UNKNOWN || len(got.Body) != 0):
				t.Errorf("the result is not UNKNOWN without a body: %v", got)
			}
			if ra.reservedBytes != 0 || len(ra.partials) != 0 {
				t.Errorf("%d bytes stay reserved", ra.reservedBytes)
			}
		})
	}
}

func TestReassemblyIsBounded(t *testing.T) {
	ra := newReassembler()
	refused := 0
	for id := range uint64(200) {
		c := split(large(id, chunkSize+1))[0]
		c.Length = 1 << 20
		if _, reason := ra.add(c, true); reason == chunkTooLarge {
			refused++
		}
	}
	if ra.reservedBytes > maxLargeBytes || refused == 0 {
		t.Errorf("%d bytes reserved, %d answers refused", ra.reservedBytes, refused)
	}
}

// Failure: a small reply waits for a large one on the same stream, or a message that
// is too large ends the stream. Two large replies are queued before small ones. A
// reply was sent in one piece, or all its chunks in a row.
func TestOutboxInterleaves(t *testing.T) {
	o := newOutbox()
	for id := range uint64(2) {
		o.add(&pb.Frame{Body: &pb.Frame_Reply{Reply: large(id, 4<<20)}})
	}
	ra := newReassembler()
	complete := map[uint64]bool{}
	for round := uint64(0); len(complete) < 2; round++ {
		if round > 1000 {
			t.Fatal("the large replies are not complete")
		}
		small := 100 + round
		o.add(&pb.Frame{Body: &pb.Frame_Reply{Reply: &pb.SubReply{Id: small}}})
		bytes, found := 0, false
		large := map[uint64]int{}
		for _, f := range o.take() {
			bytes += frameSize(f)
			r := f.GetReply()
			found = found || r.Id == small
			if !isChunk(r) {
				continue
			}
			large[r.Id]++
			if w, reason := ra.add(r, true); reason != "" {
				t.Fatal(reason)
			} else if w != nil {
				complete[w.Id] = true
			}
		}
		if !found {
			t.Fatalf("the small reply of round %d is not in its batch", round)
		}
		if bytes > maxBatchBytes+frameOverhead+chunkSize {
			t.Fatalf("a batch of %d bytes", bytes)
		}
		if d := large[0] - large[1]; len(complete) == 0 && (d > 1 || d < -1) {
			t.Fatalf("the large replies are not interleaved: %v", large)
		}
	}
}

func TestOutboxBoundsBytes(t *testing.T) {
	o := newOutbox()
	body := make([]byte, 200<<10)
	for range 100 {
		o.add(&pb.Frame{Body: &pb.Frame_Request{Request: &pb.SubRequest{Body: body}}})
	}
	taken := 0
	for taken < 100 {
		batch := o.take()
		if len(batch) == 0 || len(batch) > 6 {
			t.Fatalf("a batch of %d frames of 200 kB", len(batch))
		}
		taken += len(batch)
	}
	for range 20 {
		o.add(&pb.Frame{Body: &pb.Frame_Reply{Reply: large(1, 8<<20)}})
	}
	if o.largeBytes > maxLargeBytes {
		t.Errorf("%d bytes are queued", o.largeBytes)
	}
	dropped := 0
	for _, f := range o.frames {
		if f.GetReply().GetResult() == pb.Result_UNKNOWN {
			dropped++
		}
	}
	if dropped != 12 {
		t.Errorf("%d of the 12 replies without room failed at once", dropped)
	}
}
