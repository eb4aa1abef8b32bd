// Package latency records answer times: a decaying histogram for quantiles, such as the tail
// that sets the hedge delay, and an exponentially weighted mean for the choice between
// replicas. It reads no clock; callers pass the time.
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
	// maxWeight is the largest total weight of the histogram: twice the number of answers
	// after which older ones count half.
	maxWeight = 128
	// halfLife is the age at which an observation counts half.
	halfLife = 10 * time.Second
	// minMeanAlpha is the least weight of a new observation in the mean.
	minMeanAlpha = 1.0 / 8
	// censoredFactor is the assumed duration of a withdrawn attempt, as a multiple of the
	// time after which it was withdrawn.
	censoredFactor = 2
	// minBucketWeight is the weight below which a bucket is emptied.
	minBucketWeight = 0.01
)

// Tracker holds observed answer times, for example those of one upstream. The zero value is
// empty. It is not safe for concurrent use.
type Tracker struct {
	// answered and withdrawn are weights by bucket. A withdrawn attempt is a censored
	// observation: it would have taken longer than its bucket says.
	answered  [buckets]float32
	withdrawn [buckets]float32
	total     float64
	mean      float64
	// decayedAt is the time up to which the weights have been decayed.
	decayedAt time.Time
}

// Observe adds the time of one answer.
func (t *Tracker) Observe(now time.Time, d time.Duration) {
	t.updateMean(now, float64(d))
	t.decay(now)
	t.answered[bucket(d)]++
	t.increment()
}

// ObserveAtLeast adds an attempt that was withdrawn after d without an answer.
//
// An upstream that loses every attempt to a hedge never answers in time. If only answers
// counted, it would stay unknown, look as fast as its peers and be chosen again and again,
// each time at the cost of a hedge.
func (t *Tracker) ObserveAtLeast(now time.Time, d time.Duration) {
	t.updateMean(now, math.Max(t.mean, censoredFactor*float64(d)))
	t.decay(now)
	t.withdrawn[bucket(d)]++
	t.increment()
}

// Weight returns the number of observations, each weighted by its age.
func (t *Tracker) Weight(now time.Time) float64 {
	return t.total * t.decayFactor(now)
}

// Mean returns the weighted mean answer time, 0 without observations.
func (t *Tracker) Mean() time.Duration {
	return time.Duration(t.mean)
}

// Quantile returns an upper bound of the q-quantile, 0 without observations. It is the
// product-limit (Kaplan-Meier) estimate, which counts a withdrawn attempt as still running
// when it was withdrawn.
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
		if surviving <= 1-q+epsilon {
			return upperBound(i)
		}
		if t.answered[i]+t.withdrawn[i] > 0 {
			last = i
		}
		atRisk -= float64(t.answered[i] + t.withdrawn[i])
	}
	return censoredFactor * upperBound(last)
}

// epsilon absorbs the rounding error of summed weights.
const epsilon = 1e-6

func (t *Tracker) updateMean(now time.Time, d float64) {
	if t.total == 0 {
		t.mean = d
		return
	}
	alpha := math.Max(minMeanAlpha, 1-t.decayFactor(now))
	t.mean += alpha * (d - t.mean)
}

// increment adds one observation to the total and halves all weights if it gets too large.
func (t *Tracker) increment() {
	t.total++
	if t.total > maxWeight {
		t.scale(0.5)
	}
}

// decay scales the weights by the time since the last decay, at most once per step.
func (t *Tracker) decay(now time.Time) {
	const step = halfLife / 10
	if t.decayedAt.IsZero() {
		t.decayedAt = now
	}
	if now.Sub(t.decayedAt) < step {
		return
	}
	t.scale(t.decayFactor(now))
	t.decayedAt = now
}

// decayFactor returns the factor by which the weights have decayed since decayedAt.
func (t *Tracker) decayFactor(now time.Time) float64 {
	if t.decayedAt.IsZero() || !now.After(t.decayedAt) {
		return 1
	}
	return math.Exp2(-float64(now.Sub(t.decayedAt)) / float64(halfLife))
}

func (t *Tracker) scale(factor float64) {
	t.total = 0
	for i := range t.answered {
		t.answered[i] = scaleWeight(t.answered[i], float32(factor))
		t.withdrawn[i] = scaleWeight(t.withdrawn[i], float32(factor))
		t.total += float64(t.answered[i] + t.withdrawn[i])
	}
}

func scaleWeight(weight, factor float32) float32 {
	if weight *= factor; weight > minBucketWeight {
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

func upperBound(i int) time.Duration {
	return time.Duration(float64(base) * math.Exp2(float64(i)/perDouble))
}
