package share

import (
	"slices"
	"sort"
	"time"
)

// State is one VM's part in sharing every limit. It is not safe for concurrent
// use.
type State struct {
	vm          string
	incarnation uint64
	started     time.Time
	timing      Timing
	// sequence numbers the loans of this incarnation.
	sequence uint64
	entries  map[Kind]*entry
	order    []Kind
	// cursor is where the next tick begins to send, so that many kinds share
	// the bound on messages in turn.
	cursor  int
	actions []Action
}

// entry is one kind.
type entry struct {
	limit Limit
	// since is when the members came into force: loans asked for before are
	// refused, as what is known of their sequence may be lost.
	since   time.Time
	target  Amount
	inForce Amount
	// rateAt and concurrencyAt are when a higher target comes into force.
	rateAt        time.Time
	concurrencyAt time.Time
	lendings      map[string]*lending
	borrowings    map[string]*borrowing
	// askAt is when loans are asked for next.
	askAt  time.Time
	next   int
	failed int
	set    Share
	// restart is set while only a former incarnation of this VM holds e back.
	restart bool
}

// Options are what a State needs.
type Options struct {
	VM string
	// Incarnation is higher than that of every former process of the VM, and
	// Started is when this one began.
	Incarnation uint64
	Started     time.Time
	Timing      Timing
}

// New is the state of a VM that may use nothing yet.
func New(opts Options) *State {
	return &State{
		vm:          opts.VM,
		incarnation: opts.Incarnation,
		started:     opts.Started,
		timing:      opts.Timing,
		entries:     map[Kind]*entry{},
	}
}

// Step takes one event in and returns what to do.
func (s *State) Step(now time.Time, e Event) []Action {
	s.actions = nil
	switch e := e.(type) {
	case Configured:
		s.configure(now, e.Limits)
	case Tick:
		s.tick(now, e.Usage)
	case Ack:
		s.acked(now, e.From, e.Message)
	case Lent:
		s.lent(now, e.From, e.Message)
	}
	return s.actions
}

// Settled tells whether every loan of a former incarnation has ended.
func (s *State) Settled(now time.Time) bool {
	return !now.Before(s.started.Add(s.timing.LentLife()))
}

func (s *State) configure(now time.Time, limits []Limit) {
	kept := make(map[Kind]*entry, len(limits))
	s.order = s.order[:0]
	for _, l := range limits {
		e := s.entries[l.Kind]
		if e == nil {
			e = &entry{lendings: map[string]*lending{}, borrowings: map[string]*borrowing{}}
			e.set.Base.Rate = -1 // differs from every share, so that the first is set
		}
		e.configure(now, s, l)
		kept[l.Kind] = e
		s.order = append(s.order, l.Kind)
	}
	for kind := range s.entries {
		if kept[kind] == nil {
			s.actions = append(s.actions, Set{Kind: kind})
		}
	}
	s.entries = kept
	sort.Slice(s.order, func(i, j int) bool {
		a, b := s.order[i], s.order[j]
		return a.Customer < b.Customer || (a.Customer == b.Customer && a.Name < b.Name)
	})
	for _, kind := range s.order {
		s.update(now, kind)
	}
}

// configure takes a limit over. A lower entitlement is in force at once. A
// higher one waits after the members changed: a VM that has not seen the change
// may still use what is now entitled here.
func (e *entry) configure(now time.Time, s *State, l Limit) {
	changed := !slices.Equal(e.limit.Members, l.Members)
	first := len(e.limit.Members) == 0
	e.limit = l
	e.target = l.Part(slices.Index(l.Members, s.vm), len(l.Members))
	if changed {
		e.since = now
		e.rateAt = now.Add(s.timing.LentLife())
		e.restart = first && !s.Settled(now)
		if e.restart {
			// No list was known before: only loans of a former incarnation of
			// this VM may be out, and they end a lease after the start.
			e.rateAt = s.started.Add(s.timing.LentLife())
		}
		e.concurrencyAt = e.rateAt.Add(e.hold())
		e.dropOthers(s.vm)
	}
	e.inForce = e.inForce.min(e.target)
	e.raise(now)
}

