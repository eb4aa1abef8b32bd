package edge

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/congestion"
	"sycamorekeel.example/sycamorekeel/internal/logring"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/retrybudget"
	"sycamorekeel.example/sycamorekeel/internal/routing"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
)

func TestMinParts(t *testing.T) {
	for _, c := range []struct {
		shards   int
		coverage float64
		want     int
	}{{10, 0.89, 9}, {10, 0.9, 9}, {10, 0.75, 8}, {36, 0.95, 35}, {3, 0, 1}, {3, 1, 3}} {
		r := &routing.Route{Shards: make([]string, c.shards), MinCoverage: c.coverage}
		if got := minParts(r); got != c.want {
			t.Errorf("%d shards at coverage %v: at least %d parts, want %d", c.shards, c.coverage, got, c.want)
		}
	}
}

func TestRequestTimes(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name                         string
		objective, timeout, deadline time.Duration
		answer, wait                 time.Duration
	}{
		{"the objective", 250 * time.Millisecond, 4 * time.Second, 3 * time.Second, 230 * time.Millisecond, 3*time.Second - deadlineMargin},
		{"a timeout below it", time.Second, 400 * time.Millisecond, 15 * time.Second, 380 * time.Millisecond, 400 * time.Millisecond},
		{"a tiny objective", 10 * time.Millisecond, 0, 0, 5 * time.Millisecond, defaultTimeout},
		{"none of them", 0, 0, 0, defaultTimeout - objectiveMargin, defaultTimeout},
	} {
		r := &Request{Received: start, Deadline: c.deadline, Route: &routing.Route{Objective: c.objective, Timeout: c.timeout}}
		if got := answerBy(r).Sub(start); got != c.answer {
			t.Errorf("%s: answer by %v, want %v", c.name, got, c.answer)
		}
		if got := r.timeout(); got != c.wait {
			t.Errorf("%s: timeout %v, want %v", c.name, got, c.wait)
		}
	}
}

// A VM with a high scheduling delay must refuse requests that it cannot serve in time, those
// with the tightest objectives first.
func TestHighSchedulingDelayRefusesTightObjectives(t *testing.T) {
	var e Engine
	for _, c := range []struct {
		delay, objective time.Duration
		refused          bool
	}{
		{10 * time.Millisecond, 30 * time.Millisecond, false},
		{25 * time.Millisecond, 120 * time.Millisecond, false},
		{35 * time.Millisecond, 120 * time.Millisecond, true},
		{35 * time.Millisecond, 250 * time.Millisecond, false},
		{80 * time.Millisecond, 250 * time.Millisecond, true},
		{80 * time.Millisecond, time.Second, false},
	} {
		e.SetSchedulingDelay(c.delay)
		if got := e.cannotMeetObjective(&routing.Route{Objective: c.objective}); got != c.refused {
			t.Errorf("scheduling delay %v, objective %v: refused %v", c.delay, c.objective, got)
		}
	}
}

// The shares of VMs that agree on which of them take callers must never add up to more than
// the limit.
func TestSharesSumToAtMostTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 600).Draw(t, "vms")
		carriers := rapid.IntRange(0, vms).Draw(t, "carriers")
		total := 0.0
		for i := range vms {
			s := Shares{VMs: vms, IngressVMs: carriers, Ingress: i < carriers}
			total += s.portion(100)
		}
		if total > 100.0001 {
			t.Fatalf("shares of a limit of 100 add up to %v", total)
		}
	})
}

// Guards against a retry time that sends callers back while upstreams still register: after
// an outage of the store their entries return within two seconds, and callers try only
// twice.
func TestNoUpstreamRetryOutlastsReregistration(t *testing.T) {
	const reregistration = 2 * time.Second
	const callers = 200
	served := 0
	for i := range callers {
		arrival := time.Duration(i) * reregistration / callers
		if arrival+retryAfter(scatter.NoUpstream) >= reregistration {
			served++
		}
	}
	if served < callers/2 {
		t.Errorf("%d of %d callers return after the upstreams have registered, want at least half", served, callers)
	}
}

// newLimitedEngine returns an engine with the given clock, for tests of its limits.
func newLimitedEngine(now func() time.Time) *Engine {
	e := New(start, Options{Logs: logring.Nop(), Metrics: NewMetrics(prometheus.NewRegistry()), Traffic: &traffic.Meter{}, Random: rand.New(rand.NewPCG(1, 2))})
	e.now = now
	return e
}

// beginQuery asks for a place for a query that is received now, and returns nil if it has to
// wait or is refused.
func (e *Engine) beginQuery(route *routing.Route) *place {
	p, decision := e.askPlace(&catalog.View{}, &Request{Received: e.now(), Route: route})
	if decision != congestion.Admitted {
		return nil
	}
	return p
}

// limit returns the limit of the query's class.
func (p *place) limit() (limit float64) {
	p.group.Limits(func(class pb.Priority, l float64) {
		if class == p.query.Priority {
			limit = l
		}
	})
	return limit
}

