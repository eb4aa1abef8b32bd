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

func (rv *revalidation) handleAck(id uint64, from string) {
	if rv.probeIDs[id] {
		rv.responders[from] = true
	}
}

// detectPause starts a revalidation if the gap since the last tick is too long.
func (n *Node) detectPause() {
	if n.lastTick.IsZero() {
		return
	}
	gap := pause.Gap(n.lastTick, n.now)
	if gap < n.timing.PauseThreshold {
		return
	}
	n.stats.Pauses++
	n.out.Revalidate = true
	// No answer could be processed during the pause: the pending probe is dropped and
	// suspicions are extended by the pause.
	n.pending = nil
	for _, r := range n.table.sorted {
		r.suspectUntil = r.suspectUntil.Add(gap)
	}
	n.revalidation = &revalidation{probeIDs: map[uint64]bool{}, responders: map[string]bool{}}
	n.probeForRevalidation()
}

func (n *Node) probeForRevalidation() {
	rv := n.revalidation
	rv.askedAt = n.now
	rv.round++
	peers := n.pick(n.timing.Indirect*2, func(r *record) bool { return r.serves() && !rv.responders[r.VM] })
	rv.quorum = min(n.timing.Indirect, len(rv.responders)+len(peers))
	for _, r := range peers {
		rv.probeIDs[n.sendProbe(r)] = true
	}
}

// advanceRevalidation ends the revalidation once a quorum of members has answered
// probes sent after the pause. Datagrams that those members sent earlier precede
// the answers in the inbox and have been processed by that time.
func (n *Node) advanceRevalidation() {
	rv := n.revalidation
	if rv == nil {
		return
	}
	waited := n.now.Sub(rv.askedAt) >= n.timing.RevalidationRetry
	switch {
	case len(rv.responders) >= rv.quorum:
	case !waited:
		return
	case rv.round < maxRevalidationRounds:
		n.probeForRevalidation()
		return
	}
	n.out.NoPeerAnswered = len(rv.responders) == 0
	n.revalidation = nil
	n.out.Revalidated = true
}
