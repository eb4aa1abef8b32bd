package httpserver

import (
	"bufio"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
)

// Guards against the close of idle connections during a shutdown: a caller whose request meets it
// cannot tell whether the request has run.
func TestOpenConnectionsAreServedAfterTheListenerIsClosed(t *testing.T) {
	s := New(&fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusTeapot) }})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	br := bufio.NewReader(nc)
	exchange := func() {
		t.Helper()
		if _, err := nc.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
		var resp fasthttp.Response
		if err := resp.Read(br); err != nil || resp.StatusCode() != fasthttp.StatusTeapot {
			t.Fatalf("status %d, %v", resp.StatusCode(), err)
		}
	}
	exchange()
	for range 2 {
		if err := s.StopAccepting(); err != nil {
			t.Fatal(err)
		}
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if other, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		other.Close()
		t.Error("a new connection is accepted")
	}
	exchange()
}
