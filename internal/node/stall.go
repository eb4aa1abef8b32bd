package node

import (
	"net"
	"time"

	"github.com/gravitational/trace"
)

// stallConn fails a read of which nothing has come for a while. With a deadline for the
// whole answer alone, either a dead peer is waited for as long as a large page may take,
// or a large page over a slow link is cut off while it is coming.
type stallConn struct {
	net.Conn
	stall time.Duration
	now   func() time.Time
	// whole is the deadline of the whole answer, zero for none.
	whole time.Time
}

// dialStalling opens a connection to a peer that must answer within the stall time.
func dialStalling(address string, stall time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, stall)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &stallConn{Conn: conn, stall: stall, now: time.Now}, nil
}

// Read implements net.Conn.
func (c *stallConn) Read(b []byte) (int, error) {
	deadline := c.now().Add(c.stall)
	if !c.whole.IsZero() && c.whole.Before(deadline) {
		deadline = c.whole
	}
	if err := c.Conn.SetReadDeadline(deadline); err != nil {
		return 0, trace.Wrap(err)
	}
	return c.Conn.Read(b)
}

// SetReadDeadline implements net.Conn: the deadline is that of the whole answer.
func (c *stallConn) SetReadDeadline(t time.Time) error {
	c.whole = t
	return nil
}

// SetDeadline implements net.Conn.
func (c *stallConn) SetDeadline(t time.Time) error {
	c.whole = t
	return trace.Wrap(c.Conn.SetWriteDeadline(t))
}
