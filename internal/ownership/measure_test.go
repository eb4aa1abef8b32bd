package ownership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Size of the target deployment.
const (
	targetVMs         = 550
	targetUpstreams   = 2500
	targetDataCentres = 5
	targetRacks       = 10
	queryUpstreams    = 380
)

func fleet(vms int) []membership.Member {
	var out []membership.Member
	for i := range vms {
		dc := i % targetDataCentres
		out = append(out, membership.Member{
			VM:         fmt.Sprintf("vm-%04d", i),
			State:      pb.MemberState_ALIVE,
			DataCentre: fmt.Sprintf("dc-%d", dc),
			Rack:       fmt.Sprintf("dc-%d-r%d", dc, i/targetDataCentres%targetRacks),
		})
	}
	return out
}

// upstreams returns the upstreams of four services of different sizes: 46%, 30%, 16% and
// 8%, at the target size about 1140, 760, 380 and the rest.
func upstreams(count int) []*contract.Upstream {
	var out []*contract.Upstream
	for i := range count {
		service := "d"
		switch share := i * 100 / count; {
		case share < 46:
			service = "a"
		case share < 76:
			service = "b"
		case share < 92:
			service = "c"
		}
		out = append(out, &contract.Upstream{
			ID:         fmt.Sprintf("%s/u-%04d", service, i),
			Service:    service,
			DataCentre: fmt.Sprintf("dc-%d", i%targetDataCentres),
		})
	}
	return out
}

func without(members []membership.Member, gone func(*membership.Member) bool) []membership.Member {
	var out []membership.Member
	for i := range members {
		if !gone(&members[i]) {
			out = append(out, members[i])
		}
	}
	return out
}

// loadSpread returns the highest load, the mean load and the number of VMs that own nothing.
func loadSpread(t *Table, members []membership.Member) (highest int, mean float64, idle int) {
	load := map[string]int{}
	for _, p := range t.places {
		load[p.Owner]++
	}
	for _, m := range members {
		highest = max(highest, load[m.VM])
		if load[m.VM] == 0 {
			idle++
		}
	}
	return highest, float64(len(t.places)) / float64(len(members)), idle
}

// meanOwnersPerQuery returns the mean number of owners involved in a query of 380 upstreams
// of one service, chosen at random as replicas would be.
func meanOwnersPerQuery(t *Table, list []*contract.Upstream) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	bigger := map[string][]*contract.Upstream{}
	for _, u := range list {
		bigger[u.Service] = append(bigger[u.Service], u)
	}
	names := []string{"a", "b", "c"}
	sum, queries := 0, 0
	for _, name := range names {
		all := bigger[name]
		for range 20 {
			random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
			owners := map[string]bool{}
			for _, u := range all[:min(queryUpstreams, len(all))] {
				owners[t.Place(u.ID).Owner] = true
			}
			sum += len(owners)
			queries++
		}
	}
	return float64(sum) / float64(queries)
}

// countMoves counts the upstreams whose owner changes. Of those whose owner is gone
// (orphans), it counts how many move to their standby.
func countMoves(before, after *Table, gone map[string]bool) (moves, orphans, toStandby int) {
	for id, p := range before.places {
		if after.places[id].Owner != p.Owner {
			moves++
		}
		if gone[p.Owner] {
			orphans++
			if after.places[id].Owner == p.Standby {
				toStandby++
			}
		}
	}
	return moves, orphans, toStandby
}

// TestMeasure prints the table of the design note. Run it with -v.
func TestMeasure(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints a table; run with -v")
	}
	for _, size := range []struct{ vms, upstreams int }{{targetVMs, targetUpstreams}, {150, targetUpstreams}, {10, 120}} {
		t.Logf("%d VMs, %d upstreams", size.vms, size.upstreams)
		t.Logf("%-12s %8s %5s %8s %7s %7s %8s %8s %8s %8s", "group/factor", "max/mean", "idle", "touched", "lost", "moved", "standby%", "5 lost", "rack-max", "dc-max")
		for _, group := range []int{1, 2, 4, 5, 6, 7, 8} {
			for _, factor := range []float64{1.25, 1.5, 1000} {
				p := policy{groupSize: group, loadFactor: factor, localLoadFactor: 3}
				if factor == 1000 {
					p.localLoadFactor = factor
				}
				t.Log(measure(p, fleet(size.vms), upstreams(size.upstreams)))
			}
		}
	}
}

// measure returns one line of the table.
func measure(p policy, members []membership.Member, list []*contract.Upstream) string {
	base := assign(p, members, list)
	high, mean, idle := loadSpread(base, members)
	lost, many := lossTotals{}, lossTotals{}
	const losses = 40
	for i := range losses {
		lost.add(p, base, members, list, 1, i)
		many.add(p, base, members, list, 5, i)
	}
	rackMax := maxWithout(p, members, list, func(m *membership.Member) bool { return m.Rack == "dc-0-r0" })
	dcMax := maxWithout(p, members, list, func(m *membership.Member) bool { return m.DataCentre == "dc-0" })
	return fmt.Sprintf("%d/%-10g %8.2f %5d %8.0f %7.1f %7.1f %8.0f %8.1f %8.2f %8.2f",
		p.groupSize, p.loadFactor, float64(high)/mean, idle, meanOwnersPerQuery(base, list),
		float64(lost.orphans)/losses, float64(lost.moves)/losses, 100*float64(lost.standby)/float64(max(1, lost.orphans)),
		float64(many.moves)/losses, rackMax, dcMax)
}

// lossTotals sums the moves after several losses. A VM that joins causes the same moves in
// reverse, and two views that contain and omit a VM differ by the same moves.
type lossTotals struct{ orphans, moves, standby int }

func (l *lossTotals) add(p policy, base *Table, members []membership.Member, list []*contract.Upstream, count, seed int) {
	random := rand.New(rand.NewPCG(uint64(seed), 3))
	gone := map[string]bool{}
	for len(gone) < count {
		gone[members[random.IntN(len(members))].VM] = true
	}
	after := assign(p, without(members, func(m *membership.Member) bool { return gone[m.VM] }), list)
	moves, orphans, standby := countMoves(base, after, gone)
	l.moves, l.orphans, l.standby = l.moves+moves, l.orphans+orphans, l.standby+standby
}

func maxWithout(p policy, members []membership.Member, list []*contract.Upstream, gone func(*membership.Member) bool) float64 {
	left := without(members, gone)
	high, mean, _ := loadSpread(assign(p, left, list), left)
	return float64(high) / mean
}
