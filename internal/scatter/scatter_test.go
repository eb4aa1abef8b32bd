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

// policy has the same replicas for each part and a budget of so many sends.
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

func plan(parts, least int) Plan {
	return Plan{
		Services:   make([]string, parts),
		Idempotent: true,
		Attempts:   2,
		MinParts:   least,
		AnswerBy:   at(200 * ms),
		GiveUp:     at(time.Second),
	}
}

// course plays a script: "+50" moves time to 50 ms and ticks, "3=answered" ends
// send 3. It gives the sends as "part>upstream:cause" and the verdict.
func course(q *Query, script string) string {
	var out []string
	now := start
	note := func(sends []Send) {
		for _, s := range sends {
			out = append(out, fmt.Sprintf("%d:%s:%s", s.Attempt, s.Upstream.ID, s.Cause))
		}
	}
	note(q.Start(now))
	for _, step := range strings.Fields(script) {
		if ms, ok := strings.CutPrefix(step, "+"); ok {
			d, _ := time.ParseDuration(ms + "ms")
			now = start.Add(d)
			note(q.Tick(now))
			continue
		}
		var n int
		var result string
		fmt.Sscanf(strings.Replace(step, "=", " ", 1), "%d %s", &n, &result)
		for r := Answered; r <= Barred; r++ {
			if r.String() == result {
				note(q.Ended(now, n, r))
			}
		}
	}
	if v := q.Verdict(); v != nil {
		out = append(out, fmt.Sprintf("end:%s:notrun=%v:%v", v.Reason, v.NotRun, v.Parts))
	}
	return strings.Join(out, " ")
}

