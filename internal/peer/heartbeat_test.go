package peer

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// look is one step of a table: the time in milliseconds, whether something came
// before the look, and what is expected.
type look struct {
	at    int
	heard bool
	owed  bool
	want  verdict
}

func TestHeartbeat(t *testing.T) {
	for _, c := range []struct {
		name  string
		looks []look
	}{
		{"an idle stream is left alone", []look{
			{0, false, false, leave}, {100, false, false, leave}, {5000, false, false, leave},
		}},
		{"a stream that answers is not asked", []look{
			{0, true, true, leave}, {100, true, true, leave}, {200, true, true, leave},
		}},
		{"a slow answer is waited for when the peer answers", []look{
			{0, true, true, leave}, {100, false, true, ask}, {200, true, true, leave}, {300, false, true, ask}, {400, true, true, leave},
		}},
		// Symptom: every answer of some shards is seconds late.
		// Sequence: the peer freezes with requests outstanding; its connection
		// stays open.
		// Cause: only gossip noticed, after seconds.
		{"a frozen peer is given up", []look{
			{0, true, true, leave}, {100, false, true, ask}, {200, false, true, leave}, {400, false, true, leave}, {500, false, true, giveUp},
		}},
		// Symptom: after a pause of this process all streams break at once.
		// Sequence: a peer is asked; this process pauses, the answer comes and
		// waits; it wakes and looks before it has read.
		// Cause: its own absence counted as the peer's silence.
		{"a pause of this process is not held against the peer", []look{
			{0, true, true, leave}, {100, false, true, ask}, {9000, false, true, leave}, {9100, true, true, leave},
		}},
		{"nor is a peer spared that stays silent after it", []look{
			{0, true, true, leave}, {100, false, true, ask}, {9000, false, true, leave}, {9200, false, true, leave}, {9400, false, true, giveUp},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			start := time.Unix(1000, 0)
			h := heartbeat{heard: start}
			for i, l := range c.looks {
				now := start.Add(time.Duration(l.at) * time.Millisecond)
				if l.heard {
					h.hear(now)
				}
				g.Expect(h.look(now, l.owed)).To(Equal(l.want), "look %d", i)
			}
		})
	}
}
