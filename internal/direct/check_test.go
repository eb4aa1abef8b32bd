package direct

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
)

// checked is the outcome of a check.
func (c *client) checked() bool {
	c.t.Helper()
	out := make(chan bool, 1)
	c.pools.Check(c.up, func(ended bool) { out <- ended })
	select {
	case ended := <-out:
		return ended
	case <-time.After(patience):
		c.t.Fatal("no outcome")
		return false
	}
}

// A connection that ends shows nothing of the process behind it: only one that does not
// listen any more has ended.
func TestAProcessThatEndsIsToldFromAConnectionThatDoes(t *testing.T) {
	for _, ends := range []bool{false, true} {
		closing := make(chan net.Listener, 1)
		s := newServer(t, func(_ int, c net.Conn) {
			br := bufio.NewReader(c)
			for id := read(br); id != "" && id != "end"; id = read(br) {
				fmt.Fprint(c, whole(id, "x"))
			}
			if ends {
				ln := <-closing
				ln.Close()
			}
		})
		closing <- s.ln
		cl := newClient(t, s, 1)
		cl.call("1")
		cl.call("end")
		if got := cl.checked(); got != ends {
			t.Errorf("the process ends %v, found %v", ends, got)
		}
		before := s.connections()
		for range 5 {
			if got := cl.checked(); got != ends {
				t.Errorf("asked again: the process ends %v, found %v", ends, got)
			}
		}
		if n := s.connections() - before; n > 1 {
			t.Errorf("%d connections for checks of one moment", n)
		}
	}
}

// Where another process has taken the place of the one that was asked, that one has ended.
func TestAProcessThatStartedAgainHasEnded(t *testing.T) {
	s := newServer(t, answering(func(id string) string { return whole(id, "x") }))
	cl := newClient(t, s, 1)
	former := *cl.up
	former.Born = time.Unix(1000, 0)
	later := former
	later.Born = time.Unix(2000, 0)
	cl.up = &later
	cl.call("1")
	cl.up = &former
	if !cl.checked() {
		t.Error("the former process is taken to live")
	}
}

// Symptom: a request crashes one upstream after the other, and nobody takes note.
// Sequence: a supervisor starts the process again within a millisecond; who looks whether it
// has ended finds somebody listening. Later its registration shows another start, or another
// id has its address.
// Cause: the first look was the last.
func TestAProcessThatIsBackAtOnceHasEnded(t *testing.T) {
	for _, c := range []struct {
		id, address string
		ended       bool
	}{
		{"u", "", true},
		{"v", "", true},
		{"v", "127.0.0.1:1", false},
	} {
		s := newServer(t, answering(func(id string) string { return whole(id, "x") }))
		cl := newClient(t, s, 1)
		cl.up.Born = time.Unix(1000, 0)
		cl.call("1")
		out := make(chan bool, 2)
		cl.pools.Check(cl.up, func(ended bool) { out <- ended })
		if <-out {
			t.Error("somebody listens, and it is said to have ended")
		}
		later := *cl.up
		later.ID = c.id
		later.Born = time.Unix(2000, 0)
		if c.address != "" {
			later.Address = c.address
		}
		cl.pools.Keep(map[string]*catalog.Upstream{c.id: &later})
		if ended := len(out) == 1 && <-out; ended != c.ended {
			t.Errorf("%s at %q: told that it has ended %v, want %v", c.id, c.address, ended, c.ended)
		}
	}
}
