package poison

import (
	"context"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/quarantine"
)

const (
	// minBroadcastGap is the least time between two words to all peers. The first one goes out at
	// once; in a storm of crashes one to 300 VMs is at most some megabytes a second.
	minBroadcastGap = 100 * time.Millisecond
	// repeatInterval is how often peers are told again what they may have missed, repeatPeers
	// how many: over the fleet each VM hears it about as often.
	repeatInterval = time.Second
	repeatFanout = 2
)

// Broadcaster sends entries to so many members, or to membership.All.
type Broadcaster interface {
	Broadcast(entries []*pb.QuarantineEntry, most int)
}

// Run tells peers what is known until ctx ends: all of them at once what is new, as the
// caller may come to any VM next, and some of them each second what they may have missed.
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
			if entries := g.Repeat(now); len(entries) > 0 {
				to.Broadcast(quarantine.Encode(entries), repeatFanout)
			}
		}
	}
}

func (g *Guard) broadcastPending(ctx context.Context, to Broadcaster) {
	for more := true; more && ctx.Err() == nil; {
		var entries []quarantine.Entry
		entries, more = g.News(time.Now())
		if len(entries) == 0 {
			return
		}
		to.Broadcast(quarantine.Encode(entries), membership.All)
		time.Sleep(minBroadcastGap)
	}
}

// Heard takes in entries as a peer sent them.
func (g *Guard) Heard(peer string, entries []*pb.QuarantineEntry) {
	good, dropped := quarantine.Decode(entries)
	g.Learn(time.Now(), peer, good, dropped)
}
