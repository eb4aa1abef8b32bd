package query

import (
	"testing"

	"pgregory.net/rapid"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

func notIdempotent(k *pb.Kind) {
	k.Idempotent = false
	k.Merge = pb.Merge_SINGLE
}

// Guards against a slow replica that delays the whole query: 0a does not answer, and 0b
// answers the hedge. The first attempt must be cancelled and its elapsed time observed.
func TestHedgeWinsAndLoserIsCancelled(t *testing.T) {
	h := newHarness(t, newShardMap(1, 2, 2), nil).start()
	h.query.Sent(h.attempt("0a"), 77, "vm-3")
	h.answer("1a", v7)
	h.wait(12 * ms)
	h.answer("0b", v7)
	out := h.wantOutcome(20)
	h.wantSent("0a:first", "1a:first", "0b:hedge")
	if len(h.cancels) != 1 || h.cancels[0].WireID != 77 || h.cancels[0].VM != "vm-3" {
		t.Errorf("cancelled %+v, want attempt 77 at vm-3 alone", h.cancels)
	}
	var bound Observation
	for _, o := range h.observed {
		if o.Reply == nil {
			bound = o
		}
	}
	if bound.Upstream == nil || bound.Upstream.ID != "0a" || bound.Took != 12*ms {
		t.Errorf("observed %+v for the cancelled attempt", bound)
	}
	if why := out.Shards[0].Attempts[1].Why; why != "no answer after 10ms" {
		t.Errorf("the hedge has Why %q", why)
	}
}

// Guards against a query that waits for its deadline although no shard can answer any
// more: every replica of shard 0 fails and shard 1 answers.
func TestFailsAsSoonAsNothingCanAnswer(t *testing.T) {
	for _, c := range []struct {
		name    string
		result  pb.Result
		retries int
		sent    int
		why     Missing
	}{
		{name: "budget for one retry", result: pb.Result_UPSTREAM_ERROR, retries: 1, sent: 2, why: MissingFailed},
		{name: "no budget left", result: pb.Result_UNKNOWN, sent: 1, why: MissingUnknown},
		{name: "leaving", result: pb.Result_UPSTREAM_LEAVING, sent: 2, why: MissingNoReplica},
		{name: "all replicas unreachable, with a long retry-after", result: pb.Result_UNREACHABLE, sent: 2, why: MissingNoReplica},
		{name: "too late", result: pb.Result_TOO_LATE, sent: 2, why: MissingDeadline},
		{name: "snapshot missing and none to restart at", result: pb.Result_NO_SNAPSHOT, sent: 2, why: MissingSnapshot},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, newShardMap(1, 2, 2), nil)
			h.retry = newRetryBudget(c.retries)
			h.start()
			h.answer("1a", v7)
			for _, u := range []string{"0a", "0b"}[:c.sent] {
				h.reply(u, &pb.SubReply{Result: c.result, RetryAfterMs: 300})
			}
			out := h.wantOutcome(10, c.why, "")
			if out.TimedOut || out.Coverage() != 0.5 {
				t.Errorf("timed out %v, coverage %v", out.TimedOut, out.Coverage())
			}
		})
	}
}

