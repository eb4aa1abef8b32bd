package pause

import (
	"testing"
	"time"
)

// Guards against a stop signal that is dated by the end of the pause in which it arrived, so that the
// process is killed before the end of the shutdown.
func TestArrivalDuringAPauseIsDatedByItsBegin(t *testing.T) {
	const interval = 50 * time.Millisecond
	begin := time.Unix(1000, 0)
	after := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name         string
		observed     []int
		now, arrival int
	}{
		{"before the first observation", nil, 10, 10},
		{"no pause", []int{0, 50, 100}, 120, 120},
		{"a late wake-up", []int{0, 50, 190}, 200, 200},
		{"seen before the next observation", []int{0, 50}, 700, 50},
		{"seen after the next observation", []int{0, 50, 700}, 710, 50},
		{"seen long after the pause", []int{0, 50, 700, 750, 800, 850, 900}, 910, 910},
	} {
		m := Meter{Interval: interval}
		for _, ms := range c.observed {
			m.Observe(after(ms))
		}
		if got := m.EarliestArrival(after(c.now)); !got.Equal(after(c.arrival)) {
			t.Errorf("%s: %v, want %v", c.name, got.Sub(begin), after(c.arrival).Sub(begin))
		}
	}
}
