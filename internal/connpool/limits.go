package connpool

import (
	"maps"
	"slices"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
)

// maxBypass is how many calls of more urgent classes may be sent while a call of a class waits
// that its limit does not hold back; that class is next then. Package dispatch has the same bound.
const maxBypass = 16

// Class describes the limits on open sends that apply to a call.
type Class struct {
	// Priority is the class, the call's priority.
	Priority int
	// SharedBy holds the priorities of the routes that share the upstream, if there are
	// several. Empty means that the call takes no part in the limits.
	SharedBy []int
	// MinLimit is the lowest limit of a class.
	MinLimit float64
}

func (c *Class) limited() bool { return len(c.SharedBy) > 0 }

// mayStart reports whether the limit of the call's class lets it be sent now. The caller holds mu.
func (p *Pool) mayStart(now time.Time, c *Call) bool {
	return !c.limited() || p.limits.MayStart(now, c.Priority)
}

// enqueue inserts a waiting call in the order of priority. Within a priority, calls that take
// part in the limits are in the order of AnswerBy and others in that of arrival. The caller
// holds mu.
func (p *Pool) enqueue(call *Call) {
	i := len(p.waiting)
	for i > 0 && call.goesBefore(p.waiting[i-1]) {
		i--
	}
	p.waiting = slices.Insert(p.waiting, i, call)
}

// goesBefore reports whether a new call goes before one that waits.
func (c *Call) goesBefore(other *Call) bool {
	if c.Priority != other.Priority {
		return c.Priority < other.Priority
	}
	return c.limited() && other.limited() && c.AnswerBy.Before(other.AnswerBy)
}

// ahead returns the number of waiting calls that go before a new one of a class: all if it
// takes no part in the limits, otherwise those of classes that are not less urgent. The caller holds mu.
func (p *Pool) ahead(class *Class) int {
	if !class.limited() {
		return len(p.waiting)
	}
	n := 0
	for _, c := range p.waiting {
		if c.Priority <= class.Priority {
			n++
		}
	}
	return n
}

// pick returns the index of the waiting call to send next, -1 if there is none that may be
// sent: the first one of a class that was passed over maxBypass times, otherwise the first
// that can still meet its soft deadline, otherwise the first. Calls that their class's limit
// holds back do not block the others. The caller holds mu.
func (p *Pool) pick(now time.Time) int {
	first, inTime, passedOver := -1, -1, -1
	for i, c := range p.waiting {
		if !p.mayStart(now, c) {
			c.markHeld(now)
			continue
		}
		if first < 0 {
			first = i
		}
		if inTime < 0 && (c.AnswerBy.IsZero() || now.Add(p.meanLatency).Before(c.AnswerBy)) {
			inTime = i
		}
		if passedOver < 0 && c.limited() && p.bypassed[c.Priority] >= maxBypass {
			passedOver = i
		}
	}
	switch {
	case passedOver >= 0:
		return passedOver
	case inTime >= 0:
		return inTime
	default:
		return first
	}
}

// countBypass counts, for each less urgent class with a waiting call that may be sent, that a
// call was sent before it. The caller holds mu.
func (p *Pool) countBypass(now time.Time, sent *Call) {
	if !sent.limited() {
		return
	}
	last := sent.Priority
	for _, c := range p.waiting {
		// The queue is in the order of priority, so the calls of a class are adjacent.
		if c.Priority > last && c.limited() && p.mayStart(now, c) {
			p.bypassed[c.Priority]++
			last = c.Priority
		}
	}
	delete(p.bypassed, sent.Priority)
	maps.DeleteFunc(p.bypassed, func(priority, _ int) bool { return p.waitingOf(priority) == 0 })
}

// waitingOf returns the number of waiting calls of a class. The caller holds mu.
func (p *Pool) waitingOf(priority int) int {
	n := 0
	for _, c := range p.waiting {
		if c.limited() && c.Priority == priority {
			n++
		}
	}
	return n
}

// startSend counts a call as an open send of its class. The caller holds mu.
func (p *Pool) startSend(now time.Time, call *Call) {
	if call.limited() {
		call.counted = true
		call.startedAt = now
		p.limits.Start(call.Priority)
	}
}

// endSend ends the open send of a call, if it is counted as one.
func (p *Pool) endSend(call *Call) {
	if call == nil || !call.limited() {
		return
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if call.counted {
		call.counted = false
		p.limits.End(now, call.Priority, now.Sub(call.startedAt))
	}
}

// scheduleWake starts a timer for the first end of a pause that holds a waiting call back: no
// other event would send the call then. The caller holds mu.
func (p *Pool) scheduleWake(now time.Time) {
	var at time.Time
	for _, c := range p.waiting {
		if !c.limited() {
			continue
		}
		if end := p.limits.PauseEnd(now, c.Priority); !end.IsZero() && (at.IsZero() || end.Before(at)) {
			at = end
		}
	}
	if at.IsZero() || !p.wakeAt.IsZero() && !at.Before(p.wakeAt) {
		return
	}
	p.stopWake()
	p.wakeAt = at
	p.wakeTimer = time.AfterFunc(at.Sub(now), p.wake)
}

// stopWake stops the timer of scheduleWake. The caller holds mu.
func (p *Pool) stopWake() {
	if p.wakeTimer != nil {
		p.wakeTimer.Stop()
		p.wakeAt = time.Time{}
	}
}

// wake sends the calls whose pause has ended.
func (p *Pool) wake() {
	now := time.Now()
	p.mu.Lock()
	p.wakeAt = time.Time{}
	dead := p.dispatch(now)
	p.mu.Unlock()
	endConns(dead)
}

// observeQueue adjusts the limits of the less urgent classes by the result of a send.
func (p *Pool) observeQueue(now time.Time, priority int, sentAt time.Time, queued bool) {
	p.mu.Lock()
	p.limits.Observe(now, priority, sentAt, queued)
	dead := p.dispatch(now)
	p.mu.Unlock()
	endConns(dead)
}

// ObserveQueue records the result of a send that takes part in the limits: queued says
// that it met a queue at the upstream, sentAt is when it was written. It has no effect
// if the upstream has restarted after registration u.
func (p *Pools) ObserveQueue(now time.Time, u *catalog.Upstream, priority int, sentAt time.Time, queued bool) {
	if pool := p.current(u); pool != nil {
		pool.observeQueue(now, priority, sentAt, queued)
	}
}

// current returns the pool of the process that made a registration or of an earlier one, nil
// if there is none or the upstream has restarted since.
func (p *Pools) current(u *catalog.Upstream) *Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.pools[u.ID]
	if pool == nil || pool.upstream.StartedAfter(u) {
		return nil
	}
	return pool
}

// Limited returns the number of upstreams with a limit in force, by class.
func (p *Pools) Limited(now time.Time) map[int]int {
	out := map[int]int{}
	for _, pool := range p.all() {
		pool.mu.Lock()
		limited := pool.limits.Limited(now)
		pool.mu.Unlock()
		for _, priority := range limited {
			out[priority]++
		}
	}
	return out
}
