package edge

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/locality"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
)

// upstreamTraffic counts what is exchanged with upstreams by how far they are, and notes whose
// connections end. It implements direct.Counter.
type upstreamTraffic struct {
	meter  *traffic.Meter
	place  locality.Place
	warmth *warmth
}

// Ended implements direct.Counter.
func (t upstreamTraffic) Ended(u *catalog.Upstream) { t.warmth.doubt(time.Now(), u) }

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
