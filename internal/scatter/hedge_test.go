package scatter

import (
	"fmt"
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/retrybudget"
)

// hedgePolicy is a policy whose expectations a test sets.
type hedgePolicy struct {
	policy
	expect    Expectation
	remaining time.Duration
	allowedAt time.Time
	// asked is how often the budget was asked for a hedge.
	asked int
}

func (p *hedgePolicy) Expect(int, *catalog.Upstream) Expectation { return p.expect }
func (p *hedgePolicy) Remaining(int) time.Duration               { return p.remaining }
func (p *hedgePolicy) HedgeAllowedAt(int) time.Time              { return p.allowedAt }

func (p *hedgePolicy) Spend(part int, kind retrybudget.Kind) bool {
	p.asked++
	return p.policy.Spend(part, kind)
}

// tickUntil makes the steps that a query asks for up to a time, as its driver does, and returns
// the sends and the number of steps.
func tickUntil(q *Query, end time.Time) (sends []Send, steps int) {
	for now := q.Next(); !now.After(end) && q.Outcome() == nil; now = q.Next() {
		sends = append(sends, q.Tick(now)...)
		steps++
	}
	return sends, steps
}

// Guards against a late query that asks for 28 hedges which cannot complete it: in congestion
// all its parts are late, and the other copies are as busy.
func TestCongestedQueryHedgesItsLastParts(t *testing.T) {
	p := &hedgePolicy{policy: policy{replicas: 2, budget: 100}, expect: Expectation{Answer: 45 * ms}, remaining: 50 * ms}
	q := New(plan(36, 35), p)
	q.Start(start)
	if sends, steps := tickUntil(q, at(150*ms)); len(sends) > 0 || p.asked > 0 || steps > 1000 {
		t.Errorf("%d hedges, %d asked of the budget in %d steps with all parts open", len(sends), p.asked, steps)
	}
	for n := range 26 {
		if sends := q.Ended(at(150*ms), n, Answered); len(sends) > 0 {
			t.Fatalf("%d hedges with %d parts open", len(sends), 36-n-1)
		}
	}
	if sends := q.Ended(at(151*ms), 26, Answered); len(sends) != 9 || sends[0].Cause != Hedge {
		t.Errorf("sends %v with a quarter of the parts open, want 9 hedges", sends)
	}
	if h := q.Hedging(); h.Made != 9 || h.Forgone[PartsOpen] != 36 {
		t.Errorf("counted %+v", h)
	}
}

// Guards against queries that are late when the copies chosen first fail together, as with
// their data centre: all parts are open, but the other copies would answer soon.
func TestLostDataCentreIsHedgedWithAllPartsOpen(t *testing.T) {
	p := &hedgePolicy{policy: policy{replicas: 2, budget: 100}, expect: Expectation{Answer: 20 * ms}, remaining: 200 * ms}
	q := New(plan(36, 35), p)
	q.Start(start)
	if sends, _ := tickUntil(q, at(60*ms)); len(sends) != 36 {
		t.Errorf("%d hedges", len(sends))
	}
}

// Guards against hedges to copies that answer later than the open send or that calls already
// wait for, and against a hedge that was forgone and is never made once the copy has become
// free.
func TestForgoneHedgeIsMadeWhenTheCopyIsFree(t *testing.T) {
	for name, busy := range map[string]Expectation{
		"slower": {Answer: 80 * ms},
		"queued": {Answer: 10 * ms, Queued: true, FreeIn: 30 * ms},
	} {
		p := &hedgePolicy{policy: policy{replicas: 2, budget: 1}, expect: busy, remaining: 50 * ms}
		q := New(plan(1, 1), p)
		q.Start(start)
		if sends, _ := tickUntil(q, at(79*ms)); len(sends) > 0 || p.asked > 0 {
			t.Errorf("%s: hedged to a busy copy", name)
		}
		p.expect = Expectation{Answer: 10 * ms}
		if sends, _ := tickUntil(q, at(80*ms)); len(sends) != 1 || sends[0].Cause != Hedge {
			t.Errorf("%s: sends %v when the copy is free", name, sends)
		}
		if h := q.Hedging(); h.Made != 1 || h.Forgone[CopyBusy] != 1 {
			t.Errorf("%s: counted %+v", name, h)
		}
	}
}

// Guards against hedges that a budget refuses and that are asked for every 25 ms, and against
// hedges that are not asked for again.
func TestRefusedHedgeIsAskedForWhenSomethingChanges(t *testing.T) {
	p := &hedgePolicy{policy: policy{replicas: 2}, expect: Expectation{Answer: 10 * ms}, remaining: 50 * ms, allowedAt: at(170 * ms)}
	q := New(plan(2, 2), p)
	q.Start(start)
	if tickUntil(q, at(169*ms)); p.asked != 2 {
		t.Errorf("asked %d times before the time that the policy gave, want once for each part", p.asked)
	}
	p.allowedAt = time.Time{}
	if tickUntil(q, at(500*ms)); p.asked != 4 {
		t.Errorf("asked %d times, want once more for each part at that time", p.asked)
	}
	p.budget = 1
	if sends := q.Ended(at(500*ms), 0, Answered); len(sends) != 1 || sends[0].Part != 1 {
		t.Errorf("sends %v after the other part was answered, want a hedge", sends)
	}
}

// Guards against a query that keeps its VM busy because the policy returns times that have
// passed.
func TestForgoneHedgesDoNotSpin(t *testing.T) {
	for i, p := range []*hedgePolicy{
		{policy: policy{replicas: 2}, remaining: 50 * ms, allowedAt: start},
		{policy: policy{replicas: 2}, expect: Expectation{Queued: true}, remaining: 50 * ms},
		{policy: policy{replicas: 2}, expect: Expectation{Answer: 50*ms + 1}, remaining: 50 * ms},
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			q := New(plan(1, 1), p)
			q.Start(start)
			if _, steps := tickUntil(q, at(time.Second)); steps > 250 || q.Outcome() == nil {
				t.Errorf("%d steps, outcome %v", steps, q.Outcome())
			}
		})
	}
}
