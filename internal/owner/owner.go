// Package owner runs the sub-requests of the upstreams this VM owns: one queue,
// one set of slots, one view of its health and one set of connections for each.
// It carries out what dispatch and health decide.
//
// Lock order: Owner.mu, then emitMu, then station.mu, then ledgerMu or pauseMu;
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

// StatusSink is told what the owner believes of its upstreams. Its methods must
// not block; calls for one upstream come in order.
type StatusSink interface {
	// UpstreamChanged gives the present status of an owned upstream.
	UpstreamChanged(*pb.UpstreamStatus)
	// UpstreamLost tells that this VM owns it no longer.
	UpstreamLost(id string)
}

// Options is what an owner needs.
type Options struct {
	Log      *zap.Logger
	Registry prometheus.Registerer
	// Grant is what this VM may use of an upstream now.
	Grant         func(*contract.Upstream) Grant
	Status        StatusSink
	MaxQueue      int
	MaxReplyBytes int
	Now           func() time.Time
	// Dial opens a connection to an upstream; nil dials plainly.
	Dial   func(address string, timeout time.Duration) (net.Conn, error)
	Order  dispatch.Order
	Limit  dispatch.LimitPolicy
	Health health.Options
	Ledger dispatch.LedgerOptions
	Pause  dispatch.PauseOptions
	// InDoubt tells that this VM's views may be out of date, so that it may own
	// nothing any more: nothing is dispatched meanwhile. Nil never does.
	InDoubt func(now time.Time) bool
}

// DefaultPause is a second without a tick, and a tenth to read what waited.
func DefaultPause() dispatch.PauseOptions {
	return dispatch.PauseOptions{Gap: time.Second, Settle: 100 * time.Millisecond}
}

// Owner is the stations of this VM.
type Owner struct {
	opts  Options
	log   *zap.Logger
	met   *metrics
	conns *upstream.Metrics

	mu       sync.Mutex
	snapshot *contract.Snapshot
	stations map[string]*station
	// retiring are the stations of upstreams that are gone or replaced.
	retiring map[*station]struct{}
	stopping bool

	// emitMu keeps the calls of Status in order.
	emitMu sync.Mutex

	ledgerMu sync.Mutex
	ledger   *dispatch.Ledger
	// allClosed is signalled when no sub-request is open.
	allClosed *sync.Cond

	pauseMu sync.Mutex
	pause   *dispatch.Pause
	wasHeld bool
}

// New makes an owner with no stations; Apply gives it some and Run tends them.
func New(opts Options) *Owner {
	o := &Owner{
		opts:     opts,
		log:      opts.Log,
		met:      newMetrics(opts.Registry),
		conns:    upstream.NewMetrics(opts.Registry),
		snapshot: contract.Compile(0, nil),
		stations: map[string]*station{},
		retiring: map[*station]struct{}{},
		ledger:   dispatch.NewLedger(opts.Ledger),
		pause:    dispatch.NewPause(opts.Pause),
	}
	o.allClosed = sync.NewCond(&o.ledgerMu)
	return o
}

// Apply takes on a new configuration or ownership. A station that is no longer
// granted answers what waits as not run, and ends when what it runs has ended.
// Owned upstreams get a station at once, so that they are probed.
func (o *Owner) Apply(snap *contract.Snapshot) {
	owned := o.owned(snap)
	o.mu.Lock()
	o.snapshot = snap
	var refused []dispatch.Refused
	for id, st := range o.stations {
		refused = append(refused, o.regrant(id, st)...)
	}
	if !o.stopping {
		o.startOwned(owned)
	}
	o.mu.Unlock()
	for _, r := range refused {
		o.refuse(r.Item, r.Refusal)
	}
	for _, st := range o.all() {
		st.tick(o.opts.Now())
	}
}

// regrant tells a station what it may use from now on. The caller holds mu.
func (o *Owner) regrant(id string, st *station) []dispatch.Refused {
	u, ok := o.snapshot.Upstream(id)
	if ok && !st.replaced(u) {
		return st.grant(u, o.opts.Grant(u))
	}
	delete(o.stations, id)
	o.retiring[st] = struct{}{}
	return st.grant(nil, Grant{})
}

// owned is the upstreams that this VM owns; sub-requests go on meanwhile.
func (o *Owner) owned(snap *contract.Snapshot) []*contract.Upstream {
	var out []*contract.Upstream
	for _, u := range snap.Upstreams() {
		if o.opts.Grant(u).Role == Main {
			out = append(out, u)
		}
	}
	return out
}

// startOwned starts the missing stations of owned upstreams. The caller holds mu.
func (o *Owner) startOwned(owned []*contract.Upstream) {
	for _, u := range owned {
		if o.stations[u.ID] == nil {
			o.stations[u.ID] = o.newStation(u, o.opts.Grant(u))
		}
	}
}

// Submit queues a sub-request. Reply is called once, maybe before Submit
// returns; for an id that is open already it is not called, as the first call
// answers.
func (o *Owner) Submit(key dispatch.Key, req *pb.SubRequest, reply func(*pb.SubReply)) {
	now := o.opts.Now()
	it := &dispatch.Item{Key: key, Customer: req.Customer, Arrived: now, Request: req, Reply: reply}
	switch o.arrive(now, it) {
	case dispatch.Open:
		o.met.duplicates.Inc()
		return
	case dispatch.Answered:
		// It may have run: only the first answer says.
		reply(&pb.SubReply{Id: req.Id, Result: pb.Result_UNKNOWN, Detail: "this id was answered before"})
		o.met.duplicates.Inc()
		return
	case dispatch.Cancelled:
		o.refuse(it, dispatch.Refusal{Result: pb.Result_CANCELLED, Reason: dispatch.Tombstone})
		return
	case dispatch.Full:
		o.refuse(it, dispatch.Refusal{Result: pb.Result_QUEUE_FULL, Reason: dispatch.LedgerFull})
		return
	}
	st, refusal := o.prepare(now, it)
	if refusal != nil {
		o.refuse(it, *refusal)
		return
	}
	st.push(now, it)
}

