package daemon

import (
	"math/rand/v2"
	"sort"

	"github.com/cespare/xxhash/v2"

	"sycamorekeel.example/sycamorekeel/internal/callerapi"
	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/homeset"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// homeSets holds the home set of every customer at one revision. It is immutable.
type homeSets struct {
	sets map[string]homeset.Set
}

func newHomeSets(snap *contract.Snapshot) *homeSets {
	chooser := homeset.NewChooser(snap.VMs())
	customers := snap.Customers()
	h := &homeSets{sets: make(map[string]homeset.Set, len(customers))}
	for _, c := range customers {
		h.sets[c.Name] = chooser.Choose(c.Name, totalRate(c))
	}
	return h
}

// totalRate returns the contracted rate of all kinds together, in requests per second.
func totalRate(c *contract.Customer) float64 {
	sum := 0.0
	for _, k := range c.Kinds {
		sum += k.RatePerSecond
	}
	return sum
}

// Endpoints returns the addresses of the customer's home VMs, nearest first. VMs
// that gossip reports as not serving are left out, unless that would leave none:
// then all home VMs are returned.
func (d *Daemon) Endpoints(c *contract.Customer) callerapi.Endpoints {
	set := d.shares.home(c.Name)
	vms := d.serving(set.VMs)
	if len(vms) == 0 {
		vms = append([]*pb.VM(nil), set.VMs...)
	}
	d.order(c.Name, vms)
	out := callerapi.Endpoints{TTLMS: int64(d.settings.Limits.EndpointsTtlMs)}
	for _, vm := range vms {
		out.Endpoints = append(out.Endpoints, callerapi.Endpoint{Address: vm.CallerAddress, DataCentre: vm.DataCentre})
	}
	return out
}

// serving returns those of vms that accept new work.
func (d *Daemon) serving(vms []*pb.VM) []*pb.VM {
	view := d.view.Load()
	var out []*pb.VM
	for _, vm := range vms {
		if m, ok := view.Find(vm.Id); ok && m.Serves() {
			out = append(out, vm)
		}
	}
	return out
}

// order sorts vms by distance: this data centre first, then this region, then the
// rest. Within each group the order is shuffled with a seed made from the customer
// and this VM, so that customers with the same home set do not all start with the
// same VM.
func (d *Daemon) order(customer string, vms []*pb.VM) {
	random := rand.New(rand.NewPCG(xxhash.Sum64String(customer), xxhash.Sum64String(d.settings.Vm)))
	random.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	sort.SliceStable(vms, func(i, j int) bool { return d.distance(vms[i]) < d.distance(vms[j]) })
}

// distance returns 0 for a VM in this data centre, 1 for one in this region and 2
// for any other.
func (d *Daemon) distance(vm *pb.VM) int {
	switch {
	case vm.DataCentre == d.settings.DataCentre:
		return 0
	case vm.Region == d.settings.Region:
		return 1
	default:
		return 2
	}
}
