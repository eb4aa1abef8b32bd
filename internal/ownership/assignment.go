package ownership

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/rendezvous"
)

// noVM marks an upstream that has no owner yet.
const noVM = -1

// assignment is one computation of a Table.
type assignment struct {
	policy policy
	vms    []vm
	items  []item
	// dataCentres is by data centre, in the order of names.
	dataCentres []*dataCentre
	// allVMs is the indexes of all VMs.
	allVMs []int
	// maxLoad is the load up to which a VM takes upstreams of other data centres.
	maxLoad int
}

type vm struct {
	name string
	rack string
	hash uint64
	load int
}

// item is one upstream.
type item struct {
	upstream   *contract.Upstream
	hash       uint64
	dataCentre *dataCentre
	owner      int
	standby    int
}

// dataCentre is one data centre.
type dataCentre struct {
	name    string
	vms     []int
	items   []int
	groups  []group
	maxLoad int
}

// groupUpstreams is the upstreams that go together.
type group struct {
	hash  uint64
	items []int
}

func newAssignment(p policy, members []membership.Member, upstreams []*contract.Upstream) *assignment {
	a := &assignment{policy: p, vms: make([]vm, len(members)), items: make([]item, len(upstreams))}
	byName := map[string]*dataCentre{}
	at := func(name string) *dataCentre {
		s := byName[name]
		if s == nil {
			s = &dataCentre{name: name}
			byName[name] = s
			a.dataCentres = append(a.dataCentres, s)
		}
		return s
	}
	for i := range members {
		m := &members[i]
		a.vms[i] = vm{name: m.VM, rack: m.Rack, hash: xxhash.Sum64String(m.VM)}
		a.allVMs = append(a.allVMs, i)
		s := at(m.DataCentre)
		s.vms = append(s.vms, i)
	}
	for i, u := range upstreams {
		s := at(u.DataCentre)
		a.items[i] = item{upstream: u, hash: xxhash.Sum64String(u.ID), dataCentre: s, owner: noVM, standby: noVM}
		s.items = append(s.items, i)
	}
	sort.Slice(a.dataCentres, func(i, j int) bool { return a.dataCentres[i].name < a.dataCentres[j].name })
	a.setBounds()
	for _, s := range a.dataCentres {
		s.groups = a.groupUpstreams(s)
	}
	return a
}

func (a *assignment) setBounds() {
	a.maxLoad = a.loadLimit(a.policy.loadFactor, len(a.items), len(a.vms))
	most := a.loadLimit(a.policy.localLoadFactor, len(a.items), len(a.vms))
	for _, s := range a.dataCentres {
		if len(s.vms) > 0 {
			s.maxLoad = min(most, a.loadLimit(a.policy.loadFactor, len(s.items), len(s.vms)))
		}
	}
}

// loadLimit is a multiple of the mean load, and room for one group at least.
func (a *assignment) loadLimit(factor float64, items, vms int) int {
	return max(a.policy.groupSize, int(math.Ceil(factor*float64(items)/float64(vms))))
}

// groupUpstreams divides a data centre's upstreams, by rendezvous of each service's
// upstreams over as many groups as they fill, so that an upstream more or less
// moves few others. Groups are in the order of their hashes.
func (a *assignment) groupUpstreams(s *dataCentre) []group {
	services := map[string][]int{}
	for _, i := range s.items {
		name := a.items[i].upstream.Service
		services[name] = append(services[name], i)
	}
	var out []group
	for name, items := range services {
		out = append(out, a.fillGroups(s.name+"/"+name, items)...)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].hash < out[j].hash })
	return out
}

func (a *assignment) fillGroups(name string, items []int) []group {
	a.sortByHash(items)
	size := a.policy.groupSize
	groups := make([]group, (len(items)+size-1)/size)
	seed := xxhash.Sum64String(name)
	for i := range groups {
		groups[i].hash = rendezvous.Mix(seed + uint64(i))
	}
	for _, i := range items {
		best := noVM
		for g := range groups {
			if len(groups[g].items) < size && (best == noVM || rendezvous.Weight(a.items[i].hash, groups[g].hash) > rendezvous.Weight(a.items[i].hash, groups[best].hash)) {
				best = g
			}
		}
		groups[best].items = append(groups[best].items, i)
	}
	return groups
}

