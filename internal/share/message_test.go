package share_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/share"
)

// testVM is a single VM that the test steps by hand.
type testVM struct {
	state *share.State
	now   time.Time
	share share.Share
	sent  []share.Action
}

func newTestVM() *testVM {
	s := &testVM{now: epoch}
	s.state = share.New(share.Options{VM: "a", Incarnation: 5, Started: epoch, Timing: timing})
	s.step(share.Configured{Limits: []share.Limit{threeMembers(120, 60)}})
	return s
}

func (s *testVM) step(e share.Event) {
	s.sent = nil
	for _, a := range s.state.Step(s.now, e) {
		if set, ok := a.(share.ApplyShare); ok {
			s.share = set.Share
			continue
		}
		s.sent = append(s.sent, a)
	}
}

func (s *testVM) tick(u share.Usage) {
	s.step(share.Tick{Usage: func(share.Kind) share.Usage { return u }})
}

func (s *testVM) after(d time.Duration) *testVM {
	s.now = s.now.Add(d)
	return s
}

func loan(edit func(*pb.ShareLoan)) *pb.ShareLoan {
	m := &pb.ShareLoan{
		Customer: search.Customer, Kind: search.Name, Sequence: 7, Incarnation: 3, Rate: 10, Burst: 5, Concurrency: 5,
		RemainingMs: 2000, StampUs: 4_000_000, BorrowerIncarnation: 5,
	}
	edit(m)
	return m
}

// A borrower must not use a loan that its lender no longer counts. Each row is
// a loan that was not issued for this request of this process.
func TestUnsolicitedAndLateLoansAreRefused(t *testing.T) {
	rows := []struct {
		name string
		from string
		edit func(*pb.ShareLoan)
		want float64
	}{
		{"as requested", "b", func(*pb.ShareLoan) {}, 50},
		{"to a previous incarnation", "b", func(m *pb.ShareLoan) { m.BorrowerIncarnation = 4 }, 40},
		{"from a VM outside the home set", "x", func(*pb.ShareLoan) {}, 40},
		{"of another kind", "b", func(m *pb.ShareLoan) { m.Kind = "other" }, 40},
		{"timestamp in the future", "b", func(m *pb.ShareLoan) { m.StampUs = 9_000_000 }, 40},
		{"timestamp beyond the range of time", "b", func(m *pb.ShareLoan) { m.StampUs = 1 << 63 }, 40},
		{"delayed past its lifetime", "b", func(m *pb.ShareLoan) { m.StampUs = 2_000_000 }, 40},
		{"with a negative rate", "b", func(m *pb.ShareLoan) { m.Rate = -5 }, 40},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			s := newTestVM().after(5 * time.Second)
			s.tick(share.Usage{})
			s.step(share.LoanReceived{From: r.from, Message: loan(r.edit)})
			NewWithT(t).Expect(s.share.At(s.now).Rate).To(BeNumerically("~", r.want, 1e-9))
		})
	}
}

// A reduced loan must not be used in full again when the reduction overtakes
// the earlier loan, or when a loan of the lender's previous process arrives
// late. Processing loans in order of arrival would allow both.
func TestReorderedLoansAreIgnored(t *testing.T) {
	for name, late := range map[string]func(*pb.ShareLoan){
		"lower sequence":       func(m *pb.ShareLoan) { m.Sequence = 6 },
		"same sequence":        func(m *pb.ShareLoan) { m.Rate = 30 },
		"previous incarnation": func(m *pb.ShareLoan) { m.Incarnation, m.Sequence = 2, 99 },
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestVM().after(5 * time.Second)
			s.tick(share.Usage{})
			s.step(share.LoanReceived{From: "b", Message: loan(func(m *pb.ShareLoan) { m.Rate = 1 })})
			s.step(share.LoanReceived{From: "b", Message: loan(late)})
			NewWithT(t).Expect(s.share.At(s.now).Rate).To(BeNumerically("~", 41, 1e-9))
		})
	}
}

// A loan that was confirmed as returned must not be used again. A change of the
// home set and back discards the sequence number, so a duplicate from before
// the change has to be refused by its request time.
func TestLoansFromBeforeMemberChangeAreRefused(t *testing.T) {
	s := newTestVM().after(5 * time.Second)
	s.tick(share.Usage{})
	s.step(share.Configured{Limits: []share.Limit{limitOf(120, 60, "a", "c", "d")}})
	s.step(share.Configured{Limits: []share.Limit{threeMembers(120, 60)}})
	s.step(share.LoanReceived{From: "b", Message: loan(func(*pb.ShareLoan) {})})
	NewWithT(t).Expect(s.share.Loans).To(BeEmpty())
}

// Concurrency that running requests use must not be lent, even if the estimated
// demand is low: otherwise more requests run than the limit allows.
func TestRunningRequestsAreNotLent(t *testing.T) {
	s := newTestVM().after(5 * time.Second)
	s.tick(share.Usage{TokenAvailable: true})
	s.step(share.AckReceived{From: "b", Message: &pb.ShareAck{
		Customer: search.Customer, Kind: search.Name, Demand: 100, Concurrent: 60, Burst: 60, Incarnation: 1, StampUs: 1,
	}})
	s.tick(share.Usage{Running: 15, TokenAvailable: true})
	NewWithT(t).Expect(s.sent).To(HaveLen(1))
	NewWithT(t).Expect(s.sent[0].(share.SendLoan).Message.Concurrency).To(BeNumerically("==", 5))
	NewWithT(t).Expect(s.share.Base.Concurrency).To(Equal(15))
}

// A stale duplicate of a request must not replace a newer one: the lender would
// count a loan as returned that is still in use.
func TestReorderedRequestsAreIgnored(t *testing.T) {
	ask := func(stamp uint64, want float64) share.AckReceived {
		return share.AckReceived{From: "b", Message: &pb.ShareAck{Customer: search.Customer, Kind: search.Name, Demand: want, Incarnation: 1, StampUs: stamp}}
	}
	s := newTestVM().after(5 * time.Second)
	s.tick(share.Usage{TokenAvailable: true})
	s.step(ask(20, 5))
	s.step(ask(10, 30))
	s.tick(share.Usage{TokenAvailable: true})
	NewWithT(t).Expect(s.sent).To(HaveLen(1))
	m := s.sent[0].(share.SendLoan).Message
	NewWithT(t).Expect(m.Rate).To(BeNumerically("~", 5, 1e-9))
	NewWithT(t).Expect(m.StampUs).To(BeNumerically("==", 20))
}

// A VM that left the home set must stop using loans from its members at once,
// not only its own part.
func TestVMOutsideHomeSetUsesNothing(t *testing.T) {
	s := newTestVM().after(5 * time.Second)
	s.tick(share.Usage{})
	s.step(share.LoanReceived{From: "b", Message: loan(func(*pb.ShareLoan) {})})
	NewWithT(t).Expect(s.share.Loans).To(HaveLen(1))
	s.step(share.Configured{Limits: []share.Limit{limitOf(120, 60, "b", "c", "d")}})
	NewWithT(t).Expect(s.share.At(s.now)).To(Equal(share.Amount{}))
}
