package httpserver

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"sycamorekeel.example/sycamorekeel/internal/sockpeek"
)

const (
	// receiveBuffer is the size in bytes of the kernel's receive buffer of a connection, and
	// largeReceiveBuffer that of one that receives a large body. The kernel doubles them for its
	// own records. It holds what a client sends while its request is being answered, on each
	// connection, and the machine counts it as memory of the process.
	receiveBuffer      = 16 << 10
	largeReceiveBuffer = 256 << 10
	// lingerTime and lingerBytes limit how long, and for how many bytes, a client that has been
	// refused while it sends is read on. Closed at once, its connection would be reset by the bytes
	// that are unread, and the refusal might be lost.
	lingerTime  = time.Second
	lingerBytes = 8 << 20
	// overshootShare is the part of a limit by which connections may exceed it while others are
	// being closed for them.
	overshootShare, minOvershoot = 8, 4
	// displaceTries limits how many connections are looked at to find one that can be closed.
	displaceTries = 16
	// closeYields is how often a new connection lets others run that are being closed.
	closeYields = 4
	// acceptRetryDelay is the wait after a connection could not be accepted for want of a descriptor.
	acceptRetryDelay = 5 * time.Millisecond
	// refusalTime limits the writing of a refusal to a connection that finds no place.
	refusalTime = 10 * time.Millisecond
)

// ErrDisplaced is returned by reads from a connection that is closed because a new one needs its
// place.
var ErrDisplaced = errors.New("the connection is closed to make room for another one")

// ConnEvent is what a ConnLimiter has done with a connection.
type ConnEvent string

const (
	// ConnDisplaced: it was closed to make room for a new one.
	ConnDisplaced ConnEvent = "displaced"
	// ConnRefused: it was new and found no place.
	ConnRefused ConnEvent = "refused"
	// ConnRefusedPerIP: its IP has too many connections.
	ConnRefusedPerIP ConnEvent = "refused_per_ip"
	// ConnAcceptFailed: it waits, as the process has no descriptor or no memory for it.
	ConnAcceptFailed ConnEvent = "accept_failed"
)

// ConnLimiter limits the open connections of a listener. A new connection beyond the limit takes
// the place of the one for whose bytes the server has waited longest: of those that are in the
// middle of a request, or have never sent one, before those that are idle. If the server
// waits for no connection, the new one is refused.
//
// Lock order: mu is a leaf lock.
type ConnLimiter struct {
	// Max is the number of connections.
	Max int
	// MaxPerIP is the number of connections from one IP, 0 for no limit of its own.
	MaxPerIP int
	// Refusal is the response to a connection that finds no place, RefusalPerIP to one whose IP has
	// too many.
	Refusal, RefusalPerIP string
	// OnEvent is called for each connection that is displaced or refused.
	OnEvent func(ConnEvent)

	// waits orders the waits of the server.
	waits atomic.Uint64

	mu    sync.Mutex
	open  map[*limitedConn]bool
	perIP map[netip.Addr]int
}

// Listen opens a TCP listener whose connections have a receive buffer of a fixed size.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		// Without it the kernel's own size applies.
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer) })
	}}
	ln, err := config.Listen(context.Background(), "tcp", address)
	return ln, trace.Wrap(err)
}

// Listener returns a listener whose connections are limited. It must be called once.
func (l *ConnLimiter) Listener(ln net.Listener) net.Listener {
	l.open, l.perIP = map[*limitedConn]bool{}, map[netip.Addr]int{}
	return &limitedListener{ln, l}
}

// Concurrency returns the number of connections that a server must be able to serve at a time.
func (l *ConnLimiter) Concurrency() int { return 2 * l.hardMax() }

// hardMax is the number of connections that is never exceeded.
func (l *ConnLimiter) hardMax() int { return l.Max + max(minOvershoot, l.Max/overshootShare) }

type limitedListener struct {
	net.Listener
	limiter *ConnLimiter
}

// Accept implements net.Listener. Without a free descriptor it waits for one; a server would end.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if outOfResources(err) {
			l.limiter.relieve()
			time.Sleep(acceptRetryDelay)
			continue
		}
		if err != nil {
			// The server distinguishes errors of Accept by their type.
			return nil, err
		}
		if c := l.limiter.admit(nc); c != nil {
			return c, nil
		}
	}
}

