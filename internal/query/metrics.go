package query

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Metrics counts the sub-requests that queries send and the replies that they discard.
type Metrics struct {
	requests     *prometheus.CounterVec
	resends      *prometheus.CounterVec
	budgetDenied *prometheus.CounterVec
	discarded    *prometheus.CounterVec
	strayReplies *prometheus.CounterVec
}

// NewMetrics registers the counters with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	f := promauto.With(r)
	return &Metrics{
		requests: f.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_query_requests_total",
			Help: "Sub-requests sent, by cause: hedge, retry and restart are extra load.",
		}, []string{"cause"}),
		resends: f.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_query_again_total",
			Help: "Retries and redirects, by the result that they follow.",
		}, []string{"cause", "result"}),
		budgetDenied: f.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_query_budget_refusals_total",
			Help: "Hedges and retries that the customer's budget refused.",
		}, []string{"cause"}),
		discarded: f.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_query_discarded_total",
			Help: "Answers thrown away: of another snapshot, malformed, or of a snapshot that retired under way.",
		}, []string{"reason"}),
		strayReplies: f.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_query_stray_replies_total",
			Help: "Replies nobody waited for: late, duplicate, foreign, or the confirmation of a cancel.",
		}, []string{"reason"}),
	}
}

// strayKind is why no query awaits a reply.
type strayKind string

const (
	strayLate      strayKind = "late"
	strayDuplicate strayKind = "duplicate"
	strayForeign   strayKind = "foreign"
	strayCancelled strayKind = "cancelled"
)

func (m *Metrics) countStray(kind strayKind) {
	m.strayReplies.WithLabelValues(string(kind)).Inc()
}

// countQuery adds the counts of a finished query.
func (m *Metrics) countQuery(o *Outcome) {
	for c, n := range o.Stats.Sent {
		add(m.requests, n, Cause(c).String())
	}
	for c, n := range o.Stats.BudgetDenied {
		add(m.budgetDenied, n, Cause(c).String())
	}
	for k, n := range o.Stats.Resends {
		add(m.resends, n, k.Cause.String(), resultLabel(k.Result))
	}
	add(m.discarded, o.Stats.WrongSnapshot, "wrong_snapshot")
	add(m.discarded, o.Stats.Malformed, "malformed")
	for i := range o.Restarts {
		add(m.discarded, o.Restarts[i].Discarded, "retired")
	}
}

func add(v *prometheus.CounterVec, n int, labels ...string) {
	if n > 0 {
		v.WithLabelValues(labels...).Add(float64(n))
	}
}
