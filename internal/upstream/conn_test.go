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

// Guards against an UNKNOWN result for a request whose upstream was down: the
// upstream closes a pooled connection and stops, and the next request must not be
// written to it.
func TestConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	served := make(chan int)
	go func() { served <- serve(ln, 1) }()
	call := caller(t, ln)
	g.Expect(call(time.Minute).Result).To(Equal(pb.Result_OK))
	// On the loopback interface, the close has arrived when CloseWrite returns.
	g.Expect(<-served).To(Equal(1))
	out := call(time.Minute)
	g.Expect(out.Result).To(Equal(pb.Result_UNREACHABLE), out.Detail)
}

// Guards against healthy replicas that appear unreachable, which opens their
// circuits and reduces coverage. The read deadline of the first request expires
// while its connection is idle in the pool; the check before the next request must
// not fail with that deadline and take the failure for a closed connection.
func TestConnectionIdlePastItsDeadlineIsReused(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	served := make(chan int)
	go func() { served <- serve(ln, 2) }()
	call := caller(t, ln)
	const deadline = 200 * time.Millisecond
	g.Expect(call(deadline).Result).To(Equal(pb.Result_OK))
	time.Sleep(deadline)
	out := call(time.Minute)
	g.Expect(out.Result).To(Equal(pb.Result_OK), out.Detail)
	g.Expect(<-served).To(Equal(2))
}

// Guards against a restarted upstream that appears unreachable: it listens again,
// but has closed the pooled connection. Nothing was written to that connection, so
// the request must be sent on a new one.
func TestClosedConnectionIsReplaced(t *testing.T) {
	g := NewWithT(t)
	first, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	served := make(chan int)
	go func() { served <- serve(first, 1) }()
	call := caller(t, first)
	g.Expect(call(time.Minute).Result).To(Equal(pb.Result_OK))
	g.Expect(<-served).To(Equal(1))
	second, err := net.Listen("tcp", first.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	go func() { served <- serve(second, 1) }()
	out := call(time.Minute)
	g.Expect(out.Result).To(Equal(pb.Result_OK), out.Detail)
	g.Expect(<-served).To(Equal(1))
}

// caller returns a function that sends a request to ln with the given timeout.
func caller(t *testing.T, ln net.Listener) func(time.Duration) upstream.Outcome {
	c := upstream.NewClient(upstream.Options{
		Address: ln.Addr().String(), Connections: 4, MaxReply: 1 << 20,
		Metrics: upstream.NewMetrics(prometheus.NewRegistry()),
	})
	t.Cleanup(c.Close)
	return func(timeout time.Duration) upstream.Outcome {
		now := time.Now()
		return c.Do(now, &upstream.Call{RequestID: "r", Path: "/", Snapshot: &pb.Snapshot{Generation: 1, Version: 1}, Deadline: now.Add(timeout)})
	}
}

// serve answers n requests on one connection, then closes its side of it and stops
// listening. It returns the number of requests that it read.
func serve(ln net.Listener, n int) int {
	conn, err := ln.Accept()
	if err != nil {
		return 0
	}
	defer func() { _ = ln.Close() }()
	buf := make([]byte, 4096)
	for i := range n {
		if _, err := conn.Read(buf); err != nil {
			return i
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + upstream.HeaderSnapshot + ": 1/1\r\n\r\n{}"))
	}
	_ = conn.(*net.TCPConn).CloseWrite()
	return n
}
