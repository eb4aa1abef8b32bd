package node

import (
	"context"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/quarantine"
)

const (
	// quarantineGap is the least time between two words to all peers. The first one goes
	// out at once; in a storm of crashes one to 300 VMs is at most a megabyte a second.
	quarantineGap = 100 * time.Millisecond
	// repeatPeers is how many peers are told again each second what is known: over the fleet
	// each VM hears it about as often.
	repeatPeers = 2
	// quarantineList is how many entries a VM that starts is given: what is blocked and
	// suspected first.
	quarantineList = 128
)

// tellQuarantine tells all peers what is new of requests that crash upstreams. Its caller may
// come to any VM next.
func (n *Node) tellQuarantine(ctx context.Context) error {
	q := n.engine.Quarantine()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-q.Changed():
		}
		for more := true; more && ctx.Err() == nil; {
			var entries []quarantine.Entry
			entries, more = q.News(time.Now())
			if len(entries) > 0 {
				n.gossip.Tell(quarantine.Encode(entries), membership.All)
				time.Sleep(quarantineGap)
			}
		}
	}
}

// repeatQuarantine tells a few peers again what they may have missed.
func (n *Node) repeatQuarantine(now time.Time) {
	if entries := n.engine.Quarantine().Repeat(now); len(entries) > 0 {
		n.gossip.Tell(quarantine.Encode(entries), repeatPeers)
	}
}

// learnQuarantine takes in what a peer told.
func (n *Node) learnQuarantine(peer string, entries []*pb.QuarantineEntry) {
	good, dropped := quarantine.Decode(entries)
	n.engine.Quarantine().Learn(time.Now(), peer, good, dropped)
}

// quarantined is what a VM that starts is given.
func (n *Node) quarantined() []*pb.QuarantineEntry {
	return quarantine.Encode(n.engine.Quarantine().All(time.Now(), quarantineList))
}
