package direct

import (
	"bufio"
	"net"
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
)

// restarted is the registration of a later start under the same id, at a server.
func restarted(u *catalog.Upstream, s *server) *catalog.Upstream {
	next := *u
	next.Born = u.Born.Add(time.Minute)
	next.Address = s.ln.Addr().String()
	return &next
}

func (c *client) keep(u *catalog.Upstream) {
	c.pools.Keep(map[string]*catalog.Upstream{u.ID: u})
}

// silent takes requests and answers none, as a process behind a cut does.
func silent(arrived chan<- string) func(int, net.Conn) {
	return func(_ int, c net.Conn) {
		br := bufio.NewReader(c)
		for id := read(br); id != ""; id = read(br) {
			arrived <- id
		}
	}
}

// Symptom: requests wait until their deadline for an upstream that has long started again.
// Sequence: the upstream is cut off and its process starts again behind the cut, under the
// id it had; what was sent to the former process gets neither an answer nor a reset.
// Cause: the connections were kept, as the id had not changed. What was sent may have run;
// its process will not answer any more.
func TestCallsUnderWayAtAFormerStartAreLost(t *testing.T) {
	arrived := make(chan string, 1)
	former := newServer(t, silent(arrived))
	next := newServer(t, answering(func(id string) string { return whole(id, "x") }))
	cl := newClient(t, former, 1)
	cl.up.Born = time.Unix(1000, 0)
	_, under := cl.begin("1", nil, 0)
	<-arrived
	_, waits := cl.begin("2", nil, 0)
	cl.up = restarted(cl.up, next)
	cl.keep(cl.up)
	if r := cl.wait(under); r.Result != scatter.Lost {
		t.Errorf("under way: %v, %s", r.Result, r.Detail)
	}
	if r := cl.wait(waits); r.Result != scatter.Unreached {
		t.Errorf("unsent: %v, %s", r.Result, r.Detail)
	}
	if r := cl.call("3"); r.Result != scatter.Answered || next.connections() != 1 {
		t.Errorf("to the new start: %v, %s, over %d connections", r.Result, r.Detail, next.connections())
	}
}

// Symptom: the first request after an upstream has started again is lost.
// Sequence: it goes out on an idle connection to the former process.
// Cause: idle connections were kept under the id.
func TestIdleConnectionsToAFormerStartAreNotUsed(t *testing.T) {
	former := newServer(t, answering(func(id string) string { return whole(id, "former") }))
	next := newServer(t, answering(func(id string) string { return whole(id, "next") }))
	cl := newClient(t, former, 1)
	cl.up.Born = time.Unix(1000, 0)
	cl.call("1")
	cl.up = restarted(cl.up, next)
	cl.keep(cl.up)
	if r := cl.call("2"); r.Result != scatter.Answered || string(r.Response.Body()) != "next" {
		t.Errorf("%v, %s", r.Result, r.Detail)
	}
}

// A query that was planned before holds the registration of the former start: its sends go
// to the new one where that is at the same place, and are not made where it is elsewhere.
func TestACallThatNamesAFormerStart(t *testing.T) {
	s := newServer(t, answering(func(id string) string { return whole(id, "x") }))
	elsewhere := newServer(t, answering(func(id string) string { return whole(id, "x") }))
	for name, c := range map[string]struct {
		next *server
		want scatter.Result
	}{
		"same place": {s, scatter.Answered},
		"elsewhere":  {elsewhere, scatter.Unreached},
	} {
		cl := newClient(t, s, 1)
		cl.up.Born = time.Unix(1000, 0)
		next := restarted(cl.up, c.next)
		former := cl.up
		cl.up = next
		cl.call("1")
		cl.keep(next)
		cl.up = former
		if r := cl.call("2"); r.Result != c.want {
			t.Errorf("%s: %v, %s", name, r.Result, r.Detail)
		}
		cl.pools.SetWindow(former, 1)
		if p := cl.pools.pools[next.ID]; p.window != 0 {
			t.Errorf("%s: the new start has the window of the former", name)
		}
	}
}
