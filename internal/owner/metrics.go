package owner

import (
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"sycamorekeel.example/sycamorekeel/internal/dispatch"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

type metrics struct {
	refusals *prometheus.CounterVec
	// calls is indexed by result, so that a sub-request needs no label lookup.
	calls        [len(resultLabels)]prometheus.Counter
	extraCalls   prometheus.Counter
	callSeconds  prometheus.Histogram
	queueSeconds prometheus.Histogram
	duplicates   prometheus.Counter
	cancels      *prometheus.CounterVec
	probes       *prometheus.CounterVec
	pauses       prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	f := promauto.With(r)
	m := &metrics{
		refusals: f.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_owner_refusals_total",
			Help: "Sub-requests the owner did not run, by result and reason.",
		}, []string{"result", "reason"}),
		extraCalls: f.NewCounter(prometheus.CounterOpts{
			Name: "sycamorekeel_owner_extra_calls_total",
			Help: "Requests sent to upstreams that were hedges or retries.",
		}),
		callSeconds: f.NewHistogram(prometheus.HistogramOpts{
			Name:    "sycamorekeel_owner_call_seconds",
			Help:    "Time of a request at an upstream.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}),
		queueSeconds: f.NewHistogram(prometheus.HistogramOpts{
			Name:    "sycamorekeel_owner_queue_seconds",
			Help:    "Time a sub-request waited for a slot.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}),
		duplicates: f.NewCounter(prometheus.CounterOpts{
			Name: "sycamorekeel_owner_duplicates_total",
			Help: "Sub-requests that came again while the first was open, and were dropped.",
		}),
		cancels: f.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_owner_cancels_total",
			Help: "Cancellations, by what they met.",
		}, []string{"met"}),
		probes: f.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_owner_probes_total",
			Help: "Health probes sent to upstreams, by whether they were answered.",
		}, []string{"outcome"}),
		pauses: f.NewCounter(prometheus.CounterOpts{
			Name: "sycamorekeel_owner_pauses_total",
			Help: "Times this process did not run for long enough to distrust its queues.",
		}),
	}
	calls := f.NewCounterVec(prometheus.CounterOpts{
		Name: "sycamorekeel_owner_calls_total",
		Help: "Requests sent to upstreams, by result.",
	}, []string{"result"})
	for i, l := range resultLabels {
		m.calls[i] = calls.WithLabelValues(l)
	}
	return m
}

// Values of the label "met" of the cancellation counter: the state of the
// sub-request when its cancellation arrived. cancelNotSent is for those not in
// the queue whose cancellation is not sent to the upstream.
const (
	cancelledWaiting = "waiting"
	cancelledRunning = "running"
	cancelledNothing = "nothing"
	cancelNotSent    = "backlog"
)

func (m *metrics) countRefusal(r dispatch.Refusal) {
	m.refusals.WithLabelValues(resultLabels[r.Result], string(r.Reason)).Inc()
}

func (m *metrics) observeCall(r pb.Result, extra bool, waited, took time.Duration) {
	m.calls[r].Inc()
	m.queueSeconds.Observe(waited.Seconds())
	m.callSeconds.Observe(took.Seconds())
	if extra {
		m.extraCalls.Inc()
	}
}

// resultLabels holds the metric label of each result.
var resultLabels = func() (out [int(pb.Result_VM_STOPPING) + 1]string) {
	for i := range out {
		out[i] = strings.ToLower(pb.Result(i).String())
	}
	return out
}()
