// Package homeset decides which VMs serve a customer: its home set. It is a
// pure function of the published list of VMs, so that VMs with the same
// revision agree without a message. Gossip has no part in it: views of liveness
// differ in a partition, and the shares of a limit must not.
package homeset

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/rendezvous"
)

const (
	// RatePerVM is the contracted rate, in requests a second, for which a
	// customer gets one more home VM.
	RatePerVM = 100
	// MinVMs is the least size of a home set where the list allows it: one VM
	// may be lost and another one replaced while the third still serves.
	MinVMs = 3
)

// Size is the number of home VMs of a customer with the total contracted rate,
// in requests a second, in a fleet of vms.
func Size(rate float64, vms int) int {
	k := int(math.Min(math.Ceil(rate/RatePerVM), float64(vms)))
	return min(max(k, MinVMs), vms)
}

// Set is a customer's home VMs, in an order that all VMs agree on.
type Set struct {
	VMs []*pb.VM
}

// Contains tells whether the VM is in the set.
func (s Set) Contains(vm string) bool {
	return s.Index(vm) >= 0
}

// Index is the VM's place in the set, -1 when it is outside.
func (s Set) Index(vm string) int {
	for i, v := range s.VMs {
		if v.Id == vm {
			return i
		}
	}
	return -1
}

// Names is the ids of the VMs, in the order of the set.
func (s Set) Names() []string {
	out := make([]string, len(s.VMs))
	for i, v := range s.VMs {
		out[i] = v.Id
	}
	return out
}

// Chooser chooses home sets from one published list.
type Chooser struct {
	vms    []*pb.VM
	hashes []uint64
}

// NewChooser takes the VMs of the list that are live. Of two entries with one
// id the first counts.
func NewChooser(list []*pb.VM) *Chooser {
	c := &Chooser{}
	seen := make(map[string]bool, len(list))
	for _, vm := range list {
		if vm.State != pb.VMState_LIVE || seen[vm.Id] {
			continue
		}
		seen[vm.Id] = true
		c.vms = append(c.vms, vm)
		c.hashes = append(c.hashes, xxhash.Sum64String(vm.Id))
	}
	return c
}

// Choose is the home set of a customer with the total contracted rate. Each
// place goes to the VM with the highest rendezvous weight among those whose
// region, data centre and rack hold the fewest of the set so far: a lost rack
// or data centre takes as small a part of the set as it can.
func (c *Chooser) Choose(customer string, rate float64) Set {
	ranked := c.rank(customer)
	k := Size(rate, len(ranked))
	if k == len(ranked) {
		return Set{VMs: ranked}
	}
	used := map[place]int{}
	set := Set{VMs: make([]*pb.VM, 0, k)}
	taken := make([]bool, len(ranked))
	for len(set.VMs) < k {
		i := leastUsed(ranked, taken, used)
		taken[i] = true
		set.VMs = append(set.VMs, ranked[i])
		for _, p := range places(ranked[i]) {
			used[p]++
		}
	}
	return set
}

// place is a region, a data centre or a rack, by the names down to it.
type place struct{ region, dataCentre, rack string }

// places is what a VM shares its fate with, widest first.
func places(vm *pb.VM) [3]place {
	return [3]place{
		{region: vm.Region},
		{region: vm.Region, dataCentre: vm.DataCentre},
		{region: vm.Region, dataCentre: vm.DataCentre, rack: "/" + vm.Rack},
	}
}

// leastUsed is the first VM of the ranking whose places are least used.
func leastUsed(ranked []*pb.VM, taken []bool, used map[place]int) int {
	best, bestUse := -1, [3]int{}
	for i, vm := range ranked {
		if taken[i] {
			continue
		}
		use := [3]int{}
		for j, p := range places(vm) {
			use[j] = used[p]
		}
		if best < 0 || less(use, bestUse) {
			best, bestUse = i, use
		}
	}
	return best
}

func less(a, b [3]int) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}

// rank orders the VMs by rendezvous weight, the highest first.
func (c *Chooser) rank(customer string) []*pb.VM {
	key := xxhash.Sum64String(customer)
	weights := make(map[string]uint64, len(c.vms))
	for i, vm := range c.vms {
		weights[vm.Id] = rendezvous.Weight(key, c.hashes[i])
	}
	out := append([]*pb.VM(nil), c.vms...)
	sort.Slice(out, func(i, j int) bool {
		a, b := weights[out[i].Id], weights[out[j].Id]
		if a != b {
			return a > b
		}
		return out[i].Id < out[j].Id
	})
	return out
}
