package scatter

import (
	"fmt"
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/retrybudget"
)

// hedgePolicy is a policy whose busy copies and budget a test sets.
type hedgePolicy struct {
	policy
	busy      bool
	freeIn    time.Duration
	allowedAt time.Time
	// asked is how often the budget was asked for a hedge.
	asked int
}

func (p *hedgePolicy) Busy(int, *catalog.Upstream) (bool, time.Duration) { return p.busy, p.freeIn }
func (p *hedgePolicy) HedgeAllowedAt(int) time.Time                      { return p.allowedAt }

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

// Guards against hedges to copies that calls already wait for, and against a hedge that was
// forgone and is never made once the copy has become free.
func TestForgoneHedgeIsMadeWhenTheCopyIsFree(t *testing.T) {
	p := &hedgePolicy{policy: policy{replicas: 2, budget: 1}, busy: true, freeIn: 30 * ms}
	q := New(plan(1, 1), p)
	q.Start(start)
	if sends, _ := tickUntil(q, at(79*ms)); len(sends) > 0 || p.asked > 0 {
		t.Error("hedged to a busy copy")
	}
	p.busy = false
	if sends, _ := tickUntil(q, at(80*ms)); len(sends) != 1 || sends[0].Cause != Hedge {
		t.Errorf("sends %v when the copy is free", sends)
	}
	if h := q.Hedging(); h.Made != 1 || h.Forgone[CopyBusy] != 1 {
		t.Errorf("counted %+v", h)
	}
}

// Guards against hedges that a budget refuses and that are asked for every 25 ms, and against
// hedges that are not asked for again.
func TestRefusedHedgeIsAskedForAtTheTimeOfThePolicy(t *testing.T) {
	p := &hedgePolicy{policy: policy{replicas: 2}, allowedAt: at(170 * ms)}
	q := New(plan(2, 2), p)
	q.Start(start)
	if tickUntil(q, at(169*ms)); p.asked != 2 {
		t.Errorf("asked %d times before the time that the policy gave, want once for each part", p.asked)
	}
	p.allowedAt, p.budget = time.Time{}, 1
	if sends, _ := tickUntil(q, at(170*ms)); len(sends) != 1 || p.asked != 4 {
		t.Errorf("sends %v, asked %d times, want each part once more at that time", sends, p.asked)
	}
}

// Guards against a query that keeps its VM busy because the policy returns times that have
// passed.
func TestForgoneHedgesDoNotSpin(t *testing.T) {
	for i, p := range []*hedgePolicy{
		{policy: policy{replicas: 2}, allowedAt: start},
		{policy: policy{replicas: 2}, busy: true},
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
