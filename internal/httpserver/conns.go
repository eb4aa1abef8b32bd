package httpserver

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Conns tracks the open connections of a server, and on each of them the request that is being
// answered, of type R. A request counts until its whole answer has been handed to the kernel. The
// zero value is not ready for use; call NewConns.
type Conns[R any] struct {
	mu   sync.Mutex
	open map[net.Conn]*connection[R]
}

// connection is the state of one connection.
type connection[R any] struct {
	opened time.Time
	// readFrom is when the first byte of a request was read that is not answered, zero if there is
	// none.
	readFrom time.Time
	// request is being answered since began; nil if there is none.
	request *R
	began   time.Time
}

// Answering is a request that is being answered.
type Answering[R any] struct {
	Request R
	// Since is when its answer was begun.
	Since time.Time
	// Written is how many bytes of the answer have been handed to the kernel. Connections that no
	// StallLimiter limits count none.
	Written int
}

// NewConns returns an empty set of connections.
func NewConns[R any]() *Conns[R] { return &Conns[R]{open: map[net.Conn]*connection[R]{}} }

// OnStateChange follows the states of the server's connections. It is the server's ConnState hook.
func (c *Conns[R]) OnStateChange(nc net.Conn, state fasthttp.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(c.open, nc)
	case fasthttp.StateNew:
		c.open[nc] = &connection[R]{opened: time.Now()}
	case fasthttp.StateActive:
		if conn := c.open[nc]; conn != nil {
			conn.readFrom = time.Now()
		}
	case fasthttp.StateIdle:
		if conn := c.open[nc]; conn != nil {
			*conn = connection[R]{opened: conn.opened}
		}
		if limited, ok := nc.(*callerConn); ok {
			limited.reading.Store(false)
		}
	}
}

// Begin records that a request on a connection is being answered from now on.
func (c *Conns[R]) Begin(nc net.Conn, r R, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.open[nc]; conn != nil {
		conn.request, conn.began = &r, now
	}
}

// Len returns the number of open connections.
func (c *Conns[R]) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// CloseIdle closes the connections on which no request is being read or answered, or waits unread,
// and that have been open for at least a time. It must be called repeatedly until Busy and Len tell
// that they are closed.
func (c *Conns[R]) CloseIdle(now time.Time, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for nc, conn := range c.open {
		if limited, ok := nc.(*callerConn); ok && conn.readFrom.IsZero() && now.Sub(conn.opened) >= age {
			limited.closeIdle()
		}
	}
}

// Busy returns the number of open connections without those on which a part of a request has been
// read and nothing has been answered since a time.
func (c *Conns[R]) Busy(since time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.open)
	for _, conn := range c.open {
		if conn.request == nil && !conn.readFrom.IsZero() && conn.readFrom.Before(since) {
			n--
		}
	}
	return n
}

// Answering returns the requests that are being answered, in no order.
func (c *Conns[R]) Answering() []Answering[R] {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Answering[R]
	for nc, conn := range c.open {
		if conn.request != nil {
			out = append(out, Answering[R]{Request: *conn.request, Since: conn.began, Written: written(nc)})
		}
	}
	return out
}
