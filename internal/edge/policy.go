package edge

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/retrybudget"
)

// Choose implements scatter.Policy.
func (x *run) Choose(part int, tried []string) *catalog.Upstream {
	e := x.engine
	now := e.now()
	if e.blocked(now, x.req) {
		return nil
	}
	candidates := x.candidates(part)
	ahead := e.pools.Ahead(now, candidates)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.replicas.Choose(now, x.req.Route.Name, x.usual, candidates, ahead, tried)
}

// Reachable implements scatter.Policy.
func (x *run) Reachable(part int) bool {
	e := x.engine
	candidates := x.candidates(part)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.replicas.Reachable(e.now(), candidates)
}

// candidates is the upstreams of a part. They are those in force now and not those of the
// request's own view: one that has begun to leave meanwhile takes no new work.
func (x *run) candidates(part int) []*catalog.Upstream {
	return x.engine.view.Load().Services[x.plan.Services[part]]
}

// Spend implements scatter.Policy.
func (x *run) Spend(part int, kind retrybudget.Kind) bool {
	e := x.engine
	e.mu.Lock()
	ok := e.budget(x.plan.Services[part]).Spend(e.now(), kind)
	e.mu.Unlock()
	if !ok {
		x.unspent++
		e.opts.Metrics.unspent(kind)
	}
	return ok
}

// HedgeDelay implements scatter.Policy.
func (x *run) HedgeDelay(_ int, u *catalog.Upstream) time.Duration {
	e := x.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.replicas.HedgeDelay(e.now(), x.req.Route.Name, x.usual, objective(x.req.Route)-answerMargin, u)
}
