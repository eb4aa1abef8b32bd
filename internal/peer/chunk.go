package peer

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

const (
	// chunkSize is the most bytes of an answer that cross in one frame.
	chunkSize = 64 << 10
	// maxBatchBytes bounds one message: the transport refuses larger ones than
	// 4 MiB and ends the stream over them.
	maxBatchBytes = 1 << 20
	// maxBatchChunks bounds the chunks of one batch.
	maxBatchChunks = 4
	// maxLargeBytes bounds the answers that wait in one outbox to be cut up, and
	// those that one stream's reader puts together.
	maxLargeBytes = 64 << 20
	// frameOverhead is what a frame takes besides its body, about.
	frameOverhead = 256
)

// splitter is a large answer on its way out in chunks.
type splitter struct {
	reply    *pb.SubReply
	offset   int
	checksum uint64
}

func newSplitter(r *pb.SubReply) *splitter {
	return &splitter{reply: r, checksum: xxhash.Sum64(r.Body)}
}

// next is the next chunk; done tells that it is the last one.
func (s *splitter) next() (f *pb.Frame, done bool) {
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

// largeReply is the answer in a frame when it has to cross in chunks.
func largeReply(f *pb.Frame) (*pb.SubReply, bool) {
	r := f.GetReply()
	return r, r != nil && len(r.Body) > chunkSize
}

// frameSize is about what a frame takes in a message.
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

// fault is why a chunk is dropped.
type fault string

const (
	// chunkForeign: nobody waits for this answer, or no longer.
	chunkForeign fault = "foreign"
	// chunkRepeated: its bytes are here already.
	chunkRepeated fault = "repeated"
	// chunkGap: bytes before it are missing.
	chunkGap fault = "gap"
	// chunkMismatch: it contradicts the answer's other chunks or its length.
	chunkMismatch fault = "mismatch"
	// chunkTooLarge: the answers under way take too much memory.
	chunkTooLarge fault = "too_large"
	// chunkChecksum: the whole answer is not what was sent.
	chunkChecksum fault = "checksum"
)

// joiner puts the answers of one stream together. It is pure and not safe for
// concurrent use.
type joiner struct {
	partial map[uint64]*partial
	// bytes is the memory set aside for them.
	bytes int
}

// partial is an answer under way.
type partial struct {
	body     []byte
	length   int
	checksum uint64
}

func newJoiner() *joiner {
	return &joiner{partial: map[uint64]*partial{}}
}

// chunk tells whether a reply is one of several.
func chunk(r *pb.SubReply) bool {
	return r.Length > 0
}

// add takes a chunk in. A reply is returned once its answer is whole, or has
// failed: then its outcome is unknown, because the upstream ran it. wanted tells
// whether its reply is outstanding.
func (j *joiner) add(r *pb.SubReply, wanted bool) (whole *pb.SubReply, why fault) {
	if !wanted {
		j.forget(r.Id)
		return nil, chunkForeign
	}
	p := j.partial[r.Id]
	if p == nil {
		if why := j.open(r); why != "" {
			return failed(r, why), why
		}
		p = j.partial[r.Id]
	}
	if why := p.check(r); why != "" {
		if why == chunkRepeated {
			return nil, why
		}
		j.forget(r.Id)
		return failed(r, why), why
	}
	p.body = append(p.body, r.Body...)
	if len(p.body) < p.length {
		return nil, ""
	}
	j.forget(r.Id)
	if xxhash.Sum64(p.body) != p.checksum {
		return failed(r, chunkChecksum), chunkChecksum
	}
	r.Body = p.body
	r.Offset, r.Length, r.Checksum = 0, 0, 0
	return r, ""
}

// open makes room for an answer. Its whole length is reserved before any of it
// is kept: a length alone must not fill the memory, nor must many.
func (j *joiner) open(r *pb.SubReply) fault {
	if r.Length > maxLargeBytes || j.bytes+int(r.Length) > maxLargeBytes {
		return chunkTooLarge
	}
	j.bytes += int(r.Length)
	j.partial[r.Id] = &partial{
		body:     make([]byte, 0, min(int(r.Length), 4*chunkSize)),
		length:   int(r.Length),
		checksum: r.Checksum,
	}
	return ""
}

func (j *joiner) forget(id uint64) {
	if p := j.partial[id]; p != nil {
		j.bytes -= p.length
		delete(j.partial, id)
	}
}

func (p *partial) check(r *pb.SubReply) fault {
	have := uint64(len(p.body))
	switch {
	case r.Length != uint64(p.length) || r.Checksum != p.checksum:
		return chunkMismatch
	case r.Offset < have:
		return chunkRepeated
	case r.Offset > have:
		return chunkGap
	case len(r.Body) == 0 || have+uint64(len(r.Body)) > r.Length:
		return chunkMismatch
	default:
		return ""
	}
}

func failed(r *pb.SubReply, why fault) *pb.SubReply {
	return &pb.SubReply{Id: r.Id, Result: pb.Result_UNKNOWN, Detail: "the answer's chunks: " + string(why)}
}
