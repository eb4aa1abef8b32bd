package warmup

import (
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
)

var start = time.Unix(1000, 0)

// Guards against a doubt without end, or none, about upstreams that tell nothing of their
// health.
func TestStatesByEntry(t *testing.T) {
	u := view(1, 0, false).Upstreams["u"]
	for _, c := range []struct {
		name        string
		steps       func(*Table)
		ms          int
		unconfirmed bool
		want        State
	}{
		{"by its entry", func(tb *Table) { tb.Keep(at(0), view(1, 0, false)) }, 0, false, Warm},
		{"not registered", func(*Table) {}, 0, false, Doubtful},
		{"entries not confirmed", func(tb *Table) { tb.Keep(at(0), view(1, 0, false)) }, 0, true, Doubtful},
		{"cold by its entry", func(tb *Table) { tb.Keep(at(0), view(1, time.Second, false)) }, 999, false, Cold},
		{"its connection ended", func(tb *Table) {
			tb.Keep(at(0), view(1, 0, false))
			tb.Doubt(at(100), u)
		}, 3099, false, Doubtful},
		{"no entry told of a new start", func(tb *Table) {
			tb.Keep(at(0), view(1, 0, false))
			tb.Doubt(at(100), u)
		}, 3100, false, Warm},
		{"an entry told of a new start", func(tb *Table) {
			tb.Keep(at(0), view(1, 0, false))
			tb.Doubt(at(100), u)
			tb.Keep(at(2000), view(2, 5*time.Second, false))
		}, 6999, false, Cold},
	} {
		tb := New()
		c.steps(tb)
		if got := tb.StateByEntry(at(c.ms), u, !c.unconfirmed); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// view is a view with one upstream, born at a second and cold for so long.
func view(born int64, coldFor time.Duration, evacuated bool) *catalog.View {
	u := &catalog.Upstream{ID: "u", DataCentre: "x", Born: time.Unix(born, 0), ColdFor: coldFor}
	return &catalog.View{Upstreams: map[string]*catalog.Upstream{"u": u}, Evacuated: map[string]bool{"x": evacuated}}
}

// Guards against requests for upstreams of which nothing says that they are warm.
func TestStates(t *testing.T) {
	u := view(1, 0, false).Upstreams["u"]
	for _, c := range []struct {
		name        string
		steps       func(*Table)
		ms          int
		unconfirmed bool
		want        State
	}{
		{"by its entry", func(tb *Table) { tb.Keep(at(0), view(1, 0, false)) }, 0, false, Warm},
		{"not registered", func(*Table) {}, 0, false, Doubtful},
		{"cold by its entry", func(tb *Table) { tb.Keep(at(0), view(1, time.Second, false)) }, 999, false, Cold},
		{"warm after that", func(tb *Table) { tb.Keep(at(0), view(1, time.Second, false)) }, 1000, false, Warm},
		{"an entry that counts down", func(tb *Table) {
			tb.Keep(at(0), view(1, time.Second, false))
			tb.Keep(at(900), view(1, 500*time.Millisecond, false))
		}, 1000, false, Warm},
		{"cold again by its entry", func(tb *Table) {
			tb.Keep(at(0), view(1, 0, false))
			tb.Keep(at(500), view(1, time.Second, false))
		}, 1400, false, Cold},
		{"started again", func(tb *Table) {
			tb.Keep(at(0), view(1, 0, false))
			tb.Keep(at(500), view(2, time.Second, false))
		}, 1400, false, Cold},
		{"its connection ended", func(tb *Table) {
			tb.Keep(at(0), view(1, 0, false))
			tb.Doubt(at(100), u)
		}, 5000, false, Doubtful},
		{"health asked before that", func(tb *Table) {
			tb.Keep(at(0), view(1, 0, false))
			tb.Doubt(at(100), u)
			tb.Checked(at(110), at(90), u, 0)
		}, 120, false, Doubtful},
		{"health asked after that", func(tb *Table) {
			tb.Keep(at(0), view(1, 0, false))
			tb.Doubt(at(100), u)
			tb.Checked(at(120), at(101), u, 0)
		}, 120, false, Warm},
		{"cold by its health", func(tb *Table) {
			tb.Keep(at(0), view(1, 0, false))
			tb.Doubt(at(100), u)
			tb.Checked(at(120), at(101), u, time.Second)
		}, 1119, false, Cold},
		{"warm after that", func(tb *Table) {
			tb.Keep(at(0), view(1, 0, false))
			tb.Doubt(at(100), u)
			tb.Checked(at(120), at(101), u, time.Second)
		}, 1120, false, Warm},
		{"entries not confirmed", func(tb *Table) { tb.Keep(at(0), view(1, 0, false)) }, 0, true, Doubtful},
		{"entries not confirmed, health asked", func(tb *Table) {
			tb.Keep(at(0), view(1, 0, false))
			tb.Checked(at(20), at(10), u, 0)
		}, 900, true, Warm},
		{"entries not confirmed, health asked long ago", func(tb *Table) {
			tb.Keep(at(0), view(1, 0, false))
			tb.Checked(at(20), at(10), u, 0)
		}, 1100, true, Doubtful},
		{"after an evacuation", func(tb *Table) {
			tb.Keep(at(0), view(1, 0, true))
			tb.Keep(at(500), view(1, 0, false))
		}, 600, false, Doubtful},
	} {
		tb := New()
		c.steps(tb)
		if got := tb.State(at(c.ms), u, !c.unconfirmed); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a health check for each request.
func TestChecksAreSpaced(t *testing.T) {
	tb := New()
	u := view(1, 0, false).Upstreams["u"]
	tb.Keep(at(0), view(1, 0, false))
	checks := 0
	for ms := range 1000 {
		if tb.Check(at(ms), u) {
			checks++
		}
	}
	if checks != 10 {
		t.Errorf("%d checks in a second", checks)
	}
}

// coldBound is what a cold upstream may get in one second from all VMs: one a second with an
// overage of 1.5 and a slack of 5.
const coldBound = 6

// way is how VMs share the bound: the most that one VM may send to a cold upstream in a second,
// by the VMs that it knows. Less than one a second saves up until it is one.
type way func(self int, known []int) int

// Guards against a way of sharing the bound that holds only while all VMs see the same. What
// each of three ways lets through at worst is logged; each passes the bound somewhere, as a VM
// that sees few others takes their part. Nothing at all is what is left.
func TestNoWayOfSharingHoldsTheBoundEverywhere(t *testing.T) {
	const dataCentres = 6
	equal := func(_ int, known []int) int { return max(1, coldBound/len(known)) }
	few := func(self int, known []int) int {
		if first(known) == self {
			return coldBound
		}
		return 0
	}
	beside := func(self int, known []int) int {
		n := 0
		for _, vm := range known {
			if vm%dataCentres == 0 {
				n++
			}
		}
		if self%dataCentres != 0 {
			return 0
		}
		return max(1, coldBound/n)
	}
	nothing := func(int, []int) int { return 0 }
	for _, c := range []struct {
		name  string
		way   way
		holds bool
	}{{"equal parts", equal, false}, {"one VM by rendezvous", few, false}, {"the VMs of its data centre", beside, false}, {"nothing", nothing, true}} {
		holds := true
		for _, vms := range []int{9, 65, 300} {
			for name, knows := range views(vms) {
				sum := 0
				for self := range vms {
					sum += c.way(self, knows(self))
				}
				t.Logf("%s, %d VMs, %s: %d of %d", c.name, vms, name, sum, coldBound)
				holds = holds && sum <= coldBound
			}
		}
		if holds != c.holds {
			t.Errorf("%s: holds %v", c.name, holds)
		}
	}
}

// views is which VMs each VM knows in some situations.
func views(vms int) map[string]func(self int) []int {
	group := func(of func(vm int) int) func(int) []int {
		return func(self int) []int {
			var out []int
			for vm := range vms {
				if of(vm) == of(self) {
					out = append(out, vm)
				}
			}
			return out
		}
	}
	return map[string]func(int) []int{
		"all see the same":     group(func(int) int { return 0 }),
		"a partition in three": group(func(vm int) int { return vm % 3 }),
		"a tenth cut off singly": group(func(vm int) int {
			if vm%10 == 0 {
				return vm + 1
			}
			return 0
		}),
		"all have just started": group(func(vm int) int { return vm }),
	}
}

// first is the VM with the greatest weight.
func first(known []int) int {
	best, most := -1, uint32(0)
	for _, vm := range known {
		if w := uint32(vm+1) * 2654435761; w >= most {
			best, most = vm, w
		}
	}
	return best
}
