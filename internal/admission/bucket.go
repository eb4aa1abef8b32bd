package admission

import (
	"math"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/share"
)

// bucket holds the tokens of one kind. Unlike the usual limiter its rate and
// size fall at the moment a loan ends, also when nobody looks at that moment:
// else a VM that was paused would start requests on a share it has lost.
type bucket struct {
	share  share.Share
	tokens float64
	last   time.Time
}

// emptyRetry is when a caller may come back to a VM that holds no rate: by then
// it may have borrowed some.
const emptyRetry = 250 * time.Millisecond

// almostOne token is enough: sums of small parts come out just below 1.
const almostOne = 1 - 1e-9

// set puts a share in force at now. Tokens above its size are lost, and a
// larger size starts empty: so the tokens of all VMs never exceed the burst of
// the contract.
func (b *bucket) set(now time.Time, s share.Share) {
	b.advance(now)
	b.share = s
	b.clamp(now)
}

// ready tells whether there is a token.
func (b *bucket) ready(now time.Time) bool {
	b.advance(now)
	return b.tokens >= almostOne
}

// take takes a token, or tells when there will be one.
func (b *bucket) take(now time.Time) (time.Duration, bool) {
	if b.ready(now) {
		b.tokens = math.Max(0, b.tokens-1)
		return 0, true
	}
	a := b.share.At(now)
	if a.Burst < 1 || a.Rate <= 0 {
		return emptyRetry, false
	}
	return time.Duration((1 - b.tokens) / a.Rate * float64(time.Second)), false
}

// advance fills the bucket up to now, loan by loan.
func (b *bucket) advance(now time.Time) {
	for b.last.Before(now) {
		next := b.nextChange(now)
		b.tokens += b.share.At(b.last).Rate * next.Sub(b.last).Seconds()
		b.clamp(b.last)
		b.last = next
	}
	b.clamp(now)
}

// nextChange is the end of the next loan before now, or now.
func (b *bucket) nextChange(now time.Time) time.Time {
	for _, l := range b.share.Loans {
		if l.Until.After(b.last) && l.Until.Before(now) {
			return l.Until
		}
	}
	return now
}

func (b *bucket) clamp(at time.Time) {
	b.tokens = math.Min(b.tokens, float64(b.share.At(at).Burst))
}

const (
	// usageDecay is what remains of an earlier need after each look.
	usageDecay = 0.75
	// arrivalWeight of the newest look in the mean rate of arrivals.
	arrivalWeight = 0.5
)

// arrivals is the decaying mean rate of a kind's requests.
type arrivals struct {
	count int
	mean  float64
	last  time.Time
}

// rate is the mean, in requests a second, with those counted since it was last
// asked for.
func (a *arrivals) rate(now time.Time) float64 {
	if a.last.IsZero() {
		a.last = now
	}
	seconds := now.Sub(a.last).Seconds()
	if seconds <= 0 {
		return a.mean
	}
	a.mean += arrivalWeight * (float64(a.count)/seconds - a.mean)
	a.count = 0
	a.last = now
	if a.mean < 1e-3 {
		a.mean = 0
	}
	return a.mean
}
