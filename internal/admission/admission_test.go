package admission_test

import (
	"flag"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sycamorekeel.example/sycamorekeel/internal/admission"
	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/refusal"
	"sycamorekeel.example/sycamorekeel/internal/share"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261202")
	}
	os.Exit(m.Run())
}

var epoch = time.Unix(1_000_000, 0)

func kind(customer string, p pb.Priority) *contract.Kind {
	return &contract.Kind{Customer: customer, Kind: &pb.Kind{Name: "search", Priority: p, DeadlineMs: 1000, RatePerSecond: 100, Concurrency: 50}}
}

// setUnlimitedShares leaves the capacity of the VM as the only limit.
func setUnlimitedShares(c *admission.Controller, now time.Time, kinds ...*contract.Kind) {
	for _, k := range kinds {
		c.SetShare(now, admission.KindOf(k), share.Share{Base: share.Amount{Rate: 1e6, Burst: 1e6, Concurrency: 1e6}})
	}
}

// admitUntilRefused returns the number of admitted requests and the refusal.
func admitUntilRefused(c *admission.Controller, now time.Time, k *contract.Kind) (int, *refusal.Error) {
	for n := 0; ; n++ {
		if err := c.Admit(now, k, k.Deadline()); err != nil {
			return n, err
		}
	}
}

func TestRefusalsCarryReasonAndRetryDelay(t *testing.T) {
	k := kind("c", pb.Priority_NORMAL)
	now := epoch.Add(time.Minute)
	rows := []struct {
		name     string
		share    share.Share
		admitted int
		reason   refusal.Reason
		after    time.Duration
	}{
		{"rate", share.Share{Base: share.Amount{Rate: 10, Burst: 3, Concurrency: 50}}, 3, refusal.RateLimit, 100 * time.Millisecond},
		{"concurrency", share.Share{Base: share.Amount{Rate: 10, Burst: 30, Concurrency: 4}}, 4, refusal.ConcurrencyLimit, 125 * time.Millisecond},
		{"share without rate", share.Share{Base: share.Amount{Concurrency: 4}}, 0, refusal.RateLimit, 250 * time.Millisecond},
		{"share without concurrency", share.Share{Base: share.Amount{Rate: 10, Burst: 3}}, 0, refusal.ConcurrencyLimit, 500 * time.Millisecond},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			g := NewWithT(t)
			c := admission.New(100)
			c.SetShare(epoch, admission.KindOf(k), r.share)
			n, err := admitUntilRefused(c, now, k)
			g.Expect(n).To(Equal(r.admitted))
			g.Expect(err.Reason).To(Equal(r.reason))
			g.Expect(err.Ran).To(Equal(refusal.NotRun))
			g.Expect(err.RetryAfter).To(BeNumerically("~", r.after, time.Millisecond))
			g.Expect(c.Running()).To(Equal(r.admitted))
		})
	}
}

// A VM that resumes from a pause must not start requests on a share it has
// lost: a loan of burst and rate expires unobserved before the requests arrive.
// A bucket that refills by the current rate for all the elapsed time would
// fail.
func TestExpiredLoanLeavesNoTokens(t *testing.T) {
	k := kind("c", pb.Priority_NORMAL)
	c := admission.New(1000)
	c.SetShare(epoch, admission.KindOf(k), share.Share{
		Base:  share.Amount{Rate: 1, Burst: 2, Concurrency: 500},
		Loans: []share.Loan{{Amount: share.Amount{Rate: 100, Burst: 50}, Until: epoch.Add(time.Second)}},
	})
	n, _ := admitUntilRefused(c, epoch.Add(time.Second), k)
	NewWithT(t).Expect(n).To(Equal(2))
}

// The same for the rate alone: a loan of rate expires one second before the
// next request, and must not refill the bucket up to that request.
func TestExpiredLoanAddsNoTokens(t *testing.T) {
	k := kind("c", pb.Priority_NORMAL)
	c := admission.New(1000)
	c.SetShare(epoch, admission.KindOf(k), share.Share{
		Base:  share.Amount{Rate: 1, Burst: 500, Concurrency: 500},
		Loans: []share.Loan{{Amount: share.Amount{Rate: 99}, Until: epoch.Add(time.Second)}},
	})
	n, _ := admitUntilRefused(c, epoch.Add(2*time.Second), k)
	NewWithT(t).Expect(n).To(Equal(101))
}

// The buckets of the home VMs together must not admit more than the contract
// while shares of rate and burst move between VMs. They would if tokens
// outlived the share that produced them.
func TestBucketsTogetherKeepContractedRateAndBurst(t *testing.T) {
	k := kind("c", pb.Priority_NORMAL)
	rapid.Check(t, func(t *rapid.T) {
		limit := share.Amount{Rate: 100, Burst: 50, Concurrency: 1e6}
		vms := []*admission.Controller{admission.New(1e6), admission.New(1e6)}
		now, admitted := epoch, 0
		for range 60 {
			part := rapid.Float64Range(0, 1).Draw(t, "part")
			burst := rapid.IntRange(0, limit.Burst).Draw(t, "burst")
			vms[0].SetShare(now, admission.KindOf(k), share.Share{Base: share.Amount{Rate: limit.Rate * part, Burst: burst, Concurrency: 1e6}})
			vms[1].SetShare(now, admission.KindOf(k), share.Share{Base: share.Amount{Rate: limit.Rate * (1 - part), Burst: limit.Burst - burst, Concurrency: 1e6}})
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "requests") {
				n, _ := admitUntilRefused(vms[rapid.IntRange(0, 1).Draw(t, "vm")], now, k)
				admitted += n
			}
			if most := limit.Rate*now.Sub(epoch).Seconds() + float64(limit.Burst); float64(admitted) > most+1e-6 {
				t.Fatalf("%d admitted in %v, the contract allows %.1f", admitted, now.Sub(epoch), most)
			}
		}
	})
}

