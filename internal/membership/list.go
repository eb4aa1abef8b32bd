package membership

import (
	"slices"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// SetList takes in the platform's list. Gossip is believed for liveness, the
// list for removal:
//   - a listed VM is a member; silent, it becomes suspected and then dead;
//   - a VM that has gone from the list is no longer counted, alive or not;
//   - a VM that never was on a list is counted from when gossip first names it
//     until a list that changed at least JoinGrace later still leaves it out.
//
// The last rule goes by changes of the list and not by time, so that a platform
// that is down or stale removes nobody. An empty list is no list.
func (n *Node) SetList(now time.Time, vms []*pb.VM) Actions {
	n.begin(now)
	if len(vms) == 0 || sameList(n.list, vms) {
		return n.end()
	}
	n.list = vms
	listed := make(map[string]*pb.VM, len(vms))
	for _, vm := range vms {
		listed[vm.Id] = vm
	}
	for _, r := range slices.Clone(n.table.sorted) {
		n.relist(r, listed[r.VM])
	}
	for _, vm := range vms {
		if n.table.get(vm.Id) == nil {
			n.expect(vm)
		}
	}
	n.dirty = true
	return n.end()
}

// relist applies the list's entry of a known member, nil if there is none.
func (n *Node) relist(r *record, vm *pb.VM) {
	if vm == nil {
		n.unlist(r)
		return
	}
	r.listed = vm
	r.Unlisted = false
	if r.Incarnation == 0 {
		takeAddresses(r, vm)
	}
}

func (n *Node) unlist(r *record) {
	removed := r.listed != nil
	r.listed = nil
	if removed && r.Incarnation == 0 {
		n.table.remove(r)
		n.hot.drop(r.VM)
		return
	}
	if removed || n.now.Sub(r.firstSeen) >= n.timing.JoinGrace {
		r.Unlisted = true
	}
}

// expect adds a listed VM that was never heard of. It counts as alive until a
// probe fails: at a start nobody has been heard of.
func (n *Node) expect(vm *pb.VM) {
	r := &record{Member: Member{VM: vm.Id, State: pb.MemberState_ALIVE}, listed: vm, bucket: bucketOf(vm.Id)}
	takeAddresses(r, vm)
	n.table.insert(r)
	n.enterRing(r)
}

func takeAddresses(r *record, vm *pb.VM) {
	r.Region = vm.Region
	r.DataCentre = vm.DataCentre
	r.Rack = vm.Rack
	r.CallerAddress = vm.CallerAddress
	r.PeerAddress = vm.PeerAddress
}

func sameList(a, b []*pb.VM) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !sameEntry(a[i], b[i]) {
			return false
		}
	}
	return true
}

func sameEntry(a, b *pb.VM) bool {
	return a.Id == b.Id && a.State == b.State &&
		a.Region == b.Region && a.DataCentre == b.DataCentre && a.Rack == b.Rack &&
		a.CallerAddress == b.CallerAddress && a.PeerAddress == b.PeerAddress
}