func TestRetriesAndRedirects(t *testing.T) {
	for _, c := range []struct {
		name     string
		replicas int
		change   func(*pb.Kind)
		steps    func(h *harness)
		sent     []string
		covered  uint64
		missing  Missing
	}{
		{name: "replica unreachable", replicas: 2, steps: func(h *harness) {
			h.fail("0a", pb.Result_UNREACHABLE)
			h.answer("0b", v7)
		}, sent: []string{"0a:first", "0b:redirect"}, covered: 10},
		{name: "owner VM unreachable: via the standby VM, then another replica", replicas: 2, steps: func(h *harness) {
			h.fail("0a", pb.Result_OWNER_UNREACHABLE)
			h.fail("0a", pb.Result_NOT_OWNER)
			h.answer("0b", v7)
		}, sent: []string{"0a:first", "0a:redirect:standby", "0b:redirect"}, covered: 10},
		{name: "only replica sheds: retried after its retry-after", replicas: 1, steps: func(h *harness) {
			h.reply("0a", &pb.SubReply{Result: pb.Result_SHED, RetryAfterMs: 30})
			h.wait(29 * ms)
			if len(h.sent) != 1 {
				h.t.Error("sent before the retry-after had passed")
			}
			h.wait(ms)
			h.answer("0a", v7)
		}, sent: []string{"0a:first", "0a:redirect"}, covered: 10},
		{name: "all replicas unreachable: retried after a pause", replicas: 2, steps: func(h *harness) {
			h.fail("0a", pb.Result_UNREACHABLE)
			h.fail("0b", pb.Result_UNREACHABLE)
			h.wait(reconnectPause)
			h.answer("0a", v7)
		}, sent: []string{"0a:first", "0b:redirect", "0a:redirect"}, covered: 10},
		{name: "three replicas unreachable: each is retried once", replicas: 3, steps: func(h *harness) {
			for _, u := range []string{"0a", "0b", "0c"} {
				h.fail(u, pb.Result_UNREACHABLE)
			}
			h.wait(reconnectPause)
			h.fail("0a", pb.Result_UNREACHABLE)
			h.fail("0b", pb.Result_UNREACHABLE)
			h.answer("0c", v7)
		}, sent: []string{"0a:first", "0b:redirect", "0c:redirect", "0a:redirect", "0b:redirect", "0c:redirect"}, covered: 10},
		{name: "only replica stays unreachable: one retry", replicas: 1, steps: func(h *harness) {
			h.fail("0a", pb.Result_UNREACHABLE)
			h.wait(reconnectPause)
			h.fail("0a", pb.Result_UNREACHABLE)
		}, sent: []string{"0a:first", "0a:redirect"}, missing: MissingNoReplica},
		{name: "retry-after beyond the deadline: fails at once", replicas: 1, steps: func(h *harness) {
			h.reply("0a", &pb.SubReply{Result: pb.Result_SHED, RetryAfterMs: 500})
		}, sent: []string{"0a:first"}, missing: MissingShed},
		{name: "always shed: attempts are limited", replicas: 1, steps: func(h *harness) {
			for range maxAttempts {
				h.fail("0a", pb.Result_SHED)
				h.wait(80 * ms)
			}
		}, sent: []string{"0a:first", "0a:redirect", "0a:redirect", "0a:redirect", "0a:redirect", "0a:redirect"}, missing: MissingShed},
		{name: "malformed answer", replicas: 2, steps: func(h *harness) {
			h.reply("0a", &pb.SubReply{Result: pb.Result_OK, Snapshot: v7, Body: []byte(`{"hits":[`)})
			h.decode()
			h.answer("0b", v7)
		}, sent: []string{"0a:first", "0b:retry"}, covered: 10},
		{name: "answer without hits", replicas: 1, change: func(k *pb.Kind) { k.RetryPercent = 0 }, steps: func(h *harness) {
			h.reply("0a", &pb.SubReply{Result: pb.Result_OK, Snapshot: v7, Body: []byte(`{}`)})
			h.decode()
		}, sent: []string{"0a:first"}, missing: MissingMalformed},
		{name: "wrong snapshot", replicas: 2, steps: func(h *harness) {
			h.answer("0a", v8)
			h.answer("0b", v7)
		}, sent: []string{"0a:first", "0b:retry"}, covered: 10},
		{name: "not idempotent: an unknown outcome is final", replicas: 2, change: notIdempotent, steps: func(h *harness) {
			h.fail("0a", pb.Result_UNKNOWN)
		}, sent: []string{"0a:first"}, missing: MissingUnknown},
		{name: "not idempotent: an upstream error is final", replicas: 2, change: notIdempotent, steps: func(h *harness) {
			h.fail("0a", pb.Result_UPSTREAM_ERROR)
		}, sent: []string{"0a:first"}, missing: MissingFailed},
		{name: "not idempotent: a malformed answer is final", replicas: 2, change: notIdempotent, steps: func(h *harness) {
			h.reply("0a", &pb.SubReply{Result: pb.Result_OK, Snapshot: v7, Body: []byte("?")})
			h.decode()
		}, sent: []string{"0a:first"}, missing: MissingMalformed},
		{name: "not idempotent: a confirmed cancel is redirected", replicas: 2, change: notIdempotent, steps: func(h *harness) {
			h.fail("0a", pb.Result_CANCELLED)
			h.answer("0b", v7)
		}, sent: []string{"0a:first", "0b:redirect"}, covered: 10},
		{name: "not idempotent: no hedge", replicas: 2, change: notIdempotent, steps: func(h *harness) {
			h.wait(140 * ms)
			h.answer("0a", v7)
		}, sent: []string{"0a:first"}, covered: 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, newShardMap(1, 1, c.replicas), c.change)
			h.plan.Deadline = h.now.Add(450 * ms)
			h.start()
			c.steps(h)
			h.wantOutcome(c.covered, c.missing)
			h.wantSent(c.sent...)
		})
	}
}

