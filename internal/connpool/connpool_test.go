package connpool

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/responsecheck"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
)

// testTimeout limits how long a test waits; no test passes by reaching it.
const testTimeout = 10 * time.Second

// idProtocol is a Protocol whose only header is the request id.
type idProtocol struct{}

func (idProtocol) Encode(req *fasthttp.Request, m *Message, _ *catalog.Upstream, _ time.Duration) {
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetHost("h")
	req.SetRequestURI("/")
	req.Header.Set("Id", m.ID)
	req.SetBodyRaw(m.Body)
}

func (idProtocol) Decode(resp *fasthttp.Response, m *Message) (scatter.Result, string, string) {
	if string(resp.Header.Peek("Id")) != m.ID {
		return scatter.Lost, "", "foreign"
	}
	if resp.StatusCode() == fasthttp.StatusServiceUnavailable {
		return scatter.Refused, "", "refused"
	}
	return scatter.Answered, "", ""
}

func (idProtocol) ResponseID(resp *fasthttp.Response) string {
	return string(resp.Header.Peek("Id"))
}

func (idProtocol) DecodeLoad(*fasthttp.Response) *Load { return nil }

func (idProtocol) DecodeHealth(resp *fasthttp.Response) (Health, error) {
	return Health{Upstream: string(resp.Header.Peek("Id"))}, nil
}

// server is an upstream that serves each connection with a function.
type server struct {
	ln     net.Listener
	mu     sync.Mutex
	opened int
	conns  []net.Conn
}

// newServer starts a server; serve gets each connection and its number from 0.
func newServer(t *testing.T, serve func(n int, c net.Conn)) *server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{ln: ln}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			n := s.opened
			s.opened++
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			go func() {
				defer c.Close()
				serve(n, c)
			}()
		}
	}()
	t.Cleanup(func() {
		ln.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, c := range s.conns {
			c.Close()
		}
	})
	return s
}

func (s *server) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

func (s *server) upstream() *catalog.Upstream {
	return &catalog.Upstream{ID: "u", Service: "s", Address: s.ln.Addr().String()}
}

// readID reads one request and returns its id, "" when the connection ends.
func readID(br *bufio.Reader) string {
	var req fasthttp.Request
	if err := req.Read(br); err != nil {
		return ""
	}
	return string(req.Header.Peek("Id"))
}

// response returns a complete response with an id.
func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// respondWith serves each request with the bytes that answer returns for its id.
func respondWith(answer func(id string) string) func(int, net.Conn) {
	return func(_ int, c net.Conn) {
		br := bufio.NewReader(c)
		for id := readID(br); id != ""; id = readID(br) {
			if _, err := c.Write([]byte(answer(id))); err != nil {
				return
			}
		}
	}
}

// nopObserver is an Observer that does nothing.
type nopObserver struct{}

func (nopObserver) ConnectionOpened(*catalog.Upstream) {}

// healthObserver makes connections check the health first and counts successful checks.
type healthObserver struct {
	nopObserver
	answered *atomic.Int64
}

func (healthObserver) HealthPath(*catalog.Upstream) string { return "/health" }

func (a healthObserver) HealthChecked(_ *catalog.Upstream, _ time.Time, _ Health, err error) {
	if err == nil {
		a.answered.Add(1)
	}
}

func (nopObserver) HealthPath(*catalog.Upstream) string { return "" }

func (nopObserver) HealthChecked(*catalog.Upstream, time.Time, Health, error) {}

func (nopObserver) HealthBytes(*catalog.Upstream, int) {}

func (nopObserver) ConnectionEnded(*catalog.Upstream) {}

func (nopObserver) ResponseMalformed(responsecheck.Rule) {}

func (nopObserver) Sent(*catalog.Upstream, bool, int) {}

// client makes calls to one upstream through pools with a connection limit.
type client struct {
	t     *testing.T
	pools *Pools
	up    *catalog.Upstream
}

func newClient(t *testing.T, s *server, limit int) *client {
	c := &client{t: t, pools: NewPools(idProtocol{}, nopObserver{}, func(string) int { return limit }), up: s.upstream()}
	t.Cleanup(c.pools.Close)
	return c
}