// sortByHash fixes an order that does not follow names, so that a bound pushes
// away arbitrary upstreams and not always the last of a service.
func (a *assignment) sortByHash(items []int) {
	sort.Slice(items, func(i, j int) bool {
		x, y := &a.items[items[i]], &a.items[items[j]]
		if x.hash != y.hash {
			return x.hash < y.hash
		}
		return x.upstream.ID < y.upstream.ID
	})
}

// placeLocal gives each data centre's upstreams to its own VMs.
func (a *assignment) placeLocal() {
	for _, s := range a.dataCentres {
		split := a.placeGroups(s.groups, s.vms, s.maxLoad)
		a.placeSingly(split, s.vms, s.maxLoad)
	}
}

// placeRemaining gives what found no room to any VM. There is always one below the
// maxLoad: it lies above the mean.
func (a *assignment) placeRemaining() {
	var rest []group
	for _, s := range a.dataCentres {
		for _, g := range s.groups {
			if left := a.unplaced(g.items); len(left) > 0 {
				rest = append(rest, group{hash: g.hash, items: left})
			}
		}
	}
	split := a.placeGroups(rest, a.allVMs, a.maxLoad)
	a.placeSingly(split, a.allVMs, a.maxLoad)
}

func (a *assignment) unplaced(items []int) []int {
	var out []int
	for _, i := range items {
		if a.items[i].owner == noVM {
			out = append(out, i)
		}
	}
	return out
}

// placeGroups places groups whole and returns the items of those that found no
// VM with room.
func (a *assignment) placeGroups(groups []group, vms []int, bound int) []int {
	var split []int
	for _, g := range groups {
		most := bound - len(g.items)
		v := a.bestVM(g.hash, vms, most)
		if v == noVM {
			split = append(split, g.items...)
			continue
		}
		w := a.bestStandby(g.hash, vms, most, v)
		for _, i := range g.items {
			a.setOwner(i, v, w)
		}
	}
	return split
}

func (a *assignment) placeSingly(items, vms []int, bound int) {
	a.sortByHash(items)
	for _, i := range items {
		key := a.items[i].hash
		if v := a.bestVM(key, vms, bound-1); v != noVM {
			a.setOwner(i, v, a.bestStandby(key, vms, bound-1, v))
		}
	}
}

func (a *assignment) setOwner(i, owner, standby int) {
	a.items[i].owner = owner
	a.items[i].standby = standby
	a.vms[owner].load++
}

// bestVM is the VM of the highest weight among those whose load is at most most.
func (a *assignment) bestVM(key uint64, vms []int, most int) int {
	best, bestWeight := noVM, uint64(0)
	for _, v := range vms {
		if a.vms[v].load > most {
			continue
		}
		if w := rendezvous.Weight(key, a.vms[v].hash); best == noVM || w > bestWeight {
			best, bestWeight = v, w
		}
	}
	return best
}

// bestStandby is the VM that would be the owner if the owner were gone: the second
// choice at the same moment, when the same others have been placed. One in
// another rack comes first, as a rack that fails must not take both.
func (a *assignment) bestStandby(key uint64, vms []int, most, owner int) int {
	if len(vms) < 2 {
		vms = a.allVMs
	}
	best, bestRank, bestWeight := noVM, 0, uint64(0)
	for _, v := range vms {
		if v == owner {
			continue
		}
		rank := a.standbyRank(v, owner, most)
		w := rendezvous.Weight(key, a.vms[v].hash)
		if best == noVM || rank > bestRank || (rank == bestRank && w > bestWeight) {
			best, bestRank, bestWeight = v, rank, w
		}
	}
	return best
}

// standbyRank prefers another rack to room: too much load only slows.
func (a *assignment) standbyRank(v, owner, most int) int {
	rank := 0
	if a.vms[v].rack == "" || a.vms[v].rack != a.vms[owner].rack {
		rank += 2
	}
	if a.vms[v].load <= most {
		rank++
	}
	return rank
}

// vmName is a VM's name, empty for nobody.
func (a *assignment) vmName(v int) string {
	if v == noVM {
		return ""
	}
	return a.vms[v].name
}
