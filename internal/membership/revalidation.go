package membership

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pause"
)

// maxRevalidationRounds limits the rounds of probes that a node sends after a pause
// while fewer members than the quorum have answered.
const maxRevalidationRounds = 3

// revalidation is the state of a node after a pause, until enough members have
// answered. Meanwhile its view may be out of date: other nodes may have declared
// it dead and given its upstreams to new owners.
type revalidation struct {
	round      int
	askedAt    time.Time
	quorum     int
	probeIDs   map[uint64]bool
	responders map[string]bool
}

func (d *revalidation) handleAck(id uint64, from string) {
	if d.probeIDs[id] {
		d.responders[from] = true
	}
}

// detectPause starts a revalidation if the gap since the last tick is too long.
func (n *Node) detectPause() {
	if n.lastTick.IsZero() {
		return
	}
	gap := pause.Gap(n.lastTick, n.now)
	if gap < n.timing.Pause {
		return
	}
	n.stats.Pauses++
	n.out.Revalidate = true
	// Unanswered probes and running suspicions prove nothing about the time of the
	// pause.
	n.pending = nil
	for _, r := range n.table.sorted {
		r.suspectUntil = r.suspectUntil.Add(gap)
	}
	n.revalidation = &revalidation{probeIDs: map[uint64]bool{}, responders: map[string]bool{}}
	n.probeForRevalidation()
}

func (n *Node) probeForRevalidation() {
	d := n.revalidation
	d.askedAt = n.now
	d.round++
	peers := n.pick(n.timing.Indirect*2, func(r *record) bool { return r.serves() && !d.responders[r.VM] })
	d.quorum = min(n.timing.Indirect, len(d.responders)+len(peers))
	for _, r := range peers {
		d.probeIDs[n.sendProbe(r)] = true
	}
}

// advanceRevalidation ends the revalidation once a quorum of members has answered
// probes sent after the pause. Datagrams that those members sent earlier precede
// the answers in the inbox and have been processed by that time.
func (n *Node) advanceRevalidation() {
	d := n.revalidation
	if d == nil {
		return
	}
	waited := n.now.Sub(d.askedAt) >= n.timing.AskAgain
	switch {
	case len(d.responders) >= d.quorum:
	case !waited:
		return
	case d.round < maxRevalidationRounds:
		n.probeForRevalidation()
		return
	}
	n.out.Alone = len(d.responders) == 0
	n.revalidation = nil
	n.out.Revalidated = true
}
