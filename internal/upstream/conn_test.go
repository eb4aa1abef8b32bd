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
	go func() { served <- serve(ln, 1) }()
	call := caller(t, ln)
	g.Expect(call(time.Minute).Result).To(Equal(pb.Result_OK))
	// On loopback the close has arrived when CloseWrite returns.
	g.Expect(<-served).To(Equal(1))
	out := call(time.Minute)
	g.Expect(out.Result).To(Equal(pb.Result_UNREACHABLE), out.Detail)
}

// Symptom: all replicas of a shard are refused as unreachable at once, though
// each of them answers; their circuits open and coverage falls.
// Sequence: a request is answered; its deadline passes while the connection
// waits in the pool; the next request looks whether the connection is closed.
// Cause: the look failed with the read deadline that the first request had left
// on the connection, and that passed for a close.
func TestAConnectionIdleBeyondADeadlineIsUsedAgain(t *testing.T) {
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

// Symptom: an upstream that was restarted is refused as unreachable.
// Sequence: a request is answered; the upstream closes the connection, but still
// listens; the next request meets the closed connection.
// Cause: nothing was written, yet the request was given up.
func TestAClosedConnectionGivesWayToANewOne(t *testing.T) {
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

// caller sends requests to ln, each with the time it is given.
func caller(t *testing.T, ln net.Listener) func(time.Duration) upstream.Outcome {
	c := upstream.NewClient(upstream.Options{
		Address: ln.Addr().String(), Connections: 4, MaxReply: 1 << 20,
		Metrics: upstream.NewMetrics(prometheus.NewRegistry()),
	})
	t.Cleanup(c.Close)
	return func(left time.Duration) upstream.Outcome {
		now := time.Now()
		return c.Do(now, &upstream.Call{RequestID: "r", Path: "/", Snapshot: &pb.Snapshot{Generation: 1, Version: 1}, Deadline: now.Add(left)})
	}
}

// serve answers n requests on one connection, then closes its side and stops
// listening. It returns the requests it read.
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
