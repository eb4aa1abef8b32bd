package membership

import (
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// applyUpdate processes a peer's update of a member.
func (n *Node) applyUpdate(u *pb.MemberUpdate) {
	if u.Vm == n.self.VM {
		n.applySelfUpdate(u)
		return
	}
	state := u.State
	if u.SecondHand && state == pb.MemberState_DEAD {
		// A node that could receive nothing holds every member dead. If its deaths
		// were accepted once it is reachable again, a live fleet would lose its
		// members. A suspicion can be refuted.
		state = pb.MemberState_SUSPECT
	}
	r := n.table.get(u.Vm)
	if r == nil {
		n.addMember(u, state)
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
		r.apply(u)
	})
	n.setState(r, state)
}

// addMember adds a member that was unknown so far. Deaths and suspicions of unknown
// members are dropped: otherwise nodes that have not yet removed a dead member
// would keep reintroducing it to the others.
func (n *Node) addMember(u *pb.MemberUpdate, state pb.MemberState) {
	if state == pb.MemberState_DEAD || state == pb.MemberState_SUSPECT || u.PeerAddress == "" {
		return
	}
	r := newRecord(u, n.now)
	r.State = state
	n.table.insert(r)
	n.addToRing(r)
	n.enqueue(r)
	n.dirty = true
}

// applySelfUpdate reacts to an update about this node: it refutes a suspicion or
// death, or detects another process with its name.
func (n *Node) applySelfUpdate(u *pb.MemberUpdate) {
	switch {
	case u.Incarnation > n.self.Incarnation && n.opts.SoleProcess:
		n.raiseIncarnation(u.Incarnation)
	case u.Incarnation > n.self.Incarnation:
		n.superseded = true
		n.out.Superseded = u.Incarnation
	case u.Incarnation < n.self.Incarnation:
		n.enqueue(n.self)
	case outranks(u.Incarnation, u.Refutation, u.State, n.self):
		n.stats.Refutations++
		n.table.edit(n.self, func() { n.self.refutation = u.Refutation + 1 })
		n.enqueue(n.self)
	}
}

// raiseIncarnation takes an incarnation above that of a predecessor. After a VM's
// clock is set back, its next process starts with a lower incarnation, and peers
// drop every update from a lower incarnation.
func (n *Node) raiseIncarnation(incarnation uint64) {
	n.table.edit(n.self, func() { n.self.Incarnation = incarnation + 1 })
	n.enqueue(n.self)
	n.dirty = true
}

// setState changes a member's state and queues it for dissemination.
func (n *Node) setState(r *record, state pb.MemberState) {
	n.setStateLocally(r, state)
	n.enqueue(r)
}

// setStateLocally changes a member's state without disseminating it.
func (n *Node) setStateLocally(r *record, state pb.MemberState) {
	n.table.edit(r, func() { r.State = state })
	n.dirty = true
	r.suspectedBySelf = false
	switch state {
	case pb.MemberState_SUSPECT:
		n.stats.Suspicions++
		r.suspectUntil = n.now.Add(n.suspicionTimeout())
		n.watchDataCentre(r.DataCentre)
	case pb.MemberState_DEAD:
		n.stats.Deaths++
		r.diedAt = n.now
	case pb.MemberState_ALIVE, pb.MemberState_LEAVING:
		n.addToRing(r)
	}
}

// handleProbeFailure suspects a member that answered neither a direct nor an
// indirect probe, or declares it dead if it was leaving. If this node received
// nothing at all during the probe, the fault may be its own connection, so it
// does not disseminate the result.
func (n *Node) handleProbeFailure(r *record, isolated bool) {
	n.stats.FailedProbes++
	state := pb.MemberState_SUSPECT
	switch r.State {
	case pb.MemberState_LEAVING:
		state = pb.MemberState_DEAD
	case pb.MemberState_ALIVE:
	default:
		return
	}
	n.setStateLocally(r, state)
	if !isolated {
		n.enqueue(r)
	}
	if state == pb.MemberState_SUSPECT {
		r.suspectedBySelf = true
		n.sendProbe(r)
	}
}

func (n *Node) expireSuspicions() {
	if n.revalidation != nil {
		return
	}
	for _, r := range n.table.sorted {
		if r.State != pb.MemberState_SUSPECT || n.now.Before(r.suspectUntil) {
			continue
		}
		n.setStateLocally(r, pb.MemberState_DEAD)
		if n.now.Sub(n.lastReceived) < n.timing.Period*2 {
			n.enqueue(r)
		}
	}
}

// reapDead removes dead members that the platform does not list once Timing.Tombstone
// has passed.
func (n *Node) reapDead() {
	var old []*record
	for _, r := range n.table.sorted {
		if r.State == pb.MemberState_DEAD && r.listed == nil && n.now.Sub(r.diedAt) >= n.timing.Tombstone {
			old = append(old, r)
		}
	}
	for _, r := range old {
		n.table.remove(r)
		n.queue.drop(r.VM)
		n.dirty = true
	}
}

// enqueue queues a member's state for the next datagrams.
func (n *Node) enqueue(r *record) {
	n.queue.put(r.VM)
}
