package upstream

import (
	"errors"
	"net"
	"sync/atomic"

	"sycamorekeel.example/sycamorekeel/internal/responsecheck"
	"sycamorekeel.example/sycamorekeel/internal/sockpeek"
)

// errClosedIdle says that the upstream closed a connection between two requests.
var errClosedIdle = errors.New("the upstream closed the connection while it was idle")

// countedConn decrements the gauge of open connections once when it is closed.
// Before it writes the first bytes of a request, it checks whether the upstream has
// closed the connection in the meantime, or sent bytes that belong to no request.
//
// Without the check, a request written to a closed connection gets no reply, and
// since bytes were sent its outcome is unknown although nothing can have run. This
// happened after restarts of upstreams. A close that has not yet arrived is not
// detected, and the outcome is still unknown then.
type countedConn struct {
	net.Conn
	metrics *Metrics
	// responses checks what Read returns.
	responses *responsecheck.Reader
	closed    atomic.Bool
	// idle is set by reading a reply and cleared by writing the next request.
	idle bool
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	c.idle = true
	return c.responses.Read(b)
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	if c.idle && (sockpeek.Look(c.Conn) != sockpeek.Idle || !c.responses.BetweenResponses()) {
		return 0, &dialError{errClosedIdle}
	}
	c.idle = false
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.metrics.open.Dec()
		if malformed := c.responses.Malformed(); malformed != nil {
			c.metrics.malformed.WithLabelValues(string(malformed.Rule)).Inc()
		}
	}
	return c.Conn.Close()
}
