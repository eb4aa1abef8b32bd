package httpserver

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"sycamorekeel.example/sycamorekeel/internal/sockpeek"
)

const (
	// receiveBuffer is the size in bytes of the kernel's receive buffer of a connection,
	// queuedReceiveBuffer that of one that waits to be accepted, and largeReceiveBuffer that of one
	// that receives a large body. The kernel doubles them for its own records. It holds what a
	// client sends while its request is being answered, on each connection, and the machine counts
	// it as memory of the process.
	receiveBuffer       = 16 << 10
	queuedReceiveBuffer = 4 << 10
	largeReceiveBuffer  = 256 << 10
	// lingerTime and lingerBytes limit how long, and for how many bytes, a client that has been
	// refused while it sends is read on. Closed at once, its connection would be reset by the bytes
	// that are unread, and the refusal might be lost.
	lingerTime  = time.Second
	lingerBytes = 8 << 20
)

// ErrDisplaced is returned by reads from a connection that is closed because a new one needs its
// place.
var ErrDisplaced = errors.New("the connection is closed to make room for another one")

// limitedConn is a connection that a ConnLimiter limits.
type limitedConn struct {
	net.Conn
	// socket is the connection below all that wrap it.
	socket  net.Conn
	limiter *ConnLimiter
	ip      netip.Addr
	// waiting is the place of the server's present wait for bytes in the order of all waits, 0 if it
	// does not wait.
	waiting atomic.Uint64
	// receiving is set from the first byte of a request until an answer is begun, answered once one
	// has been begun.
	receiving, answered atomic.Bool
	// failure is the error of all reads from now on.
	failure atomic.Pointer[error]
	// linger says that the client is to be read on after the close, lingering that it is.
	linger, lingering atomic.Bool
	closed            atomic.Bool
}

// Keep makes a connection from Accept keep its place whatever others want, without counting it any
// more. It does nothing for connections that no ConnLimiter limits.
func Keep(nc net.Conn) {
	if c, ok := nc.(*limitedConn); ok {
		c.limiter.remove(c)
	}
}

// rank orders connections by which is displaced first, the lowest before others.
func (c *limitedConn) rank() uint64 {
	switch {
	case c.lingering.Load():
		return 0
	case c.receiving.Load() || !c.answered.Load():
		return 1
	default:
		return 2
	}
}

// Read implements net.Conn.
func (c *limitedConn) Read(b []byte) (int, error) {
	for {
		c.waiting.Store(c.limiter.waits.Add(1))
		n, err := c.Conn.Read(b)
		c.waiting.Store(0)
		if n > 0 {
			c.receiving.Store(true)
		}
		failure := c.failure.Load()
		if n > 0 || failure == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			// The server distinguishes errors of Read by their type.
			return n, err
		}
		if *failure != ErrDisplaced || c.receiving.Load() || sockpeek.Look(c.socket) != sockpeek.Readable {
			return 0, *failure
		}
		// A request has met the close of an idle connection: it is read first.
		c.failure.Store(nil)
		if err := c.Conn.SetReadDeadline(time.Now().Add(requestTime)); err != nil {
			return 0, trace.Wrap(err)
		}
	}
}

// Write implements net.Conn.
func (c *limitedConn) Write(b []byte) (int, error) {
	c.receiving.Store(false)
	c.answered.Store(true)
	return c.Conn.Write(b)
}

// fail makes all reads return an error, also the one that is under way.
func (c *limitedConn) fail(err error) {
	c.failure.CompareAndSwap(nil, &err)
	// Fails only when the connection is already closed.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// SetReadDeadline implements net.Conn. A connection whose reads fail keeps the deadline of fail.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	if err := c.Conn.SetReadDeadline(t); err != nil {
		return err
	}
	if c.failure.Load() != nil {
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return nil
}

// SetDeadline implements net.Conn.
func (c *limitedConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.Conn.SetWriteDeadline(t)
}

// SyscallConn implements syscall.Conn, so that sockpeek can inspect the socket.
func (c *limitedConn) SyscallConn() (syscall.RawConn, error) { return syscallConn(c.socket) }

// SetLinger sets how a close treats unsent bytes, as that of net.TCPConn.
func (c *limitedConn) SetLinger(seconds int) error {
	if tcp, ok := c.socket.(interface{ SetLinger(int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// setReceiveBuffer sets the size of the kernel's receive buffer.
func (c *limitedConn) setReceiveBuffer(bytes int) {
	if tcp, ok := c.socket.(interface{ SetReadBuffer(int) error }); ok {
		// Without it the former size applies.
		_ = tcp.SetReadBuffer(bytes)
	}
}

// Close implements net.Conn. A client that is to be read on keeps its place for so long.
func (c *limitedConn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	if half, ok := c.socket.(interface{ CloseWrite() error }); ok && c.linger.Load() && c.failure.Load() == nil && half.CloseWrite() == nil {
		c.lingering.Store(true)
		go c.drain()
		return nil
	}
	return c.release()
}

// drain discards what the client sends until it has closed the connection, or for lingerTime.
func (c *limitedConn) drain() {
	if c.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		// How it ends does not matter: the connection is closed.
		_, _ = io.CopyN(io.Discard, c, lingerBytes)
	}
	_ = c.release()
}

// release closes the connection and gives its place back.
func (c *limitedConn) release() error {
	c.limiter.remove(c)
	return c.Conn.Close()
}

// limitedBelow returns the limited connection below the one that a server serves, nil if there is
// none.
func limitedBelow(nc net.Conn) *limitedConn {
	if c, ok := nc.(*callerConn); ok {
		nc = c.Conn
	}
	c, _ := nc.(*limitedConn)
	return c
}

// syscallConn returns the socket behind a connection or a listener.
func syscallConn(from any) (syscall.RawConn, error) {
	sc, ok := from.(syscall.Conn)
	if !ok {
		return nil, trace.NotImplemented("%T is not a socket", from)
	}
	return sc.SyscallConn()
}

// socketOf returns the connection below those that wrap it.
func socketOf(nc net.Conn) net.Conn {
	for {
		wrapper, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			return nc
		}
		nc = wrapper.NetConn()
	}
}

// remoteIP returns the IP of the remote end, the zero address if it is not known.
func remoteIP(nc net.Conn) netip.Addr {
	address, ok := nc.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return address.AddrPort().Addr().Unmap()
}
