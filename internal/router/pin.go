package router

import (
	"sync/atomic"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/readiness"
)

// pinTTL is how long a choice is used while nothing new is learned: beliefs
// expire without an event.
const pinTTL = 100 * time.Millisecond

// pin is the choice of a service's snapshot, kept so that a query does not look
// at every replica of every shard.
type pin struct {
	current atomic.Pointer[pinned]
}

// pinned is a choice and what it holds for.
type pinned struct {
	service *contract.Service
	changes uint64
	until   time.Time
	choice  readiness.Choice
	ok      bool
}

// Pin is the newest snapshot for which every shard has a replica that serves.
func (r *Router) Pin(now time.Time, s *contract.Service) (*contract.ShardMap, *pb.Snapshot, bool) {
	c, ok := r.pinned(now, s)
	return c.Map, c.Snapshot, ok
}

// Repin is a snapshot other than the retired one that every shard serves.
func (r *Router) Repin(now time.Time, s *contract.Service, retired *pb.Snapshot) (*contract.ShardMap, *pb.Snapshot, bool) {
	c, ok := r.pinned(now, s)
	if !ok || !c.Whole || readiness.KeyOf(c.Snapshot) == readiness.KeyOf(retired) {
		return nil, nil, false
	}
	return c.Map, c.Snapshot, true
}

func (r *Router) pinned(now time.Time, s *contract.Service) (readiness.Choice, bool) {
	p := r.pin(s.Name)
	// Read before choosing: what is learned meanwhile makes the choice stale.
	changes := r.changes.Load()
	if c := p.current.Load(); c != nil && c.service == s && c.changes == changes && now.Before(c.until) {
		return c.choice, c.ok
	}
	c := &pinned{service: s, changes: changes, until: now.Add(pinTTL)}
	c.choice, c.ok = readiness.Choose(s, func(u *contract.Upstream, k readiness.Key) readiness.Fitness {
		st := r.upstream(u.ID)
		st.mu.Lock()
		defer st.mu.Unlock()
		return st.ready.Fitness(now, k)
	})
	p.current.Store(c)
	return c.choice, c.ok
}

func (r *Router) pin(service string) *pin {
	if p, ok := r.pins.Load(service); ok {
		return p.(*pin)
	}
	p, _ := r.pins.LoadOrStore(service, &pin{})
	return p.(*pin)
}

// Status learns what an owner has seen of an upstream.
func (r *Router) Status(now time.Time, status *pb.UpstreamStatus) {
	st := r.upstream(status.Upstream)
	st.mu.Lock()
	st.ready.Status(now, status)
	st.mu.Unlock()
	r.changes.Add(1)
}
