package membership

import "sycamorekeel.example/sycamorekeel/internal/pb"

// Rank is what a node holds of a member, in the order in which it outranks.
type Rank struct {
	Incarnation uint64
	Refutation  uint64
	State       pb.MemberState
}

// Rank tells what the node holds of a VM.
func (n *Node) Rank(vm string) Rank {
	r := n.table.get(vm)
	if r == nil {
		return Rank{}
	}
	return Rank{Incarnation: r.Incarnation, Refutation: r.refutation, State: r.State}
}

// OlderThan tells whether b is newer than a.
func (a Rank) OlderThan(b Rank) bool {
	return outranks(b.Incarnation, b.Refutation, b.State, &record{
		Member:     Member{Incarnation: a.Incarnation, State: a.State},
		refutation: a.Refutation,
	})
}
