package gossip

import (
	"maps"
	"testing"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Guards against keeping nonexistent members alive, and sending callers to an
// address where another VM answers, after a peer's list contains an address twice
// or contains this VM's address. Each update must be checked against the whole list.
func TestFilterUpdatesDropsAddressesOfOtherVMs(t *testing.T) {
	self := &pb.MemberUpdate{Vm: "a", Incarnation: 5, State: pb.MemberState_ALIVE, PeerAddress: "10.0.0.1:1"}
	update := func(vm string, incarnation uint64, address string) *pb.MemberUpdate {
		return &pb.MemberUpdate{Vm: vm, Incarnation: incarnation, State: pb.MemberState_ALIVE, PeerAddress: address}
	}
	dead := &pb.MemberUpdate{Vm: "dead", Incarnation: 1, State: pb.MemberState_DEAD}
	good, dropped := filterUpdates(self, []*pb.MemberUpdate{
		self, update("b", 1, "10.0.0.2:1"), update("c", 2, "10.0.0.2:1"), update("d", 1, "10.0.0.1:1"),
		update("e", 1, "no address"), nil, dead, update("f", 1, "10.0.0.3:1"),
	})
	var names []string
	for _, u := range good {
		names = append(names, u.Vm)
	}
	if len(names) != 4 || names[0] != "a" || names[1] != "c" || names[2] != "dead" || names[3] != "f" {
		t.Errorf("accepted %v", names)
	}
	if want := map[Reason]int{RepeatedAddress: 1, OwnAddress: 1, Malformed: 2}; !maps.Equal(dropped, want) {
		t.Errorf("dropped %v, want %v", dropped, want)
	}
}
