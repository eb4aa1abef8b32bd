package admission

import (
	"math"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/share"
)

// bucket is the token bucket of one kind. Unlike a usual limiter, its rate and
// size fall at the moment a loan expires, even if no call happens at that
// moment. Otherwise a VM that resumes from a pause would start requests on a
// share it has lost.
type bucket struct {
	share     share.Share
	tokens    float64
	updatedAt time.Time
}

// emptyShareRetryAfter is the retry delay in a refusal by a VM that holds no
// rate. The VM may borrow some within that time.
const emptyShareRetryAfter = 250 * time.Millisecond

// tokenThreshold is the fill level that counts as one token: sums of small
// fractions come out just below 1.
const tokenThreshold = 1 - 1e-9

// set puts a share into effect at now. Tokens above the new size are lost, and
// added size starts empty, so the tokens of all VMs together never exceed the
// burst of the contract.
func (b *bucket) set(now time.Time, s share.Share) {
	b.advance(now)
	b.share = s
	b.limitTokens(now)
}

// ready reports whether a token is available.
func (b *bucket) ready(now time.Time) bool {
	b.advance(now)
	return b.tokens >= tokenThreshold
}

// take consumes a token, or returns the time until one is available.
func (b *bucket) take(now time.Time) (time.Duration, bool) {
	if b.ready(now) {
		b.tokens = math.Max(0, b.tokens-1)
		return 0, true
	}
	a := b.share.At(now)
	if a.Burst < 1 || a.Rate <= 0 {
		return emptyShareRetryAfter, false
	}
	return time.Duration((1 - b.tokens) / a.Rate * float64(time.Second)), false
}

// advance refills the bucket up to now, in one step per expired loan.
func (b *bucket) advance(now time.Time) {
	for b.updatedAt.Before(now) {
		next := b.nextRateChange(now)
		b.tokens += b.share.At(b.updatedAt).Rate * next.Sub(b.updatedAt).Seconds()
		b.limitTokens(b.updatedAt)
		b.updatedAt = next
	}
	b.limitTokens(now)
}

// nextRateChange returns the first expiry of a loan between updatedAt and now,
// or now.
func (b *bucket) nextRateChange(now time.Time) time.Time {
	for _, l := range b.share.Loans {
		if l.Until.After(b.updatedAt) && l.Until.Before(now) {
			return l.Until
		}
	}
	return now
}

func (b *bucket) limitTokens(at time.Time) {
	b.tokens = math.Min(b.tokens, float64(b.share.At(at).Burst))
}

const (
	// slotDemandDecay is the fraction of the previous slot demand that remains
	// after each call of Usage.
	slotDemandDecay = 0.75
	// arrivalWeight is the weight of the newest interval in the mean arrival
	// rate.
	arrivalWeight = 0.5
)

// arrivalRate is an exponentially weighted mean of a kind's arrival rate.
type arrivalRate struct {
	count     int
	mean      float64
	updatedAt time.Time
}

// rate returns the mean in requests per second, including the arrivals since
// the previous call.
func (a *arrivalRate) rate(now time.Time) float64 {
	if a.updatedAt.IsZero() {
		a.updatedAt = now
	}
	seconds := now.Sub(a.updatedAt).Seconds()
	if seconds <= 0 {
		return a.mean
	}
	a.mean += arrivalWeight * (float64(a.count)/seconds - a.mean)
	a.count = 0
	a.updatedAt = now
	if a.mean < 1e-3 {
		a.mean = 0
	}
	return a.mean
}