// dropOthers forgets the VMs that are no members any more, and all of them when
// this VM is none. What was lent to them stays counted until it ends.
func (e *entry) dropOthers(self string) {
	member := slices.Contains(e.limit.Members, self)
	for vm := range e.borrowings {
		if !member || !slices.Contains(e.limit.Members, vm) {
			delete(e.borrowings, vm)
		}
	}
	for vm, l := range e.lendings {
		if !slices.Contains(e.limit.Members, vm) {
			l.want = Amount{}
		}
	}
}

// hold is how long requests may still run after their share was withdrawn.
func (e *entry) hold() time.Duration {
	return e.limit.Hold + time.Duration(2*MaxDrift*float64(e.limit.Hold)) + margin
}

// lendsConcurrency tells whether the kind's requests are short enough.
func (e *entry) lendsConcurrency() bool {
	return e.limit.Hold <= MaxHold
}

func (e *entry) raise(now time.Time) {
	if !now.Before(e.rateAt) {
		e.inForce.Rate = e.target.Rate
		e.inForce.Burst = e.target.Burst
		if e.restart {
			// Never lent, so no former incarnation's loan can cover it.
			e.inForce.Concurrency = max(e.inForce.Concurrency, e.floor().Concurrency)
		}
	}
	if !now.Before(e.concurrencyAt) {
		e.inForce.Concurrency = e.target.Concurrency
	}
}

// floor is the part of the entitlement that is never lent: a caller that comes
// to a VM after a pause is let in at once.
func (e *entry) floor() Amount {
	f := Amount{Rate: e.target.Rate * minRatePart, Burst: min(1, e.target.Burst), Concurrency: min(1, e.target.Concurrency)}
	if !e.lendsConcurrency() {
		f.Concurrency = e.target.Concurrency
	}
	return f
}

func (s *State) tick(now time.Time, usage func(Kind) Usage) {
	for _, kind := range s.order {
		s.entries[kind].expire(now, s.timing.Lease)
		s.entries[kind].raise(now)
		s.update(now, kind)
	}
	sent := 0
	for range s.order {
		if sent >= maxMessages {
			return
		}
		s.cursor = (s.cursor + 1) % len(s.order)
		kind := s.order[s.cursor]
		sent += s.exchange(now, kind, usage(kind))
	}
}

// exchange lends and borrows for one kind and returns the messages sent.
func (s *State) exchange(now time.Time, kind Kind, u Usage) int {
	e := s.entries[kind]
	if e.target == (Amount{}) && len(e.lendings) == 0 {
		return 0
	}
	need := e.need(u)
	before := len(s.actions)
	loans := s.lend(now, e, need, u)
	s.update(now, kind)
	for _, l := range loans {
		s.actions = append(s.actions, l)
	}
	s.ask(now, e, need, u.Running)
	return len(s.actions) - before
}

// need is the part of the whole limit that the usage calls for.
func (e *entry) need(u Usage) Amount {
	a := Amount{Rate: u.Rate * headroom, Concurrency: u.Concurrency}
	if a.Rate > 0 && e.limit.Rate > 0 {
		part := a.Rate / e.limit.Rate
		a.Burst = max(1, ceil(part*float64(e.limit.Burst)))
	}
	return a.min(e.limit.Amount)
}

// expire forgets loans that have ended on both sides.
func (e *entry) expire(now time.Time, lease time.Duration) {
	for vm, b := range e.borrowings {
		// Kept for a lease more, so that its sequence refuses late copies.
		if now.After(b.until.Add(2 * lease)) {
			delete(e.borrowings, vm)
		}
	}
	for vm, l := range e.lendings {
		l.expire(now)
		if len(l.grants) == 0 && now.Sub(l.askedAt) > 2*lease {
			delete(e.lendings, vm)
		}
	}
}

// share is what may be used now.
func (e *entry) share(now time.Time) Share {
	sh := Share{Base: e.inForce.minus(e.charged(now))}
	for _, b := range e.borrowings {
		if now.Before(b.until) && b.amount != (Amount{}) {
			sh.Loans = append(sh.Loans, Loan{Amount: b.amount, Until: b.until})
		}
	}
	slices.SortFunc(sh.Loans, Loan.compare)
	return sh
}

// update sets a kind's share if it changed.
func (s *State) update(now time.Time, kind Kind) {
	e := s.entries[kind]
	sh := e.share(now)
	if sh.Base == e.set.Base && slices.Equal(sh.Loans, e.set.Loans) {
		return
	}
	e.set = sh
	s.actions = append(s.actions, Set{Kind: kind, Share: sh})
}
