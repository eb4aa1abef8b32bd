package direct

import (
	"sync"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
)

// Pools is the connections to all upstreams.
type Pools struct {
	protocol Protocol
	observer Observer

	mu    sync.Mutex
	limit func(service string) int
	pools map[string]*Pool
}

// Observer takes in what connections to upstreams cost and show.
type Observer interface {
	// Opened counts a connection.
	Opened(u *catalog.Upstream)
	// Sent counts the bytes of a call, both ways.
	Sent(u *catalog.Upstream, extra bool, bytes int)
	// Ended tells that the other end of a connection has ended it, or that none could be
	// opened: the upstream may have started again. It is told before anything further is
	// sent.
	Ended(u *catalog.Upstream)
	// HealthPath is what each new connection is to ask before its first call; empty for
	// nothing.
	HealthPath(u *catalog.Upstream) string
	// HealthAnswered takes in how a health check ended that was begun at a time.
	HealthAnswered(u *catalog.Upstream, begun time.Time, h Health, err error)
	// HealthBytes counts the bytes of a health check, both ways.
	HealthBytes(u *catalog.Upstream, bytes int)
}

// NewPools has no connection. limit is how many this VM may have to one
// upstream of a service.
func NewPools(protocol Protocol, observer Observer, limit func(service string) int) *Pools {
	return &Pools{protocol: protocol, observer: observer, limit: limit, pools: map[string]*Pool{}}
}

// Do carries a call; its Done gets the reply.
func (p *Pools) Do(call *Call) {
	u := call.Upstream
	p.mu.Lock()
	pool := p.pools[u.ID]
	var former *Pool
	if pool == nil || u.StartedAfter(pool.upstream) {
		former, pool = pool, newPool(u, p.protocol, p.observer, p.limit(u.Service))
		p.pools[u.ID] = pool
	}
	p.mu.Unlock()
	if former != nil {
		former.abandon()
	}
	if !pool.serves(u) {
		call.finish(Reply{Result: scatter.Unreached, Detail: goneUpstream})
		return
	}
	pool.do(call)
}

// Ahead is, for each upstream, how many answers must come from it before a
// further call gets a connection: 0 when one is free or may be opened.
func (p *Pools) Ahead(now time.Time, upstreams []*catalog.Upstream) []float64 {
	pools := make([]*Pool, len(upstreams))
	p.mu.Lock()
	for i, u := range upstreams {
		pools[i] = p.pools[u.ID]
	}
	p.mu.Unlock()
	out := make([]float64, len(upstreams))
	for i, pool := range pools {
		if pool != nil {
			out[i] = pool.ahead(now)
		}
	}
	return out
}

// SetWindow bounds how many requests are under way at an upstream from here; 0 is
// no bound but that of connections. It means the start that the registration shows.
func (p *Pools) SetWindow(u *catalog.Upstream, n int) {
	p.mu.Lock()
	pool := p.pools[u.ID]
	p.mu.Unlock()
	if pool != nil && !pool.upstream.StartedAfter(u) {
		pool.setWindow(n)
	}
}

// Keep closes the pools of upstreams that are gone, abandons those of upstreams that have
// started again, and brings the limits of the others up to date.
func (p *Pools) Keep(known map[string]*catalog.Upstream) {
	p.mu.Lock()
	var gone, former []*Pool
	for id, pool := range p.pools {
		u := known[id]
		switch {
		case u == nil:
			gone = append(gone, pool)
			delete(p.pools, id)
		case u.StartedAfter(pool.upstream):
			former = append(former, pool)
			delete(p.pools, id)
		default:
			pool.setLimit(p.limit(u.Service))
		}
	}
	p.mu.Unlock()
	for _, pool := range gone {
		pool.close()
		if pool.hasUndecided() && taken(known, pool.upstream.Address) {
			pool.startedAgain(time.Now())
		}
	}
	for _, pool := range former {
		pool.abandon()
	}
}

// Expire ends the idle connections that upstreams are about to close, and gives back the
// calls that wait for upstreams which have gone silent.
func (p *Pools) Expire(now time.Time) {
	for _, pool := range p.all() {
		pool.expire(now)
		pool.unstick(now)
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
