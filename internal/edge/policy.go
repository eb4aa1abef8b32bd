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
	ahead := e.pools.AnswersAhead(now, candidates, x.shardClass(x.plan.Services[part]))
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.replicas.Choose(now, x.req.Route.Name, x.defaultLatency, candidates, ahead, tried)
}

// Reachable implements scatter.Policy.
func (x *run) Reachable(part int) bool {
	e := x.engine
	candidates := x.candidates(part)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.replicas.Reachable(e.now(), candidates)
}

// candidates returns the upstreams that may be given a part. It uses the current view and
// not the request's own: an upstream that has started to leave since takes no new work.
func (x *run) candidates(part int) []*catalog.Upstream {
	v := x.engine.view.Load()
	service := x.plan.Services[part]
	out := x.engine.inHomes(v.Services[service], x.homes(v))
	if _, limited := x.engine.coldLimitedService(v, service); !limited {
		return out
	}
	return slices.DeleteFunc(slices.Clone(out), func(u *catalog.Upstream) bool { return !x.engine.warm(v, u) })
}

// Reasons why an upstream may no longer be given a request that was planned for it.
const (
	barredLeaving = "takes no new work, or its data centre is evacuated"
	barredHomes   = "outside the homes of the route"
	barredCold    = "cold, or not known to be warm"
)

// barred returns why the current view forbids sending the request to an upstream, or "" if
// it does not.
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

// inHomes returns the upstreams that are in the given home regions.
func (e *Engine) inHomes(upstreams []*catalog.Upstream, homes routing.Homes) []*catalog.Upstream {
	if !homes.Restricted() {
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

// homes returns the regions that may serve the request: those that are homes of its route
// both at planning time and now.
func (x *run) homes(v *catalog.View) routing.Homes {
	planned := x.req.Route.Homes
	if v == x.view || v.Table == nil {
		return planned
	}
	current := v.Table.Lookup(x.req.Host, x.req.Path)
	if current == nil {
		return planned
	}
	return planned.Intersect(current.Homes)
}

// regionOf returns the region of an upstream, or "" if the settings do not name its data
// centre.
func (e *Engine) regionOf(u *catalog.Upstream) string { return e.opts.Place.Regions[u.DataCentre] }

// Spend implements scatter.Policy.
func (x *run) Spend(part int, kind retrybudget.Kind) bool {
	e := x.engine
	kind = x.claim(part, kind)
	e.mu.Lock()
	ok := e.budget(x.plan.Services[part]).Spend(e.now(), kind)
	e.mu.Unlock()
	if !ok {
		x.budgetRefusals++
		e.opts.Metrics.budgetRefused(kind)
	}
	return ok
}

// HedgeDelay implements scatter.Policy.
func (x *run) HedgeDelay(_ int, u *catalog.Upstream) time.Duration {
	e := x.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.replicas.HedgeDelay(e.now(), x.req.Route.Name, x.defaultLatency, objective(x.req.Route)-objectiveMargin, u)
}
