package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func key(id uint64) Key { return Key{VM: "vm-1", Incarnation: 7, ID: id} }

func smallLedger() *Ledger {
	return NewLedger(LedgerOptions{Tombstones: 2, TombstoneAge: time.Second, Idempotent: 3, NonIdempotent: 2, Age: 10 * time.Second})
}

// Symptom: a request runs twice at the upstream.
// Sequence: its frame comes twice: while the first waits, and after its answer.
// Cause: the owner did not remember ids.
func TestDuplicate(t *testing.T) {
	g := NewWithT(t)
	l := smallLedger()
	g.Expect(l.Arrive(at(0), key(1), false)).To(Equal(Fresh))
	g.Expect(l.Arrive(at(1), key(1), false)).To(Equal(Open))
	l.Close(key(1))
	g.Expect(l.Arrive(at(2), key(1), false)).To(Equal(Answered))
	other := key(1)
	other.Incarnation = 8
	g.Expect(l.Arrive(at(2), other, false)).To(Equal(Fresh), "another process counts its own ids")
}

// Symptom: a withdrawn request runs all the same.
// Sequence: the cancellation overtakes its request on another stream.
// Cause: a cancellation of an unknown id was forgotten.
func TestTombstone(t *testing.T) {
	g := NewWithT(t)
	l := smallLedger()
	g.Expect(l.Cancel(at(0), key(1))).To(BeFalse())
	g.Expect(l.Arrive(at(999), key(1), true)).To(Equal(Cancelled))
	g.Expect(l.Arrive(at(1000), key(1), true)).To(Equal(Answered), "the late copy stays stopped")
	l.Cancel(at(1000), key(2))
	g.Expect(l.Arrive(at(2000), key(2), true)).To(Equal(Fresh), "a tombstone ends with its age")
	l.Close(key(2))
	l.Cancel(at(2001), key(2))
	g.Expect(l.tombstones.at).To(BeEmpty(), "nothing is left to cancel of an answered request")
}

// Symptom: memory grows with the number of requests, or a non-idempotent one
// runs twice since its id was pushed out by others.
// Sequence: more ids come within the age than are remembered.
// Cause: no bound, or one memory for both.
func TestLedgerBounds(t *testing.T) {
	g := NewWithT(t)
	l := smallLedger()
	g.Expect(l.Arrive(at(0), key(1), false)).To(Equal(Fresh))
	for id := uint64(10); id < 100; id++ {
		l.Arrive(at(1), key(id), true)
		l.Close(key(id))
		l.Cancel(at(1), key(id+1000))
	}
	g.Expect(l.Len()).To(Equal(3 + 2 + 1))
	g.Expect(l.Arrive(at(2), key(1), false)).To(Equal(Open))
	g.Expect(l.Arrive(at(2), key(2), false)).To(Equal(Fresh))
	g.Expect(l.Arrive(at(2), key(3), false)).To(Equal(Full), "refused rather than forgetting")
	g.Expect(l.Arrive(at(10_000), key(3), false)).To(Equal(Fresh))
}

// TestLedgerProperties sends, repeats, answers and cancels at random: within the
// age an id is let through at most once, never after its cancellation, and what
// is remembered stays bounded.
func TestLedgerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		opts := LedgerOptions{Tombstones: 4, TombstoneAge: time.Second, Idempotent: 4, NonIdempotent: 4, Age: 5 * time.Second}
		l := NewLedger(opts)
		now := 0
		let := map[uint64]int{}
		stopped := map[uint64]int{}
		ids := rapid.Uint64Range(1, 12)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				id := ids.Draw(t, "id")
				if l.Arrive(at(now), key(id), false) != Fresh {
					return
				}
				if when, ok := let[id]; ok && now-when < 5000 {
					t.Fatalf("id %d let through twice", id)
				}
				if when, ok := stopped[id]; ok && now-when < 1000 && len(stopped) <= opts.Tombstones {
					t.Fatalf("id %d let through after its cancellation", id)
				}
				let[id] = now
			},
			"close": func(t *rapid.T) { l.Close(key(ids.Draw(t, "id"))) },
			"cancel": func(t *rapid.T) {
				id := ids.Draw(t, "id")
				if _, ok := let[id]; !ok {
					stopped[id] = now
				}
				l.Cancel(at(now), key(id))
			},
			"wait": func(t *rapid.T) { now += rapid.IntRange(0, 700).Draw(t, "ms") },
			"": func(t *rapid.T) {
				if l.Len() > 12 {
					t.Fatalf("remembers %d ids", l.Len())
				}
			},
		})
	})
}

