package connpool

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
)

// Classes of the calls in these tests.
const (
	urgent = 0
	low    = 1
)

// beginClass starts a call of a class that shares the upstream.
func (c *client) beginClass(id string, priority int, minLimit float64) (*Call, <-chan Reply) {
	call, done := c.prepare(id, nil, priority)
	call.SharedBy, call.MinLimit = []int{urgent, low}, minLimit
	c.pools.Do(call)
	return call, done
}

// queueSeen lowers the limit of the low class to its lowest value. The upstream must have had
// a call.
func (c *client) queueSeen() {
	for range 20 {
		now := time.Now()
		c.pools.ObserveQueue(now, c.up, urgent, now, true)
	}
}

// gate is an upstream that records the ids of its calls and answers those that wait is false
// for at once, the others when it is opened.
type gate struct {
	*server
	mu      sync.Mutex
	arrived []string
	open    chan struct{}
}

func newGate(t *testing.T, wait func(id string) bool) *gate {
	g := &gate{open: make(chan struct{})}
	g.server = newServer(t, respondWith(func(id string) string {
		g.mu.Lock()
		g.arrived = append(g.arrived, id)
		g.mu.Unlock()
		if wait(id) {
			<-g.open
		}
		return response(id, "x")
	}))
	return g
}

// sent returns the ids of the calls that have arrived, in order.
func (g *gate) sent() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.arrived)
}

// waitArrived waits until a call has arrived.
func (c *client) waitArrived(g *gate, id string) {
	c.t.Helper()
	c.waitPool(id+" does not arrive", func(*Pool) bool { return slices.Contains(g.sent(), id) })
}

// Guards against low calls that fill an upstream's queue in front of urgent ones, or that
// block urgent calls at the VM: neither the held calls nor their number delays an urgent call.
func TestUrgentCallsPassHeldOnes(t *testing.T) {
	g := newGate(t, func(id string) bool { return id == "low" })
	c := newClient(t, g.server, 4)
	_, first := c.beginClass("low", low, 0.9)
	c.waitArrived(g, "low")
	c.queueSeen()
	var held []<-chan Reply
	var call *Call
	for i := range maxWaiting {
		var done <-chan Reply
		call, done = c.beginClass(fmt.Sprint("held", i), low, 0.9)
		held = append(held, done)
	}
	_, full := c.beginClass("too many", low, 0.9)
	if r := c.wait(full); r.Result != scatter.NoConnection {
		t.Errorf("beyond the queue: %v", r.Result)
	}
	_, done := c.beginClass("urgent", urgent, 0.9)
	if r := c.wait(done); r.Result != scatter.Answered {
		t.Fatalf("urgent call: %v %s", r.Result, r.Detail)
	}
	if sent := g.sent(); len(sent) != 2 {
		t.Errorf("sent: %v", sent)
	}
	shared := Class{Priority: low, SharedBy: []int{urgent, low}}
	if a := c.pools.AnswersAhead(time.Now(), []*catalog.Upstream{c.up}, shared)[0]; a < maxWaiting {
		t.Errorf("%v answers ahead of a held call", a)
	}
	if a := c.pools.AnswersAhead(time.Now(), []*catalog.Upstream{c.up}, Class{SharedBy: shared.SharedBy})[0]; a != 0 {
		t.Errorf("%v answers ahead of an urgent call", a)
	}
	if n := c.pools.Limited(time.Now()); n[low] != 1 || n[urgent] != 0 {
		t.Errorf("limits in force: %v", n)
	}
	close(g.open)
	c.wait(first)
	for _, done := range held {
		if r := c.wait(done); r.Result != scatter.Answered {
			t.Fatalf("held call: %v %s", r.Result, r.Detail)
		}
	}
	if now := time.Now(); call.Held(now) == 0 || call.Held(now) > call.Waited(now) {
		t.Errorf("held for %v of a wait of %v", call.Held(now), call.Waited(now))
	}
}

// Guards against a low class that never gets a connection while urgent calls wait, and
// against calls of a class that are not in the order of their time left.
func TestLowCallsArePassedOverAtMostMaxBypassTimes(t *testing.T) {
	g := newGate(t, func(id string) bool { return id == "first" })
	c := newClient(t, g.server, 1)
	_, first := c.begin("first", nil, urgent)
	c.waitArrived(g, "first")
	dones := []<-chan Reply{first}
	by := time.Now().Add(testTimeout)
	for i := range 40 {
		call, done := c.prepare(fmt.Sprint(i), nil, urgent)
		if i < 2 {
			call.Priority = low
		}
		call.SharedBy, call.AnswerBy = []int{urgent, low}, by.Add(-time.Duration(i)*time.Millisecond)
		c.pools.Do(call)
		dones = append(dones, done)
	}
	close(g.open)
	for _, done := range dones {
		c.wait(done)
	}
	if sent := g.sent(); sent[1] != "39" || sent[maxBypass+1] != "1" || sent[2*maxBypass+2] != "0" {
		t.Errorf("sent in the order %v", sent)
	}
}

