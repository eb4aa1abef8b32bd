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
	"sycamorekeel.example/sycamorekeel/internal/connpool"
	"sycamorekeel.example/sycamorekeel/internal/locality"
	"sycamorekeel.example/sycamorekeel/internal/logring"
	"sycamorekeel.example/sycamorekeel/internal/retrybudget"
	"sycamorekeel.example/sycamorekeel/internal/routing"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
)

// statusProtocol is a protocol whose results depend only on the HTTP status.
type statusProtocol struct{}

func (statusProtocol) Encode(req *fasthttp.Request, _ *connpool.Message, u *catalog.Upstream, _ time.Duration) {
	req.SetRequestURI("/work")
	req.Header.SetHost(u.Address)
}

func (statusProtocol) Decode(resp *fasthttp.Response, _ *connpool.Message) (scatter.Result, string, string) {
	if resp.StatusCode() != fasthttp.StatusOK {
		return scatter.Failed, "", "status"
	}
	return scatter.Answered, "", ""
}

func (statusProtocol) ResponseID(*fasthttp.Response) string { return "" }

func (statusProtocol) DecodeLoad(*fasthttp.Response) *connpool.Load { return nil }

func (statusProtocol) DecodeHealth(resp *fasthttp.Response) (connpool.Health, error) {
	return connpool.Health{Upstream: string(resp.Header.Peek("Id"))}, nil
}

// coldService is an engine with one service whose upstreams sustain few requests while cold.
type coldService struct {
	engine   *Engine
	reg      *prometheus.Registry
	meter    *traffic.Meter
	upstream *catalog.Upstream
	// paths receives the path of each request.
	paths chan string
}

func newColdService(t *testing.T, healthPath string) *coldService {
	t.Helper()
	c := &coldService{reg: prometheus.NewRegistry(), meter: &traffic.Meter{}, paths: make(chan string, 100)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.paths <- r.URL.Path
		w.Header().Set("Id", "u")
	})}
	go func() {
		// The server ends with the test, by Close.
		_ = server.Serve(ln)
	}()
	t.Cleanup(func() { server.Close() })
	c.engine = New(time.Now(), Options{
		Logs: logring.Nop(), Metrics: NewMetrics(c.reg), Protocol: statusProtocol{}, Traffic: c.meter,
		Place:  locality.Place{DataCentre: "a", Region: "r", Regions: map[string]string{"a": "r"}},
		Budget: retrybudget.Limit{Ratio: 0.2, Window: 10 * time.Second, Allowance: 30}, MaxRequests: 10,
		Random: rand.New(rand.NewPCG(1, 2)), ViewAge: func() time.Duration { return 0 },
	})
	c.upstream = &catalog.Upstream{ID: "u", Service: "s", DataCentre: "a", Slots: 4, Address: ln.Addr().String(), StartedAt: time.Unix(1, 0)}
	config := &routing.Config{
		Services: []routing.Service{{Name: "s", HealthPath: healthPath, ColdLimited: true}},
		Routes:   []routing.Route{{Name: "one", Host: "h", Prefix: "/", Idempotent: true, Objective: time.Second, Attempts: 2, Targets: []routing.Target{{Service: "s", Weight: 1}}}},
	}
	c.engine.SetView(time.Now(), &catalog.View{
		Revision: 1, Config: config, Table: routing.Compile(config),
		Upstreams: map[string]*catalog.Upstream{"u": c.upstream}, Services: map[string][]*catalog.Upstream{"s": {c.upstream}},
	})
	t.Cleanup(c.engine.Close)
	return c
}

func (c *coldService) request() Answer {
	return c.engine.Serve(&Request{Host: "h", Path: "/x", Received: c.engine.now(), Deadline: 5 * time.Second, Message: &connpool.Message{ID: "id", Header: &fasthttp.RequestHeader{}}})
}

// healthChecks returns how many health checks the metrics count, whatever their result.
func (c *coldService) healthChecks(t *testing.T) (n float64) {
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

// Guards against health checks on new connections that no counter shows, neither their
// number nor their bytes, although traffic is paid for.
func TestHealthChecksOnNewConnectionsAreCounted(t *testing.T) {
	c := newColdService(t, "/health")
	if a := c.request(); a.Reason != "" {
		t.Fatalf("refused: %s", a.Reason)
	}
	if first := <-c.paths; first != "/health" {
		t.Errorf("first request was for %s", first)
	}
	if n := c.healthChecks(t); n != 1 {
		t.Errorf("%v health checks are counted, want 1", n)
	}
	if n := c.meter.Counts().Bytes[traffic.Health][locality.Near]; n < 50 {
		t.Errorf("%d bytes are counted, want at least 50", n)
	}
}

// Guards against health checks sent to the root of an upstream whose service has no health
// path, which would run them like any request, and against refusing such a service for good
// after one connection has ended: the store's entries show a restart some seconds later.
func TestServiceWithoutHealthPathWarmsByItsEntries(t *testing.T) {
	c := newColdService(t, "")
	now := time.Now()
	c.engine.now = func() time.Time { return now }
	c.engine.warmups.suspectRestart(now, c.upstream)
	if a := c.request(); a.Reason != ColdUpstreams {
		t.Errorf("just after a sign of a restart: %q", a.Reason)
	}
	now = now.Add(2 * maxConfirmationAge)
	if a := c.request(); a.Reason != "" {
		t.Errorf("seconds after it: %q", a.Reason)
	}
	for len(c.paths) > 0 {
		if path := <-c.paths; path != "/work" {
			t.Errorf("request for %q", path)
		}
	}
}
