package replica

import (
	"testing"
	"time"
)

// Each row is what an upstream shows, what it counts as then, and that it counts
// as usable again once the trouble has passed.
func TestStatesOfAnUpstream(t *testing.T) {
	for _, c := range []struct {
		name string
		show func(r *rig)
		want State
	}{
		{"answers as usual", func(r *rig) { r.answer(r.ups[0], 30*ms) }, Usable},
		{"one failure", func(r *rig) { r.fail() }, Usable},
		{"failures in a row", func(r *rig) { r.fail(); r.fail() }, Failing},
		{"four times slower", func(r *rig) { r.answer(r.ups[0], 120*ms); r.answer(r.ups[0], 120*ms) }, Slow},
		{"no answer yet, far beyond the usual time", func(r *rig) {
			r.table.Sent(r.now, "k", usual, r.ups[0], 1e6, unqueued)
			r.now = r.now.Add(400 * ms)
		}, Paused},
		{"no answer for as long as a short pause", func(r *rig) {
			r.table.Sent(r.now, "k", usual, r.ups[0], 1e6, unqueued)
			r.now = r.now.Add(100 * ms)
		}, Usable},
		{"takes no connection", func(r *rig) {
			r.table.Sent(r.now, "k", usual, r.ups[0], 1e6, unqueued)
			r.table.Unreachable(r.now, r.ups[0], 1e6)
		}, Unreachable},
	} {
		r := newRig()
		r.warm()
		r.table.StateChanges(r.now)
		c.show(r)
		turn, changed := r.table.StateChanged(r.now, "a")
		if turn.Is != c.want || changed != (c.want != Usable) {
			t.Errorf("%s: %v (changed %v, slowness %.1f, failures %.2f), want %v", c.name, turn.Is, changed, turn.Slowness, turn.Failures, c.want)
		}
		if r.table.Count()[c.want] == 0 {
			t.Errorf("%s: not counted: %v", c.name, r.table.Count())
		}
		r.table.Unsent(r.ups[0], 1e6)
		r.now = r.now.Add(10 * time.Second)
		if turns := r.table.StateChanges(r.now); changed && (len(turns) != 1 || turns[0].Is != Usable || turns[0].Was != c.want) {
			t.Errorf("%s: ten seconds later: %+v", c.name, turns)
		}
	}
}

// An upstream near a bound does not go to and fro: it has to get clearly better.
func TestAStateIsLeftBelowWhereItIsEntered(t *testing.T) {
	u := &upstream{slow: 2.2, weight: 1e9, seen: start}
	table := &Table{upstreams: map[string]*upstream{"a": u}}
	for _, c := range []struct {
		slow float64
		want State
	}{{2.2, Slow}, {1.8, Slow}, {1.4, Usable}, {1.8, Usable}, {2.1, Slow}} {
		u.slow = c.slow
		if turn, _ := table.StateChanged(start, "a"); turn.Is != c.want {
			t.Errorf("slowness %v: %v, want %v", c.slow, turn.Is, c.want)
		}
	}
	if _, known := table.StateChanged(start, "other"); known {
		t.Error("an unknown upstream has a state")
	}
}

func (r *rig) fail() {
	r.attempt++
	r.table.Sent(r.now, "k", usual, r.ups[0], r.attempt, unqueued)
	r.table.Failed(r.now, r.ups[0], r.attempt)
}
