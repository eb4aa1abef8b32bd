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

// permissivePolicy picks the replicas in turn and allows every hedge and retry.
type permissivePolicy struct{}

func (permissivePolicy) PickReplica(_ time.Time, w ReplicaRequest) int {
	for i := range w.Shard.Replicas {
		if w.Tried&(1<<i) == 0 {
			return i
		}
	}
	return NoReplica
}
func (permissivePolicy) RecordSend(time.Time, *contract.Upstream) {}
func (permissivePolicy) Observe(time.Time, Observation)           {}
func (permissivePolicy) Earn(*contract.Kind, int)                 {}
func (permissivePolicy) Spend(*contract.Kind, Cause) bool         { return true }
func (permissivePolicy) Repin(time.Time, *contract.Service, *pb.Snapshot) (*contract.ShardMap, *pb.Snapshot, bool) {
	m := nonIdempotentPlan(time.Time{}).Map
	return m, &pb.Snapshot{Generation: 1, Version: 2}, true
}
func (permissivePolicy) HedgeDelay(time.Time, *contract.Kind, *contract.Shard, int) (time.Duration, bool) {
	return time.Millisecond, true
}

// nonIdempotentPlan is a plan for one shard with four replicas whose request may run
// only once. Its kind allows hedges and retries, which the query must not send.
func nonIdempotentPlan(start time.Time) *Plan {
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

// provenNotRun lists the results that prove that a sub-request did not run. It is kept
// apart from the list in provesNotRun, to check that one.
var provenNotRun = map[pb.Result]bool{
	pb.Result_SHED: true, pb.Result_NOT_OWNER: true, pb.Result_NO_SNAPSHOT: true,
	pb.Result_QUEUE_FULL: true, pb.Result_TOO_LATE: true, pb.Result_CANCELLED: true,
	pb.Result_UPSTREAM_LEAVING: true, pb.Result_UNREACHABLE: true, pb.Result_VM_STOPPING: true,
	pb.Result_OWNER_UNREACHABLE: true,
}

// queryTracker follows one query and the results of its attempts.
type queryTracker struct {
	query   *Query
	results map[AttemptID]pb.Result
	open    map[AttemptID]bool
	decode  []AttemptID
	outcome *Outcome
}

func (c *queryTracker) take(t *rapid.T, actions []Action) {
	for _, a := range actions {
		switch a.Op {
		case OpSend:
			for id := range c.results {
				if c.open[id] || !provenNotRun[c.results[id]] {
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

func (c *queryTracker) check(t *rapid.T) {
	if c.outcome == nil || c.outcome.Ran || c.outcome.MayHaveRun {
		return
	}
	for id, r := range c.results {
		if c.open[id] || !provenNotRun[r] {
			t.Fatalf("not run, but attempt %v is open or ended as %s", id, r)
		}
	}
}

// Guards against running a non-idempotent request twice, and against reporting "not
// run" for one that ran: answers, refusals, silence and results of a newer daemon
// arrive in any order, before and after the deadline. A further attempt or a "not run"
// needs proof for every attempt before it.
func TestResendsOnlyAfterProofOfNotRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		c := &queryTracker{query: New(nonIdempotentPlan(now), permissivePolicy{}), results: map[AttemptID]pb.Result{}, open: map[AttemptID]bool{}}
		c.take(t, c.query.Start(now))
		for c.outcome == nil {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			c.step(t, now)
		}
		c.check(t)
	})
}

func (c *queryTracker) step(t *rapid.T, now time.Time) {
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
	// 99 is a result that this version does not know.
	r := pb.Result(rapid.SampledFrom([]int32{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 99}).Draw(t, "result"))
	snapshot := &pb.Snapshot{Generation: 1, Version: rapid.Uint64Range(1, 2).Draw(t, "version")}
	c.results[open[0]] = r
	c.open[open[0]] = false
	c.take(t, c.query.Reply(now, open[0], &pb.SubReply{Result: r, Snapshot: snapshot}))
}

// Guards against an unknown outcome for a request that never left an owner's queue: at
// the deadline the owner is asked to cancel it and confirms. The query must wait for
// that reply before it ends.
func TestConfirmedCancelAfterDeadline(t *testing.T) {
	for _, c := range []struct {
		name        string
		reply       pb.Result
		ran, unsure bool
	}{
		{"cancelled by the owner", pb.Result_CANCELLED, false, false},
		{"expired in the queue", pb.Result_TOO_LATE, false, false},
		{"already sent", pb.Result_UNKNOWN, false, true},
		{"already answered", pb.Result_OK, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			plan := nonIdempotentPlan(start)
			q := New(plan, permissivePolicy{})
			q.Start(start)
			actions := q.Wake(plan.Deadline)
			if len(actions) != 1 {
				t.Fatalf("%d actions at the deadline, want one OpConfirmCancel", len(actions))
			}
			w := actions[0]
			if w.Op != OpConfirmCancel {
				t.Fatalf("operation %d, want OpConfirmCancel", w.Op)
			}
			if !q.Next().Equal(plan.ConfirmBy) {
				t.Fatalf("waits until %v, want %v", q.Next(), plan.ConfirmBy)
			}
			actions = q.Reply(plan.Deadline.Add(time.Millisecond), w.Attempt, &pb.SubReply{Result: c.reply, Snapshot: plan.Snapshot})
			if last := actions[len(actions)-1]; last.Op == OpDecode {
				actions = q.Decoded(plan.Deadline.Add(time.Millisecond), last.Attempt, nil, nil)
			}
			out := actions[len(actions)-1].Outcome
			if out.Ran != c.ran || out.MayHaveRun != c.unsure {
				t.Fatalf("ran %v, unsure %v", out.Ran, out.MayHaveRun)
			}
		})
	}
	t.Run("no confirmation", func(t *testing.T) {
		plan := nonIdempotentPlan(time.Unix(1000, 0))
		q := New(plan, permissivePolicy{})
		q.Start(time.Unix(1000, 0))
		q.Wake(plan.Deadline)
		actions := q.Wake(plan.ConfirmBy)
		if out := actions[len(actions)-1].Outcome; !out.MayHaveRun {
			t.Fatal("the outcome reports an open attempt as not run")
		}
	})
}
