package callerapi_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/admission"
	"sycamorekeel.example/sycamorekeel/internal/callerapi"
	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/explain"
	"sycamorekeel.example/sycamorekeel/internal/frontend"
	"sycamorekeel.example/sycamorekeel/internal/idempotency"
	"sycamorekeel.example/sycamorekeel/internal/logring"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/poison"
	"sycamorekeel.example/sycamorekeel/internal/query"
	"sycamorekeel.example/sycamorekeel/internal/refusal"
	"sycamorekeel.example/sycamorekeel/internal/share"
	"sycamorekeel.example/sycamorekeel/internal/standin"
)

func TestCallerAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Caller API")
}

var document = standin.Office(
	standin.Kind{Name: "search", Service: "s", RatePerSecond: 1000, Concurrency: 100, DeadlineMS: 5000, CoverageFloor: 1, Idempotent: true, Merge: "top_k"},
	standin.Kind{Name: "pay", Service: "s", RatePerSecond: 1000, Concurrency: 100, DeadlineMS: 5000, CoverageFloor: 1, Merge: "single"},
) + standin.Service{Name: "s", Path: "/s", Upstreams: []string{"a"}, Slots: 1, Connections: 1, Shards: [][]string{{"a"}}}.Text()

const (
	token          = standin.Token
	vmName         = "vm-1"
	maxBodyBytes   = 1000
	maxHeaderBytes = 2000
	maxConnsPerIP  = 20
	ownAddress     = "127.0.0.1:9"
)

// fakeShards is a query.Sender that answers every sub-request with a preset result.
type fakeShards struct {
	mu     sync.Mutex
	result pb.Result
	answer []byte
	engine *query.Engine
	runs   map[string]int
}

func (s *fakeShards) Send(_ *query.Action, f *pb.Frame) string {
	r := f.GetRequest()
	s.mu.Lock()
	result, answer := s.result, s.answer
	if result == pb.Result_OK || result == pb.Result_UNKNOWN {
		s.runs[string(r.Body)]++
	}
	s.mu.Unlock()
	s.engine.Deliver(&pb.SubReply{Id: r.Id, Result: result, Snapshot: r.Snapshot, Body: answer})
	return vmName
}

func (s *fakeShards) Cancel(string, string, uint64) {}

func (s *fakeShards) set(r pb.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result = r
}

func (s *fakeShards) ran(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

// fakeDaemon implements the parts of a daemon that the interface uses.
type fakeDaemon struct {
	snap      *contract.Snapshot
	notReady  string
	stopping  bool
	fate      frontend.ForwardOutcome
	mu        sync.Mutex
	admission *admission.Controller
}

func (w *fakeDaemon) Snapshot() *contract.Snapshot { return w.snap }
func (w *fakeDaemon) NotReady() string             { return w.notReady }
func (w *fakeDaemon) Stopping() bool               { return w.stopping }
func (w *fakeDaemon) CallerAddress() string        { return ownAddress }
func (w *fakeDaemon) Endpoints(*contract.Customer) callerapi.Endpoints {
	return callerapi.Endpoints{Endpoints: []callerapi.Endpoint{{Address: ownAddress}}, TTLMS: 1}
}

// Admit applies the kind's whole limit, as in a fleet of one VM.
func (w *fakeDaemon) Admit(k *contract.Kind, budget time.Duration) *refusal.Error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.admission == nil {
		w.admission = admission.New(100)
	}
	w.admission.SetShare(time.Now().Add(-time.Minute), admission.KindOf(k), share.Share{Base: admission.LimitOf(k)})
	return w.admission.Admit(time.Now(), k, budget)
}
func (w *fakeDaemon) Done(k *contract.Kind, took time.Duration, answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.admission.Done(time.Now(), k, took, answered)
}
func (w *fakeDaemon) Pin(_ time.Time, s *contract.Service) (*contract.ShardMap, *pb.Snapshot, bool) {
	return s.Maps[0], &pb.Snapshot{Generation: 1, Version: 1}, true
}
func (w *fakeDaemon) Forward(context.Context, *contract.Kind, *frontend.Request, *idempotency.Key) (*frontend.Reply, frontend.ForwardOutcome) {
	return nil, w.fate
}

