package peer

import (
	"sync"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// maxOutbox bounds the frames waiting for one peer: a peer that reads too
// slowly must not fill this VM's memory.
const maxOutbox = 16384

// maxBatch bounds the frames of one batch, so that one message stays well below
// the transport's limit.
const maxBatch = 512

// outbox holds the frames that wait for a stream. Adding never blocks.
type outbox struct {
	mu     sync.Mutex
	frames []*pb.Frame
	// large holds the answers that go out in chunks, in turns; largeBytes is
	// their size.
	large      []*splitter
	largeBytes int
	closed     bool
	// taken is set while a batch is being sent.
	taken bool
	ready chan struct{}
}

func newOutbox() *outbox {
	return &outbox{ready: make(chan struct{}, 1)}
}

// add queues a frame; it fails when the peer is gone or too far behind.
func (o *outbox) add(f *pb.Frame) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || len(o.frames)+len(o.large) >= maxOutbox {
		return false
	}
	if r, ok := largeReply(f); ok && o.largeBytes+len(r.Body) <= maxLargeBytes {
		o.large = append(o.large, newSplitter(r))
		o.largeBytes += len(r.Body)
	} else if ok {
		o.frames = append(o.frames, &pb.Frame{Body: &pb.Frame_Reply{Reply: failed(r, chunkTooLarge)}})
	} else {
		o.frames = append(o.frames, f)
	}
	o.signal()
	return true
}

// take removes the next batch: the frames that wait, in order, then a few chunks
// of the large answers in turn. So no answer waits for a large one to end, nor
// does a large one wait for ever.
func (o *outbox) take() []*pb.Frame {
	o.mu.Lock()
	defer o.mu.Unlock()
	n, bytes := 0, 0
	for n < min(len(o.frames), maxBatch) {
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
	o.taken = len(batch) > 0
	if len(o.frames)+len(o.large) > 0 {
		o.signal()
	}
	return batch
}

// nextChunk cuts one chunk off the first large answer and puts it last.
func (o *outbox) nextChunk() *pb.Frame {
	s := o.large[0]
	o.large = o.large[1:]
	f, done := s.next()
	if done {
		o.largeBytes -= len(s.reply.Body)
	} else {
		o.large = append(o.large, s)
	}
	return f
}

// sent tells that the batch taken last is on its way.
func (o *outbox) sent() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.taken = false
}

// empty tells whether every frame is on its way or given up.
func (o *outbox) empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.closed || len(o.frames)+len(o.large) == 0 && !o.taken
}

// close refuses further frames and returns those never taken.
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
