package retrybudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

var limit = Limit{Ratio: 0.2, Window: 10 * time.Second, Allowance: 60}

// event is a request or an extra send, of all VMs together.
type event struct {
	at    time.Time
	extra bool
}

// within tells whether every window of the events keeps the bound.
func within(events []event, l Limit) (time.Time, bool) {
	for i := range events {
		requests, extra := 0, 0
		for _, e := range events[i:] {
			if e.at.Sub(events[i].at) > l.Window {
				break
			}
			if e.extra {
				extra++
			} else {
				requests++
			}
		}
		// Requests of the window before count as well.
		for _, e := range events[:i] {
			if events[i].at.Sub(e.at) <= l.Window {
				requests++
			}
		}
		if float64(extra) > l.Ratio*float64(requests)+l.Allowance {
			return events[i].at, false
		}
	}
	return time.Time{}, true
}

// Symptom: upstreams that slow down get more repeated work than the operators
// allow, just when they can bear it least.
// Sequence: VMs spend their parts; some die, are replaced and spend anew within
// the same window, at times while others still share with fewer.
// Cause: a part that is spent twice, or parts of more than the whole.
func TestTheFleetKeepsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 8).Draw(t, "vms")
		share := 1 / float64(vms)
		budgets := make([]*Budget, vms)
		for i := range budgets {
			budgets[i] = New(limit, start.Add(-limit.Window))
		}
		var events []event
		now := start
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, vms-1).Draw(t, "vm")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				budgets[i] = New(limit, now)
			case 1, 2, 3:
				budgets[i].Request(now)
				events = append(events, event{at: now})
			default:
				kind := Kind(rapid.IntRange(0, 1).Draw(t, "kind"))
				if budgets[i].Spend(now, kind, share) {
					events = append(events, event{at: now, extra: true})
				}
			}
		}
		if at, ok := within(events, limit); !ok {
			t.Fatalf("the window from %v holds too many extra sends", at.Sub(start))
		}
	})
}

func TestANewProcessHasNoAllowance(t *testing.T) {
	b := New(limit, start)
	if b.Spend(start.Add(time.Second), Retry, 1) {
		t.Error("spent what a predecessor may have spent")
	}
	if !b.Spend(start.Add(limit.Window+time.Second), Retry, 1) {
		t.Error("no allowance after a window")
	}
}

func TestHedgesLeaveSomeForRetries(t *testing.T) {
	b := New(limit, start)
	for range 100 {
		b.Request(start)
	}
	hedges := 0
	for b.Spend(start, Hedge, 0) {
		hedges++
	}
	if hedges != 15 || !b.Spend(start, Retry, 0) {
		t.Errorf("%d hedges of a budget of 20, want 15 and a retry after them", hedges)
	}
}

func TestSpentSendsLeaveTheWindow(t *testing.T) {
	b := New(limit, start.Add(-limit.Window))
	for b.Spend(start, Retry, 1) {
	}
	if b.Spend(start.Add(limit.Window-time.Millisecond), Retry, 1) {
		t.Error("spent again inside the window")
	}
	if !b.Spend(start.Add(limit.Window*11/10), Retry, 1) {
		t.Error("not free again after the window")
	}
}
