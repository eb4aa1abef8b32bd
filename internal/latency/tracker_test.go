package latency

import (
	"testing"
	"time"
)

const ms = time.Millisecond

var start = time.Unix(1000, 0)

// Symptom: one slow replica sets the latency of every query to its shard.
// Sequence: it is asked, a hedge wins, the attempt is withdrawn, it is asked again.
// Cause: only answers were counted, and a withdrawn attempt never answers.
func TestWithdrawnAttemptsTeach(t *testing.T) {
	var fast, slow Tracker
	for i := range 10 {
		now := start.Add(time.Duration(i) * ms)
		fast.Observe(now, 4*ms)
		slow.ObserveAtLeast(now, 10*ms)
	}
	if slow.Mean() <= 2*fast.Mean() {
		t.Errorf("mean of the withdrawn is %v, of the answered %v", slow.Mean(), fast.Mean())
	}
	if q := slow.Quantile(0.5); q < 10*ms {
		t.Errorf("median %v is below the time every attempt was given", q)
	}
}

func TestQuantile(t *testing.T) {
	for _, c := range []struct {
		name                string
		answered, withdrawn []time.Duration
		q                   float64
		least, most         time.Duration
	}{
		{name: "nothing known", q: 0.5},
		{name: "all answered", answered: []time.Duration{1 * ms, 2 * ms, 3 * ms, 4 * ms}, q: 0.5, least: 2 * ms, most: 3 * ms},
		{name: "tail of the answered", answered: []time.Duration{1 * ms, 1 * ms, 1 * ms, 50 * ms}, q: 0.95, least: 50 * ms, most: 60 * ms},
		{name: "a withdrawal above the answers moves the median up", answered: []time.Duration{1 * ms, 8 * ms}, withdrawn: []time.Duration{2 * ms, 2 * ms}, q: 0.5, least: 8 * ms, most: 10 * ms},
		{name: "a withdrawal below the answers leaves the median", answered: []time.Duration{8 * ms, 8 * ms}, withdrawn: []time.Duration{1 * ms}, q: 0.5, least: 8 * ms, most: 10 * ms},
		{name: "never answered", withdrawn: []time.Duration{10 * ms}, q: 0.5, least: 20 * ms, most: 30 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			var tr Tracker
			for _, d := range c.answered {
				tr.Observe(start, d)
			}
			for _, d := range c.withdrawn {
				tr.ObserveAtLeast(start, d)
			}
			if got := tr.Quantile(c.q); got < c.least || got > c.most {
				t.Errorf("quantile %v, want %v to %v", got, c.least, c.most)
			}
		})
	}
}

// Symptom: a replica that was slow for a minute is avoided for good.
// Sequence: it was slow, it is left alone, one trial finds it fast again.
// Cause: old observations outweigh the new one unless they age.
func TestOldObservationsFade(t *testing.T) {
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
		t.Errorf("mean %v holds on to what is a minute old", tr.Mean())
	}
	if q := tr.Quantile(0.5); q > 8*ms {
		t.Errorf("median %v holds on to what is a minute old", q)
	}
}
