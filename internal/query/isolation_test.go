package query

import (
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// fakeCrashGuard records the calls to it.
type fakeCrashGuard struct {
	ended    []string
	survived int
	blocked  bool
}

func (w *fakeCrashGuard) RecordCrash(u *contract.Upstream, _, _ time.Time) {
	w.ended = append(w.ended, u.ID)
}
func (w *fakeCrashGuard) RecordSurvival(time.Time) { w.survived++ }
func (w *fakeCrashGuard) Blocked(time.Time) bool   { return w.blocked }

// newIsolationHarness returns a harness whose budgets allow any number of retries.
func newIsolationHarness(t *testing.T, shards int, trial bool) (*harness, *fakeCrashGuard) {
	h := newHarness(t, newShardMap(1, shards, 3), nil)
	h.hedge.Earn(1000)
	h.retry.Earn(1000)
	w := &fakeCrashGuard{}
	h.plan.Trial, h.plan.CrashGuard = trial, w
	h.query = New(h.plan, h)
	return h.start(), w
}

// crash ends an upstream while it has the open attempt.
func (h *harness) crash(upstream string) {
	h.t.Helper()
	h.reply(upstream, &pb.SubReply{Result: pb.Result_UNKNOWN, UpstreamEnded: true})
}

// Guards against a request that crashes upstreams and takes down six replicas of each
// shard in one query: upstreams of four shards end under it, and so do those of their
// retries. Retrying each shard independently would continue after that.
func TestCrashingQueryIsIsolatedAndStopped(t *testing.T) {
	h, w := newIsolationHarness(t, 4, false)
	for _, u := range []string{"0a", "1a", "2a", "3a"} {
		h.crash(u)
	}
	h.crash("0b")
	h.crash("1b")
	h.wait(20 * ms)
	if len(h.open) != 1 {
		t.Fatalf("%d sub-requests are open after six upstreams have ended", len(h.open))
	}
	for _, a := range h.open {
		h.crash(a.Upstream.ID)
	}
	h.wait(20 * ms)
	if h.outcome == nil || len(h.sent) != 7 || len(w.ended) != 7 || w.survived != 0 {
		t.Errorf("%d sub-requests, %d upstreams ended, outcome %v", len(h.sent), len(w.ended), h.outcome)
	}
}

// If upstreams end for another reason, one answer ends the isolation and the query
// continues.
func TestAnswerEndsIsolation(t *testing.T) {
	h, w := newIsolationHarness(t, 5, false)
	for _, u := range []string{"0a", "1a", "2a", "3a"} {
		h.crash(u)
	}
	h.answer("4a", v7)
	h.wait(6 * ms)
	for _, u := range []string{"0b", "1b", "2b", "3b"} {
		h.answer(u, v7)
	}
	if out := h.outcome; out == nil || out.Coverage() != 1 || w.survived == 0 {
		t.Errorf("outcome %+v", out)
	}
}

// A trial asks one upstream first, and the other shards only after that one has
// survived.
func TestTrialAsksOneUpstreamFirst(t *testing.T) {
	h, _ := newIsolationHarness(t, 3, true)
	h.wait(8 * ms)
	h.wantSent("0a:first")
	h.answer("0a", v7)
	h.wait(6 * ms)
	h.answer("1a", v7)
	h.answer("2a", v7)
	if out := h.outcome; out == nil || out.Coverage() != 1 {
		t.Errorf("outcome %+v", out)
	}

	h, w := newIsolationHarness(t, 3, true)
	h.crash("0a")
	h.wait(6 * ms)
	if h.outcome == nil || len(h.sent) != 1 || len(w.ended) != 1 {
		t.Errorf("%d sub-requests, outcome %v", len(h.sent), h.outcome)
	}
}

// A request that becomes blocked while a query is running is not sent again.
func TestBlockedRequestIsNotSentAgain(t *testing.T) {
	h, w := newIsolationHarness(t, 2, false)
	w.blocked = true
	h.crash("0a")
	h.crash("1a")
	if h.outcome == nil || len(h.sent) != 2 {
		t.Errorf("%d sub-requests, outcome %v", len(h.sent), h.outcome)
	}
}
