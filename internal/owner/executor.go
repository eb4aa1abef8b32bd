package owner

import (
	"strconv"
	"sync"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/dispatch"
	"sycamorekeel.example/sycamorekeel/internal/health"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/upstream"
)

// executor executes the sub-requests of one upstream: it has a queue, workers and
// connections. A worker is started when an item finds no idle one, then waits for
// more items, and ends with the executor. There are never more workers than the
// maximum number of slots in use at one time.
type executor struct {
	owner  *Owner
	client *upstream.Client

	mu       sync.Mutex
	upstream *contract.Upstream
	granted  Grant
	queue    *dispatch.Queue
	limiter  *dispatch.Limiter
	health   *health.Monitor
	stopping bool
	closed   bool
	// closeIdle is set when the grant loses connections: each tick closes the
	// idle ones until no request is running.
	closeIdle bool
	idle      []*worker
	// cancels holds the upstream's ids of the requests to cancel.
	cancels    []string
	cancelling bool
	reported   reportedStatus
}

// worker runs one request at a time; a nil item ends it.
type worker struct {
	next chan *dispatch.Item
}

// addressChanged reports whether u has a different address, which makes it a
// different process under the same id.
func (e *executor) addressChanged(u *contract.Upstream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return u.Address != e.upstream.Address
}

// setGrant applies a new grant and returns the queued items that it drops because
// this VM lost ownership. u is nil when the upstream was removed.
func (e *executor) setGrant(u *contract.Upstream, g Grant) []dispatch.Refused {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.granted
	if u != nil {
		e.upstream = u
		e.health.SetLeaving(u.Leaving)
	}
	e.granted = g
	e.limiter.SetPublished(g.Slots)
	e.client.SetConnections(g.Connections)
	if g.Role == RoleOwner && before.Role != RoleOwner {
		e.limiter.Restart()
	}
	if g.Connections < before.Connections {
		e.closeIdle = true
	}
	if g.Role == RoleOwner || before.Role != RoleOwner {
		return nil
	}
	return e.queue.Flush(dispatch.Refusal{Result: pb.Result_NOT_OWNER, Reason: dispatch.NotOwner})
}

// drained reports whether the executor has no grant and no queued or running item.
func (e *executor) drained() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.granted.Slots == 0 && e.queue.Running() == 0 && e.queue.Len() == 0
}

// stopAccepting makes the executor refuse new items.
func (e *executor) stopAccepting() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopping = true
}

// close ends the workers and connections of an executor without running items.
func (e *executor) close() {
	e.mu.Lock()
	e.closed = true
	e.stopping = true
	idle := e.idle
	e.idle = nil
	e.mu.Unlock()
	for _, w := range idle {
		w.next <- nil
	}
	e.client.Close()
}

// push queues an item or refuses it, then dispatches.
func (e *executor) push(now time.Time, it *dispatch.Item) {
	e.mu.Lock()
	refusal := e.checkAdmission(now)
	var displaced *dispatch.Refused
	var rest []dispatch.Refused
	if refusal == nil {
		e.queue.SetSlots(e.limiter.Limit())
		refusal, displaced = e.queue.Push(now, it)
		rest = e.dispatch(now)
	}
	e.mu.Unlock()
	if refusal != nil {
		e.owner.refuse(it, *refusal)
	}
	if displaced != nil {
		e.owner.refuse(displaced.Item, displaced.Refusal)
	}
	e.refuseAll(rest)
}

// checkAdmission returns the refusal for new items, or nil if they are accepted.
// The caller holds mu.
func (e *executor) checkAdmission(now time.Time) *dispatch.Refusal {
	if e.stopping {
		return &dispatch.Refusal{Result: pb.Result_VM_STOPPING, Reason: dispatch.Stopping}
	}
	return e.checkUsable(now)
}

// checkUsable returns a refusal if nothing may be sent to the upstream, not even
// items already queued, and nil otherwise. The caller holds mu.
func (e *executor) checkUsable(now time.Time) *dispatch.Refusal {
	if e.granted.Slots == 0 {
		return &dispatch.Refusal{Result: pb.Result_NOT_OWNER, Reason: dispatch.NotOwner}
	}
	switch e.health.Gate(now) {
	case health.Leaving:
		return &dispatch.Refusal{Result: pb.Result_UPSTREAM_LEAVING, Reason: dispatch.Leaving}
	case health.Unreachable:
		return &dispatch.Refusal{
			Result:     pb.Result_UNREACHABLE,
			Reason:     dispatch.CircuitOpen,
			RetryAfter: e.health.RetryIn(now),
		}
	default:
		return nil
	}
}

// dispatch assigns queued items to free slots and returns the items that will not
// run. The caller holds mu.
func (e *executor) dispatch(now time.Time) []dispatch.Refused {
	var out []dispatch.Refused
	for {
		it, refused := e.nextItem(now)
		out = append(out, refused...)
		if it == nil {
			return out
		}
		e.assign(it)
	}
}

