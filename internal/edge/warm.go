package edge

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/connpool"
	"sycamorekeel.example/sycamorekeel/internal/routing"
	"sycamorekeel.example/sycamorekeel/internal/warmup"
)

// maxConfirmationAge is the maximum age of the store's last confirmation of the view at
// which its entries still show which upstreams are warm. It is longer than a watch waits.
const maxConfirmationAge = 3 * time.Second

// warmupTracker tracks which upstreams are warm, for services whose upstreams sustain only a
// few requests a second while cold. Its lock is a leaf lock.
type warmupTracker struct {
	mu    sync.Mutex
	table *warmup.Table
}

// update applies a view.
func (w *warmupTracker) update(now time.Time, v *catalog.View) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.Update(now, v)
}

// suspectRestart records a sign that an upstream may have restarted.
func (w *warmupTracker) suspectRestart(now time.Time, u *catalog.Upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.MarkUnverified(now, u)
}

// state returns whether an upstream is warm; check says whether the caller must check its
// health.
func (w *warmupTracker) state(now time.Time, u *catalog.Upstream, confirmed bool) (s warmup.State, check bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s = w.table.State(now, u, confirmed)
	return s, s == warmup.Unverified && w.table.BeginCheck(now, u)
}

// stateByEntry is like state for an upstream whose service has no health path.
func (w *warmupTracker) stateByEntry(now time.Time, u *catalog.Upstream, confirmed bool) warmup.State {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.StateByEntry(now, u, confirmed)
}

// warm reports whether an upstream is known to be warm, or its service has no limit for cold
// upstreams. For an unverified upstream it starts a health check and returns false.
func (e *Engine) warm(v *catalog.View, u *catalog.Upstream) bool {
	s, limited := e.coldLimitedService(v, u.Service)
	if !limited {
		return true
	}
	now := e.now()
	confirmed := e.opts.ViewAge() < maxConfirmationAge
	if s.HealthPath == "" {
		return e.warmups.stateByEntry(now, u, confirmed) == warmup.Warm
	}
	state, check := e.warmups.state(now, u, confirmed)
	if check {
		go e.pools.CheckHealth(u, s.HealthPath)
	}
	return state == warmup.Warm
}

// coldLimitedService returns the service if its upstreams sustain only a few requests a
// second while cold, and false otherwise.
func (e *Engine) coldLimitedService(v *catalog.View, service string) (routing.Service, bool) {
	if v.Table == nil {
		return routing.Service{}, false
	}
	s, ok := v.Table.Service(service)
	return s, ok && s.ColdLimited
}

// healthAnswered records the result of a health check that started at begun.
func (e *Engine) healthAnswered(u *catalog.Upstream, begun time.Time, h connpool.Health, err error) {
	e.opts.Metrics.healthChecked(err)
	if err != nil {
		e.opts.Logs.Failures.Info("upstream: health check failed, no requests until the next check succeeds",
			zap.String("upstream", u.ID), zap.String("service", u.Service), zap.Error(err))
		return
	}
	if h.ColdFor > 0 {
		e.opts.Logs.Changes.Info("upstream: cold, no requests until it is warm",
			zap.String("upstream", u.ID), zap.String("service", u.Service), zap.Duration("cold_for", h.ColdFor))
	}
	e.warmups.mu.Lock()
	defer e.warmups.mu.Unlock()
	e.warmups.table.RecordHealth(e.now(), begun, u, h.ColdFor)
}

// timeUntilWarm returns the shortest time until one of the upstreams is warm.
func (e *Engine) timeUntilWarm(upstreams []*catalog.Upstream) time.Duration {
	now := e.now()
	e.warmups.mu.Lock()
	defer e.warmups.mu.Unlock()
	var shortest time.Duration
	for _, u := range upstreams {
		if in := e.warmups.table.WarmIn(now, u); shortest == 0 || in < shortest {
			shortest = in
		}
	}
	return shortest
}
