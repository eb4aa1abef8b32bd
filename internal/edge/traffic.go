package edge

import (
	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/locality"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
)

// upstreamTraffic counts what is exchanged with upstreams by how far they are. It
// implements direct.Counter.
type upstreamTraffic struct {
	meter *traffic.Meter
	place locality.Place
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
