package scatter

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/retrybudget"
)

const ms = time.Millisecond

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// policy offers a number of replicas for each part and allows budget extra sends.
type policy struct {
	replicas int
	budget   int
	spent    int
}

func (p *policy) Choose(part int, tried []string) *catalog.Upstream {
	for i := range p.replicas {
		id := fmt.Sprintf("%d/%d", part, i)
		if !slices.Contains(tried, id) {
			return &catalog.Upstream{ID: id}
		}
	}
	return nil
}

func (p *policy) Spend(int, retrybudget.Kind) bool {
	if p.spent >= p.budget {
		return false
	}
	p.spent++
	return true
}

func (p *policy) Reachable(int) bool { return p.replicas > 0 }

func (p *policy) HedgeDelay(int, *catalog.Upstream) time.Duration { return 50 * ms }

func (p *policy) Busy(int, *catalog.Upstream) (bool, time.Duration) { return false, 0 }

func (p *policy) HedgeAllowedAt(int) time.Time { return time.Time{} }

func plan(parts, minParts int) Plan {
	return Plan{
		Services:   make([]string, parts),
		Idempotent: true,
		Attempts:   2,
		MinParts:   minParts,
		AnswerBy:   at(200 * ms),
		Deadline:   at(time.Second),
	}
}

// runScript runs q through a script: "+50" calls Tick at 50 ms, "3=answered" ends attempt 3.
// It returns the sends as "attempt:upstream:cause" and how the query ended.
func runScript(q *Query, script string) string {
	var out []string
	now := start
	record := func(sends []Send) {
		for _, s := range sends {
			out = append(out, fmt.Sprintf("%d:%s:%s", s.Attempt, s.Upstream.ID, s.Cause))
		}
	}
	record(q.Start(now))
	for _, step := range strings.Fields(script) {
		if ms, ok := strings.CutPrefix(step, "+"); ok {
			d, _ := time.ParseDuration(ms + "ms")
			now = start.Add(d)
			record(q.Tick(now))
			continue
		}
		var n int
		var result string
		fmt.Sscanf(strings.Replace(step, "=", " ", 1), "%d %s", &n, &result)
		for r := Answered; r <= Barred; r++ {
			if r.String() == result {
				record(q.Ended(now, n, r))
			}
		}
	}
	if v := q.Outcome(); v != nil {
		out = append(out, fmt.Sprintf("end:%s:notrun=%v:%v", v.Reason, v.NotRun, v.Parts))
	}
	return strings.Join(out, " ")
}

