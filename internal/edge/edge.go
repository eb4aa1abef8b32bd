// Package edge serves callers' requests on one VM: it finds the route, plans the
// query, drives it over direct connections to upstreams, and gives the answer or
// a refusal that says why.
//
// Lock order: Engine.mu and warmth.mu are leaves; no I/O is done and no callback made
// while one is held.
package edge

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/congestion"
	"sycamorekeel.example/sycamorekeel/internal/direct"
	"sycamorekeel.example/sycamorekeel/internal/locality"
	"sycamorekeel.example/sycamorekeel/internal/logring"
	"sycamorekeel.example/sycamorekeel/internal/poison"
	"sycamorekeel.example/sycamorekeel/internal/quarantine"
	"sycamorekeel.example/sycamorekeel/internal/replica"
	"sycamorekeel.example/sycamorekeel/internal/retrybudget"
	"sycamorekeel.example/sycamorekeel/internal/routing"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
	"sycamorekeel.example/sycamorekeel/internal/warmup"
)

const (
	// answerMargin is taken off the objective, which callers count from before
	// their connection is open: two round trips to a caller at 3 ms one way, and
	// the wait for a turn of the processor.
	answerMargin = 20 * time.Millisecond
	// giveUpMargin is taken off the caller's deadline, so that the final answer
	// still reaches it: the way to a caller in another region.
	giveUpMargin = 15 * time.Millisecond
	// noDeadline bounds requests whose caller sets no deadline and whose route
	// has no timeout.
	noDeadline = 30 * time.Second
	// goneEvery is how often a long request looks whether its caller is still
	// there. Upstreams should stop within half a second of its leaving.
	goneEvery = 200 * time.Millisecond
	// capUnknown is the connections to an upstream that publishes no bound.
	capUnknown = 32
	// startHold is how old a process may be to let requests wait for its first
	// configuration: it has one 0.05 to 0.3 s after its start, unless the store and
	// all peers are away. Callers try twice, and after the loss of all processes the
	// first try was spent on VMs that were down.
	startHold = 400 * time.Millisecond
	// shareRise is how many times its part of the bounds a VM must be given for the part
	// to be a new one: the number of VMs that callers are sent to changes by one now and
	// then, which is no reason to begin with empty budgets.
	shareRise = 1.25
	// usualShare is the part of the objective taken for the usual answer time of
	// a kind of which no answer has been seen.
	usualShare = 0.25
)

// Options is what an engine needs.
type Options struct {
	Logs     logring.Loggers
	Metrics  *Metrics
	Protocol direct.Protocol
	Place    locality.Place
	// Traffic counts the bytes exchanged with upstreams.
	Traffic *traffic.Meter
	// Budget bounds extra sends over all VMs.
	Budget retrybudget.Limit
	// MaxRequests bounds the requests in flight on this VM.
	MaxRequests int
	// Random spreads choices.
	Random *rand.Rand
	// ViewAge is the time since the store last confirmed the view in force.
	ViewAge func() time.Duration
}

// Engine serves requests. It is safe for concurrent use.
type Engine struct {
	opts  Options
	now   func() time.Time
	pools *direct.Pools
	// do makes a call to an upstream, check finds out whether one has ended.
	do    func(*direct.Call)
	check func(*catalog.Upstream, func(ended bool))
	// poison keeps requests that crash upstreams from them.
	poison   *poison.Guard
	view     atomic.Pointer[catalog.View]
	shares   atomic.Pointer[Shares]
	inFlight atomic.Int64
	// lag is how late this process is woken, in nanoseconds.
	lag     atomic.Int64
	started time.Time
	warmth  warmth
	// known is closed once there is a configuration.
	known     chan struct{}
	knownOnce sync.Once

	mu       sync.Mutex
	replicas *replica.Table
	budgets  map[string]*retrybudget.Budget
	// shareSince is since when this VM has had about its present part of the bounds.
	shareSince time.Time
	// scatters limits the queries under way, by the first of their shards.
	scatters map[string]*congestion.Limiter
	// draws shares out the requests of a route by its weights.
	draws map[string]*routing.Draws
	sends uint64
}