// begin starts a call and returns it with the channel of its reply.
func (c *client) begin(id string, body []byte, priority int) (*Call, <-chan Reply) {
	call, done := c.prepare(id, body, priority)
	c.pools.Do(call)
	return call, done
}

// prepare returns a call that is not started yet and the channel of its reply.
func (c *client) prepare(id string, body []byte, priority int) (*Call, <-chan Reply) {
	done := make(chan Reply, 1)
	call := &Call{
		Message:  &Message{ID: id, Body: body},
		Upstream: c.up,
		Deadline: time.Now().Add(testTimeout),
		Class:    Class{Priority: priority},
		Done:     func(r Reply) { done <- r },
	}
	return call, done
}

func (c *client) wait(done <-chan Reply) Reply {
	c.t.Helper()
	select {
	case r := <-done:
		return r
	case <-time.After(2 * testTimeout):
		c.t.Fatal("no reply")
		return Reply{}
	}
}

func (c *client) call(id string) Reply {
	c.t.Helper()
	_, done := c.begin(id, nil, 0)
	return c.wait(done)
}

// waitAllClosed waits until the pool counts no open connection. The connection's goroutine
// delivers the reply before it closes the connection.
func (c *client) waitAllClosed() {
	c.t.Helper()
	c.waitPool("the connection stays open", func(p *Pool) bool { return p.open == 0 })
}

// waitIdle waits until no connection is in use. A reply is delivered before its connection
// becomes idle.
func (c *client) waitIdle() {
	c.t.Helper()
	c.waitPool("the connection stays in use", func(p *Pool) bool { return p.busy() == 0 })
}

// waitPool waits until reached returns true, which is called with the lock of the upstream's
// pool held. It fails the test with a message on timeout.
func (c *client) waitPool(message string, reached func(*Pool) bool) {
	c.t.Helper()
	c.pools.mu.Lock()
	pool := c.pools.pools[c.up.ID]
	c.pools.mu.Unlock()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		pool.mu.Lock()
		done := reached(pool)
		pool.mu.Unlock()
		if done {
			return
		}
	}
	c.t.Fatal(message)
}

// A response that is malformed or belongs to another request is never taken for an answer.
// After it, or after extra bytes, the connection is not reused.
func TestInvalidResponses(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(id string) string
		result scatter.Result
		reused bool
	}{
		{"whole", func(id string) string { return response(id, "x") }, scatter.Answered, true},
		{"to another request", func(string) string { return response("other", "x") }, scatter.Lost, false},
		{"not HTTP", func(string) string { return "garbage\r\n\r\n" }, scatter.Lost, false},
		{"followed by extra bytes", func(id string) string { return response(id, "x") + "more" }, scatter.Answered, false},
		{"followed by a second response", func(id string) string { return response(id, "x") + response(id, "y") }, scatter.Answered, false},
		{"with Connection: close", func(id string) string {
			return strings.Replace(response(id, "x"), "\r\nId", "\r\nConnection: close\r\nId", 1)
		}, scatter.Answered, false},
	} {
		s := newServer(t, respondWith(c.answer))
		cl := newClient(t, s, 1)
		if r := cl.call("1"); r.Result != c.result {
			t.Errorf("%s: %v (%s), want %v", c.name, r.Result, r.Detail, c.result)
		} else if r.Result == scatter.Answered && string(r.Response.Body()) != "x" {
			t.Errorf("%s: body %q", c.name, r.Response.Body())
		}
		cl.call("2")
		if reused := s.connections() == 1; reused != c.reused {
			t.Errorf("%s: %d connections", c.name, s.connections())
		}
	}
}

