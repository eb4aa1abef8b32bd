package homeset_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"sycamorekeel.example/sycamorekeel/internal/homeset"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// fleet returns n VMs distributed over the given number of regions, each with two
// data centres of two racks.
func fleet(n, regions int) []*pb.VM {
	var out []*pb.VM
	for i := range n {
		region := fmt.Sprintf("r%d", i%regions)
		dc := fmt.Sprintf("%s-%d", region, i/regions%2)
		rack := fmt.Sprintf("%s-%d", dc, i/regions/2%2)
		out = append(out, &pb.VM{Id: fmt.Sprintf("vm-%d", i), Region: region, DataCentre: dc, Rack: rack, State: pb.VMState_LIVE})
	}
	return out
}

func TestSize(t *testing.T) {
	for _, c := range []struct {
		rate float64
		vms  int
		want int
	}{
		{0, 0, 0}, {1, 1, 1}, {1, 2, 2}, {1, 9, 3}, {301, 9, 4}, {1e6, 9, 9}, {75_000, 550, 550}, {2_000, 550, 20},
	} {
		NewWithT(t).Expect(homeset.Size(c.rate, c.vms)).To(Equal(c.want), "%v", c)
	}
}

// Guards against VMs with the same list dividing a limit differently because the
// choice depends on the order of the list or on a repeated entry.
func TestListOrderDoesNotMatter(t *testing.T) {
	g := NewWithT(t)
	list := fleet(9, 3)
	shuffled := append([]*pb.VM{list[4]}, list...)
	random := rand.New(rand.NewPCG(1, 2))
	random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	for i := range 50 {
		customer := fmt.Sprintf("customer-%d", i)
		g.Expect(homeset.NewChooser(shuffled).Choose(customer, 500).Names()).
			To(Equal(homeset.NewChooser(list).Choose(customer, 500).Names()))
	}
}

func TestLeavingVMsAreExcluded(t *testing.T) {
	list := fleet(4, 1)
	list[2].State = pb.VMState_VM_LEAVING
	set := homeset.NewChooser(list).Choose("c", 1e6)
	NewWithT(t).Expect(set.Names()).To(ConsistOf("vm-0", "vm-1", "vm-3"))
}

// Guards against a customer that loses all home VMs with one data centre: by
// weight alone, the highest-ranked VMs may all be in one rack.
func TestSpreadOverRegionsDataCentresAndRacks(t *testing.T) {
	g := NewWithT(t)
	for _, regions := range []int{1, 2, 3} {
		chooser := homeset.NewChooser(fleet(24, regions))
		for i := range 50 {
			set := chooser.Choose(fmt.Sprintf("customer-%d", i), 600)
			count := map[string]int{}
			for _, vm := range set.VMs {
				count["1 "+vm.Region]++
				count["2 "+vm.DataCentre]++
				count["4 "+vm.Rack]++
			}
			for domain, n := range count {
				// The digit is the number of such domains in a region:
				// 1 region, 2 data centres, 4 racks.
				domains := regions * int(domain[0]-'0')
				g.Expect(n).To(BeNumerically("<=", (6+domains-1)/domains), domain)
			}
		}
	}
}

// Guards against reassigning customers that do not use a removed VM. One VM of 48
// leaves the list; home sets without it must not change, and other sets must keep
// nearly all their remaining members.
func TestRemovingAVMMovesFewMembers(t *testing.T) {
	g := NewWithT(t)
	list := fleet(48, 3)
	before, after := homeset.NewChooser(list), homeset.NewChooser(list[1:])
	members, moved := 0, 0
	for i := range 1000 {
		customer := fmt.Sprintf("customer-%d", i)
		old, now := before.Choose(customer, 1), after.Choose(customer, 1)
		for _, vm := range old.Names() {
			members++
			if vm != "vm-0" && !now.Contains(vm) {
				moved++
			}
		}
		if !old.Contains("vm-0") {
			g.Expect(now.Names()).To(Equal(old.Names()))
		}
	}
	t.Logf("%d of %d members replaced, not counting the removed VM", moved, members)
	g.Expect(float64(moved) / float64(members)).To(BeNumerically("<", 0.01))
}

func TestLoadIsBalanced(t *testing.T) {
	g := NewWithT(t)
	chooser := homeset.NewChooser(fleet(9, 3))
	load := map[string]int{}
	for i := range 3000 {
		for _, vm := range chooser.Choose(fmt.Sprintf("customer-%d", i), 1).Names() {
			load[vm]++
		}
	}
	for vm, n := range load {
		g.Expect(n).To(BeNumerically("~", 1000, 150), vm)
	}
}
