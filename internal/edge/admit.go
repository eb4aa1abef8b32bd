package edge

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/congestion"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/routing"
)

const (
	// schedulingWaits is how often a request waits for the processor: when it is read, when
	// its parts are sent, when most replies have arrived, and when the answer is written.
	schedulingWaits = 4
	// tolerableDelay is the scheduling delay up to which a process counts as healthy,
	// whatever the objective.
	tolerableDelay = 20 * time.Millisecond
)

// beginQuery starts a query, or returns nil if the upstreams of its shards already run as
// many as they accept: beyond that most queries would lose a shard, and the work for their
// other shards would be wasted. Routes of lower priority are refused first.
func (e *Engine) beginQuery(v *catalog.View, route *routing.Route) *congestion.Limiter {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.limiter(v, route)
	if !l.Start(priorityClass(route.Priority)) {
		return nil
	}
	return l
}

// congestedRetryAfter returns when the caller of a query refused for congestion may retry.
func (e *Engine) congestedRetryAfter(v *catalog.View, route *routing.Route) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limiter(v, route).RetryAfter(e.now())
}

// endQuery reports the end of a query to the limiter that admitted it.
func (e *Engine) endQuery(l *congestion.Limiter, r *Request, a *Answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.Reason == CallerGone {
		l.Abandon()
		return
	}
	now := e.now()
	l.Done(now, r.Received, congestion.Outcome{
		Shards: len(r.Route.Shards), RefusedShards: a.CongestedParts, Late: now.Sub(r.Received) > objective(r.Route),
	})
}

// limiter returns the limiter of a route's shards. The caller holds mu.
func (e *Engine) limiter(v *catalog.View, route *routing.Route) *congestion.Limiter {
	l := e.limiters[route.Shards[0]]
	if l == nil {
		l = congestion.New(congestion.DefaultPolicy().WithSlots(minShardSlots(v, route.Shards)))
		e.limiters[route.Shards[0]] = l
	}
	return l
}

// minShardSlots returns the slots of the shard that has the fewest, among the shards that
// have an upstream, or 0 if none has.
func minShardSlots(v *catalog.View, shards []string) int {
	least := 0
	for _, shard := range shards {
		slots := 0
		for _, u := range v.Services[shard] {
			slots += max(1, u.Slots)
		}
		if slots > 0 && (least == 0 || slots < least) {
			least = slots
		}
	}
	return least
}

// priorityClass maps a route's priority, of which 0 is the most urgent, to its class.
func priorityClass(priority int) pb.Priority {
	switch {
	case priority <= 0:
		return pb.Priority_HIGH
	case priority == 1:
		return pb.Priority_NORMAL
	default:
		return pb.Priority_LOW
	}
}

// cannotMeetObjective reports whether the scheduling delay of this process is so high that
// it cannot meet the route's objective: a request waits for the processor several times.
// Such a request is refused at once, while another VM can still serve it in time.
func (e *Engine) cannotMeetObjective(route *routing.Route) bool {
	delay := time.Duration(e.schedulingDelay.Load())
	return delay > tolerableDelay && delay*schedulingWaits > objective(route)
}

// SetSchedulingDelay sets how late the operating system wakes this process.
func (e *Engine) SetSchedulingDelay(delay time.Duration) { e.schedulingDelay.Store(int64(delay)) }
