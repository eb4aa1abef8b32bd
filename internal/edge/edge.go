// Package edge serves callers' requests on one VM. It looks up the route, plans the query,
// sends its parts over direct connections to upstreams, and returns either the answer or a
// refusal with its reason.
//
// Lock order: Engine.mu and warmupTracker.mu are leaf locks. No I/O and no callback runs
// while one of them is held.
package edge

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/bodylimit"
	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/congestion"
	"sycamorekeel.example/sycamorekeel/internal/connpool"
	"sycamorekeel.example/sycamorekeel/internal/locality"
	"sycamorekeel.example/sycamorekeel/internal/logring"
	"sycamorekeel.example/sycamorekeel/internal/poison"
	"sycamorekeel.example/sycamorekeel/internal/quarantine"
	"sycamorekeel.example/sycamorekeel/internal/replica"
	"sycamorekeel.example/sycamorekeel/internal/retrybudget"
	"sycamorekeel.example/sycamorekeel/internal/routing"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
	"sycamorekeel.example/sycamorekeel/internal/sendlimit"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
	"sycamorekeel.example/sycamorekeel/internal/warmup"
)

const (
	// objectiveMargin is subtracted from the objective, because callers start the clock
	// before their connection is open. It covers two round trips to a caller at 3 ms one way
	// and the wait for the processor.
	objectiveMargin = 20 * time.Millisecond
	// deadlineMargin is subtracted from the caller's deadline, so that the final answer
	// still reaches a caller in another region in time.
	deadlineMargin = 15 * time.Millisecond
	// defaultTimeout applies when the caller sets no deadline and the route has no timeout.
	defaultTimeout = 30 * time.Second
	// callerCheckInterval is how often a long request checks that its caller is still
	// connected. Upstreams should stop within half a second after the caller leaves.
	callerCheckInterval = 200 * time.Millisecond
	// defaultConnectionLimit is the connection limit of an upstream that publishes none.
	defaultConnectionLimit = 32
	// startupConfigWait is how long after the process start requests wait for the first
	// configuration. It arrives 0.05 to 0.3 s after the start, unless the store and all
	// peers are unreachable. Callers try twice, and after the loss of all processes the
	// first try was spent on VMs that were down.
	startupConfigWait = 400 * time.Millisecond
	// maxBody limits one response of an upstream in bytes, bodyShare the part of BodyMemory that it
	// may take.
	maxBody   = 16 << 20
	bodyShare = 25. / 26
	// shareResetFactor is the factor by which this VM's share must grow for budgets created
	// later to start empty at that time. The number of VMs that callers are directed to
	// changes by one now and then, which is no reason to empty budgets.
	shareResetFactor = 1.25
	// defaultLatencyShare is the fraction of the objective that is used as the answer time
	// of a route before its first answer.
	defaultLatencyShare = 0.25
)

// Options configures an Engine.
type Options struct {
	Logs     logring.Loggers
	Metrics  *Metrics
	Protocol connpool.Protocol
	Place    locality.Place
	// Traffic counts the bytes exchanged with upstreams.
	Traffic *traffic.Meter
	// Budget limits retries and hedges over all VMs.
	Budget retrybudget.Limit
	// MaxRequests limits the requests in flight on this VM.
	MaxRequests int
	// BodyMemory limits the bytes of upstreams' response bodies that this VM holds; 0 for the
	// default of connpool.
	BodyMemory int
	// Random seeds routing splits and randomises the choice of upstreams.
	Random *rand.Rand
	// ViewAge returns the time since the store last confirmed the current view.
	ViewAge func() time.Duration
}

// Engine serves requests. It is safe for concurrent use.
type Engine struct {
	opts  Options
	now   func() time.Time
	pools *connpool.Pools
	// startCall starts a call to an upstream. checkEnded reports whether the process of an
	// upstream has ended.
	startCall  func(*connpool.Call)
	checkEnded func(*catalog.Upstream, func(ended bool))
	// after returns a channel that receives after a duration.
	after func(time.Duration) <-chan time.Time
	// poison withholds requests that crash upstreams.
	poison *poison.Guard
	view   atomic.Pointer[catalog.View]
	shares atomic.Pointer[Shares]
	// urgencies caches the urgency of routes by service.
	urgencies atomic.Pointer[urgencies]
	inFlight  atomic.Int64
	// schedulingDelay is how late the operating system wakes this process, in nanoseconds.
	schedulingDelay atomic.Int64
	started         time.Time
	warmups         warmupTracker
	stop            shutdown
	// configured is closed when the first configuration arrives.
	configured     chan struct{}
	configuredOnce sync.Once

	mu       sync.Mutex
	replicas *replica.Table
	budgets  map[string]*retrybudget.Budget
	// shareSince is when this VM's share of the fleet limits last grew by shareResetFactor.
	shareSince time.Time
	// limiters limits the queries in flight, keyed by the first shard of their route.
	limiters map[string]*congestion.Group
	// waiting holds the queries that wait for a place under a limit.
	waiting map[*congestion.Query]*place
	// unloaded holds the answer times of queries without a queue at the upstream.
	unloaded *sendlimit.Unloaded
	// draws splits the requests of each route by the weights of its targets.
	draws map[string]*routing.Sequence
	sends uint64
}

