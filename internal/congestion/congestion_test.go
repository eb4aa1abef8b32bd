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
	shards        = 10
	refusedShards = 5
)

// newLimiterRunning returns a Limiter with n running queries.
func newLimiterRunning(n int) *Limiter {
	l := New(DefaultPolicy())
	for range n {
		l.Start(pb.Priority_HIGH)
	}
	return l
}

// Guards against unbounded concurrent queries above the upstreams' capacity: owners then
// refuse sub-requests of most queries, each query loses a shard, and complete answers become
// fewer as load grows.
func TestCongestionLowersLimit(t *testing.T) {
	g := NewWithT(t)
	l := newLimiterRunning(20)
	l.Done(epoch.Add(time.Second), epoch, Outcome{Shards: shards, RefusedShards: refusedShards})
	g.Expect(l.Limit()).To(BeNumerically("~", 15))
	g.Expect(l.Start(pb.Priority_HIGH)).To(BeFalse())
}

// Guards against a limit that falls to its minimum on a single congestion: twenty concurrent
// queries report the same queue, and each report lowers the limit.
func TestConcurrentQueriesLowerLimitOnce(t *testing.T) {
	g := NewWithT(t)
	l := newLimiterRunning(20)
	for i := range 20 {
		l.Done(epoch.Add(time.Second+time.Duration(i)), epoch, Outcome{Shards: shards, RefusedShards: refusedShards})
	}
	g.Expect(l.Limit()).To(BeNumerically("~", 15))
}

// Guards against refusing callers while all shards but one have capacity: all replicas of one
// shard shed load, and each query misses that shard.
func TestOneLostShardIsNotCongestion(t *testing.T) {
	g := NewWithT(t)
	l := newLimiterRunning(20)
	l.Done(epoch.Add(time.Second), epoch, Outcome{Shards: shards, RefusedShards: 1})
	l.Done(epoch.Add(time.Second), epoch, Outcome{Shards: 1, RefusedShards: 1})
	g.Expect(l.Limit()).To(Equal(DefaultPolicy().InitialLimit))
}

// Guards against a VM that admits every query of a burst before the first congestion.
func TestInitialLimit(t *testing.T) {
	g := NewWithT(t)
	p := DefaultPolicy().WithSlots(6)
	l, admitted := New(p), 0
	for l.Start(pb.Priority_HIGH) {
		admitted++
	}
	g.Expect(admitted).To(Equal(24))
	g.Expect(New(DefaultPolicy().WithSlots(1)).Limit()).To(Equal(16.0))
	g.Expect(New(DefaultPolicy().WithSlots(0)).Limit()).To(Equal(DefaultPolicy().InitialLimit))
}

// Guards against an initial limit that refuses load within the upstreams' capacity: until a
// query finds an upstream full, the limit doubles in the time of one query.
func TestLimitDoublesBeforeFirstCongestion(t *testing.T) {
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

func TestLimitGrowsWhileInUse(t *testing.T) {
	g := NewWithT(t)
	l := newLimiterRunning(10)
	l.Done(epoch.Add(time.Second), epoch, Outcome{Shards: shards, RefusedShards: refusedShards})
	low := l.Limit()
	for range 100 {
		l.Start(pb.Priority_HIGH)
		l.Done(epoch.Add(2*time.Second), epoch.Add(2*time.Second), Outcome{Shards: shards})
	}
	g.Expect(l.Limit()).To(BeNumerically(">", low+2))
}

// In a burst above capacity that lasts for seconds, callers must not retry over and over
// within the burst. The first refusal of an episode, and one after an earlier episode has
// ended, must not cause a long wait.
func TestRetryAfterGrowsWithEpisode(t *testing.T) {
	g := NewWithT(t)
	l := New(DefaultPolicy())
	wait := func(at time.Duration) time.Duration { return l.RetryAfter(epoch.Add(at)) }
	g.Expect(wait(0)).To(Equal(250 * time.Millisecond))
	g.Expect(wait(900 * time.Millisecond)).To(Equal(900 * time.Millisecond))
	g.Expect(wait(1800 * time.Millisecond)).To(Equal(1800 * time.Millisecond))
	g.Expect(wait(2700 * time.Millisecond)).To(Equal(2 * time.Second))
	g.Expect(wait(3800 * time.Millisecond)).To(Equal(250 * time.Millisecond))
}

func TestLowPrioritiesAreRefusedFirst(t *testing.T) {
	g := NewWithT(t)
	l := newLimiterRunning(20)
	l.Done(epoch.Add(time.Second), epoch, Outcome{Shards: shards, RefusedShards: refusedShards})
	for range 7 {
		l.Abandon()
	}
	g.Expect(l.Start(pb.Priority_LOW)).To(BeFalse())
	g.Expect(l.Start(pb.Priority_NORMAL)).To(BeTrue())
}

func TestLimitKeepsMinimumAndAdmitsWhenIdle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now, running := New(DefaultPolicy()), epoch, 0
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				idle := running == 0
				p := rapid.SampledFrom([]pb.Priority{pb.Priority_LOW, pb.Priority_NORMAL, pb.Priority_HIGH}).Draw(t, "priority")
				if l.Start(p) {
					running++
				} else if idle {
					t.Fatal("query refused while none is running")
				}
			},
			"done": func(t *rapid.T) {
				if running == 0 {
					t.Skip()
				}
				running--
				now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
				l.Done(now, now.Add(-time.Second), Outcome{Shards: shards, RefusedShards: rapid.IntRange(0, shards).Draw(t, "refused shards"), Late: rapid.Bool().Draw(t, "late")})
			},
			"": func(t *rapid.T) {
				if l.Limit() < DefaultPolicy().MinLimit || l.running != running {
					t.Fatalf("limit %v, running %d, limiter counts %d", l.Limit(), running, l.running)
				}
			},
		})
	})
}
