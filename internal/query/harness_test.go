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

// harness drives one query step by step. It is also the query's UpstreamPolicy: it picks
// replicas in order, skipping the unavailable ones.
type harness struct {
	t       *testing.T
	now     time.Time
	plan    *Plan
	query   *Query
	open    map[AttemptID]Action
	sent    []Action
	decodes []Action
	cancels []Action
	outcome *Outcome

	unavailable   map[string]bool
	repinMap      *contract.ShardMap
	repinSnapshot *pb.Snapshot
	hedge, retry  *retry.Budget
	observed      []Observation
}

// newShardMap returns a map of shards with replicas "<shard>a", "<shard>b" and so on.
func newShardMap(generation uint32, shards, replicas int) *contract.ShardMap {
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

func newHarness(t *testing.T, m *contract.ShardMap, change func(*pb.Kind)) *harness {
	k := &pb.Kind{Name: "search", DeadlineMs: 100, Idempotent: true, HedgePercent: 5, RetryPercent: 10, Merge: pb.Merge_TOP_K}
	if change != nil {
		change(k)
	}
	h := &harness{t: t, now: time.Unix(1000, 0), open: map[AttemptID]Action{}, unavailable: map[string]bool{},
		hedge: retry.NewBudget(k.HedgePercent), retry: retry.NewBudget(k.RetryPercent)}
	h.plan = &Plan{Kind: &contract.Kind{Kind: k, Customer: "c"}, Key: "k", Map: m, Snapshot: v7, Deadline: h.now.Add(100 * ms)}
	if k.SoftDeadlineMs > 0 {
		h.plan.SoftDeadline = h.now.Add(time.Duration(k.SoftDeadlineMs) * ms)
	}
	h.query = New(h.plan, h)
	return h
}

func (h *harness) PickReplica(_ time.Time, w ReplicaRequest) int {
	for i, u := range w.Shard.Replicas {
		if w.Tried&(1<<i) == 0 && !h.unavailable[u.ID] {
			return i
		}
	}
	return NoReplica
}
func (h *harness) RecordSend(time.Time, *contract.Upstream) {}
func (h *harness) HedgeDelay(time.Time, *contract.Kind, *contract.Shard, int) (time.Duration, bool) {
	return 10 * ms, true
}
func (h *harness) Observe(_ time.Time, o Observation) { h.observed = append(h.observed, o) }
func (h *harness) Earn(_ *contract.Kind, n int)       { h.hedge.Earn(n); h.retry.Earn(n) }
func (h *harness) Spend(_ *contract.Kind, c Cause) bool {
	if c == Hedge {
		return h.hedge.Spend()
	}
	return h.retry.Spend()
}
func (h *harness) Repin(time.Time, *contract.Service, *pb.Snapshot) (*contract.ShardMap, *pb.Snapshot, bool) {
	return h.repinMap, h.repinSnapshot, h.repinMap != nil
}

func (h *harness) take(actions []Action) {
	for _, a := range actions {
		switch a.Op {
		case OpSend:
			h.open[a.Attempt] = a
			h.sent = append(h.sent, a)
		case OpCancel:
			delete(h.open, a.Attempt)
			h.cancels = append(h.cancels, a)
		case OpDecode:
			h.decodes = append(h.decodes, a)
		case OpFinish:
			if h.outcome != nil {
				h.t.Error("the query finished twice")
			}
			h.outcome = a.Outcome
		}
	}
	// The query reuses the slice of actions. Clearing it exposes code that keeps it.
	clear(actions)
}

func (h *harness) start() *harness {
	h.take(h.query.Start(h.now))
	return h
}

// wait advances the clock by d and wakes the query whenever it asks for it.
func (h *harness) wait(d time.Duration) {
	end := h.now.Add(d)
	for {
		at := h.query.Next()
		if at.IsZero() || at.After(end) {
			break
		}
		if at.After(h.now) {
			h.now = at
		}
		h.take(h.query.Wake(h.now))
	}
	h.now = end
}

// attempt returns the open attempt at an upstream.
func (h *harness) attempt(upstream string) AttemptID {
	h.t.Helper()
	for id, a := range h.open {
		if a.Upstream.ID == upstream {
			return id
		}
	}
	h.t.Fatalf("no attempt is open at %s", upstream)
	return AttemptID{}
}

func (h *harness) reply(upstream string, rep *pb.SubReply) {
	h.t.Helper()
	id := h.attempt(upstream)
	delete(h.open, id)
	h.take(h.query.Reply(h.now, id, rep))
}

func (h *harness) fail(upstream string, result pb.Result) {
	h.t.Helper()
	h.reply(upstream, &pb.SubReply{Result: result})
}

// answer replies with one hit and decodes the body.
func (h *harness) answer(upstream string, at *pb.Snapshot) {
	h.t.Helper()
	h.reply(upstream, &pb.SubReply{Result: pb.Result_OK, Snapshot: at, Body: []byte(`{"hits":[{"id":"` + upstream + `"}]}`)})
	h.decode()
}

func (h *harness) decode() {
	for _, a := range h.decodes {
		hits, err := DecodeHits(a.Body)
		h.take(h.query.Decoded(h.now, a.Attempt, hits, err))
	}
	h.decodes = nil
}

// sentTrace lists the sub-requests sent, as "upstream:cause".
func (h *harness) sentTrace() []string {
	var out []string
	for _, a := range h.sent {
		s := a.Upstream.ID + ":" + a.Cause.String()
		if a.Standby {
			s += ":standby"
		}
		out = append(out, s)
	}
	return out
}

func (h *harness) wantSent(want ...string) {
	h.t.Helper()
	if got := fmt.Sprint(h.sentTrace()); got != fmt.Sprint(want) {
		h.t.Errorf("sent %v, want %v", got, want)
	}
}

// wantOutcome checks the outcome: the documents covered and, for each shard, why it is
// missing.
func (h *harness) wantOutcome(covered uint64, missing ...Missing) *Outcome {
	h.t.Helper()
	if h.outcome == nil {
		h.t.Fatal("the query has not ended")
	}
	if len(h.open) != 0 {
		h.t.Errorf("%d attempts were left open", len(h.open))
	}
	if h.outcome.Covered != covered {
		h.t.Errorf("covered %d, want %d", h.outcome.Covered, covered)
	}
	for i, want := range missing {
		if got := h.outcome.Shards[i].Missing; got != want {
			h.t.Errorf("shard %d is missing for %q, want %q", i, got, want)
		}
	}
	return h.outcome
}

// initialBudget is what a budget allows before anything is earned.
func initialBudget(percent float64) float64 {
	if percent == 0 {
		return 0
	}
	return 10
}

// newRetryBudget returns a budget that holds n retries and earns almost nothing.
func newRetryBudget(n int) *retry.Budget {
	b := retry.NewBudget(0.001)
	for range 10 - n {
		b.Spend()
	}
	return b
}
