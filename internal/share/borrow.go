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
	// confirmed is the sequence that the lender may be told: no request still
	// runs on a larger loan before it.
	confirmed uint64
	// lowered is set until the lender was told that a smaller loan is in use.
	lowered bool
}

// lent takes a loan. It takes the place of the lender's earlier ones; a copy
// that was overtaken by a later loan changes nothing.
func (s *State) lent(now time.Time, from string, m *pb.ShareLoan) {
	kind := Kind{Customer: m.Customer, Name: m.Kind}
	e := s.entries[kind]
	if e == nil || !slices.Contains(e.limit.Members, from) || !slices.Contains(e.limit.Members, s.vm) {
		return
	}
	// A loan to a former incarnation carries a stamp of another clock.
	if m.BorrowerIncarnation != s.incarnation || m.StampUs > s.stamp(now) {
		return
	}
	asked := s.started.Add(time.Duration(m.StampUs) * time.Microsecond)
	if asked.Before(e.since) {
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
	amount := e.borrowed(m)
	b.lowered = b.lowered || amount.lowers(b.amount)
	b.sequence = m.Sequence
	b.amount = amount
	b.until = asked.Add(borrowedLife(min(s.timing.Lease, time.Duration(m.RemainingMs)*time.Millisecond)))
	if b.amount != (Amount{}) {
		e.failed = 0
	}
	s.update(now, kind)
}

func (e *entry) borrowed(m *pb.ShareLoan) Amount {
	a := Amount{Rate: m.Rate, Burst: int(m.Burst), Concurrency: int(m.Concurrency)}
	if !(a.Rate >= 0) {
		return Amount{}
	}
	return a.min(e.limit.Amount)
}

// ask requests loans for what is needed above the entitlement, renews those
// that are held and confirms those that were lowered.
func (s *State) ask(now time.Time, e *entry, need Amount, running int) {
	e.confirm(now, running)
	if !slices.Contains(e.limit.Members, s.vm) {
		return
	}
	deficit := need.minus(e.inForce)
	if !e.lendsConcurrency() {
		deficit.Concurrency = 0
	}
	if deficit.Rate == 0 {
		deficit.Burst = 0
	}
	held := e.held(now)
	due := !now.Before(e.askAt) && (deficit != (Amount{}) || held != (Amount{}))
	for _, vm := range s.lenders(now, e, due && !held.covers(deficit)) {
		b := e.borrowings[vm]
		if !due && !b.confirms() {
			continue
		}
		s.sendAck(now, e, vm, b, wantFrom(b, now, deficit, held))
	}
	if due {
		e.askAt = now.Add(s.pause(e, held.covers(deficit)))
	}
}

// pause is the time until the next request: a fourth of a lease while loans
// cover the need; otherwise soon, and later each time nothing came.
func (s *State) pause(e *entry, covered bool) time.Duration {
	if covered {
		e.failed = 0
		return s.timing.Lease / 4
	}
	e.failed = min(e.failed+1, 3)
	return s.timing.Tick() << (e.failed - 1)
}

// confirm notes the loans whose earlier, larger ones are out of use.
func (e *entry) confirm(now time.Time, running int) {
	if running > e.share(now).At(now).Concurrency {
		return
	}
	for _, b := range e.borrowings {
		b.confirmed = b.sequence
	}
}

// confirms tells whether the lender waits to hear that it has a part back.
func (b *borrowing) confirms() bool {
	return b != nil && b.lowered && b.confirmed == b.sequence
}

// held is the sum of the loans.
func (e *entry) held(now time.Time) Amount {
	var sum Amount
	for _, b := range e.borrowings {
		if now.Before(b.until) {
			sum = sum.plus(b.amount)
		}
	}
	return sum
}

// lenders is the VMs that lend or lent lately and, when more is needed, the
// next few others in turn.
func (s *State) lenders(now time.Time, e *entry, more bool) []string {
	var out []string
	for vm, b := range e.borrowings {
		if now.Before(b.until) || b.confirms() {
			out = append(out, vm)
		}
	}
	sort.Strings(out)
	if !more {
		return out
	}
	known := len(out)
	for range e.limit.Members {
		if len(out) == known+newLenders {
			break
		}
		e.next = (e.next + 1) % len(e.limit.Members)
		if vm := e.limit.Members[e.next]; vm != s.vm && !slices.Contains(out, vm) {
			out = append(out, vm)
		}
	}
	return out
}

// wantFrom is what to hold from one lender: its loan and all that is missing,
// or its part of the deficit when more is held than is missing.
func wantFrom(b *borrowing, now time.Time, deficit, held Amount) Amount {
	var own Amount
	if b != nil && now.Before(b.until) {
		own = b.amount
	}
	return Amount{
		Rate:        wantPart(own.Rate, deficit.Rate, held.Rate),
		Burst:       ceil(wantPart(float64(own.Burst), float64(deficit.Burst), float64(held.Burst))),
		Concurrency: ceil(wantPart(float64(own.Concurrency), float64(deficit.Concurrency), float64(held.Concurrency))),
	}
}

func wantPart(own, deficit, held float64) float64 {
	if held > deficit {
		return own * deficit / held
	}
	return own + deficit - held
}

// stamp is this incarnation's clock, at least 1.
func (s *State) stamp(now time.Time) uint64 {
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
		StampUs:     s.stamp(now),
	}
	if b != nil {
		m.Sequence = b.confirmed
		m.LenderIncarnation = b.incarnation
		b.lowered = b.lowered && b.confirmed != b.sequence
	}
	s.actions = append(s.actions, SendAck{To: vm, Message: m})
}
