package sockpeek

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// Dial opens a TCP connection.
type Dial func(address string, timeout time.Duration) (net.Conn, error)

// NobodyListens tells whether the process behind an address has ended: connections are
// refused. One that does not answer at all has not been shown to have ended. The connection
// of a process that listens carried nothing and is closed again; opened says that there was
// one.
func NobodyListens(dial Dial, address string, timeout time.Duration) (ended, opened bool) {
	conn, err := dial(address, timeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED), false
	}
	// It carried nothing.
	_ = conn.Close()
	return false, true
}
