package wire

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/edge"
	"sycamorekeel.example/sycamorekeel/internal/logring"
	"sycamorekeel.example/sycamorekeel/internal/routing"
)

// testTimeout limits how long a test waits; no test passes by reaching it.
const testTimeout = 10 * time.Second

// startServer starts a server for callers that accepts at most 100 bytes of headers and 10
// bytes of body, read within readTimeout. It returns its listener and the engine's metrics.
func startServer(t *testing.T, readTimeout time.Duration) (net.Listener, *prometheus.Registry) {
	t.Helper()
	registry := prometheus.NewRegistry()
	engine := edge.New(time.Now(), edge.Options{
		Logs:        logring.Nop(),
		Metrics:     edge.NewMetrics(registry),
		MaxRequests: 10,
		Random:      rand.New(rand.NewPCG(1, 2)),
		ViewAge:     func() time.Duration { return 0 },
	})
	c := &routing.Config{Limits: routing.Limits{HeaderBytes: 100, BodyBytes: 10}}
	engine.SetView(time.Now(), &catalog.View{Config: c, Table: routing.Compile(c)})
	in := NewIngress(engine, DefaultHeaderNames(), func() bool { return false }, nil)
	server := &fasthttp.Server{
		Handler: in.Handle, ErrorHandler: in.HandleError,
		ReadBufferSize: 500, MaxRequestBodySize: 100, ReadTimeout: readTimeout, Logger: log.New(io.Discard, "", 0),
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(ln) }()
	t.Cleanup(func() {
		if err := ln.Close(); err != nil {
			t.Error(err)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return ln, registry
}

// Each case is a request that is refused before routing or for lack of a route, its status,
// and the reason in the response body and in the counter.
func TestRefusedRequests(t *testing.T) {
	const head = "GET /p/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: id\r\n"
	for _, c := range []struct {
		name, sent string
		status     int
		reason     edge.Reason
	}{
		{"no id", "GET /p/ HTTP/1.1\r\nHost: h\r\n\r\n", 400, edge.Malformed},
		{"a non-numeric deadline", head + "X-Deadline-Ms: soon\r\n\r\n", 400, edge.Malformed},
		{"not HTTP", "hello\r\n\r\n", 400, edge.Malformed},
		{"headers over the limit", head + "X: " + strings.Repeat("x", 100) + "\r\n\r\n", 431, edge.HeaderTooLarge},
		{"headers over the read buffer", head + "X: " + strings.Repeat("x", 900) + "\r\n\r\n", 431, edge.HeaderTooLarge},
		{"a body over the limit", head + "Content-Length: 11\r\n\r\n12345678901", 413, edge.BodyTooLarge},
		{"a body over the maximum read size", head + "Content-Length: 101\r\n\r\n", 413, edge.BodyTooLarge},
		{"incomplete headers", head, 408, edge.RequestTooSlow},
		{"no route", head + "\r\n", 404, edge.NoRoute},
	} {
		readTimeout := testTimeout
		if c.reason == edge.RequestTooSlow {
			readTimeout = 50 * time.Millisecond
		}
		ln, registry := startServer(t, readTimeout)
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		resp := roundTrip(t, conn, c.sent)
		if resp.StatusCode() != c.status || !strings.Contains(string(resp.Body()), `"`+string(c.reason)+`"`) {
			t.Errorf("%s: %d %s, want %d %s", c.name, resp.StatusCode(), resp.Body(), c.status, c.reason)
		}
		want := fmt.Sprintf("# HELP sycamorekeel_edge_requests_total Requests by how they ended.\n"+
			"# TYPE sycamorekeel_edge_requests_total counter\nsycamorekeel_edge_requests_total{result=%q} 1\n", c.reason)
		if err := testutil.GatherAndCompare(registry, strings.NewReader(want), "sycamorekeel_edge_requests_total"); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		conn.Close()
	}
}

// roundTrip sends bytes and reads one response.
func roundTrip(t *testing.T, conn net.Conn, sent string) *fasthttp.Response {
	t.Helper()
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte(sent)); err != nil {
		t.Fatal(err)
	}
	resp := &fasthttp.Response{}
	if err := resp.Read(bufio.NewReader(conn)); err != nil {
		t.Fatalf("%q: %v", sent, err)
	}
	return resp
}
