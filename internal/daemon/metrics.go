package daemon

import "github.com/prometheus/client_golang/prometheus"

// Metrics is every counter of this process.
func (d *Daemon) Metrics() prometheus.Gatherer { return d.registry }
