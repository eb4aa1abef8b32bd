package node

import (
	"net"
	"testing"
	"time"
)

// deadlineConn records the read deadlines that are set.
type deadlineConn struct {
	net.Conn
	set []time.Time
}

func (c *deadlineConn) Read(b []byte) (int, error)        { return len(b), nil }
func (c *deadlineConn) SetReadDeadline(t time.Time) error { c.set = append(c.set, t); return nil }
func (c *deadlineConn) SetWriteDeadline(time.Time) error  { return nil }

// Guards against a large page over a slow link that is cut off although data keeps
// arriving, because one deadline covers both silent peers and large pages.
func TestReadExtendsIdleDeadline(t *testing.T) {
	start := time.Unix(1000, 0)
	now := start
	inner := &deadlineConn{}
	c := &idleTimeoutConn{Conn: inner, idleTimeout: time.Second, now: func() time.Time { return now }}
	if err := c.SetReadDeadline(start.Add(4 * time.Second)); err != nil {
		t.Fatal(err)
	}
	for range 5 {
		if _, err := c.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		now = now.Add(900 * time.Millisecond)
	}
	for i, want := range []time.Duration{1000, 1900, 2800, 3700, 4000} {
		if got := inner.set[i].Sub(start); got != want*time.Millisecond {
			t.Errorf("read %d: deadline %v after the start, want %v", i, got, want*time.Millisecond)
		}
	}
}

// A pull from a peer that accepts the request but sends no data fails after the idle
// timeout.
func TestPullFromSilentPeerFails(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	p := pullFrom(ln.Addr().String(), 0)
	p.StallTimeout, p.Timeout = 50*time.Millisecond, time.Hour
	if _, err := newTestSyncer().fetchCatalog(p); err == nil {
		t.Error("fetchCatalog succeeded with a silent peer")
	}
}
