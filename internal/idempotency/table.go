package idempotency

import (
	"crypto/sha256"
	"time"
)

// Verdict is the decision about a request that carries a key.
type Verdict int

// Verdicts of Table.Begin.
const (
	// New: run the request, then call Finish.
	New Verdict = iota + 1
	// Decided: the operation has run or was refused. Decision.Outcome is its
	// first outcome.
	Decided
	// Running: the first copy is in progress. Wait for its outcome.
	Running
	// Foreign: this incarnation did not issue the key to the customer.
	Foreign
	// Mismatch: the key was used for another request. This request did not run.
	Mismatch
	// Full: the table has no room for another operation. The operation did not
	// run, and its refusal is kept.
	Full
	// Closed: the lease accepts no new operations, because too many were
	// refused. This one did not run.
	Closed
	// Expired: the lease has expired and the table still holds all of its
	// operations. This one did not run.
	Expired
	// Forgotten: the lease expired so long ago that its operations may have
	// been removed. This one may have run.
	Forgotten
)

func (v Verdict) String() string {
	return [...]string{"none", "new", "known", "running", "foreign", "mismatch", "full", "closed", "expired", "forgotten"}[v]
}

// Digest identifies the request that a key was used for.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a request of the given kind.
func DigestOf(kind string, body []byte) Digest {
	h := sha256.New()
	h.Write([]byte(kind))
	h.Write([]byte{0})
	h.Write(body)
	return Digest(h.Sum(nil))
}

// Outcome is the result that a table keeps for an operation.
type Outcome interface {
	// Size is the approximate number of bytes held in memory.
	Size() int
}

// Options configure a Table.
type Options struct {
	VM          string
	Incarnation uint64
	// Secret is random, has at least KeySize bytes and is used by this
	// incarnation only.
	Secret []byte
	// Life is how long a lease accepts new operations.
	Life time.Duration
	// Grace is how long outcomes are kept after the lease has expired, for
	// callers that retry.
	Grace time.Duration
	// MaxRefused is the number of refused operations of a customer that are
	// recorded individually.
	MaxRefused int
}

// Decision is the result of Begin.
type Decision[O Outcome] struct {
	Verdict Verdict
	// Outcome is set if Verdict is Decided.
	Outcome O
}

// Table holds the operations of one incarnation by customer, with outcomes of
// type O. It is not safe for concurrent use.
//
// Time is the time since the incarnation started, by its own monotonic clock.
// The table's clock never goes back: expiry and removal both use the latest
// time passed to any method. Otherwise a request that read the clock, was
// paused, and continued after its operation had been removed would be taken for
// a new one and run twice.
type Table[O Outcome] struct {
	opts      Options
	issuer    issuer
	now       time.Duration
	sweepAt   time.Duration
	customers map[string]*customer[O]
}

// customer holds the operations of one customer. Operations that ran, or may
// have run, are kept individually until their lease and its grace period are
// over. Refused ones are kept too, because a delayed copy of a request that was
// answered "not run" must not run either. When there are too many of them, all
// leases up to the newest are closed, so that one serial number covers them
// all.
type customer[O Outcome] struct {
	operations map[operationID]*operation[O]
	// arrivalOrder holds the operations in order of arrival.
	arrivalOrder []*operation[O]
	refused      map[operationID]O
	// outcomeBytes is the total size of the outcomes in operations.
	outcomeBytes int
	// closedSerial is the highest serial of a closed lease. Leases up to it
	// accept no new operations.
	closedSerial uint64
	lastUsed     time.Duration
}

type operationID struct{ serial, counter uint64 }

type operation[O Outcome] struct {
	id       operationID
	digest   Digest
	forgetAt time.Duration
	finished bool
	removed  bool
	outcome  O
}

// NewTable returns an empty table.
func NewTable[O Outcome](opts Options) *Table[O] {
	return &Table[O]{
		opts:      opts,
		issuer:    issuer{vm: opts.VM, incarnation: opts.Incarnation, secret: opts.Secret},
		customers: map[string]*customer[O]{},
	}
}

// Issue returns a new lease for a customer.
func (t *Table[O]) Issue(now time.Duration, customer string) *Lease {
	t.advance(now)
	return t.issuer.issue(customer, t.now+t.opts.Life)
}

// IssuedBySelf reports whether the lease's text names this incarnation. It does not
// verify the MAC. It is safe to call concurrently with the other methods.
func (t *Table[O]) IssuedBySelf(l *Lease) bool {
	return t.issuer.issued(l)
}

// Begin decides about one copy of a request. Room is the maximum number of
// operations to hold for the customer.
func (t *Table[O]) Begin(now time.Duration, name string, key *Key, digest Digest, room int) Decision[O] {
	t.advance(now)
	if !t.issuer.verify(name, &key.Lease) {
		return Decision[O]{Verdict: Foreign}
	}
	c := t.customer(name)
	id := operationID{key.Serial, key.Counter}
	if op := c.operations[id]; op != nil {
		return op.decideRepeat(digest)
	}
	if o, ok := c.refused[id]; ok {
		return Decision[O]{Verdict: Decided, Outcome: o}
	}
	if v := t.notStartable(c, key); v != 0 {
		return Decision[O]{Verdict: v}
	}
	if len(c.operations) >= room {
		return Decision[O]{Verdict: Full}
	}
	c.add(&operation[O]{id: id, digest: digest, forgetAt: key.expires() + t.opts.Grace})
	return Decision[O]{Verdict: New}
}

