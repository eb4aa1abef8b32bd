package membership

import "sycamorekeel.example/sycamorekeel/internal/pb"

// Rank holds the fields of a record that decide which of two updates is newer, in
// order of precedence.
type Rank struct {
	Incarnation uint64
	Refutation  uint64
	State       pb.MemberState
}

// Rank returns the node's rank of a VM, or the zero Rank if the VM is unknown.
func (n *Node) Rank(vm string) Rank {
	r := n.table.get(vm)
	if r == nil {
		return Rank{}
	}
	return Rank{Incarnation: r.Incarnation, Refutation: r.refutation, State: r.State}
}

// OlderThan reports whether b is newer than a.
func (a Rank) OlderThan(b Rank) bool {
	return outranks(b.Incarnation, b.Refutation, b.State, &record{
		Member:     Member{Incarnation: a.Incarnation, State: a.State},
		refutation: a.Refutation,
	})
}