// prepare finds the item's station and fills in its deadline and rank.
func (o *Owner) prepare(now time.Time, it *dispatch.Item) (*station, *dispatch.Refusal) {
	remaining := time.Duration(it.Request.RemainingUs) * time.Microsecond
	if held, gap := o.held(now); held {
		// It may have waited in a socket for the whole pause, with its
		// remaining time standing still: without this an owner that wakes
		// would run work that was given up long ago.
		remaining -= gap
		if remaining <= 0 {
			return nil, &dispatch.Refusal{Result: pb.Result_TOO_LATE, Reason: dispatch.Paused}
		}
	}
	it.Deadline = now.Add(remaining)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rank(it)
	return o.station(it.Request.Upstream)
}

// rank fills in what the contract says of the item. The caller holds mu.
func (o *Owner) rank(it *dispatch.Item) {
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

// station finds the upstream's station, starting it on first use. The caller
// holds mu.
func (o *Owner) station(id string) (*station, *dispatch.Refusal) {
	if o.stopping {
		return nil, &dispatch.Refusal{Result: pb.Result_VM_STOPPING, Reason: dispatch.Stopping}
	}
	if st := o.stations[id]; st != nil {
		return st, nil
	}
	u, ok := o.snapshot.Upstream(id)
	if !ok {
		return nil, &dispatch.Refusal{Result: pb.Result_NOT_OWNER, Reason: dispatch.NotOwner}
	}
	g := o.opts.Grant(u)
	if g.Slots == 0 {
		return nil, &dispatch.Refusal{Result: pb.Result_NOT_OWNER, Reason: dispatch.NotOwner}
	}
	st := o.newStation(u, g)
	o.stations[id] = st
	return st, nil
}

func (o *Owner) newStation(u *contract.Upstream, g Grant) *station {
	st := &station{
		owner:    o,
		upstream: u,
		granted:  g,
		client: upstream.NewClient(upstream.Options{
			Address:     u.Address,
			Connections: g.Connections,
			MaxReply:    o.opts.MaxReplyBytes,
			Metrics:     o.conns,
			Dial:        o.opts.Dial,
		}),
		queue:   dispatch.New(dispatch.Options{Order: o.opts.Order, MaxQueue: o.opts.MaxQueue}),
		limiter: dispatch.NewLimiter(o.opts.Limit, g.Slots),
		health:  health.New(o.opts.Health, xxhash.Sum64String(u.ID)),
	}
	st.health.SetLeaving(u.Leaving)
	return st
}

// Cancel withdraws a sub-request: a waiting one is answered as not run, one that
// runs is cancelled at the upstream, and one that has not come yet is answered
// as not run when it comes.
func (o *Owner) Cancel(key dispatch.Key, upstreamID string) {
	o.ledgerMu.Lock()
	open := o.ledger.Cancel(o.opts.Now(), key)
	o.ledgerMu.Unlock()
	if !open {
		o.met.cancels.WithLabelValues(metNothing).Inc()
		return
	}
	o.mu.Lock()
	st := o.stations[upstreamID]
	o.mu.Unlock()
	if st != nil {
		st.cancel(key)
	}
}

func (o *Owner) all() []*station {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]*station, 0, len(o.stations))
	for _, st := range o.stations {
		out = append(out, st)
	}
	for st := range o.retiring {
		out = append(out, st)
	}
	return out
}

// Stop refuses new work and waits until what was taken in is answered.
func (o *Owner) Stop() {
	o.mu.Lock()
	o.stopping = true
	o.mu.Unlock()
	stations := o.all()
	for _, st := range stations {
		st.refuseNew()
	}
	o.ledgerMu.Lock()
	for o.ledger.OpenCount() > 0 {
		o.allClosed.Wait()
	}
	o.ledgerMu.Unlock()
	for _, st := range stations {
		st.shut()
	}
}

func (o *Owner) arrive(now time.Time, it *dispatch.Item) dispatch.Sighting {
	o.ledgerMu.Lock()
	defer o.ledgerMu.Unlock()
	return o.ledger.Arrive(now, it.Key, it.Request.Idempotent)
}

// held tells whether nothing is dispatched now since the process was paused.
func (o *Owner) held(now time.Time) (bool, time.Duration) {
	o.pauseMu.Lock()
	held, gap := o.pause.Check(now)
	o.pauseMu.Unlock()
	if held || o.opts.InDoubt == nil {
		return held, gap
	}
	// What arrives by now was sent after the pause: no time is taken off it.
	return o.opts.InDoubt(now), 0
}

// refuse answers an item that did not run.
func (o *Owner) refuse(it *dispatch.Item, why dispatch.Refusal) {
	o.met.refused(why)
	o.answer(it, &pb.SubReply{
		Id:           it.Request.Id,
		Result:       why.Result,
		RetryAfterMs: milliseconds(why.RetryAfter),
		Detail:       string(why.Reason),
	})
}

// answer gives the one reply of an item.
func (o *Owner) answer(it *dispatch.Item, r *pb.SubReply) {
	o.ledgerMu.Lock()
	o.ledger.Close(it.Key)
	if o.ledger.OpenCount() == 0 {
		o.allClosed.Broadcast()
	}
	o.ledgerMu.Unlock()
	it.Reply(r)
}

// milliseconds rounds up, so that a short time does not become none.
func milliseconds(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}
