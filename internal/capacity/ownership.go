package capacity

import (
	"fmt"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/ownership"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Sizes of the target.
const (
	targetVMs       = 550
	targetUpstreams = 2500
	targetCentres   = 5
	// targetFanOut is the upstreams of one query.
	targetFanOut = 380
)

func vms(n int) []membership.Member {
	out := make([]membership.Member, n)
	for i := range out {
		dc := i % targetCentres
		out[i] = membership.Member{
			VM:         fmt.Sprintf("vm-%03d", i),
			State:      pb.MemberState_ALIVE,
			DataCentre: fmt.Sprintf("dc-%d", dc),
			Rack:       fmt.Sprintf("dc-%d-r%d", dc, i/targetCentres%4),
		}
	}
	return out
}

// upstreams are of services of 190 shards with two replicas, in turn over the
// data centres.
func upstreams(n int) []*contract.Upstream {
	const perService = targetFanOut
	out := make([]*contract.Upstream, n)
	for i := range out {
		service := fmt.Sprintf("s-%d", i/perService)
		out[i] = &contract.Upstream{
			ID:         fmt.Sprintf("%s/u-%04d", service, i),
			Service:    service,
			DataCentre: fmt.Sprintf("dc-%d", i%targetCentres),
			Slots:      5,
		}
	}
	return out
}

func (r *Report) ownership() {
	for _, n := range []int{10, 50, 150, targetVMs} {
		for _, u := range []int{100, 700, targetUpstreams} {
			members, list := vms(n), upstreams(u)
			c := measure(func() { ownership.Assign(members, list) })
			size := fmt.Sprintf("%d VMs, %d upstreams", n, u)
			r.add("owner", "assignment after a change", size, float64(c.time.Microseconds()), "us")
			r.add("owner", "allocated for an assignment", size, c.bytes/1024, "KiB")
			r.add("query", "owners met by a query", size, float64(ownersMet(members, list)), "VMs")
		}
	}
}

// ownersMet is how many VMs own the first service's upstreams.
func ownersMet(members []membership.Member, list []*contract.Upstream) int {
	table := ownership.Assign(members, list)
	met := map[string]bool{}
	for _, u := range list[:min(len(list), targetFanOut)] {
		met[table.Place(u.ID).Owner] = true
	}
	return len(met)
}
