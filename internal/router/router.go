// Package router tells a query where its sub-requests go: which snapshot, which
// replica, and through which VM. It holds what this VM knows of the fleet.
//
// Lock order: upstreamState.mu, pool.mu and budgets.mu are leaves: each is held
// alone and none across a send. There is one upstreamState for each upstream, so
// that no sub-request waits for one to another upstream.
package router

import (
	"sync"
	"sync/atomic"

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
	// Direct makes this VM the owner of every upstream: the baseline. It takes
	// the less loaded of two replicas drawn at random and never hedges.
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
	// changes counts what was learned of the upstreams' readiness.
	changes atomic.Uint64

	// upstreams holds *upstreamState by id; services the *pool and pins the
	// *pin of each service by name; budgets the *budgets by budgetKey.
	upstreams sync.Map
	services  sync.Map
	pins      sync.Map
	budgets   sync.Map
}

// world is what the router routes by; it is replaced as a whole.
type world struct {
	view  *membership.View
	table *ownership.Table
}

// New makes a router that knows no VM.
func New(opts Options) *Router {
	r := &Router{opts: opts, turn: turnOf(opts.VM)}
	r.world.Store(&world{view: &membership.View{}, table: ownership.Assign(nil, nil)})
	return r
}

// Update routes by a new view and table from now on, and forgets the upstreams
// that are no longer placed: they are replaced all the time, and what was learned of
// each would stay for the life of the process.
func (r *Router) Update(view *membership.View, table *ownership.Table) {
	r.world.Store(&world{view: view, table: table})
	if len(view.Serving()) == 0 {
		return
	}
	r.upstreams.Range(func(id, _ any) bool {
		if table.Place(id.(string)) == (ownership.Place{}) {
			r.upstreams.Delete(id)
		}
		return true
	})
}

// Send carries a sub-request to the owner of its upstream, or to the standby.
func (r *Router) Send(a *query.Action, f *pb.Frame) string {
	req := f.GetRequest()
	if r.opts.Direct {
		r.local(req)
		return r.opts.VM
	}
	w := r.world.Load()
	place := w.table.Place(a.Upstream.ID)
	vm := place.Owner
	if a.Standby {
		vm = place.Standby
	}
	if r.sendTo(w, vm, f) {
		return vm
	}
	r.opts.Deliver(&pb.SubReply{Id: req.Id, Result: pb.Result_OWNER_UNREACHABLE})
	return ""
}

// sendTo is true when the VM took the sub-request, or may have.
func (r *Router) sendTo(w *world, vm string, f *pb.Frame) bool {
	if vm == r.opts.VM {
		r.local(f.GetRequest())
		return true
	}
	m, ok := w.view.Find(vm)
	return ok && r.opts.Peers.Send(m.PeerAddress, f)
}

func (r *Router) local(req *pb.SubRequest) {
	r.opts.Owner.Submit(r.key(req.Id), req, r.opts.Deliver)
}

func (r *Router) key(id uint64) dispatch.Key {
	return dispatch.Key{VM: r.opts.VM, Incarnation: r.opts.Incarnation, ID: id}
}

// Cancel withdraws a sub-request from the VM it was sent to. The upstream may
// have another owner by now: asked there, the cancel would find nothing and the
// sub-request would keep its slot.
func (r *Router) Cancel(vm, upstream string, id uint64) {
	if vm == r.opts.VM {
		r.opts.Owner.Cancel(r.key(id), upstream)
		return
	}
	if m, ok := r.world.Load().view.Find(vm); ok {
		r.opts.Peers.Send(m.PeerAddress, &pb.Frame{Body: &pb.Frame_Cancel{Cancel: &pb.Cancel{Id: id, Upstream: upstream}}})
	}
}

type budgetKey struct{ customer, kind string }

// budgets are those of one customer and kind.
type budgets struct {
	mu           sync.Mutex
	hedge, retry *retry.Budget
}

// Earn adds what n first sub-requests allow to the kind's budgets.
func (r *Router) Earn(k *contract.Kind, n int) {
	b := r.budget(k)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hedge.SetPercent(k.HedgePercent)
	b.retry.SetPercent(k.RetryPercent)
	b.hedge.Earn(n)
	b.retry.Earn(n)
}

// Spend takes one extra sub-request from the kind's budget.
func (r *Router) Spend(k *contract.Kind, cause query.Cause) bool {
	b := r.budget(k)
	b.mu.Lock()
	defer b.mu.Unlock()
	if cause == query.Hedge {
		return !r.opts.Direct && b.hedge.Spend()
	}
	return b.retry.Spend()
}

func (r *Router) budget(k *contract.Kind) *budgets {
	key := budgetKey{k.Customer, k.Name}
	if b, ok := r.budgets.Load(key); ok {
		return b.(*budgets)
	}
	b, _ := r.budgets.LoadOrStore(key, &budgets{
		hedge: retry.NewBudget(k.HedgePercent),
		retry: retry.NewBudget(k.RetryPercent),
	})
	return b.(*budgets)
}
