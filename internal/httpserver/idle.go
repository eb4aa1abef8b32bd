package httpserver

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"sycamorekeel.example/sycamorekeel/internal/sockpeek"
)

// requestTime limits how long the rest of a request is waited for if its first byte and closeIdle
// have met.
const requestTime = 10 * time.Second

// idleClose is the state of a connection that is to be closed as soon as it is idle.
//
// Closed from another goroutine, a connection may just have received a request: its reader has the
// first bytes and drops them. So closeIdle only wakes the reader, which alone knows that it has read
// nothing.
type idleClose struct {
	// closing is set by closeIdle. reading is set from the first byte of a request until its
	// answer has been written.
	closing, reading atomic.Bool
}

// closeIdle makes the reader close the connection unless a request is being read or answered on it,
// or waits unread. It must be called again until the connection is closed: the server may just be
// setting the deadline of its next read.
func (c *callerConn) closeIdle() {
	c.closing.Store(true)
	if c.reading.Load() {
		return
	}
	// Fails only when the connection is already closed.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// Read implements net.Conn. It returns io.EOF once closeIdle has been called and the connection is
// idle; the server then closes it.
func (c *callerConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.reading.Store(true)
		}
		if n > 0 || !c.closing.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			// The server distinguishes errors of Read by their type.
			return n, err
		}
		if !c.reading.Load() && sockpeek.Look(c.Conn) != sockpeek.Readable {
			return 0, io.EOF
		}
		if err := c.Conn.SetReadDeadline(time.Now().Add(requestTime)); err != nil {
			return 0, trace.Wrap(err)
		}
	}
}

// Backlog returns how many connections wait to be accepted by a TCP listener, 0 if that is not
// known.
func Backlog(ln net.Listener) int {
	if limited, ok := ln.(stallListener); ok {
		ln = limited.Listener
	}
	raw, err := syscallConn(ln)
	if err != nil {
		return 0
	}
	backlog := 0
	err = raw.Control(func(fd uintptr) {
		// For a listener the kernel reports its queue in this field.
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			backlog = int(info.Unacked)
		}
	})
	if err != nil {
		return 0
	}
	return backlog
}
