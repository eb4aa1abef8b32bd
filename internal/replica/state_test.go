package replica

import (
	"testing"
	"time"
)

// Each case records observations of an upstream and checks its state, and that the upstream
// is usable again ten seconds later.
func TestStates(t *testing.T) {
	for _, c := range []struct {
		name    string
		observe func(f *fixture)
		want    State
	}{
		{"answers at the expected time", func(f *fixture) { f.answer(f.replicas[0], 30*ms) }, Usable},
		{"one failure", func(f *fixture) { f.fail() }, Usable},
		{"failures in a row", func(f *fixture) { f.fail(); f.fail() }, Failing},
		{"four times slower", func(f *fixture) { f.answer(f.replicas[0], 120*ms); f.answer(f.replicas[0], 120*ms) }, Slow},
		{"no answer, far beyond the expected time", func(f *fixture) {
			f.table.Sent(f.now, "k", assumed, f.replicas[0], 1e6, noWait)
			f.now = f.now.Add(400 * ms)
		}, Paused},
		{"no answer for as long as a short pause", func(f *fixture) {
			f.table.Sent(f.now, "k", assumed, f.replicas[0], 1e6, noWait)
			f.now = f.now.Add(100 * ms)
		}, Usable},
		{"accepts no connection", func(f *fixture) {
			f.table.Sent(f.now, "k", assumed, f.replicas[0], 1e6, noWait)
			f.table.Unreachable(f.now, f.replicas[0], 1e6)
		}, Unreachable},
	} {
		f := newFixture()
		f.warm()
		f.table.ReclassifyAll(f.now)
		c.observe(f)
		change, changed := f.table.Reclassify(f.now, "a")
		if change.Is != c.want || changed != (c.want != Usable) {
			t.Errorf("%s: %v (changed %v, slowness %.1f, failures %.2f), want %v", c.name, change.Is, changed, change.Slowness, change.Failures, c.want)
		}
		if f.table.Count()[c.want] == 0 {
			t.Errorf("%s: not counted: %v", c.name, f.table.Count())
		}
		f.table.Unsent(f.replicas[0], 1e6)
		f.now = f.now.Add(10 * time.Second)
		if changes := f.table.ReclassifyAll(f.now); changed && (len(changes) != 1 || changes[0].Is != Usable || changes[0].Was != c.want) {
			t.Errorf("%s: ten seconds later: %+v", c.name, changes)
		}
	}
}

// An upstream near a threshold does not flap between two states.
func TestStatesHaveHysteresis(t *testing.T) {
	u := &upstreamStats{latencyRatio: 2.2, weight: 1e9, observedAt: start}
	table := &Table{upstreams: map[string]*upstreamStats{"a": u}}
	for _, c := range []struct {
		ratio float64
		want  State
	}{{2.2, Slow}, {1.8, Slow}, {1.4, Usable}, {1.8, Usable}, {2.1, Slow}} {
		u.latencyRatio = c.ratio
		if change, _ := table.Reclassify(start, "a"); change.Is != c.want {
			t.Errorf("slowness %v: %v, want %v", c.ratio, change.Is, c.want)
		}
	}
	if _, known := table.Reclassify(start, "other"); known {
		t.Error("a state change of an unknown upstream")
	}
}

func (f *fixture) fail() {
	f.attempt++
	f.table.Sent(f.now, "k", assumed, f.replicas[0], f.attempt, noWait)
	f.table.Failed(f.now, f.replicas[0], f.attempt)
}