// New is an engine that knows no configuration yet.
func New(now time.Time, opts Options) *Engine {
	e := &Engine{
		opts:       opts,
		now:        time.Now,
		started:    now,
		shareSince: now,
		known:      make(chan struct{}),
		replicas:   replica.New(opts.Place, opts.Random),
		budgets:    map[string]*retrybudget.Budget{},
		scatters:   map[string]*congestion.Limiter{},
		draws:      map[string]*routing.Draws{},
	}
	e.warmth.table = warmup.New()
	e.shares.Store(&Shares{VMs: 1, Carriers: 1, Carrying: true})
	e.pools = direct.NewPools(opts.Protocol, upstreamObserver{opts.Traffic, opts.Place, e}, e.connectionLimit)
	e.do = e.pools.Do
	e.check = e.pools.Check
	e.poison = poison.New(opts.Logs, opts.Metrics.poison)
	return e
}

// SetView puts a view in force for the requests that come after it.
func (e *Engine) SetView(now time.Time, v *catalog.View) {
	e.warmth.keep(now, v)
	e.view.Store(v)
	if v.Table != nil {
		e.knownOnce.Do(func() { close(e.known) })
	}
	e.mu.Lock()
	e.replicas.Keep(now, v.Upstreams)
	e.forget(now, v.Config)
	e.mu.Unlock()
	e.pools.Keep(v.Upstreams)
}

// forget drops what is kept of routes and services that the configuration no
// longer names: with each change it names some others, and a process would grow
// by them for as long as it runs. The caller holds mu.
func (e *Engine) forget(now time.Time, c *routing.Config) {
	if c == nil {
		return
	}
	routes, services := map[string]bool{}, map[string]bool{}
	for i := range c.Routes {
		routes[c.Routes[i].Name] = true
	}
	for _, s := range c.Services {
		services[s.Name] = true
	}
	e.replicas.KeepKinds(routes)
	for name := range e.draws {
		if !routes[name] {
			delete(e.draws, name)
		}
	}
	for name := range e.budgets {
		// One that is not full is kept: a service that is named again would else have
		// at once what has just been spent.
		if !services[name] && e.budgets[name].Full(now) {
			delete(e.budgets, name)
		}
	}
	for name := range e.scatters {
		if !services[name] {
			delete(e.scatters, name)
		}
	}
}

// Poison is what keeps requests that crash upstreams from them.
func (e *Engine) Poison() *poison.Guard { return e.poison }

// View is the view in force, nil before the first.
func (e *Engine) View() *catalog.View { return e.view.Load() }

// SetShares tells what part of the fleet's bounds is this VM's.
func (e *Engine) SetShares(now time.Time, s Shares) {
	old := e.shares.Swap(&s)
	if *old == s {
		return
	}
	e.setBudgetShares(now, old.of(1), s.of(1))
	if v := e.view.Load(); v != nil {
		e.pools.Keep(v.Upstreams)
	}
}

// setBudgetShares brings the budgets to a new part of the allowance.
func (e *Engine) setBudgetShares(now time.Time, old, share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, b := range e.budgets {
		b.SetShare(now, share)
	}
	if share > shareRise*old {
		e.shareSince = now
	}
}

// SetBudget changes the bound on extra sends.
func (e *Engine) SetBudget(limit retrybudget.Limit) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.opts.Budget = limit
	for _, b := range e.budgets {
		b.SetLimit(limit)
	}
}

// Tick drops what is no longer used; it is to be called about once a second.
func (e *Engine) Tick(now time.Time) {
	e.pools.Expire(now)
	e.mu.Lock()
	turns := e.replicas.StateChanges(now)
	e.mu.Unlock()
	for _, t := range turns {
		e.logStateChange(t)
	}
}

// InFlight is the requests under way.
func (e *Engine) InFlight() int64 { return e.inFlight.Load() }

// Opened is how many connections were opened to the present upstreams.
func (e *Engine) Opened() uint64 { return e.pools.Opened() }

// Close ends the idle connections to upstreams.
func (e *Engine) Close() { e.pools.Close() }

// connectionLimit is this VM's share of the connections that one upstream of a
// service takes.
func (e *Engine) connectionLimit(service string) int {
	most := capUnknown
	if v := e.view.Load(); v != nil && v.Table != nil {
		if s, ok := v.Table.Service(service); ok && s.MaxConnections > 0 {
			most = s.MaxConnections
		}
	}
	return max(1, int(e.shares.Load().of(float64(most))))
}

// Serve carries one request to its end.
func (e *Engine) Serve(r *Request) Answer {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	a := e.serve(r)
	e.end(r, &a)
	return a
}

