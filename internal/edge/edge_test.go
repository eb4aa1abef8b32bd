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
			t.Errorf("%d shards at %v: %d, want %d", c.shards, c.coverage, got, c.want)
		}
	}
}

func TestTimesOfARequest(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name                         string
		objective, timeout, deadline time.Duration
		answer, wait                 time.Duration
	}{
		{"the objective", 250 * time.Millisecond, 4 * time.Second, 3 * time.Second, 230 * time.Millisecond, 3*time.Second - giveUpMargin},
		{"a timeout below it", time.Second, 400 * time.Millisecond, 15 * time.Second, 380 * time.Millisecond, 400 * time.Millisecond},
		{"a tiny objective", 10 * time.Millisecond, 0, 0, 5 * time.Millisecond, noDeadline},
		{"none of them", 0, 0, 0, noDeadline - answerMargin, noDeadline},
	} {
		r := &Request{Received: start, Deadline: c.deadline, Route: &routing.Route{Objective: c.objective, Timeout: c.timeout}}
		if got := answerBy(r).Sub(start); got != c.answer {
			t.Errorf("%s: answers by %v, want %v", c.name, got, c.answer)
		}
		if got := r.wait(); got != c.wait {
			t.Errorf("%s: waits %v, want %v", c.name, got, c.wait)
		}
	}
}

// A VM that is woken late refuses what it cannot serve in time, the tightest
// objectives first.
func TestASlowVMRefusesWhatWouldBeLate(t *testing.T) {
	var e Engine
	for _, c := range []struct {
		lag, objective time.Duration
		refused        bool
	}{
		{10 * time.Millisecond, 30 * time.Millisecond, false},
		{25 * time.Millisecond, 120 * time.Millisecond, false},
		{35 * time.Millisecond, 120 * time.Millisecond, true},
		{35 * time.Millisecond, 250 * time.Millisecond, false},
		{80 * time.Millisecond, 250 * time.Millisecond, true},
		{80 * time.Millisecond, time.Second, false},
	} {
		e.SetLag(c.lag)
		if got := e.tooSlow(&routing.Route{Objective: c.objective}); got != c.refused {
			t.Errorf("lag %v, objective %v: refused %v", c.lag, c.objective, got)
		}
	}
}

// The parts of all VMs that agree on who carries never exceed the bound.
func TestSharesAreAtMostTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 600).Draw(t, "vms")
		carriers := rapid.IntRange(0, vms).Draw(t, "carriers")
		total := 0.0
		for i := range vms {
			s := Shares{VMs: vms, Carriers: carriers, Carrying: i < carriers}
			total += s.of(100)
		}
		if total > 100.0001 {
			t.Fatalf("%v of 100", total)
		}
	})
}

// Guards against callers that are told to come back while upstreams still register: after an
// outage of the store their entries are back within two seconds, and callers try twice.
func TestCallersReturnWhenUpstreamsHaveRegistered(t *testing.T) {
	const away = 2 * time.Second
	const callers = 200
	served := 0
	for i := range callers {
		came := time.Duration(i) * away / callers
		if came+retryAfter(scatter.NoUpstream) >= away {
			served++
		}
	}
	if served < callers/2 {
		t.Errorf("%d of %d callers come back in time", served, callers)
	}
}

// Symptom: at three times the usual load a sixth of the queries is answered in
// time, although the upstreams answer half of it.
// Sequence: each query waits for connections; most lose a shard when their time
// is up, and the work for their others is wasted.
// Cause: queries were begun whatever was under way.
func TestCrowdedQueriesLimitTheNext(t *testing.T) {
	e := &Engine{now: time.Now, scatters: map[string]*congestion.Limiter{}}
	route := func(priority int) *routing.Route {
		return &routing.Route{Shards: []string{"a", "b", "c", "d"}, Priority: priority}
	}
	began := time.Now()
	var l *congestion.Limiter
	for range 20 {
		if l = e.startScatter(&catalog.View{}, route(2)); l == nil {
			t.Fatal("refused before any congestion")
		}
	}
	for range 20 {
		e.endScatter(l, &Request{Received: began, Route: route(2)}, &Answer{Crowded: 4})
	}
	started := map[int]int{}
	for range 40 {
		for priority := range 3 {
			if e.startScatter(&catalog.View{}, route(priority)) != nil {
				started[priority]++
			}
		}
	}
	if total := started[0] + started[1] + started[2]; total > 10 || total < 5 {
		t.Errorf("%d queries begun after 20 at once were crowded", total)
	}
	if !(started[0] >= started[1] && started[1] >= started[2] && started[0] > started[2]) {
		t.Errorf("begun by priority: %v, the most urgent should have most", started)
	}
}

