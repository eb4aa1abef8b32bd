// Package latency keeps what an upstream's answer times have been: a decaying
// histogram for the tail, from which the hedge delay is read, and a weighted
// mean for the choice between replicas. It is pure: the time is handed in.
package latency

import (
	"math"
	"time"
)

// Buckets are logarithmic: bucket i holds times up to base * 2^(i/4).
const (
	buckets   = 80
	base      = 50 * time.Microsecond
	perDouble = 4
)

const (
	// memory is the weight of answers that the histogram holds at most: twice
	// the answers after which the past counts half.
	memory = 128
	// halfLife is the age at which an observation counts half.
	halfLife = 10 * time.Second
	// meanShare is the least weight of a new observation in the mean.
	meanShare = 1.0 / 8
	// boundFactor is what a withdrawn attempt is taken to have needed, as a
	// multiple of the time it was given.
	boundFactor = 2
	// faded is the weight below which nothing is known any more.
	faded = 0.01
)

// Tracker is one upstream's answer times. It is not safe for concurrent use.
type Tracker struct {
	// answered and withdrawn are weights by bucket; a withdrawn attempt is
	// known only to have needed longer than its bucket.
	answered  [buckets]float32
	withdrawn [buckets]float32
	total     float64
	mean      float64
	last      time.Time
}

// Observe adds the time of one answer.
func (t *Tracker) Observe(now time.Time, d time.Duration) {
	t.addMean(now, float64(d))
	t.fade(now)
	t.answered[bucket(d)]++
	t.added()
}

// ObserveAtLeast adds an attempt that was withdrawn after d without an answer.
//
// An upstream whose every attempt loses to a hedge never answers in time. Were
// only answers counted it would stay unknown, look as good as its peers and be
// chosen again and again, each time at the cost of a hedge.
func (t *Tracker) ObserveAtLeast(now time.Time, d time.Duration) {
	t.addMean(now, math.Max(t.mean, boundFactor*float64(d)))
	t.fade(now)
	t.withdrawn[bucket(d)]++
	t.added()
}

// Weight is how many observations are remembered, each less with its age.
func (t *Tracker) Weight(now time.Time) float64 {
	return t.total * t.fading(now)
}

// Mean is the weighted mean answer time; 0 when nothing was observed.
func (t *Tracker) Mean() time.Duration {
	return time.Duration(t.mean)
}

// Quantile is an upper bound of the q-quantile; 0 when nothing was observed. It
// is the product-limit (Kaplan-Meier) estimate, in which a withdrawn attempt
// counts as one that was still running when it was withdrawn.
func (t *Tracker) Quantile(q float64) time.Duration {
	if t.total == 0 {
		return 0
	}
	atRisk := t.total
	surviving := 1.0
	last := 0
	for i := range t.answered {
		if t.answered[i] > 0 {
			surviving *= 1 - float64(t.answered[i])/atRisk
		}
		if surviving <= 1-q+rounding {
			return upper(i)
		}
		if t.answered[i]+t.withdrawn[i] > 0 {
			last = i
		}
		atRisk -= float64(t.answered[i] + t.withdrawn[i])
	}
	return boundFactor * upper(last)
}

// rounding absorbs the error of the weights' sums.
const rounding = 1e-6

func (t *Tracker) addMean(now time.Time, d float64) {
	if t.total == 0 {
		t.mean = d
		return
	}
	share := math.Max(meanShare, 1-t.fading(now))
	t.mean += share * (d - t.mean)
}

func (t *Tracker) added() {
	t.total++
	if t.total > memory {
		t.scale(0.5)
	}
}

// fade lets the observations age up to now.
func (t *Tracker) fade(now time.Time) {
	const step = halfLife / 10
	if t.last.IsZero() {
		t.last = now
	}
	if now.Sub(t.last) < step {
		return
	}
	t.scale(t.fading(now))
	t.last = now
}

// fading is the factor by which the weights have shrunk since they were kept.
func (t *Tracker) fading(now time.Time) float64 {
	if t.last.IsZero() || !now.After(t.last) {
		return 1
	}
	return math.Exp2(-float64(now.Sub(t.last)) / float64(halfLife))
}

func (t *Tracker) scale(factor float64) {
	t.total = 0
	for i := range t.answered {
		t.answered[i] = shrink(t.answered[i], float32(factor))
		t.withdrawn[i] = shrink(t.withdrawn[i], float32(factor))
		t.total += float64(t.answered[i] + t.withdrawn[i])
	}
}

func shrink(weight, factor float32) float32 {
	if weight *= factor; weight > faded {
		return weight
	}
	return 0
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
