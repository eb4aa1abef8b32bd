package node

import (
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// storeMetrics counts what is read of the store and shows how far the view is.
type storeMetrics struct {
	reads *prometheus.CounterVec
	pulls *prometheus.CounterVec
	// pulled is bytes of peers' pages.
	pulled prometheus.Counter
	// pulledItems is items of these pages, each version of one counted.
	pulledItems prometheus.Counter
	pullSeconds prometheus.Histogram
	rejected    prometheus.Counter
	disproved   prometheus.Counter
	// below is answers of the store from before the known position.
	below *prometheus.CounterVec
}

// pullBuckets are seconds: from a round trip in a data centre to the time at which
// a change is due everywhere.
var pullBuckets = []float64{0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2}

func newStoreMetrics(reg prometheus.Registerer) *storeMetrics {
	f := promauto.With(reg)
	return &storeMetrics{
		reads: f.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_catalog_store_reads_total", Help: "Calls to the store by call and result.",
		}, []string{"call", "result"}),
		pulls: f.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_catalog_pulls_total", Help: "Pulls from peers by result.",
		}, []string{"result"}),
		pulled: f.NewCounter(prometheus.CounterOpts{
			Name: "sycamorekeel_catalog_pulled_bytes_total", Help: "Bytes of the pages that peers gave.",
		}),
		pulledItems: f.NewCounter(prometheus.CounterOpts{
			Name: "sycamorekeel_catalog_pulled_items_total", Help: "Items of the pages that peers gave, each version of one counted.",
		}),
		rejected: f.NewCounter(prometheus.CounterOpts{
			Name: "sycamorekeel_catalog_rejected_items_total", Help: "Versions of items that were not taken.",
		}),
		disproved: f.NewCounter(prometheus.CounterOpts{
			Name: "sycamorekeel_catalog_disproved_total", Help: "Revisions that peers gave and the store does not have.",
		}),
		below: f.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_catalog_below_known_total", Help: "Answers of the store from before the known position, by call.",
		}, []string{"call"}),
		pullSeconds: f.NewHistogram(prometheus.HistogramOpts{
			Name: "sycamorekeel_catalog_pull_seconds", Help: "Time of a pull from a peer, failed ones included.", Buckets: pullBuckets,
		}),
	}
}

// resultOf is the label of a call that ended with an error or without one.
func resultOf(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}

// pullResult is the label of a pull: a page that came and could not be read is told
// from one that did not come.
func pullResult(err error) string {
	if trace.IsBadParameter(err) {
		return "unreadable"
	}
	return resultOf(err)
}

// showState registers gauges of what the VM believes now.
func (n *Node) showState(reg prometheus.Registerer) {
	reg.MustRegister(n.engine)
	f := promauto.With(reg)
	gauge := func(name, help string, value func() float64) {
		f.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value)
	}
	gauge("sycamorekeel_catalog_revision", "Revision of the store that is in force.", func() float64 {
		if v := n.engine.View(); v != nil {
			return float64(v.Revision)
		}
		return 0
	})
	gauge("sycamorekeel_catalog_store_era", "Era that the store told this VM last, 0 for none.", func() float64 {
		return float64(n.reader.storeEra())
	})
	f.NewCounterFunc(prometheus.CounterOpts{
		Name: "sycamorekeel_catalog_disbelieved_claims_total", Help: "Claims of peers that were not followed, as the store had said otherwise.",
	}, func() float64 { return float64(n.reader.disbelieved()) })
	gauge("sycamorekeel_catalog_confirmed_age_seconds", "Time since the store last confirmed the view, here or at a peer.", func() float64 {
		return n.reader.confirmedAge(time.Now()).Seconds()
	})
	gauge("sycamorekeel_catalog_behind_revisions", "Revisions that the peer furthest ahead claims above the one in force.", func() float64 {
		return n.reader.behind()
	})
	gauge("sycamorekeel_catalog_reader", "1 while this VM reads the store for the others.", func() float64 {
		if n.reader.isReader() {
			return 1
		}
		return 0
	})
	gauge("sycamorekeel_catalog_upstreams", "Upstreams known.", func() float64 {
		if v := n.engine.View(); v != nil {
			return float64(len(v.Upstreams))
		}
		return 0
	})
	gauge("sycamorekeel_edge_in_flight", "Requests under way.", func() float64 { return float64(n.engine.InFlight()) })
	gauge("sycamorekeel_edge_caller_connections", "Open connections of callers.", func() float64 { return float64(n.callers.open.Load()) })
	gauge("sycamorekeel_edge_upstream_connections_opened", "Connections opened to the present upstreams.", func() float64 {
		return float64(n.engine.Opened())
	})
}
