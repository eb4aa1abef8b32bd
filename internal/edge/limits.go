package edge

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/connpool"
	"sycamorekeel.example/sycamorekeel/internal/locality"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
	"sycamorekeel.example/sycamorekeel/internal/sendlimit"
)

// queueShare is the fraction of a route's objective above which the queueing delay of a send
// limits the sends of less urgent routes: with longer queues at several copies an answer has no
// time left for a hedge.
const queueShare = 0.25

// class returns the limits on open sends that apply to a send of the request to an upstream.
func (x *run) class(u *catalog.Upstream) connpool.Class {
	c := x.shardClass(u.Service)
	if len(c.SharedBy) > 0 {
		far := x.engine.opts.Place.Distance(u.DataCentre) == locality.Far
		c.MinLimit = sendlimit.MinLimit(u.Slots, x.engine.shares.Load().ingressVMs(), far)
	}
	return c
}

// shardClass returns the class of the request's sends to the upstreams of a shard, without the
// lowest limit. Only routes that fan out take part in the limits.
func (x *run) shardClass(service string) connpool.Class {
	c := connpool.Class{Priority: x.req.Route.Priority}
	if x.req.Route.FanOut() {
		c.SharedBy = x.view.Table.SharedPriorities(service)
	}
	return c
}

// observeQueue adjusts the limits on less urgent sends to an upstream by the result of a send.
// A send that was cancelled counts only if it was open for so long that it met a queue.
func (x *run) observeQueue(now time.Time, s *send) {
	e, u := x.engine, s.call.Upstream
	if len(x.shardClass(u.Service).SharedBy) == 0 || s.replied && s.cancelled {
		return
	}
	distance := e.opts.Place.Distance(u.DataCentre)
	answered := s.replied && s.reply.Result == scatter.Answered
	took := s.reply.Took
	if s.cancelled {
		took = now.Sub(s.sentAt) - s.call.Waited(now)
	}
	e.mu.Lock()
	if answered {
		e.unloaded.Observe(now, x.req.Route.Name, distance, took)
	}
	unloaded, known := e.unloaded.Time(now, x.req.Route.Name, distance)
	e.mu.Unlock()
	if !known {
		return
	}
	queued := (took - unloaded).Seconds() > queueShare*objective(x.req.Route).Seconds()
	full := s.replied && s.refusedFull()
	if answered || full || s.cancelled && queued {
		e.pools.ObserveQueue(now, u, x.req.Route.Priority, now.Add(-took), queued || full)
	}
}

// recordHeld counts the sends that waited because of the limit of their class. It returns the
// longest of these waits.
func (x *run) recordHeld() time.Duration {
	longest := time.Duration(0)
	for i := range x.sends {
		if held := x.sends[i].held; held > 0 {
			x.engine.opts.Metrics.sendHeld(x.req.Route.Priority)
			longest = max(longest, held)
		}
	}
	return longest
}