// Guards against a class that stays limited by a send that has ended, and against a send
// that frees the place of another one: after each kind of end only another send is open,
// and the next call is sent.
func TestEverySendFreesItsPlaceOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		// change prepares a call that ends by itself; end ends one that is in flight.
		change func(*client, *Call)
		end    func(*client, *gate, *Call)
		// gone says that the upstream takes no further call, othersEnd that its other open
		// send ends too.
		gone, othersEnd bool
	}{
		{name: "answered", end: func(_ *client, g *gate, _ *Call) { close(g.open) }},
		{name: "withdrawn", end: func(_ *client, _ *gate, call *Call) { call.Withdraw() }},
		{name: "expired", change: func(_ *client, call *Call) { call.Deadline = time.Now() }},
		{name: "barred", change: func(_ *client, call *Call) { call.Barred = func() string { return "why" } }},
		{name: "dial failed", change: func(c *client, _ *Call) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				c.t.Fatal(err)
			}
			c.up.Address = ln.Addr().String()
			ln.Close()
		}, gone: true, othersEnd: true},
		{name: "pool closed", end: func(c *client, g *gate, _ *Call) {
			c.pools.SetUpstreams(map[string]*catalog.Upstream{})
			close(g.open)
		}, gone: true},
		{name: "pool abandoned", end: func(c *client, _ *gate, _ *Call) {
			restarted := *c.up
			restarted.StartedAt = time.Unix(2000, 0)
			c.pools.SetUpstreams(map[string]*catalog.Upstream{c.up.ID: &restarted})
		}, gone: true, othersEnd: true},
	} {
		g := newGate(t, func(id string) bool {
			if id == "other" {
				<-t.Context().Done()
			}
			return id == "first"
		})
		cl := newClient(t, g.server, 4)
		cl.up.StartedAt = time.Unix(1000, 0)
		call, _ := cl.prepare("first", nil, low)
		call.SharedBy, call.MinLimit = []int{urgent, low}, 2
		if c.change != nil {
			c.change(cl, call)
		}
		cl.beginClass("other", low, 2)
		cl.pools.Do(call)
		cl.pools.mu.Lock()
		pool := cl.pools.pools[cl.up.ID]
		cl.pools.mu.Unlock()
		if c.end != nil {
			cl.waitArrived(g, "first")
			c.end(cl, g, call)
		}
		left := 1
		if c.othersEnd {
			left = 0
		}
		for begun := time.Now(); ; time.Sleep(time.Millisecond) {
			pool.mu.Lock()
			open := pool.limits.Open(low)
			pool.mu.Unlock()
			if open == left {
				break
			}
			if time.Since(begun) > testTimeout {
				t.Fatalf("%s: %d open sends, want %d", c.name, open, left)
			}
		}
		if c.gone {
			continue
		}
		cl.queueSeen()
		_, second := cl.beginClass("second", low, 2)
		if r := cl.wait(second); r.Result != scatter.Answered {
			t.Errorf("after %s: %v %s", c.name, r.Result, r.Detail)
		}
		cl.waitPool(c.name+": not only the other send is open", func(p *Pool) bool { return p.limits.Open(low) == left })
	}
}

// Guards against held calls that nothing sends when the pause ends, and that fail because the
// last connection has closed meanwhile.
func TestCallsAreSentAfterThePause(t *testing.T) {
	g := newGate(t, func(id string) bool { return id == "first" })
	c := newClient(t, g.server, 4)
	first, _ := c.beginClass("first", low, 0.05)
	c.waitArrived(g, "first")
	c.queueSeen()
	second, done := c.beginClass("second", low, 0.05)
	first.Withdraw()
	c.waitAllClosed()
	if r := c.wait(done); r.Result != scatter.Answered || second.Held(time.Now()) == 0 {
		t.Errorf("the held call: %v %s after %v", r.Result, r.Detail, second.Held(time.Now()))
	}
}

// Guards against waits that go on after their call has ended: a call that is withdrawn or
// refused while it waits would count as held up for as long as its request runs.
func TestWaitEndsWithTheCall(t *testing.T) {
	for name, end := range map[string]func(*Call){
		"withdrawn": func(c *Call) { c.Withdraw() },
		"refused":   func(c *Call) { c.finish(Reply{Result: scatter.NoConnection}) },
	} {
		c := &Call{Done: func(Reply) {}}
		c.markQueued(time.Now())
		c.markHeld(time.Now())
		end(c)
		later := time.Now().Add(time.Hour)
		if c.Waited(later) >= time.Hour || c.Held(later) >= time.Hour {
			t.Errorf("%s: waited %v, held %v", name, c.Waited(later), c.Held(later))
		}
	}
}
