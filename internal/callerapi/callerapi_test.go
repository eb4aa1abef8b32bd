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
	"sycamorekeel.example/sycamorekeel/internal/logring"
	"sycamorekeel.example/sycamorekeel/internal/once"
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
	token    = standin.Token
	vmName   = "vm-1"
	bodyMax  = 1000
	headMax  = 2000
	perIP    = 20
	ownPlace = "127.0.0.1:9"
)

// shards answers every sub-request with the result that is set.
type shards struct {
	mu     sync.Mutex
	result pb.Result
	answer []byte
	engine *query.Engine
	runs   map[string]int
}

func (s *shards) Send(_ *query.Action, f *pb.Frame) string {
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

func (s *shards) Cancel(string, string, uint64) {}

func (s *shards) set(r pb.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result = r
}

func (s *shards) ran(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

// world is the rest of a daemon, as far as this interface sees it.
type world struct {
	snap     *contract.Snapshot
	notReady string
	stopping bool
	fate     frontend.Fate
	mu       sync.Mutex
	admitted *admission.Controller
}

func (w *world) Snapshot() *contract.Snapshot { return w.snap }
func (w *world) NotReady() string             { return w.notReady }
func (w *world) Stopping() bool               { return w.stopping }
func (w *world) CallerAddress() string        { return ownPlace }
func (w *world) Endpoints(*contract.Customer) callerapi.Endpoints {
	return callerapi.Endpoints{Endpoints: []callerapi.Endpoint{{Address: ownPlace}}, TTLMS: 1}
}

// Admit lets in what the whole limit of the kind allows, as a single VM would.
func (w *world) Admit(k *contract.Kind, budget time.Duration) *refusal.Error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.admitted == nil {
		w.admitted = admission.New(100)
	}
	w.admitted.SetShare(time.Now().Add(-time.Minute), admission.KindOf(k), share.Share{Base: admission.LimitOf(k)})
	return w.admitted.Admit(time.Now(), k, budget)
}
func (w *world) Done(k *contract.Kind, took time.Duration, answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.admitted.Done(time.Now(), k, took, answered)
}
func (w *world) Pin(_ time.Time, s *contract.Service) (*contract.ShardMap, *pb.Snapshot, bool) {
	return s.Maps[0], &pb.Snapshot{Generation: 1, Version: 1}, true
}
func (w *world) Forward(context.Context, *contract.Kind, *frontend.Request, *once.Key) (*frontend.Reply, frontend.Fate) {
	return nil, w.fate
}

// fleet gives the first replica that was not tried.
type fleet struct{ query.Fleet }

func (fleet) Replica(_ time.Time, w query.Want) int {
	if w.Tried != 0 {
		return query.NoReplica
	}
	return 0
}
func (fleet) Opened(time.Time, *contract.Upstream)   {}
func (fleet) Observe(time.Time, query.Observation)   {}
func (fleet) Earn(*contract.Kind, int)               {}
func (fleet) Spend(*contract.Kind, query.Cause) bool { return true }
func (fleet) HedgeDelay(time.Time, *contract.Kind, *contract.Shard, int) (time.Duration, bool) {
	return time.Hour, true
}

// bench is a server over a real socket with stand-ins behind it.
type bench struct {
	*world
	shards *shards
	front  *frontend.Frontend
	addr   string
	// ahead is how far the clock of the operations has been moved, in
	// nanoseconds.
	ahead atomic.Int64
}

func start(incarnation uint64) *bench {
	leaks := []goleak.Option{
		goleak.IgnoreCurrent(),
		// Goroutines of the HTTP library that live as long as the process, or
		// end by themselves after a sleep.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
	}
	DeferCleanup(func() {
		Eventually(func() error { return goleak.Find(leaks...) }).WithTimeout(10 * time.Second).Should(Succeed())
	})
	doc, findings := contract.Check("d", []byte(document))
	Expect(findings.Err()).NotTo(HaveOccurred())
	b := &bench{
		world:  &world{snap: contract.Compile(1, []contract.Accepted{{Name: "d", Revision: 1, Document: doc}})},
		shards: &shards{result: pb.Result_OK, answer: []byte(`{"hits":[]}`), runs: map[string]int{}},
	}
	registry := prometheus.NewRegistry()
	b.shards.engine = query.NewEngine(query.EngineOptions{Fleet: fleet{}, Sender: b.shards, Loops: 1, Now: time.Now, Metrics: query.NewMetrics(prometheus.NewRegistry())})
	ctx, cancel := context.WithCancel(context.Background())
	b.shards.engine.Start(ctx)
	b.front = frontend.New(frontend.Options{
		Log: zap.NewNop(), Registry: registry, Engine: b.shards.engine, Admission: b.world, Pinner: b.world,
		Explain: explain.NewRing(10), Now: time.Now, Poison: poison.New(logring.Nop(), poison.NewMetrics(registry)),
	})
	operations := frontend.NewOperations(frontend.OperationsOptions{
		Registry: registry, Frontend: b.front, Forwarder: b.world, VM: vmName, Incarnation: incarnation,
		Secret: make([]byte, once.KeySize), Life: time.Minute, Grace: time.Minute,
		Now: func() time.Time { return time.Now().Add(time.Duration(b.ahead.Load())) },
	})
	server := callerapi.New(callerapi.Options{
		Log: zap.NewNop(), Backend: b.world, Frontend: b.front, Operations: operations, ReadTimeout: 200 * time.Millisecond,
		Limits: &pb.Limits{MaxBodyBytes: bodyMax, MaxHeaderBytes: headMax, MaxConnections: 100, MaxConnectionsPerIp: perIP},
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

// reply is what came back.
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

// raw sends bytes as they are and reads one response.
func (b *bench) raw(text string) *reply {
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

// turnedAway opens a connection and tells whether the server answers it with 429
// within the patience. It sends nothing: a server that closes with bytes unread
// resets the connection, and its answer may be lost.
func (b *bench) turnedAway(patience time.Duration) bool {
	conn, err := net.Dial("tcp", b.addr)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	Expect(conn.SetReadDeadline(time.Now().Add(patience))).To(Succeed())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusTooManyRequests
}

// head is a request's head with a right token; extra lines end in CRLF.
func head(method, path string, length int, extra string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n%s\r\n", method, path, token, length, extra)
}

func (b *bench) post(kind, body string, extra ...string) *reply {
	return b.raw(head("POST", callerapi.QueryPath+kind, len(body), strings.Join(extra, "")) + body)
}

func withKey(key string) string { return callerapi.HeaderOperation + ": " + key + "\r\n" }

// lease asks endpoints for one.
func (b *bench) lease() *callerapi.OperationLease {
	var e callerapi.Endpoints
	r := b.raw(head("GET", callerapi.EndpointsPath, 0, ""))
	Expect(json.Unmarshal(r.body, &e)).To(Succeed())
	return e.OperationLease
}

var _ = Describe("the caller interface", func() {
	var b *bench
	BeforeEach(func() { b = start(1) })

	DescribeTable("refuses with a type of its own",
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
		Entry("a wrong method of endpoints", head("DELETE", "/v1/endpoints", 0, ""), 405, refusal.MethodNotAllowed, refusal.NotRun),
		Entry("no token", "POST /v1/query/search HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}", 401, refusal.Unauthenticated, refusal.NotRun),
		Entry("a wrong token", "GET /v1/endpoints HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer land-office-tokem\r\n\r\n", 401, refusal.Unauthenticated, refusal.NotRun),
		Entry("another scheme", "GET /v1/endpoints HTTP/1.1\r\nHost: x\r\nAuthorization: Basic land-office-token\r\n\r\n", 401, refusal.Unauthenticated, refusal.NotRun),
		Entry("an unknown kind", head("POST", "/v1/query/nothing", 2, "")+"{}", 404, refusal.UnknownKind, refusal.NotRun),
		Entry("no kind", head("POST", "/v1/query/", 2, "")+"{}", 404, refusal.UnknownKind, refusal.NotRun),
		Entry("no JSON", head("POST", "/v1/query/search", 4, "")+"nope", 400, refusal.BadRequest, refusal.NotRun),
		Entry("an empty body", head("POST", "/v1/query/search", 0, ""), 400, refusal.BadRequest, refusal.NotRun),
		Entry("JSON that is no object", head("POST", "/v1/query/search", 2, "")+"[]", 400, refusal.BadRequest, refusal.NotRun),
		Entry("JSON that goes on", head("POST", "/v1/query/search", 4, "")+"{}{}", 400, refusal.BadRequest, refusal.NotRun),
		Entry("a member that stands twice", head("POST", "/v1/query/pay", 21, "")+`{"key":"a","key":"b"}`, 400, refusal.BadRequest, refusal.NotRun),
		Entry("a member of a wrong type", head("POST", "/v1/query/pay", 9, "")+`{"key":1}`, 400, refusal.BadRequest, refusal.NotRun),
		Entry("a negative limit", head("POST", "/v1/query/search", 12, "")+`{"limit":-1}`, 400, refusal.BadRequest, refusal.NotRun),
		Entry("a single document without its key", head("POST", "/v1/query/pay", 2, "")+`{}`, 400, refusal.BadRequest, refusal.NotRun),
		Entry("a deadline of 0", head("POST", "/v1/query/search", 2, "X-Deadline-Ms: 0\r\n")+`{}`, 400, refusal.BadRequest, refusal.NotRun),
		Entry("a negative deadline", head("POST", "/v1/query/search", 2, "X-Deadline-Ms: -5\r\n")+`{}`, 400, refusal.BadRequest, refusal.NotRun),
		Entry("a deadline above the most", head("POST", "/v1/query/search", 2, "X-Deadline-Ms: 3600001\r\n")+`{}`, 400, refusal.BadRequest, refusal.NotRun),
		Entry("a deadline beyond any number", head("POST", "/v1/query/search", 2, "X-Deadline-Ms: 99999999999999999999\r\n")+`{}`, 400, refusal.BadRequest, refusal.NotRun),
		Entry("two deadlines", head("POST", "/v1/query/search", 2, "X-Deadline-Ms: 5\r\nX-Deadline-Ms: 6\r\n")+`{}`, 400, refusal.BadRequest, refusal.NotRun),
		Entry("two keys", head("POST", "/v1/query/pay", 2, withKey("a")+withKey("b"))+`{}`, 400, refusal.BadRequest, refusal.NotRun),
		Entry("a key that is no lease's", head("POST", "/v1/query/pay", 2, withKey("order-17"))+`{}`, 400, refusal.ForeignOperation, refusal.NotRun),
		Entry("an over-long key", head("POST", "/v1/query/pay", 2, withKey(strings.Repeat("k", 1000)))+`{}`, 400, refusal.ForeignOperation, refusal.NotRun),
		Entry("a body above the limit", head("POST", "/v1/query/search", bodyMax+1, "")+strings.Repeat(" ", bodyMax+1), 413, refusal.BodyTooLarge, refusal.NotRun),
		Entry("headers above the limit", head("POST", "/v1/query/search", 2, "X-Long: "+strings.Repeat("x", headMax)+"\r\n")+"{}", 431, refusal.HeaderTooLarge, refusal.NotRun),
		Entry("a head that is no HTTP", "PUT\r\n\r\n", 400, refusal.BadRequest, refusal.Unknown),
		Entry("a body that does not come whole", head("POST", "/v1/query/search", 10, "")+"{", 408, refusal.RequestTimeout, refusal.Unknown),
	)

	It("gives the request id and when to come back in body and headers", func() {
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

	// Symptom: nobody else gets a connection.
	// Sequence: one caller opens connections without end and sends nothing.
	// Cause: no limit but that of the whole VM.
	It("refuses the connections of one address above its limit and takes them when others close", func() {
		var conns []net.Conn
		for range perIP {
			conn, err := net.Dial("tcp", b.addr)
			Expect(err).NotTo(HaveOccurred())
			conns = append(conns, conn)
		}
		// Those that were opened are counted one after the other, in order.
		Expect(b.turnedAway(time.Minute)).To(BeTrue())
		for _, conn := range conns {
			Expect(conn.Close()).To(Succeed())
		}
		Eventually(func() bool { return b.turnedAway(300 * time.Millisecond) }).
			WithTimeout(20 * time.Second).Should(BeFalse())
		Expect(b.raw(head("GET", callerapi.EndpointsPath, 0, "")).status).To(Equal(http.StatusOK))
	})

	It("ignores a key of an idempotent kind", func() {
		for range 2 {
			Expect(b.post("search", `{"limit":4}`, withKey(b.lease().Prefix+".1")).answer().Operation).To(BeEmpty())
		}
		Expect(b.shards.ran(`{"limit":4}`)).To(Equal(2))
	})

	It("gives a request without a key one, and the first outcome when it comes again", func() {
		body := `{"key":"royalty-1"}`
		first := b.post("pay", body).answer()
		Expect(first.Operation).NotTo(BeEmpty())
		Expect(b.post("pay", body, withKey(first.Operation)).answer()).To(Equal(first))
		Expect(b.shards.ran(body)).To(Equal(1))
	})

	It("runs each counter of a lease once and refuses it for another body", func() {
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

	// Symptom: a payment that was answered "not run" runs after all, beside the one
	// its caller made in its place.
	// Sequence: a copy of the request is delayed; a second one is refused as the
	// upstream sheds; the caller goes on with another key; the first copy comes.
	// Cause: a refusal that is not kept under the key.
	It("never runs a request that was said not to have run", func() {
		body, key := `{"key":"c"}`, b.lease().Prefix+".1"
		b.shards.set(pb.Result_SHED)
		refused := b.post("pay", body, withKey(key))
		Expect(refused.err().Ran).To(Equal(refusal.NotRun))
		b.shards.set(pb.Result_OK)
		Expect(b.post("pay", body, withKey(key)).err()).To(Equal(refused.err()))
		Expect(b.shards.ran(body)).To(BeZero())
	})

	// Symptom: a payment whose answer was lost is paid again.
	// Sequence: bytes went out and no answer came; the caller sends the key again.
	// Cause: an unknown outcome treated as a failure.
	It("keeps an unknown outcome", func() {
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

	// Symptom: "not run" is said of a request that ran on another VM.
	// Sequence: the first copy ran at the VM that its key names and its answer was
	// lost; the caller sends it to this VM, which cannot ask the other one or
	// refuses it for a reason of its own.
	// Cause: a refusal that speaks of this copy only.
	DescribeTable("never says \"not run\" for the VM that a key names",
		func(fate frontend.Fate, edit func(*world), kind string, reason refusal.Reason) {
			key := b.lease().Prefix + ".1"
			other := start(2)
			other.fate = fate
			edit(other.world)
			r := other.post(kind, `{"key":"e"}`, withKey(key))
			Expect(r.err().Reason).To(Equal(reason))
			Expect(r.err().Ran).To(Equal(refusal.Unknown))
			Expect(r.err().Operation).To(Equal(key))
			Expect(other.shards.runs).To(BeEmpty())
		},
		Entry("gone", frontend.FateGone, func(*world) {}, "pay", refusal.OutcomeUnknown),
		Entry("lost", frontend.FateLost, func(*world) {}, "pay", refusal.OutcomeUnknown),
		Entry("not sent", frontend.FateNotSent, func(*world) {}, "pay", refusal.OperationAway),
		Entry("not ready", frontend.FateGone, func(w *world) { w.notReady = "no configuration" }, "pay", refusal.NotReady),
		Entry("unknown kind", frontend.FateGone, func(*world) {}, "nothing", refusal.UnknownKind),
		Entry("unauthenticated", frontend.FateGone, func(w *world) { w.snap = contract.Compile(2, nil) }, "pay", refusal.Unauthenticated),
	)

	// Symptom: a caller goes on with another key for a payment that has run, or
	// cannot learn of one whose answer was lost just before its lease ended.
	// Sequence: a request runs; its lease ends; it is sent again soon, and late.
	// Cause: "expired" taken for "not run" when the outcome has been forgotten.
	It("tells a lease that has ended from one that is forgotten", func() {
		prefix := b.lease().Prefix
		first := b.post("pay", `{"key":"h"}`, withKey(prefix+".1")).answer()
		b.ahead.Store(int64(61 * time.Second))
		Expect(b.post("pay", `{"key":"h"}`, withKey(prefix+".1")).answer()).To(Equal(first))
		unused := b.post("pay", `{"key":"i"}`, withKey(prefix+".2"))
		Expect(unused.err().Reason).To(Equal(refusal.OperationExpired))
		Expect(unused.err().Ran).To(Equal(refusal.NotRun))
		b.ahead.Store(int64(121 * time.Second))
		for _, n := range []string{".1", ".2"} {
			r := b.post("pay", `{"key":"h"}`, withKey(prefix+n))
			Expect(r.err().Reason).To(Equal(refusal.OperationExpired))
			Expect(r.err().Ran).To(Equal(refusal.Unknown))
		}
		Expect(b.shards.ran(`{"key":"h"}`)).To(Equal(1))
		Expect(b.shards.ran(`{"key":"i"}`)).To(BeZero())
	})

	// Symptom: the memory of a VM fills with answers that nobody asks for again.
	// Sequence: requests with large answers, each kept until its lease ends.
	// Cause: outcomes that are bounded in number and not in size.
	It("keeps the fact and drops the answer when too much is held", func() {
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

	// Symptom: a caller cannot learn what became of its payment during a planned stop.
	// Sequence: the answer is lost; the VM starts to stop; the caller sends the key
	// again to it.
	// Cause: a stopping VM that refuses everything.
	It("answers a resend during a planned stop and takes nothing new", func() {
		key := b.lease().Prefix + "."
		first := b.post("pay", `{"key":"f"}`, withKey(key+"1")).answer()
		b.world.stopping, b.world.notReady = true, "stopping"
		b.front.Stop(context.Background())
		Expect(b.post("pay", `{"key":"f"}`, withKey(key+"1")).answer()).To(Equal(first))
		r := b.post("pay", `{"key":"g"}`, withKey(key+"2"))
		Expect(r.err().Reason).To(Equal(refusal.Stopping))
		Expect(r.err().Ran).To(Equal(refusal.NotRun))
		Expect(r.err().RetryAfterMS).NotTo(BeZero())
		Expect(b.lease()).To(BeNil())
	})
})
