// Package retry limits the extra load of hedges and retries. First sub-requests earn a
// budget that hedges and retries spend, so that the extra load stays at the contracted
// percentage even when every upstream fails.
package retry

import "math"

// burst is how many extra sub-requests an idle budget may hold.
const burst = 10

// unit is the number of tokens for one sub-request. Tokens are integers because the rounding
// of floating point would let spending exceed earnings in the long run.
const unit = 1_000_000

// Budget is a token bucket. It is not safe for concurrent use.
type Budget struct {
	tokens  int64
	percent float64
	// earned is the number of tokens that one first sub-request adds.
	earned int64
}

// NewBudget returns a full budget, so that the first late sub-requests can be hedged; with a
// percentage of 0 it is empty.
func NewBudget(percent float64) *Budget {
	b := &Budget{}
	b.SetPercent(percent)
	if b.earned > 0 {
		b.tokens = burst * unit
	}
	return b
}

// SetPercent changes the contracted percentage of extra sub-requests.
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

// Earn adds the tokens for n first sub-requests. It fills the budget up to a burst plus
// these tokens; a budget that holds more is left as it is.
func (b *Budget) Earn(n int) {
	earned := int64(n) * b.earned
	if earned == 0 {
		return
	}
	b.tokens = min(b.tokens+earned, max(b.tokens, burst*unit+earned))
}

// Spend takes one extra sub-request. It returns false if the budget is exhausted.
func (b *Budget) Spend() bool {
	if b.tokens < unit {
		return false
	}
	b.tokens -= unit
	return true
}
