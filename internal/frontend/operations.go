package frontend

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/once"
	"sycamorekeel.example/sycamorekeel/internal/refusal"
)

// Bounds of what is remembered of operations.
const (
	// LeaseLife is how long a lease takes new operations, LeaseGrace how much
	// longer their outcomes are kept.
	LeaseLife  = 2 * time.Minute
	LeaseGrace = 2 * time.Minute
	// leastRoom is how many operations of a customer are remembered at least.
	leastRoom = 256
	// maxRefused is how many refused operations of a customer are remembered
	// one by one.
	maxRefused = 1024
	// maxKeptBytes bounds the answers kept for one customer. A longer history is
	// kept without its answers.
	maxKeptBytes = 8 << 20
	// askAgain is when a caller may ask again for an outcome it could not get.
	askAgain = time.Second
)

// Fate is what became of a request that was forwarded.
type Fate string

// Fates of a forward.
const (
	// FateAnswered: the named VM replied.
	FateAnswered Fate = "answered"
	// FateNotSent: no byte of it left this VM.
	FateNotSent Fate = "not_sent"
	// FateGone: the named incarnation no longer lives, as seen from here.
	FateGone Fate = "gone"
	// FateLost: it was sent and no reply came.
	FateLost Fate = "lost"
)

// Forwarder carries a request to the VM its key names, once.
type Forwarder interface {
	// Forward returns a reply only with FateAnswered.
	Forward(ctx context.Context, k *contract.Kind, req *Request, key *once.Key) (*Reply, Fate)
}

// OperationsOptions is what the operations of a VM need.
type OperationsOptions struct {
	Registry    prometheus.Registerer
	Frontend    *Frontend
	Forwarder   Forwarder
	VM          string
	Incarnation uint64
	// Secret is random and of this incarnation only.
	Secret []byte
	// Life and Grace are LeaseLife and LeaseGrace but in tests.
	Life, Grace time.Duration
	// Now must have a monotonic reading.
	Now func() time.Time
}

// Operations runs requests, the non-idempotent ones at most once.
//
// Lock order: Operations.mu is a leaf; it is not held while a request runs.
type Operations struct {
	opts      OperationsOptions
	started   time.Time
	operation *prometheus.CounterVec
	forwards  *prometheus.CounterVec

	mu      sync.Mutex
	table   *once.Table[*Reply]
	running map[string]*pending
}

// pending is an operation under way; reply is set before done is closed.
type pending struct {
	done  chan struct{}
	reply *Reply
}

// NewOperations makes the operations of one incarnation.
func NewOperations(opts OperationsOptions) *Operations {
	f := promauto.With(opts.Registry)
	return &Operations{
		opts:    opts,
		started: opts.Now(),
		operation: f.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_once_operations_total",
			Help: "Non-idempotent requests, by what the table of operations said.",
		}, []string{"verdict"}),
		forwards: f.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_once_forwards_total",
			Help: "Non-idempotent requests forwarded to the VM their key names, by fate.",
		}, []string{"fate"}),
		running: map[string]*pending{},
		table: once.NewTable[*Reply](once.Options{
			VM:          opts.VM,
			Incarnation: opts.Incarnation,
			Secret:      opts.Secret,
			Life:        opts.Life,
			Grace:       opts.Grace,
			MaxRefused:  maxRefused,
		}),
	}
}

func (o *Operations) now() time.Duration {
	return o.opts.Now().Sub(o.started)
}

// Lease gives a customer a prefix for keys and how long to use it: half of the
// lease, so that a request sent at the end of that is still taken after a slow
// way here.
func (o *Operations) Lease(customer string) (prefix string, use time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Issue(o.now(), customer).Prefix(), o.opts.Life / 2
}

// Serve answers one request of an authenticated customer.
func (o *Operations) Serve(ctx context.Context, k *contract.Kind, req *Request) *Reply {
	if k.Idempotent {
		return o.query(ctx, k, req).reply
	}
	key, err := o.key(k, req)
	if err != nil {
		return o.refuse(req, refusal.New(refusal.ForeignOperation, err.Error()+"; ask endpoints for a lease"))
	}
	if !o.here(key) {
		return o.forward(ctx, k, req, key)
	}
	return o.Local(ctx, k, req, key)
}

