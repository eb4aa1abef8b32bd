package query

import (
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// seen is a witness that keeps what it is told.
type seen struct {
	ended    []string
	survived int
	blocked  bool
}

func (s *seen) Ended(u *contract.Upstream, _, _ time.Time) { s.ended = append(s.ended, u.ID) }
func (s *seen) Survived(time.Time)                         { s.survived++ }
func (s *seen) Blocked(time.Time) bool                     { return s.blocked }

// newCareRig is a rig with budgets for any number of retries.
func newCareRig(t *testing.T, shards int, trial bool) (*rig, *seen) {
	r := newRig(t, mapOf(1, shards, 3), nil)
	r.hedge.Earn(1000)
	r.retry.Earn(1000)
	s := &seen{}
	r.plan.Trial, r.plan.Witness = trial, s
	r.query = New(r.plan, r)
	return r.start(), s
}

// end lets an upstream end under its attempt.
func (r *rig) end(upstream string) {
	r.t.Helper()
	r.reply(upstream, &pb.SubReply{Result: pb.Result_UNKNOWN, UpstreamEnded: true})
}

// Symptom: a request that crashes upstreams ends six replicas of each shard in one attempt.
// Sequence: replicas of four shards end under it, and their retries' as well.
// Cause: each shard was tried again for itself.
func TestAQueryThatEndsUpstreamsStops(t *testing.T) {
	r, s := newCareRig(t, 4, false)
	for _, u := range []string{"0a", "1a", "2a", "3a"} {
		r.end(u)
	}
	r.end("0b")
	r.end("1b")
	r.wait(20 * ms)
	if len(r.open) != 1 {
		t.Fatalf("%d sub-requests are open after six upstreams have ended", len(r.open))
	}
	for _, a := range r.open {
		r.end(a.Upstream.ID)
	}
	r.wait(20 * ms)
	if r.outcome == nil || len(r.sent) != 7 || len(s.ended) != 7 || s.survived != 0 {
		t.Errorf("%d sub-requests, %d upstreams ended, outcome %v", len(r.sent), len(s.ended), r.outcome)
	}
}

// A query whose upstreams end for another reason goes on as soon as one has answered.
func TestAnAnswerEndsTheCare(t *testing.T) {
	r, s := newCareRig(t, 5, false)
	for _, u := range []string{"0a", "1a", "2a", "3a"} {
		r.end(u)
	}
	r.answer("4a", v7)
	r.wait(6 * ms)
	for _, u := range []string{"0b", "1b", "2b", "3b"} {
		r.answer(u, v7)
	}
	if out := r.outcome; out == nil || out.Coverage() != 1 || s.survived == 0 {
		t.Errorf("outcome %+v", out)
	}
}

// A suspect is sent to one upstream, and to the other shards once that has survived it.
func TestATrialAsksOneUpstream(t *testing.T) {
	r, _ := newCareRig(t, 3, true)
	r.wait(8 * ms)
	r.wantTrace("0a:first")
	r.answer("0a", v7)
	r.wait(6 * ms)
	r.answer("1a", v7)
	r.answer("2a", v7)
	if out := r.outcome; out == nil || out.Coverage() != 1 {
		t.Errorf("outcome %+v", out)
	}

	r, s := newCareRig(t, 3, true)
	r.end("0a")
	r.wait(6 * ms)
	if r.outcome == nil || len(r.sent) != 1 || len(s.ended) != 1 {
		t.Errorf("%d sub-requests, outcome %v", len(r.sent), r.outcome)
	}
}

// What has become known meanwhile to crash upstreams is not sent again.
func TestABlockedRequestIsNotSentAgain(t *testing.T) {
	r, s := newCareRig(t, 2, false)
	s.blocked = true
	r.end("0a")
	r.end("1a")
	if r.outcome == nil || len(r.sent) != 2 {
		t.Errorf("%d sub-requests, outcome %v", len(r.sent), r.outcome)
	}
}
