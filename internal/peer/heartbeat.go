package peer

import (
	"time"
)

const (
	// heartbeatInterval is the time between two checks of the streams, and how
	// long a peer with outstanding replies may send nothing before it is sent a
	// heartbeat.
	heartbeatInterval = 100 * time.Millisecond
	// stallTimeout is how long a peer may send nothing after a heartbeat. The
	// round trip between regions is 24 ms, and a busy VM answers within tens of
	// milliseconds.
	stallTimeout = 400 * time.Millisecond
	// pauseThreshold is the gap between two checks above which this process
	// itself was paused, so that messages may have arrived that it has not read.
	pauseThreshold = 3 * heartbeatInterval
)

// streamAction is the result of a check.
type streamAction int

const (
	noAction streamAction = iota
	sendHeartbeat
	closeStream
)

// stallDetector decides whether a stream is stalled. The connection of a frozen or
// partitioned peer stays open, and gossip detects the failure only after seconds.
// Without this check, requests would wait that long while other replicas of their
// shards and the standby VM are idle, and every reply of that peer would be late.
// It does no I/O and reads no clock.
type stallDetector struct {
	lastReceived  time.Time
	heartbeatSent time.Time
	lastCheck     time.Time
}

// received records that a message arrived from the peer.
func (d *stallDetector) received(now time.Time) {
	d.lastReceived = now
	d.heartbeatSent = time.Time{}
}

// check is called every heartbeatInterval; outstanding says whether replies are
// outstanding. A stream without outstanding replies needs no heartbeat.
func (d *stallDetector) check(now time.Time, outstanding bool) streamAction {
	paused := !d.lastCheck.IsZero() && now.Sub(d.lastCheck) > pauseThreshold
	d.lastCheck = now
	switch {
	case !outstanding:
		d.received(now)
		return noAction
	case paused && !d.heartbeatSent.IsZero():
		d.heartbeatSent = now
		return noAction
	case d.heartbeatSent.IsZero() && now.Sub(d.lastReceived) >= heartbeatInterval:
		d.heartbeatSent = now
		return sendHeartbeat
	case !d.heartbeatSent.IsZero() && now.Sub(d.heartbeatSent) >= stallTimeout:
		return closeStream
	default:
		return noAction
	}
}
