package edge

import (
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/direct"
	"sycamorekeel.example/sycamorekeel/internal/locality"
	"sycamorekeel.example/sycamorekeel/internal/logring"
	"sycamorekeel.example/sycamorekeel/internal/retrybudget"
	"sycamorekeel.example/sycamorekeel/internal/routing"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
)

// bare is a protocol of which an answer's status tells all.
type bare struct{}

func (bare) Encode(req *fasthttp.Request, _ *direct.Message, u *catalog.Upstream, _ time.Duration) {
	req.SetRequestURI("/work")
	req.Header.SetHost(u.Address)
}

func (bare) Decode(resp *fasthttp.Response, _ *direct.Message) (scatter.Result, string, string) {
	if resp.StatusCode() != fasthttp.StatusOK {
		return scatter.Failed, "", "status"
	}
	return scatter.Answered, "", ""
}

func (bare) DecodeLoad(*fasthttp.Response) *direct.Load { return nil }

func (bare) DecodeHealth(resp *fasthttp.Response) (direct.Health, error) {
	return direct.Health{Upstream: string(resp.Header.Peek("Id"))}, nil
}

// coldService is an engine whose one service has upstreams that bear little while cold.
type coldService struct {
	engine *Engine
	reg    *prometheus.Registry
	meter  *traffic.Meter
	up     *catalog.Upstream
	// asked counts the requests of each path.
	asked chan string
}

func newColdService(t *testing.T, healthPath string) *coldService {
	t.Helper()
	c := &coldService{reg: prometheus.NewRegistry(), meter: &traffic.Meter{}, asked: make(chan string, 100)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.asked <- r.URL.Path
		w.Header().Set("Id", "u")
	})}
	go func() {
		// It ends with the test, by Close.
		_ = server.Serve(ln)
	}()
	t.Cleanup(func() { server.Close() })
	c.engine = New(time.Now(), Options{
		Logs: logring.Nop(), Metrics: NewMetrics(c.reg), Protocol: bare{}, Traffic: c.meter,
		Place:  locality.Place{DataCentre: "a", Region: "r", Regions: map[string]string{"a": "r"}},
		Budget: retrybudget.Limit{Ratio: 0.2, Window: 10 * time.Second, Allowance: 30}, MaxRequests: 10,
		Random: rand.New(rand.NewPCG(1, 2)), ViewAge: func() time.Duration { return 0 },
	})
	c.up = &catalog.Upstream{ID: "u", Service: "s", DataCentre: "a", Slots: 4, Address: ln.Addr().String(), Born: time.Unix(1, 0)}
	config := &routing.Config{
		Services: []routing.Service{{Name: "s", HealthPath: healthPath, ColdBound: true}},
		Routes:   []routing.Route{{Name: "one", Host: "h", Prefix: "/", Idempotent: true, Objective: time.Second, Attempts: 2, Targets: []routing.Target{{Service: "s", Weight: 1}}}},
	}
	c.engine.SetView(time.Now(), &catalog.View{
		Revision: 1, Config: config, Table: routing.Compile(config),
		Upstreams: map[string]*catalog.Upstream{"u": c.up}, Services: map[string][]*catalog.Upstream{"s": {c.up}},
	})
	t.Cleanup(c.engine.Close)
	return c
}

func (c *coldService) ask() Answer {
	return c.engine.Serve(&Request{Host: "h", Path: "/x", Received: c.engine.now(), Deadline: 5 * time.Second, Message: &direct.Message{ID: "id", Header: &fasthttp.RequestHeader{}}})
}

// checks is how many health checks the metrics count, of any result.
func (c *coldService) checks(t *testing.T) (n float64) {
	t.Helper()
	families, err := c.reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() != "sycamorekeel_edge_health_checks_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			n += m.GetCounter().GetValue()
		}
	}
	return n
}

// Guards against health checks that are paid for and that no counter shows: those of new
// connections, and their bytes.
func TestHealthChecksOfNewConnectionsAreCounted(t *testing.T) {
	c := newColdService(t, "/health")
	if a := c.ask(); a.Reason != "" {
		t.Fatalf("refused: %s", a.Reason)
	}
	if first := <-c.asked; first != "/health" {
		t.Errorf("asked for %s first", first)
	}
	if n := c.checks(t); n != 1 {
		t.Errorf("%v health checks are counted", n)
	}
	if n := c.meter.Counts().Bytes[traffic.Health][locality.Near]; n < 50 {
		t.Errorf("%d bytes are counted", n)
	}
}

// Guards against checks that go to an upstream's root where its service names no health path,
// which it runs like any request, and against a service that is refused for good after one
// connection has ended: the store's entries tell of a new start some seconds later.
func TestAServiceWithoutAHealthPathIsJudgedByItsEntries(t *testing.T) {
	c := newColdService(t, "")
	now := time.Now()
	c.engine.now = func() time.Time { return now }
	c.engine.warmth.doubt(now, c.up)
	if a := c.ask(); a.Reason != ColdUpstreams {
		t.Errorf("just after a sign of a new start: %q", a.Reason)
	}
	now = now.Add(2 * confirmedWithin)
	if a := c.ask(); a.Reason != "" {
		t.Errorf("seconds after it: %q", a.Reason)
	}
	for len(c.asked) > 0 {
		if path := <-c.asked; path != "/work" {
			t.Errorf("asked for %q", path)
		}
	}
}
