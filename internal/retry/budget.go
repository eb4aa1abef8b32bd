// Package retry bounds the extra load that hedges and retries add. Both have a
// budget that first sub-requests earn: with every upstream failing, the extra
// load stays at the contracted percentage.
package retry

// burst is how many extra sub-requests an idle budget may hold.
const burst = 10

// Budget is one budget. It is not safe for concurrent use.
type Budget struct {
	tokens float64
}

// NewBudget starts full, so that the first stragglers can be hedged.
func NewBudget() *Budget {
	return &Budget{tokens: burst}
}

// Earn adds what n first sub-requests allow at percent.
func (b *Budget) Earn(n int, percent float64) {
	b.tokens = min(burst+float64(n)*percent/100, b.tokens+float64(n)*percent/100)
}

// Spend takes one extra sub-request; false means that the budget is used up.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
