package dispatch

import "time"

// LedgerOptions bound what a ledger remembers.
type LedgerOptions struct {
	// Tombstones and their age: cancellations whose request has not come yet.
	Tombstones   int
	TombstoneAge time.Duration
	// Idempotent ids: a forgotten one that comes again costs load only, so the
	// oldest gives way when there are more.
	Idempotent int
	// NonIdempotent ids are never forgotten before Age: when there are as many,
	// new ones are refused.
	NonIdempotent int
	// Age of the ids of both kinds, counted from when they were seen.
	Age time.Duration
}

// DefaultLedger is sized for one owner: about 4 MB when full.
func DefaultLedger() LedgerOptions {
	return LedgerOptions{
		Tombstones:    4096,
		TombstoneAge:  5 * time.Second,
		Idempotent:    1 << 16,
		NonIdempotent: 1 << 15,
		Age:           time.Minute,
	}
}

// Sighting is what a ledger knows of an arriving sub-request.
type Sighting int

const (
	// Fresh: it may be dispatched.
	Fresh Sighting = iota
	// Open: the same id is queued or runs; that one will be answered.
	Open
	// Answered: the same id was answered already.
	Answered
	// Cancelled: a cancellation came first.
	Cancelled
	// Full: its id cannot be remembered.
	Full
)

// Ledger remembers which ids an owner has seen, so that a frame that comes twice
// is dispatched once and a cancellation that overtakes its request stops it. It
// is not safe for concurrent use.
type Ledger struct {
	opts       LedgerOptions
	senders    senders
	open       map[compactKey]struct{}
	tombstones memory
	idempotent memory
	once       memory
}

// NewLedger makes an empty ledger.
func NewLedger(opts LedgerOptions) *Ledger {
	return &Ledger{
		opts:       opts,
		senders:    senders{byName: map[senderName]uint32{}},
		open:       map[compactKey]struct{}{},
		tombstones: newMemory(opts.Tombstones, opts.TombstoneAge),
		idempotent: newMemory(opts.Idempotent, opts.Age),
		once:       newMemory(opts.NonIdempotent, opts.Age),
	}
}

// Arrive notes a sub-request. Only Fresh may be dispatched, and its id must be
// closed later.
func (l *Ledger) Arrive(now time.Time, key Key, idempotent bool) Sighting {
	l.expire(now)
	k := l.senders.compact(key)
	if _, ok := l.open[k]; ok {
		return Open
	}
	if l.idempotent.has(k) || l.once.has(k) {
		return Answered
	}
	if l.tombstones.has(k) {
		// Its sender is told that it did not run. Were it remembered where
		// others push it out, a second copy would run all the same.
		if l.remember(now, k, idempotent) {
			l.tombstones.drop(k)
		}
		return Cancelled
	}
	if !l.remember(now, k, idempotent) {
		return Full
	}
	l.open[k] = struct{}{}
	return Fresh
}

// remember keeps an id that was seen; false when there is no room.
func (l *Ledger) remember(now time.Time, k compactKey, idempotent bool) bool {
	if !idempotent {
		return l.once.addIfRoom(now, k)
	}
	l.idempotent.add(now, k)
	return true
}

// Close notes that the sub-request was answered.
func (l *Ledger) Close(key Key) {
	delete(l.open, l.senders.compact(key))
}

// OpenCount is how many are not yet closed.
func (l *Ledger) OpenCount() int {
	return len(l.open)
}

// Cancel notes a cancellation. It is false for an id that was answered before,
// which leaves nothing to cancel; an id never seen gets a tombstone.
func (l *Ledger) Cancel(now time.Time, key Key) (open bool) {
	l.expire(now)
	k := l.senders.compact(key)
	if _, ok := l.open[k]; ok {
		return true
	}
	if !l.idempotent.has(k) && !l.once.has(k) {
		l.tombstones.add(now, k)
	}
	return false
}

