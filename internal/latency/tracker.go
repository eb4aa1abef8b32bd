// Package latency keeps a decaying histogram of each upstream's answer times,
// from which the hedge delay is read.
package latency

import (
	"math"
	"time"
)

// Buckets are logarithmic: bucket i holds times up to base * 2^(i/4).
const (
	buckets    = 80
	base       = 50 * time.Microsecond
	perDouble  = 4
	decayEvery = 256
)

// Tracker is one upstream's histogram. It is not safe for concurrent use.
type Tracker struct {
	counts [buckets]float64
	total  float64
	since  int
}

// Observe adds one answer time. Every decayEvery times the past counts half.
func (t *Tracker) Observe(d time.Duration) {
	t.counts[bucket(d)]++
	t.total++
	t.since++
	if t.since >= decayEvery {
		t.decay()
	}
}

// Quantile is an upper bound of the q-quantile; ok is false while too few
// answers were seen to tell.
func (t *Tracker) Quantile(q float64) (d time.Duration, ok bool) {
	const enough = 20
	if t.total < enough {
		return 0, false
	}
	want := q * t.total
	seen := 0.0
	for i, c := range t.counts {
		seen += c
		if seen >= want {
			return upper(i), true
		}
	}
	return upper(buckets - 1), true
}

func (t *Tracker) decay() {
	t.since = 0
	t.total = 0
	for i := range t.counts {
		t.counts[i] /= 2
		t.total += t.counts[i]
	}
}

func bucket(d time.Duration) int {
	if d <= base {
		return 0
	}
	i := int(math.Ceil(perDouble * math.Log2(float64(d)/float64(base))))
	return min(i, buckets-1)
}

func upper(i int) time.Duration {
	return time.Duration(float64(base) * math.Exp2(float64(i)/perDouble))
}
