// Package sockpeek inspects sockets: it detects unread bytes or a close on a connection
// without reading from it, bytes that the remote end has not acknowledged, the state of TCP,
// and whether a process listens on an address.
package sockpeek

import (
	"errors"
	"net"
	"syscall"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// State is the state of a connection's receive side.
type State int

// States of a connection.
const (
	// Idle connections are open and have no unread bytes.
	Idle State = iota
	// Readable connections have unread bytes.
	Readable
	// Ended connections were closed or reset by the remote end, or cannot be inspected.
	Ended
)

// Look returns the state of a connection without blocking and without reading from it.
// Connections that are not sockets are Idle.
func Look(nc net.Conn) State {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return Idle
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Ended
	}
	state := Ended
	// Control instead of Read: Read fails after a read deadline has passed, so that every
	// connection that has been idle for longer would appear to be Ended.
	err = raw.Control(func(fd uintptr) { state = peek(int(fd)) })
	if err != nil {
		return Ended
	}
	return state
}

// peek inspects a socket by a non-blocking receive with MSG_PEEK.
func peek(fd int) State {
	var buf [1]byte
	n, _, err := syscall.Recvfrom(fd, buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return Idle
	case err != nil || n == 0:
		return Ended
	default:
		return Readable
	}
}

// Unacknowledged returns how many bytes written to a connection its remote end has not
// acknowledged. It returns 0 for connections that are not sockets.
func Unacknowledged(nc net.Conn) (int, error) {
	if _, ok := nc.(syscall.Conn); !ok {
		return 0, nil
	}
	return query(nc, func(fd int) (int, error) { return unix.IoctlGetInt(fd, unix.TIOCOUTQ) })
}

// TCPInfo returns the state of a TCP connection.
func TCPInfo(nc net.Conn) (*unix.TCPInfo, error) {
	return query(nc, func(fd int) (*unix.TCPInfo, error) {
		return unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	})
}

// query calls f with the descriptor of a connection.
func query[T any](nc net.Conn, f func(fd int) (T, error)) (T, error) {
	var value T
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return value, trace.NotImplemented("%T is not a socket", nc)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return value, trace.Wrap(err)
	}
	var queryErr error
	err = raw.Control(func(fd uintptr) { value, queryErr = f(int(fd)) })
	if err != nil {
		return value, trace.Wrap(err)
	}
	return value, trace.Wrap(queryErr)
}
