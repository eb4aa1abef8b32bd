package scatter

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against requests that a VM still holds when its process exits: their callers got
// neither an answer nor a refusal.
func TestShutdownEndsQueries(t *testing.T) {
	stop := Stop{LastSend: at(300 * ms), End: at(500 * ms)}
	for _, c := range []struct {
		name    string
		plan    Plan
		policy  policy
		prepare func(*Query)
		stopAt  time.Duration
		then    func(*Query)
		want    string
	}{
		{"a refused part is sent again while there is time", plan(1, 1), policy{1, 9, 0},
			func(q *Query) { q.Ended(start, 0, Refused) }, 10 * ms,
			func(q *Query) { q.Tick(at(20 * ms)); q.Ended(at(30*ms), 1, Answered) }, ""},
		{"a part whose next send comes too late is given up at once", plan(1, 1), policy{1, 9, 0},
			func(q *Query) { q.Ended(start, 0, Refused) }, 290 * ms,
			func(q *Query) { q.Tick(at(300 * ms)) }, "stopping not run"},
		{"a refusal after the last send is final", plan(1, 1), policy{2, 9, 0}, nil, 0,
			func(q *Query) { q.Tick(at(60 * ms)); q.Ended(at(310*ms), 1, Refused); q.Ended(at(310*ms), 0, Refused) }, "stopping not run"},
		{"a failure after the last send is final", plan(1, 1), policy{3, 1, 0}, nil, 0,
			func(q *Query) { q.Tick(at(60 * ms)); q.Ended(at(310*ms), 1, Failed); q.Ended(at(310*ms), 0, Failed) }, "upstream_failed"},
		{"a send that waits at the VM has not run", plan(1, 1), policy{1, 0, 0}, nil, 0,
			func(q *Query) { q.Tick(at(300 * ms)); q.Ended(at(300*ms), 0, NoConnection) }, "stopping not run"},
		{"work in progress may finish until the end", plan(1, 1), policy{1, 0, 0}, nil, 0,
			func(q *Query) { q.Tick(at(499 * ms)); q.Ended(at(499*ms), 0, Answered) }, ""},
		{"work in progress is cut off at the end", plan(1, 1), policy{1, 0, 0}, nil, 0,
			func(q *Query) { q.Tick(at(500 * ms)) }, "stopping"},
		{"a query answers at the end with what it has", func() Plan { p := plan(2, 1); p.AnswerBy = at(900 * ms); return p }(), policy{1, 0, 0}, nil, 0,
			func(q *Query) { q.Ended(at(100*ms), 0, Answered); q.Tick(at(500 * ms)) }, ""},
	} {
		q := New(c.plan, &c.policy)
		q.Start(start)
		if c.prepare != nil {
			c.prepare(q)
		}
		q.StopBy(at(c.stopAt), stop)
		c.then(q)
		v := q.Outcome()
		if v == nil {
			t.Errorf("%s: not ended, next step at %v", c.name, q.Next().Sub(start))
			continue
		}
		got := string(v.Reason)
		if v.NotRun {
			got += " not run"
		}
		if got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against a refusal that promises too little: a request whose only open send never left
// the VM was reported as one that may have run.
func TestOpenSendsThatNeverLeftAreNotRun(t *testing.T) {
	q := New(plan(1, 1), &policy{2, 1, 0})
	q.Start(start)
	q.Tick(at(60 * ms))
	q.Tick(at(time.Second))
	q.Unsent(0)
	if v := q.Outcome(); v == nil || v.Reason != TimedOut || v.NotRun {
		t.Fatalf("one of two open sends unsent: %+v", v)
	}
	q.Unsent(1)
	if v := q.Outcome(); !v.NotRun {
		t.Errorf("no send has left the VM: %+v", v)
	}
}

// For any results in any order and any moment of a shutdown: nothing is sent after the last send,
// and every query has ended at the end.
func TestShutdownInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := plan(rapid.IntRange(1, 3).Draw(t, "parts"), 1)
		p.Idempotent = rapid.Bool().Draw(t, "idempotent")
		p.Trial = rapid.Bool().Draw(t, "trial")
		q := New(p, &policy{rapid.IntRange(0, 3).Draw(t, "replicas"), rapid.IntRange(0, 6).Draw(t, "budget"), 0})
		stopAt := at(time.Duration(rapid.IntRange(0, 400).Draw(t, "stop")) * ms)
		s := Stop{LastSend: at(time.Duration(rapid.IntRange(0, 600).Draw(t, "last")) * ms), End: at(700 * ms)}
		now := start
		stopped := false
		var open []int
		record := func(sends []Send) {
			for _, x := range sends {
				if stopped && !now.Before(s.LastSend) {
					t.Fatalf("send at %v, the last may be made before %v", now.Sub(start), s.LastSend.Sub(start))
				}
				open = append(open, x.Attempt)
			}
		}
		record(q.Start(now))
		for q.Outcome() == nil && now.Before(s.End) {
			if len(open) > 0 && rapid.Bool().Draw(t, "reply") {
				n := open[0]
				open = open[1:]
				record(q.Ended(now, n, Result(rapid.IntRange(0, int(Barred)).Draw(t, "result"))))
				continue
			}
			next := now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * ms)
			if due := q.Next(); due.After(now) && due.Before(next) {
				next = due
			}
			now = next
			if !stopped && !now.Before(stopAt) {
				stopped = true
				record(q.StopBy(now, s))
				continue
			}
			record(q.Tick(now))
		}
		if q.Outcome() == nil {
			t.Fatal("not ended at the end of the shutdown")
		}
	})
}
