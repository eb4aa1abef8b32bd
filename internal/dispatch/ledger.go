package dispatch

import "time"

// LedgerOptions bound the memory of a ledger.
type LedgerOptions struct {
	// Tombstones is the number of remembered cancellations whose request has not
	// arrived; TombstoneAge is how long each is kept.
	Tombstones   int
	TombstoneAge time.Duration
	// Idempotent is the number of remembered idempotent ids. The oldest is
	// evicted to make room: running an idempotent request twice costs only load.
	Idempotent int
	// NonIdempotent is the number of remembered non-idempotent ids. They are
	// never evicted before Age; when there is no room, new requests are refused.
	NonIdempotent int
	// Age is how long ids of both kinds are kept after their arrival.
	Age time.Duration
}

// DefaultLedger returns options for one owner; a full ledger takes about 4 MB.
func DefaultLedger() LedgerOptions {
	return LedgerOptions{
		Tombstones:    4096,
		TombstoneAge:  5 * time.Second,
		Idempotent:    1 << 16,
		NonIdempotent: 1 << 15,
		Age:           time.Minute,
	}
}

// ArrivalStatus is what a ledger knows of the id of an arriving sub-request.
type ArrivalStatus int

const (
	// Fresh: the id is new; the sub-request may be dispatched.
	Fresh ArrivalStatus = iota
	// InFlight: a sub-request with this id is queued or running and will be
	// answered.
	InFlight
	// Answered: a sub-request with this id has been answered.
	Answered
	// Cancelled: the cancellation arrived before the request.
	Cancelled
	// Full: there is no room to record the id.
	Full
)

// Ledger records the ids that an owner has seen, so that a repeated frame is
// dispatched only once and a cancellation that overtakes its request still stops
// it. It is not safe for concurrent use.
type Ledger struct {
	opts          LedgerOptions
	senders       senders
	open          map[compactKey]struct{}
	tombstones    boundedSet
	idempotent    boundedSet
	nonIdempotent boundedSet
}

// NewLedger returns an empty ledger.
func NewLedger(opts LedgerOptions) *Ledger {
	return &Ledger{
		opts:          opts,
		senders:       senders{byName: map[senderProcess]uint32{}},
		open:          map[compactKey]struct{}{},
		tombstones:    newBoundedSet(opts.Tombstones, opts.TombstoneAge),
		idempotent:    newBoundedSet(opts.Idempotent, opts.Age),
		nonIdempotent: newBoundedSet(opts.NonIdempotent, opts.Age),
	}
}

// Arrive records an arriving sub-request. Only a Fresh one may be dispatched,
// and its id must be closed later.
func (l *Ledger) Arrive(now time.Time, key Key, idempotent bool) ArrivalStatus {
	l.expire(now)
	k := l.senders.compact(key)
	if _, ok := l.open[k]; ok {
		return InFlight
	}
	if l.idempotent.has(k) || l.nonIdempotent.has(k) {
		return Answered
	}
	if l.tombstones.has(k) {
		// The sender is informed that the request did not run, so a second copy
		// must not run either. Tombstones can be evicted by others, so the id
		// moves to the set of its kind.
		if l.record(now, k, idempotent) {
			l.tombstones.remove(k)
		}
		return Cancelled
	}
	if !l.record(now, k, idempotent) {
		return Full
	}
	l.open[k] = struct{}{}
	return Fresh
}

// record stores the id in the set of its kind; it returns false when there is no
// room for a non-idempotent id.
func (l *Ledger) record(now time.Time, k compactKey, idempotent bool) bool {
	if !idempotent {
		return l.nonIdempotent.addIfRoom(now, k)
	}
	l.idempotent.add(now, k)
	return true
}

// Close marks the sub-request as answered.
func (l *Ledger) Close(key Key) {
	delete(l.open, l.senders.compact(key))
}

// OpenCount returns the number of sub-requests that are not closed yet.
func (l *Ledger) OpenCount() int {
	return len(l.open)
}

// Cancel records a cancellation. It returns true when the sub-request is queued
// or running. An id that was never seen gets a tombstone; one that was answered
// leaves nothing to cancel.
func (l *Ledger) Cancel(now time.Time, key Key) (open bool) {
	l.expire(now)
	k := l.senders.compact(key)
	if _, ok := l.open[k]; ok {
		return true
	}
	if !l.idempotent.has(k) && !l.nonIdempotent.has(k) {
		l.tombstones.add(now, k)
	}
	return false
}