// Guards against queries that are started regardless of how many are in flight: at three
// times the usual load each waits for connections, most lose a shard when their time is up,
// and the work for their other shards is wasted. Only a sixth of the queries was then
// answered in time, although the upstreams answered half of the load.
func TestCongestedQueriesLowerTheLimit(t *testing.T) {
	now := start
	e := newLimitedEngine(func() time.Time { return now })
	route := func(priority int) *routing.Route {
		return &routing.Route{Shards: []string{"a", "b", "c", "d"}, Priority: priority}
	}
	started := map[int]int{}
	for priority := 2; priority >= 0; priority-- {
		var places []*place
		for range 20 {
			p := e.beginQuery(route(priority))
			if p == nil {
				t.Fatal("query refused before any congestion of its class")
			}
			places = append(places, p)
		}
		now = now.Add(time.Second)
		for _, p := range places {
			e.endQuery(p, &Request{Received: p.query.Arrived, Route: route(priority)}, &Answer{CongestedParts: 4})
		}
		for range 40 {
			if e.beginQuery(route(priority)) != nil {
				started[priority]++
			}
		}
		if n := started[priority]; n > 10 || n < 5 {
			t.Errorf("priority %d: %d queries started after 20 concurrent ones were congested, want 5 to 10", priority, n)
		}
	}
	if !(started[0] >= started[1] && started[1] >= started[2] && started[0] > started[2]) {
		t.Errorf("queries started by priority: %v, want most for the most urgent", started)
	}
}

// Simulates a lasting overload, in which the queues of upstreams make each answer late while
// few parts are refused. Guards against a limit that settles where nearly every answer is
// late, and against a limit that is lowered for queries that are late for another reason, or
// that met a full upstream and are in time.
func TestOnlyLateQueriesRefusedByAFullUpstreamLowerTheLimit(t *testing.T) {
	const objective = 100 * time.Millisecond
	route := &routing.Route{Shards: slices.Repeat([]string{"a"}, 36), Objective: objective}
	for _, c := range []struct {
		name      string
		took      time.Duration
		congested int
		lowered   bool
	}{
		{"late and refused once by a full upstream", 2 * objective, 1, true},
		{"late for another reason", 2 * objective, 0, false},
		{"refused once but in time", objective / 2, 1, false},
	} {
		now := start
		e := newLimitedEngine(func() time.Time { return now })
		p := e.beginQuery(route)
		for range 19 {
			e.beginQuery(route)
		}
		before := p.limit()
		now = now.Add(c.took)
		e.endQuery(p, &Request{Received: start, Route: route}, &Answer{CongestedParts: c.congested})
		if lowered := p.limit() < before; lowered != c.lowered {
			t.Errorf("%s: the limit went from %v to %v", c.name, before, p.limit())
		}
	}
}

// A query whose caller has left frees its place and must not count as congested.
func TestQueriesOfGoneCallersDoNotCountAsCongested(t *testing.T) {
	e := newLimitedEngine(time.Now)
	r := &routing.Route{Shards: []string{"a", "b", "c", "d"}}
	e.endQuery(e.beginQuery(r), &Request{Received: time.Now(), Route: r}, &Answer{Reason: CallerGone, CongestedParts: 4})
	for range 50 {
		if e.beginQuery(r) == nil {
			t.Fatal("query refused as congested")
		}
	}
}

// Guards against memory that grows for as long as the process runs: each configuration names
// other routes and services, and the state of the former ones was kept.
func TestStateOfRemovedRoutesAndServicesIsDropped(t *testing.T) {
	start := time.Unix(1000, 0)
	limit := retrybudget.Limit{Ratio: 1, Window: 10 * time.Second}
	e := New(start, Options{Metrics: NewMetrics(prometheus.NewRegistry()), Traffic: &traffic.Meter{}, Budget: limit, Random: rand.New(rand.NewPCG(1, 2))})
	view := func(i int) *catalog.View {
		name := fmt.Sprint(i)
		c := &routing.Config{Routes: []routing.Route{{Name: name}}, Services: []routing.Service{{Name: name}}}
		return &catalog.View{Config: c, Table: routing.Compile(c)}
	}
	now := start
	for i := range 100 {
		now = now.Add(time.Second)
		e.SetView(now, view(i))
		e.mu.Lock()
		e.budget(fmt.Sprint(i)).AddRequest()
		e.limiter(&catalog.View{}, &routing.Route{Shards: []string{fmt.Sprint(i)}})
		e.replicas.HedgeDelay(now, fmt.Sprint(i), time.Second, 0, &catalog.Upstream{})
		e.mu.Unlock()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.budgets) > 13 || len(e.limiters) > 2 {
		t.Errorf("%d budgets and %d limiters kept, want at most 13 and 2", len(e.budgets), len(e.limiters))
	}
}

// Guards against refusals by a process that is about to get its configuration. After the
// loss of all processes callers lose their first try with the VMs, and restarted processes
// have no configuration for the first tenths of a second. A hundred callers were then
// refused twice within half a second and gave up.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	e := newTestEngine()
	e.opts.MaxRequests = 10
	answered := make(chan Answer)
	go func() { answered <- e.Serve(request("/other/")) }()
	for e.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	e.configure()
	if a := <-answered; a.Reason != NoRoute {
		t.Errorf("ended with %q, want no_route from the configuration", a.Reason)
	}
}

// A process that has been without a configuration for longer than startupConfigWait, or that
// is at its limit of requests, must refuse at once.
func TestWaitingForAConfigurationIsBounded(t *testing.T) {
	e := newTestEngine()
	e.started = time.Now().Add(-startupConfigWait)
	if a := e.Serve(request("/p/")); a.Reason != Unready || a.RetryAfter == 0 || a.Elapsed > startupConfigWait/2 {
		t.Errorf("ended with %q after %v, retry after %v", a.Reason, a.Elapsed, a.RetryAfter)
	}
	e = newTestEngine()
	e.inFlight.Add(1)
	if a := e.Serve(request("/p/")); a.Reason != Overloaded {
		t.Errorf("ended with %q beyond the request limit", a.Reason)
	}
}
