package edge

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/connpool"
	"sycamorekeel.example/sycamorekeel/internal/locality"
	"sycamorekeel.example/sycamorekeel/internal/responsecheck"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
)

// upstreamObserver counts the traffic with upstreams by distance, and passes on signs that
// an upstream has restarted. It implements connpool.Observer.
type upstreamObserver struct {
	meter  *traffic.Meter
	place  locality.Place
	engine *Engine
}

// ConnectionEnded implements connpool.Observer.
func (o upstreamObserver) ConnectionEnded(u *catalog.Upstream) {
	o.engine.warmups.suspectRestart(time.Now(), u)
}

// ResponseMalformed implements connpool.Observer.
func (o upstreamObserver) ResponseMalformed(broken responsecheck.Rule) {
	o.engine.opts.Metrics.responseMalformed(broken)
}

// HealthPath implements connpool.Observer. New connections to upstreams that sustain few
// requests while cold check their health first.
func (o upstreamObserver) HealthPath(u *catalog.Upstream) string {
	v := o.engine.View()
	if v == nil {
		return ""
	}
	s, limited := o.engine.coldLimitedService(v, u.Service)
	if !limited {
		return ""
	}
	return s.HealthPath
}

// HealthChecked implements connpool.Observer.
func (o upstreamObserver) HealthChecked(u *catalog.Upstream, begun time.Time, h connpool.Health, err error) {
	o.engine.healthAnswered(u, begun, h, err)
}

// HealthBytes implements connpool.Observer.
func (o upstreamObserver) HealthBytes(u *catalog.Upstream, bytes int) {
	o.meter.Add(traffic.Health, o.place.Distance(u.DataCentre), bytes)
}

// ConnectionOpened implements connpool.Observer.
func (o upstreamObserver) ConnectionOpened(u *catalog.Upstream) {
	o.meter.Opened(o.place.Distance(u.DataCentre))
}

// Sent implements connpool.Observer.
func (o upstreamObserver) Sent(u *catalog.Upstream, extra bool, bytes int) {
	purpose := traffic.Part
	if extra {
		purpose = traffic.Extra
	}
	o.meter.Add(purpose, o.place.Distance(u.DataCentre), bytes)
}
