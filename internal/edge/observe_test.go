package edge

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/connpool"
	"sycamorekeel.example/sycamorekeel/internal/logring"
	"sycamorekeel.example/sycamorekeel/internal/quarantine"
	"sycamorekeel.example/sycamorekeel/internal/retrybudget"
	"sycamorekeel.example/sycamorekeel/internal/routing"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
)

// testEngine is an engine with access to its log lines and metrics.
type testEngine struct {
	*Engine
	out      bytes.Buffer
	ring     *logring.Buffer
	registry *prometheus.Registry
}

func newTestEngine() *testEngine {
	e := &testEngine{registry: prometheus.NewRegistry()}
	e.ring = logring.New("v", &e.out, time.Now)
	e.Engine = New(time.Now(), Options{
		Traffic:     &traffic.Meter{},
		Logs:        e.ring.Loggers(),
		Metrics:     NewMetrics(e.registry),
		Budget:      retrybudget.Limit{Ratio: 0.5, Allowance: 10},
		MaxRequests: 1,
		Random:      rand.New(rand.NewPCG(1, 2)),
		ViewAge:     func() time.Duration { return time.Second },
	})
	e.registry.MustRegister(e.Engine)
	return e
}

// lines returns what was logged since the last call.
func (e *testEngine) lines(t *testing.T) string {
	t.Helper()
	if err := e.ring.Flush(); err != nil {
		t.Fatal(err)
	}
	defer e.out.Reset()
	return e.out.String()
}

// configure applies a configuration with a plain route and a query route, none of whose
// services has a listed upstream.
func (e *testEngine) configure(upstreams ...*catalog.Upstream) {
	c := &routing.Config{Routes: []routing.Route{
		{Name: "plain", Host: "h", Prefix: "/p/", Targets: []routing.Target{{Service: "s", Weight: 1}}},
		{Name: "query", Host: "h", Prefix: "/q/", Shards: []string{"s", "s", "s", "s"}, Priority: 2},
	}, Services: []routing.Service{{Name: "s"}}}
	v := &catalog.View{Revision: 7, Config: c, Table: routing.Compile(c), Upstreams: map[string]*catalog.Upstream{}}
	for _, u := range upstreams {
		v.Upstreams[u.ID] = u
	}
	e.SetView(time.Now(), v)
}

func request(path string) *Request {
	return &Request{Host: "h", Path: path, Received: time.Now(), Message: &connpool.Message{ID: "id", Header: &fasthttp.RequestHeader{}}}
}

// Guards against refusals that are neither logged nor counted: a request that is refused
// before it reaches the engine, or in a branch of its own, bypassed the code that logs and
// counts.
func TestEachRefusalIsLoggedAndCounted(t *testing.T) {
	for _, c := range []struct {
		reason Reason
		refuse func(e *testEngine) Answer
	}{
		{Unready, func(e *testEngine) Answer {
			e.started = time.Now().Add(-startupConfigWait)
			return e.Serve(request("/p/"))
		}},
		{NoRoute, func(e *testEngine) Answer { e.configure(); return e.Serve(request("/other/")) }},
		{Overloaded, func(e *testEngine) Answer {
			e.configure()
			e.inFlight.Add(1)
			return e.Serve(request("/p/"))
		}},
		{Congested, func(e *testEngine) Answer {
			e.configure()
			congest(e.Engine, e.View().Table.Lookup("h", "/q/"))
			return e.Serve(request("/q/"))
		}},
		{Reason(scatter.NoUpstream), func(e *testEngine) Answer {
			e.configure()
			r := request("/p/")
			r.Deadline = 100 * time.Millisecond
			return e.Serve(r)
		}},
		{PoisonRequest, func(e *testEngine) Answer {
			e.configure()
			for i := range uint32(4) {
				sent := time.Now().Add(time.Duration(i) * time.Second)
				e.poison.Crashed(sent, request("/q/").subject(), quarantine.Crash{Instance: i, SentAt: sent, EndedAt: sent.Add(time.Millisecond)})
			}
			return e.Serve(request("/q/"))
		}},
		{Malformed, func(e *testEngine) Answer { return e.Refuse(request("/p/"), Malformed) }},
		{BodyTooLarge, func(e *testEngine) Answer { return e.Refuse(request("/p/"), BodyTooLarge) }},
		{HeaderTooLarge, func(e *testEngine) Answer { return e.Refuse(request("/p/"), HeaderTooLarge) }},
		{RequestTooSlow, func(e *testEngine) Answer { return e.Refuse(request("/p/"), RequestTooSlow) }},
	} {
		e := newTestEngine()
		if a := c.refuse(e); a.Reason != c.reason || !a.NotRun {
			t.Errorf("%s: ended with %q, not run %v", c.reason, a.Reason, a.NotRun)
		}
		if n := testutil.ToFloat64(e.opts.Metrics.requests.WithLabelValues(string(c.reason))); n != 1 {
			t.Errorf("%s: counted %v times", c.reason, n)
		}
		if text := e.lines(t); strings.Count(text, `"request":"id","reason":"`+string(c.reason)+`"`) != 1 {
			t.Errorf("%s: not logged exactly once: %s", c.reason, text)
		}
	}
}

