package ownership

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/rendezvous"
)

// noVM is the VM index of an upstream without an owner or standby.
const noVM = -1

// assignment is the working state for computing a Table.
type assignment struct {
	policy policy
	vms    []vm
	items  []item
	// dataCentres is sorted by name.
	dataCentres []*dataCentre
	// allVMs holds the indexes of all VMs.
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

// item is an upstream and its placement. owner and standby are VM indexes or noVM.
type item struct {
	upstream   *contract.Upstream
	hash       uint64
	dataCentre *dataCentre
	owner      int
	standby    int
}

// dataCentre holds the indexes of a data centre's VMs and upstreams. maxLoad limits the
// load that its own upstreams put on each of its VMs.
type dataCentre struct {
	name    string
	vms     []int
	items   []int
	groups  []group
	maxLoad int
}

// group is a set of upstreams that are placed together.
type group struct {
	hash  uint64
	items []int
}

func newAssignment(p policy, members []membership.Member, upstreams []*contract.Upstream) *assignment {
	a := &assignment{policy: p, vms: make([]vm, len(members)), items: make([]item, len(upstreams))}
	byName := map[string]*dataCentre{}
	at := func(name string) *dataCentre {
		dc := byName[name]
		if dc == nil {
			dc = &dataCentre{name: name}
			byName[name] = dc
			a.dataCentres = append(a.dataCentres, dc)
		}
		return dc
	}
	for i := range members {
		m := &members[i]
		a.vms[i] = vm{name: m.VM, rack: m.Rack, hash: xxhash.Sum64String(m.VM)}
		a.allVMs = append(a.allVMs, i)
		dc := at(m.DataCentre)
		dc.vms = append(dc.vms, i)
	}
	for i, u := range upstreams {
		dc := at(u.DataCentre)
		a.items[i] = item{upstream: u, hash: xxhash.Sum64String(u.ID), dataCentre: dc, owner: noVM, standby: noVM}
		dc.items = append(dc.items, i)
	}
	sort.Slice(a.dataCentres, func(i, j int) bool { return a.dataCentres[i].name < a.dataCentres[j].name })
	a.setBounds()
	for _, dc := range a.dataCentres {
		dc.groups = a.groupUpstreams(dc)
	}
	return a
}

func (a *assignment) setBounds() {
	a.maxLoad = a.loadLimit(a.policy.loadFactor, len(a.items), len(a.vms))
	limit := a.loadLimit(a.policy.localLoadFactor, len(a.items), len(a.vms))
	for _, dc := range a.dataCentres {
		if len(dc.vms) > 0 {
			dc.maxLoad = min(limit, a.loadLimit(a.policy.loadFactor, len(dc.items), len(dc.vms)))
		}
	}
}

// loadLimit returns a multiple of the mean load, but at least the size of one group.
func (a *assignment) loadLimit(factor float64, items, vms int) int {
	return max(a.policy.groupSize, int(math.Ceil(factor*float64(items)/float64(vms))))
}

// groupUpstreams divides a data centre's upstreams into groups, sorted by hash. The
// upstreams of each service go by rendezvous hashing to as many groups as they fill, so
// that adding or removing an upstream moves few others.
func (a *assignment) groupUpstreams(dc *dataCentre) []group {
	services := map[string][]int{}
	for _, i := range dc.items {
		name := a.items[i].upstream.Service
		services[name] = append(services[name], i)
	}
	var out []group
	for name, items := range services {
		out = append(out, a.fillGroups(dc.name+"/"+name, items)...)
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

// sortByHash sorts independently of names, so that a load limit displaces arbitrary
// upstreams and not always the last ones of a service.
func (a *assignment) sortByHash(items []int) {
	sort.Slice(items, func(i, j int) bool {
		x, y := &a.items[items[i]], &a.items[items[j]]
		if x.hash != y.hash {
			return x.hash < y.hash
		}
		return x.upstream.ID < y.upstream.ID
	})
}

// placeLocal places each data centre's upstreams on its own VMs.
func (a *assignment) placeLocal() {
	for _, dc := range a.dataCentres {
		unplaced := a.placeGroups(dc.groups, dc.vms, dc.maxLoad)
		a.placeSingly(unplaced, dc.vms, dc.maxLoad)
	}
}

// placeRemaining places the upstreams that are left on any VM. Some VM is always below
// maxLoad, because maxLoad exceeds the mean load.
func (a *assignment) placeRemaining() {
	var remaining []group
	for _, dc := range a.dataCentres {
		for _, g := range dc.groups {
			if left := a.unplaced(g.items); len(left) > 0 {
				remaining = append(remaining, group{hash: g.hash, items: left})
			}
		}
	}
	unplaced := a.placeGroups(remaining, a.allVMs, a.maxLoad)
	a.placeSingly(unplaced, a.allVMs, a.maxLoad)
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

// placeGroups places whole groups and returns the items of the groups for which no VM
// has enough room.
func (a *assignment) placeGroups(groups []group, vms []int, limit int) []int {
	var unplaced []int
	for _, g := range groups {
		maxLoad := limit - len(g.items)
		v := a.bestVM(g.hash, vms, maxLoad)
		if v == noVM {
			unplaced = append(unplaced, g.items...)
			continue
		}
		w := a.bestStandby(g.hash, vms, maxLoad, v)
		for _, i := range g.items {
			a.setOwner(i, v, w)
		}
	}
	return unplaced
}

func (a *assignment) placeSingly(items, vms []int, limit int) {
	a.sortByHash(items)
	for _, i := range items {
		key := a.items[i].hash
		if v := a.bestVM(key, vms, limit-1); v != noVM {
			a.setOwner(i, v, a.bestStandby(key, vms, limit-1, v))
		}
	}
}

func (a *assignment) setOwner(i, owner, standby int) {
	a.items[i].owner = owner
	a.items[i].standby = standby
	a.vms[owner].load++
}

// bestVM returns the VM with the highest rendezvous weight among those whose load is at
// most limit, or noVM.
func (a *assignment) bestVM(key uint64, vms []int, limit int) int {
	best, bestWeight := noVM, uint64(0)
	for _, v := range vms {
		if a.vms[v].load > limit {
			continue
		}
		if w := rendezvous.Weight(key, a.vms[v].hash); best == noVM || w > bestWeight {
			best, bestWeight = v, w
		}
	}
	return best
}

// bestStandby returns the VM that would become the owner if the owner failed: the second
// choice given the same earlier placements. VMs in another rack are preferred, so that
// the failure of a rack does not take both.
func (a *assignment) bestStandby(key uint64, vms []int, limit, owner int) int {
	if len(vms) < 2 {
		vms = a.allVMs
	}
	best, bestRank, bestWeight := noVM, 0, uint64(0)
	for _, v := range vms {
		if v == owner {
			continue
		}
		rank := a.standbyRank(v, owner, limit)
		w := rendezvous.Weight(key, a.vms[v].hash)
		if best == noVM || rank > bestRank || (rank == bestRank && w > bestWeight) {
			best, bestRank, bestWeight = v, rank, w
		}
	}
	return best
}

// standbyRank prefers another rack over free capacity, because overload only slows queries.
func (a *assignment) standbyRank(v, owner, limit int) int {
	rank := 0
	if a.vms[v].rack == "" || a.vms[v].rack != a.vms[owner].rack {
		rank += 2
	}
	if a.vms[v].load <= limit {
		rank++
	}
	return rank
}

// vmName returns a VM's name, or an empty string for noVM.
func (a *assignment) vmName(v int) string {
	if v == noVM {
		return ""
	}
	return a.vms[v].name
}
