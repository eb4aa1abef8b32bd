package httpserver

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// tracked starts a server whose connections are tracked.
func tracked(t *testing.T, handle func()) (*Conns[string], string, *atomic.Int64) {
	t.Helper()
	conns := NewConns[string]()
	read := &atomic.Int64{}
	server := New(&fasthttp.Server{ReduceMemoryUsage: true, Handler: func(ctx *fasthttp.RequestCtx) {
		conns.Begin(ctx.Conn(), "id", time.Now())
		handle()
		ctx.SetConnectionClose()
	}, ConnState: func(nc net.Conn, s fasthttp.ConnState) {
		conns.OnStateChange(nc, s)
		if s == fasthttp.StateActive {
			read.Add(1)
		}
	}})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limiter := &StallLimiter{Timeout: testTimeout, OnStall: func(Stall) {}}
	done := make(chan error, 1)
	go func() { done <- server.Serve(limiter.Listener(ln)) }()
	t.Cleanup(func() {
		if err := ln.Close(); err != nil {
			t.Error(err)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return conns, ln.Addr().String(), read
}

func dialTracked(t *testing.T, address string) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	// The server may have closed it.
	t.Cleanup(func() { _ = nc.Close() })
	if err := nc.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return nc
}

// closeAllIdle calls CloseIdle until no connection is open.
func closeAllIdle(t *testing.T, conns *Conns[string]) {
	t.Helper()
	for limit := time.Now().Add(testTimeout); conns.Len() > 0; time.Sleep(time.Millisecond) {
		conns.CloseIdle(time.Now(), 0)
		if time.Now().After(limit) {
			t.Fatalf("%d connections are still open", conns.Len())
		}
	}
}

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against connections that are closed while a request arrives on them: the server has read its
// first bytes and drops them.
func TestRequestThatMeetsTheCloseIsAnsweredOnceItIsRead(t *testing.T) {
	const rounds, clients = 30, 20
	conns, address, read := tracked(t, func() {})
	var answered atomic.Int64
	for range rounds {
		var sent sync.WaitGroup
		begin := make(chan struct{})
		for range clients {
			nc := dialTracked(t, address)
			sent.Go(func() {
				<-begin
				var resp fasthttp.Response
				if _, err := nc.Write([]byte(request)); err == nil && resp.Read(bufio.NewReader(nc)) == nil {
					answered.Add(1)
				}
			})
		}
		for conns.Len() < clients {
			time.Sleep(time.Millisecond)
		}
		close(begin)
		closeAllIdle(t, conns)
		sent.Wait()
	}
	if answered.Load() != read.Load() || read.Load() == 0 {
		t.Errorf("%d requests read, %d answered", read.Load(), answered.Load())
	}
}

// Guards against a close that cuts a request which is being read or answered.
func TestOnlyIdleConnectionsAreClosed(t *testing.T) {
	release := make(chan struct{})
	conns, address, read := tracked(t, func() { <-release })
	busy, partial, idle := dialTracked(t, address), dialTracked(t, address), dialTracked(t, address)
	for nc, text := range map[net.Conn]string{busy: request, partial: request[:9]} {
		if _, err := nc.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	for len(conns.Answering()) == 0 || read.Load() < 2 || conns.Len() < 3 {
		time.Sleep(time.Millisecond)
	}
	for conns.Len() > 2 {
		conns.CloseIdle(time.Now(), 0)
		time.Sleep(time.Millisecond)
	}
	if _, err := idle.Read(make([]byte, 1)); err == nil {
		t.Error("the idle connection is open")
	}
	if n := conns.Busy(time.Now()); n != 1 {
		t.Errorf("%d connections without the partial request, want 1", n)
	}
	close(release)
	if _, err := partial.Write([]byte(request[9:])); err != nil {
		t.Fatal(err)
	}
	for _, nc := range []net.Conn{busy, partial} {
		var resp fasthttp.Response
		if err := resp.Read(bufio.NewReader(nc)); err != nil {
			t.Error(err)
		}
	}
	closeAllIdle(t, conns)
}
