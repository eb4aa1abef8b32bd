package daemon

import (
	"context"
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/frontend"
	"sycamorekeel.example/sycamorekeel/internal/once"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/refusal"
)

// forwardIDs keeps the ids of forwards apart from those of sub-requests, which
// share the streams and never have the highest bit.
const forwardIDs = 1 << 63

// newOperations makes this incarnation's operations. Its secret is never stored
// or sent: with the process ends every lease it gave.
func (d *Daemon) newOperations() *frontend.Operations {
	secret := make([]byte, once.KeySize)
	// It never fails: the runtime ends the process when there is no randomness.
	_, _ = rand.Read(secret)
	return frontend.NewOperations(frontend.OperationsOptions{
		Registry:    d.registry,
		Frontend:    d.front,
		Forwarder:   d.forwards,
		VM:          d.settings.Vm,
		Incarnation: d.incarnation,
		Secret:      secret,
		Life:        frontend.LeaseLife,
		Grace:       frontend.LeaseGrace,
		Now:         time.Now,
	})
}

// forwards carries non-idempotent requests to the VMs their keys name, and
// serves those that name this one.
//
// Lock order: forwards.mu is a leaf.
type forwards struct {
	d      *Daemon
	ctx    context.Context
	cancel context.CancelFunc
	serial atomic.Uint64
	// room bounds the requests served for peers at a time.
	room   chan struct{}
	served sync.WaitGroup

	mu      sync.Mutex
	waiting map[uint64]chan forwarded
	closed  bool
}

// forwarded is the end of one forward.
type forwarded struct {
	reply *frontend.Reply
	fate  frontend.Fate
}

func newForwards(d *Daemon) *forwards {
	ctx, cancel := context.WithCancel(context.Background())
	return &forwards{
		d:       d,
		ctx:     ctx,
		cancel:  cancel,
		room:    make(chan struct{}, d.settings.Limits.MaxQueries),
		waiting: map[uint64]chan forwarded{},
	}
}

// close abandons what is still served for peers and waits for it to end.
func (f *forwards) close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	f.cancel()
	f.served.Wait()
}

// Forward sends the request to the VM its key names, once.
func (f *forwards) Forward(ctx context.Context, k *contract.Kind, req *frontend.Request, key *once.Key) (*frontend.Reply, frontend.Fate) {
	m, ok := f.d.view.Load().Find(key.VM)
	if !ok || key.VM == f.d.settings.Vm || m.State == pb.MemberState_DEAD || m.Incarnation > key.Incarnation {
		return nil, frontend.FateGone
	}
	deadline, _ := ctx.Deadline()
	id := f.serial.Add(1) | forwardIDs
	end := f.expect(id)
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
		return nil, frontend.FateNotSent
	}
	select {
	case e := <-end:
		return e.reply, e.fate
	case <-ctx.Done():
		return nil, frontend.FateLost
	}
}

func (f *forwards) expect(id uint64) chan forwarded {
	end := make(chan forwarded, 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting[id] = end
	return end
}

func (f *forwards) forget(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.waiting, id)
}

// settle ends a forward. A late or repeated end finds nobody and is dropped.
func (f *forwards) settle(id uint64, e forwarded) {
	f.mu.Lock()
	end := f.waiting[id]
	delete(f.waiting, id)
	f.mu.Unlock()
	if end != nil {
		end <- e
	}
}

// replied takes a peer's answer to a forward.
func (f *forwards) replied(r *pb.ForwardReply) {
	f.settle(r.Id, forwarded{fate: frontend.FateAnswered, reply: &frontend.Reply{
		Status:     int(r.Status),
		RequestID:  r.RequestId,
		RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
		Body:       r.Body,
	}})
}

// lost takes the end of a stream that owed a reply.
func (f *forwards) lost(r *pb.Forward, written bool) {
	fate := frontend.FateNotSent
	if written {
		fate = frontend.FateLost
	}
	f.settle(r.Id, forwarded{fate: fate})
}

// serve runs a forwarded request in a goroutine of its own: such requests come
// at the rate of callers, not of sub-requests.
func (f *forwards) serve(r *pb.Forward, reply func(*pb.Frame)) {
	if f.d.gossip.InDoubt(time.Now()) {
		answer(r, away(r, "the VM that the key names was paused and asks its peers first"), false, reply)
		return
	}
	if !f.enter() {
		answer(r, away(r, "the VM that the key names serves too many forwarded requests"), false, reply)
		return
	}
	go func() {
		defer f.served.Done()
		defer func() { <-f.room }()
		out, accepted := f.run(r)
		answer(r, out, accepted, reply)
	}()
}

// enter takes room for one request; it fails when there is none or when this VM
// has stopped.
func (f *forwards) enter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	select {
	case f.room <- struct{}{}:
		f.served.Add(1)
		return true
	default:
		return false
	}
}

func (f *forwards) run(r *pb.Forward) (out *frontend.Reply, accepted bool) {
	k := f.kind(r)
	if k == nil {
		return away(r, "the VM that the key names does not know the kind yet"), false
	}
	key, err := once.ParseKey(r.Operation)
	if err != nil {
		return away(r, "the forwarded key could not be read"), false
	}
	req := &frontend.Request{
		Body:      r.Body,
		Operation: r.Operation,
		Deadline:  time.Duration(max(1, r.RemainingUs)) * time.Microsecond,
	}
	return f.d.operations.Local(f.ctx, k, req, key), true
}

// kind is the kind as this VM's configuration has it; nil unless it is
// non-idempotent here too.
func (f *forwards) kind(r *pb.Forward) *contract.Kind {
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

// away refuses a copy that did not reach the table: earlier ones may have.
func away(r *pb.Forward, why string) *frontend.Reply {
	e := &refusal.Error{Reason: refusal.OperationAway, Ran: refusal.Unknown, Detail: why + "; this copy was not run, send the same key again"}
	return frontend.Refused(&frontend.Failure{Error: e.After(time.Second), Operation: r.Operation})
}

func answer(r *pb.Forward, out *frontend.Reply, accepted bool, reply func(*pb.Frame)) {
	reply(&pb.Frame{Body: &pb.Frame_ForwardReply{ForwardReply: &pb.ForwardReply{
		Id:           r.Id,
		Status:       uint32(out.Status),
		Body:         out.Body,
		Accepted:     accepted,
		RetryAfterMs: uint32(out.RetryAfter.Milliseconds()),
		RequestId:    out.RequestID,
	}}})
}
