package share_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sycamorekeel.example/sycamorekeel/internal/share"
)

func TestPartsAddUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := share.Amount{
			Rate:        rapid.Float64Range(0.01, 1e6).Draw(t, "rate"),
			Burst:       rapid.IntRange(0, 1000).Draw(t, "burst"),
			Concurrency: rapid.IntRange(0, 1000).Draw(t, "concurrency"),
		}
		n := rapid.IntRange(1, 600).Draw(t, "members")
		sum := share.Amount{}
		for i := range n {
			p := limit.Part(i, n)
			sum.Rate += p.Rate
			sum.Burst += p.Burst
			sum.Concurrency += p.Concurrency
		}
		if sum.Burst != limit.Burst || sum.Concurrency != limit.Concurrency || sum.Rate > limit.Rate*(1+1e-9) {
			t.Fatalf("parts add up to %+v, limit %+v", sum, limit)
		}
	})
}

// newSettledNetwork returns a network whose VMs have passed their startup
// delay.
func newSettledNetwork(t fataler, seed uint64, limit share.Limit) *network {
	n := newNetwork(t, seed, limit)
	n.run(4 * time.Second)
	return n
}

func threeMembers(rate float64, concurrency int) share.Limit {
	return limitOf(rate, concurrency, "a", "b", "c")
}

// A customer whose callers all use one VM must get nearly the whole limit.
// Limits that are divided evenly and never lent would leave it a third.
func TestSkewedCallersGetNearlyTheWholeLimit(t *testing.T) {
	for _, k := range []int{3, 6} {
		members := []string{"a", "b", "c", "d", "e", "f"}[:k]
		n := newSettledNetwork(t, 1, limitOf(120, 60, members...))
		busy := n.vm("a")
		busy.demand, busy.concurrencyDemand = 200, 100
		began := n.now
		for busy.share.At(n.clock(busy)).Rate < 0.85*120 && n.now < began+time.Minute {
			n.run(step)
		}
		took := n.now - began
		n.run(5 * time.Second)
		n.messages, n.bytes, busy.usableRequests = 0, 0, 0
		n.run(20 * time.Second)
		a := busy.share.At(n.clock(busy))
		t.Logf("k=%d: rate %.0f%% of the limit (fixed parts: %.0f%%), concurrency %d of 60, 85%% after %v, %.1f messages/s, %.0f bytes each",
			k, 100*busy.usableRequests/20/120, 100.0/float64(k), a.Concurrency, took, float64(n.messages)/20, float64(n.bytes)/float64(n.messages))
		NewWithT(t).Expect(busy.usableRequests / 20).To(BeNumerically(">", 0.85*120))
		NewWithT(t).Expect(a.Concurrency).To(BeNumerically(">=", 60-k))
		NewWithT(t).Expect(took).To(BeNumerically("<", 3*time.Second))
	}
}

// A VM that lent nearly everything while idle must recover its own part when
// its load returns.
func TestMembersRecoverLentCapacity(t *testing.T) {
	n := newSettledNetwork(t, 2, threeMembers(120, 60))
	n.vm("a").demand, n.vm("a").concurrencyDemand = 200, 100
	n.run(10 * time.Second)
	for _, v := range n.vms {
		v.demand, v.concurrencyDemand = 200, 100
	}
	began := n.now
	low := func() float64 {
		least := 1e9
		for _, v := range n.vms {
			least = min(least, v.share.At(n.clock(v)).Rate)
		}
		return least
	}
	for low() < 39.9 && n.now < began+time.Minute {
		n.run(step)
	}
	t.Logf("equal parts again after %v", n.now-began)
	NewWithT(t).Expect(n.now - began).To(BeNumerically("<", 3*time.Second))
	for _, v := range n.vms {
		NewWithT(t).Expect(v.share.At(n.clock(v)).Concurrency).To(Equal(20))
	}
}

