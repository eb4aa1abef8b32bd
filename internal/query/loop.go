package query

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// event is an input of a loop. Exactly one of start, abandon, reply and decoded is set.
type event struct {
	start   *runningQuery
	abandon *runningQuery
	reply   *pb.SubReply
	// run is the query that decoded belongs to.
	decoded []decodedBody
	run     *runningQuery
}

// pendingReply identifies the attempt of a sub-request that awaits its reply.
type pendingReply struct {
	run *runningQuery
	id  AttemptID
}

// loop is one worker. It owns its queries and their timers.
type loop struct {
	engine            *Engine
	index             uint64
	lastSerial        uint64
	pending           map[uint64]pendingReply
	recentlyCancelled recentIDs
	timers            queryHeap
	// freeBuffers is the memory of ended queries, for reuse.
	freeBuffers []*buffers

	mu     sync.Mutex
	inbox  []event
	signal chan struct{}
}

func newLoop(e *Engine, index uint64) *loop {
	return &loop{engine: e, index: index, pending: map[uint64]pendingReply{}, recentlyCancelled: newRecentIDs(), signal: make(chan struct{}, 1)}
}

// post queues an event. It never blocks, because a loop posts to itself when an owner
// on this VM refuses a sub-request.
func (l *loop) post(ev event) {
	l.mu.Lock()
	l.inbox = append(l.inbox, ev)
	l.mu.Unlock()
	select {
	case l.signal <- struct{}{}:
	default:
	}
}

func (l *loop) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var spare []event
	for {
		spare = l.drain(spare)
		l.wakeDue()
		timer.Reset(l.untilWake())
		select {
		case <-ctx.Done():
			return
		case <-l.signal:
		case <-timer.C:
		}
	}
}

// drain handles events until the inbox is empty. Only then do the timers of the queries
// run: after a pause of the process, replies that arrived meanwhile count before the
// deadline. Otherwise every query in progress during the pause would end empty although
// its answers have arrived.
func (l *loop) drain(spare []event) []event {
	for {
		l.mu.Lock()
		batch := l.inbox
		l.inbox = spare[:0]
		l.mu.Unlock()
		for _, ev := range batch {
			l.handle(ev)
		}
		clear(batch)
		spare = batch
		if len(batch) == 0 {
			return spare
		}
	}
}

func (l *loop) handle(ev event) {
	now := l.engine.opts.Now()
	switch {
	case ev.start != nil:
		ev.start.query.useBuffers(l.getBuffers())
		l.execute(ev.start, now, ev.start.query.Start(now))
	case ev.abandon != nil:
		l.execute(ev.abandon, now, ev.abandon.query.Abandon(now))
	case ev.reply != nil:
		l.handleReply(now, ev.reply)
	default:
		for _, d := range ev.decoded {
			l.execute(ev.run, now, ev.run.query.Decoded(now, d.attempt, d.hits, d.err))
		}
	}
}

func (l *loop) handleReply(now time.Time, r *pb.SubReply) {
	p, ok := l.pending[r.Id]
	if !ok {
		l.engine.opts.Metrics.countStray(l.strayKind(r))
		return
	}
	delete(l.pending, r.Id)
	l.execute(p.run, now, p.run.query.Reply(now, p.id, r))
}

// strayKind classifies a reply that no query awaits.
func (l *loop) strayKind(r *pb.SubReply) strayKind {
	wasCancelled := l.recentlyCancelled.take(r.Id)
	switch {
	case wasCancelled && r.Result == pb.Result_CANCELLED:
		return strayCancelled
	case wasCancelled:
		return strayLate
	case r.Id>>loopBits != 0 && r.Id>>loopBits <= l.lastSerial:
		return strayDuplicate
	default:
		return strayForeign
	}
}

