package owner

import (
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

type metrics struct {
	refusals *prometheus.CounterVec
	calls    *prometheus.CounterVec
	extra    prometheus.Counter
	seconds  prometheus.Histogram
}

func newMetrics(r prometheus.Registerer) *metrics {
	f := promauto.With(r)
	return &metrics{
		refusals: f.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_owner_refusals_total",
			Help: "Sub-requests the owner did not run, by result.",
		}, []string{"result"}),
		calls: f.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_owner_calls_total",
			Help: "Requests sent to upstreams, by result.",
		}, []string{"result"}),
		extra: f.NewCounter(prometheus.CounterOpts{
			Name: "sycamorekeel_owner_extra_calls_total",
			Help: "Requests sent to upstreams that were hedges or retries.",
		}),
		seconds: f.NewHistogram(prometheus.HistogramOpts{
			Name:    "sycamorekeel_owner_call_seconds",
			Help:    "Time of a request at an upstream.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}),
	}
}

func (m *metrics) refused(r pb.Result) {
	m.refusals.WithLabelValues(label(r)).Inc()
}

func (m *metrics) ran(r pb.Result, extra bool, d time.Duration) {
	m.calls.WithLabelValues(label(r)).Inc()
	m.seconds.Observe(d.Seconds())
	if extra {
		m.extra.Inc()
	}
}

func label(r pb.Result) string {
	return strings.ToLower(r.String())
}