// A customer without load must cause no messages; regular announcements of
// shares would.
func TestIdleKindsSendNothing(t *testing.T) {
	n := newSettledNetwork(t, 3, threeMembers(120, 60))
	n.messages = 0
	n.run(10 * time.Second)
	NewWithT(t).Expect(n.messages).To(BeZero())
}

// rotateLoad gives all load to one VM after the other.
func (n *network) rotateLoad(times int, every time.Duration) {
	for i := range times {
		for j, v := range n.vms {
			v.demand, v.concurrencyDemand = 0, 0
			if i%len(n.vms) == j {
				v.demand, v.concurrencyDemand = 200, 100
			}
		}
		n.run(every)
	}
}

// scenario is a row of the table: the events while all load is on VM a.
type scenario struct {
	name string
	run  func(n *network)
}

// The VMs together must not admit more than the contract. They would if a loan
// were counted at neither VM or used at both.
func TestSumNeverExceedsTheLimit(t *testing.T) {
	pause := func(name string, d time.Duration) func(n *network) {
		return func(n *network) {
			n.vm(name).paused = true
			n.run(d)
			n.vm(name).paused = false
			n.run(3 * time.Second)
		}
	}
	rows := []scenario{
		{"nothing", func(n *network) { n.run(10 * time.Second) }},
		{"borrower paused past the lease", pause("a", 3*time.Second)},
		{"borrower paused briefly", pause("a", 1900*time.Millisecond)},
		{"lender paused past the lease", pause("b", 3*time.Second)},
		{"lender lost", func(n *network) { n.vm("b").paused = true; n.run(20 * time.Second) }},
		{"lender restarts", func(n *network) { n.restart(n.vm("b")); n.vm("b").demand = 200; n.run(6 * time.Second) }},
		{"borrower restarts", func(n *network) { n.restart(n.vm("a")); n.run(6 * time.Second) }},
		{"partition, both sides loaded", func(n *network) {
			n.isolate("a", "b", true)
			n.isolate("a", "c", true)
			n.vm("b").demand, n.vm("b").concurrencyDemand = 200, 100
			n.run(8 * time.Second)
			n.isolate("a", "b", false)
			n.run(4 * time.Second)
		}},
		{"partition in one direction", func(n *network) { n.blocked[[2]string{"a", "b"}] = true; n.run(8 * time.Second) }},
		{"delayed and duplicated messages", func(n *network) { n.maxDelay, n.duplicateRate = 3*time.Second, 0.5; n.run(20 * time.Second) }},
		{"delayed and duplicated messages, moving load", func(n *network) {
			n.maxDelay, n.duplicateRate = 1500*time.Millisecond, 0.7
			n.rotateLoad(30, time.Second)
		}},
		{"half of the messages lost", func(n *network) { n.lossRate = 0.5; n.run(20 * time.Second) }},
		{"load moves every second", func(n *network) { n.rotateLoad(20, time.Second) }},
		{"limit lowered, then raised", func(n *network) {
			for _, v := range n.vms {
				n.configure(v, threeMembers(60, 30))
				n.run(300 * time.Millisecond)
			}
			n.run(3 * time.Second)
			for _, v := range n.vms {
				n.configure(v, threeMembers(150, 70))
				n.run(300 * time.Millisecond)
			}
			n.run(3 * time.Second)
		}},
	}
	for _, row := range rows {
		for seed := range uint64(10) {
			t.Run(fmt.Sprintf("%s/%d", row.name, seed), func(t *testing.T) {
				n := newSettledNetwork(t, seed, threeMembers(120, 60))
				n.vm("a").demand, n.vm("a").concurrencyDemand = 200, 100
				n.run(5 * time.Second)
				row.run(n)
			})
		}
	}
}

