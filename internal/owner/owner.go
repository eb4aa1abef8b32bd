// Package owner executes sub-requests on the upstreams that this VM owns. Each
// upstream has its own queue, slots, health monitor and connections. Package
// dispatch decides the order of the queue and package health decides whether an
// upstream is usable; this package applies their decisions.
//
// Lock order: Owner.mu, then reportMu, then executor.mu, then ledgerMu or pauseMu;
// no lock is held across I/O.
package owner

import (
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/dispatch"
	"sycamorekeel.example/sycamorekeel/internal/health"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/upstream"
)

// StatusSink receives status changes of the owned upstreams. Its methods must not
// block; calls for one upstream are made in order.
type StatusSink interface {
	// UpstreamChanged reports the current status of an owned upstream.
	UpstreamChanged(*pb.UpstreamStatus)
	// UpstreamLost reports that this VM no longer owns the upstream.
	UpstreamLost(id string)
}

// Options configures an Owner.
type Options struct {
	Log      *zap.Logger
	Registry prometheus.Registerer
	// Grant returns the slots and connections of an upstream that this VM may
	// currently use.
	Grant         func(*contract.Upstream) Grant
	Status        StatusSink
	MaxQueue      int
	MaxReplyBytes int
	Now           func() time.Time
	// Dial opens a connection to an upstream; nil means plain TCP.
	Dial   func(address string, timeout time.Duration) (net.Conn, error)
	Order  dispatch.Order
	Limit  dispatch.LimitPolicy
	Health health.Options
	Ledger dispatch.LedgerOptions
	Pause  dispatch.PauseOptions
	// ViewStale reports whether this VM's view of the cluster may be out of date,
	// so that it may have lost its upstreams to another VM. Dispatching is
	// suspended while it returns true. Nil means never.
	ViewStale func(now time.Time) bool
}

// DefaultPauseOptions detects a pause after a second without a tick and keeps dispatching
// suspended for another 100 ms, so that messages that arrived meanwhile are read
// first.
func DefaultPauseOptions() dispatch.PauseOptions {
	return dispatch.PauseOptions{Gap: time.Second, Settle: 100 * time.Millisecond}
}

// Owner holds the executors of this VM, one for each upstream in use.
type Owner struct {
	opts        Options
	log         *zap.Logger
	metrics     *metrics
	connMetrics *upstream.Metrics

	mu        sync.Mutex
	snapshot  *contract.Snapshot
	executors map[string]*executor
	// retiring holds the executors of upstreams that were removed, or whose
	// address changed, until they are drained.
	retiring map[*executor]struct{}
	stopping bool

	// reportMu keeps the calls to opts.Status in order.
	reportMu sync.Mutex

	ledgerMu sync.Mutex
	ledger   *dispatch.Ledger
	// allAnswered is signalled when no sub-request is open.
	allAnswered *sync.Cond

	pauseMu      sync.Mutex
	pause        *dispatch.PauseDetector
	wasSuspended bool
}

// New returns an Owner without executors. Apply creates them; Run probes and
// expires them.
func New(opts Options) *Owner {
	o := &Owner{
		opts:        opts,
		log:         opts.Log,
		metrics:     newMetrics(opts.Registry),
		connMetrics: upstream.NewMetrics(opts.Registry),
		snapshot:    contract.Compile(0, nil),
		executors:   map[string]*executor{},
		retiring:    map[*executor]struct{}{},
		ledger:      dispatch.NewLedger(opts.Ledger),
		pause:       dispatch.NewPauseDetector(opts.Pause),
	}
	o.allAnswered = sync.NewCond(&o.ledgerMu)
	return o
}

// Apply installs a new configuration or a change of ownership. An executor that
// loses its grant refuses its queued sub-requests as not run and closes when its
// running ones have ended. Owned upstreams get an executor at once, so that they
// are probed.
func (o *Owner) Apply(snap *contract.Snapshot) {
	owned := o.ownedUpstreams(snap)
	o.mu.Lock()
	o.snapshot = snap
	var refused []dispatch.Refused
	for id, e := range o.executors {
		refused = append(refused, o.updateGrant(id, e)...)
	}
	if !o.stopping {
		o.startExecutors(owned)
	}
	o.mu.Unlock()
	for _, r := range refused {
		o.refuse(r.Item, r.Refusal)
	}
	for _, e := range o.allExecutors() {
		e.tick(o.opts.Now())
	}
}

