package node

import (
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// catalogMetrics holds the metrics of reads from the store and pulls from peers.
type catalogMetrics struct {
	reads *prometheus.CounterVec
	pulls *prometheus.CounterVec
	// pulledBytes counts the bytes of the pages received from peers.
	pulledBytes prometheus.Counter
	// pulledItems counts the items of these pages; each version of an item counts.
	pulledItems prometheus.Counter
	pullSeconds prometheus.Histogram
	rejected    prometheus.Counter
	// largeReads counts answers of the store that turned out to be large, leftOut the items that
	// were left out of listings, and refusedPages the pages that were not sent.
	largeReads   prometheus.Counter
	leftOut      prometheus.Counter
	refusedPages prometheus.Counter
	disproved    prometheus.Counter
	// belowKnown counts store answers from before the known position, by call.
	belowKnown *prometheus.CounterVec
}

// pullBuckets are in seconds, from a round trip in a data centre to the time within
// which a change must be in force everywhere.
var pullBuckets = []float64{0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2}

func newCatalogMetrics(reg prometheus.Registerer) *catalogMetrics {
	f := promauto.With(reg)
	return &catalogMetrics{
		reads: f.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_catalog_store_reads_total", Help: "Calls to the store by call and result.",
		}, []string{"call", "result"}),
		pulls: f.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_catalog_pulls_total", Help: "Pulls from peers by result.",
		}, []string{"result"}),
		pulledBytes: f.NewCounter(prometheus.CounterOpts{
			Name: "sycamorekeel_catalog_pulled_bytes_total", Help: "Bytes of the pages that peers gave.",
		}),
		pulledItems: f.NewCounter(prometheus.CounterOpts{
			Name: "sycamorekeel_catalog_pulled_items_total", Help: "Items of the pages that peers gave, each version of one counted.",
		}),
		rejected: f.NewCounter(prometheus.CounterOpts{
			Name: "sycamorekeel_catalog_rejected_items_total", Help: "Versions of items that were not taken.",
		}),
		largeReads: f.NewCounter(prometheus.CounterOpts{
			Name: "sycamorekeel_catalog_large_reads_total", Help: "Answers of the store that turned out to be large while they were read.",
		}),
		leftOut: f.NewCounter(prometheus.CounterOpts{
			Name: "sycamorekeel_catalog_left_out_items_total", Help: "Items that were left out of listings because the published items exceed their memory.",
		}),
		refusedPages: f.NewCounter(prometheus.CounterOpts{
			Name: "sycamorekeel_catalog_refused_pages_total", Help: "Pages that peers did not get because others were still being sent.",
		}),
		disproved: f.NewCounter(prometheus.CounterOpts{
			Name: "sycamorekeel_catalog_disproved_total", Help: "Revisions that peers gave and the store does not have.",
		}),
		belowKnown: f.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_catalog_below_known_total", Help: "Answers of the store from before the known position, by call.",
		}, []string{"call"}),
		pullSeconds: f.NewHistogram(prometheus.HistogramOpts{
			Name: "sycamorekeel_catalog_pull_seconds", Help: "Time of a pull from a peer, failed ones included.", Buckets: pullBuckets,
		}),
	}
}

func newCallerStalls(reg prometheus.Registerer) prometheus.Counter {
	return promauto.With(reg).NewCounter(prometheus.CounterOpts{
		Name: "sycamorekeel_edge_caller_stalls_total", Help: "Connections closed because their caller acknowledged nothing of a response.",
	})
}

// resultLabel returns the result label of a call that ended with err.
func resultLabel(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}

// pullResultLabel returns the result label of a pull. It distinguishes a page that
// could not be decoded from a page that did not arrive.
func pullResultLabel(err error) string {
	if trace.IsBadParameter(err) {
		return "unreadable"
	}
	return resultLabel(err)
}

// registerGauges registers the engine's metrics and the metrics that are computed from
// the daemon's current state.
func (d *Daemon) registerGauges(reg prometheus.Registerer) {
	reg.MustRegister(d.engine)
	f := promauto.With(reg)
	gauge := func(name, help string, value func() float64) {
		f.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value)
	}
	gauge("sycamorekeel_catalog_revision", "Revision of the store that is in force.", func() float64 {
		if v := d.engine.View(); v != nil {
			return float64(v.Revision)
		}
		return 0
	})
	gauge("sycamorekeel_catalog_store_era", "Era that the store told this VM last, 0 for none.", func() float64 {
		return float64(d.syncer.storeEra())
	})
	f.NewCounterFunc(prometheus.CounterOpts{
		Name: "sycamorekeel_catalog_disbelieved_claims_total", Help: "Claims of peers that were not followed, as the store had said otherwise.",
	}, func() float64 { return float64(d.syncer.ignoredClaims()) })
	gauge("sycamorekeel_catalog_confirmed_age_seconds", "Time since the store last confirmed the view, here or at a peer.", func() float64 {
		return d.syncer.confirmedAge(time.Now()).Seconds()
	})
	gauge("sycamorekeel_catalog_behind_revisions", "Revisions that the peer furthest ahead claims above the one in force.", func() float64 {
		return d.syncer.revisionsBehind()
	})
	gauge("sycamorekeel_catalog_reader", "1 while this VM reads the store for the others.", func() float64 {
		if d.syncer.isReader() {
			return 1
		}
		return 0
	})
	gauge("sycamorekeel_catalog_upstreams", "Upstreams known.", func() float64 {
		if v := d.engine.View(); v != nil {
			return float64(len(v.Upstreams))
		}
		return 0
	})
	gauge("sycamorekeel_edge_in_flight", "Requests under way.", func() float64 { return float64(d.engine.InFlight()) })
	gauge("sycamorekeel_edge_caller_connections", "Open connections of callers.", func() float64 { return float64(d.callerConns.Len()) })
	gauge("sycamorekeel_edge_upstream_connections_opened", "Connections opened to the present upstreams.", func() float64 {
		return float64(d.engine.ConnectionsOpened())
	})
}
