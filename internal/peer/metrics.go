package peer

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

type metrics struct {
	frames  prometheus.Counter
	batches prometheus.Counter
	lost    prometheus.Counter
	stalled prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	f := promauto.With(r)
	return &metrics{
		frames:  f.NewCounter(prometheus.CounterOpts{Name: "sycamorekeel_peer_frames_total", Help: "Frames sent to peers."}),
		batches: f.NewCounter(prometheus.CounterOpts{Name: "sycamorekeel_peer_batches_total", Help: "Batches sent to peers."}),
		lost:    f.NewCounter(prometheus.CounterOpts{Name: "sycamorekeel_peer_streams_lost_total", Help: "Streams to peers that ended."}),
		stalled: f.NewCounter(prometheus.CounterOpts{Name: "sycamorekeel_peer_streams_stalled_total", Help: "Streams given up because the peer was silent though asked."}),
	}
}

func (m *metrics) sent(frames int) {
	m.batches.Inc()
	m.frames.Add(float64(frames))
}