// nextItem takes the next item from the queue if a slot is free. If the upstream is
// not usable, it removes all queued items and returns them as refused. The caller
// holds mu.
func (e *executor) nextItem(now time.Time) (*dispatch.Item, []dispatch.Refused) {
	if e.queue.Len() == 0 {
		return nil, nil
	}
	if e.owner.suspended(now) {
		return nil, nil
	}
	if why := e.checkUsable(now); why != nil {
		return nil, e.queue.Flush(*why)
	}
	e.queue.SetSlots(e.limiter.Limit())
	it, late := e.queue.Pop(now)
	if it != nil {
		e.health.RequestStarted()
	}
	return it, late
}

// assign passes an item to an idle worker or starts a new one. The caller holds mu.
func (e *executor) assign(it *dispatch.Item) {
	if n := len(e.idle); n > 0 {
		w := e.idle[n-1]
		e.idle = e.idle[:n-1]
		w.next <- it
		return
	}
	w := &worker{next: make(chan *dispatch.Item, 1)}
	w.next <- it
	go e.workLoop(w)
}

func (e *executor) workLoop(w *worker) {
	for it := range w.next {
		if it == nil {
			return
		}
		for it != nil {
			it = e.run(w, it)
		}
	}
}

// run executes one item and returns the worker's next one, or nil when the worker
// becomes idle.
func (e *executor) run(w *worker, it *dispatch.Item) *dispatch.Item {
	start := e.owner.opts.Now()
	e.mu.Lock()
	path := e.upstream.Path
	e.mu.Unlock()
	out := e.client.Do(start, &upstream.Call{
		RequestID: requestID(it.Key),
		Path:      path,
		Shard:     it.Request.Shard,
		Snapshot:  it.Request.Snapshot,
		Body:      it.Request.Body,
		Deadline:  it.Deadline,
	})
	end := e.owner.opts.Now()
	next, refused := e.finish(w, it, &out, end, end.Sub(start))
	e.owner.metrics.observeCall(out.Result, it.Request.Extra, start.Sub(it.Arrived), end.Sub(start))
	e.owner.answer(it, &pb.SubReply{
		Id:        it.Request.Id,
		Result:    out.Result,
		Snapshot:  out.Snapshot,
		Body:      out.Body,
		QueueUs:   uint32(start.Sub(it.Arrived).Microseconds()),
		ServiceUs: uint32(end.Sub(start).Microseconds()),
		Detail:    out.Detail,

		UpstreamEnded: out.ProcessEnded,
	})
	e.refuseAll(refused)
	e.reportStatus()
	return next
}

// finish frees the slot, records the outcome and takes the next item.
func (e *executor) finish(w *worker, it *dispatch.Item, out *upstream.Outcome, now time.Time, took time.Duration) (*dispatch.Item, []dispatch.Refused) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordOutcome(it, out, now, took)
	next, refused := e.nextItem(now)
	if next == nil && !e.closed {
		e.idle = append(e.idle, w)
		return nil, refused
	}
	if next == nil {
		w.next <- nil
		return nil, refused
	}
	// The limit may have grown by more than the slot that became free.
	return next, append(refused, e.dispatch(now)...)
}

// recordOutcome updates the queue, limiter and health monitor with the outcome of
// an item. The caller holds mu.
func (e *executor) recordOutcome(it *dispatch.Item, out *upstream.Outcome, now time.Time, took time.Duration) {
	running := e.queue.Running()
	suspended := e.owner.suspended(now)
	switch {
	case suspended:
		// The duration includes the pause of this process.
		e.queue.Release()
	case out.Result == pb.Result_OK:
		e.queue.Done(took, false)
		e.limiter.RecordSuccess(now, took, running)
	case out.Result == pb.Result_UPSTREAM_ERROR:
		e.queue.Done(took, out.Cancelled)
	case out.Result == pb.Result_UNKNOWN:
		e.queue.Done(took, true)
	case out.Result == pb.Result_SHED:
		e.queue.Release()
		e.limiter.RecordShed(now)
	default:
		e.queue.Release()
	}
	e.health.Observe(now, health.Reply{Result: out.Result, Draining: out.Draining, Snapshot: it.Request.Snapshot})
	if out.Result == pb.Result_UNREACHABLE {
		e.limiter.Restart()
	}
}

// tick refuses expired items, dispatches to free slots and closes surplus idle
// connections.
func (e *executor) tick(now time.Time) {
	e.mu.Lock()
	refused := e.queue.Expire(now)
	refused = append(refused, e.dispatch(now)...)
	trim := e.closeIdle || e.closed
	e.closeIdle = e.closeIdle && e.queue.Running() > 0
	e.mu.Unlock()
	if trim {
		e.client.Close()
	}
	e.refuseAll(refused)
	e.reportStatus()
}

func (e *executor) refuseAll(refused []dispatch.Refused) {
	for _, r := range refused {
		e.owner.refuse(r.Item, r.Refusal)
	}
}

// requestID returns the id of the sub-request at the upstream.
func requestID(k dispatch.Key) string {
	b := make([]byte, 0, len(k.VM)+2*17)
	b = append(b, k.VM...)
	b = append(b, '.')
	b = strconv.AppendUint(b, k.Incarnation, 16)
	b = append(b, '.')
	b = strconv.AppendUint(b, k.ID, 16)
	return string(b)
}
