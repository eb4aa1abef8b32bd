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
	start     = time.Unix(1000, 0)
	snapshot7 = &pb.Snapshot{Generation: 1, Version: 7}
)

func shardOf(replicas int) *contract.Shard {
	s := &contract.Shard{ID: 1, Documents: 10}
	for i := range replicas {
		s.Replicas = append(s.Replicas, &contract.Upstream{ID: fmt.Sprintf("search/%d", i), Service: "search"})
	}
	return s
}

// simulate sends one sub-request to replicas with the given answer times and
// withdraws it after timeout, as a hedge would. It returns the replica used.
func simulate(r *Router, now time.Time, s *contract.Shard, times []time.Duration, timeout time.Duration) int {
	i := r.PickReplica(now, query.ReplicaRequest{Shard: s, Snapshot: snapshot7, Explore: true})
	u := s.Replicas[i]
	r.RecordSend(now, u)
	if times[i] > timeout {
		r.Observe(now.Add(timeout), query.Observation{Upstream: u, Took: timeout})
		return i
	}
	r.Observe(now.Add(times[i]), query.Observation{Upstream: u, Took: times[i], Snapshot: snapshot7, Reply: &pb.SubReply{Result: pb.Result_OK, Snapshot: snapshot7}})
	return i
}

// Guards against using a straggler like any other replica. One replica is 20 times
// slower and every attempt there is withdrawn; if withdrawn attempts are not
// recorded, its latency stays unknown and the median of a scattered kind becomes
// the hedge delay instead of the service time of its upstreams.
func TestStragglerIsAvoided(t *testing.T) {
	r := New(Options{VM: "vm-1"})
	s := shardOf(3)
	times := []time.Duration{80 * ms, 4 * ms, 4 * ms}
	sent := make([]int, 3)
	now := start
	for range 6000 {
		sent[simulate(r, now, s, times, 10*ms)]++
		now = now.Add(10 * ms)
	}
	if sent[0] < 2 || sent[0] > 20 {
		t.Errorf("in a minute the straggler got %d sub-requests, want 2 to 20", sent[0])
	}
	if sent[1] < 2000 || sent[2] < 2000 {
		t.Errorf("the equal replicas did not take turns: %v", sent)
	}
}

// Guards against avoiding a replica forever once it was slow. It is slow for ten
// seconds, then as fast as its peers; without exploration nothing shows that it
// has recovered.
func TestRecoveredReplicaIsUsedAgain(t *testing.T) {
	r := New(Options{VM: "vm-1"})
	s := shardOf(2)
	now := start
	for range 1000 {
		simulate(r, now, s, []time.Duration{80 * ms, 4 * ms}, 10*ms)
		now = now.Add(10 * ms)
	}
	sent := make([]int, 2)
	for range 6000 {
		sent[simulate(r, now, s, []time.Duration{4 * ms, 4 * ms}, 10*ms)]++
		now = now.Add(10 * ms)
	}
	if sent[0] < 1000 {
		t.Errorf("in a minute after its recovery the replica got %d of 6000", sent[0])
	}
}

func TestHedgeDelay(t *testing.T) {
	r := New(Options{VM: "vm-1"})
	s := shardOf(3)
	kind := hedgedKind(5)
	if d, sure := r.HedgeDelay(start, kind, s, 0); d != defaultHedgeDelay || sure {
		t.Errorf("no observations: %v, %v", d, sure)
	}
	answer := func(u *contract.Upstream, d time.Duration) {
		for range 20 {
			r.Observe(start, query.Observation{Upstream: u, Took: d, Snapshot: snapshot7, Reply: &pb.SubReply{Result: pb.Result_OK, Snapshot: snapshot7}})
		}
	}
	answer(&contract.Upstream{ID: "search/9", Service: "search"}, 6*ms)
	if d, sure := r.HedgeDelay(start, kind, s, 0); d < 6*ms || d > 8*ms || !sure {
		t.Errorf("only the service has observations: %v, %v", d, sure)
	}
	answer(s.Replicas[1], 2*ms)
	if d, _ := r.HedgeDelay(start, kind, s, 0); d < 2*ms || d > 3*ms {
		t.Errorf("the shard's peers have observations: %v", d)
	}
	answer(s.Replicas[0], 80*ms)
	if d, _ := r.HedgeDelay(start, kind, s, 0); d > 6*ms {
		t.Errorf("the hedge delay of a known straggler is %v", d)
	}
}

func hedgedKind(percent float64) *contract.Kind {
	return &contract.Kind{Kind: &pb.Kind{HedgePercent: percent}}
}

// Guards against a hedge budget that normal latencies use up. If hedges wait only
// for the quantile 1 - budget, answers a little slower than most spend the whole
// budget, and a query over hundreds of shards waits for the first replica that
// stalls.
func TestHedgesUseAtMostHalfOfTheBudget(t *testing.T) {
	for _, c := range []struct{ percent, quantile float64 }{
		{1, 0.99}, {2, 0.99}, {3, 0.99}, {5, 0.975}, {8, 0.975}, {10, 0.95}, {100, 0.95},
	} {
		if got := hedgeQuantiles[hedgeQuantile(hedgedKind(c.percent))]; got != c.quantile {
			t.Errorf("with %g%% a hedge waits for the quantile %g, want %g", c.percent, got, c.quantile)
		}
	}
}
