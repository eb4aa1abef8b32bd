package share

import (
	"slices"
	"sort"
	"time"
)

// State runs the lending protocol of one VM for all limits. It is not safe for
// concurrent use.
type State struct {
	vm          string
	incarnation uint64
	started     time.Time
	timing      Timing
	// sequence is the number of the last loan that this incarnation issued.
	sequence uint64
	entries  map[Kind]*entry
	kinds    []Kind
	// cursor is the position in kinds where the last tick stopped, so that
	// kinds take turns under maxMessagesPerTick.
	cursor  int
	actions []Action
	// listed is set once a configuration has named the members of a limit.
	listed bool
}

// entry is the state of one kind.
type entry struct {
	limit Limit
	// membersChangedAt is when the member list took effect. Loans requested
	// earlier are refused, because their sequence numbers may have been
	// forgotten.
	membersChangedAt time.Time
	// entitled is this VM's part of the limit, effective what it may use or lend
	// of it now.
	entitled  Amount
	effective Amount
	// rateIncreaseAt and concurrencyIncreaseAt are when a higher entitlement
	// takes effect.
	rateIncreaseAt        time.Time
	concurrencyIncreaseAt time.Time
	lendings              map[string]*lending
	borrowings            map[string]*borrowing
	// nextRequestAt is when the next request for loans is due.
	nextRequestAt time.Time
	// nextLender is the index in Members of the VM asked last.
	nextLender int
	// failedRequests counts, up to 3, the rounds of requests since the last loan
	// or since loans covered the demand.
	failedRequests int
	// published is the share of the last ApplyShare action.
	published Share
	// restarting is set if only loans of a previous incarnation of this VM can
	// be outstanding.
	restarting bool
}

// Options configure a State.
type Options struct {
	VM string
	// Incarnation is higher than that of every previous process of the VM, and
	// Started is the start time of this process.
	Incarnation uint64
	Started     time.Time
	Timing      Timing
}

// New returns a State that has no capacity yet.
func New(opts Options) *State {
	return &State{
		vm:          opts.VM,
		incarnation: opts.Incarnation,
		started:     opts.Started,
		timing:      opts.Timing,
		entries:     map[Kind]*entry{},
	}
}

// Step processes one event and returns the resulting actions.
func (s *State) Step(now time.Time, e Event) []Action {
	s.actions = nil
	switch e := e.(type) {
	case Configured:
		s.configure(now, e.Limits)
	case Tick:
		s.tick(now, e.Usage)
	case AckReceived:
		s.handleAck(now, e.From, e.Message)
	case LoanReceived:
		s.handleLoan(now, e.From, e.Message)
	}
	return s.actions
}

// FormerLoansExpired reports whether every loan of a previous incarnation has expired.
func (s *State) FormerLoansExpired(now time.Time) bool {
	return !now.Before(s.started.Add(s.timing.LenderTerm()))
}

func (s *State) configure(now time.Time, limits []Limit) {
	kept := make(map[Kind]*entry, len(limits))
	s.kinds = s.kinds[:0]
	for _, l := range limits {
		e := s.entries[l.Kind]
		if e == nil {
			e = &entry{lendings: map[string]*lending{}, borrowings: map[string]*borrowing{}}
			e.published.Base.Rate = -1 // never equals a share, so the first one is published
		}
		e.configure(now, s, l)
		kept[l.Kind] = e
		s.kinds = append(s.kinds, l.Kind)
	}
	for kind := range s.entries {
		if kept[kind] == nil {
			s.actions = append(s.actions, ApplyShare{Kind: kind})
		}
	}
	s.entries = kept
	s.listed = s.listed || slices.ContainsFunc(limits, func(l Limit) bool { return len(l.Members) > 0 })
	sort.Slice(s.kinds, func(i, j int) bool {
		a, b := s.kinds[i], s.kinds[j]
		return a.Customer < b.Customer || (a.Customer == b.Customer && a.Name < b.Name)
	})
	for _, kind := range s.kinds {
		s.publishShare(now, kind)
	}
}

// configure applies a limit. A lower entitlement takes effect at once. After a
// change of members a higher one is delayed, because a VM that has not seen the
// change may still use the capacity that now belongs to this VM.
func (e *entry) configure(now time.Time, s *State, l Limit) {
	changed := !slices.Equal(e.limit.Members, l.Members)
	first := len(e.limit.Members) == 0
	e.limit = l
	e.entitled = l.Part(slices.Index(l.Members, s.vm), len(l.Members))
	if changed {
		e.membersChangedAt = now
		e.rateIncreaseAt = now.Add(s.timing.LenderTerm())
		// With the first list of the process only loans of a previous incarnation
		// can be outstanding, also if the list comes after they have expired.
		// Otherwise a VM whose configuration comes late would have rate but no
		// concurrency for the duration of a request, and refuse every request.
		e.restarting = first && (!s.listed || !s.FormerLoansExpired(now))
		if e.restarting && !s.FormerLoansExpired(now) {
			// Loans of a previous incarnation expire one LenderTerm after the start.
			e.rateIncreaseAt = s.started.Add(s.timing.LenderTerm())
		}
		e.concurrencyIncreaseAt = e.rateIncreaseAt.Add(e.drainTime())
		e.dropNonMembers(s.vm)
	}
	e.effective = e.effective.min(e.entitled)
	e.applyIncreases(now)
}

