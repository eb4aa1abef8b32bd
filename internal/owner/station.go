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

// station is one upstream: its queue, its workers and its connections. Workers
// start with the first work for them, wait for more, and end with the station;
// there are never more than slots were in use at a time.
type station struct {
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
	// trim says that connections were given up and are closed once idle.
	trim bool
	idle []*worker
	// cancels are the upstream's names of requests to be cancelled.
	cancels    []string
	cancelling bool
	emitted    status
}

// worker runs one request at a time; nil ends it.
type worker struct {
	next chan *dispatch.Item
}

// replaced tells whether u is another server under the same id.
func (s *station) replaced(u *contract.Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return u.Address != s.upstream.Address
}

// grant takes on what may be used from now on, and returns what will not run
// here; u is nil when the upstream is gone.
func (s *station) grant(u *contract.Upstream, g Grant) []dispatch.Refused {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.granted
	if u != nil {
		s.upstream = u
		s.health.SetLeaving(u.Leaving)
	}
	s.granted = g
	s.limiter.Publish(g.Slots)
	s.client.SetConnections(g.Connections)
	if g.Role == Main && before.Role != Main {
		s.limiter.Restart()
	}
	if g.Connections < before.Connections {
		s.trim = true
	}
	if g.Role == Main || before.Role != Main {
		return nil
	}
	return s.queue.Flush(dispatch.Refusal{Result: pb.Result_NOT_OWNER, Reason: dispatch.NotOwner})
}

// ended tells whether a station without a grant has nothing left to do.
func (s *station) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.granted.Slots == 0 && s.queue.Running() == 0 && s.queue.Len() == 0
}

// refuseNew refuses what comes from now on.
func (s *station) refuseNew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// shut ends the workers and the connections of a station where nothing runs.
func (s *station) shut() {
	s.mu.Lock()
	s.closed = true
	s.stopping = true
	idle := s.idle
	s.idle = nil
	s.mu.Unlock()
	for _, w := range idle {
		w.next <- nil
	}
	s.client.Close()
}

func (s *station) push(now time.Time, it *dispatch.Item) {
	s.mu.Lock()
	refusal := s.refusal(now)
	var displaced *dispatch.Refused
	var rest []dispatch.Refused
	if refusal == nil {
		s.queue.SetSlots(s.limiter.Limit())
		refusal, displaced = s.queue.Push(now, it)
		rest = s.dispatch(now)
	}
	s.mu.Unlock()
	if refusal != nil {
		s.owner.refuse(it, *refusal)
	}
	if displaced != nil {
		s.owner.refuse(displaced.Item, displaced.Refusal)
	}
	s.refuseAll(rest)
}

// refusal says why new work is not taken. The caller holds mu.
func (s *station) refusal(now time.Time) *dispatch.Refusal {
	if s.stopping {
		return &dispatch.Refusal{Result: pb.Result_VM_STOPPING, Reason: dispatch.Stopping}
	}
	return s.unusable(now)
}

// unusable says why nothing may be sent to the upstream, not even what waits.
// The caller holds mu.
func (s *station) unusable(now time.Time) *dispatch.Refusal {
	if s.granted.Slots == 0 {
		return &dispatch.Refusal{Result: pb.Result_NOT_OWNER, Reason: dispatch.NotOwner}
	}
	switch s.health.Gate(now) {
	case health.Leaving:
		return &dispatch.Refusal{Result: pb.Result_UPSTREAM_LEAVING, Reason: dispatch.Leaving}
	case health.Unreachable:
		return &dispatch.Refusal{
			Result:     pb.Result_UNREACHABLE,
			Reason:     dispatch.CircuitOpen,
			RetryAfter: s.health.RetryIn(now),
		}
	default:
		return nil
	}
}

// dispatch gives free slots to waiting items and returns those that will not
// run. The caller holds mu.
func (s *station) dispatch(now time.Time) []dispatch.Refused {
	var out []dispatch.Refused
	for {
		it, refused := s.next(now)
		out = append(out, refused...)
		if it == nil {
			return out
		}
		s.hand(it)
	}
}

// next takes the item for a free slot. When new work may not go to the upstream,
// all that waits is given back instead. The caller holds mu.
func (s *station) next(now time.Time) (*dispatch.Item, []dispatch.Refused) {
	if s.queue.Len() == 0 {
		return nil, nil
	}
	if held, _ := s.owner.held(now); held {
		return nil, nil
	}
	if why := s.unusable(now); why != nil {
		return nil, s.queue.Flush(*why)
	}
	s.queue.SetSlots(s.limiter.Limit())
	it, late := s.queue.Pop(now)
	if it != nil {
		s.health.Started()
	}
	return it, late
}

