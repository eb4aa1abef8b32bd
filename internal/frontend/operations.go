package frontend

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/idempotency"
	"sycamorekeel.example/sycamorekeel/internal/refusal"
)

// Limits on the stored outcomes of operations.
const (
	// LeaseLife is how long a lease accepts new operations. Their outcomes are
	// kept for LeaseGrace after that.
	LeaseLife  = 2 * time.Minute
	LeaseGrace = 2 * time.Minute
	// minOperations is the part of a customer's operation limit that does not
	// depend on its rate.
	minOperations = 256
	// maxRefused is the maximum number of refused operations of a customer that
	// are stored individually.
	maxRefused = 1024
	// maxStoredBytes limits the replies stored for one customer. Beyond it, an
	// operation that ran is stored without its answer.
	maxStoredBytes = 8 << 20
	// retryDelay is the retry delay sent to a caller whose outcome is not available.
	retryDelay = time.Second
)

// ForwardOutcome is the outcome of a forwarded request.
type ForwardOutcome string

// Outcomes of a forwarded request.
const (
	// ForwardAnswered means that the target VM replied.
	ForwardAnswered ForwardOutcome = "answered"
	// ForwardNotSent means that no byte of the request left this VM.
	ForwardNotSent ForwardOutcome = "not_sent"
	// ForwardTargetGone means that this VM considers the target incarnation ended.
	ForwardTargetGone ForwardOutcome = "gone"
	// ForwardReplyLost means that the request was sent and no reply arrived.
	ForwardReplyLost ForwardOutcome = "lost"
)

// Forwarder sends a request to the VM named by its key, without retries.
type Forwarder interface {
	// Forward returns a non-nil reply only with ForwardAnswered.
	Forward(ctx context.Context, k *contract.Kind, req *Request, key *idempotency.Key) (*Reply, ForwardOutcome)
}

// OperationsOptions configures Operations.
type OperationsOptions struct {
	Registry    prometheus.Registerer
	Frontend    *Frontend
	Forwarder   Forwarder
	VM          string
	Incarnation uint64
	// Secret is random and unique to this incarnation; it authenticates keys.
	Secret []byte
	// Life and Grace are LeaseLife and LeaseGrace, except in tests.
	Life, Grace time.Duration
	// Now must return times with a monotonic clock reading.
	Now func() time.Time
}

// Operations executes requests, the non-idempotent ones at most once.
//
// Lock order: Operations.mu is a leaf lock and is not held while a request runs.
type Operations struct {
	opts     OperationsOptions
	started  time.Time
	verdicts *prometheus.CounterVec
	forwards *prometheus.CounterVec

	mu      sync.Mutex
	table   *idempotency.Table[*Reply]
	running map[string]*pending
}

// pending is a running operation; reply is set before done is closed.
type pending struct {
	done  chan struct{}
	reply *Reply
}

// NewOperations returns the operations of one incarnation.
func NewOperations(opts OperationsOptions) *Operations {
	f := promauto.With(opts.Registry)
	return &Operations{
		opts:    opts,
		started: opts.Now(),
		verdicts: f.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_once_operations_total",
			Help: "Non-idempotent requests, by what the table of operations said.",
		}, []string{"verdict"}),
		forwards: f.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_once_forwards_total",
			Help: "Non-idempotent requests forwarded to the VM their key names, by fate.",
		}, []string{"fate"}),
		running: map[string]*pending{},
		table: idempotency.NewTable[*Reply](idempotency.Options{
			VM:          opts.VM,
			Incarnation: opts.Incarnation,
			Secret:      opts.Secret,
			Life:        opts.Life,
			Grace:       opts.Grace,
			MaxRefused:  maxRefused,
		}),
	}
}

// now returns the time since o was created.
func (o *Operations) now() time.Duration {
	return o.opts.Now().Sub(o.started)
}

// Lease issues a key prefix to a customer and returns how long to use it. That is
// half of the lease, so that a request sent near its end is still accepted when
// the network is slow.
func (o *Operations) Lease(customer string) (prefix string, use time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Issue(o.now(), customer).Prefix(), o.opts.Life / 2
}

