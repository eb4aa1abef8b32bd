package peer

import (
	"bytes"
	"testing"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// large is an answer of n bytes that do not repeat with the chunk size.
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
		f, done := s.next()
		out = append(out, f.GetReply())
		if done {
			return out
		}
	}
}

func TestAnswerComesWhole(t *testing.T) {
	for _, n := range []int{chunkSize + 1, 2 * chunkSize, 5*chunkSize - 1} {
		want := large(64, n)
		j := newJoiner()
		var got *pb.SubReply
		for _, c := range split(want) {
			if len(c.Body) > chunkSize {
				t.Fatalf("a chunk of %d bytes", len(c.Body))
			}
			whole, why := j.add(c, true)
			if why != "" {
				t.Fatalf("%d bytes: dropped as %s", n, why)
			}
			got = whole
		}
		if got == nil || !bytes.Equal(got.Body, want.Body) || got.Result != pb.Result_OK || got.ServiceUs != 9 || got.Length != 0 {
			t.Fatalf("%d bytes: the answer is not what was sent", n)
		}
		if j.bytes != 0 || len(j.partial) != 0 {
			t.Errorf("%d bytes stay reserved", j.bytes)
		}
	}
}

// Symptom: a caller gets an answer with foreign or missing bytes, or a VM runs
// out of memory.
// Sequence: a chunk of an answer of five is changed, lost, repeated or foreign.
// Cause: chunks were joined in the order of their coming, unchecked.
func TestBadChunks(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(chunks []*pb.SubReply) []*pb.SubReply
		wanted bool
		why    fault
		// whole says that the answer is complete all the same.
		whole bool
	}{
		{name: "changed byte", wanted: true, why: chunkChecksum, change: func(c []*pb.SubReply) []*pb.SubReply {
			c[2].Body = append([]byte(nil), c[2].Body...)
			c[2].Body[0]++
			return c
		}},
		{name: "lost chunk", wanted: true, why: chunkGap, change: func(c []*pb.SubReply) []*pb.SubReply { return append(c[:2], c[3:]...) }},
		{name: "repeated chunk", wanted: true, why: chunkRepeated, whole: true, change: func(c []*pb.SubReply) []*pb.SubReply {
			return append(c[:3:3], c[1:]...)
		}},
		{name: "other checksum half way", wanted: true, why: chunkMismatch, change: func(c []*pb.SubReply) []*pb.SubReply { c[3].Checksum++; return c }},
		{name: "more bytes than announced", wanted: true, why: chunkMismatch, change: func(c []*pb.SubReply) []*pb.SubReply {
			c[4].Body = make([]byte, chunkSize+1)
			return c
		}},
		{name: "empty chunk", wanted: true, why: chunkMismatch, change: func(c []*pb.SubReply) []*pb.SubReply { c[1].Body = nil; return c }},
		{name: "length without end", wanted: true, why: chunkTooLarge, change: func(c []*pb.SubReply) []*pb.SubReply {
			c[0].Length = 1 << 62
			return c[:1]
		}},
		{name: "foreign or late", why: chunkForeign, change: func(c []*pb.SubReply) []*pb.SubReply { return c }},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := newJoiner()
			wanted := c.wanted
			var first fault
			var got *pb.SubReply
			for _, ch := range c.change(split(large(64, 5*chunkSize))) {
				whole, why := j.add(ch, wanted)
				if first == "" {
					first = why
				}
				if whole != nil {
					got = whole
					// The reply has been given: what follows is late.
					wanted = false
				}
			}
			if first != c.why {
				t.Errorf("dropped as %q, want %q", first, c.why)
			}
			switch {
			case !c.wanted && got != nil:
				t.Errorf("a foreign answer was given: %v", got.Result)
			case c.wanted && c.whole && (got == nil || got.Result != pb.Result_OK):
				t.Error("the answer did not come")
			case c.wanted && !c.whole && (got == nil || got.Result != pb.Result_UNKNOWN || len(got.Body) != 0):
				t.Errorf("the shard did not fail as unknown: %v", got)
			}
			if j.bytes != 0 || len(j.partial) != 0 {
				t.Errorf("%d bytes stay reserved", j.bytes)
			}
		})
	}
}

func TestReassemblyIsBounded(t *testing.T) {
	j := newJoiner()
	refused := 0
	for id := range uint64(200) {
		c := split(large(id, chunkSize+1))[0]
		c.Length = 1 << 20
		if _, why := j.add(c, true); why == chunkTooLarge {
			refused++
		}
	}
	if j.bytes > maxLargeBytes || refused == 0 {
		t.Errorf("%d bytes reserved, %d answers refused", j.bytes, refused)
	}
}

// Symptom: a small answer waits for a large one on the same stream, or the
// stream ends over a message that is too large.
// Sequence: two large answers wait, then small ones come.
// Cause: an answer crossed in one piece, or its chunks in a row.
func TestOutboxInterleaves(t *testing.T) {
	o := newOutbox()
	for id := range uint64(2) {
		o.add(&pb.Frame{Body: &pb.Frame_Reply{Reply: large(id, 4<<20)}})
	}
	joiners := newJoiner()
	whole := map[uint64]bool{}
	for round := uint64(0); len(whole) < 2; round++ {
		if round > 1000 {
			t.Fatal("the large answers do not come to an end")
		}
		small := 100 + round
		o.add(&pb.Frame{Body: &pb.Frame_Reply{Reply: &pb.SubReply{Id: small}}})
		bytes, found := 0, false
		large := map[uint64]int{}
		for _, f := range o.take() {
			bytes += frameSize(f)
			r := f.GetReply()
			found = found || r.Id == small
			if !chunk(r) {
				continue
			}
			large[r.Id]++
			if w, why := joiners.add(r, true); why != "" {
				t.Fatal(why)
			} else if w != nil {
				whole[w.Id] = true
			}
		}
		if !found {
			t.Fatalf("the small answer of round %d waits", round)
		}
		if bytes > maxBatchBytes+frameOverhead+chunkSize {
			t.Fatalf("a message of %d bytes", bytes)
		}
		if d := large[0] - large[1]; len(whole) == 0 && (d > 1 || d < -1) {
			t.Fatalf("one large answer goes before the other: %v", large)
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
		t.Errorf("%d bytes wait", o.largeBytes)
	}
	dropped := 0
	for _, f := range o.frames {
		if f.GetReply().GetResult() == pb.Result_UNKNOWN {
			dropped++
		}
	}
	if dropped != 12 {
		t.Errorf("%d of the 12 answers without room fail at once", dropped)
	}
}
