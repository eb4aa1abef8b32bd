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

// warm is a network whose start has passed.
func warm(t fataler, seed uint64, limit share.Limit) *network {
	n := newNetwork(t, seed, limit)
	n.run(4 * time.Second)
	return n
}

func three(rate float64, concurrency int) share.Limit {
	return limitOf(rate, concurrency, "a", "b", "c")
}

// Symptom: a customer whose callers all use one VM gets a third of its contract.
// Sequence: all load comes to one of three home VMs.
// Cause: limits divided evenly and never moved.
func TestSkewedCallersGetNearlyTheWholeLimit(t *testing.T) {
	for _, k := range []int{3, 6} {
		members := []string{"a", "b", "c", "d", "e", "f"}[:k]
		n := warm(t, 1, limitOf(120, 60, members...))
		busy := n.vm("a")
		busy.demand, busy.wants = 200, 100
		began := n.now
		for busy.share.At(n.clock(busy)).Rate < 0.85*120 && n.now < began+time.Minute {
			n.run(step)
		}
		took := n.now - began
		n.run(5 * time.Second)
		n.messages, n.bytes, busy.usable = 0, 0, 0
		n.run(20 * time.Second)
		a := busy.share.At(n.clock(busy))
		t.Logf("k=%d: rate %.0f%% of the limit (fixed parts: %.0f%%), concurrency %d of 60, 85%% after %v, %.1f messages/s, %.0f bytes each",
			k, 100*busy.usable/20/120, 100.0/float64(k), a.Concurrency, took, float64(n.messages)/20, float64(n.bytes)/float64(n.messages))
		NewWithT(t).Expect(busy.usable / 20).To(BeNumerically(">", 0.85*120))
		NewWithT(t).Expect(a.Concurrency).To(BeNumerically(">=", 60-k))
		NewWithT(t).Expect(took).To(BeNumerically("<", 3*time.Second))
	}
}

// Symptom: a VM whose load comes back is refused its own part of the limit.
// Sequence: it lent nearly all while idle; then callers come to it as well.
// Cause: loans that are never taken back.
func TestEveryMemberGetsItsPartBack(t *testing.T) {
	n := warm(t, 2, three(120, 60))
	n.vm("a").demand, n.vm("a").wants = 200, 100
	n.run(10 * time.Second)
	for _, v := range n.vms {
		v.demand, v.wants = 200, 100
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

// Symptom: a customer without load keeps the VMs talking.
// Sequence: no request comes for ten seconds.
// Cause: shares announced at regular times.
func TestIdleKindsSendNothing(t *testing.T) {
	n := warm(t, 3, three(120, 60))
	n.messages = 0
	n.run(10 * time.Second)
	NewWithT(t).Expect(n.messages).To(BeZero())
}

// move gives all load to one VM after the other.
func (n *network) move(times int, every time.Duration) {
	for i := range times {
		for j, v := range n.vms {
			v.demand, v.wants = 0, 0
			if i%len(n.vms) == j {
				v.demand, v.wants = 200, 100
			}
		}
		n.run(every)
	}
}

// fault is a row of the table: what happens while all load is at VM a.
type fault struct {
	name string
	run  func(n *network)
}

// Symptom: the VMs together admit more than the contract.
// Sequence: as each row says, with all or alternating load at single VMs.
// Cause: a loan counted at neither or used at both of two VMs.
func TestSumNeverExceedsTheLimit(t *testing.T) {
	pause := func(name string, d time.Duration) func(n *network) {
		return func(n *network) {
			n.vm(name).paused = true
			n.run(d)
			n.vm(name).paused = false
			n.run(3 * time.Second)
		}
	}
	rows := []fault{
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
			n.vm("b").demand, n.vm("b").wants = 200, 100
			n.run(8 * time.Second)
			n.isolate("a", "b", false)
			n.run(4 * time.Second)
		}},
		{"one way only", func(n *network) { n.cut[[2]string{"a", "b"}] = true; n.run(8 * time.Second) }},
		{"late and doubled messages", func(n *network) { n.longest, n.twice = 3*time.Second, 0.5; n.run(20 * time.Second) }},
		{"late and doubled messages, moving load", func(n *network) {
			n.longest, n.twice = 1500*time.Millisecond, 0.7
			n.move(30, time.Second)
		}},
		{"half of the messages lost", func(n *network) { n.loss = 0.5; n.run(20 * time.Second) }},
		{"load moves every second", func(n *network) { n.move(20, time.Second) }},
		{"limit lowered, then raised", func(n *network) {
			for _, v := range n.vms {
				n.configure(v, three(60, 30))
				n.run(300 * time.Millisecond)
			}
			n.run(3 * time.Second)
			for _, v := range n.vms {
				n.configure(v, three(150, 70))
				n.run(300 * time.Millisecond)
			}
			n.run(3 * time.Second)
		}},
	}
	for _, row := range rows {
		for seed := range uint64(10) {
			t.Run(fmt.Sprintf("%s/%d", row.name, seed), func(t *testing.T) {
				n := warm(t, seed, three(120, 60))
				n.vm("a").demand, n.vm("a").wants = 200, 100
				n.run(5 * time.Second)
				row.run(n)
			})
		}
	}
}

