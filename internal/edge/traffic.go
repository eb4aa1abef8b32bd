package edge

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/direct"
	"sycamorekeel.example/sycamorekeel/internal/locality"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
)

// upstreamTraffic counts what is exchanged with upstreams by how far they are, and notes what
// connections show of new starts. It implements direct.Counter.
type upstreamTraffic struct {
	meter  *traffic.Meter
	place  locality.Place
	engine *Engine
}

// Ended implements direct.Counter.
func (t upstreamTraffic) Ended(u *catalog.Upstream) { t.engine.warmth.doubt(time.Now(), u) }

// HealthPath implements direct.Counter: connections to upstreams that bear little while they
// are cold ask first.
func (t upstreamTraffic) HealthPath(u *catalog.Upstream) string {
	v := t.engine.View()
	if v == nil {
		return ""
	}
	s, bound := t.engine.coldBound(v, u.Service)
	if !bound {
		return ""
	}
	return s.HealthPath
}

// Healthy implements direct.Counter.
func (t upstreamTraffic) Healthy(u *catalog.Upstream, begun time.Time, h direct.Health) {
	t.engine.healthy(u, begun, h)
}

// Opened implements direct.Counter.
func (t upstreamTraffic) Opened(u *catalog.Upstream) {
	t.meter.Opened(t.place.Distance(u.DataCentre))
}

// Sent implements direct.Counter.
func (t upstreamTraffic) Sent(u *catalog.Upstream, extra bool, bytes int) {
	purpose := traffic.Part
	if extra {
		purpose = traffic.Extra
	}
	t.meter.Add(purpose, t.place.Distance(u.DataCentre), bytes)
}
