// Package ownership decides which VM owns each upstream and which one stands
// by. It is a pure function of the members and the upstreams: VMs with the same
// view agree without a message, and nothing is written anywhere.
package ownership

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/membership"
)

// loadFactor bounds a VM's load at this multiple of the mean.
const loadFactor = 1.25

// Table tells the owner and the standby of every upstream. It is immutable.
type Table struct {
	places map[string]Place
}

// Place is where one upstream is owned. Both are VM names, empty when no VM
// serves; they differ unless a single VM serves.
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

// Assign places the upstreams on the members by rendezvous hashing with bounded
// load, preferring VMs in the upstream's own data centre.
func Assign(members []membership.Member, upstreams []*contract.Upstream) *Table {
	a := newAssignment(members, len(upstreams))
	t := &Table{places: make(map[string]Place, len(upstreams))}
	for _, u := range inHashOrder(upstreams) {
		t.places[u.ID] = a.place(u)
	}
	return t
}

type assignment struct {
	members []membership.Member
	hashes  []uint64
	load    []int
	bound   int
}

func newAssignment(members []membership.Member, upstreams int) *assignment {
	a := &assignment{members: members, load: make([]int, len(members))}
	for i := range members {
		a.hashes = append(a.hashes, xxhash.Sum64String(members[i].VM))
	}
	if len(members) > 0 {
		a.bound = int(math.Ceil(loadFactor * float64(upstreams) / float64(len(members))))
	}
	return a
}

// inHashOrder fixes one order that does not follow names, so that the bound
// pushes away arbitrary upstreams and not always the last of a service.
func inHashOrder(upstreams []*contract.Upstream) []*contract.Upstream {
	out := append([]*contract.Upstream(nil), upstreams...)
	sort.Slice(out, func(i, j int) bool {
		a, b := xxhash.Sum64String(out[i].ID), xxhash.Sum64String(out[j].ID)
		if a != b {
			return a < b
		}
		return out[i].ID < out[j].ID
	})
	return out
}

func (a *assignment) place(u *contract.Upstream) Place {
	owner := a.best(u, -1, true)
	if owner < 0 {
		return Place{}
	}
	a.load[owner]++
	p := Place{Owner: a.members[owner].VM}
	if standby := a.best(u, owner, false); standby >= 0 {
		p.Standby = a.members[standby].VM
	}
	return p
}

// best is the member with the highest weight for u, those in its data centre
// first; bounded leaves out members whose load is full.
func (a *assignment) best(u *contract.Upstream, except int, bounded bool) int {
	key := xxhash.Sum64String(u.ID)
	best, bestWeight, bestLocal := -1, uint64(0), false
	for i := range a.members {
		if i == except || (bounded && a.load[i] >= a.bound) {
			continue
		}
		local := a.members[i].DataCentre == u.DataCentre
		weight := mix(key ^ a.hashes[i])
		if best < 0 || (local && !bestLocal) || (local == bestLocal && weight > bestWeight) {
			best, bestWeight, bestLocal = i, weight, local
		}
	}
	return best
}

// mix spreads the bits of a combined hash (the finalizer of MurmurHash3).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}