// Symptom: memory grows with each restart of a VM in the fleet.
// Sequence: many processes send one request each.
// Cause: processes were never forgotten.
func TestLedgerForgetsSenders(t *testing.T) {
	g := NewWithT(t)
	l := smallLedger()
	for i := range uint64(3 * maxSenders) {
		k := Key{VM: "vm-1", Incarnation: i, ID: 1}
		g.Expect(l.Arrive(at(int(i)), k, true)).To(Equal(Fresh))
		l.Close(k)
	}
	g.Expect(len(l.senders.byName)).To(BeNumerically("<=", maxSenders+1))
}

// Symptom: an owner that wakes runs what was cancelled while it slept.
// Sequence: ticks stop for two seconds, then the process goes on.
// Cause: queued work was dispatched before what waited outside was read.
func TestPause(t *testing.T) {
	g := NewWithT(t)
	p := NewPause(PauseOptions{Gap: time.Second, Settle: 100 * time.Millisecond})
	step := func(ms int, tick bool) (bool, time.Duration) {
		held, gap := p.Check(at(ms))
		if tick {
			p.Tick(at(ms))
		}
		return held, gap
	}
	held, _ := step(50_000, false)
	g.Expect(held).To(BeFalse(), "nothing is known before the first tick")
	step(50_000, true)
	held, _ = step(50_999, false)
	g.Expect(held).To(BeFalse())
	held, gap := step(52_000, false)
	g.Expect(held).To(BeTrue(), "noticed by the first who looks, tick or not")
	g.Expect(gap).To(Equal(2 * time.Second))
	held, _ = step(52_099, true)
	g.Expect(held).To(BeTrue())
	held, _ = step(52_100, true)
	g.Expect(held).To(BeFalse())
}

// Symptom: after a VM was suspended its owner acts on old views.
// Sequence: the monotonic clock stands still while the wall clock goes on.
// Cause: only the monotonic clock was read.
func TestSuspend(t *testing.T) {
	g := NewWithT(t)
	then := time.Now()
	g.Expect(since(then.Add(time.Millisecond), then.Add(-time.Hour).Round(0))).To(BeNumerically(">=", time.Hour))
}

func TestLimiter(t *testing.T) {
	const service = 10 * time.Millisecond
	for name, c := range map[string]struct {
		policy LimitPolicy
		drive  func(l *Limiter)
		want   int
	}{
		"starts at one":              {AIMD, func(*Limiter) {}, 1},
		"ramps with each success":    {AIMD, func(l *Limiter) { succeed(l, 2) }, 3},
		"never above the published":  {AIMD, func(l *Limiter) { succeed(l, 100) }, 5},
		"a shed cuts":                {AIMD, func(l *Limiter) { succeed(l, 4); l.Shed(at(0)) }, 3},
		"sheds together cut once":    {AIMD, func(l *Limiter) { succeed(l, 4); l.Shed(at(0)); l.Shed(at(1)) }, 3},
		"never below one":            {AIMD, func(l *Limiter) { shedStorm(l) }, 1},
		"recovers after a shed":      {AIMD, func(l *Limiter) { shedStorm(l); succeed(l, 250) }, 5},
		"an unused limit stays":      {AIMD, func(l *Limiter) { l.Success(at(0), service, 0) }, 1},
		"the published number falls": {AIMD, func(l *Limiter) { succeed(l, 4); l.Publish(2) }, 2},
		"nothing published":          {AIMD, func(l *Limiter) { l.Publish(0) }, 0},
		"fixed":                      {Fixed, shedStorm, 5},
		"gradient under inflation":   {Gradient, func(l *Limiter) { succeed(l, 20); inflate(l) }, 2},
		"latency under inflation":    {AIMDLatency, func(l *Limiter) { succeed(l, 20); inflate(l) }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLimiter(c.policy, 5)
			c.drive(l)
			NewWithT(t).Expect(l.Limit()).To(Equal(c.want))
		})
	}
}

func succeed(l *Limiter, n int) {
	for range n {
		l.Success(at(0), 10*time.Millisecond, l.Limit())
	}
}

func shedStorm(l *Limiter) {
	for i := range 20 {
		l.Shed(at(i * 100))
	}
}

func inflate(l *Limiter) {
	for i := range 30 {
		l.Success(at(100*i), 80*time.Millisecond, l.Limit())
	}
}