func TestScripts(t *testing.T) {
	unsafe := func(p Plan) Plan {
		p.Idempotent = false
		return p
	}
	patient := func(p Plan) Plan {
		p.LatestInTime, p.LateGrace = at(212*ms), 25*ms
		return p
	}
	trial := func(p Plan) Plan {
		p.Trial = true
		return p
	}
	for _, c := range []struct {
		name   string
		plan   Plan
		policy policy
		script string
		want   string
	}{
		{"all parts answer", plan(2, 2), policy{2, 0, 0}, "0=answered 1=answered",
			"0:0/0:first 1:1/0:first end::notrun=false:[0 1]"},
		{"a late part is hedged and the hedge wins", plan(1, 1), policy{2, 1, 0}, "+50 1=answered",
			"0:0/0:first 1:0/1:hedge end::notrun=false:[1]"},
		{"no hedge without a budget", plan(1, 1), policy{2, 0, 0}, "+50 +80 0=answered",
			"0:0/0:first end::notrun=false:[0]"},
		{"a failed part is retried", plan(1, 1), policy{2, 1, 0}, "0=failed 1=answered",
			"0:0/0:first 1:0/1:after_failure end::notrun=false:[1]"},
		{"the plan limits the attempts that may have run", plan(1, 1), policy{3, 9, 0}, "0=lost 1=lost",
			"0:0/0:first 1:0/1:after_failure end:upstream_failed:notrun=false:[-1]"},
		{"a refused attempt does not count as run", plan(1, 1), policy{3, 9, 0}, "0=refused 1=lost 2=answered",
			"0:0/0:first 1:0/1:after_refusal 2:0/2:after_failure end::notrun=false:[2]"},
		{"a retry after an unreachable upstream costs no budget", plan(1, 1), policy{2, 0, 0}, "0=unreached 1=answered",
			"0:0/0:first 1:0/1:after_unreached end::notrun=false:[1]"},
		{"a retry after a barred upstream costs no budget", plan(1, 1), policy{replicas: 2}, "0=barred 1=answered",
			"0:0/0:first 1:0/1:after_bar end::notrun=false:[1]"},
		{"the only upstream is barred", plan(1, 1), policy{replicas: 1}, "0=barred",
			"0:0/0:first end:all_refused:notrun=true:[-1]"},
		{"a closed connection costs neither budget nor attempt", plan(1, 1), policy{3, 0, 0}, "0=shut 1=shut 2=answered",
			"0:0/0:first 1:0/1:after_full 2:0/2:after_full end::notrun=false:[2]"},
		{"a closed connection does not prove that nothing ran", unsafe(plan(1, 1)), policy{2, 9, 0}, "0=shut",
			"0:0/0:first end:upstream_failed:notrun=false:[-1]"},
		{"an upstream that closes all connections is given up", plan(1, 1), policy{1, 0, 0}, "0=shut +20 1=shut +60 2=shut +140 3=shut +300 4=shut",
			"0:0/0:first 1:0/0:after_full 2:0/0:after_full 3:0/0:after_full 4:0/0:after_full end:upstream_failed:notrun=false:[-1]"},
		{"a part without a connection is sent again after a wait", unsafe(plan(1, 1)), policy{1, 0, 0}, "0=no_connection +20 1=answered",
			"0:0/0:first 1:0/0:after_full end::notrun=false:[1]"},
		{"refused by all after waits, proved not run", plan(1, 1), policy{1, 9, 0}, "0=refused +20 1=refused +60 2=refused +140 3=refused +300 4=refused",
			"0:0/0:first 1:0/0:after_refusal 2:0/0:after_refusal 3:0/0:after_refusal 4:0/0:after_refusal end:all_refused:notrun=true:[-1]"},
		{"the minimum of parts is enough once the objective is due", plan(3, 2), policy{1, 0, 0}, "0=answered 2=answered +199 +200",
			"0:0/0:first 1:1/0:first 2:2/0:first end::notrun=false:[0 -1 2]"},
		{"too few parts wait beyond the objective", plan(3, 3), policy{1, 0, 0}, "0=answered 2=answered +200 +500 1=answered",
			"0:0/0:first 1:1/0:first 2:2/0:first end::notrun=false:[0 1 2]"},
		{"a minimum met late waits for the rest as long as the plan says", patient(plan(3, 2)), policy{1, 0, 0}, "0=answered +300 1=answered +324 2=answered",
			"0:0/0:first 1:1/0:first 2:2/0:first end::notrun=false:[0 1 2]"},
		{"a minimum met late waits for the rest no longer than the plan says", patient(plan(3, 2)), policy{1, 0, 0}, "0=answered +300 1=answered +325",
			"0:0/0:first 1:1/0:first 2:2/0:first end::notrun=false:[0 1 -1]"},
		{"a minimum met after its time to leave leaves at once", plan(3, 2), policy{1, 0, 0}, "0=answered +201 1=answered",
			"0:0/0:first 1:1/0:first 2:2/0:first end::notrun=false:[0 1 -1]"},
		{"a minimum met late leaves at once", plan(3, 2), policy{1, 0, 0}, "0=answered +300 1=answered",
			"0:0/0:first 1:1/0:first 2:2/0:first end::notrun=false:[0 1 -1]"},
		{"a minimum met at the last time that is in time leaves at once", patient(plan(3, 2)), policy{1, 0, 0}, "0=answered +212 1=answered",
			"0:0/0:first 1:1/0:first 2:2/0:first end::notrun=false:[0 1 -1]"},
		{"a minimum met after the last time that is in time waits", patient(plan(3, 2)), policy{1, 0, 0}, "0=answered +213 1=answered +237 2=answered",
			"0:0/0:first 1:1/0:first 2:2/0:first end::notrun=false:[0 1 2]"},
		{"a minimum that cannot be met ends the query at once", plan(3, 3), policy{1, 0, 0}, "0=answered 1=failed",
			"0:0/0:first 1:1/0:first 2:2/0:first end:too_few_parts:notrun=false:[0 -1 -1]"},
		{"the deadline", plan(1, 1), policy{1, 0, 0}, "+999 +1000",
			"0:0/0:first end:timed_out:notrun=false:[-1]"},
		{"no upstream at all", plan(2, 1), policy{0, 0, 0}, "",
			"end:no_upstream:notrun=true:[-1 -1]"},
		{"an unsafe request is not hedged", unsafe(plan(1, 1)), policy{2, 9, 0}, "+50 +80 0=answered",
			"0:0/0:first end::notrun=false:[0]"},
		{"an unsafe request that may have run is not retried", unsafe(plan(1, 1)), policy{2, 9, 0}, "0=lost",
			"0:0/0:first end:upstream_failed:notrun=false:[-1]"},
		{"an unsafe request that was refused is retried", unsafe(plan(1, 1)), policy{2, 9, 0}, "0=refused 1=answered",
			"0:0/0:first 1:0/1:after_refusal end::notrun=false:[1]"},
		{"after three broken upstreams, one more is tried alone", plan(4, 1), policy{3, 9, 0}, "0=broken 1=broken 2=broken 3=broken 4=broken 5=broken 6=broken",
			"0:0/0:first 1:1/0:first 2:2/0:first 3:3/0:first 4:0/1:after_failure 5:1/1:after_failure 6:2/1:after_failure end:too_few_parts:notrun=false:[-1 -1 -1 -1]"},
		{"after three broken upstreams, none is tried without a budget", plan(3, 1), policy{2, 0, 0}, "0=broken 1=broken 2=broken",
			"0:0/0:first 1:1/0:first 2:2/0:first end:too_few_parts:notrun=false:[-1 -1 -1]"},
		{"the first answer ends the isolation", plan(5, 5), policy{2, 9, 0}, "0=broken 1=broken 2=broken 3=broken 4=answered 5=answered 6=answered 7=answered 8=answered",
			"0:0/0:first 1:1/0:first 2:2/0:first 3:3/0:first 4:4/0:first 5:0/1:after_failure 6:1/1:after_failure 7:2/1:after_failure 8:3/1:after_failure end::notrun=false:[5 6 7 8 4]"},
		{"a trial is sent to one upstream", trial(plan(3, 3)), policy{2, 9, 0}, "0=broken",
			"0:0/0:first end:too_few_parts:notrun=false:[-1 -1 -1]"},
		{"a trial is sent to the others after the first has survived", trial(plan(3, 3)), policy{2, 9, 0}, "+60 0=answered 1=answered 2=answered",
			"0:0/0:first 1:1/0:first 2:2/0:first end::notrun=false:[0 1 2]"},
		{"an unreachable upstream does not count in a trial", trial(plan(2, 2)), policy{2, 9, 0}, "0=unreached 1=answered 2=answered",
			"0:0/0:first 1:0/1:after_unreached 2:1/0:first end::notrun=false:[1 2]"},
		{"a trial ends after two refusals", trial(plan(2, 1)), policy{3, 9, 0}, "0=refused 1=refused",
			"0:0/0:first 1:0/1:after_refusal end:all_refused:notrun=true:[-1 -1]"},
	} {
		if got := runScript(New(c.plan, &c.policy), c.script); got != c.want {
			t.Errorf("%s:\n got %s\nwant %s", c.name, got, c.want)
		}
	}
}

