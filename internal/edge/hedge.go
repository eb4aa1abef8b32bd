package edge

import (
	"math"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/retrybudget"
	"sycamorekeel.example/sycamorekeel/internal/routing"
)

// Busy implements scatter.Policy.
func (x *run) Busy(_ int, u *catalog.Upstream) (bool, time.Duration) {
	e := x.engine
	now := e.now()
	if e.pools.AnswersAhead(now, []*catalog.Upstream{u}, x.class(u))[0] == 0 {
		return false, 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return true, e.replicas.NextAnswer(now, x.req.Route.Name, x.defaultLatency, u)
}

// HedgeAllowedAt implements scatter.Policy.
func (x *run) HedgeAllowedAt(part int) time.Time {
	e := x.engine
	kind := x.claim(part, retrybudget.Hedge)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget(x.plan.Services[part]).AllowedAt(e.now(), kind)
}

// claim returns the kind as which an extra send of a part claims budget: a hedge is a less
// urgent one if a more urgent route uses the same service.
func (x *run) claim(part int, kind retrybudget.Kind) retrybudget.Kind {
	if kind == retrybudget.Hedge && x.req.Route.Priority > x.engine.mostUrgent(x.plan.Services[part]) {
		return retrybudget.LessUrgentHedge
	}
	return kind
}

// urgencies holds the priority of the most urgent route of each service of a configuration.
type urgencies struct {
	config    *routing.Config
	byService map[string]int
}

// mostUrgent returns the priority of the most urgent route to a service in the current view.
func (e *Engine) mostUrgent(service string) int {
	v := e.view.Load()
	if v.Config == nil {
		return math.MaxInt
	}
	u := e.urgencies.Load()
	if u == nil || u.config != v.Config {
		u = urgenciesOf(v.Config)
		e.urgencies.Store(u)
	}
	if p, ok := u.byService[service]; ok {
		return p
	}
	return math.MaxInt
}

func urgenciesOf(c *routing.Config) *urgencies {
	u := &urgencies{config: c, byService: map[string]int{}}
	note := func(service string, priority int) {
		if p, ok := u.byService[service]; !ok || priority < p {
			u.byService[service] = priority
		}
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, s := range r.Shards {
			note(s, r.Priority)
		}
		for _, target := range r.Targets {
			note(target.Service, r.Priority)
		}
	}
	return u
}
