package daemon

import (
	"testing"

	. "github.com/onsi/gomega"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// TestStatusHub checks that a peer receives all current statuses when its stream
// opens, then each change, and nothing after its stream has ended.
func TestStatusHub(t *testing.T) {
	g := NewWithT(t)
	var local, early, late []pb.UpstreamState
	listen := func(to *[]pb.UpstreamState) func(*pb.Frame) {
		return func(f *pb.Frame) { *to = append(*to, f.GetStatus().State) }
	}
	h := newStatusHub(func(st *pb.UpstreamStatus) { local = append(local, st.State) })
	a, b := &pb.Hello{Vm: "vm-2"}, &pb.Hello{Vm: "vm-2"}
	h.subscribe(a, listen(&early))
	h.UpstreamChanged(&pb.UpstreamStatus{Upstream: "search/u1", State: pb.UpstreamState_READY})
	h.UpstreamChanged(&pb.UpstreamStatus{Upstream: "search/u2", State: pb.UpstreamState_COLD})
	h.UpstreamLost("search/u2")
	h.subscribe(b, listen(&late))
	g.Expect(late).To(HaveExactElements(pb.UpstreamState_READY), "no status of an upstream that is no longer owned")
	h.unsubscribe(a)
	h.UpstreamChanged(&pb.UpstreamStatus{Upstream: "search/u1", State: pb.UpstreamState_DRAINING})
	g.Expect(early).To(HaveExactElements(pb.UpstreamState_READY, pb.UpstreamState_COLD))
	g.Expect(late).To(HaveExactElements(pb.UpstreamState_READY, pb.UpstreamState_DRAINING), "the VM's second stream stays subscribed")
	g.Expect(local).To(HaveExactElements(pb.UpstreamState_READY, pb.UpstreamState_COLD, pb.UpstreamState_DRAINING))
}
