package daemon

import "github.com/prometheus/client_golang/prometheus"

// Metrics returns the registry of all metrics of this process.
func (d *Daemon) Metrics() prometheus.Gatherer { return d.registry }