// dropNonMembers discards borrowings from VMs that left the list, or all of
// them when this VM left it, and clears the requests of VMs that left.
// Outstanding loans stay counted until they expire.
func (e *entry) dropNonMembers(self string) {
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

// drainTime is how long requests may keep running after their share was
// withdrawn.
func (e *entry) drainTime() time.Duration {
	return e.limit.MaxDuration + time.Duration(2*MaxClockDrift*float64(e.limit.MaxDuration)) + safetyMargin
}

// lendsConcurrency reports whether the kind's requests are short enough to lend
// concurrency.
func (e *entry) lendsConcurrency() bool {
	return e.limit.MaxDuration <= MaxLendableDuration
}

func (e *entry) applyIncreases(now time.Time) {
	if !now.Before(e.rateIncreaseAt) {
		e.effective.Rate = e.entitled.Rate
		e.effective.Burst = e.entitled.Burst
		if e.restarting {
			// The reserved part is never lent, so no loan of a previous
			// incarnation can overlap with it.
			e.effective.Concurrency = max(e.effective.Concurrency, e.reserved().Concurrency)
		}
	}
	if !now.Before(e.concurrencyIncreaseAt) {
		e.effective.Concurrency = e.entitled.Concurrency
	}
}

// reserved is the part of the entitlement that is never lent, so that the first
// request after an idle period is admitted at once.
func (e *entry) reserved() Amount {
	f := Amount{Rate: e.entitled.Rate * minRetainedRate, Burst: min(1, e.entitled.Burst), Concurrency: min(1, e.entitled.Concurrency)}
	if !e.lendsConcurrency() {
		f.Concurrency = e.entitled.Concurrency
	}
	return f
}

func (s *State) tick(now time.Time, usage func(Kind) Usage) {
	for _, kind := range s.kinds {
		s.entries[kind].expire(now, s.timing.Lease)
		s.entries[kind].applyIncreases(now)
		s.publishShare(now, kind)
	}
	sent := 0
	for range s.kinds {
		if sent >= maxMessagesPerTick {
			return
		}
		s.cursor = (s.cursor + 1) % len(s.kinds)
		kind := s.kinds[s.cursor]
		sent += s.exchangeLoans(now, kind, usage(kind))
	}
}

// exchangeLoans lends and borrows for one kind and returns the number of
// actions it added.
func (s *State) exchangeLoans(now time.Time, kind Kind, u Usage) int {
	e := s.entries[kind]
	if e.entitled == (Amount{}) && len(e.lendings) == 0 {
		return 0
	}
	need := e.demand(u)
	before := len(s.actions)
	loans := s.grantLoans(now, e, need, u)
	s.publishShare(now, kind)
	for _, l := range loans {
		s.actions = append(s.actions, l)
	}
	s.requestLoans(now, e, need, u.Running)
	return len(s.actions) - before
}

// demand estimates the part of the whole limit that the usage requires.
func (e *entry) demand(u Usage) Amount {
	a := Amount{Rate: u.Rate * demandHeadroom, Concurrency: u.Concurrency}
	if a.Rate > 0 && e.limit.Rate > 0 {
		part := a.Rate / e.limit.Rate
		a.Burst = max(1, ceil(part*float64(e.limit.Burst)))
	}
	return a.min(e.limit.Amount)
}

// expire removes loans that have expired at both the lender and the borrower.
func (e *entry) expire(now time.Time, lease time.Duration) {
	for vm, b := range e.borrowings {
		// An expired borrowing is kept for two more leases: its sequence number
		// rejects delayed duplicates.
		if now.After(b.until.Add(2 * lease)) {
			delete(e.borrowings, vm)
		}
	}
	for vm, l := range e.lendings {
		l.expire(now)
		if len(l.grants) == 0 && now.Sub(l.requestedAt) > 2*lease {
			delete(e.lendings, vm)
		}
	}
}

// currentShare returns the capacity that may be used now.
func (e *entry) currentShare(now time.Time) Share {
	sh := Share{Base: e.effective.minus(e.outstanding(now))}
	for _, b := range e.borrowings {
		if now.Before(b.until) && b.amount != (Amount{}) {
			sh.Loans = append(sh.Loans, Loan{Amount: b.amount, Until: b.until})
		}
	}
	slices.SortFunc(sh.Loans, Loan.compare)
	return sh
}

// publishShare emits an ApplyShare action if the kind's share changed.
func (s *State) publishShare(now time.Time, kind Kind) {
	e := s.entries[kind]
	sh := e.currentShare(now)
	if sh.Base == e.published.Base && slices.Equal(sh.Loans, e.published.Loans) {
		return
	}
	e.published = sh
	s.actions = append(s.actions, ApplyShare{Kind: kind, Share: sh})
}
