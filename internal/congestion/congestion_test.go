package congestion

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

var epoch = time.Unix(1_700_000_000, 0)

const (
	shards    = 10
	congested = 5
)

// started is a limiter with n queries running.
func started(n int) *Limiter {
	l := New(DefaultPolicy())
	for range n {
		l.Start(pb.Priority_HIGH)
	}
	return l
}

// Symptom: above capacity fewer whole answers come the more is offered.
// Sequence: owners refuse sub-requests of most queries; each loses some shard.
// Cause: nothing bounds the queries that are scattered at a time.
func TestCongestionBoundsTheQueriesThatRun(t *testing.T) {
	g := NewWithT(t)
	l := started(20)
	l.Done(epoch.Add(time.Second), epoch, Outcome{Shards: shards, NoRoom: congested})
	g.Expect(l.Limit()).To(BeNumerically("~", 15))
	g.Expect(l.Start(pb.Priority_HIGH)).To(BeFalse())
}

// Symptom: the limit falls to its least at one moment of congestion.
// Sequence: twenty queries run side by side; each one reports the same queue.
// Cause: a cut for each report and not for each round.
func TestQueriesThatRanSideBySideCutOnce(t *testing.T) {
	g := NewWithT(t)
	l := started(20)
	for i := range 20 {
		l.Done(epoch.Add(time.Second+time.Duration(i)), epoch, Outcome{Shards: shards, NoRoom: congested})
	}
	g.Expect(l.Limit()).To(BeNumerically("~", 15))
}

// Symptom: a lost shard refuses callers though the others have room.
// Sequence: all replicas of one shard shed; each query misses that shard.
// Cause: a missing shard taken for a want of room everywhere.
func TestOneLostShardIsNoCongestion(t *testing.T) {
	g := NewWithT(t)
	l := started(20)
	l.Done(epoch.Add(time.Second), epoch, Outcome{Shards: shards, NoRoom: 1})
	l.Done(epoch.Add(time.Second), epoch, Outcome{Shards: 1, NoRoom: 1})
	g.Expect(l.Limit()).To(Equal(DefaultPolicy().First))
}

// Guards against a VM that takes in all that comes at once before the first congestion shows.
func TestBeforeAnyCongestionThereIsALimit(t *testing.T) {
	g := NewWithT(t)
	p := DefaultPolicy().WithSlots(6)
	l, began := New(p), 0
	for l.Start(pb.Priority_HIGH) {
		began++
	}
	g.Expect(began).To(Equal(24))
	g.Expect(New(DefaultPolicy().WithSlots(1)).Limit()).To(Equal(16.0))
	g.Expect(New(DefaultPolicy().WithSlots(0)).Limit()).To(Equal(DefaultPolicy().First))
}

// Guards against a limit that holds back a load which the upstreams carry: while no query has
// found a full upstream, it doubles in the time of one query.
func TestBeforeAnyCongestionTheLimitDoublesWhileItIsUsed(t *testing.T) {
	g := NewWithT(t)
	l := New(DefaultPolicy().WithSlots(6))
	running := 0
	fill := func() {
		for l.Start(pb.Priority_HIGH) {
			running++
		}
	}
	fill()
	for _, want := range []int{48, 96, 192} {
		for range running {
			l.Done(epoch.Add(time.Second), epoch, Outcome{Shards: shards})
			running--
			fill()
		}
		g.Expect(running).To(Equal(want))
	}
}

func TestTheLimitGrowsWhileItIsUsed(t *testing.T) {
	g := NewWithT(t)
	l := started(10)
	l.Done(epoch.Add(time.Second), epoch, Outcome{Shards: shards, NoRoom: congested})
	low := l.Limit()
	for range 100 {
		l.Start(pb.Priority_HIGH)
		l.Done(epoch.Add(2*time.Second), epoch.Add(2*time.Second), Outcome{Shards: shards})
	}
	g.Expect(l.Limit()).To(BeNumerically(">", low+2))
}

// Answers the pattern of a burst beyond capacity that lasts for seconds. Guards against
// callers who are told to come back within it again and again, and against a long wait at the
// first refusal or after a spell that is over.
func TestTheWaitIsAsLongAsTheCongestionHasLasted(t *testing.T) {
	g := NewWithT(t)
	l := New(DefaultPolicy())
	wait := func(at time.Duration) time.Duration { return l.RetryAfter(epoch.Add(at)) }
	g.Expect(wait(0)).To(Equal(250 * time.Millisecond))
	g.Expect(wait(900 * time.Millisecond)).To(Equal(900 * time.Millisecond))
	g.Expect(wait(1800 * time.Millisecond)).To(Equal(1800 * time.Millisecond))
	g.Expect(wait(2700 * time.Millisecond)).To(Equal(2 * time.Second))
	g.Expect(wait(3800 * time.Millisecond)).To(Equal(250 * time.Millisecond))
}

func TestLowPrioritiesFindNoRoomFirst(t *testing.T) {
	g := NewWithT(t)
	l := started(20)
	l.Done(epoch.Add(time.Second), epoch, Outcome{Shards: shards, NoRoom: congested})
	for range 7 {
		l.Abandon()
	}
	g.Expect(l.Start(pb.Priority_LOW)).To(BeFalse())
	g.Expect(l.Start(pb.Priority_NORMAL)).To(BeTrue())
}

func TestTheLimitStaysInItsBoundsAndLetsSomeoneRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now, running := New(DefaultPolicy()), epoch, 0
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				idle := running == 0
				p := rapid.SampledFrom([]pb.Priority{pb.Priority_LOW, pb.Priority_NORMAL, pb.Priority_HIGH}).Draw(t, "priority")
				if l.Start(p) {
					running++
				} else if idle {
					t.Fatal("nothing runs and nothing may start")
				}
			},
			"done": func(t *rapid.T) {
				if running == 0 {
					t.Skip()
				}
				running--
				now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
				l.Done(now, now.Add(-time.Second), Outcome{Shards: shards, NoRoom: rapid.IntRange(0, shards).Draw(t, "no room"), Late: rapid.Bool().Draw(t, "late")})
			},
			"": func(t *rapid.T) {
				if l.Limit() < DefaultPolicy().Least || l.running != running {
					t.Fatalf("limit %v, running %d, counted %d", l.Limit(), running, l.running)
				}
			},
		})
	})
}