// Symptom: a lower limit of a contract is exceeded long after it is in force.
// Sequence: the limit is halved while most of it is lent to one VM.
// Cause: loans renewed by the former limit.
func TestLowerLimitHoldsAfterALease(t *testing.T) {
	n := warm(t, 4, three(120, 60))
	n.vm("a").demand, n.vm("a").wants = 200, 100
	n.run(5 * time.Second)
	for _, v := range n.vms {
		n.configure(v, three(60, 30))
	}
	n.run(timing.LentLife() + n.vms[0].length)
	n.most = share.Amount{}
	n.run(10 * time.Second)
	NewWithT(t).Expect(n.most.Rate).To(BeNumerically("<=", 60*(1+1e-9)))
	NewWithT(t).Expect(n.most.Concurrency).To(BeNumerically("<=", 30))
}

// Symptom: a limit is exceeded after a VM was replaced.
// Sequence: the VMs learn of the new list one after the other, within a lease.
// Cause: the new member using its share before the former one has dropped it.
func TestListChangeWithinALeaseKeepsTheSum(t *testing.T) {
	for seed := range uint64(20) {
		before, after := limitOf(120, 60, "a", "b", "c", "d"), limitOf(120, 60, "a", "b", "d")
		before.Hold, after.Hold = 3*time.Second, 3*time.Second
		n := newNetwork(t, seed, before)
		n.run(6 * time.Second)
		n.vm("a").demand, n.vm("a").wants = 200, 100
		n.vm("c").demand, n.vm("c").wants = 200, 100
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

// Symptom: a limit is exceeded for as long as a VM does not learn of a list.
// Sequence: d replaces c; c never hears of it, d waits its lease.
// Cause: views that differ. The excess is bounded by the parts of the members
// that only one list names; the test holds both the excess and the bound.
func TestExcessOfDifferingListsIsBounded(t *testing.T) {
	before, after := three(120, 60), limitOf(120, 60, "a", "b", "d")
	n := newNetwork(t, 5, limitOf(120, 60, "a", "b", "c", "d"))
	for _, v := range n.vms {
		n.configure(v, before)
	}
	n.run(4 * time.Second)
	for _, name := range []string{"a", "b", "d"} {
		n.configure(n.vm(name), after)
	}
	n.run(timing.LentLife() - 100*time.Millisecond)
	n.t = &tolerant{}
	n.most = share.Amount{}
	n.run(10 * time.Second)
	NewWithT(t).Expect(n.most.Rate).To(BeNumerically("~", 160, 1e-6))
	NewWithT(t).Expect(n.most.Concurrency).To(Equal(80))
}

// tolerant lets the sums exceed the limit.
type tolerant struct{}

func (tolerant) Helper()               {}
func (tolerant) Fatalf(string, ...any) {}

// Symptom: the VMs together admit more than the contract, once in a while.
// Sequence: drawn at random from every fault, load and delay.
// Cause: a case that no row of the table above holds.
func TestSumHoldsUnderDrawnFaults(t *testing.T) {
	const rounds = 40
	rapid.Check(t, func(t *rapid.T) {
		concurrency := rapid.IntRange(1, 30).Draw(t, "concurrency")
		n := warm(t, rapid.Uint64().Draw(t, "seed"), three(120, concurrency))
		n.longest = rapid.SampledFrom([]time.Duration{30, 300, 1500, 4000}).Draw(t, "delay") * time.Millisecond
		n.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
		n.twice = rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "twice")
		for range rounds {
			n.disturb(t)
			n.run(rapid.SampledFrom([]time.Duration{50, 250, 700, 1900, 2100}).Draw(t, "pass") * time.Millisecond)
		}
	})
}

// disturb draws one event at one VM. Load is drawn most often, as without it
// nothing is lent.
func (n *network) disturb(t *rapid.T) {
	v := n.vms[rapid.IntRange(0, 2).Draw(t, "vm")]
	switch rapid.SampledFrom([]string{"load", "idle", "load", "idle", "pause", "wake", "wake", "restart", "cut", "mend", "mend", "limit"}).Draw(t, "event") {
	case "load":
		v.demand, v.wants = 200, 40
	case "idle":
		v.demand, v.wants = 0, 0
	case "pause":
		v.paused = true
	case "wake":
		v.paused = false
	case "restart":
		n.restart(v)
	case "cut":
		n.cut[[2]string{v.name, n.vms[rapid.IntRange(0, 2).Draw(t, "to")].name}] = true
	case "mend":
		clear(n.cut)
	case "limit":
		n.configure(v, three(rapid.SampledFrom([]float64{30, 120}).Draw(t, "rate"), rapid.IntRange(1, 30).Draw(t, "concurrency")))
	}
}

// BenchmarkTick is one tick of a VM that is home for many kinds, a tenth of
// them with more demand than their part.
func BenchmarkTick(b *testing.B) {
	for _, kinds := range []int{50, 500} {
		b.Run(fmt.Sprint(kinds), func(b *testing.B) {
			s := share.New(share.Options{VM: "a", Incarnation: 1, Started: epoch, Timing: timing})
			var limits []share.Limit
			for i := range kinds {
				l := three(120, 60)
				l.Kind.Name = fmt.Sprint(i)
				limits = append(limits, l)
			}
			now := epoch.Add(time.Minute)
			s.Step(now, share.Configured{Limits: limits})
			usage := func(k share.Kind) share.Usage {
				if k.Name[len(k.Name)-1] == '0' {
					return share.Usage{Rate: 200, Concurrency: 100, Ready: true}
				}
				return share.Usage{Rate: 10, Ready: true}
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(timing.Tick())
				s.Step(now, share.Tick{Usage: usage})
			}
		})
	}
}
