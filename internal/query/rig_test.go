package query

import (
	"fmt"
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/retry"
)

const ms = time.Millisecond

var (
	v7 = &pb.Snapshot{Generation: 1, Version: 7}
	v8 = &pb.Snapshot{Generation: 1, Version: 8}
)

// rig drives one query by hand. It is its fleet: replicas are taken in order,
// but for those in without.
type rig struct {
	t       *testing.T
	now     time.Time
	plan    *Plan
	query   *Query
	open    map[AttemptID]Action
	sent    []Action
	decodes []Action
	cancels []Action
	outcome *Outcome

	without      map[string]bool
	repin        *contract.ShardMap
	repinned     *pb.Snapshot
	hedge, retry *retry.Budget
	observed     []Observation
}

// mapOf makes a map of shards with replicas "<shard>a", "<shard>b" and so on.
func mapOf(generation uint32, shards, replicas int) *contract.ShardMap {
	m := &contract.ShardMap{Generation: generation}
	for i := range shards {
		s := &contract.Shard{ID: uint32(i), Documents: 10}
		for j := range replicas {
			s.Replicas = append(s.Replicas, &contract.Upstream{ID: fmt.Sprintf("%d%c", i, 'a'+j)})
		}
		m.Shards = append(m.Shards, s)
		m.Documents += s.Documents
	}
	return m
}

func newRig(t *testing.T, m *contract.ShardMap, change func(*pb.Kind)) *rig {
	k := &pb.Kind{Name: "search", DeadlineMs: 100, Idempotent: true, HedgePercent: 5, RetryPercent: 10, Merge: pb.Merge_TOP_K}
	if change != nil {
		change(k)
	}
	r := &rig{t: t, now: time.Unix(1000, 0), open: map[AttemptID]Action{}, without: map[string]bool{},
		hedge: retry.NewBudget(k.HedgePercent), retry: retry.NewBudget(k.RetryPercent)}
	r.plan = &Plan{Kind: &contract.Kind{Kind: k, Customer: "c"}, Key: "k", Map: m, Snapshot: v7, Deadline: r.now.Add(100 * ms)}
	if k.SoftDeadlineMs > 0 {
		r.plan.SoftDeadline = r.now.Add(time.Duration(k.SoftDeadlineMs) * ms)
	}
	r.query = New(r.plan, r)
	return r
}

func (r *rig) Replica(_ time.Time, w Want) int {
	for i, u := range w.Shard.Replicas {
		if w.Tried&(1<<i) == 0 && !r.without[u.ID] {
			return i
		}
	}
	return NoReplica
}
func (r *rig) Opened(time.Time, *contract.Upstream) {}
func (r *rig) HedgeDelay(time.Time, *contract.Kind, *contract.Shard, int) (time.Duration, bool) {
	return 10 * ms, true
}
func (r *rig) Observe(_ time.Time, o Observation) { r.observed = append(r.observed, o) }
func (r *rig) Earn(_ *contract.Kind, n int)       { r.hedge.Earn(n); r.retry.Earn(n) }
func (r *rig) Spend(_ *contract.Kind, c Cause) bool {
	if c == Hedge {
		return r.hedge.Spend()
	}
	return r.retry.Spend()
}
func (r *rig) Repin(time.Time, *contract.Service, *pb.Snapshot) (*contract.ShardMap, *pb.Snapshot, bool) {
	return r.repin, r.repinned, r.repin != nil
}

func (r *rig) take(actions []Action) {
	for _, a := range actions {
		switch a.Op {
		case OpSend:
			r.open[a.Attempt] = a
			r.sent = append(r.sent, a)
		case OpCancel:
			delete(r.open, a.Attempt)
			r.cancels = append(r.cancels, a)
		case OpDecode:
			r.decodes = append(r.decodes, a)
		case OpFinish:
			if r.outcome != nil {
				r.t.Error("the query finished twice")
			}
			r.outcome = a.Outcome
		}
	}
	// The query reuses its actions: keeping them would hide it.
	clear(actions)
}

func (r *rig) start() *rig {
	r.take(r.query.Start(r.now))
	return r
}

// wait lets time pass, waking the query as it asks for.
func (r *rig) wait(d time.Duration) {
	end := r.now.Add(d)
	for {
		at := r.query.Next()
		if at.IsZero() || at.After(end) {
			break
		}
		if at.After(r.now) {
			r.now = at
		}
		r.take(r.query.Wake(r.now))
	}
	r.now = end
}

// attempt finds the open attempt at an upstream.
func (r *rig) attempt(upstream string) AttemptID {
	r.t.Helper()
	for id, a := range r.open {
		if a.Upstream.ID == upstream {
			return id
		}
	}
	r.t.Fatalf("nothing is open at %s", upstream)
	return AttemptID{}
}

func (r *rig) reply(upstream string, rep *pb.SubReply) {
	r.t.Helper()
	id := r.attempt(upstream)
	delete(r.open, id)
	r.take(r.query.Reply(r.now, id, rep))
}

func (r *rig) fail(upstream string, result pb.Result) {
	r.t.Helper()
	r.reply(upstream, &pb.SubReply{Result: result})
}

// answer replies and has the body decoded.
func (r *rig) answer(upstream string, at *pb.Snapshot) {
	r.t.Helper()
	r.reply(upstream, &pb.SubReply{Result: pb.Result_OK, Snapshot: at, Body: []byte(`{"hits":[{"id":"` + upstream + `"}]}`)})
	r.decode()
}

func (r *rig) decode() {
	for _, a := range r.decodes {
		hits, err := DecodeHits(a.Body)
		r.take(r.query.Decoded(r.now, a.Attempt, hits, err))
	}
	r.decodes = nil
}

// trace lists what was sent, as "upstream:cause".
func (r *rig) trace() []string {
	var out []string
	for _, a := range r.sent {
		s := a.Upstream.ID + ":" + a.Cause.String()
		if a.Standby {
			s += ":standby"
		}
		out = append(out, s)
	}
	return out
}

func (r *rig) wantTrace(want ...string) {
	r.t.Helper()
	if got := fmt.Sprint(r.trace()); got != fmt.Sprint(want) {
		r.t.Errorf("sent %v, want %v", got, want)
	}
}

// wantEnd checks how the query ended: the documents covered and, for each
// shard, why it is missing.
func (r *rig) wantEnd(covered uint64, missing ...Missing) *Outcome {
	r.t.Helper()
	if r.outcome == nil {
		r.t.Fatal("the query has not ended")
	}
	if len(r.open) != 0 {
		r.t.Errorf("%d attempts were left open", len(r.open))
	}
	if r.outcome.Covered != covered {
		r.t.Errorf("covered %d, want %d", r.outcome.Covered, covered)
	}
	for i, want := range missing {
		if got := r.outcome.Shards[i].Missing; got != want {
			r.t.Errorf("shard %d is missing for %q, want %q", i, got, want)
		}
	}
	return r.outcome
}

// burstOf is what a budget may spend before anything is earned.
func burstOf(percent float64) float64 {
	if percent == 0 {
		return 0
	}
	return 10
}

// retryOf is a budget that holds n retries and earns next to nothing.
func retryOf(n int) *retry.Budget {
	b := retry.NewBudget(0.001)
	for range 10 - n {
		b.Spend()
	}
	return b
}