// Guards against an answer that mixes two versions of the index, and against losing a
// shard while a new version is being deployed: shard 0 answers from the pinned
// snapshot, then no replica of shard 1 has it any more. Another snapshot is ready, in
// the second case with another shard map.
func TestRestartsAtAnotherSnapshot(t *testing.T) {
	for _, c := range []struct {
		name   string
		shards int
	}{{"version change", 2}, {"repartition", 3}} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, newShardMap(1, 2, 2), nil).start()
			h.repinMap, h.repinSnapshot = newShardMap(2, c.shards, 2), v8
			h.answer("0a", v7)
			stale := h.attempt("1a")
			h.fail("1a", pb.Result_NO_SNAPSHOT)
			h.fail("1b", pb.Result_NO_SNAPSHOT)
			if n := len(h.open); n != c.shards {
				t.Fatalf("%d attempts are open after the restart", n)
			}
			// A reply of the previous round must change nothing.
			h.take(h.query.Reply(h.now, stale, &pb.SubReply{Result: pb.Result_OK, Snapshot: v7, Body: []byte(`{"hits":[]}`)}))
			h.answer("0a", v8)
			h.answer("1a", v8)
			if c.shards == 3 {
				h.answer("2a", v8)
			}
			out := h.wantOutcome(uint64(10 * c.shards))
			if out.Snapshot != v8 || len(out.Restarts) != 1 || out.Restarts[0].Discarded != 1 || out.Stats.Sent[Restart] != c.shards {
				t.Errorf("ended with %+v", out)
			}
		})
	}
}

func TestRestartIsRefused(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*pb.Kind)
		before func(h *harness)
	}{
		{name: "too little time left", before: func(h *harness) { h.wait(80 * ms) }},
		{name: "no other snapshot available", before: func(h *harness) { h.repinMap = nil }},
		{name: "second restart", before: func(h *harness) { h.fail("0a", pb.Result_NO_SNAPSHOT); h.repinSnapshot = v7 }},
		{name: "not idempotent and may have run", change: notIdempotent, before: func(h *harness) { h.query.mayHaveRun = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, newShardMap(1, 1, 1), c.change)
			h.plan.Kind.HedgePercent = 0
			h.repinMap, h.repinSnapshot = newShardMap(1, 1, 1), v8
			h.start()
			c.before(h)
			h.fail("0a", pb.Result_NO_SNAPSHOT)
			if h.outcome == nil || h.outcome.Covered != 0 || h.outcome.Shards[0].Missing != MissingSnapshot {
				t.Errorf("ended with %+v", h.outcome)
			}
		})
	}
	h := newHarness(t, newShardMap(1, 1, 1), notIdempotent)
	h.repinMap, h.repinSnapshot = newShardMap(1, 1, 1), v8
	h.start()
	h.fail("0a", pb.Result_NO_SNAPSHOT)
	h.answer("0a", v8)
	h.wantOutcome(10)
}

// Guards against counting an answer twice and changing an answer already given: the
// first attempt and its hedge both answer, and replies arrive again after their shard
// and after the whole query has ended.
func TestLateAndDuplicateReplies(t *testing.T) {
	h := newHarness(t, newShardMap(1, 2, 2), nil).start()
	h.wait(12 * ms)
	first, hedge := h.attempt("0a"), h.attempt("0b")
	ok := &pb.SubReply{Result: pb.Result_OK, Snapshot: v7, Body: []byte(`{"hits":[{"id":"x"}]}`)}
	for _, id := range []AttemptID{first, first, hedge} {
		delete(h.open, id)
		h.take(h.query.Reply(h.now, id, ok))
	}
	h.decode()
	h.answer("1a", v7)
	h.wantOutcome(20)
	h.take(h.query.Reply(h.now, hedge, ok))
	h.take(h.query.Decoded(h.now, first, nil, nil))
	h.take(h.query.Wake(h.now))
	if len(h.outcome.Shards[0].Hits) != 1 {
		t.Errorf("shard 0 gave %d hits", len(h.outcome.Shards[0].Hits))
	}
}

