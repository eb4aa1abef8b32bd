package logring

import "github.com/prometheus/client_golang/prometheus"

var leftOut = prometheus.NewDesc("sycamorekeel_log_lines_left_out_total",
	"Log lines left out because too many were written, by class.", []string{"class"}, nil)

// Describe implements prometheus.Collector.
func (r *Ring) Describe(out chan<- *prometheus.Desc) { out <- leftOut }

// Collect implements prometheus.Collector.
func (r *Ring) Collect(out chan<- prometheus.Metric) {
	for class := range classes {
		out <- prometheus.MustNewConstMetric(leftOut, prometheus.CounterValue, float64(r.Dropped(class)), class.String())
	}
}
