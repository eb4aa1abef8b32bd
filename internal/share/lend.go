package share

import (
	"math"
	"slices"
	"sort"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// lending is what this VM lent to one other VM and what that VM asked for.
type lending struct {
	// incarnation of the borrower; loans to an earlier one ended with it.
	incarnation uint64
	stampUs     uint64
	askedAt     time.Time
	want        Amount
	// answered is false while a request waits for a loan.
	answered bool
	// grants that may still be in use, ascending by sequence.
	grants []grant
}

// grant is one loan as the lender counts it.
type grant struct {
	sequence uint64
	amount   Amount
	// expires is when rate and burst come back, released when concurrency does.
	expires  time.Time
	released time.Time
}

// charge is what the borrower may be using: the most of any loan it may hold.
func (l *lending) charge(now time.Time) Amount {
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

// latest is the newest loan while it lasts.
func (l *lending) latest(now time.Time) Amount {
	if n := len(l.grants); n > 0 && now.Before(l.grants[n-1].expires) {
		return l.grants[n-1].amount
	}
	return Amount{}
}

func (l *lending) expire(now time.Time) {
	l.grants = slices.DeleteFunc(l.grants, func(g grant) bool { return !now.Before(g.released) })
}

// confirm forgets the loans before the confirmed one. The confirmed one itself
// goes when it gave nothing.
func (l *lending) confirm(sequence uint64) {
	l.grants = slices.DeleteFunc(l.grants, func(g grant) bool {
		return g.sequence < sequence || (g.sequence == sequence && g.amount == (Amount{}))
	})
}

// add notes a new loan and forgets those it outlasts and covers.
func (l *lending) add(g grant) {
	l.grants = slices.DeleteFunc(l.grants, func(old grant) bool {
		return g.amount.covers(old.amount) && !g.expires.Before(old.expires) && !g.released.Before(old.released)
	})
	l.grants = append(l.grants, g)
}

// charged is everything lent that may still be in use.
func (e *entry) charged(now time.Time) Amount {
	var sum Amount
	for _, l := range e.lendings {
		sum = sum.plus(l.charge(now))
	}
	return sum
}

// acked takes a request for a loan and the confirmation in it.
func (s *State) acked(now time.Time, from string, m *pb.ShareAck) {
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
	// An older incarnation, or a copy that was overtaken, says nothing new.
	if m.Incarnation < l.incarnation || (m.Incarnation == l.incarnation && m.StampUs <= l.stampUs) {
		return
	}
	l.incarnation = m.Incarnation
	l.stampUs = m.StampUs
	l.askedAt = now
	l.want = wanted(m)
	l.answered = false
	if m.LenderIncarnation == s.incarnation {
		l.confirm(m.Sequence)
	}
	s.update(now, kind)
}

// wanted reads what is asked for; nonsense counts as nothing.
func wanted(m *pb.ShareAck) Amount {
	a := Amount{Burst: int(m.Burst), Concurrency: int(m.Concurrent)}
	if m.Demand > 0 && !math.IsInf(m.Demand, 0) {
		a.Rate = m.Demand
	}
	return a
}

// lend decides the loans of one kind. Each is counted here before it is sent.
// While no request would be let in here no rate is lent: what is kept of a low
// rate needs many seconds for the first one.
func (s *State) lend(now time.Time, e *entry, need Amount, u Usage) []SendLoan {
	names := s.borrowers(now, e)
	if len(names) == 0 {
		return nil
	}
	grants := divide(e.inForce.minus(e.floor().max(need)), e.wants(names))
	keep := e.floor()
	keep.Concurrency = max(keep.Concurrency, u.Running)
	if !u.Ready {
		keep.Rate, keep.Burst = e.inForce.Rate, e.inForce.Burst
	}
	free := e.inForce.minus(e.charged(now)).minus(keep)
	var out []SendLoan
	for i, vm := range names {
		l := e.lendings[vm]
		held := l.charge(now)
		amount := grants[i].min(held.plus(free))
		if !l.due(now, amount, s.fresh(now, l)) {
			continue
		}
		free = free.minus(amount.minus(held))
		out = append(out, s.loan(e, vm, l, amount))
	}
	return out
}

// borrowers is the VMs that wait for a loan or hold one, by name.
func (s *State) borrowers(now time.Time, e *entry) []string {
	var names []string
	for vm, l := range e.lendings {
		if s.fresh(now, l) || l.latest(now) != (Amount{}) {
			names = append(names, vm)
		}
	}
	sort.Strings(names)
	return names
}

// fresh tells whether a request is young enough that its loan still has most of
// its life.
func (s *State) fresh(now time.Time, l *lending) bool {
	return now.Sub(l.askedAt) < s.timing.Lease/2
}

func (e *entry) wants(names []string) []Amount {
	out := make([]Amount, len(names))
	for i, vm := range names {
		out[i] = e.lendings[vm].want
		if !e.lendsConcurrency() {
			out[i].Concurrency = 0
		}
	}
	return out
}

// due tells whether a loan should be sent: it answers a request, or it takes
// back part of one that is out. A request that gets nothing gets no answer.
func (l *lending) due(now time.Time, amount Amount, fresh bool) bool {
	latest := l.latest(now)
	if !l.answered && fresh {
		return amount != (Amount{}) || latest != (Amount{})
	}
	return amount.lowers(latest)
}

// lowers tells whether a takes a part of old away that is worth a message.
func (a Amount) lowers(old Amount) bool {
	return a.Rate < old.Rate*(1-minRatePart) || a.Burst < old.Burst || a.Concurrency < old.Concurrency
}

func (s *State) loan(e *entry, vm string, l *lending, amount Amount) SendLoan {
	s.sequence++
	l.answered = true
	// The borrower counts from its stamp, which is before askedAt.
	expires := l.askedAt.Add(s.timing.LentLife())
	l.add(grant{sequence: s.sequence, amount: amount, expires: expires, released: expires.Add(e.hold())})
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

// divide gives each want its part of the pool, by the size of the wants.
func divide(pool Amount, wants []Amount) []Amount {
	var sum Amount
	for _, w := range wants {
		sum = sum.plus(w)
	}
	out := make([]Amount, len(wants))
	left := pool
	for i, w := range wants {
		out[i] = Amount{
			Rate:        fraction(w.Rate, pool.Rate, sum.Rate),
			Burst:       int(fraction(float64(w.Burst), float64(pool.Burst), float64(sum.Burst))),
			Concurrency: int(fraction(float64(w.Concurrency), float64(pool.Concurrency), float64(sum.Concurrency))),
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

// fraction is want, or its part of the pool when the sum of wants exceeds it.
func fraction(want, pool, sum float64) float64 {
	if sum <= pool {
		return want
	}
	return want / sum * pool
}

func ceil(f float64) int {
	return int(math.Ceil(f))
}
