package membership

import "sycamorekeel.example/sycamorekeel/internal/pb"

// Bytes between data centres are paid for, and in a large fleet most of what probes and
// news cost crosses between them. A node with enough neighbours in its data centre
// therefore probes these and tells these what is new, and members elsewhere only now and
// then: often enough, over all nodes, that a data centre that is lost whole, of which no
// neighbour is left to tell, is noticed within a second. What is noticed there is then
// looked at by all. With 96 members in six data centres 20 kB a second cross
// between them when nothing happens, and 77 kB when all are probed alike; a lost data centre
// is left out by all after 4.6 to 5.8 s and after 3.8 to 4.6 s, most of it the time to refute.
const (
	// nearLeast is how many other members of its data centre a node must know to keep to
	// them: fewer might all be lost at once, unseen by others for longer.
	nearLeast = 8
	// farEvery is how many periods pass at least between two probes of a member
	// elsewhere.
	farEvery = 5
	// farMembers is for how many members each further period is waited: over all nodes
	// about as many probes leave the data centres in a fleet of any size.
	farMembers = 15
	// farSpread is how many datagrams with news there are for one that leaves the data
	// centre.
	farSpread = 8
	// watchLeast is how many members of a data centre must be under suspicion for all its
	// members to be probed by everybody: one alone its neighbours look after.
	watchLeast = 2
	// watchPeriods is for how many periods they are: a round of a data centre of twenty.
	watchPeriods = 20
)

// near tells whether a member is in this node's data centre.
func (n *Node) near(r *record) bool {
	return r.DataCentre == n.self.DataCentre && r.Region == n.self.Region
}

// keepsNear tells whether this node knows enough neighbours to keep to them.
func (n *Node) keepsNear() bool {
	if !n.opts.KeepNear {
		return false
	}
	neighbours := 0
	for _, r := range n.table.sorted {
		if r != n.self && r.serves() && n.near(r) {
			neighbours++
		}
	}
	return neighbours >= nearLeast
}

// inRing tells whether a member is probed in turn.
func (n *Node) inRing(r *record) bool {
	return !n.keeping || n.near(r) || n.now.Before(n.watched[r.DataCentre])
}

// watch lets the members of a data centre be probed in turn for a while, when several of
// them are under suspicion.
func (n *Node) watch(dataCentre string) {
	suspects := 0
	for _, r := range n.table.sorted {
		if r.DataCentre == dataCentre && r.State == pb.MemberState_SUSPECT {
			suspects++
		}
	}
	if suspects < watchLeast {
		return
	}
	if !n.now.Before(n.watched[dataCentre]) {
		// A new round, with its members in it.
		n.ring = n.ring[:0]
	}
	n.watched[dataCentre] = n.now.Add(watchPeriods * n.timing.Period)
}

// farTurn is the member elsewhere that is to be probed in this period, nil for none.
func (n *Node) farTurn() *record {
	n.nextFar--
	if !n.keeping || n.nextFar > 0 {
		return nil
	}
	n.nextFar = max(farEvery, len(n.table.sorted)/farMembers)
	elsewhere := func(r *record) bool { return !n.near(r) && r.State != pb.MemberState_DEAD }
	for _, r := range n.pick(1, elsewhere) {
		return r
	}
	return nil
}

// newsTo is who hears of news next: mostly a neighbour.
func (n *Node) newsTo() []*record {
	near := n.keeping && n.rand.IntN(farSpread) > 0
	return n.pick(1, func(r *record) bool { return r.serves() && (!near || n.near(r)) })
}

// lookNear works out anew whether to keep near, and begins a new round if that has changed.
func (n *Node) lookNear() {
	if keeps := n.keepsNear(); keeps != n.keeping {
		n.keeping = keeps
		n.ring = n.ring[:0]
	}
}

// round begins a new round of probes in an order shuffled anew.
func (n *Node) round() {
	n.ring = n.ring[:0]
	for _, r := range n.table.sorted {
		if n.inRing(r) {
			n.ring = append(n.ring, r.VM)
		}
	}
	n.rand.Shuffle(len(n.ring), func(i, j int) { n.ring[i], n.ring[j] = n.ring[j], n.ring[i] })
}
