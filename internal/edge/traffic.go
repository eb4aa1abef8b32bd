package edge

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/direct"
	"sycamorekeel.example/sycamorekeel/internal/locality"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
)

// upstreamObserver counts what is exchanged with upstreams by how far they are, and notes what
// connections show of new starts. It implements direct.Observer.
type upstreamObserver struct {
	meter  *traffic.Meter
	place  locality.Place
	engine *Engine
}

// Ended implements direct.Observer.
func (t upstreamObserver) Ended(u *catalog.Upstream) { t.engine.warmth.doubt(time.Now(), u) }

// HealthPath implements direct.Observer: connections to upstreams that bear little while they
// are cold ask first.
func (t upstreamObserver) HealthPath(u *catalog.Upstream) string {
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

// HealthAnswered implements direct.Observer.
func (t upstreamObserver) HealthAnswered(u *catalog.Upstream, begun time.Time, h direct.Health, err error) {
	t.engine.healthAnswered(u, begun, h, err)
}

// HealthBytes implements direct.Observer.
func (t upstreamObserver) HealthBytes(u *catalog.Upstream, bytes int) {
	t.meter.Add(traffic.Health, t.place.Distance(u.DataCentre), bytes)
}

// Opened implements direct.Observer.
func (t upstreamObserver) Opened(u *catalog.Upstream) {
	t.meter.Opened(t.place.Distance(u.DataCentre))
}

// Sent implements direct.Observer.
func (t upstreamObserver) Sent(u *catalog.Upstream, extra bool, bytes int) {
	purpose := traffic.Part
	if extra {
		purpose = traffic.Extra
	}
	t.meter.Add(purpose, t.place.Distance(u.DataCentre), bytes)
}
