package connpool

import (
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
	"sycamorekeel.example/sycamorekeel/internal/sendlimit"
)

// maxWaiting limits the calls that wait for a connection to one upstream. A call
// behind that many others would miss its deadline.
const maxWaiting = 64

// rejectPause is how long the pool opens no connection after the upstream has
// rejected one. Without the pause every waiting call would dial: an upstream that
// still counts the connections of dead processes, as after a power failure, would
// close hundreds of connections, and each of these calls would lose a round trip. The
// open connections deliver about two answers each during the pause.
const rejectPause = 100 * time.Millisecond

// stallTimeout is how long an upstream may make no progress before the calls that wait for
// a connection to it are failed; it covers several of the usual pauses of an upstream. A
// waiting call has not been sent and so has not run: any request, also a non-idempotent
// one, may then go to another upstream. Without the limit a non-idempotent request would
// wait for a silent upstream until its deadline. The symptom is requests that end as
// timed_out with one send and no time in connect.
const stallTimeout = time.Second

// stallFactor is how many mean latencies an upstream may make no progress, if that is
// longer than stallTimeout.
const stallFactor = 4

// latencyWindow is the approximate number of responses in a pool's moving mean latency.
const latencyWindow = 8

// Pool holds the connections to one upstream process. A restarted upstream gets a new
// pool.
type Pool struct {
	upstream *catalog.Upstream
	protocol Protocol
	observer Observer
	bodies   bodyLimits

	mu sync.Mutex
	// limit is the maximum number of connections. open counts the connections that are open
	// or being dialled, openedTotal all that were started so far.
	limit int
	// window limits the connections in use at the same time, 0 for no limit.
	window      int
	open        int
	openedTotal uint64
	// idle is a stack of idle connections, waiting a queue of calls without a connection.
	idle    []*conn
	waiting []*Call
	closed  bool
	// sockets holds the open connections. abandoned is set when they are closed because
	// the upstream has restarted.
	sockets   map[net.Conn]bool
	abandoned bool
	// meanLatency is the moving mean of the response times.
	meanLatency time.Duration
	// lastProgress is when a connection last delivered a response or ended, or when a call
	// arrived while no connection was in use.
	lastProgress time.Time
	// rejectedUntil is when the next connection may be opened after one was rejected.
	rejectedUntil time.Time
	process       processCheck
	// limits limits the open sends by class. bypassed counts, for each class with a waiting
	// call, the more urgent calls that were sent before it.
	limits   sendlimit.Limiter
	bypassed map[int]int
	// wakeTimer runs until wakeAt, when the pause of a waiting call's class ends.
	wakeTimer *time.Timer
	wakeAt    time.Time
}

func newPool(u *catalog.Upstream, protocol Protocol, observer Observer, limit int) *Pool {
	return &Pool{upstream: u, protocol: protocol, observer: observer, limit: limit, sockets: map[net.Conn]bool{}, bypassed: map[int]int{}}
}

// do sends the call on an idle connection, opens a connection for it or queues it.
func (p *Pool) do(call *Call) {
	now := time.Now()
	p.mu.Lock()
	refused := Reply{}
	var dead []*conn
	if call.limited() {
		p.limits.Configure(call.SharedBy, call.MinLimit)
	}
	switch {
	case p.closed:
		refused = Reply{Result: scatter.Unreached, Detail: detailUpstreamGone}
	case p.open == 0 && !p.mayOpen(now), p.ahead(&call.Class) >= maxWaiting:
		refused = Reply{Result: scatter.NoConnection, Detail: detailNoConnection}
	default:
		if p.busy() == 0 {
			p.lastProgress = now
		}
		p.enqueue(call)
		dead = p.dispatch(now)
		if slices.Contains(p.waiting, call) {
			call.markQueued(now)
		}
	}
	p.mu.Unlock()
	endConns(dead)
	if refused.Detail != "" {
		call.finish(refused)
	}
}

