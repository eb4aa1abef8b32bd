package warmup

import (
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
)

var start = time.Unix(1000, 0)

// Guards against an upstream without a health path that never leaves Unverified after a sign
// of a restart, or never enters it.
func TestStatesByEntry(t *testing.T) {
	u := view(1, 0, false).Upstreams["u"]
	for _, c := range []struct {
		name        string
		steps       func(*Table)
		ms          int
		unconfirmed bool
		want        State
	}{
		{"by its entry", func(tb *Table) { tb.Update(at(0), view(1, 0, false)) }, 0, false, Warm},
		{"not registered", func(*Table) {}, 0, false, Unverified},
		{"entries not confirmed", func(tb *Table) { tb.Update(at(0), view(1, 0, false)) }, 0, true, Unverified},
		{"cold by its entry", func(tb *Table) { tb.Update(at(0), view(1, time.Second, false)) }, 999, false, Cold},
		{"its connection ended", func(tb *Table) {
			tb.Update(at(0), view(1, 0, false))
			tb.MarkUnverified(at(100), u)
		}, 3099, false, Unverified},
		{"no new entry after maxEntryDelay", func(tb *Table) {
			tb.Update(at(0), view(1, 0, false))
			tb.MarkUnverified(at(100), u)
		}, 3100, false, Warm},
		{"new entry is cold", func(tb *Table) {
			tb.Update(at(0), view(1, 0, false))
			tb.MarkUnverified(at(100), u)
			tb.Update(at(2000), view(2, 5*time.Second, false))
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

// view returns a view with one upstream that started at the given Unix time and is cold for
// coldFor.
func view(startedAt int64, coldFor time.Duration, evacuated bool) *catalog.View {
	u := &catalog.Upstream{ID: "u", DataCentre: "x", StartedAt: time.Unix(startedAt, 0), ColdFor: coldFor}
	return &catalog.View{Upstreams: map[string]*catalog.Upstream{"u": u}, Evacuated: map[string]bool{"x": evacuated}}
}

// Guards against requests to upstreams that neither their entry nor a health check shows to
// be warm.
func TestStates(t *testing.T) {
	u := view(1, 0, false).Upstreams["u"]
	for _, c := range []struct {
		name        string
		steps       func(*Table)
		ms          int
		unconfirmed bool
		want        State
	}{
		{"by its entry", func(tb *Table) { tb.Update(at(0), view(1, 0, false)) }, 0, false, Warm},
		{"not registered", func(*Table) {}, 0, false, Unverified},
		{"cold by its entry", func(tb *Table) { tb.Update(at(0), view(1, time.Second, false)) }, 999, false, Cold},
		{"warm after the cold time of its entry", func(tb *Table) { tb.Update(at(0), view(1, time.Second, false)) }, 1000, false, Warm},
		{"remaining cold time of the entry decreases", func(tb *Table) {
			tb.Update(at(0), view(1, time.Second, false))
			tb.Update(at(900), view(1, 500*time.Millisecond, false))
		}, 1000, false, Warm},
		{"cold again by its entry", func(tb *Table) {
			tb.Update(at(0), view(1, 0, false))
			tb.Update(at(500), view(1, time.Second, false))
		}, 1400, false, Cold},
		{"after a restart", func(tb *Table) {
			tb.Update(at(0), view(1, 0, false))
			tb.Update(at(500), view(2, time.Second, false))
		}, 1400, false, Cold},
		{"its connection ended", func(tb *Table) {
			tb.Update(at(0), view(1, 0, false))
			tb.MarkUnverified(at(100), u)
		}, 5000, false, Unverified},
		{"health check started before the connection ended", func(tb *Table) {
			tb.Update(at(0), view(1, 0, false))
			tb.MarkUnverified(at(100), u)
			tb.RecordHealth(at(110), at(90), u, 0)
		}, 120, false, Unverified},
		{"health check started after the connection ended", func(tb *Table) {
			tb.Update(at(0), view(1, 0, false))
			tb.MarkUnverified(at(100), u)
			tb.RecordHealth(at(120), at(101), u, 0)
		}, 120, false, Warm},
		{"cold by its health response", func(tb *Table) {
			tb.Update(at(0), view(1, 0, false))
			tb.MarkUnverified(at(100), u)
			tb.RecordHealth(at(120), at(101), u, time.Second)
		}, 1119, false, Cold},
		{"warm after the cold time of its health response", func(tb *Table) {
			tb.Update(at(0), view(1, 0, false))
			tb.MarkUnverified(at(100), u)
			tb.RecordHealth(at(120), at(101), u, time.Second)
		}, 1120, false, Warm},
		{"entries not confirmed", func(tb *Table) { tb.Update(at(0), view(1, 0, false)) }, 0, true, Unverified},
		{"entries not confirmed, recent health check", func(tb *Table) {
			tb.Update(at(0), view(1, 0, false))
			tb.RecordHealth(at(20), at(10), u, 0)
		}, 900, true, Warm},
		{"entries not confirmed, health check expired", func(tb *Table) {
			tb.Update(at(0), view(1, 0, false))
			tb.RecordHealth(at(20), at(10), u, 0)
		}, 1100, true, Unverified},
		{"after an evacuation", func(tb *Table) {
			tb.Update(at(0), view(1, 0, true))
			tb.Update(at(500), view(1, 0, false))
		}, 600, false, Unverified},
	} {
		tb := New()
		c.steps(tb)
		if got := tb.State(at(c.ms), u, !c.unconfirmed); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against one health check per request.
func TestChecksAreRateLimited(t *testing.T) {
	tb := New()
	u := view(1, 0, false).Upstreams["u"]
	tb.Update(at(0), view(1, 0, false))
	checks := 0
	for ms := range 1000 {
		if tb.BeginCheck(at(ms), u) {
			checks++
		}
	}
	if checks != 10 {
		t.Errorf("%d checks in a second", checks)
	}
}

// coldBound is the maximum number of requests that a cold upstream may receive from all VMs
// in one second: 1 per second with an overage factor of 1.5 and a slack of 5.
const coldBound = 6

// split divides the bound among the VMs: it returns the maximum number of requests that one VM
// may send to a cold upstream in one second, given the VMs that it knows. A nonzero share is at
// least 1, since a rate below 1 per second accumulates to one request.
type split func(self int, known []int) int

// Guards against a split of the bound that holds only while all VMs have the same view. Each
// of three splits exceeds the bound in some situation, because a VM that knows few others takes
// their shares; the totals are logged. Only sending nothing always keeps the bound.
func TestNoSplitKeepsTheBoundInAllViews(t *testing.T) {
	const dataCentres = 6
	equal := func(_ int, known []int) int { return max(1, coldBound/len(known)) }
	oneVM := func(self int, known []int) int {
		if highestWeight(known) == self {
			return coldBound
		}
		return 0
	}
	sameDataCentre := func(self int, known []int) int {
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
		split split
		holds bool
	}{{"equal shares", equal, false}, {"one VM by rendezvous", oneVM, false}, {"the VMs of its data centre", sameDataCentre, false}, {"nothing", nothing, true}} {
		holds := true
		for _, vms := range []int{9, 65, 300} {
			for name, knownBy := range views(vms) {
				sum := 0
				for self := range vms {
					sum += c.split(self, knownBy(self))
				}
				t.Logf("%s, %d VMs, %s: %d of %d", c.name, vms, name, sum, coldBound)
				holds = holds && sum <= coldBound
			}
		}
		if holds != c.holds {
			t.Errorf("%s: keeps the bound: %v, want %v", c.name, holds, c.holds)
		}
	}
}

// views returns, for several situations, a function from a VM to the VMs that it knows.
func views(vms int) map[string]func(self int) []int {
	group := func(groupOf func(vm int) int) func(int) []int {
		return func(self int) []int {
			var out []int
			for vm := range vms {
				if groupOf(vm) == groupOf(self) {
					out = append(out, vm)
				}
			}
			return out
		}
	}
	return map[string]func(int) []int{
		"all have the same view": group(func(int) int { return 0 }),
		"a three-way partition":  group(func(vm int) int { return vm % 3 }),
		"a tenth of the VMs isolated": group(func(vm int) int {
			if vm%10 == 0 {
				return vm + 1
			}
			return 0
		}),
		"all have just started": group(func(vm int) int { return vm }),
	}
}

// highestWeight returns the VM with the highest rendezvous weight.
func highestWeight(known []int) int {
	best, maxWeight := -1, uint32(0)
	for _, vm := range known {
		if w := uint32(vm+1) * 2654435761; w >= maxWeight {
			best, maxWeight = vm, w
		}
	}
	return best
}
