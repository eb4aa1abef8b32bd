package congestion

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

const (
	low, high = pb.Priority_LOW, pb.Priority_HIGH
	objective = 400 * time.Millisecond
	deadline  = 3 * time.Second
	// duration is how long the queries of these tests take.
	duration = 100 * time.Millisecond
)

func after(d time.Duration) time.Time { return epoch.Add(d) }

func query(p pb.Priority, at, deadline time.Duration) *Query {
	return &Query{Route: "r", Priority: p, Arrived: after(at), Objective: objective, Deadline: deadline}
}

// newGroupRunning returns a Group in which n queries of a class run since epoch. The class
// expects queries to take duration, and its limit is n.
func newGroupRunning(p pb.Priority, n int) (*Group, []*Query) {
	policy := DefaultPolicy()
	policy.InitialLimit = float64(n) / (1 - reservedShare(p))
	g := NewGroup(policy)
	first := query(p, -duration, deadline)
	g.Ask(first.Arrived, first)
	g.Done(epoch, first, Outcome{Shards: shards})
	var running []*Query
	for range n {
		q := query(p, 0, deadline)
		if g.Ask(epoch, q) != Admitted {
			panic("refused below the limit")
		}
		running = append(running, q)
	}
	return g, running
}

// Guards against a limit that falls only when the queues of the upstreams are full, against
// one that falls when a few copies are at fault (parts then wait at the VM, but no more than
// the answer may leave out), and against one that falls while queries are still in time.
func TestHeldUpPartsLowerTheLimit(t *testing.T) {
	for _, c := range []struct {
		heldUp        int
		late, lowered bool
	}{{2, true, false}, {3, true, true}, {3, false, false}} {
		g := NewWithT(t)
		l := newLimiterRunning(20)
		l.Done(after(time.Second), epoch, Outcome{Shards: shards, HeldUpShards: c.heldUp, Expendable: 2, Late: c.late})
		g.Expect(l.Limit() < DefaultPolicy().InitialLimit).To(Equal(c.lowered), "%+v", c)
	}
}

// Guards against a limit that falls to its minimum below capacity: a pause of one upstream
// holds up a query while hardly another one runs.
func TestMildCongestionKeepsHalfOfTheLimit(t *testing.T) {
	g := NewWithT(t)
	l := newLimiterRunning(2)
	l.Done(after(time.Second), epoch, Outcome{Shards: shards, HeldUpShards: 2, Expendable: 1, Late: true})
	g.Expect(l.Limit()).To(BeNumerically("~", 64*0.5*0.875))
}

// Guards against congestion of a less urgent class that refuses a more urgent one.
func TestCongestionOfAClassLeavesOtherClasses(t *testing.T) {
	g := NewWithT(t)
	group, running := newGroupRunning(low, 20)
	for _, q := range running {
		group.Done(after(time.Second), q, Outcome{Shards: shards, RefusedShards: shards})
	}
	limits := map[pb.Priority]float64{}
	for range 20 {
		g.Expect(group.Ask(after(time.Second), query(high, time.Second, deadline))).To(Equal(Admitted))
	}
	group.Limits(func(p pb.Priority, limit float64) { limits[p] = limit })
	g.Expect(limits[low]).To(BeNumerically("<", limits[high]))
}

// Guards against a more urgent class that is refused more often than a less urgent one of
// the same shards, whose limit happens to be higher. A class without a running query is
// exempt, so that it learns when the congestion is over.
func TestLessUrgentClassIsRefusedAsOften(t *testing.T) {
	g := NewWithT(t)
	group, _ := newGroupRunning(high, 4)
	refused := query(high, 0, deadline)
	refused.Objective = 0
	g.Expect(group.Ask(epoch, refused)).To(Equal(Refused))
	group.RetryAfter(epoch, refused, 0)
	g.Expect(group.Ask(epoch, query(low, 0, deadline))).To(Equal(Admitted))
	other := query(low, 0, deadline)
	g.Expect(group.Ask(epoch, other)).To(Equal(Refused))
	group.RetryAfter(epoch, other, 0)
	g.Expect(group.Ask(epoch, query(low, 0, deadline))).To(Equal(Admitted))
	g.Expect(group.Ask(after(1100*time.Millisecond), query(low, 1100*time.Millisecond, deadline))).To(Equal(Admitted))
}

