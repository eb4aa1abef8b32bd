package replica

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
)

// windowMost is the bound on open sends from which on there is none: more than
// a VM's part of the connections to one upstream.
const windowMost = 16

// turnWindow moves the bound on open sends after one that took ratio times the
// usual: a late one halves what was open, once for all that were open together; one
// in time lets one more go. Without it an upstream that has become slow, or is left
// alone with the load of its copies, gets a queue of seconds, and each request is
// late that waits in it.
func (u *upstream) turnWindow(now, sentAt time.Time, ratio float64, open int) {
	switch {
	case ratio > lateFactor && sentAt.After(u.cutAt):
		u.cutAt = now
		u.window = max(1, float64(open)/2)
	case ratio <= lateFactor && u.window > 0:
		u.window++
		if u.window > windowMost {
			u.window = 0
		}
	}
}

// Window is how many sends to an upstream may be open at a time, 0 for any number.
func (t *Table) Window(c *catalog.Upstream) int { return int(t.upstream(c).window) }
