package peer

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// step is one check: its time in milliseconds, whether a message arrived before it,
// whether replies are outstanding, and the expected action.
type step struct {
	at          int
	received    bool
	outstanding bool
	want        streamAction
}

func TestStallDetector(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"an idle stream gets no heartbeat", []step{
			{0, false, false, noAction}, {100, false, false, noAction}, {5000, false, false, noAction},
		}},
		{"a stream that receives replies gets no heartbeat", []step{
			{0, true, true, noAction}, {100, true, true, noAction}, {200, true, true, noAction},
		}},
		{"a slow reply does not close the stream if heartbeats are answered", []step{
			{0, true, true, noAction}, {100, false, true, sendHeartbeat}, {200, true, true, noAction}, {300, false, true, sendHeartbeat}, {400, true, true, noAction},
		}},
		// Failure: all replies of some shards are seconds late. The peer freezes
		// with requests outstanding while its connection stays open, and only
		// gossip detected it, after seconds.
		{"the stream of a frozen peer is closed", []step{
			{0, true, true, noAction}, {100, false, true, sendHeartbeat}, {200, false, true, noAction}, {400, false, true, noAction}, {500, false, true, closeStream},
		}},
		// Failure: all streams break at once after a pause of this process. A
		// heartbeat was sent before the pause, its reply waits to be read, and the
		// check runs first. The pause counted as silence of the peer.
		{"a pause of this process does not close the stream", []step{
			{0, true, true, noAction}, {100, false, true, sendHeartbeat}, {9000, false, true, noAction}, {9100, true, true, noAction},
		}},
		{"a peer that stays silent after the pause is closed", []step{
			{0, true, true, noAction}, {100, false, true, sendHeartbeat}, {9000, false, true, noAction}, {9200, false, true, noAction}, {9400, false, true, closeStream},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			start := time.Unix(1000, 0)
			d := stallDetector{lastReceived: start}
			for i, s := range c.steps {
				now := start.Add(time.Duration(s.at) * time.Millisecond)
				if s.received {
					d.received(now)
				}
				g.Expect(d.check(now, s.outstanding)).To(Equal(s.want), "step %d", i)
			}
		})
	}
}
