package daemon

import (
	"context"
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/frontend"
	"sycamorekeel.example/sycamorekeel/internal/idempotency"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/refusal"
)

// forwardIDBit is the bit that is set in the ids of forwards. Sub-requests use the same
// streams and never set the highest bit, so their ids cannot collide.
const forwardIDBit = 1 << 63

// newOperations returns the at-most-once operations of this incarnation. Their secret
// is random and never stored or sent, so every lease ends with the process.
func (d *Daemon) newOperations() *frontend.Operations {
	secret := make([]byte, idempotency.KeySize)
	// rand.Read never fails: the runtime ends the process without randomness.
	_, _ = rand.Read(secret)
	return frontend.NewOperations(frontend.OperationsOptions{
		Registry:    d.registry,
		Frontend:    d.front,
		Forwarder:   d.forwarder,
		VM:          d.settings.Vm,
		Incarnation: d.incarnation,
		Secret:      secret,
		Life:        frontend.LeaseLife,
		Grace:       frontend.LeaseGrace,
		Now:         time.Now,
	})
}

// forwarder sends non-idempotent requests to the VMs that their operation keys name,
// and runs the requests that peers forward to this VM.
//
// Lock order: forwarder.mu is a leaf.
type forwarder struct {
	d      *Daemon
	ctx    context.Context
	cancel context.CancelFunc
	serial atomic.Uint64
	// slots limits how many requests of peers run concurrently.
	slots   chan struct{}
	running sync.WaitGroup

	mu      sync.Mutex
	pending map[uint64]chan forwardResult
	closed  bool
}

// forwardResult is the outcome of one forward.
type forwardResult struct {
	reply *frontend.Reply
	fate  frontend.ForwardOutcome
}

func newForwarder(d *Daemon) *forwarder {
	ctx, cancel := context.WithCancel(context.Background())
	return &forwarder{
		d:       d,
		ctx:     ctx,
		cancel:  cancel,
		slots:   make(chan struct{}, d.settings.Limits.MaxQueries),
		pending: map[uint64]chan forwardResult{},
	}
}

// close cancels the running requests of peers and waits until they have returned.
// Later ones are refused.
func (f *forwarder) close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	f.cancel()
	f.running.Wait()
}

// Forward sends the request once to the VM that its key names and waits for the reply
// until ctx ends. The reply is nil unless the outcome is ForwardAnswered.
func (f *forwarder) Forward(ctx context.Context, k *contract.Kind, req *frontend.Request, key *idempotency.Key) (*frontend.Reply, frontend.ForwardOutcome) {
	m, ok := f.d.view.Load().Find(key.VM)
	if !ok || key.VM == f.d.settings.Vm || m.State == pb.MemberState_DEAD || m.Incarnation > key.Incarnation {
		return nil, frontend.ForwardTargetGone
	}
	deadline, _ := ctx.Deadline()
	id := f.serial.Add(1) | forwardIDBit
	result := f.expect(id)
	defer f.forget(id)
	sent := f.d.pool.Send(m.PeerAddress, &pb.Frame{Body: &pb.Frame_Forward{Forward: &pb.Forward{
		Id:          id,
		Customer:    k.Customer,
		Kind:        k.Name,
		Operation:   req.Operation,
		RemainingUs: uint32(max(0, time.Until(deadline).Microseconds())),
		Body:        req.Body,
	}}})
	if !sent {
		return nil, frontend.ForwardNotSent
	}
	select {
	case r := <-result:
		return r.reply, r.fate
	case <-ctx.Done():
		return nil, frontend.ForwardReplyLost
	}
}

// expect registers a forward and returns the channel that receives its outcome.
func (f *forwarder) expect(id uint64) chan forwardResult {
	result := make(chan forwardResult, 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending[id] = result
	return result
}

func (f *forwarder) forget(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pending, id)
}

// deliver delivers the outcome of a forward. A late or duplicate outcome is dropped.
func (f *forwarder) deliver(id uint64, r forwardResult) {
	f.mu.Lock()
	result := f.pending[id]
	delete(f.pending, id)
	f.mu.Unlock()
	if result != nil {
		result <- r
	}
}

