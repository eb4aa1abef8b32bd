// Package sendlimit limits how many sends of the less urgent routes may be open at one
// upstream from this VM, while more urgent routes of the same shards see a queue there. It
// does no I/O, starts no goroutine and reads no clock: callers pass the time.
//
// Without the limits, the upstream's own queue decides the order of work. That queue is first
// come, first served, so that a short urgent request waits there behind the long requests that
// other VMs have sent, and priorities have an effect only in front of the connections.
package sendlimit

import (
	"math"
	"slices"
	"time"
)

const (
	// decrease is the factor by which a queue lowers a limit.
	decrease = 0.7
	// maxIncrease is the most by which one answer without a queue raises a limit. Above a
	// limit of five the increase is the limit's reciprocal.
	maxIncrease = 0.2
	// liftAbove is the limit above which it is lifted: one VM then may have several times the
	// usual slots of an upstream open.
	liftAbove = 16.0
	// maxPause bounds the pause after a send under a fractional limit. A longer pause would
	// exceed the objective of most routes.
	maxPause = 300 * time.Millisecond
	// quietAfter is the time without a result of a more urgent class after which a limit
	// rises with time: once for each quietInterval, as if that many answers had come. Otherwise a
	// limit would stay in force when the more urgent routes get no more requests.
	quietAfter    = time.Second
	quietInterval = 100 * time.Millisecond
	// shareMargin is the lowest limit as a multiple of the VM's share of the slots. Sends do not
	// arrive evenly: with exactly the share, slots are idle while sends wait at other VMs.
	shareMargin = 1.5
	// farFactor multiplies the lowest limit for an upstream in another region: half of the time
	// of such a send passes on the network.
	farFactor = 1.8
)

// MinLimit returns the lowest limit on a VM for one upstream: somewhat more than its equal
// share of the upstream's slots among the VMs that callers are directed to. far says that the
// upstream is in another region. With the limits of all these VMs at their lowest, their sends
// together keep the slots busy, so that no class is shut out.
func MinLimit(slots, vms int, far bool) float64 {
	share := shareMargin * float64(max(1, slots)) / float64(max(1, vms))
	if far {
		return farFactor * share
	}
	return share
}

// class is the state of the sends of one priority.
type class struct {
	priority int
	// open counts the open sends.
	open int
	// limited says that the limit is in force.
	limited bool
	limit   float64
	// cutAt is when the limit was last lowered, and seenAt when a more urgent class had its
	// last result or when the limit last rose with time.
	cutAt, seenAt time.Time
	// pausedUntil is the end of the pause after the last send under the fraction of the limit.
	pausedUntil time.Time
}

// Limiter limits the open sends of each class to one upstream. A class is a priority, of which
// 0 is the most urgent. The zero value has no limits. It is not safe for concurrent use.
type Limiter struct {
	classes  []*class
	minLimit float64
}

// Configure sets the priorities of the routes that share the upstream and the lowest limit.
// The state of priorities that are no longer among them is kept while sends are open.
func (l *Limiter) Configure(priorities []int, minLimit float64) {
	l.minLimit = minLimit
	for _, p := range priorities {
		if l.class(p) == nil {
			l.classes = append(l.classes, &class{priority: p})
		}
	}
	if len(l.classes) > len(priorities) {
		l.classes = slices.DeleteFunc(l.classes, func(c *class) bool {
			return c.open == 0 && !slices.Contains(priorities, c.priority)
		})
	}
}

func (l *Limiter) class(priority int) *class {
	for _, c := range l.classes {
		if c.priority == priority {
			return c
		}
	}
	return nil
}

// Start records that a send of a class begins. It must end with End.
func (l *Limiter) Start(priority int) {
	if c := l.class(priority); c != nil {
		c.open++
	}
}

