package upstream_test

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/standin"
	"sycamorekeel.example/sycamorekeel/internal/upstream"
)

func TestContract(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Upstream interface")
}

const (
	contractMaxReply = 1 << 10
	// ample is a deadline that no row reaches unless the server hangs.
	ample = time.Minute
	hangs = 50 * time.Millisecond
)

func contractClient(address string) *upstream.Client {
	c := upstream.NewClient(upstream.Options{
		Address: address, Connections: 4, MaxReply: contractMaxReply,
		Metrics: upstream.NewMetrics(prometheus.NewRegistry()),
	})
	DeferCleanup(c.Close)
	return c
}

func contractCall(c *upstream.Client, within time.Duration) upstream.Outcome {
	now := time.Now()
	return c.Do(now, &upstream.Call{
		RequestID: "vm-1.1.1", Path: "/search", Shard: 3, Body: []byte(`{"query":"lease"}`),
		Snapshot: &pb.Snapshot{Generation: 1, Version: 7}, Deadline: now.Add(within),
	})
}

// rawServer reads one whole request from each connection, writes reply and
// closes, or keeps the connection open when hang is set. It counts requests.
type rawServer struct {
	address string
	served  chan *http.Request
}

func startRaw(reply string, hang bool) *rawServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &rawServer{address: ln.Addr().String(), served: make(chan *http.Request, 16)}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			s.serve(conn, reply, hang, stop)
		}
	}()
	DeferCleanup(func() {
		close(stop)
		_ = ln.Close()
		<-done
	})
	return s
}

func (s *rawServer) serve(conn net.Conn, reply string, hang bool, stop chan struct{}) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	s.served <- req
	_, _ = conn.Write([]byte(reply))
	if hang {
		<-stop
	}
}

const okHead = "HTTP/1.1 200 OK\r\nX-Snapshot: 1/7\r\n"

// Symptom: a payment runs twice, a caller is told "not run" of what ran, or an
// answer is not the one that the upstream gave.
// Sequence: the upstream misbehaves in one way after it has read the request.
// Cause: a failure taken for another, or a request sent again by the library.
var _ = DescribeTable("a misbehaving upstream",
	func(reply string, hang bool, want pb.Result) {
		s := startRaw(reply, hang)
		within := ample
		if hang {
			within = hangs
		}
		out := contractCall(contractClient(s.address), within)
		Expect(out.Result).To(Equal(want), out.Detail)
		if want != pb.Result_OK {
			Expect(out.Body).To(BeNil())
			Expect(out.Detail).NotTo(BeEmpty())
		}
		Expect(s.served).To(HaveLen(1), "sent once")
	},
	Entry("a whole answer", okHead+"Content-Length: 2\r\n\r\n{}", false, pb.Result_OK),
	Entry("closes after it has read", "", false, pb.Result_UNKNOWN),
	Entry("never answers", "", true, pb.Result_UNKNOWN),
	Entry("stops in its headers", "HTTP/1.1 200 OK\r\nX-Snap", true, pb.Result_UNKNOWN),
	Entry("closes in its headers", "HTTP/1.1 200 OK\r\nX-Snap", false, pb.Result_UNKNOWN),
	Entry("truncated body", okHead+"Content-Length: 9\r\n\r\n{}", false, pb.Result_UNKNOWN),
	Entry("body that stops", okHead+"Content-Length: 9\r\n\r\n{}", true, pb.Result_UNKNOWN),
	Entry("length that is no number", okHead+"Content-Length: many\r\n\r\n{}", false, pb.Result_UNKNOWN),
	Entry("not HTTP", "hello\r\n\r\n", false, pb.Result_UNKNOWN),
	Entry("huge body", okHead+"Content-Length: 4096\r\n\r\n"+strings.Repeat("x", 4096), false, pb.Result_UPSTREAM_ERROR),
	Entry("huge body announced", okHead+"Content-Length: 99999999\r\n\r\n", false, pb.Result_UPSTREAM_ERROR),
	Entry("huge body in pieces", okHead+"Transfer-Encoding: chunked\r\n\r\n1000\r\n"+strings.Repeat("x", 4096)+"\r\n0\r\n\r\n", false, pb.Result_UPSTREAM_ERROR),
	Entry("no snapshot", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", false, pb.Result_UPSTREAM_ERROR),
	Entry("bad snapshot", "HTTP/1.1 200 OK\r\nX-Snapshot: newest\r\nContent-Length: 2\r\n\r\n{}", false, pb.Result_UPSTREAM_ERROR),
	Entry("error status", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", false, pb.Result_UPSTREAM_ERROR),
	Entry("overload without a word on whether it ran", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", false, pb.Result_UPSTREAM_ERROR),
	Entry("redirect, not followed", "HTTP/1.1 302 Found\r\nLocation: /search\r\nContent-Length: 0\r\n\r\n", false, pb.Result_UPSTREAM_ERROR),
	Entry("not run: shed", notRunReply("shed"), false, pb.Result_SHED),
	Entry("not run: draining", notRunReply("draining"), false, pb.Result_UPSTREAM_LEAVING),
	Entry("not run: snapshot", notRunReply("snapshot"), false, pb.Result_NO_SNAPSHOT),
	Entry("not run: deadline", notRunReply("deadline"), false, pb.Result_TOO_LATE),
	Entry("not run: cancelled", notRunReply("cancelled"), false, pb.Result_CANCELLED),
	Entry("not run for a reason we do not know", notRunReply("tired"), false, pb.Result_UNKNOWN),
)

func notRunReply(why string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: " + why + "\r\nContent-Length: 0\r\n\r\n"
}

var _ = Describe("the upstream client", func() {
	It("says what it asks for", func() {
		s := startRaw(okHead+"Content-Length: 2\r\n\r\n{}", false)
		contractCall(contractClient(s.address), ample)
		req := <-s.served
		Expect(req.Method).To(Equal(http.MethodPost))
		Expect(req.URL.Path).To(Equal("/search"))
		Expect(req.Header.Get(upstream.HeaderRequestID)).To(Equal("vm-1.1.1"))
		Expect(req.Header.Get(upstream.HeaderSnapshot)).To(Equal("1/7"))
		Expect(req.Header.Get(upstream.HeaderShard)).To(Equal("3"))
		Expect(req.Header.Get(upstream.HeaderDeadline)).To(MatchRegexp(`^[0-9]+$`))
	})

	It("calls a refused connection unreachable", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(ln.Close()).To(Succeed())
		Expect(contractCall(contractClient(ln.Addr().String()), ample).Result).To(Equal(pb.Result_UNREACHABLE))
	})
})

var _ = DescribeTable("the stand-in keeps the contract",
	func(b standin.Behaviour, want pb.Result, runs int) {
		u, err := standin.StartUpstream("u", 1, b)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(u.Close)
		out := contractCall(contractClient(u.Address()), ample)
		Expect(out.Result).To(Equal(want), out.Detail)
		Expect(u.RunsOf(`{"query":"lease"}`)).To(Equal(runs))
	},
	Entry("answers", standin.Behaviour{}, pb.Result_OK, 1),
	Entry("draining", standin.Behaviour{Draining: true}, pb.Result_UPSTREAM_LEAVING, 0),
	Entry("another snapshot", standin.Behaviour{Snapshots: []string{"1/6"}}, pb.Result_NO_SNAPSHOT, 0),
)
