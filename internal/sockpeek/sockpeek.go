// Package sockpeek looks at what waits on a connection without reading it.
package sockpeek

import (
	"errors"
	"net"
	"syscall"
)

// State is what waits on a connection.
type State int

// States.
const (
	// Quiet connections are open and nothing waits.
	Quiet State = iota
	// Readable ones have bytes waiting.
	Readable
	// Ended ones were closed or reset by the other end, or cannot be looked at.
	Ended
)

// Look tells what waits on a connection. Connections that are no sockets count
// as quiet.
func Look(nc net.Conn) State {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return Quiet
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Ended
	}
	state := Ended
	// Control and not Read: Read fails once a read deadline has passed, and every
	// connection that was idle for longer would look ended.
	err = raw.Control(func(fd uintptr) { state = peek(int(fd)) })
	if err != nil {
		return Ended
	}
	return state
}

func peek(fd int) State {
	var buf [1]byte
	n, _, err := syscall.Recvfrom(fd, buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return Quiet
	case err != nil || n == 0:
		return Ended
	default:
		return Readable
	}
}
