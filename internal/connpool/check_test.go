package connpool

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
)

// processEnded checks the client's upstream and returns the result.
func (c *client) processEnded() bool {
	c.t.Helper()
	out := make(chan bool, 1)
	c.pools.CheckProcess(c.up, func(ended bool) { out <- ended })
	select {
	case ended := <-out:
		return ended
	case <-time.After(testTimeout):
		c.t.Fatal("the check returns no result")
		return false
	}
}

// A closed connection does not prove that its process has ended; a refused dial does.
func TestCheckDistinguishesEndedProcessFromClosedConnection(t *testing.T) {
	for _, ends := range []bool{false, true} {
		closing := make(chan net.Listener, 1)
		s := newServer(t, func(_ int, c net.Conn) {
			br := bufio.NewReader(c)
			for id := readID(br); id != "" && id != "end"; id = readID(br) {
				fmt.Fprint(c, response(id, "x"))
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
		if got := cl.processEnded(); got != ends {
			t.Errorf("process ended: %v, check reports %v", ends, got)
		}
		before := s.connections()
		for range 5 {
			if got := cl.processEnded(); got != ends {
				t.Errorf("repeated check: process ended: %v, check reports %v", ends, got)
			}
		}
		if n := s.connections() - before; n > 1 {
			t.Errorf("%d connections for checks within checkTTL, want at most 1", n)
		}
	}
}

// The check of an earlier registration reports that its process has ended.
func TestCheckOfReplacedProcess(t *testing.T) {
	s := newServer(t, respondWith(func(id string) string { return response(id, "x") }))
	cl := newClient(t, s, 1)
	former := *cl.up
	former.StartedAt = time.Unix(1000, 0)
	later := former
	later.StartedAt = time.Unix(2000, 0)
	cl.up = &later
	cl.call("1")
	cl.up = &former
	if !cl.processEnded() {
		t.Error("the replaced process is reported as running")
	}
}

// Guards against missed crashes: a supervisor restarts a crashed process within a
// millisecond, so the check finds a listener and reports a running process. Only a later
// registration shows another start, or another id at the address; without a second
// notification a request can crash one upstream after the other undetected.
func TestCheckReportsImmediateRestartLater(t *testing.T) {
	for _, c := range []struct {
		id, address string
		ended       bool
	}{
		{"u", "", true},
		{"v", "", true},
		{"v", "127.0.0.1:1", false},
	} {
		s := newServer(t, respondWith(func(id string) string { return response(id, "x") }))
		cl := newClient(t, s, 1)
		cl.up.StartedAt = time.Unix(1000, 0)
		cl.call("1")
		out := make(chan bool, 2)
		cl.pools.CheckProcess(cl.up, func(ended bool) { out <- ended })
		if <-out {
			t.Error("a listening process is reported as ended")
		}
		later := *cl.up
		later.ID = c.id
		later.StartedAt = time.Unix(2000, 0)
		if c.address != "" {
			later.Address = c.address
		}
		cl.pools.SetUpstreams(map[string]*catalog.Upstream{c.id: &later})
		if ended := len(out) == 1 && <-out; ended != c.ended {
			t.Errorf("%s at %q: reported as ended: %v, want %v", c.id, c.address, ended, c.ended)
		}
	}
}

// Guards against missed crashes: the registration of the new process arrives while a check runs
// whose dial has reached that process. The check then reported a running process, and no later
// registration corrected it.
func TestCheckDuringWhichTheProcessIsReplaced(t *testing.T) {
	for _, id := range []string{"u", "v"} {
		s := newServer(t, respondWith(func(id string) string { return response(id, "x") }))
		cl := newClient(t, s, 1)
		cl.up.StartedAt = time.Unix(1000, 0)
		cl.call("1")
		pool := cl.pools.pools[cl.up.ID]
		later := restarted(cl.up, s)
		later.ID = id
		out := make(chan bool, 2)
		pool.process.running = true
		pool.process.waiters = []func(bool){func(ended bool) { out <- ended }}
		cl.setUpstream(later)
		pool.runCheck()
		if n := len(out); n != 1 || !<-out {
			t.Errorf("%s: %d results, want one that the process has ended", id, n)
		}
		pool.check(time.Now(), func(ended bool) { out <- ended })
		if !<-out {
			t.Errorf("%s: a later check reports that the replaced process runs", id)
		}
	}
}

// Guards against missed crashes: the registration of the new process arrives between the end of
// the connection and the check, and has already removed the pool of the former process.
func TestCheckAfterThePoolOfTheProcessIsRemoved(t *testing.T) {
	for _, id := range []string{"u", "v"} {
		s := newServer(t, respondWith(func(id string) string { return response(id, "x") }))
		cl := newClient(t, s, 1)
		cl.up.StartedAt = time.Unix(1000, 0)
		cl.call("1")
		later := restarted(cl.up, s)
		later.ID = id
		cl.setUpstream(later)
		if !cl.processEnded() {
			t.Errorf("the process that %s has replaced is reported as running", id)
		}
	}
}
