package daemon

import (
	"sync"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// statusHub sends the status of the upstreams that this VM owns to the connected
// peers and to this VM's router. It sends each change, and all statuses to a peer
// whose stream opens. It implements owner.StatusSink.
//
// mu is held while frames are queued, so that a newly connected peer cannot receive
// an older status after a newer one. Queueing does not block.
type statusHub struct {
	mu      sync.Mutex
	last    map[string]*pb.UpstreamStatus
	streams map[*pb.Hello]func(*pb.Frame)
	local   func(*pb.UpstreamStatus)
}

// newStatusHub returns a hub without peers. It also passes every status to local,
// which updates this VM's router.
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

// UpstreamLost implements owner.StatusSink. It sends nothing, because the new owner
// sends the status to the peers.
func (h *statusHub) UpstreamLost(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.last, id)
}

// subscribe sends all statuses to a peer and subscribes it to changes.
func (h *statusHub) subscribe(from *pb.Hello, reply func(*pb.Frame)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, st := range h.last {
		reply(statusFrame(st))
	}
	h.streams[from] = reply
}

// unsubscribe removes a peer whose stream has ended.
func (h *statusHub) unsubscribe(from *pb.Hello) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.streams, from)
}

func statusFrame(st *pb.UpstreamStatus) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_Status{Status: st}}
}
