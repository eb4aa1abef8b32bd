package capacity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Shape of an upstream's time in the simulation: log-normal around the median,
// and now and then a stall.
const (
	medianMS   = 8.0
	spread     = 0.5
	stallShare = 0.001
	stallMS    = 300.0
	queries    = 20_000
	fanOutSeed = 7
)

// hedge waits for a quantile of one upstream's times and then asks another
// replica; budget bounds the hedges as a share of a query's sub-requests.
type hedge struct {
	quantile float64
	budget   float64
}

// fanOut simulates how the slowest of many upstreams sets a query's time.
func (r *Report) fanOut() {
	for _, n := range []int{10, 100, targetFanOut} {
		for _, h := range []hedge{{}, {quantile: 0.95, budget: 0.05}, {quantile: 0.975, budget: 0.05}, {quantile: 0.99, budget: 0.02}, {quantile: 0.99, budget: 0.005}} {
			p99, extra := simulate(n, h)
			name := "without hedges"
			if h.budget > 0 {
				name = fmt.Sprintf("hedge after p%g, budget %g%%", 100*h.quantile, 100*h.budget)
			}
			size := fmt.Sprintf("%d upstreams, median %g ms, stall of %g ms in %g%%", n, medianMS, stallMS, 100*stallShare)
			r.add("query", "simulated p99, "+name, size, p99, "ms")
			r.add("query", "simulated extra load, "+name, size, 100*extra, "%")
		}
	}
}

// simulate is the p99 in milliseconds and the extra sub-requests.
func simulate(n int, h hedge) (p99, extra float64) {
	rng := rand.New(rand.NewPCG(fanOutSeed, uint64(n)))
	after := math.Inf(1)
	if h.budget > 0 {
		after = quantileOf(rng, h.quantile)
	}
	budget := int(math.Ceil(h.budget * float64(n)))
	times := make([]float64, queries)
	hedges := 0
	for i := range times {
		left := budget
		for range n {
			t := draw(rng)
			if t > after && left > 0 {
				left--
				hedges++
				t = min(t, after+draw(rng))
			}
			times[i] = max(times[i], t)
		}
	}
	slices.Sort(times)
	return times[queries*99/100], float64(hedges) / float64(queries*n)
}

func draw(rng *rand.Rand) float64 {
	if rng.Float64() < stallShare {
		return stallMS
	}
	return medianMS * math.Exp(spread*rng.NormFloat64())
}

func quantileOf(rng *rand.Rand, q float64) float64 {
	times := make([]float64, queries)
	for i := range times {
		times[i] = draw(rng)
	}
	slices.Sort(times)
	return times[int(q*float64(queries))]
}
