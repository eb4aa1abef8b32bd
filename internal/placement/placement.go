// Package placement selects the VMs that callers should send their requests to. It does no
// I/O.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/rendezvous"
	"sycamorekeel.example/sycamorekeel/internal/routing"
)

// DegradedCapacity is the capacity that a VM announces when it has become slow. Callers
// are sent to such a VM only if no other VM is available to them.
const DegradedCapacity = 1

// Caller describes a caller and its request to the directory.
type Caller struct {
	Region     string
	DataCentre string
	// Host is the host that the caller wants to send requests to.
	Host string
	// Homes is the set of regions whose VMs may serve the caller, in addition to those
	// in its own region.
	Homes routing.Homes
}

// mayUse reports whether the caller may send its requests to a VM.
func (c *Caller) mayUse(m *membership.Member) bool {
	return m.Region == c.Region || c.Homes.Allow(m.Region)
}

// Bounds holds the parameters of Choose that are common to all callers.
type Bounds struct {
	// Upstreams is the number of upstreams in each data centre. A query exchanges one
	// message with its caller and dozens with upstreams, so VMs in the data centres
	// of the upstreams are preferred.
	Upstreams map[string]int
	// MaxVMs is the maximum number of VMs in an answer.
	MaxVMs int
	// TargetCapacity is the total capacity that the VMs in an answer should have, in
	// thousandths of a core.
	TargetCapacity uint32
	// MinVMs is the minimum number of VMs in an answer if there are enough. A caller
	// whose only VM is lost has to wait until it may query the directory again.
	MinVMs int
}

// Choose returns the caller addresses of the VMs that the caller should use, best first. It
// considers VMs that have capacity and are ALIVE or, if there are none, SUSPECT. VMs in the
// caller's region are preferred to those in the home regions of its requests, and among these
// the VMs in data centres with many upstreams. All VMs of an answer are in the same tier.
//
// Callers in the same region with the same homes get the same answer, so that they share
// connections to upstreams and the VMs' knowledge of them.
func Choose(members []membership.Member, c Caller, b Bounds) []string {
	candidates := eligible(members, func(m *membership.Member) bool { return c.mayUse(m) && m.State == pb.MemberState_ALIVE })
	if len(candidates) == 0 {
		candidates = eligible(members, c.mayUse)
	}
	regionHash := rendezvous.Mix(xxhash.Sum64String(c.Region))
	fewUpstreams := rankByUpstreams(candidates, c, b.Upstreams)
	slices.SortFunc(candidates, func(x, y *membership.Member) int {
		return cmp.Or(
			cmp.Compare(tier(x, c), tier(y, c)),
			cmp.Compare(fewUpstreams[x.DataCentre], fewUpstreams[y.DataCentre]),
			cmp.Compare(y.Capacity, x.Capacity),
			cmp.Compare(weight(y, regionHash), weight(x, regionHash)),
		)
	})
	promoteSecondDataCentre(candidates, b.MinVMs, func(m *membership.Member) bool {
		first := candidates[0]
		return m.DataCentre != first.DataCentre && tier(m, c) == tier(first, c) &&
			fewUpstreams[m.DataCentre] == fewUpstreams[first.DataCentre] && 2*m.Capacity >= first.Capacity
	})
	var out []string
	var capacity uint32
	for i, m := range candidates {
		lowerTier := tier(m, c) > tier(candidates[0], c)
		if len(out) >= b.MaxVMs || len(out) >= b.MinVMs && capacity >= b.TargetCapacity || len(out) > 0 && lowerTier {
			break
		}
		out = append(out, candidates[i].CallerAddress)
		capacity += m.Capacity
	}
	return out
}

// promoteSecondDataCentre moves the first candidate for which equivalent returns true to
// index least-1, unless it already is among the first least candidates. equivalent returns
// true for candidates in another data centre that are about as good as the first candidate.
//
// Callers that have lost all their VMs have no connection until they may query the directory
// again, and a whole data centre is lost more often than two at a time.
func promoteSecondDataCentre(candidates []*membership.Member, least int, equivalent func(*membership.Member) bool) {
	last := least - 1
	if last < 1 || last >= len(candidates) {
		return
	}
	i := slices.IndexFunc(candidates, equivalent)
	if i <= last {
		return
	}
	m := candidates[i]
	copy(candidates[last+1:i+1], candidates[last:i])
	candidates[last] = m
}

// rankByUpstreams ranks the data centres of the candidates: 0 for those that have at least
// half as many upstreams as the largest one in the best tier, and 1 for the others. If the
// numbers were compared directly, a change by one upstream could move all callers of a region.
func rankByUpstreams(candidates []*membership.Member, c Caller, upstreams map[string]int) map[string]int {
	maxUpstreams, bestTier := 0, 0
	for i, m := range candidates {
		switch t := tier(m, c); {
		case i == 0 || t < bestTier:
			bestTier, maxUpstreams = t, upstreams[m.DataCentre]
		case t == bestTier:
			maxUpstreams = max(maxUpstreams, upstreams[m.DataCentre])
		}
	}
	out := map[string]int{}
	for _, m := range candidates {
		if 2*upstreams[m.DataCentre] < maxUpstreams {
			out[m.DataCentre] = 1
		}
	}
	return out
}

// eligible returns the members that serve, have capacity and a caller address, and satisfy
// ok.
func eligible(members []membership.Member, ok func(*membership.Member) bool) []*membership.Member {
	var out []*membership.Member
	for i := range members {
		m := &members[i]
		if m.Capacity > 0 && m.CallerAddress != "" && m.Serves() && ok(m) {
			out = append(out, m)
		}
	}
	return out
}

// tier returns the preference of a VM for the caller: 0 for VMs in its region, 1 for VMs in
// other regions, 2 for VMs with DegradedCapacity in any region. Data centres of a region are
// in the same tier.
func tier(m *membership.Member, c Caller) int {
	switch {
	case m.Capacity <= DegradedCapacity:
		return 2
	case m.Region == c.Region:
		return 0
	default:
		return 1
	}
}

// weight returns the rendezvous weight of a VM for a region.
func weight(m *membership.Member, regionHash uint64) uint64 {
	return rendezvous.Weight(xxhash.Sum64String(m.VM), regionHash)
}

// Carriers returns the union of the caller addresses that Choose returns for the regions of all
// members, for callers without home regions.
func Carriers(members []membership.Member, b Bounds) map[string]bool {
	out := map[string]bool{}
	seen := map[string]bool{}
	for i := range members {
		if region := members[i].Region; !seen[region] {
			seen[region] = true
			for _, address := range Choose(members, Caller{Region: region}, b) {
				out[address] = true
			}
		}
	}
	return out
}
