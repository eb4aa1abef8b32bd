package edge

import (
	"slices"
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
	out := x.engine.atHome(v.Services[service], x.homes(v))
	if _, bound := x.engine.coldBound(v, service); !bound {
		return out
	}
	return slices.DeleteFunc(slices.Clone(out), func(u *catalog.Upstream) bool { return !x.engine.warm(v, u) })
}

// Why an upstream may not be given a request that was planned for it.
const (
	barredLeaving = "takes no new work, or its data centre is evacuated"
	barredHomes   = "outside the homes of the route"
	barredCold    = "cold, or not known to be warm"
)

// barred is why the request may not be given to an upstream by what is in force now, empty
// when it may.
func (x *run) barred(u *catalog.Upstream) string {
	v := x.engine.view.Load()
	switch {
	case !v.TakesWork(u):
		return barredLeaving
	case !x.homes(v).Allow(x.engine.regionOf(u)):
		return barredHomes
	case !x.engine.warm(v, u):
		return barredCold
	default:
		return ""
	}
}

// atHome is the upstreams that are in some homes.
func (e *Engine) atHome(upstreams []*catalog.Upstream, homes routing.Homes) []*catalog.Upstream {
	if !homes.Bound() {
		return upstreams
	}
	var out []*catalog.Upstream
	for _, u := range upstreams {
		if homes.Allow(e.regionOf(u)) {
			out = append(out, u)
		}
	}
	return out
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
