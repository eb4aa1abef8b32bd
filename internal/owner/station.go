package owner

import (
	"sync"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/dispatch"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/upstream"
)

// station is one upstream: its queue, its workers and its connections. Workers
// start with work and end when the queue is empty; there are never more than
// the queue has slots.
type station struct {
	owner  *Owner
	client *upstream.Client

	mu       sync.Mutex
	upstream *contract.Upstream
	queue    *dispatch.Queue
}

// replaced tells whether u is another server under the same id.
func (s *station) replaced(u *contract.Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return u.Address != s.upstream.Address || u.Connections != s.upstream.Connections
}

func (s *station) apply(u *contract.Upstream, slots int) {
	s.mu.Lock()
	s.upstream = u
	s.queue.SetSlots(slots)
	s.mu.Unlock()
	s.startWorkers()
}

func (s *station) push(now time.Time, it *dispatch.Item) {
	s.mu.Lock()
	result := s.queue.Push(now, it)
	s.mu.Unlock()
	if result != pb.Result_RESULT_UNSPECIFIED {
		s.owner.met.refused(result)
		it.Reply(&pb.SubReply{Id: it.Request.Id, Result: result})
		return
	}
	s.startWorkers()
}

// startWorkers starts one worker for each item that a free slot can take.
func (s *station) startWorkers() {
	for {
		it := s.next()
		if it == nil {
			return
		}
		s.owner.workers.Add(1)
		go s.work(it)
	}
}

func (s *station) work(it *dispatch.Item) {
	defer s.owner.workers.Done()
	for it != nil {
		s.run(it)
		s.mu.Lock()
		s.queue.Done()
		s.mu.Unlock()
		it = s.next()
	}
}

// next starts the next item and answers those that came too late.
func (s *station) next() *dispatch.Item {
	s.mu.Lock()
	it, late := s.queue.Pop(s.owner.opts.Now())
	s.mu.Unlock()
	for _, l := range late {
		s.owner.met.refused(pb.Result_TOO_LATE)
		l.Reply(&pb.SubReply{Id: l.Request.Id, Result: pb.Result_TOO_LATE})
	}
	return it
}

func (s *station) run(it *dispatch.Item) {
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
	s.owner.met.ran(out.Result, it.Request.Extra, end.Sub(start))
	it.Reply(&pb.SubReply{
		Id:        it.Request.Id,
		Result:    out.Result,
		Snapshot:  out.Snapshot,
		Body:      out.Body,
		QueueUs:   uint32(start.Sub(it.Arrived).Microseconds()),
		ServiceUs: uint32(end.Sub(start).Microseconds()),
		Detail:    out.Detail,
	})
}

func (s *station) cancel(key dispatch.Key) {
	s.mu.Lock()
	it, ok := s.queue.Cancel(key)
	s.mu.Unlock()
	if ok {
		s.owner.met.refused(pb.Result_CANCELLED)
		it.Reply(&pb.SubReply{Id: it.Request.Id, Result: pb.Result_CANCELLED})
	}
}

// close lets what waits run out; no new work reaches the station.
func (s *station) close() {
	s.client.Close()
}