// Serve executes one request of an authenticated customer, on this VM or on the
// VM named by the request's key.
func (o *Operations) Serve(ctx context.Context, k *contract.Kind, req *Request) *Reply {
	if k.Idempotent {
		return o.query(ctx, k, req).reply
	}
	ctx, cancel := o.opts.Frontend.untilHalt(ctx)
	defer cancel()
	key, err := o.key(k, req)
	if err != nil {
		return o.refuse(req, refusal.New(refusal.ForeignOperation, err.Error()+"; ask endpoints for a lease"))
	}
	if !o.isLocal(key) {
		return o.forward(ctx, k, req, key)
	}
	return o.ServeLocal(ctx, k, req, key)
}

// key parses the caller's key, or issues one and stores it in req.
func (o *Operations) key(k *contract.Kind, req *Request) (*idempotency.Key, error) {
	if req.Operation != "" {
		return idempotency.ParseKey(req.Operation)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	key := &idempotency.Key{Lease: *o.table.Issue(o.now(), k.Customer), Counter: 1}
	req.Operation = key.String()
	return key, nil
}

// isLocal reports whether the key names this incarnation. It needs no lock: the
// fields that the table compares are immutable.
func (o *Operations) isLocal(key *idempotency.Key) bool {
	return o.table.IssuedBySelf(&key.Lease)
}

// ServeLocal executes a request whose key names this VM, received from a caller or
// from another VM. It never forwards.
func (o *Operations) ServeLocal(ctx context.Context, k *contract.Kind, req *Request, key *idempotency.Key) *Reply {
	if !o.isLocal(key) {
		return o.refuse(req, errGone())
	}
	d, p := o.begin(k, req, key)
	o.verdicts.WithLabelValues(d.Verdict.String()).Inc()
	switch d.Verdict {
	case idempotency.New:
		return o.run(ctx, k, req, key, p)
	case idempotency.Decided:
		return d.Outcome
	case idempotency.Running:
		return o.await(ctx, k, req, p)
	case idempotency.Full:
		o.opts.Frontend.CountRefusal(errFull())
		return d.Outcome
	default:
		return o.refuse(req, verdictError(d.Verdict))
	}
}

// begin enters the request in the table. The pending operation is non-nil for the
// verdicts New and Running.
func (o *Operations) begin(k *contract.Kind, req *Request, key *idempotency.Key) (idempotency.Decision[*Reply], *pending) {
	digest := idempotency.DigestOf(k.Name, req.Body)
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	d := o.table.Begin(now, k.Customer, key, digest, o.maxOperations(k))
	switch d.Verdict {
	case idempotency.New:
		p := &pending{done: make(chan struct{})}
		o.running[req.Operation] = p
		return d, p
	case idempotency.Running:
		return d, o.running[req.Operation]
	case idempotency.Full:
		d.Outcome = Refused(&Failure{Error: errFull(), Operation: req.Operation})
		o.table.Refuse(now, k.Customer, key, d.Outcome)
	}
	return d, nil
}

// maxOperations returns how many operations the kind's rate can add while one
// outcome is stored: at worst one lease life longer than promised.
func (o *Operations) maxOperations(k *contract.Kind) int {
	kept := 2*o.opts.Life + o.opts.Grace
	return minOperations + int(math.Ceil(k.RatePerSecond*kept.Seconds()))
}

// run executes the first copy of an operation, stores its outcome and wakes the
// waiting copies.
func (o *Operations) run(ctx context.Context, k *contract.Kind, req *Request, key *idempotency.Key, p *pending) *Reply {
	end := o.query(ctx, k, req)
	o.mu.Lock()
	keep := end.reply
	if end.ran && o.table.Bytes(k.Customer)+keep.Size() > maxStoredBytes {
		keep = Refused(&Failure{RequestID: keep.RequestID, Operation: req.Operation, Error: &refusal.Error{
			Reason: refusal.AnswerNotKept,
			Ran:    end.reportedRan,
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

// queryResult is the result of a query.
type queryResult struct {
	reply *Reply
	// reportedRan is the ran value in the reply. The field ran is false only if it
	// is proved that no part of the request ran.
	reportedRan refusal.Ran
	ran         bool
}

func (o *Operations) query(ctx context.Context, k *contract.Kind, req *Request) queryResult {
	answer, failure := o.opts.Frontend.Query(ctx, k, req)
	if failure != nil {
		return queryResult{reply: Refused(failure), reportedRan: failure.Ran, ran: failure.Ran != refusal.NotRun}
	}
	return queryResult{reply: Answered(answer), reportedRan: refusal.DidRun, ran: true}
}

// await returns the outcome of the first copy of a request to a later copy.
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
	return o.refuse(req, e.WithRetryAfter(retryDelay))
}

// forward sends the request to the VM named by its key. It never runs the request
// on this VM. No refusal says "not run", because this VM cannot know whether an
// earlier copy reached the target.
func (o *Operations) forward(ctx context.Context, k *contract.Kind, req *Request, key *idempotency.Key) *Reply {
	ctx, cancel := context.WithTimeout(ctx, timeLeft(k, req))
	defer cancel()
	reply, fate := o.opts.Forwarder.Forward(ctx, k, req, key)
	o.forwards.WithLabelValues(string(fate)).Inc()
	switch fate {
	case ForwardAnswered:
		return reply
	case ForwardNotSent:
		e := &refusal.Error{Reason: refusal.OperationAway, Ran: refusal.Unknown, Detail: "the VM that the key names cannot be reached from here; this copy was not run, send the same key again"}
		return o.refuse(req, e.WithRetryAfter(retryDelay))
	case ForwardTargetGone:
		return o.refuse(req, errGone())
	default:
		e := &refusal.Error{Reason: refusal.OutcomeUnknown, Ran: refusal.Unknown, Detail: "the VM that the key names took the request and did not answer; send the same key to learn the outcome"}
		return o.refuse(req, e.WithRetryAfter(retryDelay))
	}
}

func (o *Operations) refuse(req *Request, e *refusal.Error) *Reply {
	o.opts.Frontend.CountRefusal(e)
	return Refused(&Failure{Error: e, Operation: req.Operation})
}

// errGone refuses a request whose outcome only an ended process knew. The request
// is never run again.
func errGone() *refusal.Error {
	return &refusal.Error{Reason: refusal.OutcomeUnknown, Ran: refusal.Unknown, Detail: "the VM process that the key names is gone; whether the request ran cannot be learned here"}
}

// errFull refuses an operation that exceeds the customer's operation limit.
func errFull() *refusal.Error {
	return refusal.New(refusal.Overloaded, "this VM can remember no more operations of the customer; the key is used up, use another").WithRetryAfter(retryDelay)
}

// verdictError returns the refusal for a verdict that rejects the key.
func verdictError(v idempotency.Verdict) *refusal.Error {
	switch v {
	case idempotency.Mismatch:
		return refusal.New(refusal.BadRequest, "the key was used for another request; use another key")
	case idempotency.Expired, idempotency.Closed:
		return refusal.New(refusal.OperationExpired, "the lease of the key takes no new operations; ask endpoints for another")
	case idempotency.Forgotten:
		return &refusal.Error{Reason: refusal.OperationExpired, Ran: refusal.Unknown, Detail: "the lease of the key has ended and its operations are forgotten"}
	default:
		return refusal.New(refusal.ForeignOperation, "the key was not given to this customer; ask endpoints for a lease")
	}
}

// timeLeft returns the budget minus the margin for the reply.
func timeLeft(k *contract.Kind, req *Request) time.Duration {
	d := budget(k, req)
	return d - time.Duration(float64(d)*replyMarginFraction)
}

// budget returns the shorter of the contract's and the caller's deadline.
func budget(k *contract.Kind, req *Request) time.Duration {
	if req.Deadline > 0 {
		return min(k.Deadline(), req.Deadline)
	}
	return k.Deadline()
}
