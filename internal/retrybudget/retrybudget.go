// Package retrybudget bounds how many extra sends (retries and hedges) a VM may
// add to a service. The bound that operators set covers all VMs together: in any
// window, at most a share of the service's requests plus an allowance. No
// message is needed for it. Each VM has a bucket: a request puts the share in, an
// extra send takes one out, and it holds at most the VM's part of the allowance.
// What a VM sends in a window is then at most what its requests of that very window
// put in, and what was in the bucket before: over all VMs, the share of the requests
// and the allowance. A bucket is empty when a process starts, so that this holds
// however callers move between VMs, and however often processes are replaced.
package retrybudget

import "time"

// leastBurst is the least that a bucket holds: with less nothing could ever be
// sent, as where there is no allowance. Fleets with as many VMs as extra sends in
// their allowance, or more, may pass the bound by what their buckets hold beyond it.
const leastBurst = 1.0

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
	// Window is the span that operators state the bound for. The bucket keeps it for
	// every span, so that nothing depends on it.
	Window time.Duration
	// Allowance is extra sends in a window beside the ratio.
	Allowance float64
}

// Budget is the bucket of one service on one VM. It is not safe for concurrent use.
type Budget struct {
	limit Limit
	// left is what is in the bucket, before it is cut to what it may hold.
	left float64
}

// New is an empty bucket.
func New(limit Limit) *Budget { return &Budget{limit: limit} }

// SetLimit changes the ratio and the allowance.
func (b *Budget) SetLimit(limit Limit) { b.limit = limit }

// Request counts a request of a caller.
func (b *Budget) Request() { b.left += b.limit.Ratio }

// Spend takes one extra send from the budget; false when it is used up. share is
// this VM's part of the allowance, 0 to 1.
func (b *Budget) Spend(kind Kind, share float64) bool {
	if b.Left(kind, share) < 1 {
		return false
	}
	b.left--
	return true
}

// Left is how many extra sends of a kind may be made now.
func (b *Budget) Left(kind Kind, share float64) float64 {
	most := max(leastBurst, b.limit.Allowance*share)
	b.left = min(b.left, most)
	if kind == Hedge {
		return b.left - retryReserve*(most-leastBurst)
	}
	return b.left
}

// String is the kind's name in logs and metrics.
func (k Kind) String() string {
	if k == Hedge {
		return "hedge"
	}
	return "retry"
}
