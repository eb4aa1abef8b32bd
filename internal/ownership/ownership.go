// Package ownership decides which VM owns each upstream and which one stands
// by. It is a pure function of the members and the upstreams: VMs with the same
// view agree without a message, and nothing is written anywhere.
//
// Upstreams of one service and data centre are placed in small groups, so that a
// query meets few owners, by rendezvous hashing with bounded load. A group that
// finds no VM with room for the whole of it is placed one by one.
package ownership

import (
	"sort"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/membership"
)

// policy is how closely upstreams are packed.
type policy struct {
	// groupSize is how many upstreams of one service and data centre go together.
	groupSize int
	// loadFactor bounds a VM's load at this multiple of its data centre's mean.
	loadFactor float64
	// localLoadFactor bounds the load that locality alone may bring to a VM, at
	// this multiple of the fleet's mean: the last VMs of a data centre must not
	// drown in all of its upstreams.
	localLoadFactor float64
}

// defaultPolicy was chosen by measurement; see the design note.
var defaultPolicy = policy{groupSize: 6, loadFactor: 1.5, localLoadFactor: 3}

// Table tells the owner and the standby of every upstream. It is immutable.
type Table struct {
	places map[string]Place
}

// Place is where one upstream is owned. Both are VM names, empty when no VM
// serves; they differ, and the standby is empty when a single VM serves.
type Place struct {
	Owner   string
	Standby string
}

// Place finds an upstream by id.
func (t *Table) Place(upstream string) Place {
	return t.places[upstream]
}

// Owned is every upstream that vm owns, ascending.
func (t *Table) Owned(vm string) []string {
	var out []string
	for id, p := range t.places {
		if p.Owner == vm {
			out = append(out, id)
		}
	}
	sort.Strings(out)
	return out
}

// Assign places the upstreams on the members.
func Assign(members []membership.Member, upstreams []*contract.Upstream) *Table {
	return assign(defaultPolicy, members, upstreams)
}

func assign(p policy, members []membership.Member, upstreams []*contract.Upstream) *Table {
	t := &Table{places: make(map[string]Place, len(upstreams))}
	if len(members) == 0 {
		return t
	}
	a := newAssignment(p, members, upstreams)
	a.placeLocal()
	a.placeRemaining()
	for i := range a.items {
		it := &a.items[i]
		t.places[it.upstream.ID] = Place{Owner: a.vmName(it.owner), Standby: a.vmName(it.standby)}
	}
	return t
}
