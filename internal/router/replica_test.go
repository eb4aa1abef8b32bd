package router

import (
	"fmt"
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/query"
)

const ms = time.Millisecond

var (
	start   = time.Unix(1000, 0)
	pinned7 = &pb.Snapshot{Generation: 1, Version: 7}
)

func shardOf(replicas int) *contract.Shard {
	s := &contract.Shard{ID: 1, Documents: 10}
	for i := range replicas {
		s.Replicas = append(s.Replicas, &contract.Upstream{ID: fmt.Sprintf("search/%d", i), Service: "search"})
	}
	return s
}

// trial is one sub-request to a fleet where each replica has a fixed time and
// a hedge withdraws what takes longer than patience.
func trial(r *Router, now time.Time, s *contract.Shard, times []time.Duration, patience time.Duration) int {
	i := r.Replica(now, query.Want{Shard: s, Snapshot: pinned7, Explore: true})
	u := s.Replicas[i]
	r.Opened(now, u)
	if times[i] > patience {
		r.Observe(now.Add(patience), query.Observation{Upstream: u, Took: patience})
		return i
	}
	r.Observe(now.Add(times[i]), query.Observation{Upstream: u, Took: times[i], Snapshot: pinned7, Reply: &pb.SubReply{Result: pb.Result_OK, Snapshot: pinned7}})
	return i
}

// Symptom: the median of a scattered kind is the hedge delay, not the service
// time of its upstreams.
// Sequence: one replica is 20 times slower; every attempt there is withdrawn.
// Cause: a withdrawn attempt taught nothing, so the straggler stayed unknown and
// was chosen like any other.
func TestStragglerIsLeftAlone(t *testing.T) {
	r := New(Options{VM: "vm-1"})
	s := shardOf(3)
	times := []time.Duration{80 * ms, 4 * ms, 4 * ms}
	asked := make([]int, 3)
	now := start
	for range 6000 {
		asked[trial(r, now, s, times, 10*ms)]++
		now = now.Add(10 * ms)
	}
	if asked[0] < 2 || asked[0] > 20 {
		t.Errorf("in a minute the straggler was asked %d times, want a few trials", asked[0])
	}
	if asked[1] < 2000 || asked[2] < 2000 {
		t.Errorf("the equal replicas did not take turns: %v", asked)
	}
}

// Symptom: a replica that was slow once gets no load for good.
// Sequence: it is slow for ten seconds, then as fast as its peers.
// Cause: without a trial nothing ever shows that it has recovered.
func TestRecoveredReplicaIsFound(t *testing.T) {
	r := New(Options{VM: "vm-1"})
	s := shardOf(2)
	now := start
	for range 1000 {
		trial(r, now, s, []time.Duration{80 * ms, 4 * ms}, 10*ms)
		now = now.Add(10 * ms)
	}
	asked := make([]int, 2)
	for range 6000 {
		asked[trial(r, now, s, []time.Duration{4 * ms, 4 * ms}, 10*ms)]++
		now = now.Add(10 * ms)
	}
	if asked[0] < 1000 {
		t.Errorf("in a minute after its recovery the replica got %d of 6000", asked[0])
	}
}

func TestHedgeDelay(t *testing.T) {
	r := New(Options{VM: "vm-1"})
	s := shardOf(3)
	kind := hedgedKind(5)
	if d, sure := r.HedgeDelay(start, kind, s, 0); d != hedgeUnknown || sure {
		t.Errorf("nothing known: %v, %v", d, sure)
	}
	answer := func(u *contract.Upstream, d time.Duration) {
		for range 20 {
			r.Observe(start, query.Observation{Upstream: u, Took: d, Snapshot: pinned7, Reply: &pb.SubReply{Result: pb.Result_OK, Snapshot: pinned7}})
		}
	}
	answer(&contract.Upstream{ID: "search/9", Service: "search"}, 6*ms)
	if d, sure := r.HedgeDelay(start, kind, s, 0); d < 6*ms || d > 8*ms || !sure {
		t.Errorf("the service is known: %v, %v", d, sure)
	}
	answer(s.Replicas[1], 2*ms)
	if d, _ := r.HedgeDelay(start, kind, s, 0); d < 2*ms || d > 3*ms {
		t.Errorf("the shard's peers are known: %v", d)
	}
	answer(s.Replicas[0], 80*ms)
	if d, _ := r.HedgeDelay(start, kind, s, 0); d > 6*ms {
		t.Errorf("a known straggler is waited for %v", d)
	}
}

func hedgedKind(percent float64) *contract.Kind {
	return &contract.Kind{Kind: &pb.Kind{HedgePercent: percent}}
}

// Symptom: a query of hundreds of shards is as late as its slowest replica, though
// the kind may hedge.
// Sequence: every answer a little slower than most is hedged; then one stalls.
// Cause: waiting for the quantile 1 - budget uses the budget up on ordinary days.
func TestHedgesUseAtMostHalfOfTheBudget(t *testing.T) {
	for _, c := range []struct{ percent, quantile float64 }{
		{1, 0.99}, {2, 0.99}, {3, 0.99}, {5, 0.975}, {8, 0.975}, {10, 0.95}, {100, 0.95},
	} {
		if got := hedgeQuantiles[hedgeTail(hedgedKind(c.percent))]; got != c.quantile {
			t.Errorf("with %g%% a hedge waits for the quantile %g, want %g", c.percent, got, c.quantile)
		}
	}
}