// Guards against losing a shard although one replica answered validly: the first
// attempt and its hedge both answer before either is decoded, and the first body is
// malformed. The second answer must not be dropped as a duplicate.
func TestSecondAnswerReplacesMalformedFirst(t *testing.T) {
	h := newHarness(t, newShardMap(1, 1, 2), func(k *pb.Kind) { k.RetryPercent = 0 }).start()
	h.wait(12 * ms)
	h.reply("0a", &pb.SubReply{Result: pb.Result_OK, Snapshot: v7, Body: []byte("{")})
	h.answer("0b", v7)
	h.wantOutcome(10)
}

// Guards against queries that end empty after a pause of the process: it stops until
// after the deadline, and the replies that arrived meanwhile are handled before Wake.
// Reply must not apply the deadline.
func TestRepliesBeforeDeadlineAfterPause(t *testing.T) {
	h := newHarness(t, newShardMap(1, 3, 1), nil).start()
	h.now = h.now.Add(10_000 * ms)
	h.answer("0a", v7)
	h.reply("1a", &pb.SubReply{Result: pb.Result_OK, Snapshot: v7, Body: []byte(`{"hits":[]}`)})
	h.take(h.query.Wake(h.now))
	h.decode()
	out := h.wantOutcome(20, "", "", MissingDeadline)
	if !out.TimedOut || !out.MayHaveRun {
		t.Errorf("timed out %v, unsure %v", out.TimedOut, out.MayHaveRun)
	}
}

func TestSoftDeadline(t *testing.T) {
	h := newHarness(t, newShardMap(1, 4, 1), func(k *pb.Kind) { k.SoftDeadlineMs, k.CoverageFloor, k.HedgePercent = 50, 0.5, 0 }).start()
	h.answer("0a", v7)
	h.wait(60 * ms)
	if h.outcome != nil {
		t.Fatal("ended below the coverage floor")
	}
	h.answer("1a", v7)
	h.wantOutcome(20, "", "", MissingSoftDeadline, MissingSoftDeadline)
}

// Guards against extra load that keeps failing upstreams down: under any mix of
// failures and waits over many queries, every hedge and retry must be taken from its
// budget.
func TestExtraLoadStaysWithinBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		hedge := rapid.SampledFrom([]float64{0, 1, 5, 33.3}).Draw(rt, "hedge percent")
		again := rapid.SampledFrom([]float64{0, 1, 10, 50}).Draw(rt, "retry percent")
		shared := newHarness(t, newShardMap(1, 1, 1), func(k *pb.Kind) { k.HedgePercent, k.RetryPercent = hedge, again })
		firsts, extra := 0, [numCauses]int{}
		for range rapid.IntRange(1, 30).Draw(rt, "queries") {
			h := newHarness(t, newShardMap(1, rapid.IntRange(1, 8).Draw(rt, "shards"), 3), func(k *pb.Kind) { k.HedgePercent, k.RetryPercent = hedge, again })
			h.hedge, h.retry = shared.hedge, shared.retry
			h.start()
			for h.outcome == nil {
				applyRandomEvent(rt, h)
			}
			firsts += h.outcome.Stats.Sent[First]
			for c, n := range h.outcome.Stats.Sent {
				extra[c] += n
			}
		}
		if most := initialBudget(hedge) + hedge/100*float64(firsts); float64(extra[Hedge]) > most {
			rt.Fatalf("%d hedges for %d first sub-requests, allowed %v", extra[Hedge], firsts, most)
		}
		if most := initialBudget(again) + again/100*float64(firsts); float64(extra[Retry]) > most {
			rt.Fatalf("%d retries for %d first sub-requests, allowed %v", extra[Retry], firsts, most)
		}
	})
}

// applyRandomEvent ends one open attempt or advances the clock.
func applyRandomEvent(rt *rapid.T, h *harness) {
	results := []pb.Result{pb.Result_UPSTREAM_ERROR, pb.Result_UNKNOWN, pb.Result_SHED, pb.Result_OWNER_UNREACHABLE}
	pick := rapid.IntRange(0, len(results)).Draw(rt, "event")
	if pick == len(results) || len(h.open) == 0 {
		h.wait(5 * ms)
		return
	}
	// Take the oldest open attempt, so that the choice does not depend on map order.
	for _, a := range h.sent {
		if _, ok := h.open[a.Attempt]; ok {
			delete(h.open, a.Attempt)
			h.take(h.query.Reply(h.now, a.Attempt, &pb.SubReply{Result: results[pick]}))
			return
		}
	}
}
