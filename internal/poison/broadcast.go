package poison

import (
	"context"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/quarantine"
)

const (
	// minBroadcastGap is the minimum time between two broadcasts to all peers. The first is sent
	// at once. During many crashes, broadcasts to 300 VMs take at most a few megabytes per
	// second.
	minBroadcastGap = 100 * time.Millisecond
	// repeatInterval is how often entries are re-sent, repeatFanout to how many random peers.
	// Over the fleet, each VM receives repeats about as often as it sends them.
	repeatInterval = time.Second
	repeatFanout   = 2
)

// Broadcaster sends entries to up to maxPeers random members, or to all if maxPeers is
// membership.AllMembers.
type Broadcaster interface {
	Broadcast(entries []*pb.QuarantineEntry, maxPeers int)
}

// Run shares entries with peers until ctx ends. New entries go to all peers at once, as a caller
// may retry at any VM. Each second, earlier entries go to some peers that may have missed them.
func (g *Guard) Run(ctx context.Context, to Broadcaster) error {
	t := time.NewTicker(repeatInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.Pending():
			g.broadcastPending(ctx, to)
		case now := <-t.C:
			g.Expire(now)
			g.signal()
			if entries := g.NextRepeats(now); len(entries) > 0 {
				to.Broadcast(quarantine.Encode(entries), repeatFanout)
			}
		}
	}
}

// broadcastPending sends all pending entries to all peers, one datagram per minBroadcastGap.
func (g *Guard) broadcastPending(ctx context.Context, to Broadcaster) {
	for more := true; more && ctx.Err() == nil; {
		var entries []quarantine.Entry
		entries, more = g.TakePending(time.Now())
		if len(entries) == 0 {
			return
		}
		to.Broadcast(quarantine.Encode(entries), membership.AllMembers)
		time.Sleep(minBroadcastGap)
	}
}

// HandleEntries merges entries received from a peer. It drops and counts invalid ones.
func (g *Guard) HandleEntries(peer string, entries []*pb.QuarantineEntry) {
	good, dropped := quarantine.Decode(entries)
	g.Merge(time.Now(), peer, good, dropped)
}
