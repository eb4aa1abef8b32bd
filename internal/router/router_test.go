package router

import (
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/ownership"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/query"
)

// peers records sent frames by address; addresses in lost are unreachable.
type peers struct {
	frames map[string][]*pb.Frame
	lost   map[string]bool
}

func (p *peers) Send(address string, f *pb.Frame) bool {
	if p.lost[address] {
		return false
	}
	p.frames[address] = append(p.frames[address], f)
	return true
}

func viewOf(vms ...string) *membership.View {
	v := &membership.View{}
	for _, vm := range vms {
		v.Members = append(v.Members, membership.Member{VM: vm, PeerAddress: vm, State: pb.MemberState_ALIVE})
	}
	return v
}

func requestFrame(u *contract.Upstream) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_Request{Request: &pb.SubRequest{Id: 64, Upstream: u.ID}}}
}

// Guards against a cancel that is sent to the current owner instead of the VM that
// has the sub-request. The upstream changes owner between the sub-request and its
// cancel; the sub-request then keeps its slot at the upstream.
func TestCancelReachesTheVMItWasSentTo(t *testing.T) {
	p := &peers{frames: map[string][]*pb.Frame{}}
	r := New(Options{VM: "vm-0", Peers: p})
	u := &contract.Upstream{ID: "search/0"}
	update := func(vms ...string) {
		v := viewOf(vms...)
		r.Update(v, ownership.Assign(v.Serving(), []*contract.Upstream{u}))
	}
	update("vm-1")
	vm := r.Send(&query.Action{Upstream: u}, requestFrame(u))
	v := viewOf("vm-1", "vm-2")
	r.Update(v, ownership.Assign(viewOf("vm-2").Serving(), []*contract.Upstream{u}))
	r.Cancel(vm, u.ID, 64)
	if got := p.frames["vm-1"]; len(got) != 2 || got[1].GetCancel().GetId() != 64 {
		t.Errorf("vm-1 got %v", got)
	}
	if len(p.frames["vm-2"]) != 0 {
		t.Errorf("vm-2 got %v", p.frames["vm-2"])
	}
}

func TestSendThroughOwnerAndStandby(t *testing.T) {
	var delivered []*pb.SubReply
	p := &peers{frames: map[string][]*pb.Frame{}, lost: map[string]bool{}}
	r := New(Options{VM: "vm-0", Peers: p, Deliver: func(rep *pb.SubReply) { delivered = append(delivered, rep) }})
	u := &contract.Upstream{ID: "search/0"}
	v := viewOf("vm-1", "vm-2")
	table := ownership.Assign(v.Serving(), []*contract.Upstream{u})
	r.Update(v, table)
	place := table.Place(u.ID)
	p.lost[place.Owner] = true
	if vm := r.Send(&query.Action{Upstream: u}, requestFrame(u)); vm != "" || len(delivered) != 1 || delivered[0].Result != pb.Result_OWNER_UNREACHABLE {
		t.Errorf("sent to %q, delivered %v", vm, delivered)
	}
	if vm := r.Send(&query.Action{Upstream: u, Standby: true}, requestFrame(u)); vm != place.Standby {
		t.Errorf("sent to %q, want the standby %q", vm, place.Standby)
	}
}

// Guards against pinning a snapshot that the replicas refuse. After a version is
// published, all replicas of a shard refuse it; if the pin ignores the refusals,
// every query restarts.
func TestPinUsesReplies(t *testing.T) {
	s := shardOf(2)
	svc := &contract.Service{Name: "search", Maps: []*contract.ShardMap{
		{Generation: 1, Versions: []uint64{7, 8}, Shards: []*contract.Shard{s}, Documents: 10},
	}}
	r := New(Options{VM: "vm-0"})
	pinnedVersion := func(now time.Time) uint64 {
		_, snapshot, ok := r.Pin(now, svc)
		if !ok {
			t.Fatal("nothing to pin")
		}
		return snapshot.Version
	}
	if v := pinnedVersion(start); v != 8 {
		t.Fatalf("pinned %d", v)
	}
	v8 := &pb.Snapshot{Generation: 1, Version: 8}
	for _, u := range s.Replicas {
		r.Observe(start, query.Observation{Upstream: u, Snapshot: v8, Reply: &pb.SubReply{Result: pb.Result_NO_SNAPSHOT}})
	}
	if i := r.PickReplica(start, query.ReplicaRequest{Shard: s, Snapshot: v8}); i != query.NoReplica {
		t.Errorf("replica %d was chosen for a snapshot it lacks", i)
	}
	if v := pinnedVersion(start); v != 7 {
		t.Errorf("pinned %d, which no replica serves", v)
	}
	if _, snapshot, ok := r.Repin(start, svc, v8); !ok || snapshot.Version != 7 {
		t.Errorf("restarts at %v, %v", snapshot, ok)
	}
	r.RecordStatus(start, &pb.UpstreamStatus{Upstream: s.Replicas[0].ID, State: pb.UpstreamState_DRAINING})
	if i := r.PickReplica(start, query.ReplicaRequest{Shard: s, Snapshot: snapshot7}); i != 1 {
		t.Errorf("replica %d was chosen, want the one that is not draining", i)
	}
	if v := pinnedVersion(start.Add(10 * time.Minute)); v != 8 {
		t.Errorf("pinned %d after the readiness information expired", v)
	}
}

// Guards against a memory leak: an upstream that was observed and then removed from
// the configuration must not keep its state in the router.
func TestUpdateDropsRemovedUpstreams(t *testing.T) {
	r := New(Options{VM: "vm-0"})
	v := viewOf("vm-1")
	kept, gone := &contract.Upstream{ID: "search/0"}, &contract.Upstream{ID: "search/1"}
	r.Update(v, ownership.Assign(v.Serving(), []*contract.Upstream{kept, gone}))
	r.RecordSend(start, kept)
	r.RecordSend(start, gone)
	r.Update(v, ownership.Assign(v.Serving(), []*contract.Upstream{kept}))
	if _, ok := r.upstreams.Load(gone.ID); ok {
		t.Error("the state of a removed upstream was kept")
	}
	if _, ok := r.upstreams.Load(kept.ID); !ok {
		t.Error("the state of a published upstream was dropped")
	}
}
