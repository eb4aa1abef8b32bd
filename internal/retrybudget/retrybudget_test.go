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

// within tells whether every sliding window of the events keeps the bound: its extra
// sends against the requests of that window, of the one before it or of the one half
// a window before, whichever has most.
func within(events []event, l Limit) (time.Time, bool) {
	count := func(from time.Time, extra bool) float64 {
		n := 0.0
		for _, e := range events {
			if e.extra == extra && !e.at.Before(from) && e.at.Sub(from) <= l.Window {
				n++
			}
		}
		return n
	}
	for _, e := range events {
		from := e.at
		requests := max(count(from, false), count(from.Add(-l.Window), false), count(from.Add(-l.Window/2), false))
		if count(from, true) > l.Ratio*requests+l.Allowance {
			return from, false
		}
	}
	return time.Time{}, true
}

// Symptom: upstreams that slow down get more repeated work than the operators
// allow, just when they can bear it least.
// Sequence: callers move from VM to VM with what they send, and parts of the bounds after
// them; processes die, are
// replaced and spend anew, at times several times within a window; each spends all
// that it may.
// Cause: what a VM had earned in a window was spent in the next one, beside what the
// VMs earned to which its callers had moved; or a part was spent twice.
func TestTheFleetKeepsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 8).Draw(t, "vms")
		budgets := make([]*Budget, vms)
		shares := make([]float64, vms)
		for i := range budgets {
			shares[i] = 1 / float64(vms)
			budgets[i] = New(limit, shares[i], start)
		}
		var events []event
		now := start
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2500).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, vms-1).Draw(t, "vm")
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				budgets[i] = New(limit, shares[i], now)
			case 6:
				j := rapid.IntRange(0, vms-1).Draw(t, "to")
				half := shares[i] / 2
				shares[i] -= half
				shares[j] += half
				budgets[i].SetShare(now, shares[i])
				budgets[j].SetShare(now, shares[j])
			case 1, 2:
				for range rapid.IntRange(1, 60).Draw(t, "requests") {
					budgets[i].Request()
					events = append(events, event{at: now})
				}
			default:
				kind := Kind(rapid.IntRange(0, 1).Draw(t, "kind"))
				for budgets[i].Spend(now, kind) {
					events = append(events, event{at: now, extra: true})
				}
			}
		}
		if at, ok := within(events, limit); !ok {
			t.Fatalf("the window from %v holds too many extra sends", at.Sub(start))
		}
	})
}

// A process that starts does not know what its predecessor on the VM has spent: it
// has what its own requests earn, and no more than a bucket of it.
func TestANewProcessHasWhatItEarns(t *testing.T) {
	b := New(limit, 1, start)
	if b.Spend(start, Retry) {
		t.Error("spent what a predecessor may have spent")
	}
	for range 5 {
		b.Request()
	}
	if !b.Spend(start, Retry) || b.Spend(start, Retry) {
		t.Error("five requests earn one extra send at a ratio of a fifth")
	}
	for range 10_000 {
		b.Request()
	}
	b.SetShare(start, 0.1)
	if left := b.Left(start, Retry); left != 3 {
		t.Errorf("%v left with a tenth of the allowance of 60, half of which is held", left)
	}
}

func TestHedgesLeaveSomeForRetries(t *testing.T) {
	b := New(limit, 1, start)
	for range 1000 {
		b.Request()
	}
	hedges, retries := 0, 0
	for b.Spend(start, Hedge) {
		hedges++
	}
	for b.Spend(start, Retry) {
		retries++
	}
	if hedges != 22 || retries != 8 {
		t.Errorf("%d hedges and then %d retries of a bucket of 30, want 22 and 8", hedges, retries)
	}
}

// Where there is no allowance, requests still earn single extra sends.
func TestWithoutAnAllowanceOneMayBeSaved(t *testing.T) {
	b := New(Limit{Ratio: 0.5}, 1, start)
	for range 10 {
		b.Request()
	}
	if !b.Spend(start, Hedge) || b.Spend(start, Retry) {
		t.Error("want one extra send and no more")
	}
}

// Symptom: when a service is new, or callers have just come, answers leave parts out and
// hedges are refused for lack of a budget that nobody has spent.
// Sequence: a VM has run for a while; then it sends to a service for the first time.
// Cause: the bucket was taken for empty when it was first used, and not since when the VM
// has had its part.
func TestABucketFillsBeforeItIsUsed(t *testing.T) {
	b := New(limit, 0.5, start)
	now := start.Add(20 * time.Second)
	if left := b.Left(now, Retry); left != 15 {
		t.Errorf("%v left of a bucket of 15 after 20 s", left)
	}
	if !b.Full(now) || !b.Spend(now, Retry) || b.Full(now) {
		t.Error("want it full until something is spent")
	}
}

// Symptom: upstreams get more repeated work than is allowed when callers are moved.
// Sequence: the carriers of a fleet spend their buckets and are lost; others, which have
// had a small part, become carriers and spend at once.
// Cause: their buckets were filled as if they had had the large part all the while.
func TestANewCarrierHasNotWhatTheFormerOnesSpent(t *testing.T) {
	b := New(limit, 0.01, start)
	now := start.Add(time.Minute)
	b.SetShare(now, 0.5)
	if left := b.Left(now, Retry); left > leastBurst {
		t.Errorf("%v left at once", left)
	}
	if left := b.Left(now.Add(5*time.Second), Retry); left < 7 || left > 9 {
		t.Errorf("%v left after half a window, want about a quarter of the part of 30 more", left)
	}
}
