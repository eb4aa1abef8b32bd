package node

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/edge"
	"sycamorekeel.example/sycamorekeel/internal/httpserver"
)

// maxLoggedRequests limits the lines about requests that are open when the VM stops.
const maxLoggedRequests = 32

// logOpenRequests logs the requests that are being answered, the oldest first. The first line
// counts them all.
func (d *Daemon) logOpenRequests() {
	now := time.Now()
	open := d.callerConns.Answering()
	slices.SortFunc(open, func(a, b httpserver.Answering[*edge.Request]) int { return a.Since.Compare(b.Since) })
	d.log.Warn("node: stopped with requests in flight",
		zap.Int("in_flight", len(open)), zap.Int("connections", d.callerConns.Len()), zap.Int("left_out", max(0, len(open)-maxLoggedRequests)))
	for _, a := range open[:min(len(open), maxLoggedRequests)] {
		p := a.Request.Progress(now)
		d.log.Warn("node: request in flight",
			zap.String("request", p.ID), zap.String("route", p.Route), zap.Duration("age", p.Age), zap.String("stage", string(p.Stage)),
			zap.Strings("upstreams", p.Upstreams), zap.Bool("sent", p.Sent), zap.Int("written", a.Written))
	}
	// The process may be killed before the lines would be written otherwise.
	_ = d.log.Sync()
}