// Refuse ends a request that could not be read, or that breaks the interface's
// rules, so that it has its line and its counter as every other.
func (e *Engine) Refuse(r *Request, reason Reason) Answer {
	a := refuse(reason, 0)
	e.end(r, &a)
	return a
}

// end counts a request that has its answer, and logs it.
func (e *Engine) end(r *Request, a *Answer) {
	a.Took = e.now().Sub(r.Received)
	a.Stages.finish(a.Took)
	e.opts.Metrics.ended(a)
	e.logEnd(r, a)
}

func (e *Engine) serve(r *Request) Answer {
	if e.inFlight.Load() > int64(e.opts.MaxRequests) {
		return refuse(Overloaded, overloadRetry)
	}
	v := e.awaitView()
	if v == nil {
		return refuse(Unready, unreadyRetry)
	}
	r.Route = v.Table.Lookup(r.Host, r.Path)
	if r.Route == nil {
		return refuse(NoRoute, 0)
	}
	if e.tooSlow(r.Route) {
		return refuse(Overloaded, overloadRetry)
	}
	switch a := e.admit(r); {
	case a.Standing == quarantine.Blocked:
		return refuse(Poison, a.Until.Sub(e.now()))
	case a.Held:
		return refuse(Held, heldRetry)
	case a.Waited && r.gone():
		return Answer{Reason: Gone}
	default:
		r.trial = a.Standing == quarantine.Suspect
	}
	if !r.Route.FanOut() {
		return e.run(v, r)
	}
	l := e.startScatter(v, r.Route)
	if l == nil {
		return refuse(Congested, e.congestedRetry(v, r.Route))
	}
	a := e.run(v, r)
	e.endScatter(l, r, &a)
	return a
}

// awaitView is the view in force. A process that has just started waits for its
// first one; nil when there is none.
func (e *Engine) awaitView() *catalog.View {
	if v := e.view.Load(); v != nil && v.Table != nil {
		return v
	}
	left := startHold - e.now().Sub(e.started)
	if left <= 0 {
		return nil
	}
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case <-e.known:
		return e.view.Load()
	case <-t.C:
		return nil
	}
}

// plan works out the parts and times of a request. The services are fixed here,
// once: a configuration that comes meanwhile does not mix into the request.
func (e *Engine) plan(r *Request) scatter.Plan {
	route := r.Route
	p := scatter.Plan{
		Services:   route.Shards,
		Idempotent: route.Idempotent,
		Attempts:   max(1, route.Attempts),
		MinParts:   1,
		AnswerBy:   answerBy(r),
		GiveUp:     r.Received.Add(r.wait()),
		Trial:      r.trial,
	}
	if !route.FanOut() {
		p.Services = []string{route.Pick(e.draw(route.Name))}
		return p
	}
	p.MinParts = minParts(route)
	return p
}

// answerBy is when an answer must leave to meet the objective.
func answerBy(r *Request) time.Time {
	aim := objective(r.Route)
	return r.Received.Add(max(aim-answerMargin, aim/2))
}

// objective is the time that a route's answers aim at. A route whose timeout is
// shorter than its objective aims at that; one with neither has its callers wait
// for everything.
func objective(route *routing.Route) time.Duration {
	aim := noDeadline
	if route.Objective > 0 {
		aim = route.Objective
	}
	if route.Timeout > 0 {
		aim = min(aim, route.Timeout)
	}
	return aim
}

// minParts is the least number of shards that makes an answer.
func minParts(route *routing.Route) int {
	const rounding = 1e-9
	n := int(math.Ceil(route.MinCoverage*float64(len(route.Shards)) - rounding))
	return min(max(1, n), len(route.Shards))
}

// draw is the next number by which a request of a route is given to a part of its split.
func (e *Engine) draw(route string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.draws[route]
	if d == nil {
		d = routing.NewDraws(e.opts.Random.Float64())
		e.draws[route] = d
	}
	return d.Next()
}

// random is a number from 0 to 1.
func (e *Engine) random() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.opts.Random.Float64()
}

// usual is the answer time assumed of a route of which no answer has been seen.
func usual(route *routing.Route) time.Duration {
	return time.Duration(usualShare * float64(objective(route)))
}

// budget is a service's budget. The caller holds mu.
func (e *Engine) budget(service string) *retrybudget.Budget {
	b := e.budgets[service]
	if b == nil {
		b = retrybudget.New(e.opts.Budget, e.shares.Load().of(1), e.shareSince)
		e.budgets[service] = b
	}
	return b
}
