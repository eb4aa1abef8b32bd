package upstream

import (
	"errors"
	"net"
	"sync/atomic"

	"sycamorekeel.example/sycamorekeel/internal/sockpeek"
)

// errClosedIdle is the error of a connection that the upstream closed between
// two requests.
var errClosedIdle = errors.New("the upstream closed the connection while it was idle")

// countedConn counts its closing once. Before the first bytes of a request it
// looks whether the upstream has closed the connection meanwhile.
//
// Without the look, the request is written to a connection whose other end is
// gone, no answer comes, and as bytes have gone out the outcome is unknown: a
// payment would be reported as unknown though nothing could have run. Noticed as
// unknown outcomes after a restart of an upstream. A close that is still under
// way goes unseen, and its outcome stays unknown.
type countedConn struct {
	net.Conn
	met    *Metrics
	closed atomic.Bool
	// idle is set once an answer was read and until the next request.
	idle bool
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	c.idle = true
	return c.Conn.Read(b)
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	if c.idle && sockpeek.Look(c.Conn) != sockpeek.Quiet {
		return 0, &dialError{errClosedIdle}
	}
	c.idle = false
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.met.open.Dec()
	}
	return c.Conn.Close()
}
