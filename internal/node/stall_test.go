package node

import (
	"net"
	"testing"
	"time"
)

// deadlineConn notes the read deadlines that are set.
type deadlineConn struct {
	net.Conn
	set []time.Time
}

func (c *deadlineConn) Read(b []byte) (int, error)        { return len(b), nil }
func (c *deadlineConn) SetReadDeadline(t time.Time) error { c.set = append(c.set, t); return nil }
func (c *deadlineConn) SetWriteDeadline(time.Time) error  { return nil }

// Symptom: a VM behind a slow link never has a large configuration.
// Sequence: the page comes steadily, and is cut off when the time for an answer is over.
// Cause: one deadline stood for a peer that is silent and for a page that is large.
func TestReadsThatBringSomethingMoveTheDeadline(t *testing.T) {
	start := time.Unix(1000, 0)
	now := start
	inner := &deadlineConn{}
	c := &stallConn{Conn: inner, stall: time.Second, now: func() time.Time { return now }}
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
			t.Errorf("read %d may wait until %v, want %v", i, got, want*time.Millisecond)
		}
	}
}

// A peer that takes the question and says nothing is given up by the stall time alone.
func TestASilentPeerIsGivenUp(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	p := pullOf(ln.Addr().String(), 0)
	p.Stall, p.Timeout = 50*time.Millisecond, time.Hour
	if _, err := readerAt().fetchCatalog(p); err == nil {
		t.Error("a page of a silent peer")
	}
}
