package httpserver

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"sycamorekeel.example/sycamorekeel/internal/sockpeek"
)

const (
	// testTimeout limits how long a test waits; no test passes by reaching it.
	testTimeout = 20 * time.Second
	// largeBody exceeds what the kernels buffer for a connection.
	largeBody = 8 << 20
)

// serve starts a server with limited connections that answers every request with a large
// body, and returns a connection to it on which one request was sent.
func serve(t *testing.T, l *StallLimiter, handled func(net.Conn), onState func(net.Conn, fasthttp.ConnState)) *net.TCPConn {
	t.Helper()
	body := bytes.Repeat([]byte{'x'}, largeBody)
	server := New(&fasthttp.Server{ReduceMemoryUsage: true, ConnState: onState, Handler: func(ctx *fasthttp.RequestCtx) {
		SetRequest(ctx.Conn(), string(ctx.Request.Header.Peek("X-Id")))
		if handled != nil {
			handled(ctx.Conn())
		}
		ctx.Response.SetBodyRaw(body)
	}})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(l.Listener(ln)) }()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	// The kernel offers room in a larger buffer only after much of it has been read.
	if err := nc.(*net.TCPConn).SetReadBuffer(32 << 10); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		// The connection may have been reset.
		_ = nc.Close()
		if err := ln.Close(); err != nil {
			t.Error(err)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	if err := nc.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := nc.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\nX-Id: id1\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	return nc.(*net.TCPConn)
}

// Guards against responses that a VM holds for as long as callers keep connections open from
// which they read nothing: writes to callers had no time limit.
func TestCallerThatReadsNothingIsClosed(t *testing.T) {
	stalls := make(chan Stall, 1)
	nc := serve(t, &StallLimiter{Timeout: 100 * time.Millisecond, OnStall: func(s Stall) { stalls <- s }}, nil, nil)
	select {
	case s := <-stalls:
		if s.Request != "id1" || s.Remote != nc.LocalAddr().String() || s.Written >= s.Size || s.Size < largeBody-1<<13 || s.Lost {
			t.Errorf("%+v, want the request id1 of %v, nothing lost", s, nc.LocalAddr())
		}
	case <-time.After(testTimeout):
		t.Fatal("no stall was reported")
	}
	if n, err := io.Copy(io.Discard, nc); err == nil || n >= largeBody {
		t.Errorf("%d bytes could be read from the connection (%v), want it to be reset", n, err)
	}
}

// Guards against a time limit on the whole response: a caller that reads a little shortly
// before it would count as stalled, again and again, must get all of it.
func TestCallerThatReadsSlowlyIsServed(t *testing.T) {
	conns := make(chan *net.TCPConn, 1)
	var nc *net.TCPConn
	var got bytes.Buffer
	checks, piece := 0, make([]byte, 256<<10)
	written := make(chan struct{})
	l := &StallLimiter{
		Timeout: 20 * time.Millisecond,
		OnStall: func(s Stall) { t.Errorf("closed after %d checks: %+v", checks, s) },
		onCheck: func() {
			if nc == nil {
				nc = <-conns
			}
			if checks++; checks%(stallChecks/2) == 0 {
				n, err := nc.Read(piece)
				if err != nil {
					t.Error(err)
				}
				got.Write(piece[:n])
			}
		},
	}
	c := serve(t, l, nil, func(_ net.Conn, s fasthttp.ConnState) {
		if s == fasthttp.StateIdle {
			close(written)
		}
	})
	conns <- c
	select {
	case <-written:
	case <-time.After(testTimeout):
		t.Fatal("the response was not written")
	}
	resp := &fasthttp.Response{}
	if err := resp.Read(bufio.NewReader(io.MultiReader(&got, c))); err != nil {
		t.Fatal(err)
	}
	if len(resp.Body()) != largeBody || checks < 4*stallChecks {
		t.Errorf("%d bytes after %d checks, want %d after at least %d", len(resp.Body()), checks, largeBody, 4*stallChecks)
	}
}

