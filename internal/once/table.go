package once

import (
	"crypto/sha256"
	"time"
)

// Verdict says what to do with a request that carries a key.
type Verdict int

// Verdicts of Table.Begin.
const (
	// New: run it, then call Finish.
	New Verdict = iota + 1
	// Known: it has run or was refused; Decision.Outcome is its first outcome.
	Known
	// Running: its first copy is under way; wait for the outcome.
	Running
	// Foreign: the key is not one that this incarnation gave to the customer.
	Foreign
	// Mismatch: the key was used for another request. This one did not run.
	Mismatch
	// Full: there is no room to remember another operation. It did not run, and
	// the refusal is kept.
	Full
	// Closed: the lease takes no new operations. This one did not run.
	Closed
	// Expired: the lease takes no new operations and the table still holds
	// every operation of it. This one did not run.
	Expired
	// Forgotten: the lease is so old that its operations may have been
	// forgotten. This one may have run.
	Forgotten
)

func (v Verdict) String() string {
	return [...]string{"none", "new", "known", "running", "foreign", "mismatch", "full", "closed", "expired", "forgotten"}[v]
}

// Digest identifies what a key was used for.
type Digest [sha256.Size]byte

// DigestOf is the digest of a request of a kind.
func DigestOf(kind string, body []byte) Digest {
	h := sha256.New()
	h.Write([]byte(kind))
	h.Write([]byte{0})
	h.Write(body)
	return Digest(h.Sum(nil))
}

// Outcome is what a table keeps of an operation.
type Outcome interface {
	// Size is about how many bytes it holds in memory.
	Size() int
}

// Options are the times and bounds of a table.
type Options struct {
	VM          string
	Incarnation uint64
	// Secret is random, of at least KeySize bytes, and of this incarnation only.
	Secret []byte
	// Life is how long a lease takes new operations.
	Life time.Duration
	// Grace is how much longer the outcomes are kept for callers that ask again.
	Grace time.Duration
	// MaxRefused is how many refused operations of a customer are remembered
	// one by one.
	MaxRefused int
}

// Decision is what Begin says.
type Decision[O Outcome] struct {
	Verdict Verdict
	// Outcome is set for Known.
	Outcome O
}

// Table is the operations of one incarnation, by customer. O is the outcome it
// keeps. It is not safe for concurrent use.
//
// Time is the incarnation's own monotonic clock, as the time since it started.
// The table never goes back in it: whether a lease is over and what may be
// forgotten are decided by the highest time it was ever told. Otherwise a
// request that read the clock, was paused, and came on after its operation had
// been forgotten would pass for a new one and run twice.
type Table[O Outcome] struct {
	opts      Options
	issuer    issuer
	now       time.Duration
	sweepAt   time.Duration
	customers map[string]*customer[O]
}

// customer is the operations of one customer. Those that ran, or may have, are
// kept one by one until their lease is over. Refused ones are kept too, as a
// late copy of a request that was answered "not run" must not run either; when
// there are too many, every lease up to the newest is closed instead, which
// covers them all with one number.
type customer[O Outcome] struct {
	operations map[operationID]*operation[O]
	// order holds the operations by arrival.
	order   []*operation[O]
	refused map[operationID]O
	// bytes is the size of the outcomes in operations.
	bytes int
	// closed is the highest serial whose lease takes no new operations.
	closed uint64
	used   time.Duration
}

type operationID struct{ serial, counter uint64 }

type operation[O Outcome] struct {
	id       operationID
	digest   Digest
	forgetAt time.Duration
	finished bool
	dropped  bool
	outcome  O
}

// NewTable makes an empty table.
func NewTable[O Outcome](opts Options) *Table[O] {
	return &Table[O]{
		opts:      opts,
		issuer:    issuer{vm: opts.VM, incarnation: opts.Incarnation, secret: opts.Secret},
		customers: map[string]*customer[O]{},
	}
}

// Issue gives a customer a new lease.
func (t *Table[O]) Issue(now time.Duration, customer string) *Lease {
	t.advance(now)
	return t.issuer.issue(customer, t.now+t.opts.Life)
}

// Names tells whether the lease is of this incarnation, by its text alone. It
// may be called at any time, beside the other methods.
func (t *Table[O]) Names(l *Lease) bool {
	return t.issuer.names(l)
}

