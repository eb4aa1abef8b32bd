// Package router tells a query where its sub-requests go: which replica, which
// owner VM, and over which way. It holds what this VM knows of the fleet.
//
// Lock order: Router.mu, upstreamState.mu and pool.mu are leaves: each is held
// alone and none across a send. There is one upstreamState for each upstream, so
// that no sub-request waits for one to another upstream.
package router

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/dispatch"
	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/ownership"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/query"
	"sycamorekeel.example/sycamorekeel/internal/retry"
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
	turn  uint64
	world atomic.Pointer[world]

	// upstreams holds *upstreamState by id, services the *pool of each.
	upstreams sync.Map
	services  sync.Map

	mu      sync.Mutex
	budgets map[budgetKey]*budgets
}

// world is what the router routes by; it is replaced as a whole.
type world struct {
	view  *membership.View
	table *ownership.Table
}

type budgetKey struct{ customer, kind string }

type budgets struct{ hedge, retry *retry.Budget }

// New makes a router that knows no VM.
func New(opts Options) *Router {
	r := &Router{opts: opts, turn: turnOf(opts.VM), budgets: map[budgetKey]*budgets{}}
	r.world.Store(&world{view: &membership.View{}, table: ownership.Assign(nil, nil)})
	return r
}

// Update routes by a new view and table from now on.
func (r *Router) Update(view *membership.View, table *ownership.Table) {
	r.world.Store(&world{view: view, table: table})
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
	if s.Cause != query.First {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
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

func (r *Router) budget(customer, kind string) *budgets {
	key := budgetKey{customer, kind}
	b := r.budgets[key]
	if b == nil {
		b = &budgets{hedge: retry.NewBudget(), retry: retry.NewBudget()}
		r.budgets[key] = b
	}
	return b
}
