package share_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/share"
)

// single is one VM, stepped by hand.
type single struct {
	state *share.State
	now   time.Time
	share share.Share
	sent  []share.Action
}

func newSingle() *single {
	s := &single{now: epoch}
	s.state = share.New(share.Options{VM: "a", Incarnation: 5, Started: epoch, Timing: timing})
	s.step(share.Configured{Limits: []share.Limit{three(120, 60)}})
	return s
}

func (s *single) step(e share.Event) {
	s.sent = nil
	for _, a := range s.state.Step(s.now, e) {
		if set, ok := a.(share.Set); ok {
			s.share = set.Share
			continue
		}
		s.sent = append(s.sent, a)
	}
}

func (s *single) tick(u share.Usage) {
	s.step(share.Tick{Usage: func(share.Kind) share.Usage { return u }})
}

func (s *single) after(d time.Duration) *single {
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

// Symptom: a VM uses a loan that its lender no longer counts.
// Sequence: a loan arrives that was not made for this request of this process.
// Cause: as each row says.
func TestForeignAndLateLoansAreRefused(t *testing.T) {
	rows := []struct {
		name string
		from string
		edit func(*pb.ShareLoan)
		want float64
	}{
		{"as asked for", "b", func(*pb.ShareLoan) {}, 50},
		{"to a former incarnation", "b", func(m *pb.ShareLoan) { m.BorrowerIncarnation = 4 }, 40},
		{"from a VM outside the home set", "x", func(*pb.ShareLoan) {}, 40},
		{"of another kind", "b", func(m *pb.ShareLoan) { m.Kind = "other" }, 40},
		{"stamped in the future", "b", func(m *pb.ShareLoan) { m.StampUs = 9_000_000 }, 40},
		{"stamped beyond any time", "b", func(m *pb.ShareLoan) { m.StampUs = 1 << 63 }, 40},
		{"that waited longer than it lives", "b", func(m *pb.ShareLoan) { m.StampUs = 2_000_000 }, 40},
		{"of a rate below 0", "b", func(m *pb.ShareLoan) { m.Rate = -5 }, 40},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			s := newSingle().after(5 * time.Second)
			s.tick(share.Usage{})
			s.step(share.Lent{From: r.from, Message: loan(r.edit)})
			NewWithT(t).Expect(s.share.At(s.now).Rate).To(BeNumerically("~", r.want, 1e-9))
		})
	}
}

// Symptom: a loan that was lowered is used in full again.
// Sequence: the lower loan overtakes the higher one, or the lender restarts and
// a loan of its former process comes late.
// Cause: taking loans in the order they arrive.
func TestOvertakenLoansChangeNothing(t *testing.T) {
	for name, late := range map[string]func(*pb.ShareLoan){
		"lower sequence":     func(m *pb.ShareLoan) { m.Sequence = 6 },
		"same sequence":      func(m *pb.ShareLoan) { m.Rate = 30 },
		"former incarnation": func(m *pb.ShareLoan) { m.Incarnation, m.Sequence = 2, 99 },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSingle().after(5 * time.Second)
			s.tick(share.Usage{})
			s.step(share.Lent{From: "b", Message: loan(func(m *pb.ShareLoan) { m.Rate = 1 })})
			s.step(share.Lent{From: "b", Message: loan(late)})
			NewWithT(t).Expect(s.share.At(s.now).Rate).To(BeNumerically("~", 41, 1e-9))
		})
	}
}

// Symptom: a loan confirmed as given back is used again.
// Sequence: the home set changes and changes back; a copy of a loan from before
// arrives, whose sequence is forgotten.
// Cause: forgetting the sequence without refusing what came before.
func TestLoansFromBeforeAListChangeAreRefused(t *testing.T) {
	s := newSingle().after(5 * time.Second)
	s.tick(share.Usage{})
	s.step(share.Configured{Limits: []share.Limit{limitOf(120, 60, "a", "c", "d")}})
	s.step(share.Configured{Limits: []share.Limit{three(120, 60)}})
	s.step(share.Lent{From: "b", Message: loan(func(*pb.ShareLoan) {})})
	NewWithT(t).Expect(s.share.Loans).To(BeEmpty())
}

// Symptom: more requests run than the limit allows just after a loan.
// Sequence: a VM whose need looks small is asked while many requests run.
// Cause: lending concurrency that running requests still use.
func TestRunningRequestsAreNotLent(t *testing.T) {
	s := newSingle().after(5 * time.Second)
	s.tick(share.Usage{Ready: true})
	s.step(share.Ack{From: "b", Message: &pb.ShareAck{
		Customer: search.Customer, Kind: search.Name, Demand: 100, Concurrent: 60, Burst: 60, Incarnation: 1, StampUs: 1,
	}})
	s.tick(share.Usage{Running: 15, Ready: true})
	NewWithT(t).Expect(s.sent).To(HaveLen(1))
	NewWithT(t).Expect(s.sent[0].(share.SendLoan).Message.Concurrency).To(BeNumerically("==", 5))
	NewWithT(t).Expect(s.share.Base.Concurrency).To(Equal(15))
}

// Symptom: a lender counts a loan as given back that is still in use.
// Sequence: a copy of an older request arrives after a newer one.
// Cause: taking requests in the order they arrive.
func TestOvertakenRequestsChangeNothing(t *testing.T) {
	ask := func(stamp uint64, want float64) share.Ack {
		return share.Ack{From: "b", Message: &pb.ShareAck{Customer: search.Customer, Kind: search.Name, Demand: want, Incarnation: 1, StampUs: stamp}}
	}
	s := newSingle().after(5 * time.Second)
	s.tick(share.Usage{Ready: true})
	s.step(ask(20, 5))
	s.step(ask(10, 30))
	s.tick(share.Usage{Ready: true})
	NewWithT(t).Expect(s.sent).To(HaveLen(1))
	m := s.sent[0].(share.SendLoan).Message
	NewWithT(t).Expect(m.Rate).To(BeNumerically("~", 5, 1e-9))
	NewWithT(t).Expect(m.StampUs).To(BeNumerically("==", 20))
}

// Symptom: a VM that left a home set still uses what its members lent it.
// Sequence: a loan arrives; the new list is in force; the loan has not ended.
// Cause: dropping the own part only.
func TestAVMOutsideTheHomeSetUsesNothing(t *testing.T) {
	s := newSingle().after(5 * time.Second)
	s.tick(share.Usage{})
	s.step(share.Lent{From: "b", Message: loan(func(*pb.ShareLoan) {})})
	NewWithT(t).Expect(s.share.Loans).To(HaveLen(1))
	s.step(share.Configured{Limits: []share.Limit{limitOf(120, 60, "b", "c", "d")}})
	NewWithT(t).Expect(s.share.At(s.now)).To(Equal(share.Amount{}))
}
