// Package owner runs the sub-requests of the upstreams this VM owns: one queue,
// one connection pool and one set of slots for each.
//
// Lock order: Owner.mu before station.mu; no lock is held across I/O.
package owner

import (
	"fmt"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/dispatch"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/upstream"
)

// Options is what an owner needs.
type Options struct {
	Log      *zap.Logger
	Registry prometheus.Registerer
	// Slots is how many slots of an upstream this VM may use; 0 for an upstream
	// that it does not own.
	Slots         func(*contract.Upstream) int
	MaxQueue      int
	MaxReplyBytes int
	Now           func() time.Time
}

// Owner is the stations of this VM.
type Owner struct {
	opts Options
	log  *zap.Logger
	met  *metrics

	mu       sync.Mutex
	snapshot *contract.Snapshot
	stations map[string]*station
	stopping bool
	workers  sync.WaitGroup
}

// New makes an owner with no stations; Apply gives it some.
func New(opts Options) *Owner {
	return &Owner{
		opts:     opts,
		log:      opts.Log,
		met:      newMetrics(opts.Registry),
		snapshot: contract.Compile(0, nil),
		stations: map[string]*station{},
	}
}

// Apply takes on a new configuration or ownership: stations that are no longer
// owned get no new work and end when what they run has ended.
func (o *Owner) Apply(snap *contract.Snapshot) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.snapshot = snap
	for id, st := range o.stations {
		u, ok := snap.Upstream(id)
		if !ok || st.replaced(u) {
			delete(o.stations, id)
			st.close()
			continue
		}
		st.apply(u, o.opts.Slots(u))
	}
}

// Submit queues a sub-request; reply is called once, maybe before it returns.
func (o *Owner) Submit(key dispatch.Key, req *pb.SubRequest, reply func(*pb.SubReply)) {
	now := o.opts.Now()
	st, result := o.station(req.Upstream)
	if st == nil {
		o.met.refused(result)
		reply(&pb.SubReply{Id: req.Id, Result: result})
		return
	}
	it := &dispatch.Item{
		Key:      key,
		Customer: req.Customer,
		Arrived:  now,
		Deadline: now.Add(time.Duration(req.RemainingUs) * time.Microsecond),
		Request:  req,
		Reply:    reply,
	}
	o.rank(it)
	st.push(now, it)
}

// rank fills in what the contract says of the item.
func (o *Owner) rank(it *dispatch.Item) {
	it.Weight = 1
	it.Priority = pb.Priority_LOW
	o.mu.Lock()
	c, ok := o.snapshot.Customer(it.Request.Customer)
	o.mu.Unlock()
	if !ok {
		return
	}
	if k, ok := c.Kinds[it.Request.Kind]; ok {
		it.Weight = k.Weight
		it.Priority = k.Priority
	}
}

// Cancel withdraws a sub-request: a waiting one is answered as not run, one that
// runs is cancelled at the upstream.
func (o *Owner) Cancel(key dispatch.Key, upstreamID string) {
	o.mu.Lock()
	st := o.stations[upstreamID]
	o.mu.Unlock()
	if st != nil {
		st.cancel(key)
	}
}

// Stop refuses new work and waits until what runs has ended.
func (o *Owner) Stop() {
	o.mu.Lock()
	o.stopping = true
	o.mu.Unlock()
	o.workers.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, st := range o.stations {
		st.client.Close()
	}
}

// station finds the upstream's station, starting it on first use.
func (o *Owner) station(id string) (*station, pb.Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopping {
		return nil, pb.Result_VM_STOPPING
	}
	u, ok := o.snapshot.Upstream(id)
	if !ok {
		return nil, pb.Result_NOT_OWNER
	}
	if u.Leaving {
		return nil, pb.Result_UPSTREAM_LEAVING
	}
	st := o.stations[id]
	if st != nil {
		return st, pb.Result_RESULT_UNSPECIFIED
	}
	slots := o.opts.Slots(u)
	if slots == 0 {
		return nil, pb.Result_NOT_OWNER
	}
	st = o.newStation(u, slots)
	o.stations[id] = st
	return st, pb.Result_RESULT_UNSPECIFIED
}

func (o *Owner) newStation(u *contract.Upstream, slots int) *station {
	return &station{
		owner:    o,
		upstream: u,
		client:   upstream.NewClient(u.Address, u.Connections, o.opts.MaxReplyBytes),
		queue:    dispatch.New(dispatch.Options{Slots: slots, MaxQueue: o.opts.MaxQueue}),
	}
}

// requestID is the sub-request's name at the upstream.
func requestID(k dispatch.Key) string {
	return fmt.Sprintf("%s.%x.%x", k.VM, k.Incarnation, k.ID)
}
