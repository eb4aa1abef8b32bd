package query

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Metrics counts what queries send and discard.
type Metrics struct {
	requests  *prometheus.CounterVec
	after     *prometheus.CounterVec
	refused   *prometheus.CounterVec
	discarded *prometheus.CounterVec
	strays    *prometheus.CounterVec
}

// NewMetrics registers the counters.
func NewMetrics(r prometheus.Registerer) *Metrics {
	f := promauto.With(r)
	return &Metrics{
		requests: f.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_query_requests_total",
			Help: "Sub-requests sent, by cause: hedge, retry and restart are extra load.",
		}, []string{"cause"}),
		after: f.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_query_again_total",
			Help: "Retries and redirects, by the result that they follow.",
		}, []string{"cause", "result"}),
		refused: f.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_query_budget_refusals_total",
			Help: "Hedges and retries that the customer's budget refused.",
		}, []string{"cause"}),
		discarded: f.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_query_discarded_total",
			Help: "Answers thrown away: of another snapshot, malformed, or of a snapshot that retired under way.",
		}, []string{"reason"}),
		strays: f.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_query_stray_replies_total",
			Help: "Replies nobody waited for: late, duplicate, foreign, or the confirmation of a cancel.",
		}, []string{"reason"}),
	}
}

// strayKind is why nobody waits for a reply.
type strayKind string

const (
	late      strayKind = "late"
	duplicate strayKind = "duplicate"
	foreign   strayKind = "foreign"
	cancelled strayKind = "cancelled"
)

func (m *Metrics) stray(why strayKind) {
	m.strays.WithLabelValues(string(why)).Inc()
}

// finished adds a query's counts.
func (m *Metrics) finished(o *Outcome) {
	for c, n := range o.Tally.Sent {
		add(m.requests, n, Cause(c).String())
	}
	for c, n := range o.Tally.Refused {
		add(m.refused, n, Cause(c).String())
	}
	for k, n := range o.Tally.After {
		add(m.after, n, k.Cause.String(), label(k.Result))
	}
	add(m.discarded, o.Tally.WrongSnapshot, "wrong_snapshot")
	add(m.discarded, o.Tally.Malformed, "malformed")
	for i := range o.Restarts {
		add(m.discarded, o.Restarts[i].Discarded, "retired")
	}
}

func add(v *prometheus.CounterVec, n int, labels ...string) {
	if n > 0 {
		v.WithLabelValues(labels...).Add(float64(n))
	}
}