// A reduced limit must hold one LenderTerm after it takes effect, even if most
// of the old limit was lent to one VM. Renewing loans under the old limit would
// break this.
func TestLowerLimitHoldsAfterLease(t *testing.T) {
	n := newSettledNetwork(t, 4, threeMembers(120, 60))
	n.vm("a").demand, n.vm("a").concurrencyDemand = 200, 100
	n.run(5 * time.Second)
	for _, v := range n.vms {
		n.configure(v, threeMembers(60, 30))
	}
	n.run(timing.LenderTerm() + n.vms[0].requestDuration)
	n.maxSum = share.Amount{}
	n.run(10 * time.Second)
	NewWithT(t).Expect(n.maxSum.Rate).To(BeNumerically("<=", 60*(1+1e-9)))
	NewWithT(t).Expect(n.maxSum.Concurrency).To(BeNumerically("<=", 30))
}

// The limit must hold while the VMs learn of a replaced member one after the
// other, within a lease. A new member that uses its share before the old one
// has dropped it would exceed the limit.
func TestSumHoldsDuringMemberChange(t *testing.T) {
	for seed := range uint64(20) {
		before, after := limitOf(120, 60, "a", "b", "c", "d"), limitOf(120, 60, "a", "b", "d")
		before.MaxDuration, after.MaxDuration = 3*time.Second, 3*time.Second
		n := newNetwork(t, seed, before)
		n.run(6 * time.Second)
		n.vm("a").demand, n.vm("a").concurrencyDemand = 200, 100
		n.vm("c").demand, n.vm("c").concurrencyDemand = 200, 100
		n.run(3 * time.Second)
		for _, i := range n.random.Perm(len(n.vms)) {
			n.configure(n.vms[i], after)
			n.run(timing.Lease / 4)
		}
		n.run(10 * time.Second)
		NewWithT(t).Expect(n.vm("a").share.At(n.clock(n.vm("a"))).Concurrency).To(BeNumerically(">", 30))
		NewWithT(t).Expect(n.vm("c").share.At(n.clock(n.vm("c")))).To(Equal(share.Amount{}))
	}
}

// While a VM does not learn of a new member list (d replaces c, c is not
// informed, d waits one lease), the limit is exceeded. The excess is bounded by
// the parts of the members that only one list contains; the test checks both
// the excess and the bound.
func TestExcessUnderDifferingMemberListsIsBounded(t *testing.T) {
	before, after := threeMembers(120, 60), limitOf(120, 60, "a", "b", "d")
	n := newNetwork(t, 5, limitOf(120, 60, "a", "b", "c", "d"))
	for _, v := range n.vms {
		n.configure(v, before)
	}
	n.run(4 * time.Second)
	for _, name := range []string{"a", "b", "d"} {
		n.configure(n.vm(name), after)
	}
	n.run(timing.LenderTerm() - 100*time.Millisecond)
	n.t = &ignoreFailures{}
	n.maxSum = share.Amount{}
	n.run(10 * time.Second)
	NewWithT(t).Expect(n.maxSum.Rate).To(BeNumerically("~", 160, 1e-6))
	NewWithT(t).Expect(n.maxSum.Concurrency).To(Equal(80))
}

// ignoreFailures lets the sums exceed the limit.
type ignoreFailures struct{}

func (ignoreFailures) Helper()               {}
func (ignoreFailures) Fatalf(string, ...any) {}

// The VMs together must not admit more than the contract under random faults,
// loads and delays, including combinations that no row of the table above
// contains.
func TestSumNeverExceedsLimitUnderRandomFaults(t *testing.T) {
	const rounds = 40
	rapid.Check(t, func(t *rapid.T) {
		concurrency := rapid.IntRange(1, 30).Draw(t, "concurrency")
		n := newSettledNetwork(t, rapid.Uint64().Draw(t, "seed"), threeMembers(120, concurrency))
		n.maxDelay = rapid.SampledFrom([]time.Duration{30, 300, 1500, 4000}).Draw(t, "delay") * time.Millisecond
		n.lossRate = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
		n.duplicateRate = rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "twice")
		for range rounds {
			n.injectEvent(t)
			n.run(rapid.SampledFrom([]time.Duration{50, 250, 700, 1900, 2100}).Draw(t, "pass") * time.Millisecond)
		}
	})
}

