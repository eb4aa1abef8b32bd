// Package retrybudget bounds how many extra sends (retries and hedges) a VM may
// add to a service. The bound that operators set covers all VMs together: in any
// window, at most a share of the service's requests plus an allowance. No
// message is needed for it. Each VM has a bucket: a request puts the share in, an
// extra send takes one out. Half of the VM's part of the allowance is what the bucket
// holds, the other half flows in over a window. What a VM sends in a window is then at
// most what its requests of that very window put in, what flowed in meanwhile, and
// what was in the bucket before: over all VMs, the share of the requests and the
// allowance. A bucket is empty when a process starts, so that this holds however
// callers move between VMs, and however often processes are replaced. Of a service that a
// process has not sent to yet the bucket has filled since then all the same.
package retrybudget

import "time"

// burstShare is the part of the allowance that a bucket holds; the rest flows in.
// With all of it held, extra sends of troubles that last are those that requests
// earn alone.
const burstShare = 0.5

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
	// Window is the span that the bound holds for; the allowance flows in over it.
	Window time.Duration
	// Allowance is extra sends in a window beside the ratio.
	Allowance float64
}

// Budget is the bucket of one service on one VM. It is not safe for concurrent use.
type Budget struct {
	limit Limit
	// share is the VM's part of the allowance, 0 to 1.
	share float64
	// left is what is in the bucket; flowed is up to when the allowance has flowed in.
	left   float64
	flowed time.Time
}

// New is the bucket of a VM that has had its share since a time and has spent nothing
// since then: empty at that time.
func New(limit Limit, share float64, since time.Time) *Budget {
	return &Budget{limit: limit, share: share, flowed: since}
}

// SetLimit changes the ratio and the allowance.
func (b *Budget) SetLimit(limit Limit) { b.limit = limit }

// SetShare changes the VM's part of the allowance. What has flowed in until now is of the
// former part: a VM that callers are moved to would else have at once what those spent
// that they came from.
func (b *Budget) SetShare(now time.Time, share float64) {
	b.flow(now)
	b.share = share
}

// Request counts a request of a caller.
func (b *Budget) Request() { b.left += b.limit.Ratio }

// Spend takes one extra send from the budget; false when it is used up.
func (b *Budget) Spend(now time.Time, kind Kind) bool {
	if b.Left(now, kind) < 1 {
		return false
	}
	b.left--
	return true
}

// Left is how many extra sends of a kind may be made now.
func (b *Budget) Left(now time.Time, kind Kind) float64 {
	b.flow(now)
	if kind == Hedge {
		return b.left - retryReserve*(b.most()-leastBurst)
	}
	return b.left
}

// Full tells whether the bucket holds all that it may: a new one would hold no more.
func (b *Budget) Full(now time.Time) bool {
	b.flow(now)
	return b.left >= b.most()
}

// most is what the bucket may hold.
func (b *Budget) most() float64 { return max(leastBurst, burstShare*b.part()) }

func (b *Budget) part() float64 { return b.limit.Allowance * b.share }

// flow lets in what the allowance has given since the last time.
func (b *Budget) flow(now time.Time) {
	if since := now.Sub(b.flowed); since > 0 && b.limit.Window > 0 {
		b.left += (1 - burstShare) * b.part() * since.Seconds() / b.limit.Window.Seconds()
		b.flowed = now
	}
	b.left = min(b.left, b.most())
}

// String is the kind's name in logs and metrics.
func (k Kind) String() string {
	if k == Hedge {
		return "hedge"
	}
	return "retry"
}
