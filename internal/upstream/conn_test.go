package upstream_test

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/upstream"
)

// Symptom: a payment is reported as unknown though its upstream was down.
// Sequence: an answer leaves a connection in the pool; the upstream stops and
// closes it; the next request is written to it.
// Cause: a connection used without a look whether its other end is still there.
func TestAConnectionClosedWhileIdleCarriesNoRequest(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	served := make(chan int)
	go func() { served <- serveOnce(ln) }()
	c := upstream.NewClient(upstream.Options{
		Address: ln.Addr().String(), Connections: 4, MaxReply: 1 << 20,
		Metrics: upstream.NewMetrics(prometheus.NewRegistry()),
	})
	defer c.Close()
	call := func() upstream.Outcome {
		now := time.Now()
		return c.Do(now, &upstream.Call{RequestID: "r", Path: "/", Snapshot: &pb.Snapshot{Generation: 1, Version: 1}, Deadline: now.Add(time.Minute)})
	}
	g.Expect(call().Result).To(Equal(pb.Result_OK))
	// On loopback the close has arrived when CloseWrite returns.
	g.Expect(<-served).To(Equal(1))
	out := call()
	g.Expect(out.Result).To(Equal(pb.Result_UNREACHABLE), out.Detail)
}

// serveOnce answers one request, then closes its side and stops listening. It
// returns the requests it read.
func serveOnce(ln net.Listener) int {
	conn, err := ln.Accept()
	if err != nil {
		return 0
	}
	buf := make([]byte, 4096)
	if _, err := conn.Read(buf); err != nil {
		return 0
	}
	_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + upstream.HeaderSnapshot + ": 1/1\r\n\r\n{}"))
	_ = conn.(*net.TCPConn).CloseWrite()
	_ = ln.Close()
	return 1
}