// unreachablePolicy is a policy whose first part has no reachable upstream.
type unreachablePolicy struct{ policy }

func (p *unreachablePolicy) Reachable(part int) bool { return part > 0 }

// Guards against queries that fail with 502, and whose immediate retry by the caller fails as
// well, while all replicas of two required shards are down. Without the check in Start, the
// parts of the other shards run before the two end the query; a caller that learns that
// nothing has run retries later.
func TestQueryThatCannotSucceedIsNotStarted(t *testing.T) {
	q := New(plan(3, 3), &unreachablePolicy{policy{2, 9, 0}})
	if sends := q.Start(start); len(sends) != 0 {
		t.Errorf("%d sends", len(sends))
	}
	if v := q.Outcome(); v == nil || v.Reason != NoUpstream || !v.NotRun {
		t.Errorf("outcome %+v", v)
	}
	q = New(plan(3, 2), &unreachablePolicy{policy{2, 9, 0}})
	if sends := q.Start(start); len(sends) != 3 {
		t.Errorf("%d sends of a query that can do without the part, want 3 so that the replicas are tried again", len(sends))
	}
}

// missingPartPolicy is a policy that chooses no upstream for the first part.
type missingPartPolicy struct{ policy }

func (p *missingPartPolicy) Choose(part int, tried []string) *catalog.Upstream {
	if part == 0 {
		return nil
	}
	return p.policy.Choose(part, tried)
}

// Guards against a request that is reported as possibly run although nothing was sent: one
// shard has no upstream, so the minimum cannot be met, and the sends planned for the other
// parts in the same step counted as open.
func TestSendsNotReturnedHaveNotRun(t *testing.T) {
	q := New(plan(3, 3), &missingPartPolicy{policy{1, 0, 0}})
	if sends := q.Start(start); len(sends) != 0 {
		t.Errorf("%d sends of a request that has ended", len(sends))
	}
	if v := q.Outcome(); v == nil || !v.NotRun || v.Reason != NoUpstream {
		t.Errorf("outcome %+v", v)
	}
}

