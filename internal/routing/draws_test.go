package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

const (
	// window is the number of requests over which a split must follow its weights.
	window = 300
	// maxDeviation is the allowed difference between a share and its weight.
	maxDeviation = 0.1
)

// deviation returns the maximum difference between a share of the requests and its weight over
// all windows, for requests that arrive at random VMs. next returns the number that a VM passes
// to Pick.
func deviation(r *Route, vms int, random *rand.Rand, next func(vm int) float64) float64 {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	var recent []string
	counts := map[string]int{}
	worst := 0.0
	for range 20 * window {
		service := r.Pick(next(random.IntN(vms)))
		recent = append(recent, service)
		counts[service]++
		if len(recent) <= window {
			continue
		}
		counts[recent[0]]--
		recent = recent[1:]
		for _, t := range r.Targets {
			worst = max(worst, math.Abs(float64(counts[t.Service])/window-t.Weight/total))
		}
	}
	return worst
}

// Guards against a target that exceeds its weight by a tenth of the requests over some
// hundred requests, which violates the contract for splits. Independent random numbers for
// each request cause such deviations, on few and on many VMs.
func TestSplit(t *testing.T) {
	for _, weights := range [][]float64{{1, 1}, {9, 1}, {5, 3, 2}, {97, 3}} {
		r := &Route{}
		for i, w := range weights {
			r.Targets = append(r.Targets, Target{Service: fmt.Sprint(i), Weight: w})
		}
		for _, vms := range []int{1, 20, 300} {
			for seed := range uint64(10) {
				random := rand.New(rand.NewPCG(seed, uint64(vms)))
				draws := make([]*Sequence, vms)
				for i := range draws {
					draws[i] = NewSequence(random.Float64())
				}
				got := deviation(r, vms, random, func(vm int) float64 { return draws[vm].Next() })
				independent := deviation(r, vms, random, func(int) float64 { return random.Float64() })
				if got > maxDeviation {
					t.Errorf("weights %v, %d VMs, seed %d: deviation %.3f (with independent numbers %.3f)", weights, vms, seed, got, independent)
				}
				if vms == 1 && got > 0.02 {
					t.Errorf("weights %v, one VM, seed %d: deviation %.3f (with independent numbers %.3f)", weights, seed, got, independent)
				}
			}
		}
	}
}
