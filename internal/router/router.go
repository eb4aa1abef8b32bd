// Package router tells a query where its sub-requests go: which replica, which
// owner VM, and over which way. It holds what this VM knows of the fleet.
//
// Lock order: Router.mu is a leaf; it is not held across a send.
package router

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/dispatch"
	"sycamorekeel.example/sycamorekeel/internal/latency"
	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/ownership"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/query"
	"sycamorekeel.example/sycamorekeel/internal/retry"
)

// Hedge delays: the quantile waited for, the delay while little is known, and
// the least delay.
const (
	hedgeQuantile = 0.95
	hedgeUnknown  = 50 * time.Millisecond
	hedgeLeast    = time.Millisecond
)

// LocalOwner runs sub-requests on this VM.
type LocalOwner interface {
	Submit(key dispatch.Key, req *pb.SubRequest, reply func(*pb.SubReply))
	Cancel(key dispatch.Key, upstream string)
}

// Peers sends frames to other VMs; false means that the frame was never sent.
type Peers interface {
	Send(address string, f *pb.Frame) bool
}

// Options is what a router needs.
type Options struct {
	Log         *zap.Logger
	VM          string
	Incarnation uint64
	// Direct makes this VM the owner of every upstream: the baseline.
	Direct  bool
	Owner   LocalOwner
	Peers   Peers
	Deliver func(*pb.SubReply)
}

// Router implements query.Fleet and query.Sender.
type Router struct {
	opts  Options
	world atomic.Pointer[world]

	mu        sync.Mutex
	upstreams map[string]*upstreamState
	budgets   map[budgetKey]*budgets
}

// world is what the router routes by; it is replaced as a whole.
type world struct {
	view  *membership.View
	table *ownership.Table
}

type budgetKey struct{ customer, kind string }

type budgets struct{ hedge, retry *retry.Budget }

// upstreamState is what replies have taught about an upstream.
type upstreamState struct {
	latency latency.Tracker
	open    int
}

// New makes a router that knows no VM.
func New(opts Options) *Router {
	r := &Router{opts: opts, upstreams: map[string]*upstreamState{}, budgets: map[budgetKey]*budgets{}}
	r.world.Store(&world{view: &membership.View{}, table: ownership.Assign(nil, nil)})
	return r
}

// Update routes by a new view and table from now on.
func (r *Router) Update(view *membership.View, table *ownership.Table) {
	r.world.Store(&world{view: view, table: table})
}

// Replica is the replica with the fewest sub-requests open from here, the
// faster one among equals.
func (r *Router) Replica(_ time.Time, shard *contract.Shard, _ *pb.Snapshot, except []*contract.Upstream) *contract.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *contract.Upstream
	var bestCost float64
	for _, u := range shard.Replicas {
		if u.Leaving || contains(except, u) {
			continue
		}
		if cost := r.cost(u); best == nil || cost < bestCost {
			best, bestCost = u, cost
		}
	}
	return best
}

func (r *Router) cost(u *contract.Upstream) float64 {
	st := r.upstream(u.ID)
	median, ok := st.latency.Quantile(0.5)
	if !ok {
		median = hedgeLeast
	}
	return float64(st.open+1) * median.Seconds()
}

// HedgeDelay is the upstream's tail quantile.
func (r *Router) HedgeDelay(u *contract.Upstream) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, ok := r.upstream(u.ID).latency.Quantile(hedgeQuantile)
	if !ok {
		return hedgeUnknown
	}
	return max(d, hedgeLeast)
}

// Spend takes one extra sub-request from the kind's budget.
func (r *Router) Spend(_ time.Time, k *contract.Kind, cause query.Cause) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budget(k.Customer, k.Name)
	if cause == query.Hedge {
		return b.hedge.Spend()
	}
	return b.retry.Spend()
}

// Send carries a sub-request to the owner of its upstream.
func (r *Router) Send(s *query.Send, req *pb.SubRequest) {
	r.noteSend(s, req)
	if r.opts.Direct {
		r.local(req)
		return
	}
	w := r.world.Load()
	place := w.table.Place(s.Upstream.ID)
	if r.sendTo(w, place.Owner, req) || r.sendTo(w, place.Standby, req) {
		return
	}
	r.opts.Deliver(&pb.SubReply{Id: req.Id, Result: pb.Result_UNREACHABLE})
}

func (r *Router) noteSend(s *query.Send, req *pb.SubRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.upstream(req.Upstream).open++
	if s.Cause != query.First {
		return
	}
	b := r.budget(req.Customer, req.Kind)
	b.hedge.Earn(1, s.Kind.HedgePercent)
	b.retry.Earn(1, s.Kind.RetryPercent)
}

// sendTo is true when the VM took the sub-request, or may have.
func (r *Router) sendTo(w *world, vm string, req *pb.SubRequest) bool {
	if vm == r.opts.VM {
		r.local(req)
		return true
	}
	m, ok := w.view.Find(vm)
	if !ok {
		return false
	}
	return r.opts.Peers.Send(m.PeerAddress, &pb.Frame{Body: &pb.Frame_Request{Request: req}})
}

func (r *Router) local(req *pb.SubRequest) {
	r.opts.Owner.Submit(r.key(req.Id), req, r.opts.Deliver)
}

func (r *Router) key(id uint64) dispatch.Key {
	return dispatch.Key{VM: r.opts.VM, Incarnation: r.opts.Incarnation, ID: id}
}

// Cancel withdraws a sub-request wherever it was sent.
func (r *Router) Cancel(c *query.Cancel, id uint64) {
	r.closed(c.Upstream.ID)
	w := r.world.Load()
	place := w.table.Place(c.Upstream.ID)
	if r.opts.Direct || place.Owner == r.opts.VM {
		r.opts.Owner.Cancel(r.key(id), c.Upstream.ID)
		return
	}
	if m, ok := w.view.Find(place.Owner); ok {
		r.opts.Peers.Send(m.PeerAddress, &pb.Frame{Body: &pb.Frame_Cancel{Cancel: &pb.Cancel{Id: id, Upstream: c.Upstream.ID}}})
	}
}

// Observe learns from a reply of an upstream.
func (r *Router) Observe(upstream string, rep *pb.SubReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.upstream(upstream)
	st.open = max(0, st.open-1)
	if rep.Result == pb.Result_OK {
		st.latency.Observe(time.Duration(rep.ServiceUs+rep.QueueUs) * time.Microsecond)
	}
}

func (r *Router) closed(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.upstream(upstream)
	st.open = max(0, st.open-1)
}

func (r *Router) upstream(id string) *upstreamState {
	st := r.upstreams[id]
	if st == nil {
		st = &upstreamState{}
		r.upstreams[id] = st
	}
	return st
}

func (r *Router) budget(customer, kind string) *budgets {
	key := budgetKey{customer, kind}
	b := r.budgets[key]
	if b == nil {
		b = &budgets{hedge: retry.NewBudget(), retry: retry.NewBudget()}
		r.budgets[key] = b
	}
	return b
}

func contains(list []*contract.Upstream, u *contract.Upstream) bool {
	for _, v := range list {
		if v.ID == u.ID {
			return true
		}
	}
	return false
}