// Guards against a write that does not use the state of its connection, and against a
// connection that is not closed because the state cannot be read.
func TestWriteReadsTheStateOfTCP(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		lost bool
	}{
		{"segments retransmitted", nil, true},
		{"state not readable", unix.EINVAL, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			stalls := make(chan Stall, 1)
			serve(t, &StallLimiter{
				Timeout: 100 * time.Millisecond,
				OnStall: func(s Stall) { stalls <- s },
				tcpInfo: func(net.Conn) (*unix.TCPInfo, error) { return &unix.TCPInfo{Retransmits: 3}, c.err },
			}, nil, nil)
			select {
			case s := <-stalls:
				if s.Lost != c.lost {
					t.Errorf("lost is %v, want %v", s.Lost, c.lost)
				}
			case <-time.After(testTimeout):
				t.Fatal("no stall was reported")
			}
		})
	}
}

// Guards against callers that have left and are not noticed, because the type of the limited
// connection hides the socket from sockpeek.
func TestLimitedConnectionCanBeInspected(t *testing.T) {
	states := make(chan sockpeek.State, 1)
	l := &StallLimiter{Timeout: time.Second, OnStall: func(Stall) {}}
	closed := make(chan struct{})
	nc := serve(t, l, func(c net.Conn) {
		<-closed
		for end := time.Now().Add(testTimeout); sockpeek.Look(c) != sockpeek.Ended && time.Now().Before(end); time.Sleep(time.Millisecond) {
		}
		states <- sockpeek.Look(c)
	}, nil)
	if err := nc.Close(); err != nil {
		t.Fatal(err)
	}
	close(closed)
	if s := <-states; s != sockpeek.Ended {
		t.Errorf("state %v after the caller has left, want %v", s, sockpeek.Ended)
	}
}

// Guards against callers that read and are cut during a loss of a few seconds on the link, when
// TCP waits longer than the timeout between two retransmissions, and against callers that do
// not read and are allowed as long.
func TestLossAllowsMoreChecks(t *testing.T) {
	lost := &unix.TCPInfo{Retransmits: 1, Unacked: 10, Lost: 10, Total_retrans: 1}
	for _, c := range []struct {
		name string
		// from is the state from the first check without progress on, then that from check
		// changed on, if that is not 0.
		from, then *unix.TCPInfo
		changed    int
		// want is the number of checks without progress after which the write has stalled.
		want int
	}{
		{name: "state not known", want: 10},
		{name: "nothing lost", from: &unix.TCPInfo{}, want: 10},
		{name: "closed window, probe just sent", from: &unix.TCPInfo{Probes: 1, Backoff: 4}, want: 10},
		{name: "closed window, probes answered", from: &unix.TCPInfo{Backoff: 5}, want: 10},
		{name: "closed window, probes not answered", from: &unix.TCPInfo{Probes: 2, Backoff: 2}, want: 30},
		{name: "earlier losses, recovered", from: &unix.TCPInfo{Total_retrans: 7}, want: 10},
		{name: "segments retransmitted", from: lost, want: 30},
		{name: "recovered before the tenth check", from: lost, then: &unix.TCPInfo{}, changed: 9, want: 10},
		{name: "recovered later, nothing delivered yet", from: lost, then: &unix.TCPInfo{}, changed: 11, want: 30},
	} {
		var w watch
		// The first check sets what progress is measured by, the second sees progress.
		if w.check(-100, nil) || w.check(0, nil) {
			t.Fatalf("%s: stalled at once", c.name)
		}
		n := 1
		for ; n <= c.want; n++ {
			info := c.from
			if c.changed > 0 && n >= c.changed {
				info = c.then
			}
			if w.check(0, func() *unix.TCPInfo { return info }) {
				break
			}
		}
		if n != c.want || w.lost != (c.want == 30) {
			t.Errorf("%s: stalled at check %d, lost is %v, want check %d", c.name, n, w.lost, c.want)
		}
	}
}

// Guards against a loss that is over and still allows more checks.
func TestProgressEndsLoss(t *testing.T) {
	info := &unix.TCPInfo{Retransmits: 1}
	var w watch
	check := func(acknowledged, n int) (stalled bool) {
		for range n {
			stalled = w.check(acknowledged, func() *unix.TCPInfo { return info })
		}
		return stalled
	}
	if check(0, 1+29) || !w.lost {
		t.Fatalf("%+v after 29 checks without progress, want a loss and no stall", w)
	}
	info = &unix.TCPInfo{}
	if check(1, 1+9) || !check(1, 1) || w.lost {
		t.Errorf("%+v after progress and ten checks, want a stall without loss", w)
	}
}