// Len is how many ids and tombstones are remembered.
func (l *Ledger) Len() int {
	return len(l.tombstones.at) + len(l.idempotent.at) + len(l.once.at)
}

func (l *Ledger) expire(now time.Time) {
	l.tombstones.expire(now)
	l.idempotent.expire(now)
	l.once.expire(now)
	if len(l.senders.byName) > maxSenders {
		l.sweepSenders()
	}
}

func (l *Ledger) sweepSenders() {
	used := map[uint32]bool{}
	for k := range l.open {
		used[k.sender] = true
	}
	for _, m := range []*memory{&l.tombstones, &l.idempotent, &l.once} {
		for k := range m.at {
			used[k.sender] = true
		}
	}
	l.senders.keep(used)
}

// senderName is one process.
type senderName struct {
	vm          string
	incarnation uint64
}

// senders gives each process a number, so that an id takes 16 bytes.
type senders struct {
	byName map[senderName]uint32
	last   senderName
	number uint32
	// issued counts the numbers given so far; none is given twice.
	issued uint32
}

// maxSenders is how many processes are known before the forgotten ones are
// looked for: every restart of a VM makes a new one.
const maxSenders = 4096

// keep forgets the processes that have no id in used.
func (s *senders) keep(used map[uint32]bool) {
	for name, n := range s.byName {
		if !used[n] {
			delete(s.byName, name)
		}
	}
	s.number = 0
}

// compactKey is a Key without its strings.
type compactKey struct {
	sender uint32
	id     uint64
}

func (s *senders) compact(key Key) compactKey {
	name := senderName{key.VM, key.Incarnation}
	if name != s.last || s.number == 0 {
		n, ok := s.byName[name]
		if !ok {
			s.issued++
			n = s.issued
			s.byName[name] = n
		}
		s.last, s.number = name, n
	}
	return compactKey{s.number, key.ID}
}

// memory is a bounded set of ids, the oldest first.
type memory struct {
	most int
	age  time.Duration
	at   map[compactKey]uint64
	ring []entry
	// head and tail count the entries taken out and put in so far.
	head, tail uint64
}

type entry struct {
	key compactKey
	at  time.Time
}

func newMemory(most int, age time.Duration) memory {
	return memory{most: most, age: age, at: map[compactKey]uint64{}}
}

func (m *memory) has(k compactKey) bool {
	_, ok := m.at[k]
	return ok
}

// add remembers k; the oldest is forgotten when there is no room.
func (m *memory) add(now time.Time, k compactKey) {
	if m.tail-m.head >= uint64(m.most) {
		m.forgetOldest()
	}
	m.put(now, k)
}

func (m *memory) addIfRoom(now time.Time, k compactKey) bool {
	if m.tail-m.head >= uint64(m.most) {
		return false
	}
	m.put(now, k)
	return true
}

func (m *memory) put(now time.Time, k compactKey) {
	m.grow()
	m.ring[m.tail%uint64(len(m.ring))] = entry{k, now}
	m.at[k] = m.tail
	m.tail++
}

// grow doubles a full ring, up to the bound.
func (m *memory) grow() {
	const first = 64
	n := uint64(len(m.ring))
	if m.tail-m.head < n {
		return
	}
	bigger := make([]entry, min(max(first, 2*n), uint64(m.most)))
	for i := m.head; i < m.tail; i++ {
		bigger[i%uint64(len(bigger))] = m.ring[i%n]
	}
	m.ring = bigger
}

// drop forgets k; its place in the ring is left to age.
func (m *memory) drop(k compactKey) {
	delete(m.at, k)
}

func (m *memory) expire(now time.Time) {
	for m.head < m.tail && now.Sub(m.ring[m.head%uint64(len(m.ring))].at) >= m.age {
		m.forgetOldest()
	}
}

func (m *memory) forgetOldest() {
	k := m.ring[m.head%uint64(len(m.ring))].key
	if at, ok := m.at[k]; ok && at == m.head {
		delete(m.at, k)
	}
	m.head++
}
