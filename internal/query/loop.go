package query

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// mail is one event for a loop; exactly one of start, abandon, reply and
// decoded is set.
type mail struct {
	start   *running
	abandon *running
	reply   *pb.SubReply
	// decoded belongs to run.
	decoded []decodedBody
	run     *running
}

// awaited is a sub-request whose reply is outstanding.
type awaited struct {
	run *running
	id  AttemptID
}

// loop is one worker: it owns its queries and their timers.
type loop struct {
	engine    *Engine
	index     uint64
	serial    uint64
	byID      map[uint64]awaited
	withdrawn recent
	timers    timerHeap
	// spare is the memory of ended queries.
	spare []*memory

	mu     sync.Mutex
	inbox  []mail
	signal chan struct{}
}

func newLoop(e *Engine, index uint64) *loop {
	return &loop{engine: e, index: index, byID: map[uint64]awaited{}, withdrawn: newRecent(), signal: make(chan struct{}, 1)}
}

// post never blocks: a loop posts to itself when an owner on this VM refuses.
func (l *loop) post(m mail) {
	l.mu.Lock()
	l.inbox = append(l.inbox, m)
	l.mu.Unlock()
	select {
	case l.signal <- struct{}{}:
	default:
	}
}

func (l *loop) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var spare []mail
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

// drain handles mail until there is none. Time passes for the queries only
// then: after a pause of the process the answers that came meanwhile count
// before the deadline, else every query under way at the pause would end with
// nothing although its answers are here.
func (l *loop) drain(spare []mail) []mail {
	for {
		l.mu.Lock()
		batch := l.inbox
		l.inbox = spare[:0]
		l.mu.Unlock()
		for _, m := range batch {
			l.handle(m)
		}
		clear(batch)
		spare = batch
		if len(batch) == 0 {
			return spare
		}
	}
}

func (l *loop) handle(m mail) {
	now := l.engine.opts.Now()
	switch {
	case m.start != nil:
		m.start.query.use(l.memory())
		l.apply(m.start, now, m.start.query.Start(now))
	case m.abandon != nil:
		l.apply(m.abandon, now, m.abandon.query.Abandon(now))
	case m.reply != nil:
		l.reply(now, m.reply)
	default:
		for _, d := range m.decoded {
			l.apply(m.run, now, m.run.query.Decoded(now, d.attempt, d.hits, d.err))
		}
	}
}

func (l *loop) reply(now time.Time, r *pb.SubReply) {
	w, ok := l.byID[r.Id]
	if !ok {
		l.engine.opts.Metrics.stray(l.strayKind(r))
		return
	}
	delete(l.byID, r.Id)
	l.apply(w.run, now, w.run.query.Reply(now, w.id, r))
}

// strayKind tells why nobody waits for a reply.
func (l *loop) strayKind(r *pb.SubReply) strayKind {
	withdrawn := l.withdrawn.take(r.Id)
	switch {
	case withdrawn && r.Result == pb.Result_CANCELLED:
		return cancelled
	case withdrawn:
		return late
	case r.Id>>loopBits != 0 && r.Id>>loopBits <= l.serial:
		return duplicate
	default:
		return foreign
	}
}

func (l *loop) apply(r *running, now time.Time, actions []Action) {
	ended := false
	for i := range actions {
		switch a := &actions[i]; a.Op {
		case OpSend:
			l.send(r, now, a)
		case OpCancel:
			l.cancel(a)
		case OpWithdraw:
			l.engine.opts.Sender.Cancel(a.VM, a.Upstream.ID, a.Wire)
		case OpDecode:
			r.addBody(rawBody{attempt: a.Attempt, body: a.Body})
		case OpFinish:
			l.engine.opts.Metrics.finished(a.Outcome)
			r.finished <- a.Outcome
			ended = true
		}
	}
	l.schedule(r)
	if ended {
		l.keep(r.query.release())
	}
}

// maxSpare bounds the memory kept for queries to come.
const maxSpare = 32

func (l *loop) memory() *memory {
	n := len(l.spare)
	if n == 0 {
		return &memory{}
	}
	m := l.spare[n-1]
	l.spare = l.spare[:n-1]
	return m
}

func (l *loop) keep(m *memory) {
	if len(l.spare) < maxSpare {
		l.spare = append(l.spare, m)
	}
}

// outgoing is a sub-request with its frame in one piece of memory.
type outgoing struct {
	frame   pb.Frame
	body    pb.Frame_Request
	request pb.SubRequest
}

func (l *loop) send(r *running, now time.Time, a *Action) {
	l.serial++
	id := l.serial<<loopBits | l.index
	l.byID[id] = awaited{run: r, id: a.Attempt}
	o := &outgoing{}
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
	if _, ok := l.byID[a.Wire]; !ok {
		return
	}
	delete(l.byID, a.Wire)
	l.withdrawn.add(a.Wire)
	l.engine.opts.Sender.Cancel(a.VM, a.Upstream.ID, a.Wire)
}

// schedule keeps the query's place among the timers.
func (l *loop) schedule(r *running) {
	wake := r.query.Next()
	if wake.Equal(r.wake) && r.slot >= 0 {
		return
	}
	r.wake = wake
	switch {
	case r.wake.IsZero() && r.slot >= 0:
		heap.Remove(&l.timers, r.slot)
	case r.wake.IsZero():
	case r.slot >= 0:
		heap.Fix(&l.timers, r.slot)
	default:
		heap.Push(&l.timers, r)
	}
}

func (l *loop) wakeDue() {
	now := l.engine.opts.Now()
	for len(l.timers) > 0 && !now.Before(l.timers[0].wake) {
		r := l.timers[0]
		l.apply(r, now, r.query.Wake(now))
	}
}

func (l *loop) untilWake() time.Duration {
	if len(l.timers) == 0 {
		return time.Hour
	}
	return max(0, l.timers[0].wake.Sub(l.engine.opts.Now()))
}

type timerHeap []*running

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].wake.Before(h[j].wake) }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].slot, h[j].slot = i, j
}
func (h *timerHeap) Push(x any) {
	r := x.(*running)
	r.slot = len(*h)
	*h = append(*h, r)
}
func (h *timerHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	r.slot = -1
	*h = old[:len(old)-1]
	return r
}