// Guards against refusals that a wait of some milliseconds would have saved, and against a
// wait out of order: the query with the least time left comes first.
func TestQueriesWaitInOrder(t *testing.T) {
	g := NewWithT(t)
	group, running := newGroupRunning(high, 20)
	later, sooner, last := query(high, 0, deadline), query(high, 0, deadline), query(high, 0, deadline)
	sooner.Objective -= 10 * time.Millisecond
	for _, q := range []*Query{later, sooner, last} {
		g.Expect(group.Ask(epoch, q)).To(Equal(Waiting))
	}
	for i, want := range []*Query{sooner, later, last} {
		g.Expect(group.Done(after(duration), running[i], Outcome{})).To(Equal([]Verdict{{Query: want, Decision: Admitted}}))
	}
	g.Expect(group.Leave(later)).To(BeFalse())
}

// Guards against refusals below the limit because answers are slow: slow upstreams make queries
// late without any congestion, and some of them are still in time.
func TestSlowAnswersRefuseNothingBelowTheLimit(t *testing.T) {
	g := NewWithT(t)
	group, running := newGroupRunning(high, 20)
	late := after(2 * objective)
	for i, q := range running[:18] {
		o := Outcome{Shards: shards, Late: true}
		if i == 0 {
			o.RefusedShards = 1
		}
		group.Done(late, q, o)
	}
	g.Expect(group.Ask(late, query(high, 2*objective, deadline))).To(Equal(Admitted))
}

// Guards against callers that are held and then refused: a query does not begin to wait if
// it would not get a place within a quarter of its objective, or would then be late.
func TestHopelessWaitsAreRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	group, _ := newGroupRunning(high, 2)
	g.Expect(group.Ask(epoch, query(high, 0, deadline))).To(Equal(Waiting), "50 ms expected of 100 ms")
	g.Expect(group.Ask(epoch, query(high, 0, deadline))).To(Equal(Waiting), "100 ms expected of 100 ms")
	g.Expect(group.Ask(epoch, query(high, 0, deadline))).To(Equal(Refused), "150 ms expected of 100 ms")
	group, _ = newGroupRunning(high, 20)
	for name, change := range map[string]func(*Query){
		"an objective shorter than a query":  func(q *Query) { q.Objective = duration },
		"a deadline shorter than a query":    func(q *Query) { q.Deadline = duration },
		"no objective":                       func(q *Query) { q.Objective = 0 },
		"an objective that has nearly ended": func(q *Query) { q.Arrived = epoch.Add(-objective / 4) },
	} {
		q := query(high, 0, deadline)
		change(q)
		g.Expect(group.Ask(epoch, q)).To(Equal(Refused), name)
	}
}

// Guards against callers that retry when there is no room yet, all at once, beyond the time
// that they have, or sooner than more urgent ones.
func TestRetryAfterIsTheTimeUntilThereIsRoom(t *testing.T) {
	g := NewWithT(t)
	group, _ := newGroupRunning(high, 10)
	var first, last time.Duration
	for i := range 100 {
		last = group.RetryAfter(epoch, query(high, 0, deadline), 0.5)
		if i == 0 {
			first = last
		}
	}
	g.Expect(first).To(Equal(minRetryAfter))
	g.Expect(last).To(BeNumerically("~", 800*time.Millisecond, 10*time.Millisecond), "the middle of the spread up to a third of 3 s")
	g.Expect(group.RetryAfter(epoch, query(high, 0, deadline), 0)).To(BeNumerically("~", 600*time.Millisecond, 10*time.Millisecond))
	g.Expect(group.RetryAfter(epoch, query(high, 0, 900*time.Millisecond), 0.99)).To(BeNumerically("<=", 300*time.Millisecond))
	g.Expect(group.RetryAfter(epoch, query(high, 0, 300*time.Millisecond), 0.99)).To(BeNumerically("<=", 100*time.Millisecond))
	g.Expect(group.RetryAfter(after(time.Second), query(high, 0, time.Second), 0.99)).To(BeZero())
	g.Expect(group.RetryAfter(epoch, query(high, 0, 0), 0.99)).To(BeNumerically("<=", maxRetryAfter))

	urgent := group.RetryAfter(epoch, query(high, 0, deadline), 0)
	lessUrgent := query(low, 0, deadline)
	group.Ask(epoch, lessUrgent)
	g.Expect(group.RetryAfter(epoch, lessUrgent, 0)).To(BeNumerically(">=", urgent))
}

