// Package retrybudget bounds how many extra sends (retries and hedges) a VM may
// add to a service. The bound that operators set covers all VMs together: in any
// window, at most a share of the service's requests plus an allowance. No
// message is needed for it: each VM spends at most the share of its own requests
// plus its part of the allowance, so the sums keep the bound.
package retrybudget

import "time"

// buckets is how many slices a window is counted in. A slice counts whole until
// it has left the window, so that the bound holds for every sliding window.
const buckets = 20

// retryReserve is the part of the budget that hedges leave for work that was
// refused or failed: without its retry such a request is lost, while without its
// hedge it is only late. A quarter covers a tenth of failing upstreams at the
// usual share of a fifth.
const retryReserve = 0.25

// Kind is what an extra send is for.
type Kind int

// Kinds.
const (
	// Retry sends work again that has failed or was refused.
	Retry Kind = iota
	// Hedge sends work again whose answer is late.
	Hedge
)

// Kinds is all of them.
var Kinds = []Kind{Retry, Hedge}

// Limit is the bound on all VMs together.
type Limit struct {
	// Ratio is extra sends for each request.
	Ratio float64
	// Window is the span that the bound holds for.
	Window time.Duration
	// Allowance is extra sends in a window beside the ratio.
	Allowance float64
}

// Budget counts one service's requests and extra sends on one VM. It is not
// safe for concurrent use.
type Budget struct {
	limit   Limit
	started time.Time
	// slot numbers the slice of time now under way.
	slot     int64
	requests [buckets]float64
	extra    [buckets]float64
}

// New is a budget with nothing counted. started is when this process began: what
// its predecessor on this VM spent is unknown, so for one window after it there
// is no part of the allowance.
func New(limit Limit, started time.Time) *Budget {
	return &Budget{limit: limit, started: started}
}

// SetLimit changes the ratio and the allowance. A window is kept as it was: what
// was counted in slices of another width would be lost.
func (b *Budget) SetLimit(limit Limit) {
	limit.Window = b.limit.Window
	b.limit = limit
}

// Request counts a request of a caller.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.requests[b.slot%buckets]++
}

// Spend takes one extra send from the budget; false when it is used up. share is
// this VM's part of the allowance, 0 to 1.
func (b *Budget) Spend(now time.Time, kind Kind, share float64) bool {
	b.advance(now)
	if sum(&b.extra)+1 > b.available(now, kind, share) {
		return false
	}
	b.extra[b.slot%buckets]++
	return true
}

// Empty tells whether nothing was counted in the window.
func (b *Budget) Empty(now time.Time) bool {
	b.advance(now)
	return sum(&b.requests) == 0 && sum(&b.extra) == 0
}

// Left is how many extra sends of a kind may be made now.
func (b *Budget) Left(now time.Time, kind Kind, share float64) float64 {
	b.advance(now)
	return b.available(now, kind, share) - sum(&b.extra)
}

func (b *Budget) available(now time.Time, kind Kind, share float64) float64 {
	total := b.limit.Ratio * sum(&b.requests)
	if now.Sub(b.started) >= b.limit.Window {
		total += b.limit.Allowance * share
	}
	if kind == Hedge {
		total *= 1 - retryReserve
	}
	return total
}

// advance drops the slices that have left the window.
func (b *Budget) advance(now time.Time) {
	width := b.limit.Window / (buckets - 1)
	slot := int64(now.Sub(b.started) / max(width, 1))
	if slot <= b.slot {
		return
	}
	for i := max(b.slot+1, slot-buckets+1); i <= slot; i++ {
		b.requests[i%buckets] = 0
		b.extra[i%buckets] = 0
	}
	b.slot = slot
}

func sum(v *[buckets]float64) float64 {
	total := 0.0
	for _, x := range v {
		total += x
	}
	return total
}

// String is the kind's name in logs and metrics.
func (k Kind) String() string {
	if k == Hedge {
		return "hedge"
	}
	return "retry"
}
