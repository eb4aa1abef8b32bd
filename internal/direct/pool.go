package direct

import (
	"slices"
	"sync"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
)

// maxWaiting bounds the calls that wait for a connection to one upstream. What
// waits behind more than that would not be in time.
const maxWaiting = 64

// Pool is the connections to one upstream.
type Pool struct {
	address  string
	protocol Protocol

	mu      sync.Mutex
	limit   int
	open    int
	opened  uint64
	idle    []*conn
	waiting []*Call
	closed  bool
}

func newPool(u *catalog.Upstream, protocol Protocol, limit int) *Pool {
	return &Pool{address: u.Address, protocol: protocol, limit: limit}
}

// do gives the call to an idle connection, opens one, or lets it wait.
func (p *Pool) do(call *Call) {
	now := time.Now()
	p.mu.Lock()
	c, dead := p.takeIdle(now)
	refused := ""
	switch {
	case p.closed:
		refused = "upstream is gone"
	case c != nil:
		c.work <- call
	case p.open < p.limit:
		p.open++
		p.opened++
		go (&conn{pool: p, work: make(chan *Call, 1)}).run(call)
	case len(p.waiting) < maxWaiting:
		p.enqueue(call)
	default:
		refused = "no free connection"
	}
	p.mu.Unlock()
	endAll(dead)
	if refused != "" {
		call.finish(Reply{Result: scatter.Unreached, Detail: refused})
	}
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
	call.queued(time.Now())
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
	p.mu.Lock()
	if p.closed || p.open > p.limit {
		p.mu.Unlock()
		return nil
	}
	if call := p.takeWaiting(); call != nil {
		p.mu.Unlock()
		return call
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
	return <-c.work
}

// takeWaiting is the first waiting call that is still wanted. The caller holds
// mu.
func (p *Pool) takeWaiting() *Call {
	for len(p.waiting) > 0 {
		call := p.waiting[0]
		p.waiting = p.waiting[1:]
		if !call.isWithdrawn() {
			call.dequeued(time.Now())
			return call
		}
	}
	return nil
}

// ended takes note that a connection is gone and opens one for a waiting call.
func (p *Pool) ended(c *conn) {
	p.mu.Lock()
	p.open--
	var call *Call
	if !p.closed && p.open < p.limit {
		call = p.takeWaiting()
	}
	if call != nil {
		p.open++
		p.opened++
	}
	p.mu.Unlock()
	if call != nil {
		go (&conn{pool: p, work: make(chan *Call, 1)}).run(call)
	}
}

// refuse ends a call whose connection could not be opened, and those that wait
// behind it while no other connection is open: they would fail the same way, one
// dial after the other.
func (p *Pool) refuse(call *Call, err error) {
	p.mu.Lock()
	var others []*Call
	if p.open == 1 {
		others = p.waiting
		p.waiting = nil
	}
	p.mu.Unlock()
	reply := Reply{Result: scatter.Unreached, Detail: dialDetail + err.Error()}
	call.finish(reply)
	for _, o := range others {
		o.finish(reply)
	}
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
	for _, call := range waiting {
		call.finish(Reply{Result: scatter.Unreached, Detail: "upstream is gone"})
	}
}

func (p *Pool) setLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = n
}

// Pools is the connections to all upstreams.
type Pools struct {
	protocol Protocol

	mu    sync.Mutex
	limit func(service string) int
	pools map[string]*Pool
}

// NewPools has no connection. limit is how many this VM may have to one
// upstream of a service.
func NewPools(protocol Protocol, limit func(service string) int) *Pools {
	return &Pools{protocol: protocol, limit: limit, pools: map[string]*Pool{}}
}

// Do carries a call; its Done gets the reply.
func (p *Pools) Do(call *Call) {
	p.mu.Lock()
	pool := p.pools[call.Upstream.ID]
	if pool == nil {
		pool = newPool(call.Upstream, p.protocol, p.limit(call.Upstream.Service))
		p.pools[call.Upstream.ID] = pool
	}
	p.mu.Unlock()
	pool.do(call)
}

// Keep closes the pools of upstreams that are gone and brings the limits of the
// others up to date.
func (p *Pools) Keep(known map[string]*catalog.Upstream) {
	p.mu.Lock()
	var gone []*Pool
	for id, pool := range p.pools {
		u := known[id]
		if u == nil {
			gone = append(gone, pool)
			delete(p.pools, id)
			continue
		}
		pool.setLimit(p.limit(u.Service))
	}
	p.mu.Unlock()
	for _, pool := range gone {
		pool.close()
	}
}

// Expire ends the idle connections that upstreams are about to close.
func (p *Pools) Expire(now time.Time) {
	for _, pool := range p.all() {
		pool.expire(now)
	}
}

// Opened is how many connections were opened so far to present upstreams.
func (p *Pools) Opened() uint64 {
	var n uint64
	for _, pool := range p.all() {
		pool.mu.Lock()
		n += pool.opened
		pool.mu.Unlock()
	}
	return n
}

// Close ends all idle connections; busy ones end with their call.
func (p *Pools) Close() {
	for _, pool := range p.all() {
		pool.close()
	}
}

func (p *Pools) all() []*Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*Pool, 0, len(p.pools))
	for _, pool := range p.pools {
		out = append(out, pool)
	}
	return out
}
