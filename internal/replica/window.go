package replica

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
)

// maxWindow is the window size above which the limit is lifted: more than a VM's share of
// the connections to one upstream.
const maxWindow = 16

// adjustWindow updates the limit on open sends after a send that took ratio times its
// expected time; open is how many sends were open then, itself included. A late send halves
// the number of open sends, once for all that were open together; one in time raises the
// limit by one. Without the limit, an upstream that has become slow, or that takes the load
// of its shard's other replicas, builds up a queue of seconds, and every request that waits
// in it is late.
func (u *upstreamStats) adjustWindow(now, sentAt time.Time, ratio float64, open int) {
	switch {
	case ratio > lateFactor && sentAt.After(u.windowCutAt):
		u.windowCutAt = now
		u.window = max(1, float64(open)/2)
	case ratio <= lateFactor && u.window > 0:
		u.window++
		if u.window > maxWindow {
			u.window = 0
		}
	}
}

// Window returns how many sends to an upstream may be open at a time; 0 means no limit.
func (t *Table) Window(c *catalog.Upstream) int { return int(t.stats(c).window) }
