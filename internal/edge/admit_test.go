package edge

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/congestion"
	"sycamorekeel.example/sycamorekeel/internal/connpool"
	"sycamorekeel.example/sycamorekeel/internal/routing"
)

// queueRoute is the route of the tests of the wait for a place.
var queueRoute = &routing.Route{Name: "q", Shards: []string{"a", "b", "c", "d"}, Objective: 200 * time.Millisecond, MinCoverage: 0.75}

// queueTest is an engine whose limit for queueRoute is used up. Its timers fire only on demand.
type queueTest struct {
	*Engine
	running []*place
	// limits and checks are the timers of the longest wait and of the checks of the caller.
	limits, checks chan time.Time
	// begun receives when a query has begun to wait.
	begun chan struct{}
	// ended receives what became of the query that waits.
	ended chan *place
	last  Answer
}

func newQueueTest(t *testing.T) *queueTest {
	t.Helper()
	now := start
	q := &queueTest{limits: make(chan time.Time, 1), checks: make(chan time.Time), begun: make(chan struct{}), ended: make(chan *place)}
	q.Engine = newLimitedEngine(func() time.Time { return now })
	q.after = func(d time.Duration) <-chan time.Time {
		if d == queuedCallerCheckInterval {
			return q.checks
		}
		q.begun <- struct{}{}
		return q.limits
	}
	for p := q.beginQuery(queueRoute); p != nil; p = q.beginQuery(queueRoute) {
		q.running = append(q.running, p)
	}
	q.mu.Lock()
	for query, p := range q.waiting {
		p.group.Leave(query)
		delete(q.waiting, query)
	}
	q.mu.Unlock()
	return q
}

// wait starts a query that waits for a place.
func (q *queueTest) wait(r *Request) {
	r.Received, r.Route, r.Deadline = q.now(), queueRoute, time.Second
	go func() {
		var p *place
		p, q.last = q.admitQuery(&catalog.View{}, r)
		q.ended <- p
	}()
	<-q.begun
}

// expect checks how the wait ended and that nothing of it is left.
func (q *queueTest) expect(t *testing.T, p *place, outcome waitOutcome) {
	t.Helper()
	if n := testutil.ToFloat64(q.opts.Metrics.admission.waits.WithLabelValues(string(outcome))); n != 1 {
		t.Errorf("%v waits ended as %s, want 1", n, outcome)
	}
	if (p != nil) != (outcome == waitAdmitted) {
		t.Errorf("place %v at outcome %s", p, outcome)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) != 0 {
		t.Errorf("%d queries still wait", len(q.waiting))
	}
}

// Guards against a query that waits on although a place is free, and against a place that is
// lost when it is given to a query whose time to wait ends in the same moment.
func TestWaitEndsWhenAPlaceIsFree(t *testing.T) {
	for _, timeOver := range []bool{false, true} {
		q := newQueueTest(t)
		q.wait(&Request{})
		if timeOver {
			q.mu.Lock()
			q.limits <- time.Time{}
			q.tellDecided(q.running[0].group.Abandon(q.now(), q.running[0].query))
			q.mu.Unlock()
		} else {
			q.endQuery(q.running[0], &Request{Received: start, Route: queueRoute}, &Answer{Reason: CallerGone})
		}
		q.expect(t, <-q.ended, waitAdmitted)
		if q.beginQuery(queueRoute) != nil {
			t.Error("the place was given twice")
		}
	}
}

// Guards against a refusal after a wait that is not marked as not run, without a time to
// retry, or beyond the caller's time.
func TestWaitEndsAtItsLimit(t *testing.T) {
	q := newQueueTest(t)
	q.wait(&Request{})
	q.limits <- time.Time{}
	q.expect(t, <-q.ended, waitRefused)
	if a := q.last; a.Reason != Congested || !a.NotRun || a.RetryAfter < 250*time.Millisecond || a.RetryAfter > time.Second/3 {
		t.Errorf("answer %+v", a)
	}
	if n := testutil.ToFloat64(q.opts.Metrics.admission.refusals.WithLabelValues("high")); n != 1 {
		t.Errorf("%v refusals counted, want 1", n)
	}
}