func (l *loop) execute(r *runningQuery, now time.Time, actions []Action) {
	ended := false
	for i := range actions {
		switch a := &actions[i]; a.Op {
		case OpSend:
			l.send(r, now, a)
		case OpCancel:
			l.cancel(a)
		case OpConfirmCancel:
			l.engine.opts.Sender.Cancel(a.VM, a.Upstream.ID, a.WireID)
		case OpDecode:
			r.addBody(rawBody{attempt: a.Attempt, body: a.Body})
		case OpFinish:
			l.engine.opts.Metrics.countQuery(a.Outcome)
			r.finished <- a.Outcome
			ended = true
		}
	}
	l.schedule(r)
	if ended {
		l.putBuffers(r.query.releaseBuffers())
	}
}

// maxFreeBuffers limits the buffers kept for later queries.
const maxFreeBuffers = 32

func (l *loop) getBuffers() *buffers {
	n := len(l.freeBuffers)
	if n == 0 {
		return &buffers{}
	}
	b := l.freeBuffers[n-1]
	l.freeBuffers = l.freeBuffers[:n-1]
	return b
}

func (l *loop) putBuffers(b *buffers) {
	if len(l.freeBuffers) < maxFreeBuffers {
		l.freeBuffers = append(l.freeBuffers, b)
	}
}

// outgoingFrame holds a sub-request and its frame in one allocation.
type outgoingFrame struct {
	frame   pb.Frame
	body    pb.Frame_Request
	request pb.SubRequest
}

func (l *loop) send(r *runningQuery, now time.Time, a *Action) {
	l.lastSerial++
	id := l.lastSerial<<loopBits | l.index
	l.pending[id] = pendingReply{run: r, id: a.Attempt}
	o := &outgoingFrame{}
	o.body.Request = &o.request
	o.frame.Body = &o.body
	req := &o.request
	req.Id = id
	req.Upstream = a.Upstream.ID
	req.Shard = a.Shard.ID
	req.Snapshot = a.Snapshot
	req.Customer = r.plan.Kind.Customer
	req.Kind = r.plan.Kind.Name
	req.RemainingUs = uint32(max(0, r.plan.Deadline.Sub(now).Microseconds()))
	req.Idempotent = r.plan.Kind.Idempotent
	req.Body = r.plan.Body
	req.RequestId = r.plan.RequestID
	req.Extra = a.Cause.Extra()
	r.query.Sent(a.Attempt, id, l.engine.opts.Sender.Send(a, &o.frame))
}

func (l *loop) cancel(a *Action) {
	if _, ok := l.pending[a.WireID]; !ok {
		return
	}
	delete(l.pending, a.WireID)
	l.recentlyCancelled.add(a.WireID)
	l.engine.opts.Sender.Cancel(a.VM, a.Upstream.ID, a.WireID)
}

// schedule updates the query's position in the timer heap.
func (l *loop) schedule(r *runningQuery) {
	wake := r.query.Next()
	if wake.Equal(r.wake) && r.heapIndex >= 0 {
		return
	}
	r.wake = wake
	switch {
	case r.wake.IsZero() && r.heapIndex >= 0:
		heap.Remove(&l.timers, r.heapIndex)
	case r.wake.IsZero():
	case r.heapIndex >= 0:
		heap.Fix(&l.timers, r.heapIndex)
	default:
		heap.Push(&l.timers, r)
	}
}

func (l *loop) wakeDue() {
	now := l.engine.opts.Now()
	for len(l.timers) > 0 && !now.Before(l.timers[0].wake) {
		r := l.timers[0]
		l.execute(r, now, r.query.Wake(now))
	}
}

func (l *loop) untilWake() time.Duration {
	if len(l.timers) == 0 {
		return time.Hour
	}
	return max(0, l.timers[0].wake.Sub(l.engine.opts.Now()))
}

type queryHeap []*runningQuery

func (h queryHeap) Len() int           { return len(h) }
func (h queryHeap) Less(i, j int) bool { return h[i].wake.Before(h[j].wake) }
func (h queryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *queryHeap) Push(x any) {
	r := x.(*runningQuery)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}
func (h *queryHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	r.heapIndex = -1
	*h = old[:len(old)-1]
	return r
}
