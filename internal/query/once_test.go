package query

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"pgregory.net/rapid"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// TestMain fixes rapid's seed, so that every run draws the same events.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "11", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// anyReplica gives the replicas in turn and every budget asked for.
type anyReplica struct{}

func (anyReplica) Replica(_ time.Time, w Want) int {
	for i := range w.Shard.Replicas {
		if w.Tried&(1<<i) == 0 {
			return i
		}
	}
	return NoReplica
}
func (anyReplica) Opened(time.Time, *contract.Upstream) {}
func (anyReplica) Observe(time.Time, Observation)       {}
func (anyReplica) Earn(*contract.Kind, int)             {}
func (anyReplica) Spend(*contract.Kind, Cause) bool     { return true }
func (anyReplica) Repin(time.Time, *contract.Service, *pb.Snapshot) (*contract.ShardMap, *pb.Snapshot, bool) {
	m := payment(time.Time{}).Map
	return m, &pb.Snapshot{Generation: 1, Version: 2}, true
}
func (anyReplica) HedgeDelay(time.Time, *contract.Kind, *contract.Shard, int) (time.Duration, bool) {
	return time.Millisecond, true
}

// payment is a plan that may run once, at one shard with four replicas. It asks
// for hedges and retries, which it must not get.
func payment(start time.Time) *Plan {
	shard := &contract.Shard{Documents: 1}
	for range 4 {
		shard.Replicas = append(shard.Replicas, &contract.Upstream{})
	}
	return &Plan{
		Kind:      &contract.Kind{Kind: &pb.Kind{HedgePercent: 100, RetryPercent: 100, CoverageFloor: 1}},
		Snapshot:  &pb.Snapshot{Generation: 1, Version: 1},
		Map:       &contract.ShardMap{Generation: 1, Shards: []*contract.Shard{shard}},
		Deadline:  start.Add(100 * time.Millisecond),
		ConfirmBy: start.Add(150 * time.Millisecond),
	}
}

// proofs are the results that say "not run"; kept apart from the code's own list.
var proofs = map[pb.Result]bool{
	pb.Result_SHED: true, pb.Result_NOT_OWNER: true, pb.Result_NO_SNAPSHOT: true,
	pb.Result_QUEUE_FULL: true, pb.Result_TOO_LATE: true, pb.Result_CANCELLED: true,
	pb.Result_UPSTREAM_LEAVING: true, pb.Result_UNREACHABLE: true, pb.Result_VM_STOPPING: true,
	pb.Result_OWNER_UNREACHABLE: true,
}

// caller follows one query and what each of its attempts came to.
type caller struct {
	query   *Query
	results map[AttemptID]pb.Result
	open    map[AttemptID]bool
	decode  []AttemptID
	outcome *Outcome
}

func (c *caller) take(t *rapid.T, actions []Action) {
	for _, a := range actions {
		switch a.Op {
		case OpSend:
			for id := range c.results {
				if c.open[id] || !proofs[c.results[id]] {
					t.Fatalf("attempt %v sent while %v is unproven (%s)", a.Attempt, id, c.results[id])
				}
			}
			c.results[a.Attempt] = pb.Result_RESULT_UNSPECIFIED
			c.open[a.Attempt] = true
		case OpDecode:
			c.decode = append(c.decode, a.Attempt)
		case OpFinish:
			c.outcome = a.Outcome
		}
	}
}

func (c *caller) check(t *rapid.T) {
	if c.outcome == nil || c.outcome.Ran || c.outcome.Unsure {
		return
	}
	for id, r := range c.results {
		if c.open[id] || !proofs[r] {
			t.Fatalf("not run, but attempt %v is open or ended as %s", id, r)
		}
	}
}

// Symptom: a payment is made twice, or "not run" is said of one that was made.
// Sequence: answers, refusals, silence and results of a newer daemon come in any
// order, before and after the deadline.
// Cause: another attempt, or a claim, that rests on anything but proof.
func TestOneAttemptButOnProof(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		c := &caller{query: New(payment(now), anyReplica{}), results: map[AttemptID]pb.Result{}, open: map[AttemptID]bool{}}
		c.take(t, c.query.Start(now))
		for c.outcome == nil {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			c.step(t, now)
		}
		c.check(t)
	})
}

func (c *caller) step(t *rapid.T, now time.Time) {
	var open []AttemptID
	for id := range c.open {
		if c.open[id] {
			open = append(open, id)
		}
	}
	if len(c.decode) > 0 && rapid.Bool().Draw(t, "decoded") {
		id := c.decode[0]
		c.decode = c.decode[1:]
		var err error
		if rapid.Bool().Draw(t, "malformed") {
			err = trace.BadParameter("malformed")
		}
		c.take(t, c.query.Decoded(now, id, nil, err))
		return
	}
	if len(open) == 0 || rapid.Bool().Draw(t, "time passes") {
		c.take(t, c.query.Wake(now))
		return
	}
	// 99 stands for a result that this daemon does not know.
	r := pb.Result(rapid.SampledFrom([]int32{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 99}).Draw(t, "result"))
	snapshot := &pb.Snapshot{Generation: 1, Version: rapid.Uint64Range(1, 2).Draw(t, "version")}
	c.results[open[0]] = r
	c.open[open[0]] = false
	c.take(t, c.query.Reply(now, open[0], &pb.SubReply{Result: r, Snapshot: snapshot}))
}

// Symptom: a caller is told "unknown" of a payment that waited in an owner's queue
// all the time.
// Sequence: the deadline passes; the owner is asked to take the request back and
// confirms it.
// Cause: a query that ends at its deadline without waiting for the owner's word.
func TestOwnersWordAfterTheDeadline(t *testing.T) {
	for _, c := range []struct {
		name        string
		word        pb.Result
		ran, unsure bool
	}{
		{"taken back", pb.Result_CANCELLED, false, false},
		{"expired in the queue", pb.Result_TOO_LATE, false, false},
		{"it had left", pb.Result_UNKNOWN, false, true},
		{"it had been answered", pb.Result_OK, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			plan := payment(start)
			q := New(plan, anyReplica{})
			q.Start(start)
			actions := q.Wake(plan.Deadline)
			if len(actions) != 1 {
				t.Fatalf("%d actions at the deadline, want one Withdraw", len(actions))
			}
			w := actions[0]
			if w.Op != OpWithdraw {
				t.Fatalf("operation %d, want OpWithdraw", w.Op)
			}
			if !q.Next().Equal(plan.ConfirmBy) {
				t.Fatalf("waits until %v, want %v", q.Next(), plan.ConfirmBy)
			}
			actions = q.Reply(plan.Deadline.Add(time.Millisecond), w.Attempt, &pb.SubReply{Result: c.word, Snapshot: plan.Snapshot})
			if last := actions[len(actions)-1]; last.Op == OpDecode {
				actions = q.Decoded(plan.Deadline.Add(time.Millisecond), last.Attempt, nil, nil)
			}
			out := actions[len(actions)-1].Outcome
			if out.Ran != c.ran || out.Unsure != c.unsure {
				t.Fatalf("ran %v, unsure %v", out.Ran, out.Unsure)
			}
		})
	}
	t.Run("no word", func(t *testing.T) {
		plan := payment(time.Unix(1000, 0))
		q := New(plan, anyReplica{})
		q.Start(time.Unix(1000, 0))
		q.Wake(plan.Deadline)
		actions := q.Wake(plan.ConfirmBy)
		if out := actions[len(actions)-1].Outcome; !out.Unsure {
			t.Fatal("an open attempt was taken for one that did not run")
		}
	})
}