// injectEvent applies one random event to one VM. Load is drawn most often,
// because nothing is lent without it.
func (n *network) injectEvent(t *rapid.T) {
	v := n.vms[rapid.IntRange(0, 2).Draw(t, "vm")]
	switch rapid.SampledFrom([]string{"load", "idle", "load", "idle", "pause", "wake", "wake", "restart", "cut", "mend", "mend", "limit"}).Draw(t, "event") {
	case "load":
		v.demand, v.concurrencyDemand = 200, 40
	case "idle":
		v.demand, v.concurrencyDemand = 0, 0
	case "pause":
		v.paused = true
	case "wake":
		v.paused = false
	case "restart":
		n.restart(v)
	case "cut":
		n.blocked[[2]string{v.name, n.vms[rapid.IntRange(0, 2).Draw(t, "to")].name}] = true
	case "mend":
		clear(n.blocked)
	case "limit":
		n.configure(v, threeMembers(rapid.SampledFrom([]float64{30, 120}).Draw(t, "rate"), rapid.IntRange(1, 30).Draw(t, "concurrency")))
	}
}

// BenchmarkTick measures one tick of a VM that is home for many kinds, a tenth
// of which have more demand than their part.
func BenchmarkTick(b *testing.B) {
	for _, kinds := range []int{50, 500} {
		b.Run(fmt.Sprint(kinds), func(b *testing.B) {
			s := share.New(share.Options{VM: "a", Incarnation: 1, Started: epoch, Timing: timing})
			var limits []share.Limit
			for i := range kinds {
				l := threeMembers(120, 60)
				l.Kind.Name = fmt.Sprint(i)
				limits = append(limits, l)
			}
			now := epoch.Add(time.Minute)
			s.Step(now, share.Configured{Limits: limits})
			usage := func(k share.Kind) share.Usage {
				if k.Name[len(k.Name)-1] == '0' {
					return share.Usage{Rate: 200, Concurrency: 100, TokenAvailable: true}
				}
				return share.Usage{Rate: 10, TokenAvailable: true}
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(timing.TickInterval())
				s.Step(now, share.Tick{Usage: usage})
			}
		})
	}
}

// Guards against a VM that reports ready and then refuses every request for want of concurrency.
// Its first configuration comes after the loans of its previous incarnation have expired, as on a
// loaded machine. The rate was then available after a LenderTerm, but concurrency only after the
// duration of a request beyond that.
func TestLateFirstConfigurationGivesConcurrencyWithRate(t *testing.T) {
	g := NewWithT(t)
	timing := share.Timing{Lease: 200 * time.Millisecond}
	for _, delay := range []time.Duration{0, timing.LenderTerm() / 2, timing.LenderTerm(), 10 * timing.LenderTerm()} {
		started := time.Unix(1000, 0)
		s := share.New(share.Options{VM: "a", Incarnation: 1, Started: started, Timing: timing})
		now := started.Add(delay)
		var current share.Share
		apply := func(actions []share.Action) {
			for _, a := range actions {
				if a, ok := a.(share.ApplyShare); ok {
					current = a.Share
				}
			}
		}
		apply(s.Step(now, share.Configured{Limits: []share.Limit{threeMembers(60, 12)}}))
		for end := now.Add(2 * timing.LenderTerm()); now.Before(end); now = now.Add(timing.TickInterval()) {
			apply(s.Step(now, share.Tick{Usage: func(share.Kind) share.Usage { return share.Usage{} }}))
			if current.Base.Rate > 0 {
				g.Expect(current.Base.Concurrency).To(BeNumerically(">", 0), "delay %v, %v after the start", delay, now.Sub(started))
			}
		}
		g.Expect(current.Base.Rate).To(BeNumerically(">", 0))
	}
}