// Guards against a request that crashes two replicas of each shard before its caller gets an
// error. Upstreams crash in any order while running a query of many parts, others are
// unreachable, refuse it or are slow, and none answers. The failure came about because each
// part was retried independently. After three crashes, sends must be made one at a time, and
// none after one of these has crashed its upstream too.
func TestQueryThatCrashesUpstreamsStops(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := plan(rapid.IntRange(1, 12).Draw(t, "parts"), 1)
		p.Attempts = rapid.IntRange(1, 4).Draw(t, "attempts")
		p.Trial = rapid.Bool().Draw(t, "alone")
		q := New(p, &policy{4, 100, 0})
		open, broken, isolatedCrash := map[int]bool{}, 0, false
		var isolated []int
		record := func(sends []Send) {
			for _, s := range sends {
				active := p.Trial || broken >= 3
				if active && (len(open) > 0 || isolatedCrash) {
					t.Fatalf("a send with %d open after %d crashes", len(open), broken)
				}
				if active {
					isolated = append(isolated, s.Attempt)
				}
				open[s.Attempt] = true
			}
		}
		now := start
		record(q.Start(now))
		for q.Outcome() == nil {
			if len(open) == 0 || rapid.IntRange(0, 3).Draw(t, "wait") == 0 {
				now = now.Add(30 * ms)
				record(q.Tick(now))
				continue
			}
			var attempts []int
			for n := range open {
				attempts = append(attempts, n)
			}
			slices.Sort(attempts)
			n := rapid.SampledFrom(attempts).Draw(t, "which")
			r := rapid.SampledFrom([]Result{Broken, Broken, Broken, Unreached, Refused}).Draw(t, "result")
			delete(open, n)
			if r == Broken {
				broken++
				isolatedCrash = isolatedCrash || slices.Contains(isolated, n)
			}
			record(q.Ended(now, n, r))
		}
	})
}

// For any results in any order: an unsafe request is never open at two upstreams nor sent
// after it may have run; an idempotent one runs on at most Attempts upstreams per part;
// NotRun is set only if every send was proved not run; the query ends by its deadline.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := plan(rapid.IntRange(1, 4).Draw(t, "parts"), 1)
		p.MinParts = rapid.IntRange(1, len(p.Services)).Draw(t, "least")
		p.Idempotent = rapid.Bool().Draw(t, "idempotent")
		if !p.Idempotent {
			p.Services = p.Services[:1]
			p.MinParts = 1
		}
		p.Attempts = rapid.IntRange(1, 3).Draw(t, "attempts")
		q := New(p, &policy{rapid.IntRange(0, 4).Draw(t, "replicas"), rapid.IntRange(0, 6).Draw(t, "budget"), 0})
		mayHaveRun := map[int]int{}
		partOf := map[int]int{}
		var open []int
		allProved := true
		record := func(sends []Send) {
			for _, s := range sends {
				partOf[s.Attempt] = s.Part
				mayHaveRun[s.Part]++
				open = append(open, s.Attempt)
				limit := p.Attempts
				if !p.Idempotent {
					limit = 1
				}
				if mayHaveRun[s.Part] > limit {
					t.Fatalf("part %d may run on %d upstreams, %d allowed", s.Part, mayHaveRun[s.Part], limit)
				}
			}
		}
		now := start
		record(q.Start(now))
		for range 200 {
			if q.Outcome() != nil {
				break
			}
			if len(open) > 0 && rapid.Bool().Draw(t, "reply") {
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				n := open[i]
				open = slices.Delete(open, i, i+1)
				r := Result(rapid.IntRange(0, int(Expired)).Draw(t, "result"))
				if r.NotRun() {
					mayHaveRun[partOf[n]]--
				} else {
					allProved = false
				}
				record(q.Ended(now, n, r))
				continue
			}
			now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * ms)
			if next := q.Next(); next.Before(now) && next.After(start) {
				now = next
			}
			record(q.Tick(now))
		}
		v := q.Outcome()
		if v == nil {
			if now.Before(p.Deadline) {
				return
			}
			t.Fatal("not ended at its deadline")
		}
		if v.NotRun != (allProved && len(open) == 0) {
			t.Fatalf("NotRun %v with %d open and all proved not run %v", v.NotRun, len(open), allProved)
		}
		answered := 0
		for _, n := range v.Parts {
			if n >= 0 {
				answered++
			}
		}
		if v.Reason == None && answered < p.MinParts {
			t.Fatalf("an answer of %d parts, the minimum is %d", answered, p.MinParts)
		}
	})
}