// One customer's load must not keep another's requests out: two customers use
// all the capacity they can before a third arrives. First-come allocation would
// fail.
func TestCustomerBelowReservedPartIsAdmitted(t *testing.T) {
	g := NewWithT(t)
	loud, quiet := kind("loud", pb.Priority_HIGH), kind("quiet", pb.Priority_LOW)
	other := kind("other", pb.Priority_HIGH)
	c := admission.New(100)
	c.SetWeights(map[string]int{"loud": 1, "quiet": 4})
	setUnlimitedShares(c, epoch, loud, quiet, other)
	now := epoch.Add(time.Second)
	first, err := admitUntilRefused(c, now, loud)
	g.Expect(err.Reason).To(Equal(refusal.Overloaded))
	third, _ := admitUntilRefused(c, now, other)
	second, _ := admitUntilRefused(c, now, quiet)
	t.Logf("loud %d, other %d, quiet %d of 100", first, third, second)
	g.Expect(second).To(BeNumerically(">=", 40))
	g.Expect(c.Running()).To(BeNumerically("<=", 100))
}

func TestCapacityIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 200).Draw(t, "total")
		c := admission.New(total)
		kinds := []*contract.Kind{kind("a", pb.Priority_HIGH), kind("b", pb.Priority_NORMAL), kind("c", pb.Priority_LOW)}
		setUnlimitedShares(c, epoch, kinds...)
		now, running := epoch, map[string]int{}
		for range 200 {
			now = now.Add(time.Second)
			k := kinds[rapid.IntRange(0, 2).Draw(t, "kind")]
			switch rapid.IntRange(0, 5).Draw(t, "do") {
			case 0:
				if running[k.Customer] > 0 {
					c.Done(now, k, time.Millisecond, true)
					running[k.Customer]--
				}
			case 1:
				c.SetWeights(map[string]int{"a": rapid.IntRange(1, 9).Draw(t, "a"), "b": rapid.IntRange(1, 9).Draw(t, "b"), "c": 1})
			default:
				if c.Admit(now, k, time.Hour) == nil {
					running[k.Customer]++
				}
			}
			if c.Running() > total {
				t.Fatalf("%d requests run, the capacity is %d", c.Running(), total)
			}
		}
	})
}

// Under overload, requests of low priority must be refused before those of high
// priority. A pool that ignores priority would fail.
func TestLowPriorityIsRefusedFirst(t *testing.T) {
	g := NewWithT(t)
	admitted := map[pb.Priority]int{}
	for _, p := range []pb.Priority{pb.Priority_LOW, pb.Priority_NORMAL, pb.Priority_HIGH} {
		c := admission.New(100)
		k := kind("c", p)
		setUnlimitedShares(c, epoch, k)
		admitted[p], _ = admitUntilRefused(c, epoch.Add(time.Second), k)
	}
	t.Logf("admitted by priority: %v", admitted)
	g.Expect(admitted[pb.Priority_LOW]).To(BeNumerically("<", admitted[pb.Priority_NORMAL]))
	g.Expect(admitted[pb.Priority_NORMAL]).To(BeNumerically("<", admitted[pb.Priority_HIGH]))
}

// Requests that cannot be answered in time must be refused before they use a
// slot: answers take 200 ms and the caller allows 50 ms.
func TestUnattainableDeadlineIsRefused(t *testing.T) {
	g := NewWithT(t)
	k := kind("c", pb.Priority_NORMAL)
	c := admission.New(100)
	setUnlimitedShares(c, epoch, k)
	now := epoch.Add(time.Second)
	g.Expect(c.Admit(now, k, 50*time.Millisecond)).To(BeNil())
	c.Done(now, k, 0, false)
	for range 100 {
		g.Expect(c.Admit(now, k, k.Deadline())).To(BeNil())
		c.Done(now, k, 200*time.Millisecond, true)
	}
	admitted := 0
	for range 100 {
		if err := c.Admit(now, k, 50*time.Millisecond); err != nil {
			g.Expect(err.Reason).To(Equal(refusal.DeadlineTooShort))
			continue
		}
		c.Done(now, k, 0, false)
		admitted++
	}
	// One in probeEvery (20) is admitted to detect whether the kind became
	// faster.
	g.Expect(admitted).To(Equal(5))
	g.Expect(c.Admit(now, k, k.Deadline())).To(BeNil())
}

// BenchmarkRefuse measures a refused request.
func BenchmarkRefuse(b *testing.B) {
	k := kind("c", pb.Priority_NORMAL)
	c := admission.New(100)
	c.SetShare(epoch, admission.KindOf(k), share.Share{
		Base:  share.Amount{Rate: 1e-9, Burst: 1, Concurrency: 10},
		Loans: []share.Loan{{Amount: share.Amount{Concurrency: 1}, Until: epoch.Add(time.Hour)}},
	})
	now := epoch.Add(time.Second)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		_ = c.Admit(now, k, k.Deadline())
	}
}

// BenchmarkAdmit measures a request that is admitted and ends.
func BenchmarkAdmit(b *testing.B) {
	k := kind("c", pb.Priority_NORMAL)
	c := admission.New(100)
	setUnlimitedShares(c, epoch, k)
	now := epoch.Add(time.Second)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		_ = c.Admit(now, k, k.Deadline())
		c.Done(now, k, time.Millisecond, true)
	}
}
