package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/traffic"
)

// trafficLogInterval is the interval between log lines about traffic. The bytes that a
// VM counted after its last line before a crash are missing from the sum over a fleet's
// logs.
const trafficLogInterval = 5 * time.Second

// logTraffic periodically logs the traffic since the previous line, and once more when
// ctx is done.
func (d *Daemon) logTraffic(ctx context.Context) error {
	t := time.NewTicker(trafficLogInterval)
	defer t.Stop()
	var logged traffic.Counts
	for {
		select {
		case <-ctx.Done():
			d.logTrafficSince(logged)
			return nil
		case <-t.C:
			logged = d.logTrafficSince(logged)
		}
	}
}

// logTrafficSince logs the traffic above the counts in previous and returns the current
// counts.
func (d *Daemon) logTrafficSince(previous traffic.Counts) traffic.Counts {
	counts := d.traffic.Counts()
	d.log.Info(traffic.Message, zap.Bool(traffic.FieldCarrying, d.carrying.Load()), zap.Inline(counts.Sub(previous)))
	return counts
}