// congest brings a route's limiter to where it refuses queries.
func congest(e *Engine, route *routing.Route) {
	var places []*place
	for range 20 {
		places = append(places, e.beginQuery(route))
	}
	for _, p := range places {
		e.endQuery(p, &Request{Received: p.query.Arrived, Route: route}, &Answer{CongestedParts: len(route.Shards)})
	}
	for range 20 {
		e.beginQuery(route)
	}
}

// Attempts with the same content must be logged with the same fingerprint, whatever their
// ids, if upstreams ended under them.
func TestBrokenSendsAreLoggedWithTheContentFingerprint(t *testing.T) {
	e := newTestEngine()
	e.configure()
	line := func(id, path string) string {
		r := request(path)
		r.Message.ID = id
		r.Message.Header.SetRequestURI(path)
		e.logRequestEnd(r, &Answer{Reason: Reason(scatter.TooFewParts), Sends: 2, BrokenSends: 2})
		_, content, _ := strings.Cut(e.lines(t), `"content":"`)
		content, _, _ = strings.Cut(content, `"`)
		return content
	}
	first := line("1", "/q/x")
	if len(first) != 32 || first != line("2", "/q/x") || first == line("3", "/q/y") {
		t.Errorf("fingerprints %q, %q and %q", first, line("2", "/q/x"), line("3", "/q/y"))
	}
}

// An upstream that starts to fail or recovers must be logged with the reason and exported as
// a metric.
func TestUpstreamStatesAreLoggedAndExported(t *testing.T) {
	e := newTestEngine()
	u := &catalog.Upstream{ID: "u", Service: "s"}
	e.configure(u)
	now := time.Now()
	for i := range uint64(2) {
		e.replicas.Sent(now, "plain", time.Second, u, i, (&connpool.Call{}).Waited)
		e.replicas.Failed(now, u, i)
	}
	e.Tick(now)
	text := e.lines(t)
	for _, want := range []string{`"upstream: state"`, `"upstream":"u"`, `"was":"usable"`, `"is":"failing"`, `"revision":7`, `"service":"s"`} {
		if !strings.Contains(text, want) {
			t.Errorf("%s is missing from %s", want, text)
		}
	}
	want := `
# HELP sycamorekeel_edge_upstream_state 1 for each upstream that is not usable, with what it counts as.
# TYPE sycamorekeel_edge_upstream_state gauge
sycamorekeel_edge_upstream_state{service="s",state="failing",upstream="u"} 1
`
	if err := testutil.GatherAndCompare(e.registry, strings.NewReader(want), "sycamorekeel_edge_upstream_state"); err != nil {
		t.Error(err)
	}
	e.Tick(now.Add(10 * time.Second))
	if text := e.lines(t); !strings.Contains(text, `"is":"usable"`) {
		t.Errorf("recovery is not logged: %s", text)
	}
	if n, err := testutil.GatherAndCount(e.registry, "sycamorekeel_edge_upstream_state"); err != nil || n != 0 {
		t.Errorf("%d upstreams are not usable, want none (%v)", n, err)
	}
}

// The gauge shows what may still be spent: eight requests earn four extra sends, and hedges
// leave a quarter of a bucket of four beyond the first, less urgent ones half.
func TestBudgetLeftIsExported(t *testing.T) {
	e := newTestEngine()
	e.configure()
	e.countRequest([]string{"s", "s", "s", "s", "s", "s", "s", "s"})
	want := `
# HELP sycamorekeel_edge_budget_left Extra sends to a service that the retry budget allows this VM now.
# TYPE sycamorekeel_edge_budget_left gauge
sycamorekeel_edge_budget_left{kind="hedge",service="s"} 3.25
sycamorekeel_edge_budget_left{kind="less_urgent_hedge",service="s"} 2.5
sycamorekeel_edge_budget_left{kind="retry",service="s"} 4
`
	if err := testutil.GatherAndCompare(e.registry, strings.NewReader(want), "sycamorekeel_edge_budget_left"); err != nil {
		t.Error(err)
	}
}

