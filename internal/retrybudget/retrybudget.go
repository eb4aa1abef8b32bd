// Package retrybudget limits the extra sends (retries and hedges) that a VM may make to a
// service. Operators set one limit for all VMs together: in any window, at most a ratio of
// the service's requests plus an allowance.
//
// The limit holds without messages between VMs. Each VM has a token bucket per service: a
// request adds the ratio, an extra send takes one token. The bucket holds up to half of the
// VM's share of the allowance; the other half flows in over a window. A VM's extra sends in a
// window are therefore at most what its requests of that window added, plus what flowed in
// during it, plus what the bucket held before. Summed over all VMs, that is the ratio of the
// requests plus the allowance.
//
// Kinds of extra sends have claims in an order: retries, hedges, hedges of less urgent requests.
// Each kind leaves a reserve in the bucket for the kinds before it. Reserves only refuse sends
// that the bucket would allow, so that the limit holds for any mix of kinds.
//
// The bucket is empty when a process starts, so that the limit holds however callers move
// between VMs and however often processes are replaced. A bucket that is created for a
// service later is filled for the time since then.
package retrybudget

import (
	"math"
	"time"
)

// burstFraction is the part of the allowance that a bucket holds; the rest flows in. If a
// bucket held all of it, a lasting fault would leave only the extra sends that requests
// earn.
const burstFraction = 0.5

// minBurst is the least capacity of a bucket. With less, nothing could ever be sent, as
// without an allowance. A fleet with at least as many VMs as extra sends in its allowance
// may exceed the limit by what its buckets hold beyond the allowance.
const minBurst = 1.0

// retryReserve is the part of the budget that hedges leave for retries: without its retry, a
// refused or failed request is lost, while without its hedge a request is only late. A
// quarter covers a tenth of failing upstreams at the usual ratio of a fifth.
const retryReserve = 0.25

// urgentReserve is the part of the budget that hedges of less urgent requests leave for those of
// the most urgent ones, beside retryReserve. Retries and urgent hedges together then keep half,
// and the others the other half while they are alone.
const urgentReserve = 0.25

// rateMemory is the time constant of the average rate of requests.
const rateMemory = time.Second

// Kind is the purpose of an extra send.
type Kind int

// Kinds of extra sends.
const (
	// Retry repeats a send that has failed or was refused.
	Retry Kind = iota
	// Hedge duplicates a send whose answer is late.
	Hedge
	// LessUrgentHedge is a hedge of a request to a service that more urgent requests use too.
	LessUrgentHedge
)

// Kinds lists all kinds.
var Kinds = []Kind{Retry, Hedge, LessUrgentHedge}

// Limit is the limit on the extra sends of all VMs together.
type Limit struct {
	// Ratio is the number of extra sends per request.
	Ratio float64
	// Window is the period to which the limit applies and over which the allowance flows in.
	Window time.Duration
	// Allowance is the number of extra sends per window on top of Ratio.
	Allowance float64
}

// Budget is one VM's token bucket for one service. It is not safe for concurrent use.
type Budget struct {
	limit Limit
	// share is the VM's part of the allowance, 0 to 1.
	share float64
	// tokens is the content of the bucket as of refilledAt.
	tokens     float64
	refilledAt time.Time
	// added is the number of requests since refilledAt; requestRate is the recent number of
	// requests per second as of then.
	added       float64
	requestRate float64
}

// New returns the bucket of a VM that has had its share of the allowance since the given
// time and has spent nothing: it was empty then and has filled since.
func New(limit Limit, share float64, since time.Time) *Budget {
	return &Budget{limit: limit, share: share, refilledAt: since}
}

// SetLimit changes the limit.
func (b *Budget) SetLimit(limit Limit) { b.limit = limit }

// SetShare changes the VM's share of the allowance. What has flowed in until now is
// computed with the former share: otherwise a VM that takes over callers would at once
// hold the tokens that their former VMs have already spent.
func (b *Budget) SetShare(now time.Time, share float64) {
	b.refill(now)
	b.share = share
}

// AddRequest adds the ratio for one request of a caller.
func (b *Budget) AddRequest() {
	b.tokens += b.limit.Ratio
	b.added++
}

// Spend takes one extra send from the budget. It returns false if the budget is exhausted.
func (b *Budget) Spend(now time.Time, kind Kind) bool {
	if b.Remaining(now, kind) < 1 {
		return false
	}
	b.tokens--
	return true
}

// Remaining returns the number of extra sends of a kind that may be made now; it is negative for
// a kind if the bucket holds less than the reserve for the kinds before it.
func (b *Budget) Remaining(now time.Time, kind Kind) float64 {
	b.refill(now)
	return b.tokens - kind.reserve()*(b.capacity()-minBurst)
}

// AllowedAt returns when an extra send of a kind is expected to be allowed, if requests arrive
// as they did recently and nothing else is spent. It returns zero if that never happens.
func (b *Budget) AllowedAt(now time.Time, kind Kind) time.Time {
	missing := 1 - b.Remaining(now, kind)
	if missing <= 0 {
		return now
	}
	rate := b.inflow() + b.limit.Ratio*b.requestRate
	if rate <= 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(missing / rate * float64(time.Second)))
}

// inflow returns the tokens per second that flow in from the allowance.
func (b *Budget) inflow() float64 {
	if b.limit.Window <= 0 {
		return 0
	}
	return (1 - burstFraction) * b.allowance() / b.limit.Window.Seconds()
}

// Full reports whether the bucket is full, so that a new one could hold no more.
func (b *Budget) Full(now time.Time) bool {
	b.refill(now)
	return b.tokens >= b.capacity()
}

func (b *Budget) capacity() float64 { return max(minBurst, burstFraction*b.allowance()) }

// allowance returns the VM's own part of the allowance.
func (b *Budget) allowance() float64 { return b.limit.Allowance * b.share }

// refill adds what has flowed in since the last refill, and cuts the content to the
// capacity.
func (b *Budget) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt).Seconds(); elapsed > 0 {
		b.tokens += b.inflow() * elapsed
		b.refilledAt = now
		weight := 1 - math.Exp(-elapsed/rateMemory.Seconds())
		b.requestRate += weight * (b.added/elapsed - b.requestRate)
		b.added = 0
	}
	b.tokens = min(b.tokens, b.capacity())
}

// reserve returns the part of the budget that the kind leaves for the kinds before it.
func (k Kind) reserve() float64 {
	switch k {
	case Retry:
		return 0
	case Hedge:
		return retryReserve
	default:
		return retryReserve + urgentReserve
	}
}

// String returns the kind's name in logs and metrics.
func (k Kind) String() string {
	return [...]string{"retry", "hedge", "less_urgent_hedge"}[k]
}