// outOfResources reports whether the process or the machine has no room for another connection.
func outOfResources(err error) bool {
	for _, errno := range []syscall.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// relieve closes the connection that would be displaced next.
func (l *ConnLimiter) relieve() {
	l.mu.Lock()
	displaced := l.longestWaiting()
	l.mu.Unlock()
	l.report(ConnAcceptFailed)
	if displaced != nil {
		l.report(ConnDisplaced)
		displaced.Fail(ErrDisplaced)
	}
}

// report calls OnEvent.
func (l *ConnLimiter) report(e ConnEvent) {
	if l.OnEvent != nil {
		l.OnEvent(e)
	}
}

// SyscallConn implements syscall.Conn, so that Backlog can inspect the socket.
func (l *limitedListener) SyscallConn() (syscall.RawConn, error) { return syscallConn(l.Listener) }

// syscallConn returns the socket behind a connection or a listener.
func syscallConn(from any) (syscall.RawConn, error) {
	sc, ok := from.(syscall.Conn)
	if !ok {
		return nil, trace.NotImplemented("%T is not a socket", from)
	}
	return sc.SyscallConn()
}

// admit returns the limited connection, or closes the connection and returns nil.
func (l *ConnLimiter) admit(nc net.Conn) *limitedConn {
	c := &limitedConn{Conn: nc, socket: socketOf(nc), limiter: l, ip: remoteIP(nc)}
	l.awaitRoom()
	l.mu.Lock()
	var displaced *limitedConn
	event := ConnEvent("")
	switch {
	case l.MaxPerIP > 0 && l.perIP[c.ip] >= l.MaxPerIP:
		event = ConnRefusedPerIP
	case len(l.open) >= l.hardMax():
		event = ConnRefused
	case len(l.open) >= l.Max:
		displaced = l.longestWaiting()
		if displaced == nil {
			event = ConnRefused
		} else {
			event = ConnDisplaced
		}
	}
	if event == "" || event == ConnDisplaced {
		l.open[c] = true
		l.perIP[c.ip]++
	}
	l.mu.Unlock()
	if event != "" {
		l.report(event)
	}
	switch event {
	case ConnRefused:
		refuseConn(nc, l.Refusal)
		return nil
	case ConnRefusedPerIP:
		refuseConn(nc, l.RefusalPerIP)
		return nil
	case ConnDisplaced:
		displaced.Fail(ErrDisplaced)
	}
	return c
}

// awaitRoom lets displaced connections close. It does not wait for them: connections that wait to be
// accepted take memory too.
func (l *ConnLimiter) awaitRoom() {
	for range closeYields {
		if l.Len() < l.hardMax() {
			return
		}
		runtime.Gosched()
	}
}

// Len returns the number of open connections.
func (l *ConnLimiter) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// refuseConn closes a new connection with a response.
func refuseConn(nc net.Conn, response string) {
	if err := nc.SetWriteDeadline(time.Now().Add(refusalTime)); err == nil {
		// A client that does not take it learns from the close.
		_, _ = io.WriteString(nc, response)
	}
	_ = nc.Close()
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

// longestWaiting returns the connection to be displaced, nil if there is none. Connections with
// bytes that the server has not read yet are not displaced. The caller holds mu.
func (l *ConnLimiter) longestWaiting() *limitedConn {
	for range displaceTries {
		var out *limitedConn
		var outRank, outSince uint64
		for c := range l.open {
			since := c.waiting.Load()
			if since == 0 || c.failure.Load() != nil {
				continue
			}
			rank := c.rank()
			if out == nil || rank < outRank || rank == outRank && since < outSince {
				out, outRank, outSince = c, rank, since
			}
		}
		if out == nil || sockpeek.Look(out.socket) != sockpeek.Readable || out.lingering.Load() {
			return out
		}
		// Its bytes have arrived: it waits for the server and not the other way round.
		out.waiting.CompareAndSwap(outSince, l.waits.Add(1))
	}
	return nil
}

// remove forgets a connection that is closed.
func (l *ConnLimiter) remove(c *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.open[c] {
		return
	}
	delete(l.open, c)
	if l.perIP[c.ip]--; l.perIP[c.ip] == 0 {
		delete(l.perIP, c.ip)
	}
}

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

// Fail makes all reads return an error, also the one that is under way.
func (c *limitedConn) Fail(err error) {
	c.failure.CompareAndSwap(nil, &err)
	// Fails only when the connection is already closed.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// SetReadDeadline implements net.Conn. A connection whose reads fail keeps the deadline of Fail.
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
