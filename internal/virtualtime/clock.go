// Package virtualtime plays events in the order of a time that only they move on. Models use
// it in place of the real clock: a run takes no longer than its events, and repeats.
package virtualtime

import (
	"container/heap"
	"time"
)

// Clock holds what is to happen. It is not safe for concurrent use.
type Clock struct {
	now    time.Time
	number int
	todo   events
}

// New is a clock at a time, with nothing to happen.
func New(start time.Time) *Clock { return &Clock{now: start} }

// Now is the time of the event that happens.
func (c *Clock) Now() time.Time { return c.now }

// At plans something for a time; what is planned for a time that has passed happens next.
// Of events at one time the one that was planned first happens first.
func (c *Clock) At(at time.Time, do func()) {
	if at.Before(c.now) {
		at = c.now
	}
	c.number++
	heap.Push(&c.todo, event{at, c.number, do})
}

// After plans something for some time from now.
func (c *Clock) After(d time.Duration, do func()) { c.At(c.now.Add(d), do) }

// Run lets everything happen that is planned, also what is planned meanwhile.
func (c *Clock) Run() {
	for len(c.todo) > 0 {
		e := heap.Pop(&c.todo).(event)
		c.now = e.at
		e.do()
	}
}

// RunUntil runs the events that are due up to a time and sets the clock to it.
func (c *Clock) RunUntil(end time.Time) {
	for len(c.todo) > 0 && !c.todo[0].at.After(end) {
		e := heap.Pop(&c.todo).(event)
		c.now = e.at
		e.do()
	}
	c.now = end
}

type event struct {
	at     time.Time
	number int
	do     func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].number < e[j].number
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}