// Answers the pattern of a load beyond what the upstreams take that lasts: their queues keep
// each answer late while few parts are refused. Guards against a limit that settles where
// nearly every answer is late; and against one that is cut for queries which are late for
// something else, or found a full upstream and are in time.
func TestLateQueriesThatFoundAFullUpstreamLowerTheLimit(t *testing.T) {
	const aim = 100 * time.Millisecond
	route := &routing.Route{Shards: slices.Repeat([]string{"a"}, 36), Objective: aim}
	for _, c := range []struct {
		name    string
		took    time.Duration
		crowded int
		lowered bool
	}{
		{"late and refused once for want of room", 2 * aim, 1, true},
		{"late for something else", 2 * aim, 0, false},
		{"refused once and in time", aim / 2, 1, false},
	} {
		now := start
		e := &Engine{now: func() time.Time { return now }, scatters: map[string]*congestion.Limiter{}}
		l := e.startScatter(&catalog.View{}, route)
		for range 19 {
			e.startScatter(&catalog.View{}, route)
		}
		before := l.Limit()
		now = now.Add(c.took)
		e.endScatter(l, &Request{Received: start, Route: route}, &Answer{Crowded: c.crowded})
		if lowered := l.Limit() < before; lowered != c.lowered {
			t.Errorf("%s: the limit went from %v to %v", c.name, before, l.Limit())
		}
	}
}

// What a caller that left had under way tells nothing and leaves its place.
func TestQueriesOfCallersThatLeftTellNothing(t *testing.T) {
	e := &Engine{now: time.Now, scatters: map[string]*congestion.Limiter{}}
	r := &routing.Route{Shards: []string{"a", "b", "c", "d"}}
	e.endScatter(e.startScatter(&catalog.View{}, r), &Request{Received: time.Now(), Route: r}, &Answer{Reason: Gone, Crowded: 4})
	for range 50 {
		if e.startScatter(&catalog.View{}, r) == nil {
			t.Fatal("refused")
		}
	}
}

// Symptom: a process grows for as long as it runs.
// Sequence: each configuration names other routes and services.
// Cause: what was kept of the former ones stayed.
func TestWhatAConfigurationNoLongerNamesIsForgotten(t *testing.T) {
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
		e.budget(fmt.Sprint(i)).Request()
		e.scatter(&catalog.View{}, &routing.Route{Shards: []string{fmt.Sprint(i)}})
		e.replicas.HedgeDelay(now, fmt.Sprint(i), time.Second, 0, &catalog.Upstream{})
		e.mu.Unlock()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.budgets) > 13 || len(e.scatters) > 2 {
		t.Errorf("%d budgets and %d limiters are kept", len(e.budgets), len(e.scatters))
	}
}

// Symptom: after the loss of all processes a hundred callers are refused twice
// within half a second and give up.
// Sequence: they lose their first try with the VMs; those that are back have no
// configuration for the first tenths of a second and refuse the second one.
// Cause: a process that knew that it would be ready at once refused nonetheless.
func TestAProcessThatStartsLetsRequestsWait(t *testing.T) {
	o := newObserved()
	o.opts.MaxRequests = 10
	answered := make(chan Answer)
	go func() { answered <- o.Serve(request("/other/")) }()
	for o.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	o.know()
	if a := <-answered; a.Reason != NoRoute {
		t.Errorf("ended with %q, want the answer of the configuration", a.Reason)
	}
}

// A process that has been without a configuration for longer expects none soon:
// it refuses at once. So does one that holds as many requests as it may.
func TestWaitingForAConfigurationIsBounded(t *testing.T) {
	o := newObserved()
	o.started = time.Now().Add(-startHold)
	if a := o.Serve(request("/p/")); a.Reason != Unready || a.RetryAfter == 0 || a.Took > startHold/2 {
		t.Errorf("ended with %q after %v, to come back in %v", a.Reason, a.Took, a.RetryAfter)
	}
	o = newObserved()
	o.inFlight.Add(1)
	if a := o.Serve(request("/p/")); a.Reason != Overloaded {
		t.Errorf("ended with %q beyond the bound", a.Reason)
	}
}
