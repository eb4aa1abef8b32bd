package membership

import (
	"sort"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Member describes one VM as seen by this daemon.
type Member struct {
	VM            string
	Incarnation   uint64
	State         pb.MemberState
	Region        string
	DataCentre    string
	Rack          string
	CallerAddress string
	PeerAddress   string
	// Unlisted marks a member that was removed from the platform's list or never
	// appeared on it. Such members get no work.
	Unlisted bool
	// Capacity is the work that the VM can do for callers, in thousandths of a core.
	// It is 0 while the VM accepts no callers.
	Capacity uint32
}

// Serves reports whether the member may receive new work.
func (m *Member) Serves() bool {
	return !m.Unlisted && (m.State == pb.MemberState_ALIVE || m.State == pb.MemberState_SUSPECT)
}

// View is an immutable snapshot of the members, sorted by VM name.
type View struct {
	Members []Member
	// Version increases with every change.
	Version uint64
}

// Serving returns the members that may receive new work.
func (v *View) Serving() []Member {
	out := make([]Member, 0, len(v.Members))
	for i := range v.Members {
		if v.Members[i].Serves() {
			out = append(out, v.Members[i])
		}
	}
	return out
}

// Find returns the member with the given VM name.
func (v *View) Find(vm string) (Member, bool) {
	i := sort.Search(len(v.Members), func(i int) bool { return v.Members[i].VM >= vm })
	if i < len(v.Members) && v.Members[i].VM == vm {
		return v.Members[i], true
	}
	return Member{}, false
}

// FromList returns the view given by the platform's list alone, without gossip.
func FromList(vms []*pb.VM, version uint64) *View {
	v := &View{Version: version}
	for _, vm := range vms {
		v.Members = append(v.Members, Member{
			VM:            vm.Id,
			State:         memberState(vm.State),
			Region:        vm.Region,
			DataCentre:    vm.DataCentre,
			Rack:          vm.Rack,
			CallerAddress: vm.CallerAddress,
			PeerAddress:   vm.PeerAddress,
		})
	}
	sort.Slice(v.Members, func(i, j int) bool { return v.Members[i].VM < v.Members[j].VM })
	return v
}

func memberState(s pb.VMState) pb.MemberState {
	if s == pb.VMState_VM_LEAVING {
		return pb.MemberState_LEAVING
	}
	return pb.MemberState_ALIVE
}
