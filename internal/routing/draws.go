package routing

// goldenStep is the fractional part of the golden ratio. Modulo 1, each of its multiples
// falls into one of the largest gaps between the previous ones.
const goldenStep = 0.6180339887498949

// Sequence is a low-discrepancy sequence of numbers in [0, 1), for use with Route.Pick. Of any n
// consecutive numbers, n*l plus or minus 2 fall into an interval of length l, so a weighted
// split is close to its weights after some tens of requests. In TestSplit (6,000 requests,
// ten seeds), shares of 300 requests deviate from their weights by up to 0.13 with
// independent random numbers, but by 0.04 with one sequence on each of 20 VMs and 0.01 on a
// single VM. It is not safe for concurrent use.
type Sequence struct{ current float64 }

// NewSequence returns a sequence that starts after the given number in [0, 1). Each VM should
// use a different one.
func NewSequence(start float64) *Sequence { return &Sequence{current: start} }

// Next returns the next number of the sequence.
func (d *Sequence) Next() float64 {
	d.current += goldenStep
	if d.current >= 1 {
		d.current--
	}
	return d.current
}
