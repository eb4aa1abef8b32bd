// Package placement decides which VMs callers are told to use. It is pure.
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

// StrainedCapacity is announced by a VM that has become slow: it takes callers
// only while no other VM does.
const StrainedCapacity = 1

// Caller is what a caller says of itself.
type Caller struct {
	Region     string
	DataCentre string
	// Host is what the caller asks for.
	Host string
	// Homes is the regions beside its own whose VMs may take its requests.
	Homes routing.Homes
}

// mayUse tells whether the caller's requests may be sent to a VM.
func (c *Caller) mayUse(m *membership.Member) bool {
	return m.Region == c.Region || c.Homes.Allow(m.Region)
}

// Bounds bound an answer.
type Bounds struct {
	// Upstreams is how many upstreams each data centre has. A query exchanges one
	// message with its caller and dozens with upstreams, so VMs beside them go
	// first.
	Upstreams map[string]int
	// Most is the most VMs of an answer.
	Most int
	// Work is the capacity that the VMs of one answer should have together, in
	// thousandths of a core.
	Work uint32
	// Least is the fewest VMs of an answer while there are as many: a caller
	// whose only VM is lost waits until it can ask again.
	Least int
}

// Choose is the caller addresses of the VMs that callers of one place share,
// best first: alive and with capacity, of the caller's region if it has any, else of the
// homes of its requests, and there beside most upstreams. Callers of one place get the same answer,
// so that connections and what is learnt of upstreams are shared well.
func Choose(members []membership.Member, c Caller, b Bounds) []string {
	candidates := usable(members, func(m *membership.Member) bool { return c.mayUse(m) && m.State == pb.MemberState_ALIVE })
	if len(candidates) == 0 {
		candidates = usable(members, c.mayUse)
	}
	place := rendezvous.Mix(xxhash.Sum64String(c.Region))
	beside := besideUpstreams(candidates, c, b.Upstreams)
	slices.SortFunc(candidates, func(x, y *membership.Member) int {
		return cmp.Or(
			cmp.Compare(distance(x, c), distance(y, c)),
			cmp.Compare(beside[x.DataCentre], beside[y.DataCentre]),
			cmp.Compare(y.Capacity, x.Capacity),
			cmp.Compare(weight(y, place), weight(x, place)),
		)
	})
	spread(candidates, b.Least, func(m *membership.Member) bool {
		first := candidates[0]
		return m.DataCentre != first.DataCentre && distance(m, c) == distance(first, c) &&
			beside[m.DataCentre] == beside[first.DataCentre] && 2*m.Capacity >= first.Capacity
	})
	var out []string
	var work uint32
	for i, m := range candidates {
		far := distance(m, c) > distance(candidates[0], c)
		if len(out) >= b.Most || len(out) >= b.Least && work >= b.Work || len(out) > 0 && far {
			break
		}
		out = append(out, candidates[i].CallerAddress)
		work += m.Capacity
	}
	return out
}

// spread moves the first candidate of a second data centre that is as good as the first
// one's up to the last of the places that every answer has, if all before it are in one data
// centre. Callers whose VMs are all lost find no connection until they may ask again, and a
// data centre is lost whole more often than two are.
func spread(candidates []*membership.Member, least int, asGood func(*membership.Member) bool) {
	last := least - 1
	if last < 1 || last >= len(candidates) {
		return
	}
	i := slices.IndexFunc(candidates, asGood)
	if i <= last {
		return
	}
	m := candidates[i]
	copy(candidates[last+1:i+1], candidates[last:i])
	candidates[last] = m
}

// besideUpstreams gives 0 for the data centres that have at least half as many
// upstreams as the best one at the least distance, and 1 for the others. By plain
// numbers, one upstream that comes or goes would move all callers of a region.
func besideUpstreams(candidates []*membership.Member, c Caller, upstreams map[string]int) map[string]int {
	most, least := 0, 0
	for i, m := range candidates {
		switch d := distance(m, c); {
		case i == 0 || d < least:
			least, most = d, upstreams[m.DataCentre]
		case d == least:
			most = max(most, upstreams[m.DataCentre])
		}
	}
	out := map[string]int{}
	for _, m := range candidates {
		if 2*upstreams[m.DataCentre] < most {
			out[m.DataCentre] = 1
		}
	}
	return out
}

func usable(members []membership.Member, ok func(*membership.Member) bool) []*membership.Member {
	var out []*membership.Member
	for i := range members {
		m := &members[i]
		if m.Capacity > 0 && m.CallerAddress != "" && m.Serves() && ok(m) {
			out = append(out, m)
		}
	}
	return out
}

// distance ranks how far a VM is from the caller: regions count, data centres of
// one region are alike, and a strained VM is further than any other.
func distance(m *membership.Member, c Caller) int {
	switch {
	case m.Capacity <= StrainedCapacity:
		return 2
	case m.Region == c.Region:
		return 0
	default:
		return 1
	}
}

func weight(m *membership.Member, place uint64) uint64 {
	return rendezvous.Weight(xxhash.Sum64String(m.VM), place)
}

// Carriers is the caller addresses that callers of any region are told to use.
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
