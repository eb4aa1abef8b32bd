package edge

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/retrybudget"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
)

// Expect implements scatter.Policy.
func (x *run) Expect(_ int, u *catalog.Upstream) scatter.Expectation {
	e := x.engine
	now := e.now()
	ahead := e.pools.AnswersAhead(now, []*catalog.Upstream{u})[0]
	e.mu.Lock()
	defer e.mu.Unlock()
	answer, next := e.replicas.Expect(now, x.req.Route.Name, x.defaultLatency, u, ahead)
	return scatter.Expectation{Answer: answer, Queued: ahead > 0, FreeIn: next}
}

// Remaining implements scatter.Policy.
func (x *run) Remaining(attempt int) time.Duration {
	e := x.engine
	now := e.now()
	s := &x.sends[attempt]
	u := s.call.Upstream
	ahead := e.pools.AnswersAhead(now, []*catalog.Upstream{u})[0]
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.replicas.Remaining(now, x.req.Route.Name, x.defaultLatency, u, s.id, ahead)
}

// HedgeAllowedAt implements scatter.Policy.
func (x *run) HedgeAllowedAt(part int) time.Time {
	e := x.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget(x.plan.Services[part]).AllowedAt(e.now(), retrybudget.Hedge)
}
