package direct

import (
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
)

// maxWaiting bounds the calls that wait for a connection to one upstream. What
// waits behind more than that would not be in time.
const maxWaiting = 64

// shutPause is how long no connection is opened after the upstream has closed one
// at once. Without it each waiting call would try the same: an upstream that
// counts the connections of processes that are gone, as after a loss of power,
// would close hundreds, and as many calls lose a round trip. Those that wait have
// about two answers of the connections that are open in that time.
const shutPause = 100 * time.Millisecond

// stuckAfter is how long nothing may come of an upstream until the calls that wait for a
// connection to it are given back: several pauses as upstreams make them. A call that has
// not been sent has not run, so that another upstream may have it whatever its kind. Left
// to wait, a request that may run but once stays with an upstream that has gone silent until
// its deadline: one notices requests that end as timed_out with one send and no time
// in connect.
const stuckAfter = time.Second

// stuckUsual is how many times its usual time an upstream may be silent at least.
const stuckUsual = 4

// usualOf is how many answers the usual time of a pool is about the mean of.
const usualOf = 8

// Pool is the connections to one start of an upstream.
type Pool struct {
	upstream *catalog.Upstream
	protocol Protocol
	observer Observer

	mu    sync.Mutex
	limit int
	// window is how many connections may be in use at a time, 0 for all.
	window  int
	open    int
	opened  uint64
	idle    []*conn
	waiting []*Call
	closed  bool
	// sockets holds the open connections. abandoned says that they were closed, as the
	// upstream has started again.
	sockets   map[net.Conn]bool
	abandoned bool
	// usual is about how long answers take.
	usual time.Duration
	// movedAt is when something last came of a connection, or when the first one of those
	// in use got its call.
	movedAt time.Time
	// shutUntil is when a connection may be opened again after one was shut out.
	shutUntil time.Time
	checked   check
}

func newPool(u *catalog.Upstream, protocol Protocol, observer Observer, limit int) *Pool {
	return &Pool{upstream: u, protocol: protocol, observer: observer, limit: limit, sockets: map[net.Conn]bool{}}
}

// do gives the call to an idle connection, opens one, or lets it wait.
func (p *Pool) do(call *Call) {
	now := time.Now()
	p.mu.Lock()
	refused := Reply{}
	var dead []*conn
	switch {
	case p.closed:
		refused = Reply{Result: scatter.Unreached, Detail: goneUpstream}
	case p.open == 0 && !p.mayOpen(now), len(p.waiting) >= maxWaiting:
		refused = Reply{Result: scatter.NoConnection, Detail: noneFree}
	default:
		if p.busy() == 0 {
			p.movedAt = now
		}
		p.enqueue(call)
		dead = p.dispatch(now)
		if slices.Contains(p.waiting, call) {
			call.queued(now)
		}
	}
	p.mu.Unlock()
	endAll(dead)
	if refused.Detail != "" {
		call.finish(refused)
	}
}

// dispatch hands waiting calls to connections as long as there are both, and gives
// the idle connections that are to be ended. The caller holds mu.
func (p *Pool) dispatch(now time.Time) (dead []*conn) {
	for len(p.waiting) > 0 && p.hasRoom() {
		c, useless := p.takeIdle(now)
		dead = append(dead, useless...)
		if c == nil && !p.mayOpen(now) {
			return dead
		}
		call := p.takeWaiting(now)
		switch {
		case call == nil && c != nil:
			p.idle = append(p.idle, c)
		case call == nil:
		case c != nil:
			c.work <- call
		default:
			p.start(call)
		}
	}
	return dead
}

// hasRoom tells whether one more connection may be in use. The caller holds mu.
func (p *Pool) hasRoom() bool { return p.window == 0 || p.busy() < p.window }

// busy is how many connections are in use. The caller holds mu.
func (p *Pool) busy() int { return p.open - len(p.idle) }

// mayOpen tells whether one more connection may be opened. The caller holds mu.
func (p *Pool) mayOpen(now time.Time) bool {
	return p.open < p.limit && !now.Before(p.shutUntil)
}

// start opens a connection for a call. The caller holds mu.
func (p *Pool) start(call *Call) {
	p.open++
	p.opened++
	go (&conn{pool: p, work: make(chan *Call, 1)}).run(call)
}

// shut notes that the upstream has closed a connection as soon as it was open.
func (p *Pool) shut(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shutUntil = now.Add(shutPause)
}

// enqueue keeps the waiting calls in order of priority, then of arrival.
func (p *Pool) enqueue(call *Call) {
	i, _ := slices.BinarySearchFunc(p.waiting, call, func(a, b *Call) int {
		if a.Priority <= b.Priority {
			return -1
		}
		return 1
	})
	p.waiting = slices.Insert(p.waiting, i, call)
}

// takeIdle is the idle connection used last that can still be used; those that
// cannot are given back to be ended. The caller holds mu.
func (p *Pool) takeIdle(now time.Time) (found *conn, dead []*conn) {
	for len(p.idle) > 0 && found == nil {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.usable(now) {
			found = c
		} else {
			dead = append(dead, c)
		}
	}
	return found, dead
}

func endAll(conns []*conn) {
	for _, c := range conns {
		close(c.work)
	}
}

// next is the connection's next call: one that waits, or one that comes later.
// It is nil when the connection is to end.
func (p *Pool) next(c *conn) *Call {
	now := time.Now()
	p.mu.Lock()
	if p.closed || p.open > p.limit {
		p.mu.Unlock()
		return nil
	}
	p.idle = append(p.idle, c)
	dead := p.dispatch(now)
	p.mu.Unlock()
	endAll(dead)
	return <-c.work
}

