package responsecheck

import (
	"errors"
	"net"
)

// ErrUnexpectedBytes says that bytes followed the last response on a connection. They belong to no
// request, and the next response would be read behind them.
var ErrUnexpectedBytes = errors.New("bytes followed the last response on the connection")

// Conn is a connection to a server whose responses are checked, for HTTP clients that read and
// write by themselves. They must not send HEAD requests. A request is refused by
// ErrUnexpectedBytes, before any byte is written, where its response could not be told.
type Conn struct {
	net.Conn
	reader *Reader
	// received is set by reading a response and cleared by writing the next request.
	received bool
}

// NewConn returns a connection that checks the responses on c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, reader: NewReader(c)} }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	c.received = true
	return c.reader.Read(b)
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	if c.received && !c.reader.BetweenResponses() {
		return 0, ErrUnexpectedBytes
	}
	c.received = false
	return c.Conn.Write(b)
}
