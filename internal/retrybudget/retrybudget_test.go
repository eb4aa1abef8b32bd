package retrybudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

var limit = Limit{Ratio: 0.2, Window: 10 * time.Second, Allowance: 60}

// event is a request or an extra send of any VM.
type event struct {
	at    time.Time
	extra bool
}

// withinLimit reports whether every sliding window of the events keeps the limit, and the start
// of the first one that does not. The extra sends of a window are compared with the requests
// of that window, of the one before it or of the one half a window before, whichever has most.
func withinLimit(events []event, l Limit) (time.Time, bool) {
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

// Guards against more extra sends than operators allow, at a time when upstreams are slow.
// Callers move between VMs and shares of the allowance follow them; processes are replaced,
// some several times within a window, and each VM spends all it has. The limit breaks if a VM
// spends in one window what it earned in the window before, while the VMs that took over its
// callers earn as well, or if a share is spent twice.
func TestFleetKeepsLimit(t *testing.T) {
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
					budgets[i].AddRequest()
					events = append(events, event{at: now})
				}
			default:
				kind := Kind(rapid.IntRange(0, 1).Draw(t, "kind"))
				for budgets[i].Spend(now, kind) {
					events = append(events, event{at: now, extra: true})
				}
			}
		}
		if at, ok := withinLimit(events, limit); !ok {
			t.Fatalf("too many extra sends in the window that starts at %v", at.Sub(start))
		}
	})
}

// A new process does not know what its predecessor on the VM has spent: it starts with an
// empty bucket and may spend only what its own requests earn, up to the bucket's capacity.
func TestNewProcessStartsEmpty(t *testing.T) {
	b := New(limit, 1, start)
	if b.Spend(start, Retry) {
		t.Error("an extra send from an empty bucket")
	}
	for range 5 {
		b.AddRequest()
	}
	if !b.Spend(start, Retry) || b.Spend(start, Retry) {
		t.Error("want one extra send for five requests at a ratio of a fifth")
	}
	for range 10_000 {
		b.AddRequest()
	}
	b.SetShare(start, 0.1)
	if left := b.Remaining(start, Retry); left != 3 {
		t.Errorf("%v left with a tenth of the allowance of 60, want half of that", left)
	}
}

func TestHedgesLeaveReserveForRetries(t *testing.T) {
	b := New(limit, 1, start)
	for range 1000 {
		b.AddRequest()
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

// Without an allowance, requests still earn single extra sends.
func TestBucketHoldsOneWithoutAllowance(t *testing.T) {
	b := New(Limit{Ratio: 0.5}, 1, start)
	for range 10 {
		b.AddRequest()
	}
	if !b.Spend(start, Hedge) || b.Spend(start, Retry) {
		t.Error("want one extra send and no more")
	}
}

// Guards against partial answers and refused hedges for lack of budget although none was
// spent, when a service is new or callers have just moved. If a VM that has run for a while
// sends to a service for the first time, the bucket must have filled since the VM got its
// share, not since its first use.
func TestBucketFillsBeforeFirstUse(t *testing.T) {
	b := New(limit, 0.5, start)
	now := start.Add(20 * time.Second)
	if left := b.Remaining(now, Retry); left != 15 {
		t.Errorf("%v left of a bucket of 15 after 20 s", left)
	}
	if !b.Full(now) || !b.Spend(now, Retry) || b.Full(now) {
		t.Error("want it full until a token is spent")
	}
}

// Guards against more extra sends than allowed when callers move. The VMs that carry most of
// the load spend their buckets and are lost; VMs with small shares take over. Their buckets
// must not be filled as if they had always had the large share.
func TestRaisedShareDoesNotFillBucket(t *testing.T) {
	b := New(limit, 0.01, start)
	now := start.Add(time.Minute)
	b.SetShare(now, 0.5)
	if left := b.Remaining(now, Retry); left > minBurst {
		t.Errorf("%v left at once", left)
	}
	if left := b.Remaining(now.Add(5*time.Second), Retry); left < 7 || left > 9 {
		t.Errorf("%v left after half a window, want about a quarter of the share of 30 more", left)
	}
}

// Guards against hedges that are asked for again long before or after the budget allows one.
func TestAllowedAtFollowsInflowAndRequests(t *testing.T) {
	b := New(limit, 1, start)
	if at := b.AllowedAt(start, Retry); at.Sub(start) < 300*time.Millisecond || at.Sub(start) > 350*time.Millisecond {
		t.Errorf("allowed after %v with three tokens a second", at.Sub(start))
	}
	now := start
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		b.AddRequest()
		b.Spend(now, Retry)
	}
	for b.Spend(now, Retry) {
	}
	at := b.AllowedAt(now, Retry)
	if b.Remaining(at.Add(-time.Millisecond), Retry) >= 1 || at.Sub(now) > 100*time.Millisecond {
		t.Errorf("allowed after %v with three tokens a second and ten that requests add", at.Sub(now))
	}
	if at := New(Limit{}, 1, start).AllowedAt(start, Retry); !at.IsZero() {
		t.Errorf("allowed at %v without any limit", at)
	}
}

// Guards against a flood of less urgent hedges that takes what urgent hedges need, and against
// hedges that take what retries need, whatever the share of the VM.
func TestUrgentClaimsFindTokensAfterAFlood(t *testing.T) {
	flood := func(b *Budget, now time.Time, kind Kind) (n int) {
		for b.Spend(now, kind) {
			n++
		}
		return n
	}
	for _, share := range []float64{0.3, 1} {
		b := New(limit, share, start)
		now := start.Add(time.Minute)
		less, urgent, retries := flood(b, now, LessUrgentHedge), flood(b, now, Hedge), flood(b, now, Retry)
		if less == 0 || urgent < 2 || retries < 2 {
			t.Errorf("share %v: %d less urgent hedges, then %d urgent ones, then %d retries", share, less, urgent, retries)
		}
		// Under a lasting flood, an urgent hedge finds a token at any time.
		for range 2000 {
			now = now.Add(10 * time.Millisecond)
			b.AddRequest()
			flood(b, now, LessUrgentHedge)
		}
		if !b.Spend(now, Hedge) || !b.Spend(now, Retry) {
			t.Errorf("share %v: no urgent hedge or retry under a lasting flood", share)
		}
	}
}

// Guards against reserves that allow more than the bucket holds, which would break the limit on
// all VMs together: no kind may be allowed what a retry is not.
func TestReservesOnlyRefuse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(limit, rapid.Float64Range(0, 1).Draw(t, "share"), start)
		now := start
		for range 30 {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			b.AddRequest()
			allowed := b.Remaining(now, Retry) >= 1
			if kind := rapid.SampledFrom(Kinds).Draw(t, "kind"); b.Spend(now, kind) && !allowed {
				t.Fatalf("a %v without a token", kind)
			}
		}
	})
}