// dispatch assigns waiting calls that may be sent to connections while both are available. It
// returns the unusable idle connections, which the caller must end. The caller holds mu.
func (p *Pool) dispatch(now time.Time) (dead []*conn) {
	for len(p.waiting) > 0 && p.belowWindow() {
		c, unusable := p.takeIdle(now)
		dead = append(dead, unusable...)
		if c == nil && !p.mayOpen(now) {
			return dead
		}
		call := p.nextWaiting(now)
		switch {
		case call == nil:
			if c != nil {
				p.idle = append(p.idle, c)
			}
			p.scheduleWake(now)
			return dead
		case c != nil && !call.Message.carriedBy(c.id):
			c.calls <- call
		case c != nil:
			p.avoidCarrier(now, c, call)
		default:
			p.openConn(call)
		}
	}
	return dead
}

// avoidCarrier assigns a call whose message the idle connection c has carried to another idle
// connection or a new one. If neither is possible, c is replaced by a new connection. The caller
// holds mu.
func (p *Pool) avoidCarrier(now time.Time, c *conn, call *Call) {
	for i, other := range slices.Backward(p.idle) {
		if !call.Message.carriedBy(other.id) && other.usable(now) {
			p.idle[i] = c
			other.calls <- call
			return
		}
	}
	if !p.mayOpen(now) {
		c.calls <- call
		return
	}
	p.idle = append(p.idle, c)
	p.openConn(call)
}

// belowWindow reports whether the window admits one more connection in use. The caller
// holds mu.
func (p *Pool) belowWindow() bool { return p.window == 0 || p.busy() < p.window }

// busy returns the number of connections in use. The caller holds mu.
func (p *Pool) busy() int { return p.open - len(p.idle) }

// mayOpen reports whether one more connection may be opened. The caller holds mu.
func (p *Pool) mayOpen(now time.Time) bool {
	return p.open < p.limit && !now.Before(p.rejectedUntil)
}

// openConn opens a connection for a call. The caller holds mu.
func (p *Pool) openConn(call *Call) {
	p.open++
	p.openedTotal++
	go (&conn{pool: p, calls: make(chan *Call, 1)}).run(call)
}

// connRejected records that the upstream closed a connection as soon as it was open.
func (p *Pool) connRejected(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rejectedUntil = now.Add(rejectPause)
}

// takeIdle removes and returns the most recently used idle connection that is still
// usable, nil without one, and the unusable ones that it removed. The caller holds mu.
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

// endConns makes the goroutines of idle connections close them and return.
func endConns(conns []*conn) {
	for _, c := range conns {
		close(c.calls)
	}
}

// next blocks until there is a call for the connection and returns it. It returns nil
// when the connection must close.
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
	endConns(dead)
	return <-c.calls
}

// nextWaiting removes and returns the waiting call to send next and counts it as an open send
// of its class. It drops withdrawn calls and returns nil when no call may be sent. If an
// overloaded upstream served calls strictly in the order of arrival, each call would be late
// by the time it is sent. The caller holds mu.
func (p *Pool) nextWaiting(now time.Time) *Call {
	p.waiting = slices.DeleteFunc(p.waiting, (*Call).isWithdrawn)
	i := p.pick(now)
	if i < 0 {
		return nil
	}
	call := p.waiting[i]
	p.waiting = slices.Delete(p.waiting, i, i+1)
	call.markDequeued(now)
	p.startSend(now, call)
	p.countBypass(now, call)
	return call
}

// connEnded removes a closed connection and opens one for a waiting call. If no
// connection is open and none may be opened yet, nothing would ever serve the waiting
// calls: they fail. Calls that only the pause of their class holds back are woken by its
// timer.
func (p *Pool) connEnded() {
	now := time.Now()
	p.mu.Lock()
	p.open--
	p.lastProgress = now
	var stranded []*Call
	var dead []*conn
	if !p.closed {
		dead = p.dispatch(now)
		if p.open == 0 && !p.mayOpen(now) {
			stranded = p.waiting
			p.waiting = nil
		}
	}
	p.mu.Unlock()
	endConns(dead)
	finishAll(stranded, Reply{Result: scatter.NoConnection, Detail: detailNoConnection})
}

// setWindow limits the connections in use at the same time; 0 removes the limit.
func (p *Pool) setWindow(n int) {
	now := time.Now()
	p.mu.Lock()
	p.window = n
	dead := p.dispatch(now)
	p.mu.Unlock()
	endConns(dead)
}

// observeLatency updates the mean latency with the duration of a response.
func (p *Pool) observeLatency(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.meanLatency += (took - p.meanLatency) / latencyWindow
	p.lastProgress = time.Now()
}

