// Package share decides which part of a customer's limits this VM may use. The
// home VMs of a customer each hold an equal part of every limit without asking
// anybody, and lend what they do not use to those that need more, by leases.
//
// The rule that carries it: a part that is lent counts at the lender for longer
// than the borrower may use it, whatever happens to messages and processes. So
// the sum of all shares never exceeds the limit among VMs that hold the same
// list. Four things could break it, and each is met here:
//
//   - A loan waits in an inbox while its receiver is paused: its life counts
//     from a stamp the borrower itself put into the request that the loan
//     answers, so waiting makes it shorter and never longer.
//   - Clocks run at different speeds: the borrower's life of a loan is shortened
//     and the lender's lengthened by MaxDrift and a margin.
//   - A lender restarts and forgets what it lent: a new incarnation waits until
//     every loan of the former one has ended.
//   - The list of VMs changes: a VM that leaves the home set drops its share at
//     once, and a share that grows waits a lease.
//
// The package is pure: time and events are handed in, actions come out.
package share

import (
	"cmp"
	"math"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

const (
	// DefaultLease is the life of a loan.
	DefaultLease = 2 * time.Second
	// MaxDrift bounds how much faster or slower than real time a VM's monotonic
	// clock may run.
	MaxDrift = 0.01
	// margin is taken off the borrower's life of a loan and added to the
	// lender's, so that rounding cannot make the two meet.
	margin = 20 * time.Millisecond
	// MaxHold is the longest deadline of kinds whose concurrency is lent: the
	// lender gets lent concurrency back only when the borrower's requests under
	// it have ended.
	MaxHold = 5 * time.Second
	// maxMessages bounds the messages of one tick, loans and requests together.
	maxMessages = 4
	// minRatePart of the entitled rate is never lent.
	minRatePart = 0.1
	// headroom is the demand wanted above what was seen, so that a kind whose
	// demand grows is not refused before the next request for a loan.
	headroom = 1.25
	// newLenders is how many further VMs are asked at a time.
	newLenders = 2
)

// Timing derives every duration from the life of a loan, which must be the same
// on all VMs.
type Timing struct {
	Lease time.Duration
}

// Tick is how often the driver steps with a Tick.
func (t Timing) Tick() time.Duration {
	return t.Lease / 8
}

// LentLife is how long a loan counts at the lender, on the lender's clock. It
// is also how long a new incarnation, and a share that grows with a new list,
// has to wait.
func (t Timing) LentLife() time.Duration {
	return t.Lease + time.Duration(MaxDrift*float64(t.Lease)) + margin
}

// borrowedLife is how long a loan of the given life may be used, on the
// borrower's clock.
func borrowedLife(life time.Duration) time.Duration {
	return life - time.Duration(MaxDrift*float64(life)) - margin
}

// Kind names one request kind of one customer.
type Kind struct{ Customer, Name string }

// Amount is a limit or a part of one.
type Amount struct {
	// Rate is in requests a second.
	Rate float64
	// Burst is how many requests may start at once after a pause.
	Burst int
	// Concurrency is how many requests may run at a time.
	Concurrency int
}

func (a Amount) plus(b Amount) Amount {
	return Amount{Rate: a.Rate + b.Rate, Burst: a.Burst + b.Burst, Concurrency: a.Concurrency + b.Concurrency}
}

// minus is a less b, at least 0 in each part.
func (a Amount) minus(b Amount) Amount {
	return Amount{Rate: math.Max(0, a.Rate-b.Rate), Burst: max(0, a.Burst-b.Burst), Concurrency: max(0, a.Concurrency-b.Concurrency)}
}

func (a Amount) min(b Amount) Amount {
	return Amount{Rate: math.Min(a.Rate, b.Rate), Burst: min(a.Burst, b.Burst), Concurrency: min(a.Concurrency, b.Concurrency)}
}

func (a Amount) max(b Amount) Amount {
	return Amount{Rate: math.Max(a.Rate, b.Rate), Burst: max(a.Burst, b.Burst), Concurrency: max(a.Concurrency, b.Concurrency)}
}

// covers tells whether a is at least b in every part.
func (a Amount) covers(b Amount) bool {
	return a.Rate >= b.Rate && a.Burst >= b.Burst && a.Concurrency >= b.Concurrency
}

// Part is what member i of n is entitled to. The whole numbers of all members
// add up to the limit exactly.
func (a Amount) Part(i, n int) Amount {
	if i < 0 || i >= n {
		return Amount{}
	}
	return Amount{Rate: a.Rate / float64(n), Burst: wholePart(a.Burst, i, n), Concurrency: wholePart(a.Concurrency, i, n)}
}

func wholePart(limit, i, n int) int {
	part := limit / n
	if i < limit%n {
		part++
	}
	return part
}

// Share is what this VM may use of a limit.
type Share struct {
	Base Amount
	// Loans are held from other VMs, the one that ends first at the front.
	Loans []Loan
}

// Loan is a part of a share that ends.
type Loan struct {
	Amount
	Until time.Time
}

func (l Loan) compare(o Loan) int {
	return cmp.Or(
		l.Until.Compare(o.Until),
		cmp.Compare(l.Rate, o.Rate),
		cmp.Compare(l.Burst, o.Burst),
		cmp.Compare(l.Concurrency, o.Concurrency),
	)
}

// At is the share at a moment.
func (s Share) At(now time.Time) Amount {
	sum := s.Base
	for _, l := range s.Loans {
		if now.Before(l.Until) {
			sum = sum.plus(l.Amount)
		}
	}
	return sum
}

// Limit is a kind's limit and the VMs that share it.
type Limit struct {
	Kind Kind
	Amount
	// Members are the home VMs, in the same order everywhere.
	Members []string
	// Hold is the longest time a request runs.
	Hold time.Duration
}

// Usage is what the requests of a kind needed lately.
type Usage struct {
	// Rate of arrivals, admitted or not, in requests a second.
	Rate float64
	// Concurrency that would have let all of them in.
	Concurrency int
	// Running requests at this moment.
	Running int
	// Ready tells whether the rate would let a request in at this moment.
	Ready bool
}

// Event is one input of a State.
type Event interface{ event() }

// Configured puts limits in force; kinds that are not among them are dropped.
type Configured struct{ Limits []Limit }

// Tick is the passing of time. Usage is asked for each kind.
type Tick struct{ Usage func(Kind) Usage }

// Ack is a message of another home VM.
type Ack struct {
	From    string
	Message *pb.ShareAck
}

// Lent is a loan of another home VM.
type Lent struct {
	From    string
	Message *pb.ShareLoan
}

func (Configured) event() {}
func (Tick) event()       {}
func (Ack) event()        {}
func (Lent) event()       {}

// Action is one output of a State. Actions are carried out in their order: a
// share that falls is set before the loan that takes it is sent.
type Action interface{ action() }

// Set puts a share in force.
type Set struct {
	Kind  Kind
	Share Share
}

// SendAck sends a message to a home VM.
type SendAck struct {
	To      string
	Message *pb.ShareAck
}

// SendLoan sends a loan to a home VM.
type SendLoan struct {
	To      string
	Message *pb.ShareLoan
}

func (Set) action()      {}
func (SendAck) action()  {}
func (SendLoan) action() {}