// fakeFleet offers the first replica only, once per shard.
type fakeFleet struct{ query.UpstreamPolicy }

func (fakeFleet) PickReplica(_ time.Time, w query.ReplicaRequest) int {
	if w.Tried != 0 {
		return query.NoReplica
	}
	return 0
}
func (fakeFleet) RecordSend(time.Time, *contract.Upstream) {}
func (fakeFleet) Observe(time.Time, query.Observation)     {}
func (fakeFleet) Earn(*contract.Kind, int)                 {}
func (fakeFleet) Spend(*contract.Kind, query.Cause) bool   { return true }
func (fakeFleet) HedgeDelay(time.Time, *contract.Kind, *contract.Shard, int) (time.Duration, bool) {
	return time.Hour, true
}

// testServer is a server on a real socket with a fake daemon and fake shards.
type testServer struct {
	*fakeDaemon
	shards *fakeShards
	front  *frontend.Frontend
	addr   string
	// clockOffset is added to the clock of the operations, in nanoseconds.
	clockOffset atomic.Int64
}

func start(incarnation uint64) *testServer {
	leaks := []goleak.Option{
		goleak.IgnoreCurrent(),
		// Goroutines of fasthttp that run as long as the process or end after a
		// sleep.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
	}
	DeferCleanup(func() {
		Eventually(func() error { return goleak.Find(leaks...) }).WithTimeout(10 * time.Second).Should(Succeed())
	})
	doc, findings := contract.Check("d", []byte(document))
	Expect(findings.Err()).NotTo(HaveOccurred())
	b := &testServer{
		fakeDaemon: &fakeDaemon{snap: contract.Compile(1, []contract.Accepted{{Name: "d", Revision: 1, Document: doc}})},
		shards:     &fakeShards{result: pb.Result_OK, answer: []byte(`{"hits":[]}`), runs: map[string]int{}},
	}
	registry := prometheus.NewRegistry()
	b.shards.engine = query.NewEngine(query.EngineOptions{Policy: fakeFleet{}, Sender: b.shards, Loops: 1, Now: time.Now, Metrics: query.NewMetrics(prometheus.NewRegistry())})
	ctx, cancel := context.WithCancel(context.Background())
	b.shards.engine.Start(ctx)
	b.front = frontend.New(frontend.Options{
		Log: zap.NewNop(), Registry: registry, Engine: b.shards.engine, Admission: b.fakeDaemon, Pinner: b.fakeDaemon,
		Explain: explain.NewRing(10), Now: time.Now, Poison: poison.New(logring.Nop(), poison.NewMetrics(registry)),
	})
	operations := frontend.NewOperations(frontend.OperationsOptions{
		Registry: registry, Frontend: b.front, Forwarder: b.fakeDaemon, VM: vmName, Incarnation: incarnation,
		Secret: make([]byte, idempotency.KeySize), Life: time.Minute, Grace: time.Minute,
		Now: func() time.Time { return time.Now().Add(time.Duration(b.clockOffset.Load())) },
	})
	server := callerapi.New(callerapi.Options{
		Log: zap.NewNop(), Backend: b.fakeDaemon, Frontend: b.front, Operations: operations, ReadTimeout: 200 * time.Millisecond,
		Limits: &pb.Limits{MaxBodyBytes: maxBodyBytes, MaxHeaderBytes: maxHeaderBytes, MaxConnections: 100, MaxConnectionsPerIp: maxConnsPerIP},
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	b.addr = ln.Addr().String()
	served := make(chan error, 1)
	go func() { served <- server.Serve(ln) }()
	DeferCleanup(func() {
		Expect(server.Shutdown(ctx)).To(Succeed())
		Expect(<-served).To(Succeed())
		cancel()
		b.shards.engine.Wait()
	})
	return b
}

// reply is an HTTP response.
type reply struct {
	status int
	header http.Header
	body   []byte
}

func (r *reply) err() callerapi.ErrorDetail {
	var b callerapi.ErrorBody
	Expect(json.Unmarshal(r.body, &b)).To(Succeed(), string(r.body))
	return b.Error
}

func (r *reply) answer() frontend.Answer {
	var a frontend.Answer
	Expect(r.status).To(Equal(http.StatusOK), string(r.body))
	Expect(json.Unmarshal(r.body, &a)).To(Succeed())
	return a
}

// raw sends text unchanged on a new connection and reads one response.
func (b *testServer) raw(text string) *reply {
	conn, err := net.Dial("tcp", b.addr)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, text)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return &reply{status: resp.StatusCode, header: resp.Header, body: body}
}

// rejected opens a connection and reports whether the server answers it with 429
// within the timeout. It sends nothing, because a server that closes a connection
// with unread bytes resets it and the response may be lost.
func (b *testServer) rejected(timeout time.Duration) bool {
	conn, err := net.Dial("tcp", b.addr)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	Expect(conn.SetReadDeadline(time.Now().Add(timeout))).To(Succeed())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusTooManyRequests
}

// head returns a request head with a valid token; extra lines end in CRLF.
func head(method, path string, length int, extra string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n%s\r\n", method, path, token, length, extra)
}

func (b *testServer) post(kind, body string, extra ...string) *reply {
	return b.raw(head("POST", callerapi.QueryPath+kind, len(body), strings.Join(extra, "")) + body)
}

func withKey(key string) string { return callerapi.HeaderOperation + ": " + key + "\r\n" }

// lease requests a lease from the endpoints path; nil if the response has none.
func (b *testServer) lease() *callerapi.OperationLease {
	var e callerapi.Endpoints
	r := b.raw(head("GET", callerapi.EndpointsPath, 0, ""))
	Expect(json.Unmarshal(r.body, &e)).To(Succeed())
	return e.OperationLease
}

var _ = Describe("the caller interface", func() {
	var b *testServer
	BeforeEach(func() { b = start(1) })

	DescribeTable("refuses with a specific reason",
		func(text string, status int, reason refusal.Reason, ran refusal.Ran) {
			r := b.raw(text)
			Expect(r.status).To(Equal(status), string(r.body))
			Expect(r.err().Reason).To(Equal(reason), string(r.body))
			Expect(r.err().Ran).To(Equal(ran), string(r.body))
			Expect(r.err().Message).NotTo(BeEmpty())
			Expect(b.shards.runs).To(BeEmpty())
		},
		Entry("an unknown path", head("GET", "/v2", 0, ""), 404, refusal.NotFound, refusal.NotRun),
		Entry("a wrong method", head("GET", "/v1/query/search", 0, ""), 405, refusal.MethodNotAllowed, refusal.NotRun),
		Entry("a wrong method for endpoints", head("DELETE", "/v1/endpoints", 0, ""), 405, refusal.MethodNotAllowed, refusal.NotRun),
		Entry("no token", "POST /v1/query/search HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}", 401, refusal.Unauthenticated, refusal.NotRun),
		Entry("a wrong token", "GET /v1/endpoints HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer land-office-tokem\r\n\r\n", 401, refusal.Unauthenticated, refusal.NotRun),
		Entry("another scheme", "GET /v1/endpoints HTTP/1.1\r\nHost: x\r\nAuthorization: Basic land-office-token\r\n\r\n", 401, refusal.Unauthenticated, refusal.NotRun),
		Entry("an unknown kind", head("POST", "/v1/query/nothing", 2, "")+"{}", 404, refusal.UnknownKind, refusal.NotRun),
		Entry("no kind", head("POST", "/v1/query/", 2, "")+"{}", 404, refusal.UnknownKind, refusal.NotRun),
		Entry("not JSON", head("POST", "/v1/query/search", 4, "")+"nope", 400, refusal.BadRequest, refusal.NotRun),
		Entry("an empty body", head("POST", "/v1/query/search", 0, ""), 400, refusal.BadRequest, refusal.NotRun),
		Entry("JSON that is not an object", head("POST", "/v1/query/search", 2, "")+"[]", 400, refusal.BadRequest, refusal.NotRun),
		Entry("data after the JSON object", head("POST", "/v1/query/search", 4, "")+"{}{}", 400, refusal.BadRequest, refusal.NotRun),
		Entry("a duplicate member", head("POST", "/v1/query/pay", 21, "")+`{"key":"a","key":"b"}`, 400, refusal.BadRequest, refusal.NotRun),
		Entry("a member of the wrong type", head("POST", "/v1/query/pay", 9, "")+`{"key":1}`, 400, refusal.BadRequest, refusal.NotRun),
		Entry("a negative limit", head("POST", "/v1/query/search", 12, "")+`{"limit":-1}`, 400, refusal.BadRequest, refusal.NotRun),
		Entry("a single document without its key", head("POST", "/v1/query/pay", 2, "")+`{}`, 400, refusal.BadRequest, refusal.NotRun),
		Entry("a deadline of 0", head("POST", "/v1/query/search", 2, "X-Deadline-Ms: 0\r\n")+`{}`, 400, refusal.BadRequest, refusal.NotRun),
		Entry("a negative deadline", head("POST", "/v1/query/search", 2, "X-Deadline-Ms: -5\r\n")+`{}`, 400, refusal.BadRequest, refusal.NotRun),
		Entry("a deadline above the maximum", head("POST", "/v1/query/search", 2, "X-Deadline-Ms: 3600001\r\n")+`{}`, 400, refusal.BadRequest, refusal.NotRun),
		Entry("a deadline that overflows", head("POST", "/v1/query/search", 2, "X-Deadline-Ms: 99999999999999999999\r\n")+`{}`, 400, refusal.BadRequest, refusal.NotRun),
		Entry("two deadlines", head("POST", "/v1/query/search", 2, "X-Deadline-Ms: 5\r\nX-Deadline-Ms: 6\r\n")+`{}`, 400, refusal.BadRequest, refusal.NotRun),
		Entry("two keys", head("POST", "/v1/query/pay", 2, withKey("a")+withKey("b"))+`{}`, 400, refusal.BadRequest, refusal.NotRun),
		Entry("a key without a lease", head("POST", "/v1/query/pay", 2, withKey("order-17"))+`{}`, 400, refusal.ForeignOperation, refusal.NotRun),
		Entry("an over-long key", head("POST", "/v1/query/pay", 2, withKey(strings.Repeat("k", 1000)))+`{}`, 400, refusal.ForeignOperation, refusal.NotRun),
		Entry("a body above the limit", head("POST", "/v1/query/search", maxBodyBytes+1, "")+strings.Repeat(" ", maxBodyBytes+1), 413, refusal.BodyTooLarge, refusal.NotRun),
		Entry("headers above the limit", head("POST", "/v1/query/search", 2, "X-Long: "+strings.Repeat("x", maxHeaderBytes)+"\r\n")+"{}", 431, refusal.HeaderTooLarge, refusal.NotRun),
		Entry("a head that is not HTTP", "PUT\r\n\r\n", 400, refusal.BadRequest, refusal.Unknown),
		Entry("an incomplete body", head("POST", "/v1/query/search", 10, "")+"{", 408, refusal.RequestTimeout, refusal.Unknown),
	)

	It("returns the request ID and the retry delay in body and headers", func() {
		a := b.post("search", `{"limit":3}`)
		Expect(a.header.Get(callerapi.HeaderRequestID)).To(Equal(a.answer().RequestID))
		Expect(a.answer().Operation).To(BeEmpty())
		b.shards.set(pb.Result_SHED)
		r := b.post("search", `{"limit":3}`)
		Expect(r.header.Get(callerapi.HeaderRequestID)).To(Equal(r.err().RequestID))
		Expect(r.err().Ran).To(Equal(refusal.NotRun))
		seconds, err := strconv.Atoi(r.header.Get("Retry-After"))
		Expect(err).NotTo(HaveOccurred())
		Expect(seconds).To(BeEquivalentTo((r.err().RetryAfterMS + 999) / 1000))
	})

	// Guards against one caller that opens connections without limit, sends nothing
	// and uses up the VM's connection limit, so that others cannot connect.
	It("refuses connections of one address above its limit and accepts them after others close", func() {
		var conns []net.Conn
		for range maxConnsPerIP {
			conn, err := net.Dial("tcp", b.addr)
			Expect(err).NotTo(HaveOccurred())
			conns = append(conns, conn)
		}
		// The server counts connections one by one, in the order they were opened.
		Expect(b.rejected(time.Minute)).To(BeTrue())
		for _, conn := range conns {
			Expect(conn.Close()).To(Succeed())
		}
		Eventually(func() bool { return b.rejected(300 * time.Millisecond) }).
			WithTimeout(20 * time.Second).Should(BeFalse())
		Expect(b.raw(head("GET", callerapi.EndpointsPath, 0, "")).status).To(Equal(http.StatusOK))
	})

	It("ignores the key of a request of an idempotent kind", func() {
		for range 2 {
			Expect(b.post("search", `{"limit":4}`, withKey(b.lease().Prefix+".1")).answer().Operation).To(BeEmpty())
		}
		Expect(b.shards.ran(`{"limit":4}`)).To(Equal(2))
	})

	It("issues a key for a request without one and returns the first outcome to a resend", func() {
		body := `{"key":"royalty-1"}`
		first := b.post("pay", body).answer()
		Expect(first.Operation).NotTo(BeEmpty())
		Expect(b.post("pay", body, withKey(first.Operation)).answer()).To(Equal(first))
		Expect(b.shards.ran(body)).To(Equal(1))
	})

	It("runs each key of a lease once and refuses it for another body", func() {
		key := b.lease().Prefix + ".1"
		first := b.post("pay", `{"key":"a"}`, withKey(key)).answer()
		Expect(first.Operation).To(Equal(key))
		r := b.post("pay", `{"key":"b"}`, withKey(key))
		Expect(r.err().Reason).To(Equal(refusal.BadRequest))
		Expect(r.err().Ran).To(Equal(refusal.NotRun))
		Expect(b.shards.ran(`{"key":"b"}`)).To(BeZero())
		b.post("pay", `{"key":"b"}`, withKey(b.lease().Prefix+".1")).answer()
		Expect(b.shards.ran(`{"key":"b"}`)).To(Equal(1))
	})

	// Guards against a refusal that is not stored under its key. One copy of a payment
	// is delayed and a second copy is refused as "not run" because the upstream sheds
	// load. The caller pays under another key, then the first copy arrives and runs.
	It("never runs a request after refusing it as not run", func() {
		body, key := `{"key":"c"}`, b.lease().Prefix+".1"
		b.shards.set(pb.Result_SHED)
		refused := b.post("pay", body, withKey(key))
		Expect(refused.err().Ran).To(Equal(refusal.NotRun))
		b.shards.set(pb.Result_OK)
		Expect(b.post("pay", body, withKey(key)).err()).To(Equal(refused.err()))
		Expect(b.shards.ran(body)).To(BeZero())
	})

	// Guards against treating an unknown outcome as a failure: the request is sent to
	// an upstream, no answer arrives, and a resend of the key pays a second time.
	It("stores an unknown outcome", func() {
		body, key := `{"key":"d"}`, b.lease().Prefix+".1"
		b.shards.set(pb.Result_UNKNOWN)
		r := b.post("pay", body, withKey(key))
		Expect(r.err().Reason).To(Equal(refusal.OutcomeUnknown))
		Expect(r.err().Ran).To(Equal(refusal.Unknown))
		Expect(r.err().RetryAfterMS).To(BeZero())
		b.shards.set(pb.Result_OK)
		Expect(b.post("pay", body, withKey(key)).err()).To(Equal(r.err()))
		Expect(b.shards.ran(body)).To(Equal(1))
	})

	// Guards against a "not run" refusal for a request that ran on another VM. The
	// first copy runs on the VM named by its key and the answer is lost. The caller
	// resends it to this VM, which cannot reach the other one or refuses the copy for
	// a local reason, and the refusal considers only this copy.
	DescribeTable("never says \"not run\" for a key of another VM",
		func(fate frontend.ForwardOutcome, edit func(*fakeDaemon), kind string, reason refusal.Reason) {
			key := b.lease().Prefix + ".1"
			other := start(2)
			other.fate = fate
			edit(other.fakeDaemon)
			r := other.post(kind, `{"key":"e"}`, withKey(key))
			Expect(r.err().Reason).To(Equal(reason))
			Expect(r.err().Ran).To(Equal(refusal.Unknown))
			Expect(r.err().Operation).To(Equal(key))
			Expect(other.shards.runs).To(BeEmpty())
		},
		Entry("gone", frontend.ForwardTargetGone, func(*fakeDaemon) {}, "pay", refusal.OutcomeUnknown),
		Entry("lost", frontend.ForwardReplyLost, func(*fakeDaemon) {}, "pay", refusal.OutcomeUnknown),
		Entry("not sent", frontend.ForwardNotSent, func(*fakeDaemon) {}, "pay", refusal.OperationAway),
		Entry("not ready", frontend.ForwardTargetGone, func(w *fakeDaemon) { w.notReady = "no configuration" }, "pay", refusal.NotReady),
		Entry("unknown kind", frontend.ForwardTargetGone, func(*fakeDaemon) {}, "nothing", refusal.UnknownKind),
		Entry("unauthenticated", frontend.ForwardTargetGone, func(w *fakeDaemon) { w.snap = contract.Compile(2, nil) }, "pay", refusal.Unauthenticated),
	)

	// Guards against reporting an expired lease as "not run" after its outcomes were
	// dropped: the caller then repeats, under another key, a payment that ran. Also
	// checks that a resend soon after the lease ended still gets a lost answer.
	It("distinguishes an ended lease from one whose outcomes were dropped", func() {
		prefix := b.lease().Prefix
		first := b.post("pay", `{"key":"h"}`, withKey(prefix+".1")).answer()
		b.clockOffset.Store(int64(61 * time.Second))
		Expect(b.post("pay", `{"key":"h"}`, withKey(prefix+".1")).answer()).To(Equal(first))
		unused := b.post("pay", `{"key":"i"}`, withKey(prefix+".2"))
		Expect(unused.err().Reason).To(Equal(refusal.OperationExpired))
		Expect(unused.err().Ran).To(Equal(refusal.NotRun))
		b.clockOffset.Store(int64(121 * time.Second))
		for _, n := range []string{".1", ".2"} {
			r := b.post("pay", `{"key":"h"}`, withKey(prefix+n))
			Expect(r.err().Reason).To(Equal(refusal.OperationExpired))
			Expect(r.err().Ran).To(Equal(refusal.Unknown))
		}
		Expect(b.shards.ran(`{"key":"h"}`)).To(Equal(1))
		Expect(b.shards.ran(`{"key":"i"}`)).To(BeZero())
	})

	// Guards against stored outcomes that are limited in number but not in size: large
	// answers, each stored until its lease ends, use up the VM's memory.
	It("drops the answer but stores that the request ran when the size limit is reached", func() {
		b.shards.mu.Lock()
		b.shards.answer = []byte(`{"hits":[{"id":"x","fields":"` + strings.Repeat("x", 3<<20) + `"}]}`)
		b.shards.mu.Unlock()
		prefix := b.lease().Prefix
		kept, dropped := 0, 0
		for n := range 4 {
			body, key := fmt.Sprintf(`{"key":"large-%d"}`, n), withKey(fmt.Sprintf("%s.%d", prefix, n))
			b.post("pay", body, key).answer()
			again := b.post("pay", body, key)
			Expect(b.shards.ran(body)).To(Equal(1))
			if again.status == http.StatusOK {
				kept++
				continue
			}
			dropped++
			Expect(again.err().Reason).To(Equal(refusal.AnswerNotKept))
			Expect(again.err().Ran).To(Equal(refusal.DidRun))
		}
		Expect([]int{kept, dropped}).To(Equal([]int{2, 2}))
	})

	// Guards against a stopping VM that refuses every request: a caller whose answer
	// was lost resends its key during a planned stop and cannot learn the outcome.
	It("answers a resend during a planned stop and refuses new requests", func() {
		key := b.lease().Prefix + "."
		first := b.post("pay", `{"key":"f"}`, withKey(key+"1")).answer()
		b.fakeDaemon.stopping, b.fakeDaemon.notReady = true, "stopping"
		b.front.Stop(context.Background())
		Expect(b.post("pay", `{"key":"f"}`, withKey(key+"1")).answer()).To(Equal(first))
		r := b.post("pay", `{"key":"g"}`, withKey(key+"2"))
		Expect(r.err().Reason).To(Equal(refusal.Stopping))
		Expect(r.err().Ran).To(Equal(refusal.NotRun))
		Expect(r.err().RetryAfterMS).NotTo(BeZero())
		Expect(b.lease()).To(BeNil())
	})
})
