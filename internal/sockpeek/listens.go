package sockpeek

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// Dial opens a TCP connection to address within timeout.
type Dial func(address string, timeout time.Duration) (net.Conn, error)

// DialRefused reports whether the process behind an address has ended, which is the case if
// it refuses a connection. A timeout does not prove it. If a process listens, opened is true;
// the connection is closed without carrying data.
func DialRefused(dial Dial, address string, timeout time.Duration) (ended, opened bool) {
	conn, err := dial(address, timeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED), false
	}
	// Nothing was sent that a failed close could lose.
	_ = conn.Close()
	return false, true
}