// Len returns the number of remembered ids and tombstones.
func (l *Ledger) Len() int {
	return len(l.tombstones.positions) + len(l.idempotent.positions) + len(l.nonIdempotent.positions)
}

func (l *Ledger) expire(now time.Time) {
	l.tombstones.expire(now)
	l.idempotent.expire(now)
	l.nonIdempotent.expire(now)
	if len(l.senders.byName) > maxSenders {
		l.removeUnusedSenders()
	}
}

func (l *Ledger) removeUnusedSenders() {
	used := map[uint32]bool{}
	for k := range l.open {
		used[k.sender] = true
	}
	for _, m := range []*boundedSet{&l.tombstones, &l.idempotent, &l.nonIdempotent} {
		for k := range m.positions {
			used[k.sender] = true
		}
	}
	l.senders.retain(used)
}

// senderProcess identifies one process that sends sub-requests.
type senderProcess struct {
	vm          string
	incarnation uint64
}

// senders assigns a number to each process, so that a compactKey takes 16 bytes.
type senders struct {
	byName map[senderProcess]uint32
	last   senderProcess
	number uint32
	// issued is the number of assigned numbers; none is assigned twice.
	issued uint32
}

// maxSenders is the number of known processes above which unused ones are
// removed: every restart of a VM adds a process.
const maxSenders = 4096

// retain removes the processes whose number is not in used.
func (s *senders) retain(used map[uint32]bool) {
	for name, n := range s.byName {
		if !used[n] {
			delete(s.byName, name)
		}
	}
	s.number = 0
}

// compactKey is a Key with the sender replaced by its number.
type compactKey struct {
	sender uint32
	id     uint64
}

func (s *senders) compact(key Key) compactKey {
	name := senderProcess{key.VM, key.Incarnation}
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

// boundedSet is a set of ids with a maximum size and age, in insertion order.
type boundedSet struct {
	maxSize int
	ttl     time.Duration
	// positions maps each id to its place in the sequence of insertions.
	positions map[compactKey]uint64
	ring      []entry
	// head and tail count the entries removed from and added to the ring.
	head, tail uint64
}

type entry struct {
	key compactKey
	at  time.Time
}

func newBoundedSet(most int, age time.Duration) boundedSet {
	return boundedSet{maxSize: most, ttl: age, positions: map[compactKey]uint64{}}
}

func (m *boundedSet) has(k compactKey) bool {
	_, ok := m.positions[k]
	return ok
}

// add inserts k and evicts the oldest entry when the set is full.
func (m *boundedSet) add(now time.Time, k compactKey) {
	if m.tail-m.head >= uint64(m.maxSize) {
		m.removeOldest()
	}
	m.put(now, k)
}

func (m *boundedSet) addIfRoom(now time.Time, k compactKey) bool {
	if m.tail-m.head >= uint64(m.maxSize) {
		return false
	}
	m.put(now, k)
	return true
}

func (m *boundedSet) put(now time.Time, k compactKey) {
	m.grow()
	m.ring[m.tail%uint64(len(m.ring))] = entry{k, now}
	m.positions[k] = m.tail
	m.tail++
}

// grow doubles a full ring, up to maxSize.
func (m *boundedSet) grow() {
	const first = 64
	n := uint64(len(m.ring))
	if m.tail-m.head < n {
		return
	}
	bigger := make([]entry, min(max(first, 2*n), uint64(m.maxSize)))
	for i := m.head; i < m.tail; i++ {
		bigger[i%uint64(len(bigger))] = m.ring[i%n]
	}
	m.ring = bigger
}

// remove deletes k from the set; its ring entry stays until it expires.
func (m *boundedSet) remove(k compactKey) {
	delete(m.positions, k)
}

func (m *boundedSet) expire(now time.Time) {
	for m.head < m.tail && now.Sub(m.ring[m.head%uint64(len(m.ring))].at) >= m.ttl {
		m.removeOldest()
	}
}

func (m *boundedSet) removeOldest() {
	k := m.ring[m.head%uint64(len(m.ring))].key
	if at, ok := m.positions[k]; ok && at == m.head {
		delete(m.positions, k)
	}
	m.head++
}
