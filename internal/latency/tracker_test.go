package latency

import (
	"testing"
	"time"
)

const ms = time.Millisecond

var start = time.Unix(1000, 0)

// Guards against one slow replica that sets the latency of every query to its shard: a hedge
// wins, the attempt is withdrawn, and the replica is chosen again. A withdrawn attempt never
// answers, so it must count as well.
func TestWithdrawnAttemptsCount(t *testing.T) {
	var fast, slow Tracker
	for i := range 10 {
		now := start.Add(time.Duration(i) * ms)
		fast.Observe(now, 4*ms)
		slow.ObserveAtLeast(now, 10*ms)
	}
	if slow.Mean() <= 2*fast.Mean() {
		t.Errorf("mean %v with withdrawn attempts, %v with answers", slow.Mean(), fast.Mean())
	}
	if q := slow.Quantile(0.5); q < 10*ms {
		t.Errorf("median %v is below the time after which every attempt was withdrawn", q)
	}
}

func TestQuantile(t *testing.T) {
	for _, c := range []struct {
		name                string
		answered, withdrawn []time.Duration
		q                   float64
		min, max            time.Duration
	}{
		{name: "no observations", q: 0.5},
		{name: "all answered", answered: []time.Duration{1 * ms, 2 * ms, 3 * ms, 4 * ms}, q: 0.5, min: 2 * ms, max: 3 * ms},
		{name: "tail of the answered", answered: []time.Duration{1 * ms, 1 * ms, 1 * ms, 50 * ms}, q: 0.95, min: 50 * ms, max: 60 * ms},
		{name: "a withdrawal above the answers moves the median up", answered: []time.Duration{1 * ms, 8 * ms}, withdrawn: []time.Duration{2 * ms, 2 * ms}, q: 0.5, min: 8 * ms, max: 10 * ms},
		{name: "a withdrawal below the answers leaves the median", answered: []time.Duration{8 * ms, 8 * ms}, withdrawn: []time.Duration{1 * ms}, q: 0.5, min: 8 * ms, max: 10 * ms},
		{name: "never answered", withdrawn: []time.Duration{10 * ms}, q: 0.5, min: 20 * ms, max: 30 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			var tr Tracker
			for _, d := range c.answered {
				tr.Observe(start, d)
			}
			for _, d := range c.withdrawn {
				tr.ObserveAtLeast(start, d)
			}
			if got := tr.Quantile(c.q); got < c.min || got > c.max {
				t.Errorf("quantile %v, want %v to %v", got, c.min, c.max)
			}
		})
	}
}

// Guards against a replica that was slow for a minute and is avoided for ever: when a later
// attempt finds it fast again, the old observations must not outweigh the new one.
func TestOldObservationsDecay(t *testing.T) {
	var tr Tracker
	for i := range 50 {
		tr.Observe(start.Add(time.Duration(i)*ms), 80*ms)
	}
	later := start.Add(time.Minute)
	if w := tr.Weight(later); w > 1 {
		t.Errorf("after a minute 50 observations still weigh %v", w)
	}
	tr.Observe(later, 4*ms)
	if tr.Mean() > 8*ms {
		t.Errorf("mean %v after a fast answer, dominated by observations a minute old", tr.Mean())
	}
	if q := tr.Quantile(0.5); q > 8*ms {
		t.Errorf("median %v after a fast answer, dominated by observations a minute old", q)
	}
}