// New returns an engine without a configuration.
func New(now time.Time, opts Options) *Engine {
	e := &Engine{
		opts:       opts,
		now:        time.Now,
		after:      time.After,
		started:    now,
		shareSince: now,
		configured: make(chan struct{}),
		stop:       shutdown{begun: make(chan struct{})},
		replicas:   replica.New(opts.Place, opts.Random),
		budgets:    map[string]*retrybudget.Budget{},
		limiters:   map[string]*congestion.Group{},
		waiting:    map[*congestion.Query]*place{},
		unloaded:   sendlimit.NewUnloaded(),
		draws:      map[string]*routing.Sequence{},
	}
	e.warmups.table = warmup.New()
	e.shares.Store(&Shares{VMs: 1, IngressVMs: 1, Ingress: true})
	e.pools = connpool.NewPools(opts.Protocol, upstreamObserver{opts.Traffic, opts.Place, e}, e.connectionLimit)
	if opts.BodyMemory > 0 {
		memory := bodylimit.NewMemory(opts.BodyMemory, opts.Metrics.bodiesAborted.Inc)
		e.pools.LimitBodies(memory, min(maxBody, int(bodyShare*float64(opts.BodyMemory))))
	}
	e.startCall = e.pools.Do
	e.checkEnded = e.pools.CheckProcess
	e.poison = poison.New(opts.Logs, opts.Metrics.poison)
	return e
}

// SetView applies a view to all later requests.
func (e *Engine) SetView(now time.Time, v *catalog.View) {
	e.warmups.update(now, v)
	e.view.Store(v)
	if v.Table != nil {
		e.configuredOnce.Do(func() { close(e.configured) })
	}
	e.mu.Lock()
	e.replicas.SetUpstreams(now, v.Upstreams)
	e.pruneRemoved(now, v.Config)
	e.mu.Unlock()
	e.pools.SetUpstreams(v.Upstreams)
}

// pruneRemoved drops the state of routes and services that the configuration no longer
// names. Otherwise memory would grow with each change of the configuration for as long as
// the process runs. The caller holds mu.
func (e *Engine) pruneRemoved(now time.Time, c *routing.Config) {
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
	e.replicas.RetainKinds(routes)
	e.unloaded.Retain(routes)
	for name := range e.draws {
		if !routes[name] {
			delete(e.draws, name)
		}
	}
	for name := range e.budgets {
		// Keep budgets that are not full: a service that is added again would otherwise
		// regain at once what it has just spent.
		if !services[name] && e.budgets[name].Full(now) {
			delete(e.budgets, name)
		}
	}
	for name, g := range e.limiters {
		if !services[name] {
			delete(e.limiters, name)
			continue
		}
		g.RetainRoutes(routes)
	}
}

// PoisonGuard returns the guard that withholds requests that crash upstreams.
func (e *Engine) PoisonGuard() *poison.Guard { return e.poison }

// View returns the current view, nil before the first.
func (e *Engine) View() *catalog.View { return e.view.Load() }

// SetShares sets this VM's share of the fleet limits.
func (e *Engine) SetShares(now time.Time, s Shares) {
	old := e.shares.Swap(&s)
	if *old == s {
		return
	}
	e.setBudgetShares(now, old.portion(1), s.portion(1))
	if v := e.view.Load(); v != nil {
		e.pools.SetUpstreams(v.Upstreams)
	}
}

// setBudgetShares applies a new share of the allowance to all budgets.
func (e *Engine) setBudgetShares(now time.Time, old, share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, b := range e.budgets {
		b.SetShare(now, share)
	}
	if share > shareResetFactor*old {
		e.shareSince = now
	}
}

// SetBudget changes the limit on retries and hedges.
func (e *Engine) SetBudget(limit retrybudget.Limit) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.opts.Budget = limit
	for _, b := range e.budgets {
		b.SetLimit(limit)
	}
}

// Tick expires idle connections and stalled calls, and logs state changes of upstreams. It
// must be called about once a second.
func (e *Engine) Tick(now time.Time) {
	e.pools.Sweep(now)
	e.mu.Lock()
	changes := e.replicas.ReclassifyAll(now)
	e.mu.Unlock()
	for _, c := range changes {
		e.logStateChange(c)
	}
}

// InFlight returns the number of requests in flight.
func (e *Engine) InFlight() int64 { return e.inFlight.Load() }

// ConnectionsOpened returns how many connections were opened to the current upstreams.
func (e *Engine) ConnectionsOpened() uint64 { return e.pools.Opened() }

// Close closes the idle connections to upstreams.
func (e *Engine) Close() { e.pools.Close() }

// connectionLimit returns this VM's share of the connections that one upstream of a service
// accepts.
func (e *Engine) connectionLimit(service string) int {
	limit := defaultConnectionLimit
	if v := e.view.Load(); v != nil && v.Table != nil {
		if s, ok := v.Table.Service(service); ok && s.MaxConnections > 0 {
			limit = s.MaxConnections
		}
	}
	return max(1, int(e.shares.Load().portion(float64(limit))))
}