// Guards against a wait or a second try that an operator cannot tell from the log.
func TestWaitAndSecondTryAreLogged(t *testing.T) {
	e := newTestEngine()
	r := request("/q/")
	r.Route, r.queued, r.returning = queueRoute, 30*time.Millisecond, true
	e.logRequestEnd(r, &Answer{Reason: Congested, NotRun: true})
	if text := e.lines(t); !strings.Contains(text, `"queued":30,"returning":true`) {
		t.Errorf("wait and second try are missing from %s", text)
	}
}

// Guards against queries that take a place though their caller has left.
func TestWaitEndsWhenTheCallerLeaves(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	caller, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	q := newQueueTest(t)
	q.wait(&Request{Conn: conn})
	q.checks <- time.Time{}
	caller.Close()
	for {
		select {
		case q.checks <- time.Time{}:
			continue
		case p := <-q.ended:
			q.expect(t, p, waitCallerGone)
			if q.last.Reason != CallerGone || !q.last.NotRun {
				t.Errorf("answer %+v", q.last)
			}
		}
		return
	}
}

// Guards against a limit that falls only when the queues of upstreams are full: parts that
// wait at the VM for a quarter of the objective count, shorter waits do not.
func TestPartsThatWaitAtTheVMCountAsHeldUp(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	e := newLimitedEngine(time.Now)
	e.pools = connpool.NewPools(statusProtocol{}, upstreamObserver{e.opts.Traffic, e.opts.Place, e}, func(string) int { return 1 })
	defer e.pools.Close()
	u := &catalog.Upstream{ID: "u", Service: "a", Address: ln.Addr().String()}
	x := &run{engine: e, req: &Request{Route: queueRoute}}
	for part := range 3 {
		call := &connpool.Call{Message: request("/q/").Message, Upstream: u, Deadline: time.Now().Add(time.Hour), AnswerBy: time.Now().Add(time.Hour), Barred: func() string { return "" }, Done: func(connpool.Reply) {}}
		x.sends = append(x.sends, send{part: part, call: call})
		e.pools.Do(call)
	}
	queued := time.Now()
	for at, want := range map[time.Duration]int{0: 0, time.Minute: 2} {
		e.now = func() time.Time { return queued.Add(at) }
		x.req.Route = &routing.Route{Objective: 40 * time.Second}
		if got := x.heldUpParts(); got != want {
			t.Errorf("%d parts held up after %v, want %d", got, at, want)
		}
	}
	for i := range x.sends {
		x.sends[i].call.Withdraw()
	}
}

// Guards against a limit that each of several VMs and classes starts with as if it were alone:
// together they admit several times what the upstreams take before the first sign of congestion.
func TestInitialLimitIsSharedAmongVMs(t *testing.T) {
	v := &catalog.View{Services: map[string][]*catalog.Upstream{"a": {{Slots: 60}}}}
	second := routing.Route{Shards: queueRoute.Shards, Priority: 1}
	shared := &catalog.View{Services: v.Services, Config: &routing.Config{Routes: []routing.Route{*queueRoute, second, second}}}
	e := newLimitedEngine(func() time.Time { return start })
	if p, _ := e.askPlace(shared, &Request{Received: start, Route: queueRoute}); p.limit() != 120 {
		t.Errorf("two classes: limit %v, want 120", p.limit())
	}
	for vms, want := range map[int]float64{1: 240, 3: 80, 9: 28, 60: 16} {
		e := newLimitedEngine(func() time.Time { return start })
		e.shares.Store(&Shares{VMs: 60, IngressVMs: vms, Ingress: true})
		p, decision := e.askPlace(v, &Request{Received: start, Route: queueRoute})
		if decision != congestion.Admitted || p.limit() != want {
			t.Errorf("%d VMs: limit %v, want %v", vms, p.limit(), want)
		}
	}
}
