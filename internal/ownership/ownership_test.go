package ownership

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/membership"
)

// TestMain fixes the seed of the random tests. The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

func drawFleet(t *rapid.T) ([]membership.Member, []*contract.Upstream) {
	var members []membership.Member
	for i := range rapid.IntRange(1, 40).Draw(t, "vms") {
		members = append(members, membership.Member{
			VM:         fmt.Sprintf("vm-%d", i),
			DataCentre: fmt.Sprintf("dc-%d", rapid.IntRange(0, 3).Draw(t, "data centre")),
			Rack:       rapid.SampledFrom([]string{"", "r0", "r1", "r2"}).Draw(t, "rack"),
		})
	}
	var list []*contract.Upstream
	for i := range rapid.IntRange(0, 120).Draw(t, "upstreams") {
		service := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")
		list = append(list, &contract.Upstream{
			ID:         fmt.Sprintf("%s/%d", service, i),
			Service:    service,
			DataCentre: fmt.Sprintf("dc-%d", rapid.IntRange(0, 4).Draw(t, "data centre")),
		})
	}
	return members, list
}

func TestEveryUpstreamHasAnOwnerWithinLoadLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members, list := drawFleet(t)
		table := Assign(members, list)
		racks := map[string]string{}
		for _, m := range members {
			racks[m.VM] = m.Rack
		}
		for _, u := range list {
			p := table.Place(u.ID)
			if _, ok := racks[p.Owner]; !ok {
				t.Fatalf("%s is owned by %q", u.ID, p.Owner)
			}
			if _, ok := racks[p.Standby]; len(members) > 1 && (!ok || p.Standby == p.Owner) {
				t.Fatalf("%s has standby %q and owner %q", u.ID, p.Standby, p.Owner)
			}
		}
		high, _, _ := loadSpread(table, members)
		limit := newAssignment(defaultPolicy, members, list).loadLimit(defaultPolicy.localLoadFactor, len(list), len(members))
		if high > limit {
			t.Fatalf("a VM owns %d upstreams, more than %d", high, limit)
		}
	})
}

// Guards against two VMs with the same view that send an upstream's work to different owners,
// because the assignment depends on the order in which members and upstreams became known.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members, list := drawFleet(t)
		want := Assign(members, list)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		if got := Assign(members, list); !reflect.DeepEqual(got, want) {
			t.Fatal("the table depends on the order of members and upstreams")
		}
	})
}

func TestPlacesStayInDataCentre(t *testing.T) {
	members, list := fleet(100), upstreams(500)
	local := map[string]string{}
	racks := map[string]string{}
	for _, m := range members {
		local[m.VM], racks[m.VM] = m.DataCentre, m.Rack
	}
	table := Assign(members, list)
	for _, u := range list {
		p := table.Place(u.ID)
		if local[p.Owner] != u.DataCentre || local[p.Standby] != u.DataCentre {
			t.Errorf("%s in %s: owner in %s, standby in %s", u.ID, u.DataCentre, local[p.Owner], local[p.Standby])
		}
		if racks[p.Owner] == racks[p.Standby] {
			t.Errorf("%s: owner and standby share rack %s", u.ID, racks[p.Owner])
		}
	}
}

// Guards against overload when all but one of a data centre's VMs are lost: the last one must
// not receive all work of the data centre because locality overrides the load limit.
func TestLastVMOfADataCentre(t *testing.T) {
	members, list := fleet(100), upstreams(500)
	left := without(members, func(m *membership.Member) bool { return m.DataCentre == "dc-0" && m.VM != "vm-0000" })
	high, mean, _ := loadSpread(Assign(left, list), left)
	if float64(high) > defaultPolicy.localLoadFactor*mean+1 {
		t.Errorf("a VM owns %d upstreams, the mean is %.1f", high, mean)
	}
}

func TestFewMoveWhenOneVMIsLost(t *testing.T) {
	members, list := fleet(targetVMs), upstreams(targetUpstreams)
	base := Assign(members, list)
	var l lossTotals
	const losses = 20
	for i := range losses {
		l.add(defaultPolicy, base, members, list, 1, i)
	}
	if l.moves > 3*l.orphans {
		t.Errorf("%d upstreams moved for %d that lost their owner", l.moves, l.orphans)
	}
	if l.standby*10 < l.orphans*8 {
		t.Errorf("%d of %d moved to their standby", l.standby, l.orphans)
	}
	if owners := meanOwnersPerQuery(base, list); owners > 150 {
		t.Errorf("a query of %d upstreams involves %.0f owners", queryUpstreams, owners)
	}
}

func TestFewMoveWhenOneUpstreamIsAdded(t *testing.T) {
	members, list := fleet(targetVMs), upstreams(targetUpstreams)
	added := &contract.Upstream{ID: "a/new", Service: "a", DataCentre: "dc-1"}
	moves, _, _ := countMoves(Assign(members, list), Assign(members, append(list, added)), nil)
	t.Logf("%d upstreams moved", moves)
	if moves > 50 {
		t.Errorf("%d upstreams moved", moves)
	}
}

func BenchmarkAssign(b *testing.B) {
	for _, size := range []struct{ vms, upstreams int }{{10, 100}, {50, 250}, {150, 700}, {targetVMs, targetUpstreams}} {
		b.Run(fmt.Sprintf("members=%d/upstreams=%d", size.vms, size.upstreams), func(b *testing.B) {
			members, list := fleet(size.vms), upstreams(size.upstreams)
			b.ReportAllocs()
			for b.Loop() {
				Assign(members, list)
			}
		})
	}
}
