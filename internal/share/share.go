// Package share divides a customer's limits between VMs. Each home VM of a
// customer holds an equal part of every limit without any message, and lends
// unused capacity to other home VMs by leases.
//
// Safety rests on one invariant: a loan counts against the lender for longer
// than the borrower may use it, regardless of message loss, delay or crashes.
// Among VMs with the same member list, the sum of all shares therefore never
// exceeds the limit. Four cases threaten the invariant:
//
//   - A loan waits in the inbox of a paused borrower. Its lifetime starts at
//     the timestamp that the borrower put into its own request, so a delay
//     shortens the loan and never extends it.
//   - Clocks run at different speeds. MaxClockDrift and a safety margin shorten
//     the lifetime at the borrower and lengthen it at the lender.
//   - A lender restarts and loses its record of loans. The new incarnation
//     waits until every loan of the previous one has expired.
//   - The member list changes. A VM that leaves the home set drops its share at
//     once, and a share that grows takes effect one lease later.
//
// The package performs no I/O and reads no clock: callers pass time and events
// in and carry out the returned actions.
package share

import (
	"cmp"
	"math"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

const (
	// DefaultLease is the lifetime of a loan.
	DefaultLease = 2 * time.Second
	// MaxClockDrift bounds the relative deviation of a VM's monotonic clock
	// from real time, in either direction.
	MaxClockDrift = 0.01
	// safetyMargin shortens a loan at the borrower and lengthens it at the
	// lender, so that rounding cannot make the two periods overlap.
	safetyMargin = 20 * time.Millisecond
	// MaxLendableDuration is the longest deadline of a kind whose concurrency
	// is lent. A lender recovers concurrency only after the borrower's requests
	// under the loan have ended.
	MaxLendableDuration = 5 * time.Second
	// maxMessagesPerTick bounds loans and requests for loans together.
	maxMessagesPerTick = 4
	// minRetainedRate is the fraction of the entitled rate that is never lent.
	minRetainedRate = 0.1
	// demandHeadroom scales the observed rate up, so that a kind with growing
	// demand is not refused before its next request for a loan.
	demandHeadroom = 1.25
	// maxNewLenders is the number of additional VMs asked per round of
	// requests.
	maxNewLenders = 2
)

// Timing derives every duration from the lease, which must be equal on all VMs.
type Timing struct {
	Lease time.Duration
}

// TickInterval is the interval between Tick events.
func (t Timing) TickInterval() time.Duration {
	return t.Lease / 8
}

// LenderTerm is how long a loan counts against the lender, by the lender's
// clock. A new incarnation, and a share that grows with a new member list, wait
// for the same time.
func (t Timing) LenderTerm() time.Duration {
	return t.Lease + time.Duration(MaxClockDrift*float64(t.Lease)) + safetyMargin
}

// borrowerTerm is how long a loan of the given lifetime may be used, by the
// borrower's clock.
func borrowerTerm(life time.Duration) time.Duration {
	return life - time.Duration(MaxClockDrift*float64(life)) - safetyMargin
}

// Kind identifies a request kind of a customer.
type Kind struct{ Customer, Name string }

// Amount is a limit or a part of one.
type Amount struct {
	// Rate is in requests per second.
	Rate float64
	// Burst is the number of requests that may start at once after an idle
	// period.
	Burst int
	// Concurrency is the number of requests that may run at a time.
	Concurrency int
}

func (a Amount) plus(b Amount) Amount {
	return Amount{Rate: a.Rate + b.Rate, Burst: a.Burst + b.Burst, Concurrency: a.Concurrency + b.Concurrency}
}

// minus subtracts b from a and clamps each field at 0.
func (a Amount) minus(b Amount) Amount {
	return Amount{Rate: math.Max(0, a.Rate-b.Rate), Burst: max(0, a.Burst-b.Burst), Concurrency: max(0, a.Concurrency-b.Concurrency)}
}

func (a Amount) min(b Amount) Amount {
	return Amount{Rate: math.Min(a.Rate, b.Rate), Burst: min(a.Burst, b.Burst), Concurrency: min(a.Concurrency, b.Concurrency)}
}

func (a Amount) max(b Amount) Amount {
	return Amount{Rate: math.Max(a.Rate, b.Rate), Burst: max(a.Burst, b.Burst), Concurrency: max(a.Concurrency, b.Concurrency)}
}

// covers reports whether a is at least b in every field.
func (a Amount) covers(b Amount) bool {
	return a.Rate >= b.Rate && a.Burst >= b.Burst && a.Concurrency >= b.Concurrency
}

// Part returns the entitlement of member i of n. The integer fields of all
// members add up to the limit exactly.
func (a Amount) Part(i, n int) Amount {
	if i < 0 || i >= n {
		return Amount{}
	}
	return Amount{Rate: a.Rate / float64(n), Burst: evenPart(a.Burst, i, n), Concurrency: evenPart(a.Concurrency, i, n)}
}

func evenPart(limit, i, n int) int {
	part := limit / n
	if i < limit%n {
		part++
	}
	return part
}

// Share is the capacity this VM may use of a limit: its own part and its loans.
type Share struct {
	Base Amount
	// Loans are borrowed from other VMs and sorted by expiry.
	Loans []Loan
}

// Loan is capacity that may be used until a given time.
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

// At returns the total capacity at the given time.
func (s Share) At(now time.Time) Amount {
	sum := s.Base
	for _, l := range s.Loans {
		if now.Before(l.Until) {
			sum = sum.plus(l.Amount)
		}
	}
	return sum
}

// Limit is the limit of a kind and the VMs that share it.
type Limit struct {
	Kind Kind
	Amount
	// Members are the home VMs, in the same order on every VM.
	Members []string
	// MaxDuration is the longest time a request runs.
	MaxDuration time.Duration
}

// Usage is the recent demand of a kind.
type Usage struct {
	// Rate is the arrival rate in requests per second, refused requests
	// included.
	Rate float64
	// Concurrency is the number of slots that would have admitted every
	// request.
	Concurrency int
	// Running is the number of requests in progress.
	Running int
	// TokenAvailable reports whether the rate admits a request now.
	TokenAvailable bool
}

// Event is an input of a State.
type Event interface{ event() }

// Configured replaces the limits. Kinds that it does not list are dropped.
type Configured struct{ Limits []Limit }

// Tick reports that time has passed. Usage returns the recent demand of a kind.
type Tick struct{ Usage func(Kind) Usage }

// AckReceived is a request for a loan, or the confirmation of one, from another home
// VM.
type AckReceived struct {
	From    string
	Message *pb.ShareAck
}

// LoanReceived is a loan received from another home VM.
type LoanReceived struct {
	From    string
	Message *pb.ShareLoan
}

func (Configured) event()   {}
func (Tick) event()         {}
func (AckReceived) event()  {}
func (LoanReceived) event() {}

// Action is an output of a State. The caller carries actions out in order: a
// reduced share takes effect before the loan that uses the difference is sent.
type Action interface{ action() }

// ApplyShare puts a share into effect.
type ApplyShare struct {
	Kind  Kind
	Share Share
}

// SendAck sends a request for a loan, or a confirmation, to a home VM.
type SendAck struct {
	To      string
	Message *pb.ShareAck
}

// SendLoan sends a loan to a home VM.
type SendLoan struct {
	To      string
	Message *pb.ShareLoan
}

func (ApplyShare) action() {}
func (SendAck) action()    {}
func (SendLoan) action()   {}
