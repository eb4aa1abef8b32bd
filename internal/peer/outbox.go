package peer

import (
	"sync"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// maxOutboxFrames bounds the frames queued for one peer, so that a slow reader
// cannot exhaust this VM's memory.
const maxOutboxFrames = 16384

// maxBatchFrames bounds the frames in one batch, so that a message stays well below
// the transport's limit.
const maxBatchFrames = 512

// outbox queues the frames to send on a stream. Adding never blocks.
type outbox struct {
	mu     sync.Mutex
	frames []*pb.Frame
	// large holds the replies to send in chunks, in round-robin order;
	// largeBytes is the total size of their bodies.
	large      []*splitter
	largeBytes int
	closed     bool
	// sending is true while a batch is being sent. Only the server's writer
	// resets it.
	sending bool
	ready   chan struct{}
}

func newOutbox() *outbox {
	return &outbox{ready: make(chan struct{}, 1)}
}

// add queues a frame. It returns false when the outbox is closed or full.
func (o *outbox) add(f *pb.Frame) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || len(o.frames)+len(o.large) >= maxOutboxFrames {
		return false
	}
	if r, ok := largeReply(f); ok && o.largeBytes+len(r.Body) <= maxLargeBytes {
		o.large = append(o.large, newSplitter(r))
		o.largeBytes += len(r.Body)
	} else if ok {
		o.frames = append(o.frames, &pb.Frame{Body: &pb.Frame_Reply{Reply: failedReply(r, chunkTooLarge)}})
	} else {
		o.frames = append(o.frames, f)
	}
	o.signal()
	return true
}

// take removes the next batch: the queued frames in order, then a few chunks of the
// large replies in round-robin order. So small replies do not wait for large ones
// to finish, and large ones are not starved.
func (o *outbox) take() []*pb.Frame {
	o.mu.Lock()
	defer o.mu.Unlock()
	n, bytes := 0, 0
	for n < min(len(o.frames), maxBatchFrames) {
		bytes += frameSize(o.frames[n])
		if n > 0 && bytes > maxBatchBytes {
			break
		}
		n++
	}
	batch := o.frames[:n:n]
	o.frames = o.frames[n:]
	for i := 0; i < maxBatchChunks && len(o.large) > 0 && (i == 0 || bytes < maxBatchBytes); i++ {
		f := o.nextChunk()
		bytes += frameSize(f)
		batch = append(batch, f)
	}
	o.sending = len(batch) > 0
	if len(o.frames)+len(o.large) > 0 {
		o.signal()
	}
	return batch
}

// nextChunk takes one chunk of the first large reply and moves the rest of that
// reply to the end.
func (o *outbox) nextChunk() *pb.Frame {
	s := o.large[0]
	o.large = o.large[1:]
	f, done := s.nextChunk()
	if done {
		o.largeBytes -= len(s.reply.Body)
	} else {
		o.large = append(o.large, s)
	}
	return f
}

// markSent records that the last batch taken was sent.
func (o *outbox) markSent() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sending = false
}

// drained reports whether every frame was sent or the outbox is closed.
func (o *outbox) drained() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.closed || len(o.frames)+len(o.large) == 0 && !o.sending
}

// close makes the outbox refuse further frames and returns the frames that were
// never taken, without the large replies.
func (o *outbox) close() []*pb.Frame {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	rest := o.frames
	o.frames = nil
	o.large = nil
	return rest
}

func (o *outbox) signal() {
	select {
	case o.ready <- struct{}{}:
	default:
	}
}