// takeWaiting takes the first waiting call that can still be in time, else the
// first that is still wanted; those that are not are dropped. Under more load than
// the upstream carries, in the order of arrival each would get its turn when it is
// late already. The caller holds mu.
func (p *Pool) takeWaiting(now time.Time) *Call {
	p.waiting = slices.DeleteFunc(p.waiting, (*Call).isWithdrawn)
	if len(p.waiting) == 0 {
		return nil
	}
	inTime := func(c *Call) bool { return c.AnswerBy.IsZero() || now.Add(p.usual).Before(c.AnswerBy) }
	i := max(0, slices.IndexFunc(p.waiting, inTime))
	call := p.waiting[i]
	p.waiting = slices.Delete(p.waiting, i, i+1)
	call.dequeued(now)
	return call
}

// ended takes note that a connection is gone and opens one for a waiting call.
// Without any connection left, and none to be opened yet, nothing would ever take
// those that wait: they are given back.
func (p *Pool) ended(c *conn) {
	now := time.Now()
	p.mu.Lock()
	p.open--
	p.movedAt = now
	delete(p.sockets, c.net)
	var stranded []*Call
	var dead []*conn
	if !p.closed {
		dead = p.dispatch(now)
		if p.open == 0 {
			stranded = p.waiting
			p.waiting = nil
		}
	}
	p.mu.Unlock()
	endAll(dead)
	finishAll(stranded, Reply{Result: scatter.NoConnection, Detail: noneFree})
}

// setWindow bounds how many connections are in use at a time; 0 is no bound.
func (p *Pool) setWindow(n int) {
	now := time.Now()
	p.mu.Lock()
	p.window = n
	dead := p.dispatch(now)
	p.mu.Unlock()
	endAll(dead)
}

// answered takes in how long an answer took.
func (p *Pool) answered(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usual += (took - p.usual) / usualOf
	p.movedAt = time.Now()
}

// unstick gives back the calls that wait for a connection to an upstream of which nothing
// has come for long.
func (p *Pool) unstick(now time.Time) {
	p.mu.Lock()
	var stuck []*Call
	if now.Sub(p.movedAt) >= max(stuckAfter, stuckUsual*p.usual) {
		stuck = p.waiting
		p.waiting = nil
	}
	p.mu.Unlock()
	finishAll(stuck, Reply{Result: scatter.NoConnection, Detail: nothingComes})
}

// Details of calls that no connection takes.
const (
	noneFree     = "no free connection"
	nothingComes = "no connection gets free"
	goneUpstream = "upstream is gone"
)

func finishAll(calls []*Call, reply Reply) {
	for _, c := range calls {
		c.finish(reply)
	}
}

// refuse ends a call whose connection could not be opened, and those that wait
// behind it while no other connection is open: they would fail the same way, one
// dial after the other.
func (p *Pool) refuse(call *Call, err error) {
	p.observer.Ended(p.upstream)
	p.mu.Lock()
	var others []*Call
	if p.open == 1 {
		others = p.waiting
		p.waiting = nil
	}
	p.mu.Unlock()
	reply := Reply{Result: scatter.Unreached, Detail: dialDetail + err.Error()}
	call.finish(reply)
	finishAll(others, reply)
}

// dialDetail begins the detail of calls whose connection could not be opened.
const dialDetail = "dial: "

// expire ends idle connections that cannot be used any more.
func (p *Pool) expire(now time.Time) {
	p.mu.Lock()
	var dead []*conn
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		if c.usable(now) {
			return false
		}
		dead = append(dead, c)
		return true
	})
	p.mu.Unlock()
	endAll(dead)
}

// close ends the idle connections and lets the busy ones finish.
func (p *Pool) close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	waiting := p.waiting
	p.idle, p.waiting = nil, nil
	p.mu.Unlock()
	endAll(idle)
	finishAll(waiting, Reply{Result: scatter.Unreached, Detail: goneUpstream})
}

// abandon closes the pool of a process that is over. What is under way there may have run
// and gets no answer any more: behind a partition not even a reset would tell, and callers
// wait for it until their deadline.
func (p *Pool) abandon() {
	p.mu.Lock()
	p.abandoned = true
	sockets := slices.Collect(maps.Keys(p.sockets))
	p.mu.Unlock()
	p.close()
	for _, s := range sockets {
		// An error means that it is closed already.
		_ = s.Close()
	}
	p.startedAgain(time.Now())
}

// serves tells whether what is meant for a registration may go to this pool: its own, or
// an earlier one of the same place.
func (p *Pool) serves(u *catalog.Upstream) bool {
	return !p.upstream.StartedAfter(u) || p.upstream.Address == u.Address && p.upstream.Service == u.Service
}

// opens takes in a socket; false when the pool was abandoned meanwhile.
func (p *Pool) opens(s net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.abandoned {
		return false
	}
	p.sockets[s] = true
	return true
}

func (p *Pool) isAbandoned() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.abandoned
}

func (p *Pool) setLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = n
}

// shutAhead stands for the wait for an upstream that lets nothing in: it is
// passed over while others answer within as many of their usual times.
const shutAhead = 4.0

// ahead is how many answers must come before a further call gets a connection: 0
// when one is free or may be opened.
func (p *Pool) ahead(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.hasRoom() && (len(p.idle) > 0 || p.mayOpen(now)):
		return 0
	case p.open == 0:
		return shutAhead
	default:
		return float64(len(p.waiting)+1) / float64(max(1, p.busy()))
	}
}
