package daemon

import (
	"testing"

	. "github.com/onsi/gomega"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// TestStatusHub checks who hears what: a peer whose stream opens hears all that
// is believed, then each change, and nothing once its stream has ended.
func TestStatusHub(t *testing.T) {
	g := NewWithT(t)
	var local, early, late []pb.UpstreamState
	listen := func(to *[]pb.UpstreamState) func(*pb.Frame) {
		return func(f *pb.Frame) { *to = append(*to, f.GetStatus().State) }
	}
	h := newStatusHub(func(st *pb.UpstreamStatus) { local = append(local, st.State) })
	a, b := &pb.Hello{Vm: "vm-2"}, &pb.Hello{Vm: "vm-2"}
	h.open(a, listen(&early))
	h.UpstreamChanged(&pb.UpstreamStatus{Upstream: "search/u1", State: pb.UpstreamState_READY})
	h.UpstreamChanged(&pb.UpstreamStatus{Upstream: "search/u2", State: pb.UpstreamState_COLD})
	h.UpstreamLost("search/u2")
	h.open(b, listen(&late))
	g.Expect(late).To(HaveExactElements(pb.UpstreamState_READY), "nothing of an upstream that is owned no longer")
	h.gone(a)
	h.UpstreamChanged(&pb.UpstreamStatus{Upstream: "search/u1", State: pb.UpstreamState_DRAINING})
	g.Expect(early).To(HaveExactElements(pb.UpstreamState_READY, pb.UpstreamState_COLD))
	g.Expect(late).To(HaveExactElements(pb.UpstreamState_READY, pb.UpstreamState_DRAINING), "the second stream of one VM stays")
	g.Expect(local).To(HaveExactElements(pb.UpstreamState_READY, pb.UpstreamState_COLD, pb.UpstreamState_DRAINING))
}