// A connection that ends after the request and before the response is Broken, unlike an
// invalid or late response.
func TestConnectionClosedBeforeResponseIsBroken(t *testing.T) {
	for _, reset := range []bool{false, true} {
		s := newServer(t, func(_ int, c net.Conn) {
			br := bufio.NewReader(c)
			for id := readID(br); id != "end"; id = readID(br) {
				fmt.Fprint(c, response(id, "x"))
			}
			if reset {
				c.(*net.TCPConn).SetLinger(0)
			}
		})
		cl := newClient(t, s, 1)
		cl.call("1")
		if r := cl.call("end"); r.Result != scatter.Broken {
			t.Errorf("reset %v: %v (%s)", reset, r.Result, r.Detail)
		}
	}
}

// Guards against crashes of two processes that are taken for one: a reply tells when its broken
// connection was opened, before the calls that the connection served.
func TestBrokenReplyTellsWhenItsConnectionWasOpened(t *testing.T) {
	s := newServer(t, func(_ int, c net.Conn) {
		br := bufio.NewReader(c)
		for id := readID(br); id != "end"; id = readID(br) {
			fmt.Fprint(c, response(id, "x"))
		}
	})
	cl := newClient(t, s, 1)
	before := time.Now()
	cl.call("1")
	after := time.Now()
	if r := cl.call("end"); r.ConnectedAt.Before(before) || r.ConnectedAt.After(after) {
		t.Errorf("opened at %v, want within %v and %v", r.ConnectedAt, before, after)
	}
}

// A response without a length is complete when its connection closes. It is incomplete when
// the connection is reset or closes before the stated length.
func TestResponsesEndedByTheirConnection(t *testing.T) {
	for _, c := range []struct {
		name   string
		head   string
		reset  bool
		result scatter.Result
	}{
		{"no length, closed", "", false, scatter.Answered},
		{"no length, reset", "", true, scatter.Lost},
		{"cut short", "Content-Length: 9\r\n", false, scatter.Lost},
		{"cut short, chunked", "Transfer-Encoding: chunked\r\n", false, scatter.Lost},
	} {
		body := "xyz"
		if strings.HasPrefix(c.head, "Transfer") {
			body = "3\r\nxyz\r\n"
		}
		s := newServer(t, func(_ int, conn net.Conn) {
			br := bufio.NewReader(conn)
			id := readID(br)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n%s\r\n%s", id, c.head, body)
			if c.reset {
				// Give the client time to read the start of the response.
				time.Sleep(20 * time.Millisecond)
				conn.(*net.TCPConn).SetLinger(0)
			}
		})
		if r := newClient(t, s, 1).call("1"); r.Result != c.result {
			t.Errorf("%s: %v (%s), want %v", c.name, r.Result, r.Detail, c.result)
		}
	}
}

// Guards against a request that gets a late answer to the previous one: the upstream sends a
// second response while the connection is idle, and the next request is written without a
// check for unread bytes.
func TestIdleConnectionWithUnreadBytesIsClosed(t *testing.T) {
	extra := make(chan bool)
	s := newServer(t, func(n int, c net.Conn) {
		br := bufio.NewReader(c)
		for id := readID(br); id != ""; id = readID(br) {
			fmt.Fprint(c, response(id, "x"))
			if n == 0 {
				<-extra
				fmt.Fprint(c, response(id, "late"))
				extra <- true
			}
		}
	})
	cl := newClient(t, s, 1)
	cl.call("1")
	extra <- true
	<-extra
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		cl.pools.Sweep(time.Now())
		if cl.idleConns() == 0 {
			break
		}
	}
	if r := cl.call("2"); r.Result != scatter.Answered || string(r.Response.Body()) != "x" || s.connections() != 2 {
		t.Errorf("%v %q on %d connections", r.Result, r.Response.Body(), s.connections())
	}
}

// idleConns returns the number of idle connections.
func (c *client) idleConns() int {
	n := 0
	for _, p := range c.pools.all() {
		p.mu.Lock()
		n += len(p.idle)
		p.mu.Unlock()
	}
	return n
}

