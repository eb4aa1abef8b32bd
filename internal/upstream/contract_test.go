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
	"github.com/prometheus/client_golang/prometheus/testutil"

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
	// longTimeout is a request timeout that expires only if the server hangs.
	longTimeout = time.Minute
	// hangTimeout is the request timeout where the server hangs on purpose.
	hangTimeout = 50 * time.Millisecond
)

func contractClient(address string) *upstream.Client {
	c := upstream.NewClient(upstream.Options{
		Address: address, Connections: 4, MaxReply: contractMaxReply,
		Metrics: upstream.NewMetrics(prometheus.NewRegistry()),
	})
	DeferCleanup(c.Close)
	return c
}

func contractCall(c *upstream.Client, timeout time.Duration) upstream.Outcome {
	now := time.Now()
	return c.Do(now, &upstream.Call{
		RequestID: "vm-1.1.1", Path: "/search", Shard: 3, Body: []byte(`{"query":"lease"}`),
		Snapshot: &pb.Snapshot{Generation: 1, Version: 7}, Deadline: now.Add(timeout),
	})
}

// rawServer reads one request from each connection and writes a fixed reply. It
// then closes the connection, or with hang keeps it open until the end of the test.
// It sends the requests that it read to served.
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

// Guards against a wrong result or a retry by the library when the upstream
// misbehaves after it has read the request: the request would run twice, be reported
// as not run although it ran, or be answered with something else than the upstream's
// reply.
var _ = DescribeTable("a misbehaving upstream",
	func(reply string, hang bool, want pb.Result) {
		s := startRaw(reply, hang)
		timeout := longTimeout
		if hang {
			timeout = hangTimeout
		}
		out := contractCall(contractClient(s.address), timeout)
		Expect(out.Result).To(Equal(want), out.Detail)
		if want != pb.Result_OK {
			Expect(out.Body).To(BeNil())
			Expect(out.Detail).NotTo(BeEmpty())
		}
		Expect(s.served).To(HaveLen(1), "sent once")
	},
	Entry("a complete reply", okHead+"Content-Length: 2\r\n\r\n{}", false, pb.Result_OK),
	Entry("closes after reading the request", "", false, pb.Result_UNKNOWN),
	Entry("never replies", "", true, pb.Result_UNKNOWN),
	Entry("stalls within the headers", "HTTP/1.1 200 OK\r\nX-Snap", true, pb.Result_UNKNOWN),
	Entry("closes within the headers", "HTTP/1.1 200 OK\r\nX-Snap", false, pb.Result_UNKNOWN),
	Entry("truncated body", okHead+"Content-Length: 9\r\n\r\n{}", false, pb.Result_UNKNOWN),
	Entry("stalls within the body", okHead+"Content-Length: 9\r\n\r\n{}", true, pb.Result_UNKNOWN),
	Entry("non-numeric content length", okHead+"Content-Length: many\r\n\r\n{}", false, pb.Result_UNKNOWN),
	Entry("not HTTP", "hello\r\n\r\n", false, pb.Result_UNKNOWN),
	Entry("status 000", "HTTP/1.1 000 Zero\r\nX-Snapshot: 1/7\r\nContent-Length: 2\r\n\r\n{}", false, pb.Result_UNKNOWN),
	Entry("status 099", "HTTP/1.1 099 X\r\nX-Snapshot: 1/7\r\nContent-Length: 2\r\n\r\n{}", false, pb.Result_UNKNOWN),
	Entry("unknown version", "HTTP/9.9 200 OK\r\nX-Snapshot: 1/7\r\nContent-Length: 2\r\n\r\n{}", false, pb.Result_UNKNOWN),
	Entry("blank before a colon", "HTTP/1.1 200 OK\r\nX-Snapshot : 1/7\r\nContent-Length: 2\r\n\r\n{}", false, pb.Result_UNKNOWN),
	Entry("blank before the colon of a refusal", "HTTP/1.1 503 X\r\nX-Not-Run : shed\r\nContent-Length: 0\r\n\r\n", false, pb.Result_UNKNOWN),
	Entry("chunks in version 1.0", "HTTP/1.0 200 OK\r\nX-Snapshot: 1/7\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", false, pb.Result_UNKNOWN),
	Entry("blank in a trailer", okHead+"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Sum: 1\r\n\r\n", false, pb.Result_UNKNOWN),
	Entry("body over the limit", okHead+"Content-Length: 4096\r\n\r\n"+strings.Repeat("x", 4096), false, pb.Result_UPSTREAM_ERROR),
	Entry("content length over the limit", okHead+"Content-Length: 99999999\r\n\r\n", false, pb.Result_UPSTREAM_ERROR),
	Entry("chunked body over the limit", okHead+"Transfer-Encoding: chunked\r\n\r\n1000\r\n"+strings.Repeat("x", 4096)+"\r\n0\r\n\r\n", false, pb.Result_UPSTREAM_ERROR),
	Entry("no snapshot", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", false, pb.Result_UPSTREAM_ERROR),
	Entry("bad snapshot", "HTTP/1.1 200 OK\r\nX-Snapshot: newest\r\nContent-Length: 2\r\n\r\n{}", false, pb.Result_UPSTREAM_ERROR),
	Entry("error status", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", false, pb.Result_UPSTREAM_ERROR),
	Entry("status 503 without X-Not-Run", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", false, pb.Result_UPSTREAM_ERROR),
	Entry("redirect, not followed", "HTTP/1.1 302 Found\r\nLocation: /search\r\nContent-Length: 0\r\n\r\n", false, pb.Result_UPSTREAM_ERROR),
	Entry("not run: shed", notRunReply("shed"), false, pb.Result_SHED),
	Entry("not run: draining", notRunReply("draining"), false, pb.Result_UPSTREAM_LEAVING),
	Entry("not run: snapshot", notRunReply("snapshot"), false, pb.Result_NO_SNAPSHOT),
	Entry("not run: deadline", notRunReply("deadline"), false, pb.Result_TOO_LATE),
	Entry("not run: cancelled", notRunReply("cancelled"), false, pb.Result_CANCELLED),
	Entry("not run: unknown reason", notRunReply("tired"), false, pb.Result_UNKNOWN),
)

// Guards against a reply without end, in any part, that is kept until memory runs out. Nothing but the
// limits of the client ends it: the deadline is far away.
var _ = Describe("a reply without end", func() {
	for part, text := range standin.EndlessAnswers {
		It("ends the request: "+part, func() {
			s, err := standin.StartEndless(text[0], text[1])
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(s.Close)
			out := contractCall(contractClient(s.Address()), longTimeout)
			Expect(out.Result).To(BeElementOf(pb.Result_UNKNOWN, pb.Result_UPSTREAM_ERROR), out.Detail)
			Expect(out.Body).To(BeNil())
			s.WaitEnded()
		})
	}
})

func notRunReply(reason string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: " + reason + "\r\nContent-Length: 0\r\n\r\n"
}

var _ = Describe("the upstream client", func() {
	It("sends the method, path and headers of the call", func() {
		s := startRaw(okHead+"Content-Length: 2\r\n\r\n{}", false)
		contractCall(contractClient(s.address), longTimeout)
		req := <-s.served
		Expect(req.Method).To(Equal(http.MethodPost))
		Expect(req.URL.Path).To(Equal("/search"))
		Expect(req.Header.Get(upstream.HeaderRequestID)).To(Equal("vm-1.1.1"))
		Expect(req.Header.Get(upstream.HeaderSnapshot)).To(Equal("1/7"))
		Expect(req.Header.Get(upstream.HeaderShard)).To(Equal("3"))
		Expect(req.Header.Get(upstream.HeaderDeadline)).To(MatchRegexp(`^[0-9]+$`))
	})

	It("counts a malformed reply by the rule that it breaks", func() {
		registry := prometheus.NewRegistry()
		s := startRaw("HTTP/1.1 000 Zero\r\nContent-Length: 0\r\n\r\n", false)
		c := upstream.NewClient(upstream.Options{Address: s.address, Connections: 1, Metrics: upstream.NewMetrics(registry)})
		contractCall(c, longTimeout)
		Expect(testutil.GatherAndCompare(registry, strings.NewReader(`
# HELP sycamorekeel_upstream_malformed_responses_total Responses of upstreams, to probes and cancellations too, that are no HTTP responses, by the rule that they break.
# TYPE sycamorekeel_upstream_malformed_responses_total counter
sycamorekeel_upstream_malformed_responses_total{rule="status"} 1
`), "sycamorekeel_upstream_malformed_responses_total")).To(Succeed())
	})

	It("reports a refused connection as UNREACHABLE", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(ln.Close()).To(Succeed())
		Expect(contractCall(contractClient(ln.Addr().String()), longTimeout).Result).To(Equal(pb.Result_UNREACHABLE))
	})
})

var _ = DescribeTable("the stand-in upstream follows the contract",
	func(b standin.Behaviour, want pb.Result, runs int) {
		u, err := standin.StartUpstream("u", 1, b)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(u.Close)
		out := contractCall(contractClient(u.Address()), longTimeout)
		Expect(out.Result).To(Equal(want), out.Detail)
		Expect(u.RunsOf(`{"query":"lease"}`)).To(Equal(runs))
	},
	Entry("ready", standin.Behaviour{}, pb.Result_OK, 1),
	Entry("draining", standin.Behaviour{Draining: true}, pb.Result_UPSTREAM_LEAVING, 0),
	Entry("another snapshot", standin.Behaviour{Snapshots: []string{"1/6"}}, pb.Result_NO_SNAPSHOT, 0),
)