// key reads the caller's key or makes one.
func (o *Operations) key(k *contract.Kind, req *Request) (*once.Key, error) {
	if req.Operation != "" {
		return once.ParseKey(req.Operation)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	key := &once.Key{Lease: *o.table.Issue(o.now(), k.Customer), Counter: 1}
	req.Operation = key.String()
	return key, nil
}

// here needs no lock: what the table compares never changes.
func (o *Operations) here(key *once.Key) bool {
	return o.table.Names(&key.Lease)
}

// Local answers a request whose key names this VM, whoever sent it. It never
// forwards.
func (o *Operations) Local(ctx context.Context, k *contract.Kind, req *Request, key *once.Key) *Reply {
	if !o.here(key) {
		return o.refuse(req, gone())
	}
	d, p := o.begin(k, req, key)
	o.operation.WithLabelValues(d.Verdict.String()).Inc()
	switch d.Verdict {
	case once.New:
		return o.run(ctx, k, req, key, p)
	case once.Known:
		return d.Outcome
	case once.Running:
		return o.await(ctx, k, req, p)
	case once.Full:
		o.opts.Frontend.Refuse(errFull())
		return d.Outcome
	default:
		return o.refuse(req, errOf(d.Verdict))
	}
}

func (o *Operations) begin(k *contract.Kind, req *Request, key *once.Key) (once.Decision[*Reply], *pending) {
	digest := once.DigestOf(k.Name, req.Body)
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	d := o.table.Begin(now, k.Customer, key, digest, o.room(k))
	switch d.Verdict {
	case once.New:
		p := &pending{done: make(chan struct{})}
		o.running[req.Operation] = p
		return d, p
	case once.Running:
		return d, o.running[req.Operation]
	case once.Full:
		d.Outcome = Refused(&Failure{Error: errFull(), Operation: req.Operation})
		o.table.Refuse(now, k.Customer, key, d.Outcome)
	}
	return d, nil
}

// room is how many operations the kind's rate can leave behind in the time that
// one is kept, which is a lease's life longer than promised at worst.
func (o *Operations) room(k *contract.Kind) int {
	kept := 2*o.opts.Life + o.opts.Grace
	return leastRoom + int(math.Ceil(k.RatePerSecond*kept.Seconds()))
}

func (o *Operations) run(ctx context.Context, k *contract.Kind, req *Request, key *once.Key, p *pending) *Reply {
	end := o.query(ctx, k, req)
	o.mu.Lock()
	keep := end.reply
	if end.ran && o.table.Bytes(k.Customer)+keep.Size() > maxKeptBytes {
		keep = Refused(&Failure{RequestID: keep.RequestID, Operation: req.Operation, Error: &refusal.Error{
			Reason: refusal.AnswerNotKept,
			Ran:    end.claim,
			Detail: "the request ended before, its answer is no longer held",
		}})
	}
	o.table.Finish(o.now(), k.Customer, key, keep, end.ran)
	delete(o.running, req.Operation)
	o.mu.Unlock()
	p.reply = end.reply
	close(p.done)
	return end.reply
}

// ending is how a query ended.
type ending struct {
	reply *Reply
	// claim is what the reply says of the request; ran is false only when it is
	// proved that no part of it ran.
	claim refusal.Ran
	ran   bool
}

func (o *Operations) query(ctx context.Context, k *contract.Kind, req *Request) ending {
	answer, failure := o.opts.Frontend.Query(ctx, k, req)
	if failure != nil {
		return ending{reply: Refused(failure), claim: failure.Ran, ran: failure.Ran != refusal.NotRun}
	}
	return ending{reply: Answered(answer), claim: refusal.DidRun, ran: true}
}

// await gives a later copy of a request the outcome of the first.
func (o *Operations) await(ctx context.Context, k *contract.Kind, req *Request, p *pending) *Reply {
	timer := time.NewTimer(timeLeft(k, req))
	defer timer.Stop()
	select {
	case <-p.done:
		return p.reply
	case <-timer.C:
	case <-ctx.Done():
	}
	e := &refusal.Error{Reason: refusal.OperationRunning, Ran: refusal.Unknown, Detail: "the first copy of the request is under way; send the same key again"}
	return o.refuse(req, e.After(askAgain))
}

// forward hands the request to the VM its key names. Nothing is run here,
// whatever becomes of it. None of the refusals says "not run": this VM cannot
// know whether an earlier copy has reached the named VM.
func (o *Operations) forward(ctx context.Context, k *contract.Kind, req *Request, key *once.Key) *Reply {
	ctx, cancel := context.WithTimeout(ctx, timeLeft(k, req))
	defer cancel()
	reply, fate := o.opts.Forwarder.Forward(ctx, k, req, key)
	o.forwards.WithLabelValues(string(fate)).Inc()
	switch fate {
	case FateAnswered:
		return reply
	case FateNotSent:
		e := &refusal.Error{Reason: refusal.OperationAway, Ran: refusal.Unknown, Detail: "the VM that the key names cannot be reached from here; this copy was not run, send the same key again"}
		return o.refuse(req, e.After(askAgain))
	case FateGone:
		return o.refuse(req, gone())
	default:
		e := &refusal.Error{Reason: refusal.OutcomeUnknown, Ran: refusal.Unknown, Detail: "the VM that the key names took the request and did not answer; send the same key to learn the outcome"}
		return o.refuse(req, e.After(askAgain))
	}
}

func (o *Operations) refuse(req *Request, e *refusal.Error) *Reply {
	o.opts.Frontend.Refuse(e)
	return Refused(&Failure{Error: e, Operation: req.Operation})
}

// gone refuses what only an ended process could tell: it is never run again.
func gone() *refusal.Error {
	return &refusal.Error{Reason: refusal.OutcomeUnknown, Ran: refusal.Unknown, Detail: "the VM process that the key names is gone; whether the request ran cannot be learned here"}
}

func errFull() *refusal.Error {
	return refusal.New(refusal.Overloaded, "this VM can remember no more operations of the customer; the key is used up, use another").After(askAgain)
}

func errOf(v once.Verdict) *refusal.Error {
	switch v {
	case once.Mismatch:
		return refusal.New(refusal.BadRequest, "the key was used for another request; use another key")
	case once.Expired, once.Closed:
		return refusal.New(refusal.OperationExpired, "the lease of the key takes no new operations; ask endpoints for another")
	case once.Forgotten:
		return &refusal.Error{Reason: refusal.OperationExpired, Ran: refusal.Unknown, Detail: "the lease of the key has ended and its operations are forgotten"}
	default:
		return refusal.New(refusal.ForeignOperation, "the key was not given to this customer; ask endpoints for a lease")
	}
}

// timeLeft is the budget less what the way back takes.
func timeLeft(k *contract.Kind, req *Request) time.Duration {
	d := budget(k, req)
	return d - time.Duration(float64(d)*replyMargin)
}

// budget is the shorter of the contract's and the caller's deadline.
func budget(k *contract.Kind, req *Request) time.Duration {
	if req.Deadline > 0 {
		return min(k.Deadline(), req.Deadline)
	}
	return k.Deadline()
}