// Guards against a burst of calls that opens one connection each, of which the upstream
// resets those beyond its limit. Calls beyond the connection limit wait in the order of
// priority.
func TestCallsBeyondTheLimitWaitByPriority(t *testing.T) {
	release := make(chan bool)
	order := make(chan string, 9)
	s := newServer(t, respondWith(func(id string) string {
		order <- id
		if id == "first" {
			<-release
		}
		return response(id, "x")
	}))
	cl := newClient(t, s, 1)
	_, first := cl.begin("first", nil, 1)
	if got := <-order; got != "first" {
		t.Fatal(got)
	}
	lowCall, low := cl.begin("low", nil, 2)
	if lowCall.Waited(time.Now().Add(time.Second)) < time.Second {
		t.Error("Waited does not include the current wait")
	}
	_, mid := cl.begin("mid", nil, 1)
	_, top := cl.begin("top", nil, 0)
	_, mid2 := cl.begin("mid2", nil, 1)
	close(release)
	for _, d := range []<-chan Reply{first, low, mid, top, mid2} {
		if r := cl.wait(d); r.Result != scatter.Answered {
			t.Error(r.Detail)
		}
	}
	if got := <-order + " " + <-order + " " + <-order + " " + <-order; got != "top mid mid2 low" {
		t.Errorf("served in the order %s", got)
	}
	if s.connections() != 1 {
		t.Errorf("%d connections", s.connections())
	}
}

// Guards against an overloaded upstream for which every request is late: three calls wait
// and the first can no longer meet its soft deadline. If it were sent first, the next one
// would be late as well.
func TestCallsThatCanMeetTheirSoftDeadlineGoFirst(t *testing.T) {
	order, release := make(chan string, 4), make(chan bool, 4)
	s := newServer(t, respondWith(func(id string) string {
		order <- id
		<-release
		return response(id, "x")
	}))
	cl := newClient(t, s, 1)
	var replies []<-chan Reply
	for i, answerBy := range []time.Duration{testTimeout, -time.Second, testTimeout, -time.Second} {
		call, done := cl.prepare(fmt.Sprint(i), nil, 0)
		call.AnswerBy = time.Now().Add(answerBy)
		cl.pools.Do(call)
		replies = append(replies, done)
	}
	for range replies {
		release <- true
	}
	got := ""
	for _, done := range replies {
		cl.wait(done)
		got += <-order
	}
	if got != "0213" {
		t.Errorf("served in the order %s, want 0213", got)
	}
}

