// Package retry bounds the extra load that hedges and retries add. Both have a
// budget that first sub-requests earn: with every upstream failing, the extra
// load stays at the contracted percentage.
package retry

import "math"

// burst is how many extra sub-requests an idle budget may hold.
const burst = 10

// unit is one sub-request. Budgets count in parts of it and not in floating
// point, whose rounding would let the spent exceed the earned in the long run.
const unit = 1_000_000

// Budget is one budget. It is not safe for concurrent use.
type Budget struct {
	tokens  int64
	percent float64
	// earned is what one first sub-request allows.
	earned int64
}

// NewBudget starts full, so that the first stragglers can be hedged; a budget
// of no percent holds nothing.
func NewBudget(percent float64) *Budget {
	b := &Budget{}
	b.SetPercent(percent)
	if b.earned > 0 {
		b.tokens = burst * unit
	}
	return b
}

// SetPercent follows a change of the contract.
func (b *Budget) SetPercent(percent float64) {
	if percent == b.percent {
		return
	}
	b.percent = percent
	b.earned = int64(math.Floor(max(0, percent) / 100 * unit))
	if b.earned == 0 {
		b.tokens = 0
	}
}

// Earn adds what n first sub-requests allow. An idle budget holds no more than
// a burst, or what the n sub-requests allow by themselves.
func (b *Budget) Earn(n int) {
	earned := int64(n) * b.earned
	if earned == 0 {
		return
	}
	b.tokens = min(b.tokens+earned, max(b.tokens, burst*unit+earned))
}

// Spend takes one extra sub-request; false means that the budget is used up.
func (b *Budget) Spend() bool {
	if b.tokens < unit {
		return false
	}
	b.tokens -= unit
	return true
}
