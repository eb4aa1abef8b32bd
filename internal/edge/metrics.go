package edge

import (
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/poison"
	"sycamorekeel.example/sycamorekeel/internal/replica"
	"sycamorekeel.example/sycamorekeel/internal/responsecheck"
	"sycamorekeel.example/sycamorekeel/internal/retrybudget"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
)

// answeredResult is the label value of requests that got an answer.
const answeredResult = "answered"

// durationBuckets holds the answer times in seconds that service objectives use.
var durationBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 2, 4, 8, 15}

// Metrics holds the metrics of an engine.
type Metrics struct {
	requests       *prometheus.CounterVec
	duration       *prometheus.HistogramVec
	partial        prometheus.Counter
	sends          *prometheus.CounterVec
	replies        *prometheus.CounterVec
	budgetRefusals *prometheus.CounterVec
	sendsHeld      *prometheus.CounterVec
	forgone        *prometheus.CounterVec
	stages         stageTimes
	health         *prometheus.CounterVec
	admission      admissionMetrics
	poison         *poison.Metrics
	// bodiesAborted counts responses given up for lack of memory.
	bodiesAborted prometheus.Counter
	// malformed counts malformed responses by the rule that they break.
	malformed *prometheus.CounterVec
}

// admissionMetrics counts what became of queries at the limit of their shards.
type admissionMetrics struct {
	waits, refusals, returning *prometheus.CounterVec
}

func newAdmissionMetrics(reg prometheus.Registerer) admissionMetrics {
	m := admissionMetrics{
		waits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_edge_admission_waits_total", Help: "Queries that waited for a place under the limit of their shards, by outcome.",
		}, []string{"outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_edge_admission_refusals_total", Help: "Queries refused for congestion, by class.",
		}, []string{"class"}),
		returning: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_edge_admission_returning_total", Help: "Queries admitted whose callers returned after a refusal, by class.",
		}, []string{"class"}),
	}
	reg.MustRegister(m.waits, m.refusals, m.returning)
	return m
}

// className returns the label of a priority class.
func className(p pb.Priority) string { return strings.ToLower(p.String()) }

func (m *Metrics) admissionRefused(p pb.Priority) {
	m.admission.refusals.WithLabelValues(className(p)).Inc()
}

func (m *Metrics) returningAdmitted(p pb.Priority) {
	m.admission.returning.WithLabelValues(className(p)).Inc()
}

// waitEnded counts the wait of a query for a place.
func (m *Metrics) waitEnded(o waitOutcome) { m.admission.waits.WithLabelValues(string(o)).Inc() }

// stageTimes holds one histogram for each stage.
type stageTimes struct {
	plan, resend, connect, upstream, finish prometheus.Observer
}

func newStageTimes(reg prometheus.Registerer) stageTimes {
	v := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "sycamorekeel_edge_stage_seconds", Help: "Where the time of answered requests went, on the path of the last reply.", Buckets: durationBuckets,
	}, []string{"stage"})
	reg.MustRegister(v)
	return stageTimes{
		plan:     v.WithLabelValues("plan"),
		resend:   v.WithLabelValues("resend"),
		connect:  v.WithLabelValues("connect"),
		upstream: v.WithLabelValues("upstream"),
		finish:   v.WithLabelValues("finish"),
	}
}

func (t *stageTimes) observe(s *Stages) {
	t.plan.Observe(s.Plan.Seconds())
	t.resend.Observe(s.Resend.Seconds())
	t.connect.Observe(s.Connect.Seconds())
	t.upstream.Observe(s.Upstream.Seconds())
	t.finish.Observe(s.Finish.Seconds())
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
		budgetRefusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_edge_budget_refusals_total", Help: "Extra sends that the budget did not allow.",
		}, []string{"kind"}),
	}
	m.sendsHeld = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sycamorekeel_edge_sends_held_total", Help: "Sends that waited because of the limit on the open sends of their class.",
	}, []string{"priority"})
	m.forgone = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sycamorekeel_edge_hedges_forgone_total", Help: "Parts with a hedge that was due and not made at that time, by reason.",
	}, []string{"reason"})
	m.health = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sycamorekeel_edge_health_checks_total", Help: "Health checks of upstreams that may be cold, on new connections and on their own, by result.",
	}, []string{"result"})
	m.bodiesAborted = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "sycamorekeel_edge_bodies_aborted_total", Help: "Responses of upstreams given up because the bodies of all together took too much memory.",
	})
	m.malformed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sycamorekeel_edge_malformed_responses_total", Help: "Responses of upstreams, health checks included, that are no HTTP responses, by the rule that they break.",
	}, []string{"rule"})
	m.stages = newStageTimes(reg)
	m.admission = newAdmissionMetrics(reg)
	m.poison = poison.NewMetrics(reg)
	reg.MustRegister(m.requests, m.duration, m.partial, m.sends, m.replies, m.budgetRefusals, m.sendsHeld, m.forgone, m.health, m.bodiesAborted, m.malformed)
	return m
}

