package membership

import (
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// learn takes in what a peer says of a member.
func (n *Node) learn(u *pb.MemberUpdate) {
	if u.Vm == n.self.VM {
		n.learnSelf(u)
		return
	}
	state := u.State
	if u.SecondHand && state == pb.MemberState_DEAD {
		// A node that could hear nobody holds everybody dead. Were its word
		// taken after it came back, a live fleet would lose its members; as a
		// suspicion it is refuted.
		state = pb.MemberState_SUSPECT
	}
	r := n.table.get(u.Vm)
	if r == nil {
		n.meet(u, state)
		return
	}
	if !outranks(u.Incarnation, u.Refutation, state, r) {
		return
	}
	n.table.edit(r, func() {
		if u.Incarnation > r.Incarnation {
			r.firstSeen = n.now
			r.Unlisted = false
		}
		r.take(u)
	})
	n.change(r, state)
}

// meet adds a member never heard of. A death or suspicion of a stranger is
// dropped: kept, it would be passed on for ever by those who have not yet
// forgotten it.
func (n *Node) meet(u *pb.MemberUpdate, state pb.MemberState) {
	if state == pb.MemberState_DEAD || state == pb.MemberState_SUSPECT || u.PeerAddress == "" {
		return
	}
	r := newRecord(u, n.now)
	r.State = state
	n.table.insert(r)
	n.enterRing(r)
	n.spread(r)
	n.dirty = true
}

// learnSelf answers what others hold of this node.
func (n *Node) learnSelf(u *pb.MemberUpdate) {
	switch {
	case u.Incarnation > n.self.Incarnation && n.opts.Sole:
		n.outdo(u.Incarnation)
	case u.Incarnation > n.self.Incarnation:
		n.superseded = true
		n.out.Superseded = u.Incarnation
	case u.Incarnation < n.self.Incarnation:
		n.spread(n.self)
	case outranks(u.Incarnation, u.Refutation, u.State, n.self):
		n.stats.Refutations++
		n.table.edit(n.self, func() { n.self.refutation = u.Refutation + 1 })
		n.spread(n.self)
	}
}

// outdo takes a higher incarnation than a predecessor's. A process that starts
// after its VM's clock was set back would otherwise stay unknown for ever: its
// peers drop what comes from a lower incarnation.
func (n *Node) outdo(incarnation uint64) {
	n.table.edit(n.self, func() { n.self.Incarnation = incarnation + 1 })
	n.spread(n.self)
	n.dirty = true
}

// change puts a member in a state and spreads it.
func (n *Node) change(r *record, state pb.MemberState) {
	n.settle(r, state)
	n.spread(r)
}

// settle puts a member in a state without telling others.
func (n *Node) settle(r *record, state pb.MemberState) {
	n.table.edit(r, func() { r.State = state })
	n.dirty = true
	r.accused = false
	switch state {
	case pb.MemberState_SUSPECT:
		n.stats.Suspicions++
		r.suspectUntil = n.now.Add(n.suspicionTimeout())
		n.watch(r.DataCentre)
	case pb.MemberState_DEAD:
		n.stats.Deaths++
		r.diedAt = n.now
	case pb.MemberState_ALIVE, pb.MemberState_LEAVING:
		n.enterRing(r)
	}
}

// fail takes note of a member that answered neither directly nor through peers.
// A node that has heard nothing at all meanwhile cannot tell its own deafness
// from the member's death, and keeps its conclusion to itself.
func (n *Node) fail(r *record, deaf bool) {
	n.stats.FailedProbes++
	state := pb.MemberState_SUSPECT
	switch r.State {
	case pb.MemberState_LEAVING:
		state = pb.MemberState_DEAD
	case pb.MemberState_ALIVE:
	default:
		return
	}
	n.settle(r, state)
	if !deaf {
		n.spread(r)
	}
	if state == pb.MemberState_SUSPECT {
		r.accused = true
		n.probe(r)
	}
}

func (n *Node) expireSuspicions() {
	if n.doubt != nil {
		return
	}
	for _, r := range n.table.sorted {
		if r.State != pb.MemberState_SUSPECT || n.now.Before(r.suspectUntil) {
			continue
		}
		n.settle(r, pb.MemberState_DEAD)
		if n.now.Sub(n.heardAt) < n.timing.Period*2 {
			n.spread(r)
		}
	}
}

// forgetDead drops the dead that no list names once their tombstone is old.
func (n *Node) forgetDead() {
	var old []*record
	for _, r := range n.table.sorted {
		if r.State == pb.MemberState_DEAD && r.listed == nil && n.now.Sub(r.diedAt) >= n.timing.Tombstone {
			old = append(old, r)
		}
	}
	for _, r := range old {
		n.table.remove(r)
		n.hot.drop(r.VM)
		n.dirty = true
	}
}

// spread queues a member's state for the coming datagrams.
func (n *Node) spread(r *record) {
	n.hot.put(r.VM)
}
