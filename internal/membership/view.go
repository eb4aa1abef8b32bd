package membership

import (
	"sort"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Member is one VM as this daemon sees it.
type Member struct {
	VM            string
	Incarnation   uint64
	State         pb.MemberState
	Region        string
	DataCentre    string
	Rack          string
	CallerAddress string
	PeerAddress   string
	// Unlisted members are gone from the platform's list, or never came on it:
	// they are not counted.
	Unlisted bool
	// Capacity is the work that the VM can carry for callers, in thousandths of
	// a core; 0 while it takes no callers.
	Capacity uint32
}

// Serves tells whether the member may be given new work.
func (m *Member) Serves() bool {
	return !m.Unlisted && (m.State == pb.MemberState_ALIVE || m.State == pb.MemberState_SUSPECT)
}

// View is the members at one moment, by VM name. It is immutable.
type View struct {
	Members []Member
	// Version increases with every change.
	Version uint64
}

// Serving is the members that may be given new work.
func (v *View) Serving() []Member {
	out := make([]Member, 0, len(v.Members))
	for i := range v.Members {
		if v.Members[i].Serves() {
			out = append(out, v.Members[i])
		}
	}
	return out
}

// Find looks a member up by VM name.
func (v *View) Find(vm string) (Member, bool) {
	i := sort.Search(len(v.Members), func(i int) bool { return v.Members[i].VM >= vm })
	if i < len(v.Members) && v.Members[i].VM == vm {
		return v.Members[i], true
	}
	return Member{}, false
}

// FromList is the view that the platform's list alone gives.
func FromList(vms []*pb.VM, version uint64) *View {
	v := &View{Version: version}
	for _, vm := range vms {
		v.Members = append(v.Members, Member{
			VM:            vm.Id,
			State:         listState(vm.State),
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

func listState(s pb.VMState) pb.MemberState {
	if s == pb.VMState_VM_LEAVING {
		return pb.MemberState_LEAVING
	}
	return pb.MemberState_ALIVE
}
