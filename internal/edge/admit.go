package edge

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/congestion"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/routing"
)

const (
	// turns is how often a request waits for the processor: when it is read, when
	// its parts are sent, when most have come, and when the answer is written.
	turns = 4
	// leastLag is the delay up to which a process counts as healthy, whatever an
	// objective asks.
	leastLag = 20 * time.Millisecond
)

// startScatter begins a query unless as many are under way as the upstreams of
// its shards take: beyond that most queries would lose some shard, and the work
// for their others would be wasted. The less urgent are refused first, with nil.
func (e *Engine) startScatter(v *catalog.View, route *routing.Route) *congestion.Limiter {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.scatter(v, route)
	if !l.Start(urgency(route.Priority)) {
		return nil
	}
	return l
}

// congestedRetry is when a query that was refused for congestion may come back.
func (e *Engine) congestedRetry(v *catalog.View, route *routing.Route) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.scatter(v, route).RetryAfter(e.now())
}

// endScatter ends a query at the limiter that it was begun at.
func (e *Engine) endScatter(l *congestion.Limiter, r *Request, a *Answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.Reason == Gone {
		l.Abandon()
		return
	}
	now := e.now()
	l.Done(now, r.Received, congestion.Outcome{
		Shards: len(r.Route.Shards), NoRoom: a.Crowded, Late: now.Sub(r.Received) > objective(r.Route),
	})
}

// scatter is the limiter of a route's shards. The caller holds mu.
func (e *Engine) scatter(v *catalog.View, route *routing.Route) *congestion.Limiter {
	l := e.scatters[route.Shards[0]]
	if l == nil {
		l = congestion.New(congestion.DefaultPolicy().WithSlots(leastSlots(v, route.Shards)))
		e.scatters[route.Shards[0]] = l
	}
	return l
}

// leastSlots is the slots of the shard that has the fewest, of those that have an upstream; 0
// when none has.
func leastSlots(v *catalog.View, shards []string) int {
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

// urgency is the class of a route's priority; 0 is the most urgent.
func urgency(priority int) pb.Priority {
	switch {
	case priority <= 0:
		return pb.Priority_HIGH
	case priority == 1:
		return pb.Priority_NORMAL
	default:
		return pb.Priority_LOW
	}
}

// tooSlow tells whether this process is woken so late that the route's objective
// cannot be met here: a request takes its turn of the processor several times.
// It is refused at once, while another VM can still serve it in time.
func (e *Engine) tooSlow(route *routing.Route) bool {
	lag := time.Duration(e.lag.Load())
	return lag > leastLag && lag*turns > objective(route)
}

// SetLag tells how late this process is woken.
func (e *Engine) SetLag(lag time.Duration) { e.lag.Store(int64(lag)) }
