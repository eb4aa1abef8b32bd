package peer

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

const (
	// chunkSize is the maximum number of body bytes of a reply in one frame.
	chunkSize = 64 << 10
	// maxBatchBytes bounds one message. The transport refuses messages above
	// 4 MiB and ends the stream.
	maxBatchBytes = 1 << 20
	// maxBatchChunks bounds the chunks in one batch.
	maxBatchChunks = 4
	// maxLargeBytes bounds the large replies queued in one outbox, and those
	// that the reader of one stream reassembles.
	maxLargeBytes = 64 << 20
	// frameOverhead is the estimated size of a frame without its body.
	frameOverhead = 256
)

// splitter cuts a large reply into chunks.
type splitter struct {
	reply    *pb.SubReply
	offset   int
	checksum uint64
}

func newSplitter(r *pb.SubReply) *splitter {
	return &splitter{reply: r, checksum: xxhash.Sum64(r.Body)}
}

// nextChunk returns the next chunk. done is true for the last one, which also
// carries the result and the other fields of the reply.
func (s *splitter) nextChunk() (f *pb.Frame, done bool) {
	end := min(s.offset+chunkSize, len(s.reply.Body))
	chunk := &pb.SubReply{
		Id:       s.reply.Id,
		Body:     s.reply.Body[s.offset:end],
		Offset:   uint64(s.offset),
		Length:   uint64(len(s.reply.Body)),
		Checksum: s.checksum,
	}
	s.offset = end
	if end == len(s.reply.Body) {
		chunk.Result = s.reply.Result
		chunk.Snapshot = s.reply.Snapshot
		chunk.QueueUs = s.reply.QueueUs
		chunk.ServiceUs = s.reply.ServiceUs
		chunk.RetryAfterMs = s.reply.RetryAfterMs
		chunk.Detail = s.reply.Detail
		done = true
	}
	return &pb.Frame{Body: &pb.Frame_Reply{Reply: chunk}}, done
}

// largeReply returns the frame's reply and whether it must be sent in chunks.
func largeReply(f *pb.Frame) (*pb.SubReply, bool) {
	r := f.GetReply()
	return r, r != nil && len(r.Body) > chunkSize
}

// frameSize estimates the size of a frame in a message.
func frameSize(f *pb.Frame) int {
	switch b := f.Body.(type) {
	case *pb.Frame_Request:
		return frameOverhead + len(b.Request.Body)
	case *pb.Frame_Reply:
		return frameOverhead + len(b.Reply.Body)
	case *pb.Frame_Cancel:
		return frameOverhead
	default:
		return frameOverhead + proto.Size(f)
	}
}

// dropReason is the reason for dropping a chunk, as a metric label.
type dropReason string

const (
	// chunkUnexpected: no request is waiting for this reply.
	chunkUnexpected dropReason = "foreign"
	// chunkDuplicate: its bytes were already received.
	chunkDuplicate dropReason = "repeated"
	// chunkGap: bytes before it are missing.
	chunkGap dropReason = "gap"
	// chunkMismatch: it contradicts the reply's earlier chunks or its length.
	chunkMismatch dropReason = "mismatch"
	// chunkTooLarge: the replies being reassembled would take too much memory.
	chunkTooLarge dropReason = "too_large"
	// chunkChecksum: the reassembled body does not match its checksum.
	chunkChecksum dropReason = "checksum"
)

// reassembler joins the chunks of one stream's replies. It does no I/O and is not
// safe for concurrent use.
type reassembler struct {
	partials map[uint64]*partialReply
	// reservedBytes is the total length of the partial replies.
	reservedBytes int
}

// partialReply is a reply of which some chunks are missing.
type partialReply struct {
	body     []byte
	length   int
	checksum uint64
}

func newReassembler() *reassembler {
	return &reassembler{partials: map[uint64]*partialReply{}}
}

// isChunk reports whether r is a chunk of a larger reply.
func isChunk(r *pb.SubReply) bool {
	return r.Length > 0
}

// add processes a chunk. expected says whether a request is waiting for the reply.
// add returns the reply when it is complete, or when reassembly failed: then with
// result UNKNOWN, because the upstream ran the request.
func (ra *reassembler) add(r *pb.SubReply, expected bool) (complete *pb.SubReply, reason dropReason) {
	if !expected {
		ra.discard(r.Id)
		return nil, chunkUnexpected
	}
	p := ra.partials[r.Id]
	if p == nil {
		if reason := ra.reserve(r); reason != "" {
			return failedReply(r, reason), reason
		}
		p = ra.partials[r.Id]
	}
	if reason := p.validate(r); reason != "" {
		if reason == chunkDuplicate {
			return nil, reason
		}
		ra.discard(r.Id)
		return failedReply(r, reason), reason
	}
	p.body = append(p.body, r.Body...)
	if len(p.body) < p.length {
		return nil, ""
	}
	ra.discard(r.Id)
	if xxhash.Sum64(p.body) != p.checksum {
		return failedReply(r, chunkChecksum), chunkChecksum
	}
	r.Body = p.body
	r.Offset, r.Length, r.Checksum = 0, 0, 0
	return r, ""
}

// reserve registers a new partial reply. It counts the whole announced length
// before any byte is stored, but allocates only part of it: neither one false
// length nor many may exhaust memory.
func (ra *reassembler) reserve(r *pb.SubReply) dropReason {
	if r.Length > maxLargeBytes || ra.reservedBytes+int(r.Length) > maxLargeBytes {
		return chunkTooLarge
	}
	ra.reservedBytes += int(r.Length)
	ra.partials[r.Id] = &partialReply{
		body:     make([]byte, 0, min(int(r.Length), 4*chunkSize)),
		length:   int(r.Length),
		checksum: r.Checksum,
	}
	return ""
}

func (ra *reassembler) discard(id uint64) {
	if p := ra.partials[id]; p != nil {
		ra.reservedBytes -= p.length
		delete(ra.partials, id)
	}
}

func (p *partialReply) validate(r *pb.SubReply) dropReason {
	have := uint64(len(p.body))
	switch {
	case r.Length != uint64(p.length) || r.Checksum != p.checksum:
		return chunkMismatch
	case r.Offset < have:
		return chunkDuplicate
	case r.Offset > have:
		return chunkGap
	case len(r.Body) == 0 || have+uint64(len(r.Body)) > r.Length:
		return chunkMismatch
	default:
		return ""
	}
}

func failedReply(r *pb.SubReply, reason dropReason) *pb.SubReply {
	return &pb.SubReply{Id: r.Id, Result: pb.Result_UNKNOWN, Detail: "the answer's chunks: " + string(reason)}
}