// Guards against places that are kept for callers that return while new queries are refused:
// under a lasting overload all queries are then answered on the second try, late.
func TestReturningCallersHaveNoPreference(t *testing.T) {
	g := NewWithT(t)
	group, running := newGroupRunning(high, 12)
	for range 9 {
		g.Expect(group.RetryAfter(epoch, query(high, 0, deadline), 0)).To(BeNumerically("<=", 600*time.Millisecond))
	}
	at := 600 * time.Millisecond
	for _, q := range running {
		group.Done(after(at), q, Outcome{})
	}
	ask := func(deadline time.Duration) Decision {
		q := query(high, at, deadline)
		q.Objective = 0
		return group.Ask(after(at), q)
	}
	for i := range 12 {
		g.Expect(ask(deadline)).To(Equal(Admitted), "new query %d", i)
	}
	g.Expect(ask(deadline - time.Second)).To(Equal(Refused))

	group, running = newGroupRunning(high, 12)
	waiting := query(high, at, deadline)
	g.Expect(group.Ask(after(at), waiting)).To(Equal(Waiting))
	g.Expect(ask(deadline-time.Second)).To(Equal(Refused), "second try behind a query that waits")
	verdicts := group.Done(after(at), running[0], Outcome{})
	g.Expect(verdicts).To(Equal([]Verdict{{Query: waiting, Decision: Admitted}}))
}

// Guards against a Retry-After that counts callers for good that were told to return and have
// not.
func TestLapsedReturnsDoNotDelayOthers(t *testing.T) {
	g := NewWithT(t)
	group, _ := newGroupRunning(high, 2)
	first := group.RetryAfter(epoch, query(high, 0, deadline), 0)
	for range 20 {
		group.RetryAfter(epoch, query(high, 0, deadline), 0)
	}
	g.Expect(group.RetryAfter(epoch, query(high, 0, deadline), 0)).To(BeNumerically(">", first))
	later := 4 * time.Second
	g.Expect(group.RetryAfter(after(later), query(high, later, deadline), 0)).To(Equal(first))
}

// Guards against callers that return within an overload that lasts: Retry-After is as long as
// the congestion has lasted, as far as the caller's time allows.
func TestRetryAfterGrowsWithCongestion(t *testing.T) {
	g := NewWithT(t)
	group, _ := newGroupRunning(high, 12)
	longest := time.Duration(0)
	for at := time.Duration(0); at <= 1500*time.Millisecond; at += 300 * time.Millisecond {
		longest = group.RetryAfter(after(at), query(high, at, time.Minute), 1)
	}
	g.Expect(longest).To(BeNumerically(">=", 1500*time.Millisecond))
}

// Guards against queries whose usual deadline is taken for that of a second try, after the
// callers of a route have changed it.
func TestUsualDeadlineIsRecent(t *testing.T) {
	g := NewWithT(t)
	group, _ := newGroupRunning(high, 1)
	returning := func(at, deadline time.Duration) bool {
		q := query(high, at, deadline)
		group.Ask(after(at), q)
		return q.Returning
	}
	g.Expect(returning(0, deadline-100*time.Millisecond)).To(BeFalse())
	g.Expect(returning(0, deadline-250*time.Millisecond)).To(BeTrue())
	g.Expect(returning(0, 0)).To(BeFalse())
	for at := time.Second; at < 4*usualPeriod; at += time.Second {
		second := returning(at, deadline/2)
		if at <= usualPeriod || at > 3*usualPeriod {
			g.Expect(second).To(Equal(at <= usualPeriod), "%v after the last longer deadline", at)
		}
	}
}