// handleReply handles a peer's reply to a forward.
func (f *forwarder) handleReply(r *pb.ForwardReply) {
	f.deliver(r.Id, forwardResult{fate: frontend.ForwardAnswered, reply: &frontend.Reply{
		Status:     int(r.Status),
		RequestID:  r.RequestId,
		RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
		Body:       r.Body,
	}})
}

// handleLost handles the loss of the stream on which a reply was due. written reports whether
// the request may have reached the peer.
func (f *forwarder) handleLost(r *pb.Forward, written bool) {
	fate := frontend.ForwardNotSent
	if written {
		fate = frontend.ForwardReplyLost
	}
	f.deliver(r.Id, forwardResult{fate: fate})
}

// handleRequest runs a forwarded request in its own goroutine. That is affordable because
// forwards arrive at the rate of callers' requests, not of sub-requests.
func (f *forwarder) handleRequest(r *pb.Forward, reply func(*pb.Frame)) {
	if f.d.gossip.Revalidating(time.Now()) {
		replyForward(r, refuseForward(r, "the VM that the key names was paused and asks its peers first"), false, reply)
		return
	}
	if !f.acquire() {
		replyForward(r, refuseForward(r, "the VM that the key names serves too many forwarded requests"), false, reply)
		return
	}
	go func() {
		defer f.running.Done()
		defer func() { <-f.slots }()
		out, accepted := f.run(r)
		replyForward(r, out, accepted, reply)
	}()
}

// acquire reserves a slot for one request. It returns false if no slot is free or if
// the forwarder is closed.
func (f *forwarder) acquire() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	select {
	case f.slots <- struct{}{}:
		f.running.Add(1)
		return true
	default:
		return false
	}
}

// run executes a forwarded request. accepted reports whether it reached the table of
// operations.
func (f *forwarder) run(r *pb.Forward) (out *frontend.Reply, accepted bool) {
	k := f.lookupKind(r)
	if k == nil {
		return refuseForward(r, "the VM that the key names does not know the kind yet"), false
	}
	key, err := idempotency.ParseKey(r.Operation)
	if err != nil {
		return refuseForward(r, "the forwarded key could not be read"), false
	}
	req := &frontend.Request{
		Body:      r.Body,
		Operation: r.Operation,
		Deadline:  time.Duration(max(1, r.RemainingUs)) * time.Microsecond,
	}
	return f.d.operations.ServeLocal(f.ctx, k, req, key), true
}

// lookupKind returns the request's kind from this VM's configuration, or nil if the kind is
// unknown or idempotent here.
func (f *forwarder) lookupKind(r *pb.Forward) *contract.Kind {
	c, ok := f.d.snapshot.Load().Customer(r.Customer)
	if !ok {
		return nil
	}
	k := c.Kinds[r.Kind]
	if k == nil || k.Idempotent {
		return nil
	}
	return k
}

// refuseForward returns the refusal of a copy that did not reach the table of operations. It
// leaves open whether the operation ran, because an earlier copy may have.
func refuseForward(r *pb.Forward, why string) *frontend.Reply {
	e := &refusal.Error{Reason: refusal.OperationAway, Ran: refusal.Unknown, Detail: why + "; this copy was not run, send the same key again"}
	return frontend.Refused(&frontend.Failure{Error: e.WithRetryAfter(time.Second), Operation: r.Operation})
}

// replyForward sends the reply to a forward to the peer.
func replyForward(r *pb.Forward, out *frontend.Reply, accepted bool, reply func(*pb.Frame)) {
	reply(&pb.Frame{Body: &pb.Frame_ForwardReply{ForwardReply: &pb.ForwardReply{
		Id:           r.Id,
		Status:       uint32(out.Status),
		Body:         out.Body,
		Accepted:     accepted,
		RetryAfterMs: uint32(out.RetryAfter.Milliseconds()),
		RequestId:    out.RequestID,
	}}})
}
