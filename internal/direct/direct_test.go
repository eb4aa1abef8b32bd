package direct

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
)

// patience bounds what a test waits for; no test passes by it running out.
const patience = 10 * time.Second

// plain is a protocol with an id header and nothing else.
type plain struct{}

func (plain) Encode(req *fasthttp.Request, m *Message, _ *catalog.Upstream, _ time.Duration) {
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetHost("h")
	req.SetRequestURI("/")
	req.Header.Set("Id", m.ID)
	req.SetBodyRaw(m.Body)
}

func (plain) Decode(resp *fasthttp.Response, m *Message) (scatter.Result, string, string) {
	if string(resp.Header.Peek("Id")) != m.ID {
		return scatter.Lost, "", "foreign"
	}
	return scatter.Answered, "", ""
}

func (plain) DecodeLoad(*fasthttp.Response) *Load { return nil }

func (plain) DecodeHealth(resp *fasthttp.Response) (Health, error) {
	return Health{Upstream: string(resp.Header.Peek("Id"))}, nil
}

// server is an upstream whose connections are each served by a function.
type server struct {
	ln     net.Listener
	mu     sync.Mutex
	opened int
	conns  []net.Conn
}

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

// read reads one request and gives its id; "" at the end.
func read(br *bufio.Reader) string {
	var req fasthttp.Request
	if err := req.Read(br); err != nil {
		return ""
	}
	return string(req.Header.Peek("Id"))
}

func whole(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// answering serves each request with what answer gives for its id.
func answering(answer func(id string) string) func(int, net.Conn) {
	return func(_ int, c net.Conn) {
		br := bufio.NewReader(c)
		for id := read(br); id != ""; id = read(br) {
			if _, err := c.Write([]byte(answer(id))); err != nil {
				return
			}
		}
	}
}

// nobody counts nothing.
type nobody struct{}

func (nobody) Opened(*catalog.Upstream) {}

// asking counts nothing and has connections ask for health first.
type asking struct {
	nobody
	answered *atomic.Int64
}

func (asking) HealthPath(*catalog.Upstream) string { return "/health" }

func (a asking) HealthAnswered(_ *catalog.Upstream, _ time.Time, _ Health, err error) {
	if err == nil {
		a.answered.Add(1)
	}
}

func (nobody) HealthPath(*catalog.Upstream) string { return "" }

func (nobody) HealthAnswered(*catalog.Upstream, time.Time, Health, error) {}

func (nobody) HealthBytes(*catalog.Upstream, int) {}

func (nobody) Ended(*catalog.Upstream) {}

func (nobody) Sent(*catalog.Upstream, bool, int) {}

// client is pools with a limit, and a way to make calls.
type client struct {
	t     *testing.T
	pools *Pools
	up    *catalog.Upstream
}

func newClient(t *testing.T, s *server, limit int) *client {
	c := &client{t: t, pools: NewPools(plain{}, nobody{}, func(string) int { return limit }), up: s.upstream()}
	t.Cleanup(c.pools.Close)
	return c
}

// begin makes a call and gives the channel of its reply.
func (c *client) begin(id string, body []byte, priority int) (*Call, <-chan Reply) {
	call, done := c.prepare(id, body, priority)
	c.pools.Do(call)
	return call, done
}

// prepare is a call that is not made yet, and the channel of its reply.
func (c *client) prepare(id string, body []byte, priority int) (*Call, <-chan Reply) {
	done := make(chan Reply, 1)
	call := &Call{
		Message:  &Message{ID: id, Body: body},
		Upstream: c.up,
		Deadline: time.Now().Add(patience),
		Priority: priority,
		Done:     func(r Reply) { done <- r },
	}
	return call, done
}

func (c *client) wait(done <-chan Reply) Reply {
	c.t.Helper()
	select {
	case r := <-done:
		return r
	case <-time.After(2 * patience):
		c.t.Fatal("no reply")
		return Reply{}
	}
}

func (c *client) call(id string) Reply {
	c.t.Helper()
	_, done := c.begin(id, nil, 0)
	return c.wait(done)
}

// untilNoneOpen waits until the upstream's last connection counts as ended: a reply is
// handed over just before, by the connection's own goroutine.
func (c *client) untilNoneOpen() {
	c.t.Helper()
	c.until("the connection does not end", func(p *Pool) bool { return p.open == 0 })
}

// untilIdle waits until no connection is in use: a reply is handed over just before its
// connection counts as idle.
func (c *client) untilIdle() {
	c.t.Helper()
	c.until("the connection stays in use", func(p *Pool) bool { return p.busy() == 0 })
}

// until waits for a state of the upstream's pool, which is asked for with its lock held.
func (c *client) until(otherwise string, reached func(*Pool) bool) {
	c.t.Helper()
	c.pools.mu.Lock()
	pool := c.pools.pools[c.up.ID]
	c.pools.mu.Unlock()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		pool.mu.Lock()
		done := reached(pool)
		pool.mu.Unlock()
		if done {
			return
		}
	}
	c.t.Fatal(otherwise)
}

