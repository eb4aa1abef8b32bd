package node

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/httpserver"
)

// connStalled is the event of a connection that was closed because its client acknowledged nothing.
const connStalled httpserver.ConnEvent = "stalled"

// connEvents counts the connections that the servers have closed by themselves, and logs how many
// since the last line: a line for each would grow with the number of clients.
type connEvents struct {
	log     *zap.Logger
	counter *prometheus.CounterVec

	mu sync.Mutex
	// unlogged counts by server and event.
	unlogged map[connEvent]int
}

type connEvent struct {
	server string
	event  httpserver.ConnEvent
}

func newConnEvents(log *zap.Logger, reg prometheus.Registerer) *connEvents {
	return &connEvents{log: log, unlogged: map[connEvent]int{}, counter: promauto.With(reg).NewCounterVec(prometheus.CounterOpts{
		Name: "sycamorekeel_edge_connections_closed_total", Help: "Connections that a server closed to keep its limits, by server and event.",
	}, []string{"server", "event"})}
}

func (c *connEvents) count(server string, event httpserver.ConnEvent) {
	c.counter.WithLabelValues(server, string(event)).Inc()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unlogged[connEvent{server, event}]++
}

// logNew logs how many connections were closed since the last call, a line for each server and
// event.
func (c *connEvents) logNew() {
	c.mu.Lock()
	unlogged := c.unlogged
	if len(unlogged) > 0 {
		c.unlogged = map[connEvent]int{}
	}
	c.mu.Unlock()
	for e, n := range unlogged {
		c.log.Warn("node: connections closed to keep the limits", zap.String("server", e.server), zap.String("event", string(e.event)), zap.Int("count", n))
	}
}
