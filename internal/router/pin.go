package router

import (
	"sync/atomic"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/readiness"
)

// pinTTL limits how long a cached choice is used when no new status arrives:
// readiness information expires without an event.
const pinTTL = 100 * time.Millisecond

// pinCache holds the last snapshot choice of a service, so that a query need not
// examine every replica of every shard.
type pinCache struct {
	current atomic.Pointer[cachedChoice]
}

// cachedChoice is a snapshot choice with the inputs and the time it is valid for.
type cachedChoice struct {
	service *contract.Service
	changes uint64
	until   time.Time
	choice  readiness.Choice
	ok      bool
}

// Pin returns the newest snapshot for which every shard has a serving replica, or
// the one that covers most if there is none. The last result is false when no
// replica serves any snapshot.
func (r *Router) Pin(now time.Time, s *contract.Service) (*contract.ShardMap, *pb.Snapshot, bool) {
	c, ok := r.snapshotChoice(now, s)
	return c.Map, c.Snapshot, ok
}

// Repin returns a snapshot that every shard serves and that differs from the
// retired one. The last result is false when there is none.
func (r *Router) Repin(now time.Time, s *contract.Service, retired *pb.Snapshot) (*contract.ShardMap, *pb.Snapshot, bool) {
	c, ok := r.snapshotChoice(now, s)
	if !ok || !c.Complete || readiness.SnapshotKeyOf(c.Snapshot) == readiness.SnapshotKeyOf(retired) {
		return nil, nil, false
	}
	return c.Map, c.Snapshot, true
}

// snapshotChoice returns the cached choice of the service and renews it when it
// has expired, the service was republished or an upstream's readiness changed.
func (r *Router) snapshotChoice(now time.Time, s *contract.Service) (readiness.Choice, bool) {
	p := r.pinCache(s.Name)
	// Load the counter before choosing, so that a change during the choice
	// invalidates it.
	changes := r.changes.Load()
	if c := p.current.Load(); c != nil && c.service == s && c.changes == changes && now.Before(c.until) {
		return c.choice, c.ok
	}
	c := &cachedChoice{service: s, changes: changes, until: now.Add(pinTTL)}
	c.choice, c.ok = readiness.Choose(s, func(u *contract.Upstream, k readiness.SnapshotKey) readiness.Fitness {
		st := r.upstream(u.ID)
		st.mu.Lock()
		defer st.mu.Unlock()
		return st.ready.Fitness(now, k)
	})
	p.current.Store(c)
	return c.choice, c.ok
}

func (r *Router) pinCache(service string) *pinCache {
	if p, ok := r.pins.Load(service); ok {
		return p.(*pinCache)
	}
	p, _ := r.pins.LoadOrStore(service, &pinCache{})
	return p.(*pinCache)
}

// RecordStatus records an upstream's status as reported by its owner.
func (r *Router) RecordStatus(now time.Time, status *pb.UpstreamStatus) {
	st := r.upstream(status.Upstream)
	st.mu.Lock()
	st.ready.ApplyStatus(now, status)
	st.mu.Unlock()
	r.changes.Add(1)
}