// updateGrant applies the current grant to an executor and returns the sub-requests
// that it drops. The caller holds mu.
func (o *Owner) updateGrant(id string, e *executor) []dispatch.Refused {
	u, ok := o.snapshot.Upstream(id)
	if ok && !e.addressChanged(u) {
		return e.setGrant(u, o.opts.Grant(u))
	}
	delete(o.executors, id)
	o.retiring[e] = struct{}{}
	return e.setGrant(nil, Grant{})
}

// ownedUpstreams returns the upstreams of snap that this VM owns. It runs without
// mu, so that sub-requests are not blocked.
func (o *Owner) ownedUpstreams(snap *contract.Snapshot) []*contract.Upstream {
	var out []*contract.Upstream
	for _, u := range snap.Upstreams() {
		if o.opts.Grant(u).Role == RoleOwner {
			out = append(out, u)
		}
	}
	return out
}

// startExecutors creates the missing executors of owned upstreams. The caller holds
// mu.
func (o *Owner) startExecutors(owned []*contract.Upstream) {
	for _, u := range owned {
		if o.executors[u.ID] == nil {
			o.executors[u.ID] = o.newExecutor(u, o.opts.Grant(u))
		}
	}
}

// Submit queues a sub-request. It calls reply exactly once, possibly before it
// returns, unless the id is already open: then the first call's reply answers both.
func (o *Owner) Submit(key dispatch.Key, req *pb.SubRequest, reply func(*pb.SubReply)) {
	now := o.opts.Now()
	it := &dispatch.Item{Key: key, Customer: req.Customer, Arrived: now, Request: req, Reply: reply}
	switch o.recordArrival(now, it) {
	case dispatch.InFlight:
		o.metrics.duplicates.Inc()
		return
	case dispatch.Answered:
		// The sub-request may have run; only the first reply has its outcome.
		reply(&pb.SubReply{Id: req.Id, Result: pb.Result_UNKNOWN, Detail: "this id was answered before"})
		o.metrics.duplicates.Inc()
		return
	case dispatch.Cancelled:
		o.refuse(it, dispatch.Refusal{Result: pb.Result_CANCELLED, Reason: dispatch.Tombstone})
		return
	case dispatch.Full:
		o.refuse(it, dispatch.Refusal{Result: pb.Result_QUEUE_FULL, Reason: dispatch.LedgerFull})
		return
	}
	e, refusal := o.prepare(now, it)
	if refusal != nil {
		o.refuse(it, *refusal)
		return
	}
	e.push(now, it)
}

// prepare sets the item's deadline and priority and returns its executor. It refuses items that
// arrive just after a pause of the process.
func (o *Owner) prepare(now time.Time, it *dispatch.Item) (*executor, *dispatch.Refusal) {
	if wait := o.resumesIn(now); wait > 0 {
		// The request may have waited in a socket buffer for the whole pause while its remaining
		// time did not decrease, and its sender may have given it up. Only the sender knows.
		return nil, &dispatch.Refusal{Result: pb.Result_SHED, Reason: dispatch.Paused, RetryAfter: wait}
	}
	it.Deadline = now.Add(time.Duration(it.Request.RemainingUs) * time.Microsecond)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.setPriority(it)
	return o.executorFor(it.Request.Upstream)
}

// setPriority sets the item's weight and priority from the customer's
// configuration. The caller holds mu.
func (o *Owner) setPriority(it *dispatch.Item) {
	it.Weight = 1
	it.Priority = pb.Priority_LOW
	c, ok := o.snapshot.Customer(it.Customer)
	if !ok {
		return
	}
	if k, ok := c.Kinds[it.Request.Kind]; ok {
		it.Weight = k.Weight
		it.Priority = k.Priority
	}
}

// executorFor returns the upstream's executor and creates it on first use. The
// caller holds mu.
func (o *Owner) executorFor(id string) (*executor, *dispatch.Refusal) {
	if o.stopping {
		return nil, &dispatch.Refusal{Result: pb.Result_VM_STOPPING, Reason: dispatch.Stopping}
	}
	if e := o.executors[id]; e != nil {
		return e, nil
	}
	u, ok := o.snapshot.Upstream(id)
	if !ok {
		return nil, &dispatch.Refusal{Result: pb.Result_NOT_OWNER, Reason: dispatch.NotOwner}
	}
	g := o.opts.Grant(u)
	if g.Slots == 0 {
		return nil, &dispatch.Refusal{Result: pb.Result_NOT_OWNER, Reason: dispatch.NotOwner}
	}
	e := o.newExecutor(u, g)
	o.executors[id] = e
	return e, nil
}

