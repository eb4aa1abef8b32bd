package membership

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pause"
)

// doubtRounds bounds how often a node that was paused asks again while fewer
// peers answer than it wants to hear from.
const doubtRounds = 3

// doubt is the time after a pause in which this node's views are suspect: it
// may have been declared dead meanwhile and its upstreams given to others.
type doubt struct {
	round   int
	askedAt time.Time
	need    int
	ids     map[uint64]bool
	heard   map[string]bool
}

func (d *doubt) acked(id uint64, from string) {
	if d.ids[id] {
		d.heard[from] = true
	}
}

// notePause looks for a gap in this node's own ticks.
func (n *Node) notePause() {
	if n.lastTick.IsZero() {
		return
	}
	gap := pause.Gap(n.lastTick, n.now)
	if gap < n.timing.Pause {
		return
	}
	n.stats.Pauses++
	n.out.Revalidate = true
	// What waited for answers meanwhile proves nothing.
	n.pending = nil
	for _, r := range n.table.sorted {
		r.suspectUntil = r.suspectUntil.Add(gap)
	}
	n.doubt = &doubt{ids: map[uint64]bool{}, heard: map[string]bool{}}
	n.askDoubt()
}

func (n *Node) askDoubt() {
	d := n.doubt
	d.askedAt = n.now
	d.round++
	peers := n.pick(n.timing.Indirect*2, func(r *record) bool { return r.serves() && !d.heard[r.VM] })
	d.need = min(n.timing.Indirect, len(d.heard)+len(peers))
	for _, r := range peers {
		d.ids[n.probe(r)] = true
	}
}

// advanceDoubt ends the doubt once enough peers have answered probes sent after
// the pause: what they had sent before lies ahead of these answers in the inbox
// and has been taken in.
func (n *Node) advanceDoubt() {
	d := n.doubt
	if d == nil {
		return
	}
	waited := n.now.Sub(d.askedAt) >= n.timing.AskAgain
	switch {
	case len(d.heard) >= d.need:
	case !waited:
		return
	case d.round < doubtRounds:
		n.askDoubt()
		return
	}
	n.out.Alone = len(d.heard) == 0
	n.doubt = nil
	n.out.Revalidated = true
}
