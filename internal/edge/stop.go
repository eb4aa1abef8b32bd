package edge

import (
	"sync"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/connpool"
	"sycamorekeel.example/sycamorekeel/internal/routing"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
)

const (
	// stopReserve and stopReserveUnsafe are how many tail latencies before the end of a shutdown
	// the last sends are made. An idempotent request that is cut off may be repeated elsewhere;
	// the outcome of another one stays unknown.
	stopReserve       = 1.5
	stopReserveUnsafe = 2.0
	// stoppingRetry lets callers return as soon as they have opened a connection to another VM.
	stoppingRetry = 50 * time.Millisecond
)

// shutdown is when the VM stops serving, valid once begun is closed.
type shutdown struct {
	// begun is closed when the shutdown begins, after end is set.
	begun chan struct{}
	once  sync.Once
	end   time.Time
}

// active reports whether the shutdown has begun.
func (s *shutdown) active() bool {
	select {
	case <-s.begun:
		return true
	default:
		return false
	}
}

// BeginStop announces that every request must have ended at a time. Later requests, and those
// that wait, are refused as soon as they can no longer be served until then; requests in flight
// end with what they have.
func (e *Engine) BeginStop(end time.Time) {
	e.stop.once.Do(func() {
		e.stop.end = end
		close(e.stop.begun)
		e.poison.EndWaits()
	})
}

// stopLimits returns the limits of a request during a shutdown, which must be active.
func (e *Engine) stopLimits(route *routing.Route) scatter.Stop {
	return scatter.Stop{LastSend: e.stop.end.Add(-e.stopReserve(route)), End: e.stop.end}
}

// stopReserve returns how long before the end of a shutdown the last sends of a route are made.
// Before enough answers have been observed, and for a query, which waits until its objective for
// missing parts, it is at least the objective. It grows with the queue at the upstreams.
func (e *Engine) stopReserve(route *routing.Route) time.Duration {
	v := e.view.Load()
	load := 0.0
	e.mu.Lock()
	tail := e.replicas.TailLatency(e.now(), route.Name, defaultLatency(route))
	for i, t := range route.Targets {
		least := e.replicas.LeastOpen(e.inHomes(v.Services[t.Service], route.Homes))
		if i == 0 || least < load {
			load = least
		}
	}
	e.mu.Unlock()
	factor := stopReserve
	if !route.Idempotent {
		factor = stopReserveUnsafe
	}
	reserve := time.Duration(factor * float64(tail))
	if tail == 0 || route.FanOut() {
		reserve = max(reserve, objective(route))
	}
	return time.Duration((1 + load) * float64(reserve))
}

// stopsTooSoon reports whether the VM stops before a request that has sent nothing could be
// served.
func (e *Engine) stopsTooSoon(route *routing.Route) bool {
	return e.stop.active() && !e.now().Before(e.stopLimits(route).LastSend)
}

// limitByStop applies the limits of the shutdown to the query.
func (x *run) limitByStop() {
	x.dispatch(x.query.StopBy(x.engine.now(), x.engine.stopLimits(x.req.Route)))
	x.dropUnsent()
}

// dropUnsent withdraws the sends that wait for a connection once no more sends may be made. They
// end like sends that found no connection, so that the request is known not to have run.
func (x *run) dropUnsent() {
	if !x.query.SendsOver() {
		return
	}
	for i := range x.sends {
		if s := &x.sends[i]; s.open() && s.call.DropUnsent() {
			x.replies.put(attemptReply{i, connpool.Reply{Result: scatter.NoConnection, Detail: "this VM is stopping"}})
		}
	}
}