// Each row is a way in which upstreams break answers. What belongs to no request
// or is not whole never becomes an answer, and the connection is not used again.
func TestBrokenAnswers(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(id string) string
		result scatter.Result
		reused bool
	}{
		{"whole", func(id string) string { return whole(id, "x") }, scatter.Answered, true},
		{"to another request", func(string) string { return whole("other", "x") }, scatter.Lost, false},
		{"no bytes of the protocol", func(string) string { return "garbage\r\n\r\n" }, scatter.Lost, false},
		{"with bytes after it", func(id string) string { return whole(id, "x") + "more" }, scatter.Answered, false},
		{"followed by a second one", func(id string) string { return whole(id, "x") + whole(id, "y") }, scatter.Answered, false},
		{"says that it closes", func(id string) string {
			return strings.Replace(whole(id, "x"), "\r\nId", "\r\nConnection: close\r\nId", 1)
		}, scatter.Answered, false},
	} {
		s := newServer(t, answering(c.answer))
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

// An upstream that ends under a request is told from one whose answer is bad or late.
func TestAConnectionThatEndsUnderARequestIsBroken(t *testing.T) {
	for _, reset := range []bool{false, true} {
		s := newServer(t, func(_ int, c net.Conn) {
			br := bufio.NewReader(c)
			for id := read(br); id != "end"; id = read(br) {
				fmt.Fprint(c, whole(id, "x"))
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

// An answer without a length is whole when its connection ends, and is not when
// the connection is reset or ends before its stated length.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
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
			id := read(br)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n%s\r\n%s", id, c.head, body)
			if c.reset {
				// The client has read the start by the time it asks no more.
				time.Sleep(20 * time.Millisecond)
				conn.(*net.TCPConn).SetLinger(0)
			}
		})
		if r := newClient(t, s, 1).call("1"); r.Result != c.result {
			t.Errorf("%s: %v (%s), want %v", c.name, r.Result, r.Detail, c.result)
		}
	}
}

// Symptom: a request gets the late answer of the one before it.
// Sequence: an upstream sends a second answer after the connection was given
// back; the next request goes out on that connection.
// Cause: nothing looked at what had come in between.
func TestBytesOnAnIdleConnectionEndIt(t *testing.T) {
	extra := make(chan bool)
	s := newServer(t, func(n int, c net.Conn) {
		br := bufio.NewReader(c)
		for id := read(br); id != ""; id = read(br) {
			fmt.Fprint(c, whole(id, "x"))
			if n == 0 {
				<-extra
				fmt.Fprint(c, whole(id, "late"))
				extra <- true
			}
		}
	})
	cl := newClient(t, s, 1)
	cl.call("1")
	extra <- true
	<-extra
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		cl.pools.Expire(time.Now())
		if cl.idle() == 0 {
			break
		}
	}
	if r := cl.call("2"); r.Result != scatter.Answered || string(r.Response.Body()) != "x" || s.connections() != 2 {
		t.Errorf("%v %q on %d connections", r.Result, r.Response.Body(), s.connections())
	}
}

// idle is how many connections are idle.
func (c *client) idle() int {
	n := 0
	for _, p := range c.pools.all() {
		p.mu.Lock()
		n += len(p.idle)
		p.mu.Unlock()
	}
	return n
}

// Symptom: upstreams reset connections beyond what they take.
// Sequence: a burst of calls opens a connection each.
// Cause: no bound; calls beyond it have to wait, the urgent first.
func TestCallsBeyondTheLimitWaitByPriority(t *testing.T) {
	go1 := make(chan bool)
	order := make(chan string, 9)
	s := newServer(t, answering(func(id string) string {
		order <- id
		if id == "first" {
			<-go1
		}
		return whole(id, "x")
	}))
	cl := newClient(t, s, 1)
	_, first := cl.begin("first", nil, 1)
	if got := <-order; got != "first" {
		t.Fatal(got)
	}
	lowCall, low := cl.begin("low", nil, 2)
	if lowCall.Waited(time.Now().Add(time.Second)) < time.Second {
		t.Error("a call that waits does not say so")
	}
	_, mid := cl.begin("mid", nil, 1)
	_, top := cl.begin("top", nil, 0)
	_, mid2 := cl.begin("mid2", nil, 1)
	close(go1)
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

// Symptom: under more load than an upstream carries every request is late.
// Sequence: three calls wait; the first of them cannot be in time any more.
// Cause: it had its turn nonetheless, and the next one was late by then as well.
func TestWhoCanBeInTimeGoesFirst(t *testing.T) {
	order, release := make(chan string, 4), make(chan bool, 4)
	s := newServer(t, answering(func(id string) string {
		order <- id
		<-release
		return whole(id, "x")
	}))
	cl := newClient(t, s, 1)
	var replies []<-chan Reply
	for i, answerBy := range []time.Duration{patience, -time.Second, patience, -time.Second} {
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

// A pool with a window leaves further connections alone, and goes on as soon as
// the window allows it.
func TestAWindowBoundsWhatIsUnderWay(t *testing.T) {
	arrived, release := make(chan bool, 4), make(chan bool, 4)
	s := newServer(t, answering(func(id string) string {
		arrived <- true
		<-release
		return whole(id, "x")
	}))
	cl := newClient(t, s, 4)
	_, first := cl.begin("1", nil, 0)
	<-arrived
	cl.pools.SetWindow(cl.up, 1)
	_, second := cl.begin("2", nil, 0)
	_, third := cl.begin("3", nil, 0)
	if ahead := cl.pools.Ahead(time.Now(), []*catalog.Upstream{cl.up}); ahead[0] != 3 {
		t.Errorf("%v answers ahead with one under way and two that wait", ahead[0])
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
		t.Errorf("%d connections, want the two that were needed", n)
	}
}

// Symptom: after a loss of power queries lose a tenth of their parts and the
// retry budget with them, while the upstreams are a third busy.
// Sequence: an upstream counts the connections of processes that are gone; their
// successors open new ones, and it closes each at once. Each was taken for a
// request that may have run, and the next call opened one more.
// Cause: being over an upstream's cap was not told from a lost answer.
func TestConnectionsThatAreClosedAtOnceAreShutOut(t *testing.T) {
	over := atomic.Bool{}
	over.Store(true)
	s := newServer(t, func(_ int, c net.Conn) {
		if over.Load() {
			return
		}
		answering(func(id string) string { return whole(id, "x") })(0, c)
	})
	cl := newClient(t, s, 3)
	if r := cl.call("1"); r.Result != scatter.Shut {
		t.Fatalf("%v (%s)", r.Result, r.Detail)
	}
	cl.untilNoneOpen()
	if ahead := cl.pools.Ahead(time.Now(), []*catalog.Upstream{cl.up}); ahead[0] != shutAhead {
		t.Errorf("%v answers ahead of an upstream that lets nothing in", ahead[0])
	}
	if r := cl.call("2"); r.Result != scatter.NoConnection || s.connections() != 1 {
		t.Errorf("%v (%s) just after, %d connections opened", r.Result, r.Detail, s.connections())
	}
	over.Store(false)
	time.Sleep(shutPause)
	if r := cl.call("3"); r.Result != scatter.Answered {
		t.Errorf("%v (%s) once the pause is over", r.Result, r.Detail)
	}
}

// Symptom: calls that wait for a moment are given back, as if their upstream were silent.
// Sequence: nobody has called for a while; then two calls come, and the second waits for the
// first one's connection.
// Cause: the time in which nobody had called was counted.
func TestATimeWithoutCallsIsNoSilence(t *testing.T) {
	release := make(chan struct{})
	s := newServer(t, answering(func(id string) string {
		if id != "before" {
			<-release
		}
		return whole(id, "x")
	}))
	c := newClient(t, s, 1)
	c.call("before")
	c.untilIdle()
	pool := c.pools.all()[0]
	pool.mu.Lock()
	pool.movedAt = time.Now().Add(-time.Hour)
	pool.mu.Unlock()
	_, sent := c.begin("sent", nil, 0)
	_, waiting := c.begin("waiting", nil, 0)
	c.pools.Expire(time.Now())
	close(release)
	for _, done := range []<-chan Reply{sent, waiting} {
		if r := c.wait(done); r.Result != scatter.Answered {
			t.Errorf("ended as %v: %s", r.Result, r.Detail)
		}
	}
}

// Symptom: a request that may run but once ends at its deadline with one send that was
// never written, though other upstreams of its service were free.
// Sequence: an upstream goes silent with requests under way on all connections that this VM
// may have to it; another request has been given to it and waits for one of them.
// Cause: a connection gets free with an answer or an end, and neither comes.
func TestCallsThatWaitForASilentUpstreamAreGivenBack(t *testing.T) {
	silent := newServer(t, func(_ int, c net.Conn) {
		_, _ = io.Copy(io.Discard, c)
	})
	c := newClient(t, silent, 1)
	_, sent := c.begin("sent", nil, 0)
	_, waiting := c.begin("waiting", nil, 0)
	c.pools.Expire(time.Now())
	select {
	case r := <-waiting:
		t.Fatalf("given back at once: %+v", r)
	default:
	}
	c.pools.Expire(time.Now().Add(stuckAfter))
	if r := c.wait(waiting); r.Result != scatter.NoConnection || !r.Result.NotRun() {
		t.Errorf("the call that waits ends as %+v", r)
	}
	select {
	case r := <-sent:
		t.Errorf("the call that was sent ends as %+v", r)
	default:
	}
}

// Each row is how a pool is used and what a further call would wait for.
func TestAheadCountsTheAnswersToWaitFor(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name string
		pool *Pool
		want float64
	}{
		{"an idle connection", &Pool{limit: 1, open: 1, idle: []*conn{{}}}, 0},
		{"one may be opened", &Pool{limit: 2, open: 1}, 0},
		{"both are out", &Pool{limit: 2, open: 2}, 0.5},
		{"and some wait", &Pool{limit: 2, open: 2, waiting: make([]*Call, 3)}, 2},
		{"shut out, with one", &Pool{limit: 2, open: 1, shutUntil: now.Add(time.Second)}, 1},
		{"shut out, with none", &Pool{limit: 2, shutUntil: now.Add(time.Second)}, shutAhead},
	} {
		if got := c.pool.ahead(now); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestAnAddressThatRefusesWasNotReached(t *testing.T) {
	s := newServer(t, answering(func(id string) string { return whole(id, "x") }))
	cl := newClient(t, s, 1)
	s.ln.Close()
	if r := cl.call("1"); r.Result != scatter.Unreached {
		t.Errorf("%v: %s", r.Result, r.Detail)
	}
}

// Symptom: upstreams work for callers that have left.
// Sequence: the caller closes; its call goes on until the upstream has answered.
// Cause: nobody closed the connection to the upstream.
func TestWithdrawingClosesTheConnection(t *testing.T) {
	arrived, ended := make(chan bool), make(chan bool)
	s := newServer(t, func(_ int, c net.Conn) {
		br := bufio.NewReader(c)
		read(br)
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
	case <-time.After(patience):
		t.Fatal("the upstream still has its connection")
	}
	select {
	case r := <-done:
		t.Errorf("a reply after the withdrawal: %v", r.Result)
	default:
	}
}

// Symptom: an upstream takes a request for the rest of an earlier one's body.
// Sequence: it answers before it has read a long body, keeps the connection and
// reads on; the next request is written there.
// Cause: the connection was used again before the body was out.
func TestAnEarlyAnswerToALongBodyEndsTheConnection(t *testing.T) {
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
			fmt.Fprint(c, whole(id, "early"))
			if !strings.Contains(head, "Content-Length: 0") {
				// The rest stays unread; the connection stays open.
				time.Sleep(patience)
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

// Guards against calls that waited for a connection and go to an upstream that may not be
// given them any more.
func TestCallsThatAreBarredMeanwhileAreNotSent(t *testing.T) {
	release := make(chan struct{})
	var arrived atomic.Int64
	s := newServer(t, answering(func(id string) string {
		arrived.Add(1)
		<-release
		return whole(id, "x")
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
		t.Errorf("the connection is of no more use: %v", r.Result)
	}
}

// Guards against calls to a process that has started again unnoticed: no connection was open
// that could end, and the first one leads to the new process, which is cold.
func TestNewConnectionsAskForHealthFirst(t *testing.T) {
	for _, c := range []struct {
		name, id string
		want     scatter.Result
	}{{"the upstream's own answer", "u", scatter.Answered}, {"another's answer", "other", scatter.Barred}} {
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
				if _, err := nc.Write([]byte(whole(id, "x"))); err != nil {
					return
				}
			}
		})
		cl := newClient(t, s, 1)
		cl.pools = NewPools(plain{}, asking{answered: &answered}, func(string) int { return 1 })
		t.Cleanup(cl.pools.Close)
		if r := cl.call("first"); r.Result != c.want {
			t.Errorf("%s: %v %s", c.name, r.Result, r.Detail)
		}
		if c.want == scatter.Answered {
			cl.call("second")
		}
		if healths.Load() != 1 || calls.Load() != 2*answered.Load() {
			t.Errorf("%s: %d questions, %d calls, %d answers taken in", c.name, healths.Load(), calls.Load(), answered.Load())
		}
	}
}

func TestCallsWithoutTimeAreNotSent(t *testing.T) {
	s := newServer(t, answering(func(id string) string { return whole(id, "x") }))
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
		"":                    idleDefault,
		"timeout=10":          10*time.Second - idleMargin,
		"max=5, timeout=2":    2*time.Second - idleMargin,
		"timeout=0":           0,
		"timeout=x":           idleDefault,
		" Timeout=3 , max=1 ": 3*time.Second - idleMargin,
	} {
		var resp fasthttp.Response
		resp.Header.Set("Keep-Alive", text)
		if got := keepAlive(&resp); got != want {
			t.Errorf("%q: %v, want %v", text, got, want)
		}
	}
}

func TestPoolsOfUpstreamsThatAreGoneClose(t *testing.T) {
	s := newServer(t, answering(func(id string) string { return whole(id, "x") }))
	cl := newClient(t, s, 1)
	cl.call("1")
	cl.pools.Keep(map[string]*catalog.Upstream{})
	if n := cl.pools.Opened(); n != 0 {
		t.Errorf("%d connections of an upstream that is gone are counted", n)
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
			go answering(func(id string) string { return whole(id, "x") })(0, c)
		}
	}()
	pools := NewPools(plain{}, nobody{}, func(string) int { return 4 })
	up := &catalog.Upstream{ID: "u", Address: ln.Addr().String()}
	done := make(chan Reply, 1)
	b.ReportAllocs()
	for b.Loop() {
		pools.Do(&Call{Message: &Message{ID: "1"}, Upstream: up, Deadline: time.Now().Add(patience), Done: func(r Reply) { done <- r }})
		<-done
	}
}