// The stages of a request must add up to its total time, whichever send answered last.
func TestStagesAddUpToTheTotal(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	first, hedge := send{sentAt: at(2)}, send{sentAt: at(30)}
	hedge.reply.Took = 40 * time.Millisecond
	s := stagesOf(&Request{Received: start}, &first, &hedge, at(75))
	s.finish(80 * time.Millisecond)
	want := Stages{Plan: 2 * time.Millisecond, Resend: 28 * time.Millisecond, Connect: 5 * time.Millisecond, Upstream: 40 * time.Millisecond, Finish: 5 * time.Millisecond}
	if s != want {
		t.Errorf("%+v, want %+v", s, want)
	}
	var none Stages
	none.finish(time.Second)
	if none != (Stages{Finish: time.Second}) {
		t.Errorf("without a reply: %+v", none)
	}
}

// A fixed sample of the successful requests must be logged, the same on each VM.
func TestSuccessfulRequestsAreSampled(t *testing.T) {
	if n := countSampled(64 * 1000); n < 800 || n > 1200 {
		t.Errorf("%d of 64000 are sampled, want 800 to 1200", n)
	}
}

func countSampled(n int) int {
	hits := 0
	for i := range n {
		if sampled(strings.Repeat("x", i%7) + string(rune('a'+i%26)) + time.Duration(i).String()) {
			hits++
		}
	}
	return hits
}

// Measures the log line of a refused request, with its encoding.
func BenchmarkLoggedRequest(b *testing.B) {
	e := newTestEngine()
	e.configure()
	r := request("/p/")
	r.Route = e.View().Table.Lookup("h", "/p/")
	a := Answer{Reason: Congested, NotRun: true, Sends: 3, SlowestUpstream: "u", Elapsed: 40 * time.Millisecond}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%100 == 0 {
			b.StopTimer()
			if err := e.ring.Flush(); err != nil {
				b.Fatal(err)
			}
			e.out.Reset()
			b.StartTimer()
		}
		e.logRequestEnd(r, &a)
	}
}

// Measures a successful request that is not in the sample.
func BenchmarkUnsampledRequest(b *testing.B) {
	e := newTestEngine()
	e.configure()
	r := request("/p/")
	r.Message.ID = "id"
	r.Route = e.View().Table.Lookup("h", "/p/")
	a := Answer{Sends: 1, Elapsed: 0}
	b.ReportAllocs()
	for b.Loop() {
		e.logRequestEnd(r, &a)
	}
}

// Measures the metrics of one request.
func BenchmarkRequestMetrics(b *testing.B) {
	e := newTestEngine()
	a := Answer{Sends: 1, Elapsed: time.Millisecond}
	b.ReportAllocs()
	for b.Loop() {
		e.opts.Metrics.requestEnded(&a)
	}
}

// Guards against hedges that are not made for a reason that no counter and no log line shows.
func TestForgoneHedgesAreCountedAndLogged(t *testing.T) {
	e := newTestEngine()
	a := &Answer{Reason: Reason(scatter.TimedOut), Hedging: scatter.Hedging{Made: 2}}
	a.Hedging.Forgone[scatter.CopyBusy], a.Hedging.Forgone[scatter.OverBudget] = 9, 1
	e.recordEnd(&Request{Message: &connpool.Message{ID: "r"}, Received: time.Now()}, a)
	if line := e.lines(t); !strings.Contains(line, `"hedges":2`) || !strings.Contains(line, `"forgone":"copy_busy=9 budget=1"`) {
		t.Errorf("logged %s", line)
	}
	want := `
# HELP sycamorekeel_edge_hedges_forgone_total Parts with a hedge that was due and not made at that time, by reason.
# TYPE sycamorekeel_edge_hedges_forgone_total counter
sycamorekeel_edge_hedges_forgone_total{reason="budget"} 1
sycamorekeel_edge_hedges_forgone_total{reason="copy_busy"} 9
`
	if err := testutil.GatherAndCompare(e.registry, strings.NewReader(want), "sycamorekeel_edge_hedges_forgone_total"); err != nil {
		t.Error(err)
	}
}
