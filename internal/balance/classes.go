package balance

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/locality"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
	"sycamorekeel.example/sycamorekeel/internal/sendlimit"
)

// queueShare is the part of the objective above which a queueing delay limits the less urgent,
// as in package edge.
const queueShare = 0.25

// newPool is a pool to an upstream. The sends are limited by class if kinds differ in
// priority.
func (v *vm) newPool(u *catalog.Upstream) *pool {
	p := &pool{}
	var priorities []int
	for _, k := range v.model.opts.Kinds {
		priorities = append(priorities, k.Priority)
	}
	if v.model.opts.Ways.Classes != NoClasses {
		far := v.place.Distance(u.DataCentre) == locality.Far
		p.limits.Configure(priorities, sendlimit.MinLimit(u.Slots, v.model.opts.VMs, far))
	}
	return p
}

// mayStart reports whether the limit of a class admits one more send.
func (v *vm) mayStart(p *pool, priority int) bool {
	now := v.model.clock.Now()
	if v.model.opts.Ways.Classes == EqualShares {
		v.keepAtLeast(p, now)
	}
	return p.limits.MayStart(now, priority)
}

// keepAtLeast lowers the limits of a pool to their lowest value.
func (v *vm) keepAtLeast(p *pool, now time.Time) {
	for last := -1.0; ; {
		p.limits.Observe(now, 0, now, true)
		limit, _ := p.limits.Limit(now, 1)
		if limit == last {
			return
		}
		last = limit
	}
}

// queuedBefore is how many waiting sends count against the bound for a further one.
func (v *vm) queuedBefore(p *pool, priority int) int {
	if v.model.opts.Ways.Classes == NoClasses {
		return len(p.waiting)
	}
	return p.queued(priority)
}

// ahead is how many answers come before a further send of a class gets a connection.
func (v *vm) ahead(p *pool, priority int) float64 {
	queued := v.queuedBefore(p, priority)
	held := 0.0
	if !v.mayStart(p, priority) {
		limit, _ := p.limits.Limit(v.model.clock.Now(), priority)
		held = float64(queued+1) / limit
	}
	if p.hasRoom() {
		return held
	}
	return max(held, float64(queued+1)/float64(max(1, p.busy)))
}

// wake plans to start the sends whose class pauses, at the end of the pause.
func (v *vm) wake(p *pool) {
	clock := v.model.clock
	for _, s := range p.waiting {
		end := p.limits.PauseEnd(clock.Now(), s.query.kind.Priority)
		if end.IsZero() || p.wakeAt.After(clock.Now()) && !end.Before(p.wakeAt) {
			continue
		}
		p.wakeAt = end
		clock.At(end, func() { v.next(p) })
	}
}

// observeQueue adjusts the limits of the less urgent by the end of a send.
func (v *vm) observeQueue(s *send, r scatter.Result, took time.Duration) {
	if r != scatter.Answered && !s.full {
		return
	}
	now := v.model.clock.Now()
	kind, distance := s.query.kind, v.place.Distance(s.server.DataCentre)
	if r == scatter.Answered {
		v.unloaded.Observe(now, kind.Name, distance, took)
	}
	if unloaded, known := v.unloaded.Time(now, kind.Name, distance); known {
		v.limit(s, now, took, s.full || v.isQueued(kind, took-unloaded))
	}
}

// observeWithdrawn adjusts the limits by a send that is given up, if it met a queue.
func (v *vm) observeWithdrawn(s *send) {
	now := v.model.clock.Now()
	kind, distance := s.query.kind, v.place.Distance(s.server.DataCentre)
	open := now.Sub(s.sentAt) - s.waitedFor(now)
	if unloaded, known := v.unloaded.Time(now, kind.Name, distance); known && v.isQueued(kind, open-unloaded) {
		v.limit(s, now, open, true)
	}
}

func (v *vm) isQueued(k *Kind, delay time.Duration) bool {
	return delay.Seconds() > queueShare*k.Objective.Seconds()
}

func (v *vm) limit(s *send, now time.Time, took time.Duration, queued bool) {
	p := v.pools[s.server.ID]
	p.limits.Observe(now, s.query.kind.Priority, now.Add(-took), queued)
	v.next(p)
}