// failStalled fails the waiting calls if the upstream has made no progress for
// stallTimeout and for stallFactor mean latencies.
func (p *Pool) failStalled(now time.Time) {
	p.mu.Lock()
	var stalled []*Call
	if now.Sub(p.lastProgress) >= max(stallTimeout, stallFactor*p.meanLatency) {
		stalled = p.waiting
		p.waiting = nil
	}
	p.mu.Unlock()
	finishAll(stalled, Reply{Result: scatter.NoConnection, Detail: detailStalled})
}

// Details of calls that were not sent.
const (
	detailNoConnection = "no free connection"
	detailStalled      = "no connection gets free"
	detailUpstreamGone = "upstream is gone"
)

// finishAll delivers the same reply to several calls.
func finishAll(calls []*Call, reply Reply) {
	for _, c := range calls {
		c.finish(reply)
	}
}

// dialFailed fails a call whose connection could not be opened. If no other connection
// is open it also fails all waiting calls: they would fail the same way, one dial after
// the other.
func (p *Pool) dialFailed(call *Call, err error) {
	p.observer.ConnectionEnded(p.upstream)
	p.mu.Lock()
	var others []*Call
	if p.open == 1 {
		others = p.waiting
		p.waiting = nil
	}
	p.mu.Unlock()
	reply := Reply{Result: scatter.Unreached, Detail: detailDialPrefix + err.Error()}
	call.finish(reply)
	finishAll(others, reply)
}

// detailDialPrefix starts the detail of calls whose connection could not be opened.
const detailDialPrefix = "dial: "

// expire ends the idle connections that are no longer usable.
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
	endConns(dead)
}

// close ends the idle connections and fails the waiting calls; connections in use end
// after their call.
func (p *Pool) close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	waiting := p.waiting
	p.idle, p.waiting = nil, nil
	p.stopWake()
	p.mu.Unlock()
	endConns(idle)
	finishAll(waiting, Reply{Result: scatter.Unreached, Detail: detailUpstreamGone})
}

// abandon closes the pool of a process that has ended, including the connections in use.
// Calls in flight may have run and will get no response. Behind a network partition not
// even a reset arrives, and callers would wait until their deadline.
func (p *Pool) abandon() {
	p.mu.Lock()
	p.abandoned = true
	sockets := slices.Collect(maps.Keys(p.sockets))
	p.mu.Unlock()
	p.close()
	for _, s := range sockets {
		// Fails only when the socket is already closed.
		_ = s.Close()
	}
	p.reportRestart(time.Now())
}

// accepts reports whether calls to a registration may use this pool: the pool's own
// registration, or an earlier one with the same address and service.
func (p *Pool) accepts(u *catalog.Upstream) bool {
	return !p.upstream.StartedAfter(u) || p.upstream.Address == u.Address && p.upstream.Service == u.Service
}

// registerSocket adds an open socket. It returns false when the pool was abandoned during
// the dial.
func (p *Pool) registerSocket(s net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.abandoned {
		return false
	}
	p.sockets[s] = true
	return true
}

// unregisterSocket removes a socket that is about to be closed.
func (p *Pool) unregisterSocket(s net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sockets, s)
}

// connReplaced counts a connection that is opened in place of another.
func (p *Pool) connReplaced() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openedTotal++
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

// rejectedAhead is the value of answersAhead for an upstream that rejects connections: it
// is passed over while other upstreams answer within that many of their usual latencies.
const rejectedAhead = 4.0

// answersAhead returns how many answers each connection in use must deliver before one
// more call of a class gets a connection; 0 when one is idle or may be opened. Under the limit
// of its class the call waits for answers of that class.
func (p *Pool) answersAhead(now time.Time, class *Class) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	ahead := p.ahead(class)
	held := 0.0
	if class.limited() && !p.limits.MayStart(now, class.Priority) {
		limit, _ := p.limits.Limit(now, class.Priority)
		held = float64(p.waitingOf(class.Priority)+1) / limit
	}
	switch {
	case p.belowWindow() && (len(p.idle) > 0 || p.mayOpen(now)):
		return held
	case p.open == 0:
		return max(held, rejectedAhead)
	default:
		return max(held, float64(ahead+1)/float64(max(1, p.busy())))
	}
}