func (op *operation[O]) decideRepeat(digest Digest) Decision[O] {
	switch {
	case op.digest != digest:
		return Decision[O]{Verdict: Mismatch}
	case op.finished:
		return Decision[O]{Verdict: Decided, Outcome: op.outcome}
	default:
		return Decision[O]{Verdict: Running}
	}
}

// notStartable returns why an operation that is not in the table cannot start,
// or 0 if it can. Expired and Forgotten differ in what is certain: until the
// grace period ends, no operation of the lease is removed, so an operation that
// is not in the table did not run.
func (t *Table[O]) notStartable(c *customer[O], key *Key) Verdict {
	switch {
	case t.now >= key.expires()+t.opts.Grace:
		return Forgotten
	case t.now >= key.expires():
		return Expired
	case key.Serial <= c.closedSerial:
		return Closed
	default:
		return 0
	}
}

// Finish records the outcome of an operation for which Begin returned New. Ran
// may be false only if it is certain that no part of the operation ran.
func (t *Table[O]) Finish(now time.Duration, name string, key *Key, outcome O, ran bool) {
	t.advance(now)
	c := t.customer(name)
	id := operationID{key.Serial, key.Counter}
	op := c.operations[id]
	if op == nil {
		return
	}
	if !ran {
		c.remove(op)
		t.recordRefusal(c, id, outcome)
		return
	}
	op.finished = true
	op.outcome = outcome
	c.outcomeBytes += outcome.Size()
}

// Refuse records the refusal of an operation for which Begin returned Full. Its
// caller was answered "not run", so a delayed copy must not run even if the
// table has room again.
func (t *Table[O]) Refuse(now time.Duration, name string, key *Key, outcome O) {
	t.advance(now)
	t.recordRefusal(t.customer(name), operationID{key.Serial, key.Counter}, outcome)
}

func (t *Table[O]) recordRefusal(c *customer[O], id operationID, outcome O) {
	c.refused[id] = outcome
	if len(c.refused) > t.opts.MaxRefused {
		c.closedSerial = t.issuer.lastSerial
		clear(c.refused)
	}
}

// Bytes returns the total size of the outcomes kept for a customer.
func (t *Table[O]) Bytes(name string) int {
	c := t.customers[name]
	if c == nil {
		return 0
	}
	return c.outcomeBytes
}

// Len returns the number of operations held for a customer, and the number of
// refusals, which are counted separately.
func (t *Table[O]) Len(name string) (operations, refused int) {
	c := t.customers[name]
	if c == nil {
		return 0, 0
	}
	return len(c.operations), len(c.refused)
}

func (t *Table[O]) customer(name string) *customer[O] {
	c := t.customers[name]
	if c == nil {
		c = &customer[O]{operations: map[operationID]*operation[O]{}, refused: map[operationID]O{}}
		t.customers[name] = c
	}
	c.lastUsed = t.now
	c.removeExpired(t.now)
	return c
}

// advance moves the clock forward, never back. Once per lease lifetime it
// removes customers that hold no operations and whose leases are all over.
func (t *Table[O]) advance(now time.Duration) {
	t.now = max(t.now, now)
	if t.now < t.sweepAt {
		return
	}
	t.sweepAt = t.now + t.opts.Life
	for name, c := range t.customers {
		c.removeExpired(t.now)
		if len(c.operations) == 0 && t.now > c.lastUsed+t.opts.Life+t.opts.Grace {
			delete(t.customers, name)
		}
	}
}

func (c *customer[O]) add(op *operation[O]) {
	c.operations[op.id] = op
	c.arrivalOrder = append(c.arrivalOrder, op)
}

// remove deletes an operation at once. Its entry in arrivalOrder is removed
// later.
func (c *customer[O]) remove(op *operation[O]) {
	delete(c.operations, op.id)
	op.removed = true
	// Compaction runs only when at least half of the entries, and 64 of them, are
	// stale, so that its cost is spread over many removals.
	const slack = 64
	if len(c.arrivalOrder) < 2*len(c.operations)+slack {
		return
	}
	kept := c.arrivalOrder[:0]
	for _, o := range c.arrivalOrder {
		if !o.removed {
			kept = append(kept, o)
		}
	}
	clear(c.arrivalOrder[len(kept):])
	c.arrivalOrder = kept
}

// removeExpired deletes forgettable operations from the front of arrivalOrder.
// An operation behind one of a newer lease is kept until that one can be
// deleted: longer than promised, never shorter.
func (c *customer[O]) removeExpired(now time.Duration) {
	n := 0
	for n < len(c.arrivalOrder) && c.arrivalOrder[n].forgettable(now) {
		if op := c.arrivalOrder[n]; !op.removed {
			delete(c.operations, op.id)
			c.outcomeBytes -= op.outcome.Size()
		}
		c.arrivalOrder[n] = nil
		n++
	}
	c.arrivalOrder = c.arrivalOrder[n:]
}

// forgettable reports whether the operation can be deleted. It is false while
// the operation runs.
func (op *operation[O]) forgettable(now time.Duration) bool {
	return op.removed || (op.finished && now >= op.forgetAt)
}
