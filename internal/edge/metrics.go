package edge

import (
	"github.com/prometheus/client_golang/prometheus"

	"sycamorekeel.example/sycamorekeel/internal/retrybudget"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
)

// answeredResult is the label of requests that got an answer.
const answeredResult = "answered"

// durationBuckets are the answer times in seconds that contracts speak of.
var durationBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 2, 4, 8, 15}

// Metrics counts what an engine does.
type Metrics struct {
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
	partial  prometheus.Counter
	sends    *prometheus.CounterVec
	replies  *prometheus.CounterVec
	budget   *prometheus.CounterVec
}

// NewMetrics registers the engine's metrics.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_edge_requests_total", Help: "Requests by how they ended.",
		}, []string{"result"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sycamorekeel_edge_request_seconds", Help: "Time from reading a request to its answer.", Buckets: durationBuckets,
		}, []string{"result"}),
		partial: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sycamorekeel_edge_partial_answers_total", Help: "Answers that left shards out.",
		}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_edge_sends_total", Help: "Sends to upstreams by cause.",
		}, []string{"cause"}),
		replies: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_edge_replies_total", Help: "How sends ended.",
		}, []string{"result"}),
		budget: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_edge_budget_refusals_total", Help: "Extra sends that the budget did not allow.",
		}, []string{"kind"}),
	}
	reg.MustRegister(m.requests, m.duration, m.partial, m.sends, m.replies, m.budget)
	return m
}

func (m *Metrics) ended(a *Answer) {
	result := answeredResult
	if a.Reason != "" {
		result = string(a.Reason)
	}
	m.requests.WithLabelValues(result).Inc()
	m.duration.WithLabelValues(result).Observe(a.Took.Seconds())
	if a.Missing > 0 && a.Reason == "" {
		m.partial.Inc()
	}
}

func (m *Metrics) sent(c scatter.Cause) { m.sends.WithLabelValues(string(c)).Inc() }

func (m *Metrics) reply(r scatter.Result) { m.replies.WithLabelValues(r.String()).Inc() }

func (m *Metrics) unspent(k retrybudget.Kind) { m.budget.WithLabelValues(k.String()).Inc() }
