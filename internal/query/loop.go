package query

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// mail is one event for a loop; exactly one field is set.
type mail struct {
	start   *running
	abandon *running
	reply   *pb.SubReply
}

// awaited is a sub-request whose reply is outstanding.
type awaited struct {
	run *running
	id  AttemptID
}

// loop is one worker: it owns its queries and their timers.
type loop struct {
	engine *Engine
	index  uint64
	serial uint64
	byID   map[uint64]awaited
	timers timerHeap

	mu     sync.Mutex
	inbox  []mail
	signal chan struct{}
}

func newLoop(e *Engine, index uint64) *loop {
	return &loop{engine: e, index: index, byID: map[uint64]awaited{}, signal: make(chan struct{}, 1)}
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
		l.mu.Lock()
		batch := l.inbox
		l.inbox = spare[:0]
		l.mu.Unlock()
		for _, m := range batch {
			l.handle(m)
		}
		clear(batch)
		spare = batch
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

// handle takes the replies in before time passes for any query: after a pause
// of the process the answers that came meanwhile count before the deadline.
func (l *loop) handle(m mail) {
	now := l.engine.opts.Now()
	switch {
	case m.start != nil:
		m.start.slot = -1
		m.start.ids = make(map[AttemptID]uint64, len(m.start.plan.Shards))
		l.apply(m.start, now, m.start.query.Start(now))
	case m.abandon != nil:
		l.apply(m.abandon, now, m.abandon.query.Abandon(now))
	default:
		l.reply(now, m.reply)
	}
}

func (l *loop) reply(now time.Time, r *pb.SubReply) {
	w, ok := l.byID[r.Id]
	if !ok {
		l.engine.opts.Stray(r)
		return
	}
	delete(l.byID, r.Id)
	delete(w.run.ids, w.id)
	l.apply(w.run, now, w.run.query.Reply(now, w.id, r))
}

func (l *loop) apply(r *running, now time.Time, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			l.send(r, now, &a)
		case Cancel:
			l.cancel(r, &a)
		case Withdraw:
			l.withdraw(r, &a)
		case Finish:
			r.finished <- a.Outcome
		}
	}
	l.schedule(r)
}

func (l *loop) send(r *running, now time.Time, s *Send) {
	l.serial++
	id := l.serial<<loopBits | l.index
	l.byID[id] = awaited{run: r, id: s.Attempt}
	r.ids[s.Attempt] = id
	l.engine.opts.Sender.Send(s, &pb.SubRequest{
		Id:          id,
		Upstream:    s.Upstream.ID,
		Shard:       s.Shard.ID,
		Snapshot:    r.plan.Snapshot,
		Customer:    r.plan.Kind.Customer,
		Kind:        r.plan.Kind.Name,
		RemainingUs: uint32(max(0, r.plan.Deadline.Sub(now).Microseconds())),
		Idempotent:  r.plan.Kind.Idempotent,
		Body:        r.plan.Body,
		RequestId:   r.plan.RequestID,
		Extra:       s.Cause == Hedge || s.Cause == Retry,
	})
}

func (l *loop) cancel(r *running, c *Cancel) {
	id, ok := r.ids[c.Attempt]
	if !ok {
		return
	}
	delete(r.ids, c.Attempt)
	delete(l.byID, id)
	l.engine.opts.Sender.Cancel(c, id)
}

// withdraw sends a cancellation and keeps waiting for the reply.
func (l *loop) withdraw(r *running, w *Withdraw) {
	if id, ok := r.ids[w.Attempt]; ok {
		l.engine.opts.Sender.Cancel(&Cancel{Attempt: w.Attempt, Upstream: w.Upstream}, id)
	}
}

// schedule keeps the query's place among the timers.
func (l *loop) schedule(r *running) {
	r.wake = r.query.Next()
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
