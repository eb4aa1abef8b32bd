package balance

import (
	"slices"
	"testing"
)

// leastGoodput is the part of the answers in time at capacity that is left beyond it.
const leastGoodput = 0.85

// Answers the pattern of a load that rises at once to 2, 4 and 8 times what the upstreams'
// slots take. Guards against VMs that begin without a bound on the queries under way: each
// takes in thousands before the first refusal tells, and nearly all of them are late.
func TestASuddenLoadBeyondCapacityLeavesTheGoodput(t *testing.T) {
	goodput := func(pattern string) float64 {
		during, after := played(t, pattern, Standing)
		t.Logf("%s: %+v, after %+v", pattern, during, after)
		if mean(after) < 0.95 {
			t.Errorf("%s: worth %.3f from three seconds after its end on", pattern, mean(after))
		}
		return float64(during.InTime())
	}
	capacity := goodput("capacity")
	for _, pattern := range []string{"twice", "four-times", "eight-times"} {
		if part := goodput(pattern) / capacity; part < leastGoodput {
			t.Errorf("%s: %.2f of the answers in time at capacity", pattern, part)
		}
	}
}

// classMargin is how far the share of a class that is served in time may be below that of a
// less urgent one.
const classMargin = 0.05

// Guards against a limit that refuses the urgent as soon as the others, or that serves them
// late.
func TestBeyondCapacityTheUrgentAreRefusedLast(t *testing.T) {
	for _, pattern := range []string{"twice", "four-times", "eight-times"} {
		opts := DefaultOptions()
		opts.Pattern = Patterns[slices.IndexFunc(Patterns, func(p Pattern) bool { return p.Name == pattern })]
		opts.Seed = 1
		r := Play(opts)
		urgent, other := r.During["check"], r.During["sweep"]
		t.Logf("%s: urgent %+v, others %+v", pattern, urgent, other)
		if urgent.share(urgent.Refused) >= other.share(other.Refused) {
			t.Errorf("%s: refused of the urgent %+v, of the others %+v", pattern, urgent, other)
		}
		if urgent.share(urgent.InTime()) < other.share(other.InTime())-classMargin {
			t.Errorf("%s: in time of the urgent %+v, of the others %+v", pattern, urgent, other)
		}
	}
}

// Guards against a limit that refuses queries although the upstreams have free slots: at half
// of their capacity, and at 1.7 times the usual load with a quarter of the copies slow.
func TestBelowCapacityNothingIsRefusedForCongestion(t *testing.T) {
	for _, pattern := range []string{"quiet", "half", "slow-busy"} {
		during, after := played(t, pattern, Standing)
		t.Logf("%s: %+v, after %+v", pattern, during, after)
		if during.Congested > 0 || after.Congested > 0 {
			t.Errorf("%s: %d queries refused for congestion, %d after it", pattern, during.Congested, after.Congested)
		}
	}
}

// Guards against the same at further seeds: 7 of the first 20 had refusals at half of the
// capacity, as single pauses lowered limits that were not in use.
func TestHalfOfTheCapacityIsServedAtFurtherSeeds(t *testing.T) {
	for seed := uint64(seeds + 1); seed <= 20; seed++ {
		opts := DefaultOptions()
		opts.Pattern, opts.Seed = Pattern{Name: "half", Load: 0.5}, seed
		r := Play(opts)
		if n := Sum(r.During).Congested + Sum(r.After).Congested; n > 0 {
			t.Errorf("seed %d: %d queries refused for congestion", seed, n)
		}
	}
}
