package edge

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/connpool"
	"sycamorekeel.example/sycamorekeel/internal/routing"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
)

// idProtocol sends requests to the path that is their id.
type idProtocol struct{ statusProtocol }

func (idProtocol) Encode(req *fasthttp.Request, m *connpool.Message, u *catalog.Upstream, _ time.Duration) {
	req.SetRequestURI("/" + m.ID)
	req.Header.SetHost(u.Address)
}

// sharedShard is an engine with an urgent and a less urgent query route over one shard, whose
// only upstream answers requests for "held" once open is closed.
type sharedShard struct {
	*testEngine
	upstream *catalog.Upstream
	arrived  chan string
	open     chan struct{}
}

func newSharedShard(t *testing.T) *sharedShard {
	s := &sharedShard{testEngine: newTestEngine(), arrived: make(chan string, 100), open: make(chan struct{})}
	s.opts.MaxRequests = 10
	s.pools = connpool.NewPools(idProtocol{}, upstreamObserver{s.opts.Traffic, s.opts.Place, s.Engine}, func(string) int { return 8 })
	s.startCall = s.pools.Do
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		s.arrived <- r.URL.Path
		if r.URL.Path == "/low" {
			<-s.open
		}
	})}
	go func() {
		// The server ends with the test, by Close.
		_ = server.Serve(ln)
	}()
	t.Cleanup(func() { s.Close(); server.Close() })
	s.upstream = &catalog.Upstream{ID: "u", Service: "s", Slots: 4, Address: ln.Addr().String()}
	config := &routing.Config{
		Services: []routing.Service{{Name: "s"}},
		Routes: []routing.Route{
			{Name: "urgent", Host: "h", Prefix: "/urgent/", Shards: []string{"s"}, Objective: time.Second},
			{Name: "low", Host: "h", Prefix: "/low/", Shards: []string{"s"}, Objective: time.Microsecond, Priority: 1},
		},
	}
	s.SetShares(time.Now(), Shares{VMs: 8, IngressVMs: 6})
	s.SetView(time.Now(), &catalog.View{
		Revision: 1, Config: config, Table: routing.Compile(config),
		Upstreams: map[string]*catalog.Upstream{"u": s.upstream}, Services: map[string][]*catalog.Upstream{"s": {s.upstream}},
	})
	return s
}

func (s *sharedShard) ask(route string) Answer {
	r := request("/" + route + "/")
	r.Message.ID = route
	return s.Serve(r)
}

// observe records the end of an urgent send.
func (s *sharedShard) observe(end send) {
	r := request("/urgent/")
	r.Route = s.View().Table.Lookup(r.Host, r.Path)
	x := s.newRun(s.View(), r)
	end.call = &connpool.Call{Upstream: s.upstream}
	x.observeQueue(time.Now(), &end)
}

// Guards against urgent sends that wait behind long ones at an upstream, and against waits
// for a limit that neither a metric nor a log line shows.
func TestLessUrgentSendsWaitWhileUrgentOnesAreQueued(t *testing.T) {
	s := newSharedShard(t)
	for range 8 {
		if a := s.ask("urgent"); a.Reason != "" {
			t.Fatal(a.Reason)
		}
		<-s.arrived
	}
	s.observe(send{replied: true, reply: connpool.Reply{Result: scatter.Answered, Took: 10 * time.Second}})
	answers := make(chan Answer, 2)
	go func() { answers <- s.ask("low") }()
	if path := <-s.arrived; path != "/low" {
		t.Fatal(path)
	}
	s.lines(t)
	go func() { answers <- s.ask("low") }()
	low := connpool.Class{Priority: 1, SharedBy: []int{0, 1}}
	for begun := time.Now(); s.pools.AnswersAhead(time.Now(), []*catalog.Upstream{s.upstream}, low)[0] < 2; time.Sleep(time.Millisecond) {
		if time.Since(begun) > 10*time.Second {
			t.Fatal("the second send does not wait")
		}
	}
	if a := s.ask("urgent"); a.Reason != "" {
		t.Fatal(a.Reason)
	}
	if path := <-s.arrived; path != "/urgent" {
		t.Fatal(path)
	}
	close(s.open)
	if a, b := <-answers, <-answers; a.Reason != "" || b.Reason != "" || max(a.Held, b.Held) == 0 || min(a.Held, b.Held) > 0 {
		t.Errorf("held for %v and %v: %s %s", a.Held, b.Held, a.Reason, b.Reason)
	}
	if text := s.lines(t); strings.Count(text, `"held":`) != 1 {
		t.Errorf("the wait is missing from %s", text)
	}
	want := `
# HELP sycamorekeel_edge_send_limits Upstreams with a limit in force on the open sends of a class, by the priority of its routes.
# TYPE sycamorekeel_edge_send_limits gauge
sycamorekeel_edge_send_limits{priority="1"} 1
# HELP sycamorekeel_edge_sends_held_total Sends that waited because of the limit on the open sends of their class.
# TYPE sycamorekeel_edge_sends_held_total counter
sycamorekeel_edge_sends_held_total{priority="1"} 1
`
	if err := testutil.GatherAndCompare(s.registry, strings.NewReader(want), "sycamorekeel_edge_send_limits", "sycamorekeel_edge_sends_held_total"); err != nil {
		t.Error(err)
	}
}

// Guards against limits from sends that show no queue, and against queues that show only in
// sends that were given up or refused.
func TestWhichSendsShowAQueue(t *testing.T) {
	ago := func(d time.Duration) time.Time { return time.Now().Add(-d) }
	for _, c := range []struct {
		name    string
		end     send
		unknown bool
		limited int
	}{
		{"in time", send{replied: true, reply: connpool.Reply{Result: scatter.Answered, Took: 100 * time.Millisecond}}, false, 0},
		{"late by a queue", send{replied: true, reply: connpool.Reply{Result: scatter.Answered, Took: 10 * time.Second}}, false, 1},
		{"unloaded time unknown", send{replied: true, reply: connpool.Reply{Result: scatter.Answered, Took: 10 * time.Second}}, true, 0},
		{"given up late", send{cancelled: true, sentAt: ago(10 * time.Second)}, false, 1},
		{"given up early", send{cancelled: true, sentAt: ago(10 * time.Millisecond)}, false, 0},
		{"refused by a full upstream", send{replied: true, reply: connpool.Reply{Result: scatter.Refused}}, false, 1},
		{"refused with free slots", send{replied: true, reply: connpool.Reply{Result: scatter.Refused, Load: &connpool.Load{Slots: 4}}}, false, 0},
		{"lost", send{replied: true, reply: connpool.Reply{Result: scatter.Lost, Took: 10 * time.Second}}, false, 0},
	} {
		s := newSharedShard(t)
		n := 8
		if c.unknown {
			n = 6
		}
		for range n {
			s.ask("urgent")
		}
		s.observe(c.end)
		if got := s.pools.Limited(time.Now())[1]; got != c.limited {
			t.Errorf("%s: %d limits in force, want %d", c.name, got, c.limited)
		}
	}
}