// A pool uses no more connections than its window, and sends waiting calls as soon as the
// window is raised.
func TestWindowLimitsCallsInFlight(t *testing.T) {
	arrived, release := make(chan bool, 4), make(chan bool, 4)
	s := newServer(t, respondWith(func(id string) string {
		arrived <- true
		<-release
		return response(id, "x")
	}))
	cl := newClient(t, s, 4)
	_, first := cl.begin("1", nil, 0)
	<-arrived
	cl.pools.SetWindow(cl.up, 1)
	_, second := cl.begin("2", nil, 0)
	_, third := cl.begin("3", nil, 0)
	if ahead := cl.pools.AnswersAhead(time.Now(), []*catalog.Upstream{cl.up}, Class{}); ahead[0] != 3 {
		t.Errorf("%v answers ahead with one call in flight and two waiting, want 3", ahead[0])
	}
	release <- true
	cl.wait(first)
	<-arrived
	if n := s.connections(); n != 1 {
		t.Errorf("%d connections with a window of 1", n)
	}
	cl.pools.SetWindow(cl.up, 0)
	<-arrived
	release <- true
	release <- true
	cl.wait(second)
	cl.wait(third)
	if n := s.connections(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// Guards against queries that lose a tenth of their parts, and the retry budget with them,
// after a power failure while the upstreams are only a third busy. An upstream still counts
// the connections of dead processes against its limit and closes each new one immediately.
// Such a rejection was taken for a lost answer, and the next call opened another connection.
func TestRejectedConnectionsPauseDialing(t *testing.T) {
	rejecting := atomic.Bool{}
	rejecting.Store(true)
	s := newServer(t, func(_ int, c net.Conn) {
		if rejecting.Load() {
			return
		}
		respondWith(func(id string) string { return response(id, "x") })(0, c)
	})
	cl := newClient(t, s, 3)
	if r := cl.call("1"); r.Result != scatter.ConnectionClosed {
		t.Fatalf("%v (%s)", r.Result, r.Detail)
	}
	cl.waitAllClosed()
	if ahead := cl.pools.AnswersAhead(time.Now(), []*catalog.Upstream{cl.up}, Class{}); ahead[0] != rejectedAhead {
		t.Errorf("%v answers ahead for an upstream that rejects connections", ahead[0])
	}
	if r := cl.call("2"); r.Result != scatter.NoConnection || s.connections() != 1 {
		t.Errorf("%v (%s) during the pause, %d connections opened", r.Result, r.Detail, s.connections())
	}
	rejecting.Store(false)
	time.Sleep(rejectPause)
	if r := cl.call("3"); r.Result != scatter.Answered {
		t.Errorf("%v (%s) after the pause", r.Result, r.Detail)
	}
}

// Guards against calls that fail after a short wait as if their upstream had stalled: after a
// time without calls two arrive, and the second waits for the first one's connection. The
// time without calls was counted as time without progress.
func TestTimeWithoutCallsIsNoStall(t *testing.T) {
	release := make(chan struct{})
	s := newServer(t, respondWith(func(id string) string {
		if id != "before" {
			<-release
		}
		return response(id, "x")
	}))
	c := newClient(t, s, 1)
	c.call("before")
	c.waitIdle()
	pool := c.pools.all()[0]
	pool.mu.Lock()
	pool.lastProgress = time.Now().Add(-time.Hour)
	pool.mu.Unlock()
	_, sent := c.begin("sent", nil, 0)
	_, waiting := c.begin("waiting", nil, 0)
	c.pools.Sweep(time.Now())
	close(release)
	for _, done := range []<-chan Reply{sent, waiting} {
		if r := c.wait(done); r.Result != scatter.Answered {
			t.Errorf("result %v: %s", r.Result, r.Detail)
		}
	}
}

// Guards against a non-idempotent request that reaches its deadline with one send that was
// never written, although other upstreams of its service were free. The upstream stops
// responding with requests in flight on all connections that this VM may have to it. The next
// call waits for a connection, which becomes free only with a response or a close.
func TestCallsWaitingForStalledUpstreamFail(t *testing.T) {
	silent := newServer(t, func(_ int, c net.Conn) {
		_, _ = io.Copy(io.Discard, c)
	})
	c := newClient(t, silent, 1)
	_, sent := c.begin("sent", nil, 0)
	_, waiting := c.begin("waiting", nil, 0)
	c.pools.Sweep(time.Now())
	select {
	case r := <-waiting:
		t.Fatalf("the waiting call fails immediately: %+v", r)
	default:
	}
	c.pools.Sweep(time.Now().Add(stallTimeout))
	if r := c.wait(waiting); r.Result != scatter.NoConnection || !r.Result.NotRun() {
		t.Errorf("the waiting call ends with %+v", r)
	}
	select {
	case r := <-sent:
		t.Errorf("the call in flight ends with %+v", r)
	default:
	}
}

// Each case is the state of a pool and the answers per connection ahead of one more call.
func TestAnswersAhead(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name string
		pool *Pool
		want float64
	}{
		{"an idle connection", &Pool{limit: 1, open: 1, idle: []*conn{{}}}, 0},
		{"one may be opened", &Pool{limit: 2, open: 1}, 0},
		{"all in use", &Pool{limit: 2, open: 2}, 0.5},
		{"all in use, three calls waiting", &Pool{limit: 2, open: 2, waiting: make([]*Call, 3)}, 2},
		{"rejected, one open", &Pool{limit: 2, open: 1, rejectedUntil: now.Add(time.Second)}, 1},
		{"rejected, none open", &Pool{limit: 2, rejectedUntil: now.Add(time.Second)}, rejectedAhead},
	} {
		if got := c.pool.answersAhead(now, &Class{}); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestRefusedDialIsUnreached(t *testing.T) {
	s := newServer(t, respondWith(func(id string) string { return response(id, "x") }))
	cl := newClient(t, s, 1)
	s.ln.Close()
	if r := cl.call("1"); r.Result != scatter.Unreached {
		t.Errorf("%v: %s", r.Result, r.Detail)
	}
}

// Guards against upstreams that work for callers that have disconnected: without closing the
// connection to the upstream, a withdrawn call runs there to its end.
func TestWithdrawClosesConnection(t *testing.T) {
	arrived, ended := make(chan bool), make(chan bool)
	s := newServer(t, func(_ int, c net.Conn) {
		br := bufio.NewReader(c)
		readID(br)
		arrived <- true
		if _, err := br.ReadByte(); err != nil {
			ended <- true
		}
	})
	cl := newClient(t, s, 1)
	call, done := cl.begin("1", nil, 0)
	<-arrived
	call.Withdraw()
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the connection to the upstream stays open")
	}
	select {
	case r := <-done:
		t.Errorf("reply after Withdraw: %v", r.Result)
	default:
	}
}

// Guards against an upstream that reads a request as the rest of an earlier request's body:
// it responds before it has read a long body and keeps the connection open. The connection
// must not be reused before the whole body is written.
func TestEarlyResponseToLongBodyClosesConnection(t *testing.T) {
	s := newServer(t, func(_ int, c net.Conn) {
		br := bufio.NewReader(c)
		for {
			head := ""
			for !strings.HasSuffix(head, "\r\n\r\n") {
				line, err := br.ReadString('\n')
				if err != nil {
					return
				}
				head += line
			}
			_, id, _ := strings.Cut(head, "Id: ")
			id, _, _ = strings.Cut(id, "\r\n")
			fmt.Fprint(c, response(id, "early"))
			if !strings.Contains(head, "Content-Length: 0") {
				// Leave the body unread and the connection open.
				time.Sleep(testTimeout)
			}
		}
	})
	cl := newClient(t, s, 4)
	_, done := cl.begin("1", make([]byte, 64<<20), 0)
	if r := cl.wait(done); r.Result != scatter.Answered || string(r.Response.Body()) != "early" {
		t.Fatalf("%v: %s", r.Result, r.Detail)
	}
	if r := cl.call("2"); r.Result != scatter.Answered || s.connections() != 2 {
		t.Errorf("%v on %d connections, want a new one", r.Result, s.connections())
	}
}

// Guards against sending a call to an upstream that is barred while the call waits for a
// connection.
func TestCallsBarredWhileWaitingAreNotSent(t *testing.T) {
	release := make(chan struct{})
	var arrived atomic.Int64
	s := newServer(t, respondWith(func(id string) string {
		arrived.Add(1)
		<-release
		return response(id, "x")
	}))
	c := newClient(t, s, 1)
	_, first := c.begin("first", nil, 0)
	var barred atomic.Bool
	second, done := c.prepare("second", nil, 0)
	second.Barred = func() string {
		if barred.Load() {
			return "why"
		}
		return ""
	}
	c.pools.Do(second)
	barred.Store(true)
	close(release)
	if r := c.wait(first); r.Result != scatter.Answered {
		t.Errorf("the first call: %v", r.Result)
	}
	if r := c.wait(done); r.Result != scatter.Barred || !r.Result.NotRun() || r.Detail != "why" {
		t.Errorf("the barred call: %v", r.Result)
	}
	if n := arrived.Load(); n != 1 {
		t.Errorf("%d calls arrived", n)
	}
	if r := c.call("third"); r.Result != scatter.Answered {
		t.Errorf("the connection is not reused: %v", r.Result)
	}
}

// Guards against calls to a process whose restart was not detected: no connection was open
// whose close would show it, and the first new one leads to the new process, which is cold.
func TestNewConnectionsCheckHealthFirst(t *testing.T) {
	for _, c := range []struct {
		name, id string
		want     scatter.Result
	}{{"response of the upstream", "u", scatter.Answered}, {"response of another upstream", "other", scatter.Barred}} {
		var healths, calls, answered atomic.Int64
		s := newServer(t, func(_ int, nc net.Conn) {
			br := bufio.NewReader(nc)
			var req fasthttp.Request
			for req.Read(br) == nil {
				id := string(req.Header.Peek("Id"))
				if string(req.URI().Path()) == "/health" {
					healths.Add(1)
					id = c.id
				} else {
					calls.Add(1)
				}
				if _, err := nc.Write([]byte(response(id, "x"))); err != nil {
					return
				}
			}
		})
		cl := newClient(t, s, 1)
		cl.pools = NewPools(idProtocol{}, healthObserver{answered: &answered}, func(string) int { return 1 })
		t.Cleanup(cl.pools.Close)
		if r := cl.call("first"); r.Result != c.want {
			t.Errorf("%s: %v %s", c.name, r.Result, r.Detail)
		}
		if c.want == scatter.Answered {
			cl.call("second")
		}
		if healths.Load() != 1 || calls.Load() != 2*answered.Load() {
			t.Errorf("%s: %d health checks, %d calls, %d successful checks observed", c.name, healths.Load(), calls.Load(), answered.Load())
		}
	}
}

func TestExpiredCallsAreNotSent(t *testing.T) {
	s := newServer(t, respondWith(func(id string) string { return response(id, "x") }))
	cl := newClient(t, s, 1)
	done := make(chan Reply, 1)
	cl.call("warm")
	cl.pools.Do(&Call{Message: &Message{ID: "1"}, Upstream: cl.up, Deadline: time.Now(), Done: func(r Reply) { done <- r }})
	if r := cl.wait(done); r.Result != scatter.Expired {
		t.Errorf("%v", r.Result)
	}
}

func TestKeepAlive(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"":                    defaultIdleTimeout,
		"timeout=10":          10*time.Second - idleMargin,
		"max=5, timeout=2":    2*time.Second - idleMargin,
		"timeout=0":           0,
		"timeout=x":           defaultIdleTimeout,
		" Timeout=3 , max=1 ": 3*time.Second - idleMargin,
	} {
		var resp fasthttp.Response
		resp.Header.Set("Keep-Alive", text)
		if got := keepAlive(&resp); got != want {
			t.Errorf("%q: %v, want %v", text, got, want)
		}
	}
}

func TestPoolsOfRemovedUpstreamsClose(t *testing.T) {
	s := newServer(t, respondWith(func(id string) string { return response(id, "x") }))
	cl := newClient(t, s, 1)
	cl.call("1")
	cl.pools.SetUpstreams(map[string]*catalog.Upstream{})
	if n := cl.pools.Opened(); n != 0 {
		t.Errorf("%d connections of a removed upstream are counted", n)
	}
}

func BenchmarkCall(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go respondWith(func(id string) string { return response(id, "x") })(0, c)
		}
	}()
	pools := NewPools(idProtocol{}, nopObserver{}, func(string) int { return 4 })
	up := &catalog.Upstream{ID: "u", Address: ln.Addr().String()}
	done := make(chan Reply, 1)
	b.ReportAllocs()
	for b.Loop() {
		pools.Do(&Call{Message: &Message{ID: "1"}, Upstream: up, Deadline: time.Now().Add(testTimeout), Done: func(r Reply) { done <- r }})
		<-done
	}
}

// Guards against a call that is withdrawn, or whose deadline passes, right after its connection
// was opened and that is taken for a rejection by the upstream: the pool then opened no connection
// for rejectPause and failed the waiting calls, and a call that may have run counted as not run.
func TestTimeoutOnANewConnectionIsNoRejection(t *testing.T) {
	s := newServer(t, respondWith(func(id string) string { return response(id, "x") }))
	c := &conn{pool: newPool(s.upstream(), idProtocol{}, nopObserver{}, 1), dialTime: time.Second}
	if r := c.noResponse(os.ErrDeadlineExceeded, time.Millisecond); r.Result != scatter.Lost || !c.pool.rejectedUntil.IsZero() {
		t.Errorf("%v, rejected until %v", r.Result, c.pool.rejectedUntil)
	}
}
