package httpserver

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"sycamorekeel.example/sycamorekeel/internal/sockpeek"
)

const (
	// stallChecks is the number of checks in a row that must find no progress before a
	// connection counts as stalled. A number of checks is counted rather than the time: after
	// a pause of this process the time has passed, but the acknowledgements of the remote end
	// may not have arrived yet.
	stallChecks = 10
	// lostStallChecks takes the place of stallChecks while the link loses segments. TCP
	// retransmits about 0.2, 0.6, 1.4, 3 and 6.2 s after a loss, so that a link that was cut
	// for 3 s may deliver nothing before 6.2 s.
	lostStallChecks = 3 * stallChecks
)

// errStalled is returned by writes to a connection whose remote end has acknowledged nothing.
var errStalled = errors.New("the remote end has acknowledged nothing")

// Stall describes a connection that was closed because its remote end acknowledged nothing.
type Stall struct {
	Remote string
	// Request is the id that SetRequest recorded last.
	Request string
	// Written is how many bytes of the last write were handed to the kernel, Size the size of
	// that write.
	Written, Size int
	// Lost says that segments were being lost after stallChecks, so that the remote end may
	// have been reading and was allowed more checks.
	Lost bool
}

// StallLimiter closes connections whose remote end acknowledges nothing while there is
// something to write to it. A remote end that reads slowly is not closed, however long the
// write takes: its kernel acknowledges bytes as long as the application reads.
type StallLimiter struct {
	// Timeout is how long the remote end may acknowledge nothing. It is three times as long
	// while the link loses segments.
	Timeout time.Duration
	// OnStall is called for each connection before it is closed.
	OnStall func(Stall)
	// onCheck is called before each check; tests use it to read at that moment.
	onCheck func()
	// tcpInfo replaces sockpeek.TCPInfo in tests.
	tcpInfo func(net.Conn) (*unix.TCPInfo, error)
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
	return &callerConn{Conn: nc, limiter: l.limiter}, nil
}

// callerConn is a connection that a StallLimiter limits, and that its reader closes once it is idle
// after closeIdle. The connection is a field of
// interface type, so that io.Copy and fasthttp find no ReadFrom or writev that would bypass
// Write.
type callerConn struct {
	net.Conn
	limiter *StallLimiter
	request atomic.Pointer[string]
	// written is how many bytes of the answer to request have been handed to the kernel.
	written atomic.Int64
	idleClose
}

// SetRequest records the id of the request that is being answered on a connection, for
// Stall.Request. It does nothing for connections that no StallLimiter limits.
func SetRequest(nc net.Conn, id string) {
	if c, ok := nc.(*callerConn); ok {
		c.request.Store(&id)
		c.written.Store(0)
	}
}

// written returns how many bytes have been handed to the kernel since SetRequest, 0 for connections
// that no StallLimiter limits.
func written(nc net.Conn) int {
	if c, ok := nc.(*callerConn); ok {
		return int(c.written.Load())
	}
	return 0
}

// SyscallConn implements syscall.Conn, so that sockpeek can inspect the socket.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) { return syscallConn(c.Conn) }

// Write implements net.Conn.
func (c *callerConn) Write(b []byte) (int, error) {
	written := 0
	var w watch
	for {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.limiter.Timeout / stallChecks)); err != nil {
			return written, trace.Wrap(err)
		}
		n, err := c.Conn.Write(b[written:])
		written += n
		c.written.Add(int64(n))
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
		if w.check(written-pending, c.tcpInfo) {
			c.abort(written, len(b), w.lost)
			return written, errStalled
		}
	}
}

// watch decides whether a write has stalled. The zero value is that of a write that has not
// been checked.
type watch struct {
	// acknowledged is how many bytes of the write the remote kernel has acknowledged, less the
	// bytes of earlier writes that it had not.
	acknowledged int
	known        bool
	// idle is the number of checks in a row without progress.
	idle int
	// lost says that segments were being lost after stallChecks of them.
	lost bool
}

// check takes the bytes acknowledged so far and reports whether the write has stalled. It
// reads the state of TCP only if that decides.
func (w *watch) check(acknowledged int, tcpInfo func() *unix.TCPInfo) bool {
	if !w.known || acknowledged > w.acknowledged {
		*w = watch{acknowledged: acknowledged, known: true}
		return false
	}
	w.idle++
	if w.idle < stallChecks {
		return false
	}
	// More checks stay allowed until there is progress: a link that has just recovered may not
	// have delivered anything yet.
	w.lost = w.lost || losesSegments(tcpInfo())
	return !w.lost || w.idle >= lostStallChecks
}

// tcpInfo returns the state of TCP, or nil if it cannot be read.
func (c *callerConn) tcpInfo() *unix.TCPInfo {
	read := c.limiter.tcpInfo
	if read == nil {
		read = sockpeek.TCPInfo
	}
	info, err := read(c.Conn)
	if err != nil {
		return nil
	}
	return info
}

// losesSegments reports whether retransmissions, or more than one probe of a closed window,
// have had no answer. A remote kernel whose application does not read answers the probes,
// after which Probes is 0. Retransmissions into a closed window, of segments for which the
// remote kernel had no memory, do not count as Retransmits. The state is nil if it is not known.
func losesSegments(info *unix.TCPInfo) bool {
	return info != nil && (info.Retransmits > 0 || info.Probes > 1)
}

// abort reports the stall and makes Close discard the bytes that the kernel holds, which the
// kernel would otherwise keep offering to the remote end.
func (c *callerConn) abort(written, size int, lost bool) {
	s := Stall{Remote: c.RemoteAddr().String(), Written: written, Size: size, Lost: lost}
	if id := c.request.Load(); id != nil {
		s.Request = *id
	}
	c.limiter.OnStall(s)
	if tcp, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		// If it fails, the kernel discards the bytes later.
		_ = tcp.SetLinger(0)
	}
}