// Guards against places and waiting queries that are lost: whatever the order of arrivals,
// ends and departures, each query ends once, and an idle class admits a query.
func TestNoPlaceIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := DefaultPolicy()
		policy.InitialLimit = 4
		g, now := NewGroup(policy), epoch
		running, waiting := map[*Query]bool{}, map[*Query]bool{}
		any := func(from map[*Query]bool) *Query {
			for q := range from {
				delete(from, q)
				return q
			}
			t.Skip()
			return nil
		}
		take := func(verdicts []Verdict) {
			for _, v := range verdicts {
				if !waiting[v.Query] || v.Decision == Waiting {
					t.Fatalf("verdict %v on a query that does not wait", v.Decision)
				}
				delete(waiting, v.Query)
				if v.Decision == Admitted {
					running[v.Query] = true
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
				q := &Query{Route: "r", Priority: rapid.SampledFrom([]pb.Priority{low, pb.Priority_NORMAL, high}).Draw(t, "priority"), Arrived: now, Objective: objective, Deadline: rapid.SampledFrom([]time.Duration{deadline, deadline / 2}).Draw(t, "deadline")}
				idle := g.class(q.Priority).limiter.running == 0
				switch g.Ask(now, q) {
				case Admitted:
					running[q] = true
				case Waiting:
					waiting[q] = true
				default:
					if idle {
						t.Fatal("query refused while none of its class is running")
					}
					g.RetryAfter(now, q, rapid.Float64Range(0, 0.999).Draw(t, "random"))
				}
			},
			"end": func(t *rapid.T) {
				take(g.Done(now, any(running), Outcome{Shards: shards, HeldUpShards: rapid.IntRange(0, shards).Draw(t, "held up")}))
			},
			"abandon": func(t *rapid.T) { take(g.Abandon(now, any(running))) },
			"leave": func(t *rapid.T) {
				if q := any(waiting); !g.Leave(q) || g.Leave(q) {
					t.Fatal("a waiting query leaves once")
				}
			},
			"": func(t *rapid.T) {
				inRunning, inQueue, inWaiting := 0, 0, 0
				for _, c := range g.classes {
					inRunning += c.limiter.running
					inQueue += c.queue.Len()
					inWaiting += len(c.waiting)
					if c.queue.Running() != c.limiter.running {
						t.Fatalf("queue counts %d running, limiter %d", c.queue.Running(), c.limiter.running)
					}
				}
				if inRunning != len(running) || inQueue != len(waiting) || inWaiting != len(waiting) {
					t.Fatalf("%d running of %d, %d and %d waiting of %d", inRunning, len(running), inQueue, inWaiting, len(waiting))
				}
			},
		})
	})
}

// Guards against queries that are refused below capacity: a pause of one upstream makes a query
// late while the class has places left, and its low limit is lowered further. A limit that is in
// use is lowered.
func TestPauseBelowCapacityKeepsALowLimit(t *testing.T) {
	g := NewWithT(t)
	late := Outcome{Shards: shards, HeldUpShards: 1, Late: true, Priority: high}
	for _, c := range []struct {
		running int
		limit   float64
	}{{1, 8}, {7, 8}, {8, 7}} {
		p := DefaultPolicy()
		p.InitialLimit = 8
		l := New(p)
		for range c.running {
			l.Start(high)
		}
		l.Done(after(time.Second), epoch, late)
		g.Expect(l.Limit()).To(BeNumerically("~", c.limit), "%d running", c.running)
	}
}

// Guards against a class that begins with less room than the queries of one pause need, as it
// shares a small number of slots with others.
func TestClassesBeginWithRoomForAPause(t *testing.T) {
	g := NewWithT(t)
	g.Expect(DefaultPolicy().WithSlots(1).WithClasses(2).InitialLimit).To(BeNumerically("==", minClassLimit))
	g.Expect(DefaultPolicy().WithSlots(1).WithClasses(1).InitialLimit).To(BeNumerically("==", minInitialLimit))
	g.Expect(DefaultPolicy().WithSlots(24).WithClasses(2).InitialLimit).To(BeNumerically("==", queriesPerSlot*24/2))
}
