package httpserver

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"sycamorekeel.example/sycamorekeel/internal/sockpeek"
)

const (
	// stallChecks is the number of checks in a row that must find no progress before a
	// connection counts as stalled. A number of checks is counted rather than the time: after
	// a pause of this process the time has passed, but the acknowledgements of the remote end
	// may not have arrived yet.
	stallChecks = 10
	// sendBufferBytes limits the send buffer that the kernel keeps for a connection. The
	// kernel would enlarge it to several megabytes, which nothing in this process counts.
	sendBufferBytes = 256 << 10
)

// errStalled is returned by writes to a connection whose remote end reads nothing.
var errStalled = errors.New("the remote end reads nothing")

// Stall describes a connection that was closed because its remote end read nothing.
type Stall struct {
	Remote string
	// Request is the id that SetRequest recorded last.
	Request string
	// Written is how many bytes of the last write were handed to the kernel, Size the size of
	// that write.
	Written, Size int
}

// StallLimiter closes connections whose remote end reads nothing while there is something to
// write to it. A remote end that reads slowly is not closed, however long the write takes.
// What counts as reading is an acknowledgement of bytes by the remote kernel, which
// acknowledges without limit only while the application reads.
type StallLimiter struct {
	// Timeout is how long the remote end may read nothing.
	Timeout time.Duration
	// OnStall is called for each connection before it is closed.
	OnStall func(Stall)
	// onCheck is called before each check; tests use it to read at that moment.
	onCheck func()
}

// Listener returns a listener whose connections are limited.
func (l *StallLimiter) Listener(ln net.Listener) net.Listener { return stallListener{ln, l} }

type stallListener struct {
	net.Listener
	limiter *StallLimiter
}

// Accept implements net.Listener.
func (l stallListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		// The server distinguishes errors of Accept by their type.
		return nil, err
	}
	if tcp, ok := nc.(*net.TCPConn); ok {
		// Without the limit the connection works as well.
		_ = tcp.SetWriteBuffer(sendBufferBytes)
	}
	return &stallConn{Conn: nc, limiter: l.limiter}, nil
}

// stallConn is a connection that a StallLimiter limits. The connection is a field of
// interface type, so that io.Copy and fasthttp find no ReadFrom or writev that would bypass
// Write.
type stallConn struct {
	net.Conn
	limiter *StallLimiter
	request atomic.Pointer[string]
}

// SetRequest records the id of the request that is being answered on a connection, for
// Stall.Request. It does nothing for connections that no StallLimiter limits.
func SetRequest(nc net.Conn, id string) {
	if c, ok := nc.(*stallConn); ok {
		c.request.Store(&id)
	}
}

// SyscallConn implements syscall.Conn, so that sockpeek can inspect the socket.
func (c *stallConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, trace.NotImplemented("%T is not a socket", c.Conn)
	}
	return sc.SyscallConn()
}

// Write implements net.Conn.
func (c *stallConn) Write(b []byte) (int, error) {
	written, idle := 0, 0
	// acknowledged is how many bytes of this write the remote kernel has acknowledged, less
	// the bytes of earlier writes that it had not.
	acknowledged, known := 0, false
	for {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.limiter.Timeout / stallChecks)); err != nil {
			return written, trace.Wrap(err)
		}
		n, err := c.Conn.Write(b[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			// The server distinguishes errors of Write by their type.
			return written, err
		}
		if c.limiter.onCheck != nil {
			c.limiter.onCheck()
		}
		pending, err := sockpeek.Unacknowledged(c.Conn)
		if err != nil {
			return written, trace.Wrap(err)
		}
		now := written - pending
		if !known || now > acknowledged {
			acknowledged, known, idle = now, true, 0
			continue
		}
		if idle++; idle >= stallChecks {
			c.abort(written, len(b))
			return written, errStalled
		}
	}
}

// abort reports the stall and makes Close discard the bytes that the kernel holds, which the
// kernel would otherwise keep offering to the remote end.
func (c *stallConn) abort(written, size int) {
	s := Stall{Remote: c.RemoteAddr().String(), Written: written, Size: size}
	if id := c.request.Load(); id != nil {
		s.Request = *id
	}
	c.limiter.OnStall(s)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// If it fails, the kernel discards the bytes later.
		_ = tcp.SetLinger(0)
	}
}
