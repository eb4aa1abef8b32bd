// Package ownership assigns each upstream an owner VM and a standby VM. The
// assignment is a pure function of the members and the upstreams: VMs with the same
// view agree without exchanging messages, and no assignment is stored.
//
// Upstreams of one service and data centre are placed in small groups, so that a
// query involves few owners. Groups are placed by rendezvous hashing with bounded
// load. If no VM has room for a whole group, its upstreams are placed one by one.
package ownership

import (
	"sort"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/membership"
)

// policy holds the parameters of the placement.
type policy struct {
	// groupSize is the maximum number of upstreams of one service and data centre that
	// are placed together.
	groupSize int
	// loadFactor limits a VM's load to this multiple of its data centre's mean.
	loadFactor float64
	// localLoadFactor limits the load that a VM gets from its own data centre to this
	// multiple of the fleet's mean, so that the last VMs of a data centre are not
	// overloaded with all of its upstreams.
	localLoadFactor float64
}

// defaultPolicy follows from the figures in the design note, which TestMeasure prints.
var defaultPolicy = policy{groupSize: 6, loadFactor: 1.5, localLoadFactor: 3}

// Table maps each upstream to its owner and standby. It is immutable.
type Table struct {
	places map[string]Place
}

// Place names the VMs responsible for one upstream. Owner is empty if no VM serves,
// Standby if fewer than two serve. The two always differ otherwise.
type Place struct {
	Owner   string
	Standby string
}

// Place returns the place of the upstream with the given ID, or the zero Place.
func (t *Table) Place(upstream string) Place {
	return t.places[upstream]
}

// Owned returns the IDs of the upstreams that a VM owns, in ascending order.
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
