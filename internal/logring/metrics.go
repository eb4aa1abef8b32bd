package logring

import "github.com/prometheus/client_golang/prometheus"

var droppedDesc = prometheus.NewDesc("sycamorekeel_log_lines_left_out_total",
	"Log lines left out because too many were written, by class.", []string{"class"}, nil)

// Describe implements prometheus.Collector.
func (r *Buffer) Describe(out chan<- *prometheus.Desc) { out <- droppedDesc }

// Collect implements prometheus.Collector.
func (r *Buffer) Collect(out chan<- prometheus.Metric) {
	for class := range numClasses {
		out <- prometheus.MustNewConstMetric(droppedDesc, prometheus.CounterValue, float64(r.Dropped(class)), class.String())
	}
}