// Serve runs a request and returns its answer.
func (e *Engine) Serve(r *Request) Answer {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	r.progress.enter(StageReceived)
	a := e.serve(r)
	r.progress.enter(StageAnswer)
	e.recordEnd(r, &a)
	return a
}

// Refuse ends a request that could not be read or that violates the protocol, so that it is
// logged and counted like any other.
func (e *Engine) Refuse(r *Request, reason Reason) Answer {
	a := refuse(reason, 0)
	if reason == NoBodyMemory || reason == Displaced {
		a.RetryAfter = overloadRetry
	}
	e.recordEnd(r, &a)
	return a
}

// recordEnd counts and logs a finished request.
func (e *Engine) recordEnd(r *Request, a *Answer) {
	a.Elapsed = e.now().Sub(r.Received)
	a.Stages.finish(a.Elapsed)
	e.opts.Metrics.requestEnded(a)
	e.logRequestEnd(r, a)
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
	r.progress.setRoute(r.Route.Name)
	if e.stopsTooSoon(r.Route) {
		return refuse(Stopping, stoppingRetry)
	}
	if e.cannotMeetObjective(r.Route) {
		return refuse(Overloaded, overloadRetry)
	}
	r.progress.enter(StageSuspect)
	switch a := e.admit(r); {
	case a.Standing == quarantine.Blocked:
		return refuse(PoisonRequest, a.Until.Sub(e.now()))
	case a.Held:
		return refuse(SuspectHeld, suspectHeldRetry)
	case a.Waited && r.callerGone():
		return Answer{Reason: CallerGone}
	case a.Waited && e.stopsTooSoon(r.Route):
		return refuse(Stopping, stoppingRetry)
	default:
		r.trial = a.Standing == quarantine.Suspect
	}
	if !r.Route.FanOut() {
		return e.run(v, r)
	}
	r.progress.enter(StageQueue)
	p, refusal := e.admitQuery(v, r)
	if p == nil {
		return refusal
	}
	a := e.run(v, r)
	e.endQuery(p, r, &a)
	return a
}

// awaitView returns the current view. A process that has just started waits up to
// startupConfigWait for its first view; awaitView returns nil if none arrives.
func (e *Engine) awaitView() *catalog.View {
	if v := e.view.Load(); v != nil && v.Table != nil {
		return v
	}
	remaining := startupConfigWait - e.now().Sub(e.started)
	if remaining <= 0 {
		return nil
	}
	t := time.NewTimer(remaining)
	defer t.Stop()
	select {
	case <-e.configured:
		return e.view.Load()
	case <-t.C:
		return nil
	}
}

// plan returns the parts and times of a request. It fixes the services once, so that a
// configuration change during the request does not affect it.
func (e *Engine) plan(r *Request) scatter.Plan {
	route := r.Route
	p := scatter.Plan{
		Services:   route.Shards,
		Idempotent: route.Idempotent,
		Attempts:   max(1, route.Attempts),
		MinParts:   1,
		AnswerBy:   answerBy(r),
		Deadline:   r.Received.Add(r.timeout()),
		Trial:      r.trial,
	}
	if !route.FanOut() {
		p.Services = []string{route.Pick(e.nextDraw(route.Name))}
		return p
	}
	p.MinParts = minParts(route)
	return p
}

// answerBy returns when an answer must leave to meet the objective.
func answerBy(r *Request) time.Time {
	target := objective(r.Route)
	return r.Received.Add(max(target-objectiveMargin, target/2))
}

// objective returns the target answer time of a route: its objective or its timeout,
// whichever is shorter. A route with neither waits for all parts.
func objective(route *routing.Route) time.Duration {
	target := defaultTimeout
	if route.Objective > 0 {
		target = route.Objective
	}
	if route.Timeout > 0 {
		target = min(target, route.Timeout)
	}
	return target
}

// minParts returns the least number of shards that an answer may contain.
func minParts(route *routing.Route) int {
	const rounding = 1e-9
	n := int(math.Ceil(route.MinCoverage*float64(len(route.Shards)) - rounding))
	return min(max(1, n), len(route.Shards))
}

// nextDraw returns the number that assigns the next request of a route to a target of its
// split.
func (e *Engine) nextDraw(route string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.draws[route]
	if d == nil {
		d = routing.NewSequence(e.opts.Random.Float64())
		e.draws[route] = d
	}
	return d.Next()
}

// randomFloat returns a random number in [0, 1).
func (e *Engine) randomFloat() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.opts.Random.Float64()
}

// defaultLatency returns the answer time assumed for a route before its first answer.
func defaultLatency(route *routing.Route) time.Duration {
	return time.Duration(defaultLatencyShare * float64(objective(route)))
}

// budget returns the retry budget of a service. The caller holds mu.
func (e *Engine) budget(service string) *retrybudget.Budget {
	b := e.budgets[service]
	if b == nil {
		b = retrybudget.New(e.opts.Budget, e.shares.Load().portion(1), e.shareSince)
		e.budgets[service] = b
	}
	return b
}