func TestCourses(t *testing.T) {
	unsafe := func(p Plan) Plan {
		p.Idempotent = false
		return p
	}
	alone := func(p Plan) Plan {
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
		{"no budget, no hedge", plan(1, 1), policy{2, 0, 0}, "+50 +80 0=answered",
			"0:0/0:first end::notrun=false:[0]"},
		{"a failure is sent again", plan(1, 1), policy{2, 1, 0}, "0=failed 1=answered",
			"0:0/0:first 1:0/1:after_failure end::notrun=false:[1]"},
		{"attempts bound what may have run", plan(1, 1), policy{3, 9, 0}, "0=lost 1=lost",
			"0:0/0:first 1:0/1:after_failure end:upstream_failed:notrun=false:[-1]"},
		{"what was refused does not count as run", plan(1, 1), policy{3, 9, 0}, "0=refused 1=lost 2=answered",
			"0:0/0:first 1:0/1:after_refusal 2:0/2:after_failure end::notrun=false:[2]"},
		{"an upstream that cannot be reached costs no budget", plan(1, 1), policy{2, 0, 0}, "0=unreached 1=answered",
			"0:0/0:first 1:0/1:after_unreached end::notrun=false:[1]"},
		{"an upstream that may not be given the part any more costs no budget", plan(1, 1), policy{replicas: 2}, "0=barred 1=answered",
			"0:0/0:first 1:0/1:after_bar end::notrun=false:[1]"},
		{"none that may be given the part", plan(1, 1), policy{replicas: 1}, "0=barred",
			"0:0/0:first end:all_refused:notrun=true:[-1]"},
		{"an upstream that lets nothing in costs neither budget nor attempt", plan(1, 1), policy{3, 0, 0}, "0=shut 1=shut 2=answered",
			"0:0/0:first 1:0/1:after_full 2:0/2:after_full end::notrun=false:[2]"},
		{"but is no proof that nothing ran", unsafe(plan(1, 1)), policy{2, 9, 0}, "0=shut",
			"0:0/0:first end:upstream_failed:notrun=false:[-1]"},
		{"nor is it asked for ever", plan(1, 1), policy{1, 0, 0}, "0=shut +20 1=shut +60 2=shut +140 3=shut +300 4=shut",
			"0:0/0:first 1:0/0:after_full 2:0/0:after_full 3:0/0:after_full 4:0/0:after_full end:upstream_failed:notrun=false:[-1]"},
		{"work that found no connection waits for one", unsafe(plan(1, 1)), policy{1, 0, 0}, "0=no_connection +20 1=answered",
			"0:0/0:first 1:0/0:after_full end::notrun=false:[1]"},
		{"all refused is not run, after pauses", plan(1, 1), policy{1, 9, 0}, "0=refused +20 1=refused +60 2=refused +140 3=refused +300 4=refused",
			"0:0/0:first 1:0/0:after_refusal 2:0/0:after_refusal 3:0/0:after_refusal 4:0/0:after_refusal end:all_refused:notrun=true:[-1]"},
		{"enough parts when the objective is near", plan(3, 2), policy{1, 0, 0}, "0=answered 2=answered +199 +200",
			"0:0/0:first 1:1/0:first 2:2/0:first end::notrun=false:[0 -1 2]"},
		{"too few parts are waited for", plan(3, 3), policy{1, 0, 0}, "0=answered 2=answered +200 +500 1=answered",
			"0:0/0:first 1:1/0:first 2:2/0:first end::notrun=false:[0 1 2]"},
		{"a late floor waits a little for the rest", plan(3, 2), policy{1, 0, 0}, "0=answered +300 1=answered +399 2=answered",
			"0:0/0:first 1:1/0:first 2:2/0:first end::notrun=false:[0 1 2]"},
		{"and not for long", plan(3, 2), policy{1, 0, 0}, "0=answered +300 1=answered +400",
			"0:0/0:first 1:1/0:first 2:2/0:first end::notrun=false:[0 1 -1]"},
		{"a floor that cannot be met ends at once", plan(3, 3), policy{1, 0, 0}, "0=answered 1=failed",
			"0:0/0:first 1:1/0:first 2:2/0:first end:too_few_parts:notrun=false:[0 -1 -1]"},
		{"the deadline", plan(1, 1), policy{1, 0, 0}, "+999 +1000",
			"0:0/0:first end:timed_out:notrun=false:[-1]"},
		{"no upstream at all", plan(2, 1), policy{0, 0, 0}, "",
			"end:no_upstream:notrun=true:[-1 -1]"},
		{"unsafe work is not hedged", unsafe(plan(1, 1)), policy{2, 9, 0}, "+50 +80 0=answered",
			"0:0/0:first end::notrun=false:[0]"},
		{"unsafe work that may have run is not repeated", unsafe(plan(1, 1)), policy{2, 9, 0}, "0=lost",
			"0:0/0:first end:upstream_failed:notrun=false:[-1]"},
		{"unsafe work that was refused is", unsafe(plan(1, 1)), policy{2, 9, 0}, "0=refused 1=answered",
			"0:0/0:first 1:0/1:after_refusal end::notrun=false:[1]"},
		{"three upstreams end, one more is tried alone", plan(4, 1), policy{3, 9, 0}, "0=broken 1=broken 2=broken 3=broken 4=broken 5=broken 6=broken",
			"0:0/0:first 1:1/0:first 2:2/0:first 3:3/0:first 4:0/1:after_failure 5:1/1:after_failure 6:2/1:after_failure end:too_few_parts:notrun=false:[-1 -1 -1 -1]"},
		{"without a budget none is", plan(3, 1), policy{2, 0, 0}, "0=broken 1=broken 2=broken",
			"0:0/0:first 1:1/0:first 2:2/0:first end:too_few_parts:notrun=false:[-1 -1 -1]"},
		{"the first answer ends the care", plan(5, 5), policy{2, 9, 0}, "0=broken 1=broken 2=broken 3=broken 4=answered 5=answered 6=answered 7=answered 8=answered",
			"0:0/0:first 1:1/0:first 2:2/0:first 3:3/0:first 4:4/0:first 5:0/1:after_failure 6:1/1:after_failure 7:2/1:after_failure 8:3/1:after_failure end::notrun=false:[5 6 7 8 4]"},
		{"a suspect is asked of one upstream", alone(plan(3, 3)), policy{2, 9, 0}, "0=broken",
			"0:0/0:first end:too_few_parts:notrun=false:[-1 -1 -1]"},
		{"and of the others once that has survived", alone(plan(3, 3)), policy{2, 9, 0}, "+60 0=answered 1=answered 2=answered",
			"0:0/0:first 1:1/0:first 2:2/0:first end::notrun=false:[0 1 2]"},
		{"an upstream that cannot be reached has not been asked", alone(plan(2, 2)), policy{2, 9, 0}, "0=unreached 1=answered 2=answered",
			"0:0/0:first 1:0/1:after_unreached 2:1/0:first end::notrun=false:[1 2]"},
		{"two that refuse it are enough", alone(plan(2, 1)), policy{3, 9, 0}, "0=refused 1=refused",
			"0:0/0:first 1:0/1:after_refusal end:all_refused:notrun=true:[-1 -1]"},
	} {
		if got := course(New(c.plan, &c.policy), c.script); got != c.want {
			t.Errorf("%s:\n got %s\nwant %s", c.name, got, c.want)
		}
	}
}

// cutOff is a policy whose first part cannot be reached.
type cutOff struct{ policy }

func (p *cutOff) Reachable(part int) bool { return part > 0 }

// Symptom: while all copies of two shards are down, queries that need both fail
// with 502 and the caller's second try, made at once, fails as well.
// Sequence: each copy has refused a connection a moment ago; a query comes, the
// parts of the other shards run, and the two end it.
// Cause: what was known of the copies was used to order them, not to tell that the
// query could not be answered; a caller that hears that nothing ran comes back
// later.
func TestAQueryThatCannotBeAnsweredIsNotBegun(t *testing.T) {
	q := New(plan(3, 3), &cutOff{policy{2, 9, 0}})
	if sends := q.Start(start); len(sends) != 0 {
		t.Errorf("%d sends", len(sends))
	}
	if v := q.Verdict(); v == nil || v.Reason != NoUpstream || !v.NotRun {
		t.Errorf("ended with %+v", v)
	}
	q = New(plan(3, 2), &cutOff{policy{2, 9, 0}})
	if sends := q.Start(start); len(sends) != 3 {
		t.Errorf("%d sends of a query that can do without the part: the copies are tried again by somebody", len(sends))
	}
}

