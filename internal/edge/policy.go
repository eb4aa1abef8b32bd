package edge

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/retrybudget"
	"sycamorekeel.example/sycamorekeel/internal/routing"
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

// candidates is the upstreams that may be given a part. They are those in force now and not
// those of the request's own view: one that has begun to leave meanwhile takes no new work.
func (x *run) candidates(part int) []*catalog.Upstream {
	v := x.engine.view.Load()
	service := x.plan.Services[part]
	all := v.Services[service]
	homes := x.homes(v)
	if _, bound := x.engine.coldBound(v, service); !bound && !homes.Bound() {
		return all
	}
	var out []*catalog.Upstream
	for _, u := range all {
		if homes.Allow(x.engine.regionOf(u)) && x.engine.warm(v, u) {
			out = append(out, u)
		}
	}
	return out
}

// mayServe tells whether the request may be given to an upstream by what is in force now.
func (x *run) mayServe(u *catalog.Upstream) bool {
	v := x.engine.view.Load()
	return v.TakesWork(u) && x.homes(v).Allow(x.engine.regionOf(u)) && x.engine.warm(v, u)
}

// homes is where the request may be served: in the homes of its route as it was planned,
// and in those that the route has now.
func (x *run) homes(v *catalog.View) routing.Homes {
	own := x.req.Route.Homes
	if v == x.view || v.Table == nil {
		return own
	}
	now := v.Table.Lookup(x.req.Host, x.req.Path)
	if now == nil {
		return own
	}
	return own.And(now.Homes)
}

// regionOf is the region of an upstream, empty when the settings do not name its data centre.
func (e *Engine) regionOf(u *catalog.Upstream) string { return e.opts.Place.Regions[u.DataCentre] }

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
