package share

import (
	"math"
	"slices"
	"sort"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// lending records the loans to one other VM and its latest request.
type lending struct {
	// incarnation is the borrower's. Loans to an earlier incarnation ended with
	// it.
	incarnation uint64
	stampUs     uint64
	requestedAt time.Time
	want        Amount
	// answered is false while a request waits for a loan.
	answered bool
	// grants may still be in use. They are sorted by sequence.
	grants []grant
}

// grant is a loan as the lender accounts for it.
type grant struct {
	sequence uint64
	amount   Amount
	// expires is when rate and burst return to the lender, released when
	// concurrency does.
	expires  time.Time
	released time.Time
}

// outstanding returns the most that the borrower may be using: the maximum over
// all loans it may still hold.
func (l *lending) outstanding(now time.Time) Amount {
	var most Amount
	for _, g := range l.grants {
		if now.Before(g.expires) {
			most = most.max(g.amount)
			continue
		}
		most.Concurrency = max(most.Concurrency, g.amount.Concurrency)
	}
	return most
}

// latestAmount returns the newest loan, or zero once it has expired.
func (l *lending) latestAmount(now time.Time) Amount {
	if n := len(l.grants); n > 0 && now.Before(l.grants[n-1].expires) {
		return l.grants[n-1].amount
	}
	return Amount{}
}

func (l *lending) expire(now time.Time) {
	l.grants = slices.DeleteFunc(l.grants, func(g grant) bool { return !now.Before(g.released) })
}

// confirmUpTo removes the loans before the confirmed one, and the confirmed one
// itself if it is empty.
func (l *lending) confirmUpTo(sequence uint64) {
	l.grants = slices.DeleteFunc(l.grants, func(g grant) bool {
		return g.sequence < sequence || (g.sequence == sequence && g.amount == (Amount{}))
	})
}

// addGrant records a new loan and removes those that it covers and outlasts.
func (l *lending) addGrant(g grant) {
	l.grants = slices.DeleteFunc(l.grants, func(old grant) bool {
		return g.amount.covers(old.amount) && !g.expires.Before(old.expires) && !g.released.Before(old.released)
	})
	l.grants = append(l.grants, g)
}

// outstanding returns the sum of all loans that may still be in use.
func (e *entry) outstanding(now time.Time) Amount {
	var sum Amount
	for _, l := range e.lendings {
		sum = sum.plus(l.outstanding(now))
	}
	return sum
}

// handleAck processes a request for a loan and the confirmation it carries.
func (s *State) handleAck(now time.Time, from string, m *pb.ShareAck) {
	kind := Kind{Customer: m.Customer, Name: m.Kind}
	e := s.entries[kind]
	if e == nil || from == s.vm || !slices.Contains(e.limit.Members, from) || !slices.Contains(e.limit.Members, s.vm) {
		return
	}
	l := e.lendings[from]
	if l == nil {
		l = &lending{}
		e.lendings[from] = l
	}
	// Messages of an older incarnation and reordered duplicates are stale.
	if m.Incarnation < l.incarnation || (m.Incarnation == l.incarnation && m.StampUs <= l.stampUs) {
		return
	}
	l.incarnation = m.Incarnation
	l.stampUs = m.StampUs
	l.requestedAt = now
	l.want = parseWanted(m)
	l.answered = false
	if m.LenderIncarnation == s.incarnation {
		l.confirmUpTo(m.Sequence)
	}
	s.publishShare(now, kind)
}

// parseWanted returns the requested amount. A rate that is negative or not
// finite counts as 0.
func parseWanted(m *pb.ShareAck) Amount {
	a := Amount{Burst: int(m.Burst), Concurrency: int(m.Concurrent)}
	if m.Demand > 0 && !math.IsInf(m.Demand, 0) {
		a.Rate = m.Demand
	}
	return a
}

// grantLoans decides the loans of one kind and records each before it is sent.
// It lends no rate while this VM has no token itself: at a low rate, the
// remainder would take many seconds to produce the first token.
func (s *State) grantLoans(now time.Time, e *entry, need Amount, u Usage) []SendLoan {
	names := s.borrowers(now, e)
	if len(names) == 0 {
		return nil
	}
	grants := divideProportionally(e.effective.minus(e.reserved().max(need)), e.wantedBy(names))
	keep := e.reserved()
	keep.Concurrency = max(keep.Concurrency, u.Running)
	if !u.TokenAvailable {
		keep.Rate, keep.Burst = e.effective.Rate, e.effective.Burst
	}
	free := e.effective.minus(e.outstanding(now)).minus(keep)
	var out []SendLoan
	for i, vm := range names {
		l := e.lendings[vm]
		held := l.outstanding(now)
		amount := grants[i].min(held.plus(free))
		if !l.shouldSend(now, amount, s.requestIsFresh(now, l)) {
			continue
		}
		free = free.minus(amount.minus(held))
		out = append(out, s.newLoan(e, vm, l, amount))
	}
	return out
}

// borrowers returns the sorted names of VMs that wait for a loan or hold one.
func (s *State) borrowers(now time.Time, e *entry) []string {
	var names []string
	for vm, l := range e.lendings {
		if s.requestIsFresh(now, l) || l.latestAmount(now) != (Amount{}) {
			names = append(names, vm)
		}
	}
	sort.Strings(names)
	return names
}

// requestIsFresh reports whether a request is recent enough that its loan still
// has most of its lifetime left.
func (s *State) requestIsFresh(now time.Time, l *lending) bool {
	return now.Sub(l.requestedAt) < s.timing.Lease/2
}

func (e *entry) wantedBy(names []string) []Amount {
	out := make([]Amount, len(names))
	for i, vm := range names {
		out[i] = e.lendings[vm].want
		if !e.lendsConcurrency() {
			out[i].Concurrency = 0
		}
	}
	return out
}

// shouldSend reports whether a loan answers a request or reduces one that is
// outstanding. A request that gets nothing gets no reply.
func (l *lending) shouldSend(now time.Time, amount Amount, fresh bool) bool {
	latest := l.latestAmount(now)
	if !l.answered && fresh {
		return amount != (Amount{}) || latest != (Amount{})
	}
	return amount.reduces(latest)
}

// reduces reports whether a is lower than old by enough to justify a message.
func (a Amount) reduces(old Amount) bool {
	return a.Rate < old.Rate*(1-minRetainedRate) || a.Burst < old.Burst || a.Concurrency < old.Concurrency
}

func (s *State) newLoan(e *entry, vm string, l *lending, amount Amount) SendLoan {
	s.sequence++
	l.answered = true
	// The borrower counts from its own timestamp, which precedes requestedAt.
	expires := l.requestedAt.Add(s.timing.LenderTerm())
	l.addGrant(grant{sequence: s.sequence, amount: amount, expires: expires, released: expires.Add(e.drainTime())})
	return SendLoan{To: vm, Message: &pb.ShareLoan{
		Customer:            e.limit.Kind.Customer,
		Kind:                e.limit.Kind.Name,
		Sequence:            s.sequence,
		Rate:                amount.Rate,
		Burst:               uint32(amount.Burst),
		Concurrency:         uint32(amount.Concurrency),
		RemainingMs:         uint32(s.timing.Lease.Milliseconds()),
		Incarnation:         s.incarnation,
		StampUs:             l.stampUs,
		BorrowerIncarnation: l.incarnation,
	}}
}

// divideProportionally splits the pool between the wants, in proportion to
// their size.
func divideProportionally(pool Amount, wants []Amount) []Amount {
	var sum Amount
	for _, w := range wants {
		sum = sum.plus(w)
	}
	out := make([]Amount, len(wants))
	left := pool
	for i, w := range wants {
		out[i] = Amount{
			Rate:        proportionalPart(w.Rate, pool.Rate, sum.Rate),
			Burst:       int(proportionalPart(float64(w.Burst), float64(pool.Burst), float64(sum.Burst))),
			Concurrency: int(proportionalPart(float64(w.Concurrency), float64(pool.Concurrency), float64(sum.Concurrency))),
		}
		left = left.minus(out[i])
	}
	for i, w := range wants {
		rest := w.minus(out[i]).min(left)
		rest.Rate = 0
		out[i] = out[i].plus(rest)
		left = left.minus(rest)
	}
	return out
}

// proportionalPart returns want, or its part of the pool if the sum of all
// wants exceeds the pool.
func proportionalPart(want, pool, sum float64) float64 {
	if sum <= pool {
		return want
	}
	return want / sum * pool
}

func ceil(f float64) int {
	return int(math.Ceil(f))
}
