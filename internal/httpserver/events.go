package httpserver

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/bodylimit"
)

// ConnStalled is the event of a connection that was closed because its client acknowledged nothing.
const ConnStalled ConnEvent = "stalled"

// ConnEvents counts the connections that servers have closed by themselves, and logs how many: a line
// for each would grow with the number of clients.
type ConnEvents struct {
	log     *zap.Logger
	counter *prometheus.CounterVec

	mu       sync.Mutex
	unlogged map[connEvent]int
}

type connEvent struct {
	server string
	event  ConnEvent
}

// NewConnEvents returns a counter that is registered as a metric.
func NewConnEvents(log *zap.Logger, reg prometheus.Registerer) *ConnEvents {
	return &ConnEvents{log: log, unlogged: map[connEvent]int{}, counter: promauto.With(reg).NewCounterVec(prometheus.CounterOpts{
		Name: "sycamorekeel_connections_closed_total", Help: "Connections that a server closed to keep its limits, by server and event.",
	}, []string{"server", "event"})}
}

// Count counts an event at a server.
func (c *ConnEvents) Count(server string, event ConnEvent) {
	c.counter.WithLabelValues(server, string(event)).Inc()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unlogged[connEvent{server, event}]++
}

// Log logs how many events there were since the last call, a line for each server and event. It must
// be called about once a second.
func (c *ConnEvents) Log() {
	c.mu.Lock()
	unlogged := c.unlogged
	if len(unlogged) > 0 {
		c.unlogged = map[connEvent]int{}
	}
	c.mu.Unlock()
	for e, n := range unlogged {
		c.log.Warn("http: connections closed to keep the limits", zap.String("server", e.server), zap.String("event", string(e.event)), zap.Int("count", n))
	}
}

// NewCallerBodies returns the limit in bytes on the request bodies of all callers, with its metrics.
func NewCallerBodies(limit int, reg prometheus.Registerer) *bodylimit.Memory {
	f := promauto.With(reg)
	aborted := f.NewCounter(prometheus.CounterOpts{
		Name: "sycamorekeel_caller_bodies_aborted_total", Help: "Request bodies of callers given up because all together took too much memory.",
	})
	memory := bodylimit.NewMemory(limit, aborted.Inc)
	memory.ForClients()
	f.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "sycamorekeel_caller_body_bytes", Help: "Memory that request bodies of callers take.",
	}, func() float64 { return float64(memory.Used()) })
	return memory
}