func (m *Metrics) requestEnded(a *Answer) {
	result := answeredResult
	if a.Reason != "" {
		result = string(a.Reason)
	}
	m.requests.WithLabelValues(result).Inc()
	m.duration.WithLabelValues(result).Observe(a.Elapsed.Seconds())
	for reason, n := range a.Hedging.Forgone {
		if n > 0 {
			m.forgone.WithLabelValues(scatter.Forgone(reason).String()).Add(float64(n))
		}
	}
	if a.Reason == "" {
		m.stages.observe(&a.Stages)
	}
	if a.Missing > 0 && a.Reason == "" {
		m.partial.Inc()
	}
}

func (m *Metrics) sent(c scatter.Cause) { m.sends.WithLabelValues(string(c)).Inc() }

func (m *Metrics) sendEnded(r scatter.Result) { m.replies.WithLabelValues(r.String()).Inc() }

// healthChecked counts a health check as failed if err is not nil.
func (m *Metrics) healthChecked(err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.health.WithLabelValues(result).Inc()
}

func (m *Metrics) responseMalformed(broken responsecheck.Rule) {
	m.malformed.WithLabelValues(string(broken)).Inc()
}

func (m *Metrics) budgetRefused(k retrybudget.Kind) {
	m.budgetRefusals.WithLabelValues(k.String()).Inc()
}

// sendHeld counts a send of a class that waited because of the limit of the class.
func (m *Metrics) sendHeld(priority int) {
	m.sendsHeld.WithLabelValues(strconv.Itoa(priority)).Inc()
}

var (
	admissionLimit = prometheus.NewDesc("sycamorekeel_edge_admission_limit",
		"Limit on the concurrent queries of a class on this VM, by the first shard of their route; class normal uses 0.9 of it, low 0.7.", []string{"service", "class"}, nil)
	budgetLeft = prometheus.NewDesc("sycamorekeel_edge_budget_left",
		"Extra sends to a service that the retry budget allows this VM now.", []string{"service", "kind"}, nil)
	sendLimits = prometheus.NewDesc("sycamorekeel_edge_send_limits",
		"Upstreams with a limit in force on the open sends of a class, by the priority of its routes.", []string{"priority"}, nil)
	upstreamStates = prometheus.NewDesc("sycamorekeel_edge_upstreams",
		"Upstreams by what they count as.", []string{"state"}, nil)
	upstreamState = prometheus.NewDesc("sycamorekeel_edge_upstream_state",
		"1 for each upstream that is not usable, with what it counts as.", []string{"upstream", "service", "state"}, nil)
)

// Describe implements prometheus.Collector.
func (e *Engine) Describe(out chan<- *prometheus.Desc) {
	out <- admissionLimit
	out <- budgetLeft
	out <- sendLimits
	out <- upstreamStates
	out <- upstreamState
	e.poison.Describe(out)
}

// Collect implements prometheus.Collector. It computes the budgets and the states of
// upstreams on each scrape.
func (e *Engine) Collect(out chan<- prometheus.Metric) {
	for _, m := range e.gauges(e.now()) {
		out <- m
	}
	e.poison.Collect(out)
}

func (e *Engine) gauges(now time.Time) []prometheus.Metric {
	gauge := func(d *prometheus.Desc, value float64, labels ...string) prometheus.Metric {
		return prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	var out []prometheus.Metric
	for class, n := range e.pools.Limited(now) {
		out = append(out, gauge(sendLimits, float64(n), strconv.Itoa(class)))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for service, b := range e.budgets {
		for _, kind := range retrybudget.Kinds {
			out = append(out, gauge(budgetLeft, max(0, b.Remaining(now, kind)), service, kind.String()))
		}
	}
	for service, g := range e.limiters {
		g.Limits(func(p pb.Priority, limit float64) {
			out = append(out, gauge(admissionLimit, limit, service, className(p)))
		})
	}
	count := e.replicas.Count()
	for _, state := range replica.States {
		out = append(out, gauge(upstreamStates, float64(count[state]), state.String()))
	}
	for id, state := range e.replicas.Unhealthy() {
		out = append(out, gauge(upstreamState, 1, id, e.serviceOf(id), state.String()))
	}
	return out
}

// serviceOf returns the service of an upstream, or "" if the upstream is not in the current
// view.
func (e *Engine) serviceOf(upstream string) string {
	if v := e.view.Load(); v != nil && v.Upstreams[upstream] != nil {
		return v.Upstreams[upstream].Service
	}
	return ""
}
