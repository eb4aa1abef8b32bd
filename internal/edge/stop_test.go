package edge

import (
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/connpool"
	"sycamorekeel.example/sycamorekeel/internal/routing"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
)

// forwardProtocol passes requests on and takes every response for an answer.
type forwardProtocol struct{}

func (forwardProtocol) Encode(req *fasthttp.Request, m *connpool.Message, _ *catalog.Upstream, _ time.Duration) {
	req.SetRequestURI("/" + m.ID)
	req.Header.SetHost("h")
}

func (forwardProtocol) Decode(*fasthttp.Response, *connpool.Message) (scatter.Result, string, string) {
	return scatter.Answered, "", ""
}

func (forwardProtocol) ResponseID(*fasthttp.Response) string { return "" }

func (forwardProtocol) DecodeLoad(*fasthttp.Response) *connpool.Load { return nil }

func (forwardProtocol) DecodeHealth(*fasthttp.Response) (connpool.Health, error) {
	return connpool.Health{}, nil
}

// stopEngine returns an engine with one upstream and a plain, an unsafe and a query route to it.
// Calls are delivered to the channel and get no reply.
func stopEngine(t *testing.T, address string) (*testEngine, chan *connpool.Call) {
	t.Helper()
	e := newTestEngine()
	e.opts.MaxRequests = 10
	e.opts.Budget.Allowance = 100
	c := &routing.Config{Routes: []routing.Route{
		{Name: "plain", Host: "h", Prefix: "/p/", Idempotent: true, Attempts: 2, Objective: time.Second, Targets: []routing.Target{{Service: "s", Weight: 1}}},
		{Name: "unsafe", Host: "h", Prefix: "/u/", Attempts: 2, Objective: time.Second, Targets: []routing.Target{{Service: "s", Weight: 1}}},
		{Name: "query", Host: "h", Prefix: "/q/", Idempotent: true, Attempts: 2, Objective: time.Second, MinCoverage: 1, Shards: []string{"s"}},
	}, Services: []routing.Service{{Name: "s"}}}
	u := &catalog.Upstream{ID: "u", Service: "s", Address: address, Slots: 4}
	e.SetView(time.Now(), &catalog.View{
		Revision: 1, Config: c, Table: routing.Compile(c),
		Upstreams: map[string]*catalog.Upstream{"u": u}, Services: map[string][]*catalog.Upstream{"s": {u}},
	})
	calls := make(chan *connpool.Call, 10)
	e.startCall = func(c *connpool.Call) { calls <- c }
	return e, calls
}

// serveAsync serves a request and returns the channel of its answer.
func (e *testEngine) serveAsync(path string) <-chan Answer {
	out := make(chan Answer, 1)
	go func() { out <- e.Serve(request(path)) }()
	return out
}

func awaitAnswer(t *testing.T, what string, answers <-chan Answer) Answer {
	t.Helper()
	select {
	case a := <-answers:
		return a
	case <-time.After(testTimeout):
		t.Fatalf("%s: no answer", what)
		return Answer{}
	}
}

const testTimeout = 10 * time.Second

// Guards against requests that the process holds at its exit: those that wait for a connection
// and those that every upstream has refused got neither an answer nor a refusal.
func TestRequestsHeldAtAShutdownAreRefusedAsNotRun(t *testing.T) {
	for _, path := range []string{"/p/", "/u/", "/q/"} {
		for name, reply := range map[string]*connpool.Reply{
			"waiting for a connection": nil,
			"refused by all upstreams": {Result: scatter.Refused, Response: &fasthttp.Response{}},
		} {
			e, calls := stopEngine(t, "127.0.0.1:1")
			answers := e.serveAsync(path)
			call := <-calls
			if reply != nil {
				call.Done(*reply)
			}
			e.BeginStop(time.Now())
			a := awaitAnswer(t, name, answers)
			if !a.NotRun || a.RetryAfter <= 0 || a.Response != nil {
				t.Errorf("%s %s: %+v, want a refusal with the time to return", path, name, a)
			}
		}
	}
}

// Guards against a request that is given to an upstream although the VM exits before the upstream
// could answer it.
func TestRequestThatCannotBeServedBeforeTheExitIsRefusedAtOnce(t *testing.T) {
	for _, path := range []string{"/p/", "/u/", "/q/"} {
		e, calls := stopEngine(t, "127.0.0.1:1")
		e.BeginStop(time.Now().Add(time.Second - time.Millisecond))
		a := awaitAnswer(t, path, e.serveAsync(path))
		if a.Reason != Stopping || !a.NotRun || a.RetryAfter <= 0 || len(calls) > 0 {
			t.Errorf("%s: %+v after %d sends, want an immediate refusal", path, a, len(calls))
		}
	}
}

// Guards against a shutdown that ends the work of requests which can still be answered.
func TestRequestInFlightAtAShutdownIsAnswered(t *testing.T) {
	e, calls := stopEngine(t, "127.0.0.1:1")
	answers := e.serveAsync("/p/")
	call := <-calls
	e.BeginStop(time.Now().Add(testTimeout))
	call.Done(connpool.Reply{Result: scatter.Answered, Response: &fasthttp.Response{}})
	if a := awaitAnswer(t, "plain", answers); a.Reason != "" || a.Response == nil {
		t.Errorf("%+v, want the upstream's answer", a)
	}
}

// Guards against the refusal of a request that has been written to an upstream: it promises that
// the request has not run.
func TestRequestAtAnUpstreamAtTheExitIsNotSaidToBeUnrun(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	reached := make(chan net.Conn, 10)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := nc.Read(make([]byte, 1)); err == nil {
				reached <- nc
			}
		}
	}()
	for _, path := range []string{"/p/", "/u/", "/q/"} {
		e, _ := stopEngine(t, ln.Addr().String())
		e.pools = connpool.NewPools(forwardProtocol{}, upstreamObserver{e.opts.Traffic, e.opts.Place, e.Engine}, e.connectionLimit)
		e.startCall = e.pools.Do
		answers := e.serveAsync(path)
		nc := <-reached
		e.BeginStop(time.Now())
		a := awaitAnswer(t, path, answers)
		if a.Reason != Stopping && a.Reason != Reason(scatter.TooFewParts) || a.NotRun || a.RetryAfter != 0 {
			t.Errorf("%s: %+v, want an answer that does not say whether it has run", path, a)
		}
		nc.Close()
	}
}