// End records that an open send of a class has ended, however it ended, after the given time.
func (l *Limiter) End(now time.Time, priority int, took time.Duration) {
	c := l.class(priority)
	if c == nil || c.open == 0 {
		return
	}
	whole, fraction := math.Modf(c.limit)
	if c.limited && float64(c.open) == whole+1 && fraction > 0 {
		c.pausedUntil = now.Add(pause(fraction, took))
	}
	c.open--
}

// pause returns how long no send may follow one that took the given time, so that sends are
// open for a fraction of the time.
func pause(fraction float64, took time.Duration) time.Duration {
	return time.Duration(min((1/fraction-1)*float64(took), float64(maxPause)))
}

// MayStart reports whether one more send of a class may begin.
func (l *Limiter) MayStart(now time.Time, priority int) bool {
	c := l.class(priority)
	if c == nil {
		return true
	}
	l.raiseQuiet(now, c)
	if !c.limited {
		return true
	}
	whole, fraction := math.Modf(c.limit)
	switch open := float64(c.open); {
	case open < whole:
		return true
	case open > whole:
		return false
	default:
		return fraction > 0 && !now.Before(c.pausedUntil)
	}
}

// PauseEnd returns when the pause ends that keeps a send of a class from beginning, or the
// zero time if no pause does. An open send whose end would let it begin is not a pause.
func (l *Limiter) PauseEnd(now time.Time, priority int) time.Time {
	c := l.class(priority)
	if c == nil || !c.limited || !now.Before(c.pausedUntil) {
		return time.Time{}
	}
	if whole, fraction := math.Modf(c.limit); float64(c.open) != whole || fraction == 0 {
		return time.Time{}
	}
	return c.pausedUntil
}

// Open returns the number of open sends of a class.
func (l *Limiter) Open(priority int) int {
	if c := l.class(priority); c != nil {
		return c.open
	}
	return 0
}

// Limit returns the limit of a class, and false if none is in force.
func (l *Limiter) Limit(now time.Time, priority int) (float64, bool) {
	c := l.class(priority)
	if c == nil {
		return 0, false
	}
	l.raiseQuiet(now, c)
	return c.limit, c.limited
}

// Limited returns the priorities that have a limit in force.
func (l *Limiter) Limited(now time.Time) []int {
	var out []int
	for _, c := range l.classes {
		if l.raiseQuiet(now, c); c.limited {
			out = append(out, c.priority)
		}
	}
	return out
}

// Observe adjusts the limits of the classes below the given one by the result of one of its
// sends, which was sent at sentAt. queued says that the send met a queue at the upstream.
func (l *Limiter) Observe(now time.Time, priority int, sentAt time.Time, queued bool) {
	for _, c := range l.classes {
		switch {
		case c.priority <= priority:
		case queued:
			c.seenAt = now
			l.lower(now, c, sentAt)
		default:
			c.seenAt = now
			c.raise(1)
		}
	}
}

// lower lowers the limit of a class. It ignores sends from before the last time: they were
// queued behind the sends that the limit then still allowed.
func (l *Limiter) lower(now time.Time, c *class, sentAt time.Time) {
	if sentAt.Before(c.cutAt) {
		return
	}
	c.cutAt = now
	from := max(1, float64(c.open))
	if c.limited {
		from = min(from, c.limit)
	}
	c.limit = max(l.minLimit, decrease*from)
	c.limited = true
}

// raise raises the limit by n answers without a queue.
func (c *class) raise(n int) {
	for ; n > 0 && c.limited; n-- {
		c.limit += min(maxIncrease, 1/c.limit)
		c.limited = c.limit <= liftAbove
	}
}

// raiseQuiet raises the limit for the time in which no more urgent class had a result.
func (l *Limiter) raiseQuiet(now time.Time, c *class) {
	if !c.limited {
		return
	}
	c.limit = max(c.limit, l.minLimit)
	n := int((now.Sub(c.seenAt) - quietAfter) / quietInterval)
	if n <= 0 {
		return
	}
	c.seenAt = c.seenAt.Add(time.Duration(n) * quietInterval)
	c.raise(n)
}
