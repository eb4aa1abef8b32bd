package connpool

import (
	"bufio"
	"net"
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
)

// restarted returns the registration of a later start with the same id at server s.
func restarted(u *catalog.Upstream, s *server) *catalog.Upstream {
	next := *u
	next.StartedAt = u.StartedAt.Add(time.Minute)
	next.Address = s.ln.Addr().String()
	return &next
}

// setUpstream makes u the only known upstream.
func (c *client) setUpstream(u *catalog.Upstream) {
	c.pools.SetUpstreams(map[string]*catalog.Upstream{u.ID: u})
}

// unresponsive takes requests and answers none, as a process behind a cut does.
func unresponsive(arrived chan<- string) func(int, net.Conn) {
	return func(_ int, c net.Conn) {
		br := bufio.NewReader(c)
		for id := readID(br); id != ""; id = readID(br) {
			arrived <- id
		}
	}
}

// Guards against requests that wait until their deadline for an upstream that has restarted.
// The process restarts behind a network partition with the same id; calls to the former
// process get neither an answer nor a reset, and connections kept by id stay open. Such calls
// may have run, so they are lost.
func TestCallsInFlightToRestartedUpstreamAreLost(t *testing.T) {
	arrived := make(chan string, 1)
	former := newServer(t, unresponsive(arrived))
	next := newServer(t, respondWith(func(id string) string { return response(id, "x") }))
	cl := newClient(t, former, 1)
	cl.up.StartedAt = time.Unix(1000, 0)
	_, inFlight := cl.begin("1", nil, 0)
	<-arrived
	_, waiting := cl.begin("2", nil, 0)
	cl.up = restarted(cl.up, next)
	cl.setUpstream(cl.up)
	if r := cl.wait(inFlight); r.Result != scatter.Lost {
		t.Errorf("in flight: %v, %s", r.Result, r.Detail)
	}
	if r := cl.wait(waiting); r.Result != scatter.Unreached {
		t.Errorf("waiting: %v, %s", r.Result, r.Detail)
	}
	if r := cl.call("3"); r.Result != scatter.Answered || next.connections() != 1 {
		t.Errorf("to the restarted upstream: %v, %s, over %d connections", r.Result, r.Detail, next.connections())
	}
}

// Guards against losing the first request after a restart: it was sent on an idle connection
// to the former process, because idle connections were kept by id.
func TestIdleConnectionsToRestartedUpstreamAreNotReused(t *testing.T) {
	former := newServer(t, respondWith(func(id string) string { return response(id, "former") }))
	next := newServer(t, respondWith(func(id string) string { return response(id, "next") }))
	cl := newClient(t, former, 1)
	cl.up.StartedAt = time.Unix(1000, 0)
	cl.call("1")
	cl.up = restarted(cl.up, next)
	cl.setUpstream(cl.up)
	if r := cl.call("2"); r.Result != scatter.Answered || string(r.Response.Body()) != "next" {
		t.Errorf("%v, %s", r.Result, r.Detail)
	}
}

// A query that was planned before a restart holds the earlier registration. Its calls go to
// the new process if the address is the same, and are not sent otherwise.
func TestCallWithEarlierRegistration(t *testing.T) {
	s := newServer(t, respondWith(func(id string) string { return response(id, "x") }))
	elsewhere := newServer(t, respondWith(func(id string) string { return response(id, "x") }))
	for name, c := range map[string]struct {
		next *server
		want scatter.Result
	}{
		"same address": {s, scatter.Answered},
		"elsewhere":    {elsewhere, scatter.Unreached},
	} {
		cl := newClient(t, s, 1)
		cl.up.StartedAt = time.Unix(1000, 0)
		next := restarted(cl.up, c.next)
		former := cl.up
		cl.up = next
		cl.call("1")
		cl.setUpstream(next)
		cl.up = former
		if r := cl.call("2"); r.Result != c.want {
			t.Errorf("%s: %v, %s", name, r.Result, r.Detail)
		}
		cl.pools.SetWindow(former, 1)
		if p := cl.pools.pools[next.ID]; p.window != 0 {
			t.Errorf("%s: the window of the earlier registration applies to the new process", name)
		}
	}
}

// Guards against calls that are lost in flight to a live process: a query that holds the earlier
// registration opened the pool anew under it, and the next call with the current registration
// abandoned that pool and its connections.
func TestCallWithEarlierRegistrationOpensThePoolOfTheCurrentOne(t *testing.T) {
	arrived := make(chan string, 1)
	s := newServer(t, unresponsive(arrived))
	cl := newClient(t, s, 2)
	cl.up.StartedAt = time.Unix(1000, 0)
	former, current := cl.up, restarted(cl.up, s)
	cl.setUpstream(current)
	_, inFlight := cl.begin("1", nil, 0)
	<-arrived
	cl.up = current
	cl.begin("2", nil, 0)
	<-arrived
	select {
	case r := <-inFlight:
		t.Errorf("the call with the earlier registration ended: %v, %s", r.Result, r.Detail)
	default:
	}
	if p := cl.pools.pools[former.ID]; !p.upstream.StartedAt.Equal(current.StartedAt) {
		t.Errorf("the pool is that of the start at %v", p.upstream.StartedAt)
	}
}
