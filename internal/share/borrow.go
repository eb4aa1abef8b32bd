package share

import (
	"slices"
	"sort"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// borrowing is the newest loan from one other VM.
type borrowing struct {
	incarnation uint64
	sequence    uint64
	amount      Amount
	until       time.Time
	// confirmed is the sequence that may be acknowledged to the lender: no
	// running request depends on an earlier, larger loan.
	confirmed uint64
	// unconfirmedReduction is set until the use of a smaller loan has been
	// confirmed to the lender.
	unconfirmedReduction bool
}

// handleLoan processes a loan, which replaces the lender's earlier ones. A
// message that arrives after a later loan is ignored.
func (s *State) handleLoan(now time.Time, from string, m *pb.ShareLoan) {
	kind := Kind{Customer: m.Customer, Name: m.Kind}
	e := s.entries[kind]
	if e == nil || !slices.Contains(e.limit.Members, from) || !slices.Contains(e.limit.Members, s.vm) {
		return
	}
	// A loan to a previous incarnation carries a timestamp of another clock.
	if m.BorrowerIncarnation != s.incarnation || m.StampUs > s.timestampUs(now) {
		return
	}
	asked := s.started.Add(time.Duration(m.StampUs) * time.Microsecond)
	if asked.Before(e.membersChangedAt) {
		return
	}
	b := e.borrowings[from]
	if b == nil {
		b = &borrowing{}
		e.borrowings[from] = b
	}
	if m.Incarnation < b.incarnation || (m.Incarnation == b.incarnation && m.Sequence <= b.sequence) {
		return
	}
	if m.Incarnation > b.incarnation {
		*b = borrowing{incarnation: m.Incarnation}
	}
	amount := e.parseLoan(m)
	b.unconfirmedReduction = b.unconfirmedReduction || amount.reduces(b.amount)
	b.sequence = m.Sequence
	b.amount = amount
	b.until = asked.Add(borrowerTerm(min(s.timing.Lease, time.Duration(m.RemainingMs)*time.Millisecond)))
	if b.amount != (Amount{}) {
		e.failedRequests = 0
	}
	s.publishShare(now, kind)
}

func (e *entry) parseLoan(m *pb.ShareLoan) Amount {
	a := Amount{Rate: m.Rate, Burst: int(m.Burst), Concurrency: int(m.Concurrency)}
	if !(a.Rate >= 0) {
		return Amount{}
	}
	return a.min(e.limit.Amount)
}

// requestLoans asks for loans to cover the demand above the entitlement, renews
// the loans held and confirms reductions.
func (s *State) requestLoans(now time.Time, e *entry, need Amount, running int) {
	e.confirmLoans(now, running)
	if !slices.Contains(e.limit.Members, s.vm) {
		return
	}
	deficit := need.minus(e.effective)
	if !e.lendsConcurrency() {
		deficit.Concurrency = 0
	}
	if deficit.Rate == 0 {
		deficit.Burst = 0
	}
	held := e.heldTotal(now)
	due := !now.Before(e.nextRequestAt) && (deficit != (Amount{}) || held != (Amount{}))
	for _, vm := range s.selectLenders(now, e, due && !held.covers(deficit)) {
		b := e.borrowings[vm]
		if !due && !b.needsConfirmation() {
			continue
		}
		s.sendAck(now, e, vm, b, wantedFrom(b, now, deficit, held))
	}
	if due {
		e.nextRequestAt = now.Add(s.requestInterval(e, held.covers(deficit)))
	}
}

// requestInterval is the time until the next request: a quarter of a lease
// while loans cover the demand, otherwise one tick, doubled after each failed
// attempt up to four ticks.
func (s *State) requestInterval(e *entry, covered bool) time.Duration {
	if covered {
		e.failedRequests = 0
		return s.timing.Lease / 4
	}
	e.failedRequests = min(e.failedRequests+1, 3)
	return s.timing.TickInterval() << (e.failedRequests - 1)
}

// confirmLoans marks the newest loans as confirmed once the running requests
// fit into the current share, so that no larger, earlier loan is in use.
func (e *entry) confirmLoans(now time.Time, running int) {
	if running > e.currentShare(now).At(now).Concurrency {
		return
	}
	for _, b := range e.borrowings {
		b.confirmed = b.sequence
	}
}

// needsConfirmation reports whether the lender waits for the confirmation of a
// reduction.
func (b *borrowing) needsConfirmation() bool {
	return b != nil && b.unconfirmedReduction && b.confirmed == b.sequence
}

// heldTotal returns the sum of the unexpired loans.
func (e *entry) heldTotal(now time.Time) Amount {
	var sum Amount
	for _, b := range e.borrowings {
		if now.Before(b.until) {
			sum = sum.plus(b.amount)
		}
	}
	return sum
}

// selectLenders returns the VMs with a current loan or an unconfirmed reduction
// and, if more is needed, the next maxNewLenders others in round-robin order.
func (s *State) selectLenders(now time.Time, e *entry, more bool) []string {
	var out []string
	for vm, b := range e.borrowings {
		if now.Before(b.until) || b.needsConfirmation() {
			out = append(out, vm)
		}
	}
	sort.Strings(out)
	if !more {
		return out
	}
	known := len(out)
	for range e.limit.Members {
		if len(out) == known+maxNewLenders {
			break
		}
		e.nextLender = (e.nextLender + 1) % len(e.limit.Members)
		if vm := e.limit.Members[e.nextLender]; vm != s.vm && !slices.Contains(out, vm) {
			out = append(out, vm)
		}
	}
	return out
}

// wantedFrom returns the amount to request from one lender: its current loan
// plus the whole shortfall, or a proportional part of the deficit if more is
// held than needed.
func wantedFrom(b *borrowing, now time.Time, deficit, held Amount) Amount {
	var own Amount
	if b != nil && now.Before(b.until) {
		own = b.amount
	}
	return Amount{
		Rate:        wantedPart(own.Rate, deficit.Rate, held.Rate),
		Burst:       ceil(wantedPart(float64(own.Burst), float64(deficit.Burst), float64(held.Burst))),
		Concurrency: ceil(wantedPart(float64(own.Concurrency), float64(deficit.Concurrency), float64(held.Concurrency))),
	}
}

func wantedPart(own, deficit, held float64) float64 {
	if held > deficit {
		return own * deficit / held
	}
	return own + deficit - held
}

// timestampUs returns the time since this incarnation started, in microseconds
// and at least 1.
func (s *State) timestampUs(now time.Time) uint64 {
	return uint64(max(1, now.Sub(s.started).Microseconds()))
}

func (s *State) sendAck(now time.Time, e *entry, vm string, b *borrowing, want Amount) {
	m := &pb.ShareAck{
		Customer:    e.limit.Kind.Customer,
		Kind:        e.limit.Kind.Name,
		Demand:      want.Rate,
		Burst:       uint32(want.Burst),
		Concurrent:  uint32(want.Concurrency),
		Incarnation: s.incarnation,
		StampUs:     s.timestampUs(now),
	}
	if b != nil {
		m.Sequence = b.confirmed
		m.LenderIncarnation = b.incarnation
		b.unconfirmedReduction = b.unconfirmedReduction && b.confirmed != b.sequence
	}
	s.actions = append(s.actions, SendAck{To: vm, Message: m})
}
