package daemon

import (
	"sync"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// statusHub tells the connected peers and this VM's router what its owner
// believes of its upstreams: each change, and everything to a peer whose stream
// opens. It implements owner.StatusSink.
//
// Its lock is held while frames are queued, so that a peer whose stream opens
// cannot get an older status after a newer one; queueing does not block.
type statusHub struct {
	mu      sync.Mutex
	last    map[string]*pb.UpstreamStatus
	streams map[*pb.Hello]func(*pb.Frame)
	local   func(*pb.UpstreamStatus)
}

// newStatusHub gives every status to local, this VM's own router, as well.
func newStatusHub(local func(*pb.UpstreamStatus)) *statusHub {
	return &statusHub{
		local:   local,
		last:    map[string]*pb.UpstreamStatus{},
		streams: map[*pb.Hello]func(*pb.Frame){},
	}
}

// UpstreamChanged implements owner.StatusSink.
func (h *statusHub) UpstreamChanged(st *pb.UpstreamStatus) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last[st.Upstream] = st
	h.local(st)
	f := statusFrame(st)
	for _, reply := range h.streams {
		reply(f)
	}
}

// UpstreamLost implements owner.StatusSink. Peers hear from the new owner.
func (h *statusHub) UpstreamLost(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.last, id)
}

// open tells a peer everything and, from now on, each change.
func (h *statusHub) open(from *pb.Hello, reply func(*pb.Frame)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, st := range h.last {
		reply(statusFrame(st))
	}
	h.streams[from] = reply
}

func (h *statusHub) gone(from *pb.Hello) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.streams, from)
}

func statusFrame(st *pb.UpstreamStatus) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_Status{Status: st}}
}