func (o *Owner) newExecutor(u *contract.Upstream, g Grant) *executor {
	e := &executor{
		owner:    o,
		upstream: u,
		granted:  g,
		client: upstream.NewClient(upstream.Options{
			Address:     u.Address,
			Connections: g.Connections,
			MaxReply:    o.opts.MaxReplyBytes,
			Metrics:     o.connMetrics,
			Dial:        o.opts.Dial,
		}),
		queue:   dispatch.New(dispatch.Options{Order: o.opts.Order, MaxQueue: o.opts.MaxQueue}),
		limiter: dispatch.NewLimiter(o.opts.Limit, g.Slots),
		health:  health.New(o.opts.Health, xxhash.Sum64String(u.ID)),
	}
	e.health.SetLeaving(u.Leaving)
	return e
}

// Cancel cancels a sub-request. A queued one is refused as not run, a running one
// is cancelled at the upstream, and one that has not arrived yet is refused as not
// run on arrival.
func (o *Owner) Cancel(key dispatch.Key, upstreamID string) {
	o.ledgerMu.Lock()
	open := o.ledger.Cancel(o.opts.Now(), key)
	o.ledgerMu.Unlock()
	if !open {
		o.metrics.cancels.WithLabelValues(cancelledNothing).Inc()
		return
	}
	o.mu.Lock()
	e := o.executors[upstreamID]
	o.mu.Unlock()
	if e != nil {
		e.cancel(key)
	}
}

func (o *Owner) allExecutors() []*executor {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]*executor, 0, len(o.executors))
	for _, e := range o.executors {
		out = append(out, e)
	}
	for e := range o.retiring {
		out = append(out, e)
	}
	return out
}

// Stop refuses new sub-requests and waits until all accepted ones are answered.
func (o *Owner) Stop() {
	o.mu.Lock()
	o.stopping = true
	o.mu.Unlock()
	executors := o.allExecutors()
	for _, e := range executors {
		e.stopAccepting()
	}
	o.ledgerMu.Lock()
	for o.ledger.OpenCount() > 0 {
		o.allAnswered.Wait()
	}
	o.ledgerMu.Unlock()
	for _, e := range executors {
		e.close()
	}
}

func (o *Owner) recordArrival(now time.Time, it *dispatch.Item) dispatch.ArrivalStatus {
	o.ledgerMu.Lock()
	defer o.ledgerMu.Unlock()
	return o.ledger.Arrive(now, it.Key, it.Request.Idempotent)
}

// suspended reports whether dispatching is suspended, because the process was
// paused or its view may be out of date.
func (o *Owner) suspended(now time.Time) bool {
	return o.resumesIn(now) > 0 || o.opts.ViewStale != nil && o.opts.ViewStale(now)
}

// resumesIn returns how long requests are distrusted because the process was paused; 0 if
// they are not.
func (o *Owner) resumesIn(now time.Time) time.Duration {
	o.pauseMu.Lock()
	defer o.pauseMu.Unlock()
	return o.pause.ResumesIn(now)
}

// refuse answers an item that did not run.
func (o *Owner) refuse(it *dispatch.Item, why dispatch.Refusal) {
	o.metrics.countRefusal(why)
	o.answer(it, &pb.SubReply{
		Id:           it.Request.Id,
		Result:       why.Result,
		RetryAfterMs: milliseconds(why.RetryAfter),
		Detail:       string(why.Reason),
	})
}

// answer closes the item in the ledger and sends its only reply.
func (o *Owner) answer(it *dispatch.Item, r *pb.SubReply) {
	o.ledgerMu.Lock()
	o.ledger.Close(it.Key)
	if o.ledger.OpenCount() == 0 {
		o.allAnswered.Broadcast()
	}
	o.ledgerMu.Unlock()
	it.Reply(r)
}

// milliseconds rounds up, so that a short duration does not become zero.
func milliseconds(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}
