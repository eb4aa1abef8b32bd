package pause

import (
	"sync"
	"time"
)

// Meter remembers the last pause of the process, from calls to Observe at a fixed interval. It is
// safe for concurrent use.
type Meter struct {
	// Interval is the interval of the calls to Observe.
	Interval time.Duration

	mu sync.Mutex
	// last is the time of the last call; the last pause lasted from pausedAt to resumedAt.
	last, pausedAt, resumedAt time.Time
}

// pauseFactor is how many intervals without a call are a pause.
const pauseFactor = 3

// Observe records that the process runs.
func (m *Meter) Observe(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.last.IsZero() && now.Sub(m.last) > pauseFactor*m.Interval {
		m.pausedAt, m.resumedAt = m.last, now
	}
	m.last = now
}

// EarliestArrival returns the earliest time at which something may have arrived that is first seen
// now: now itself, or the begin of a pause that has just ended.
func (m *Meter) EarliestArrival(now time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !m.last.IsZero() && now.Sub(m.last) > pauseFactor*m.Interval:
		return m.last
	case !m.resumedAt.IsZero() && now.Sub(m.resumedAt) <= pauseFactor*m.Interval:
		return m.pausedAt
	default:
		return now
	}
}
