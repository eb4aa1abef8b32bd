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
	closed bool
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
	if o.closed || len(o.frames) >= maxOutbox {
		return false
	}
	o.frames = append(o.frames, f)
	o.signal()
	return true
}

// take removes the next batch, in order.
func (o *outbox) take() []*pb.Frame {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := min(len(o.frames), maxBatch)
	batch := o.frames[:n:n]
	o.frames = o.frames[n:]
	o.taken = n > 0
	if len(o.frames) > 0 {
		o.signal()
	}
	return batch
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
	return o.closed || len(o.frames) == 0 && !o.taken
}

// close refuses further frames and returns those never taken.
func (o *outbox) close() []*pb.Frame {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	rest := o.frames
	o.frames = nil
	return rest
}

func (o *outbox) signal() {
	select {
	case o.ready <- struct{}{}:
	default:
	}
}