// hand gives an item to an idle worker or a new one. The caller holds mu.
func (s *station) hand(it *dispatch.Item) {
	if n := len(s.idle); n > 0 {
		w := s.idle[n-1]
		s.idle = s.idle[:n-1]
		w.next <- it
		return
	}
	w := &worker{next: make(chan *dispatch.Item, 1)}
	w.next <- it
	go s.work(w)
}

func (s *station) work(w *worker) {
	for it := range w.next {
		if it == nil {
			return
		}
		for it != nil {
			it = s.run(w, it)
		}
	}
}

// run carries one item out and returns the next; nil when the worker is idle.
func (s *station) run(w *worker, it *dispatch.Item) *dispatch.Item {
	start := s.owner.opts.Now()
	s.mu.Lock()
	path := s.upstream.Path
	s.mu.Unlock()
	out := s.client.Do(start, &upstream.Call{
		RequestID: requestID(it.Key),
		Path:      path,
		Shard:     it.Request.Shard,
		Snapshot:  it.Request.Snapshot,
		Body:      it.Request.Body,
		Deadline:  it.Deadline,
	})
	end := s.owner.opts.Now()
	next, refused := s.finish(w, it, &out, end, end.Sub(start))
	s.owner.met.ran(out.Result, it.Request.Extra, start.Sub(it.Arrived), end.Sub(start))
	s.owner.answer(it, &pb.SubReply{
		Id:        it.Request.Id,
		Result:    out.Result,
		Snapshot:  out.Snapshot,
		Body:      out.Body,
		QueueUs:   uint32(start.Sub(it.Arrived).Microseconds()),
		ServiceUs: uint32(end.Sub(start).Microseconds()),
		Detail:    out.Detail,

		UpstreamEnded: out.Ended,
	})
	s.refuseAll(refused)
	s.emit()
	return next
}

// finish frees the slot, learns from the outcome and takes the next item.
func (s *station) finish(w *worker, it *dispatch.Item, out *upstream.Outcome, now time.Time, took time.Duration) (*dispatch.Item, []dispatch.Refused) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learn(it, out, now, took)
	next, refused := s.next(now)
	if next == nil && !s.closed {
		s.idle = append(s.idle, w)
		return nil, refused
	}
	if next == nil {
		w.next <- nil
		return nil, refused
	}
	// The limit may have grown by more than the slot that became free.
	return next, append(refused, s.dispatch(now)...)
}

// learn takes the outcome in. The caller holds mu.
func (s *station) learn(it *dispatch.Item, out *upstream.Outcome, now time.Time, took time.Duration) {
	running := s.queue.Running()
	held, _ := s.owner.held(now)
	switch {
	case held:
		// The time includes the pause of this process.
		s.queue.Release()
	case out.Result == pb.Result_OK:
		s.queue.Done(took, false)
		s.limiter.Success(now, took, running)
	case out.Result == pb.Result_UPSTREAM_ERROR:
		s.queue.Done(took, out.Cancelled)
	case out.Result == pb.Result_UNKNOWN:
		s.queue.Done(took, true)
	case out.Result == pb.Result_SHED:
		s.queue.Release()
		s.limiter.Shed(now)
	default:
		s.queue.Release()
	}
	s.health.Observe(now, health.Reply{Result: out.Result, Draining: out.Draining, Snapshot: it.Request.Snapshot})
	if out.Result == pb.Result_UNREACHABLE {
		s.limiter.Restart()
	}
}

// tick answers what expired and uses slots that became free otherwise.
func (s *station) tick(now time.Time) {
	s.mu.Lock()
	refused := s.queue.Expire(now)
	refused = append(refused, s.dispatch(now)...)
	trim := s.trim || s.closed
	s.trim = s.trim && s.queue.Running() > 0
	s.mu.Unlock()
	if trim {
		s.client.Close()
	}
	s.refuseAll(refused)
	s.emit()
}

func (s *station) refuseAll(refused []dispatch.Refused) {
	for _, r := range refused {
		s.owner.refuse(r.Item, r.Refusal)
	}
}

// requestID is the sub-request's name at the upstream.
func requestID(k dispatch.Key) string {
	b := make([]byte, 0, len(k.VM)+2*17)
	b = append(b, k.VM...)
	b = append(b, '.')
	b = strconv.AppendUint(b, k.Incarnation, 16)
	b = append(b, '.')
	b = strconv.AppendUint(b, k.ID, 16)
	return string(b)
}
