package httpserver

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"sycamorekeel.example/sycamorekeel/internal/sockpeek"
)

const (
	// overshootShare is the part of a limit by which connections may exceed it while others are
	// being closed for them.
	overshootShare, minOvershoot = 8, 4
	// displaceTries limits how many connections are looked at to find one that can be closed.
	displaceTries = 16
	// closeTime limits how long a new connection waits for others that are being closed.
	closeTime = time.Second
	// acceptRetryDelay is the wait after a connection could not be accepted for want of a descriptor.
	acceptRetryDelay = 5 * time.Millisecond
	// minQueue is the least number of connections that may wait to be accepted.
	minQueue = 64
	// refusalTime limits the writing of a refusal to a connection that finds no place.
	refusalTime = 10 * time.Millisecond
)

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

	// closed has an element when a connection has been closed since makeRoom has looked.
	closed chan struct{}

	mu    sync.Mutex
	open  map[*limitedConn]bool
	perIP map[netip.Addr]int
}

// Listen opens a TCP listener whose connections have a small receive buffer until a ConnLimiter
// admits them.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		// Without it the kernel's own size applies.
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, queuedReceiveBuffer)
		})
	}}
	ln, err := config.Listen(context.Background(), "tcp", address)
	return ln, trace.Wrap(err)
}

// Listener returns a listener whose connections are limited. No more may wait to be accepted than
// may be open: the kernel holds what they send. It must be called once.
func (l *ConnLimiter) Listener(ln net.Listener) net.Listener {
	limitQueue(ln, max(minQueue, l.Max))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open, l.perIP = map[*limitedConn]bool{}, map[netip.Addr]int{}
	l.closed = make(chan struct{}, 1)
	return &limitedListener{ln, l}
}

// limitQueue limits the number of connections that wait to be accepted.
func limitQueue(ln net.Listener, most int) {
	if raw, err := syscallConn(ln); err == nil {
		// Without it the kernel's own limit applies.
		_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), most) })
	}
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
		displaced.fail(ErrDisplaced)
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

// admit returns the limited connection, or closes the connection and returns nil.
func (l *ConnLimiter) admit(nc net.Conn) *limitedConn {
	c := &limitedConn{Conn: nc, socket: socketOf(nc), limiter: l, ip: remoteIP(nc)}
	switch {
	case l.ipIsFull(c.ip):
		l.report(ConnRefusedPerIP)
		refuseConn(nc, l.RefusalPerIP)
		return nil
	case !l.makeRoom():
		l.report(ConnRefused)
		refuseConn(nc, l.Refusal)
		return nil
	}
	c.setReceiveBuffer(receiveBuffer)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = true
	l.perIP[c.ip]++
	return c
}

// ipIsFull reports whether an IP may open no connection.
func (l *ConnLimiter) ipIsFull(ip netip.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.MaxPerIP > 0 && l.perIP[ip] >= l.MaxPerIP
}

// makeRoom displaces a connection if the limit is reached, and reports whether there is room for a
// new one. While connections are being closed there may be more than Max, but never more than
// hardMax: then it waits, as their readers need the processor to close them.
func (l *ConnLimiter) makeRoom() bool {
	var timeout <-chan time.Time
	for {
		l.mu.Lock()
		n := len(l.open)
		closing := n >= l.hardMax() && l.closing()
		var displaced *limitedConn
		if n >= l.Max && !closing {
			displaced = l.longestWaiting()
		}
		l.mu.Unlock()
		if displaced != nil {
			l.report(ConnDisplaced)
			displaced.fail(ErrDisplaced)
		}
		switch {
		case n < l.Max, n < l.hardMax() && displaced != nil:
			return true
		case displaced == nil && !closing:
			return false
		}
		if timeout == nil {
			timeout = time.After(closeTime)
		}
		select {
		case <-l.closed:
		case <-timeout:
			return false
		}
	}
}

// closing reports whether a displaced connection has not been closed yet. The caller holds mu.
func (l *ConnLimiter) closing() bool {
	for c := range l.open {
		if c.failure.Load() != nil {
			return true
		}
	}
	return false
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
	select {
	case l.closed <- struct{}{}:
	default:
	}
}
