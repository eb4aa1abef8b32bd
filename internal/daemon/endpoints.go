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

// homes is the home set of every customer under one revision. It is immutable.
type homes struct {
	sets map[string]homeset.Set
}

func homesOf(snap *contract.Snapshot) *homes {
	chooser := homeset.NewChooser(snap.VMs())
	customers := snap.Customers()
	h := &homes{sets: make(map[string]homeset.Set, len(customers))}
	for _, c := range customers {
		h.sets[c.Name] = chooser.Choose(c.Name, totalRate(c))
	}
	return h
}

// totalRate is the contracted rate of all kinds, in requests a second.
func totalRate(c *contract.Customer) float64 {
	sum := 0.0
	for _, k := range c.Kinds {
		sum += k.RatePerSecond
	}
	return sum
}

// Endpoints is the addresses of the customer's home VMs, nearest first. What
// gossip says of liveness only leaves VMs out; where it would leave out all of
// them it is not believed.
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

// serving is the VMs that may be given new work.
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

// order puts this data centre first and this region next. Within each the
// customer and this VM fix the order, so that customers with the same home set
// do not all begin with the same VM.
func (d *Daemon) order(customer string, vms []*pb.VM) {
	random := rand.New(rand.NewPCG(xxhash.Sum64String(customer), xxhash.Sum64String(d.settings.Vm)))
	random.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	sort.SliceStable(vms, func(i, j int) bool { return d.distance(vms[i]) < d.distance(vms[j]) })
}

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