// Begin decides about one copy of a request. Room is how many operations of the
// customer may be remembered at a time.
func (t *Table[O]) Begin(now time.Duration, name string, key *Key, digest Digest, room int) Decision[O] {
	t.advance(now)
	if !t.issuer.verify(name, &key.Lease) {
		return Decision[O]{Verdict: Foreign}
	}
	c := t.customer(name)
	id := operationID{key.Serial, key.Counter}
	if op := c.operations[id]; op != nil {
		return op.seenAgain(digest)
	}
	if o, ok := c.refused[id]; ok {
		return Decision[O]{Verdict: Known, Outcome: o}
	}
	if v := t.closed(c, key); v != 0 {
		return Decision[O]{Verdict: v}
	}
	if len(c.operations) >= room {
		return Decision[O]{Verdict: Full}
	}
	c.add(&operation[O]{id: id, digest: digest, forgetAt: key.expires() + t.opts.Grace})
	return Decision[O]{Verdict: New}
}

func (op *operation[O]) seenAgain(digest Digest) Decision[O] {
	switch {
	case op.digest != digest:
		return Decision[O]{Verdict: Mismatch}
	case op.finished:
		return Decision[O]{Verdict: Known, Outcome: op.outcome}
	default:
		return Decision[O]{Verdict: Running}
	}
}

// closed says why an operation that is not in the table cannot start, or 0. The
// two ways of being over differ in what is proved: up to the grace nothing of
// the lease has been forgotten, so an absent operation did not run.
func (t *Table[O]) closed(c *customer[O], key *Key) Verdict {
	switch {
	case t.now >= key.expires()+t.opts.Grace:
		return Forgotten
	case t.now >= key.expires():
		return Expired
	case key.Serial <= c.closed:
		return Closed
	default:
		return 0
	}
}

// Finish keeps the outcome of an operation that Begin called New. Ran is false
// only when it is proved that no part of it ran.
func (t *Table[O]) Finish(now time.Duration, name string, key *Key, outcome O, ran bool) {
	t.advance(now)
	c := t.customer(name)
	id := operationID{key.Serial, key.Counter}
	op := c.operations[id]
	if op == nil {
		return
	}
	if !ran {
		c.drop(op)
		t.refuse(c, id, outcome)
		return
	}
	op.finished = true
	op.outcome = outcome
	c.bytes += outcome.Size()
}

// Refuse keeps the refusal of an operation that Begin called Full: a late copy
// that finds room again must not run, its caller was told that it did not.
func (t *Table[O]) Refuse(now time.Duration, name string, key *Key, outcome O) {
	t.advance(now)
	t.refuse(t.customer(name), operationID{key.Serial, key.Counter}, outcome)
}

func (t *Table[O]) refuse(c *customer[O], id operationID, outcome O) {
	c.refused[id] = outcome
	if len(c.refused) > t.opts.MaxRefused {
		c.closed = t.issuer.serial
		clear(c.refused)
	}
}

// Bytes is the size of the outcomes that are kept for a customer.
func (t *Table[O]) Bytes(name string) int {
	c := t.customers[name]
	if c == nil {
		return 0
	}
	return c.bytes
}

// Len is how many operations of a customer are remembered, the refused ones
// apart.
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
	c.used = t.now
	c.forget(t.now)
	return c
}

// advance moves the clock on, never back, and from time to time drops the
// customers that hold nothing and whose leases are all over.
func (t *Table[O]) advance(now time.Duration) {
	t.now = max(t.now, now)
	if t.now < t.sweepAt {
		return
	}
	t.sweepAt = t.now + t.opts.Life
	for name, c := range t.customers {
		c.forget(t.now)
		if len(c.operations) == 0 && t.now > c.used+t.opts.Life+t.opts.Grace {
			delete(t.customers, name)
		}
	}
}

func (c *customer[O]) add(op *operation[O]) {
	c.operations[op.id] = op
	c.order = append(c.order, op)
}

// drop forgets an operation at once; its place in order goes later.
func (c *customer[O]) drop(op *operation[O]) {
	delete(c.operations, op.id)
	op.dropped = true
	const slack = 64
	if len(c.order) < 2*len(c.operations)+slack {
		return
	}
	kept := c.order[:0]
	for _, o := range c.order {
		if !o.dropped {
			kept = append(kept, o)
		}
	}
	clear(c.order[len(kept):])
	c.order = kept
}

// forget drops what is over from the front. An operation behind a younger lease's
// waits for it: it is kept longer than promised, never shorter.
func (c *customer[O]) forget(now time.Duration) {
	n := 0
	for n < len(c.order) && c.order[n].over(now) {
		if op := c.order[n]; !op.dropped {
			delete(c.operations, op.id)
			c.bytes -= op.outcome.Size()
		}
		c.order[n] = nil
		n++
	}
	c.order = c.order[n:]
}

// over is never true of an operation that still runs.
func (op *operation[O]) over(now time.Duration) bool {
	return op.dropped || (op.finished && now >= op.forgetAt)
}
