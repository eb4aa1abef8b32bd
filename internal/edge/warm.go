package edge

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/direct"
	"sycamorekeel.example/sycamorekeel/internal/routing"
	"sycamorekeel.example/sycamorekeel/internal/warmup"
)

// confirmedWithin is how old the store's last confirmation of the view may be for entries to
// tell which upstreams are warm: longer than a watch waits.
const confirmedWithin = 3 * time.Second

// warmth is which upstreams are warm, of services whose cold upstreams bear only a few
// requests a second. Its lock is a leaf.
type warmth struct {
	mu    sync.Mutex
	table *warmup.Table
}

// keep takes in a view.
func (w *warmth) keep(now time.Time, v *catalog.View) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.Keep(now, v)
}

// doubt takes in that something points to a new start of an upstream.
func (w *warmth) doubt(now time.Time, u *catalog.Upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.Doubt(now, u)
}

// state tells whether an upstream may be given requests; check, whether its health is to be
// asked for.
func (w *warmth) state(now time.Time, u *catalog.Upstream, confirmed bool) (s warmup.State, check bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s = w.table.State(now, u, confirmed)
	return s, s == warmup.Doubtful && w.table.Check(now, u)
}

// stateByEntry is state for an upstream whose service names no health path.
func (w *warmth) stateByEntry(now time.Time, u *catalog.Upstream, confirmed bool) warmup.State {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.StateByEntry(now, u, confirmed)
}

// warm tells whether an upstream may be given requests as far as cold starts go. One that is
// doubtful is asked for its health, and may not until it has answered.
func (e *Engine) warm(v *catalog.View, u *catalog.Upstream) bool {
	s, bound := e.coldBound(v, u.Service)
	if !bound {
		return true
	}
	now := e.now()
	confirmed := e.opts.ViewAge() < confirmedWithin
	if s.HealthPath == "" {
		return e.warmth.stateByEntry(now, u, confirmed) == warmup.Warm
	}
	state, check := e.warmth.state(now, u, confirmed)
	if check {
		go e.pools.CheckHealth(u, s.HealthPath)
	}
	return state == warmup.Warm
}

// coldBound is a service whose cold upstreams bear only a few requests a second; false for
// others.
func (e *Engine) coldBound(v *catalog.View, service string) (routing.Service, bool) {
	if v.Table == nil {
		return routing.Service{}, false
	}
	s, ok := v.Table.Service(service)
	return s, ok && s.ColdBound
}

// healthAnswered takes in how a health check ended that was begun at a time.
func (e *Engine) healthAnswered(u *catalog.Upstream, begun time.Time, h direct.Health, err error) {
	e.opts.Metrics.healthChecked(err)
	if err != nil {
		e.opts.Logs.Failures.Info("upstream: health check failed, it gets nothing before the next",
			zap.String("upstream", u.ID), zap.String("service", u.Service), zap.Error(err))
		return
	}
	if h.ColdFor > 0 {
		e.opts.Logs.Changes.Info("upstream: cold, it gets nothing until it is warm",
			zap.String("upstream", u.ID), zap.String("service", u.Service), zap.Duration("cold_for", h.ColdFor))
	}
	e.warmth.mu.Lock()
	defer e.warmth.mu.Unlock()
	e.warmth.table.Checked(e.now(), begun, u, h.ColdFor)
}

// warmIn is the shortest time until one of some upstreams may be given requests.
func (e *Engine) warmIn(upstreams []*catalog.Upstream) time.Duration {
	now := e.now()
	e.warmth.mu.Lock()
	defer e.warmth.mu.Unlock()
	var least time.Duration
	for _, u := range upstreams {
		if in := e.warmth.table.WarmIn(now, u); least == 0 || in < least {
			least = in
		}
	}
	return least
}
