package upstream

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
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
	if c.idle && closedByPeer(c.Conn) {
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

// closedByPeer looks at what waits to be read without taking it: the end of the
// stream, an error, or bytes that answer no request all make the connection
// useless.
func closedByPeer(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	useless := true
	// Control and not Read: Read fails once the read deadline of the request
	// before has passed, and every connection idle for longer would look closed.
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		useless = !errors.Is(err, syscall.EAGAIN)
	})
	return useless || err != nil
}
