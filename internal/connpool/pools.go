package connpool

import (
	"sync"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/bodylimit"
	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/responsecheck"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
)

// Pools holds a connection pool for each upstream.
type Pools struct {
	protocol Protocol
	observer Observer
	bodies   bodyLimits

	mu    sync.Mutex
	limit func(service string) int
	pools map[string]*Pool
	// known holds the current registrations by id, nil before the first.
	known map[string]*catalog.Upstream
}

// Observer receives the connection events, traffic and health checks of upstreams.
type Observer interface {
	// ConnectionOpened counts an opened connection.
	ConnectionOpened(u *catalog.Upstream)
	// Sent counts the bytes of a call in both directions.
	Sent(u *catalog.Upstream, extra bool, bytes int)
	// ConnectionEnded reports that the remote end closed a connection, or that a connection could not
	// be opened: the upstream may have restarted. It is called before the next call is sent.
	ConnectionEnded(u *catalog.Upstream)
	// ResponseMalformed counts a response that breaks a rule, so that its connection ends. The upstream
	// may have run the request.
	ResponseMalformed(broken responsecheck.Rule)
	// HealthPath returns the path that each new connection requests before its first call;
	// "" skips the health check.
	HealthPath(u *catalog.Upstream) string
	// HealthChecked receives the result of a health check that started at begun.
	HealthChecked(u *catalog.Upstream, begun time.Time, h Health, err error)
	// HealthBytes counts the bytes of a health check in both directions.
	HealthBytes(u *catalog.Upstream, bytes int)
}

// NewPools returns pools without connections. limit returns the maximum number of
// connections from this VM to one upstream of a service.
func NewPools(protocol Protocol, observer Observer, limit func(service string) int) *Pools {
	return &Pools{
		protocol: protocol, observer: observer, limit: limit, pools: map[string]*Pool{},
		bodies: bodyLimits{bodylimit.NewMemory(defaultBodyMemory, func() {}), defaultMaxBody},
	}
}

const (
	// defaultMaxBody and defaultBodyMemory apply unless LimitBodies is called, in bytes.
	defaultMaxBody    = 16 << 20
	defaultBodyMemory = 4 * defaultMaxBody
)

// bodyLimits bounds the bodies of responses.
type bodyLimits struct {
	memory *bodylimit.Memory
	// limit is the size of one body in bytes.
	limit int
}

// LimitBodies bounds the bodies of all responses together, and each of them to a number of bytes.
// It must be called before the first call.
func (p *Pools) LimitBodies(memory *bodylimit.Memory, each int) { p.bodies = bodyLimits{memory, each} }

// Do sends a call without blocking; the reply goes to its Done function.
func (p *Pools) Do(call *Call) {
	u := call.Upstream
	p.mu.Lock()
	pool := p.pools[u.ID]
	var former *Pool
	if latest := p.latest(u); pool == nil || latest.StartedAfter(pool.upstream) {
		former, pool = pool, newPool(latest, p.protocol, p.observer, p.limit(latest.Service))
		pool.bodies = p.bodies
		p.pools[u.ID] = pool
	}
	p.mu.Unlock()
	if former != nil {
		former.abandon()
	}
	if !pool.accepts(u) {
		call.finish(Reply{Result: scatter.Unreached, Detail: detailUpstreamGone})
		return
	}
	pool.do(call)
}

// latest returns the current registration of an upstream if it is of a later start than u, which
// a query may have held for a while, and u otherwise. The caller holds mu.
func (p *Pools) latest(u *catalog.Upstream) *catalog.Upstream {
	if current := p.known[u.ID]; current != nil && current.StartedAfter(u) {
		return current
	}
	return u
}

// AnswersAhead returns, for each upstream, how many answers each of its connections in use must
// deliver before one more call gets a connection; 0 when one is idle or may be opened. The
// limit of the call's class counts too; MinLimit of class is not used.
func (p *Pools) AnswersAhead(now time.Time, upstreams []*catalog.Upstream, class Class) []float64 {
	pools := make([]*Pool, len(upstreams))
	p.mu.Lock()
	for i, u := range upstreams {
		pools[i] = p.pools[u.ID]
	}
	p.mu.Unlock()
	out := make([]float64, len(upstreams))
	for i, pool := range pools {
		if pool != nil {
			out[i] = pool.answersAhead(now, &class)
		}
	}
	return out
}

// SetWindow limits the requests in flight from this VM to an upstream; 0 leaves only the
// connection limit. It has no effect if the upstream has restarted after registration u.
func (p *Pools) SetWindow(u *catalog.Upstream, n int) {
	if pool := p.current(u); pool != nil {
		pool.setWindow(n)
	}
}

// SetUpstreams replaces the set of known upstreams, by id. It closes the pools of removed
// upstreams, abandons the pools of restarted ones and updates the connection limits of
// the others.
func (p *Pools) SetUpstreams(known map[string]*catalog.Upstream) {
	p.mu.Lock()
	p.known = known
	var removed, restarted []*Pool
	for id, pool := range p.pools {
		u := known[id]
		switch {
		case u == nil:
			removed = append(removed, pool)
			delete(p.pools, id)
		case u.StartedAfter(pool.upstream):
			restarted = append(restarted, pool)
			delete(p.pools, id)
		default:
			pool.setLimit(p.limit(u.Service))
		}
	}
	p.mu.Unlock()
	for _, pool := range removed {
		pool.close()
		if pool.awaitsRestart() && addressInUse(known, pool.upstream.Address) {
			pool.reportRestart(time.Now())
		}
	}
	for _, pool := range restarted {
		pool.abandon()
	}
}

// Sweep ends the idle connections that upstreams are about to close, and fails the calls
// that wait for a connection to a stalled upstream. Call it periodically.
func (p *Pools) Sweep(now time.Time) {
	for _, pool := range p.all() {
		pool.expire(now)
		pool.failStalled(now)
	}
}

// Opened returns how many connections the current pools, those of the current processes of
// known upstreams, have opened so far. Failed dials count.
func (p *Pools) Opened() uint64 {
	var n uint64
	for _, pool := range p.all() {
		pool.mu.Lock()
		n += pool.openedTotal
		pool.mu.Unlock()
	}
	return n
}

// Close ends all idle connections and fails waiting calls; connections in use end after
// their call.
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
