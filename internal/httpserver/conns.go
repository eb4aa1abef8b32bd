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
		c.open[nc] = &connection[R]{}
	default:
		if conn := c.open[nc]; conn != nil {
			conn.request = nil
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
