package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/traffic"
)

// trafficEvery is how often the bytes exchanged are logged: what a VM that is lost had
// counted since its last line is missing from the sum of a fleet's logs.
const trafficEvery = 5 * time.Second

// logTraffic logs now and then what was exchanged since the last time.
func (n *Node) logTraffic(ctx context.Context) error {
	t := time.NewTicker(trafficEvery)
	defer t.Stop()
	var told traffic.Counts
	for {
		select {
		case <-ctx.Done():
			n.tellTraffic(told)
			return nil
		case <-t.C:
			told = n.tellTraffic(told)
		}
	}
}

// tellTraffic logs what was exchanged above what was told before.
func (n *Node) tellTraffic(told traffic.Counts) traffic.Counts {
	counts := n.traffic.Counts()
	n.log.Info(traffic.Message, zap.Bool(traffic.FieldCarrying, n.carrying.Load()), zap.Inline(counts.Minus(told)))
	return counts
}
