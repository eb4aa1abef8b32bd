package node

import (
	"net"
	"time"

	"github.com/gravitational/trace"
)

// idleTimeoutConn fails a read if no data arrives for idleTimeout. With only a deadline
// for the whole response, a dead peer would be waited for as long as a large page may
// take, or a large page over a slow link would be cut off during the transfer.
type idleTimeoutConn struct {
	net.Conn
	idleTimeout time.Duration
	now         func() time.Time
	// deadline is the deadline of the whole response, zero for none.
	deadline time.Time
}

// dialWithIdleTimeout connects to a peer. Connecting and each read fail after the idle
// timeout.
func dialWithIdleTimeout(address string, idleTimeout time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, idleTimeout)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &idleTimeoutConn{Conn: conn, idleTimeout: idleTimeout, now: time.Now}, nil
}

// Read implements net.Conn.
func (c *idleTimeoutConn) Read(b []byte) (int, error) {
	readDeadline := c.now().Add(c.idleTimeout)
	if !c.deadline.IsZero() && c.deadline.Before(readDeadline) {
		readDeadline = c.deadline
	}
	if err := c.Conn.SetReadDeadline(readDeadline); err != nil {
		return 0, trace.Wrap(err)
	}
	return c.Conn.Read(b)
}

// SetReadDeadline implements net.Conn. It sets the deadline of the whole response.
func (c *idleTimeoutConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

// SetDeadline implements net.Conn. It sets the write deadline and the deadline of the
// whole response.
func (c *idleTimeoutConn) SetDeadline(t time.Time) error {
	c.deadline = t
	return trace.Wrap(c.Conn.SetWriteDeadline(t))
}
