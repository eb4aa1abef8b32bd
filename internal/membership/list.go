package membership

import (
	"slices"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// SetList applies the platform's list. Gossip decides liveness, the list decides
// removal:
//   - a listed VM is a member; if it is silent, it becomes suspected and then dead;
//   - a VM removed from the list no longer counts, alive or not;
//   - a VM that was never listed counts from the time gossip first names it until
//     a changed list that arrives at least JoinGrace later still omits it.
//
// The last rule depends on list changes and not on time alone, so that a platform
// that is down or stale removes no VM. An empty list is ignored.
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
		n.applyListEntry(r, listed[r.VM])
	}
	for _, vm := range vms {
		if n.table.get(vm.Id) == nil {
			n.addListed(vm)
		}
	}
	n.dirty = true
	return n.end()
}

// applyListEntry applies the list entry of a known member; vm is nil if the list
// omits it.
func (n *Node) applyListEntry(r *record, vm *pb.VM) {
	if vm == nil {
		n.unlist(r)
		return
	}
	r.listed = vm
	r.Unlisted = false
	if r.Incarnation == 0 {
		setAddresses(r, vm)
	}
}

func (n *Node) unlist(r *record) {
	removed := r.listed != nil
	r.listed = nil
	if removed && r.Incarnation == 0 {
		n.table.remove(r)
		n.queue.drop(r.VM)
		return
	}
	if removed || n.now.Sub(r.firstSeen) >= n.timing.JoinGrace {
		r.Unlisted = true
	}
}

// addListed adds a listed VM from which nothing has been received yet. It counts as
// alive until a probe fails, because a starting node has heard from no member.
func (n *Node) addListed(vm *pb.VM) {
	r := &record{Member: Member{VM: vm.Id, State: pb.MemberState_ALIVE}, listed: vm, bucket: bucketOf(vm.Id)}
	setAddresses(r, vm)
	n.table.insert(r)
	n.addToRing(r)
}

func setAddresses(r *record, vm *pb.VM) {
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