// partPolicy has no upstream for the first part.
type partPolicy struct{ policy }

func (p *partPolicy) Choose(part int, tried []string) *catalog.Upstream {
	if part == 0 {
		return nil
	}
	return p.policy.Choose(part, tried)
}

// Symptom: a refused request is said to have run though nothing was sent.
// Sequence: one shard has no upstream, so the floor cannot be met; the other
// parts were planned in the same step.
// Cause: sends that were never handed over counted as open.
func TestSendsThatWereNotHandedOverHaveNotRun(t *testing.T) {
	q := New(plan(3, 3), &partPolicy{policy{1, 0, 0}})
	if sends := q.Start(start); len(sends) != 0 {
		t.Errorf("%d sends of a request that is over", len(sends))
	}
	if v := q.Verdict(); v == nil || !v.NotRun || v.Reason != NoUpstream {
		t.Errorf("verdict %+v", v)
	}
}

// Symptom: a request that crashes the upstreams that run it ends two copies of each shard
// before its caller has its failure.
// Sequence: upstreams end in whatever order under a query of many parts, and others cannot be
// reached, refuse it or are slow; none answers.
// Cause: each part was sent again for itself. Once three have ended, sends are made one at a
// time, and none after one of these has ended its upstream too.
func TestAQueryThatEndsUpstreamsStops(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := plan(rapid.IntRange(1, 12).Draw(t, "parts"), 1)
		p.Attempts = rapid.IntRange(1, 4).Draw(t, "attempts")
		p.Trial = rapid.Bool().Draw(t, "alone")
		q := New(p, &policy{4, 100, 0})
		open, broken, lostAlone := map[int]bool{}, 0, false
		var alone []int
		take := func(sends []Send) {
			for _, s := range sends {
				careful := p.Trial || broken >= 3
				if careful && (len(open) > 0 || lostAlone) {
					t.Fatalf("sent with %d open after %d had ended", len(open), broken)
				}
				if careful {
					alone = append(alone, s.Attempt)
				}
				open[s.Attempt] = true
			}
		}
		now := start
		take(q.Start(now))
		for q.Verdict() == nil {
			if len(open) == 0 || rapid.IntRange(0, 3).Draw(t, "wait") == 0 {
				now = now.Add(30 * ms)
				take(q.Tick(now))
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
				lostAlone = lostAlone || slices.Contains(alone, n)
			}
			take(q.Ended(now, n, r))
		}
	})
}

// Whatever comes in whatever order: an unsafe request is never open at two
// upstreams nor sent after it may have run; a safe one runs at most at Attempts
// upstreams a part; NotRun is said only when every send was proved not run; the
// query ends by its deadline.
func TestPromises(t *testing.T) {
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
		ran := map[int]int{}
		part := map[int]int{}
		var open []int
		proved := true
		take := func(sends []Send) {
			for _, s := range sends {
				part[s.Attempt] = s.Part
				ran[s.Part]++
				open = append(open, s.Attempt)
				most := p.Attempts
				if !p.Idempotent {
					most = 1
				}
				if ran[s.Part] > most {
					t.Fatalf("part %d may run at %d upstreams, %d allowed", s.Part, ran[s.Part], most)
				}
			}
		}
		now := start
		take(q.Start(now))
		for range 200 {
			if q.Verdict() != nil {
				break
			}
			if len(open) > 0 && rapid.Bool().Draw(t, "reply") {
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				n := open[i]
				open = slices.Delete(open, i, i+1)
				r := Result(rapid.IntRange(0, int(Expired)).Draw(t, "result"))
				if r.NotRun() {
					ran[part[n]]--
				} else {
					proved = false
				}
				take(q.Ended(now, n, r))
				continue
			}
			now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * ms)
			if next := q.Next(); next.Before(now) && next.After(start) {
				now = next
			}
			take(q.Tick(now))
		}
		v := q.Verdict()
		if v == nil {
			if now.Before(p.GiveUp) {
				return
			}
			t.Fatal("not over at its deadline")
		}
		if v.NotRun != (proved && len(open) == 0) {
			t.Fatalf("not run is said %v; open %d, all proved %v", v.NotRun, len(open), proved)
		}
		answered := 0
		for _, n := range v.Parts {
			if n >= 0 {
				answered++
			}
		}
		if v.Reason == None && answered < p.MinParts {
			t.Fatalf("an answer of %d parts, the floor is %d", answered, p.MinParts)
		}
	})
}
