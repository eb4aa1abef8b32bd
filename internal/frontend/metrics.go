package frontend

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/query"
	"sycamorekeel.example/sycamorekeel/internal/refusal"
)

type metrics struct {
	refusals *prometheus.CounterVec
	answers  *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	coverage *prometheus.HistogramVec
	missing  *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	f := promauto.With(r)
	return &metrics{
		refusals: f.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_frontend_refusals_total",
			Help: "Requests refused, by reason and by whether they ran.",
		}, []string{"reason", "ran"}),
		answers: f.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_frontend_answers_total",
			Help: "Requests answered, by customer and kind.",
		}, []string{"customer", "kind"}),
		seconds: f.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "sycamorekeel_frontend_answer_seconds",
			Help:    "Time of an answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 1.6, 18),
		}, []string{"customer", "kind"}),
		coverage: f.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "sycamorekeel_frontend_answer_coverage",
			Help:    "Share of the documents an answer covers.",
			Buckets: []float64{0.5, 0.8, 0.9, 0.95, 0.99, 0.999, 1},
		}, []string{"customer", "kind"}),
		missing: f.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_query_missing_shards_total",
			Help: "Shards without an answer, by reason.",
		}, []string{"reason"}),
	}
}

func (m *metrics) countRefusal(e *refusal.Error) {
	m.refusals.WithLabelValues(string(e.Reason), string(e.Ran)).Inc()
}

func (m *metrics) countAnswer(k *contract.Kind, d time.Duration, coverage float64) {
	m.answers.WithLabelValues(k.Customer, k.Name).Inc()
	m.seconds.WithLabelValues(k.Customer, k.Name).Observe(d.Seconds())
	m.coverage.WithLabelValues(k.Customer, k.Name).Observe(coverage)
}

func (m *metrics) countMissing(o *query.Outcome) {
	for _, s := range o.Shards {
		if s.Missing != "" {
			m.missing.WithLabelValues(string(s.Missing)).Inc()
		}
	}
}
