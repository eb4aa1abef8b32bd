// Package homeset assigns each customer its home set, the VMs that serve it.
//
// The assignment is a pure function of the published list of VMs, so all VMs on
// the same revision compute the same sets without communicating. It ignores the
// liveness reported by gossip: VMs in a network partition disagree about liveness
// but must agree on how a customer's limit is divided.
package homeset

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/rendezvous"
)

const (
	// RatePerVM is the contracted rate, in requests per second, covered by each
	// home VM.
	RatePerVM = 100
	// MinVMs is the minimum size of a home set if the fleet is large enough.
	// With 3 VMs, one can fail and another be replaced while the third serves.
	MinVMs = 3
)

// Size returns the number of home VMs of a customer with the given total
// contracted rate, in requests per second, in a fleet of vms VMs.
func Size(rate float64, vms int) int {
	k := int(math.Min(math.Ceil(rate/RatePerVM), float64(vms)))
	return min(max(k, MinVMs), vms)
}

// Set is the home set of one customer. The order of the VMs is the same on all
// VMs of the fleet.
type Set struct {
	VMs []*pb.VM
}

// Contains reports whether the VM with this id is in the set.
func (s Set) Contains(vm string) bool {
	return s.Index(vm) >= 0
}

// Index returns the position of the VM in the set, or -1 if it is not a member.
func (s Set) Index(vm string) int {
	for i, v := range s.VMs {
		if v.Id == vm {
			return i
		}
	}
	return -1
}

// Names returns the ids of the VMs in set order.
func (s Set) Names() []string {
	out := make([]string, len(s.VMs))
	for i, v := range s.VMs {
		out[i] = v.Id
	}
	return out
}

// Chooser computes home sets from one version of the published list of VMs.
type Chooser struct {
	vms    []*pb.VM
	hashes []uint64
}

// NewChooser returns a Chooser over the LIVE VMs of the list. If an id occurs
// more than once, the first live entry is used.
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

// Choose returns the home set of a customer with the given total contracted
// rate. It picks VMs one by one: the next VM is the one whose region, then data
// centre, then rack contain the fewest VMs picked so far, and among equals the
// one with the highest rendezvous weight. The loss of a rack or data centre
// thus removes as few VMs of the set as possible.
func (c *Chooser) Choose(customer string, rate float64) Set {
	ranked := c.rank(customer)
	k := Size(rate, len(ranked))
	if k == len(ranked) {
		return Set{VMs: ranked}
	}
	picked := map[failureDomain]int{}
	set := Set{VMs: make([]*pb.VM, 0, k)}
	taken := make([]bool, len(ranked))
	for len(set.VMs) < k {
		i := leastPicked(ranked, taken, picked)
		taken[i] = true
		set.VMs = append(set.VMs, ranked[i])
		for _, d := range failureDomains(ranked[i]) {
			picked[d]++
		}
	}
	return set
}

// failureDomain identifies a region, a data centre or a rack by its name and the
// names of the domains that contain it.
type failureDomain struct{ region, dataCentre, rack string }

// failureDomains returns the region, data centre and rack of a VM. The slash
// distinguishes a rack without a name from its data centre.
func failureDomains(vm *pb.VM) [3]failureDomain {
	return [3]failureDomain{
		{region: vm.Region},
		{region: vm.Region, dataCentre: vm.DataCentre},
		{region: vm.Region, dataCentre: vm.DataCentre, rack: "/" + vm.Rack},
	}
}

// leastPicked returns the index of the first VM of the ranking, among those not
// taken, whose failure domains contain the fewest picked VMs.
func leastPicked(ranked []*pb.VM, taken []bool, picked map[failureDomain]int) int {
	best, bestCounts := -1, [3]int{}
	for i, vm := range ranked {
		if taken[i] {
			continue
		}
		counts := [3]int{}
		for j, d := range failureDomains(vm) {
			counts[j] = picked[d]
		}
		if best < 0 || less(counts, bestCounts) {
			best, bestCounts = i, counts
		}
	}
	return best
}

// less compares a and b lexicographically.
func less(a, b [3]int) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}

// rank returns the VMs in descending order of their rendezvous weight for the
// customer, with ties broken by id.
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
