package peer

import (
	"time"
)

const (
	// heartbeatEvery is how often the streams are looked at, and how long one
	// may be silent with replies outstanding before it is asked.
	heartbeatEvery = 100 * time.Millisecond
	// stalledAfter is how long an asked peer may be silent. Regions are 24 ms
	// apart there and back; a busy VM answers within tens of milliseconds.
	stalledAfter = 400 * time.Millisecond
	// pausedAfter is a gap between two looks by which this process itself must
	// have been away: what came meanwhile has not been read yet.
	pausedAfter = 3 * heartbeatEvery
)

// verdict is what to do about a stream.
type verdict int

const (
	leave verdict = iota
	ask
	giveUp
)

// heartbeat decides whether a stream is stalled. A peer that was frozen or cut
// off keeps its connection: requests to it would wait for gossip, which takes
// seconds, while their shards' other replicas and the standby VM are idle. One
// notices by answers that all come late after a VM has frozen. It is pure.
type heartbeat struct {
	heard  time.Time
	asked  time.Time
	looked time.Time
}

// hear notes that something came from the peer.
func (h *heartbeat) hear(now time.Time) {
	h.heard = now
	h.asked = time.Time{}
}

// look is called every heartbeatEvery; owed tells whether replies are
// outstanding. A stream that owes nothing costs no message.
func (h *heartbeat) look(now time.Time, owed bool) verdict {
	away := !h.looked.IsZero() && now.Sub(h.looked) > pausedAfter
	h.looked = now
	switch {
	case !owed:
		h.hear(now)
		return leave
	case away && !h.asked.IsZero():
		h.asked = now
		return leave
	case h.asked.IsZero() && now.Sub(h.heard) >= heartbeatEvery:
		h.asked = now
		return ask
	case !h.asked.IsZero() && now.Sub(h.asked) >= stalledAfter:
		return giveUp
	default:
		return leave
	}
}
