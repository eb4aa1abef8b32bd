// Package router selects the snapshot, the replica and the VM for the sub-requests
// of a query, from what this VM knows of the fleet.
//
// Lock order: upstreamState.mu, serviceLatency.mu and budgets.mu are leaf locks:
// each is held alone and none while sending. Each upstream has its own
// upstreamState, so that sub-requests to different upstreams do not wait for each
// other.
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

// LocalOwner executes sub-requests on this VM.
type LocalOwner interface {
	Submit(key dispatch.Key, req *pb.SubRequest, reply func(*pb.SubReply))
	Cancel(key dispatch.Key, upstream string)
}

// Peers sends frames to other VMs. Send returns false only if the frame was not sent.
type Peers interface {
	Send(address string, f *pb.Frame) bool
}

// Options configures a Router.
type Options struct {
	Log         *zap.Logger
	VM          string
	Incarnation uint64
	// Direct is the baseline mode: this VM acts as owner of every upstream, picks
	// the less loaded of two random replicas and never hedges.
	Direct  bool
	Owner   LocalOwner
	Peers   Peers
	Deliver func(*pb.SubReply)
}

// Router implements query.UpstreamPolicy and query.Sender.
type Router struct {
	opts     Options
	rotation uint64
	state    atomic.Pointer[routingState]
	// changes counts changes of the upstreams' readiness.
	changes atomic.Uint64

	// upstreams maps upstream ids to *upstreamState; services and pins map service
	// names to *serviceLatency and *pinCache; budgets maps budgetKey to *budgets.
	upstreams sync.Map
	services  sync.Map
	pins      sync.Map
	budgets   sync.Map
}

// routingState is the membership view and the ownership table in use. It is
// replaced as a whole.
type routingState struct {
	view  *membership.View
	table *ownership.Table
}

// New returns a router without members; Update provides them.
func New(opts Options) *Router {
	r := &Router{opts: opts, rotation: initialRotation(opts.VM)}
	r.state.Store(&routingState{view: &membership.View{}, table: ownership.Assign(nil, nil)})
	return r
}

// Update installs a new view and table and drops the state of upstreams that the
// table no longer places. Upstreams are replaced all the time, so their state would
// otherwise accumulate for the life of the process. Nothing is dropped while the
// view has no serving VM.
func (r *Router) Update(view *membership.View, table *ownership.Table) {
	r.state.Store(&routingState{view: view, table: table})
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

// Send sends a sub-request to the owner of its upstream, or to the standby if the
// action asks for it, and returns the VM. If that VM is unreachable, Send delivers
// an OWNER_UNREACHABLE reply and returns "".
func (r *Router) Send(a *query.Action, f *pb.Frame) string {
	req := f.GetRequest()
	if r.opts.Direct {
		r.submitLocal(req)
		return r.opts.VM
	}
	state := r.state.Load()
	place := state.table.Place(a.Upstream.ID)
	vm := place.Owner
	if a.Standby {
		vm = place.Standby
	}
	if r.sendTo(state, vm, f) {
		return vm
	}
	r.opts.Deliver(&pb.SubReply{Id: req.Id, Result: pb.Result_OWNER_UNREACHABLE})
	return ""
}

// sendTo sends the frame to the VM. It returns true if the VM received the
// sub-request or may have, and false if the frame was not sent.
func (r *Router) sendTo(state *routingState, vm string, f *pb.Frame) bool {
	if vm == r.opts.VM {
		r.submitLocal(f.GetRequest())
		return true
	}
	m, ok := state.view.Find(vm)
	return ok && r.opts.Peers.Send(m.PeerAddress, f)
}

func (r *Router) submitLocal(req *pb.SubRequest) {
	r.opts.Owner.Submit(r.dispatchKey(req.Id), req, r.opts.Deliver)
}

func (r *Router) dispatchKey(id uint64) dispatch.Key {
	return dispatch.Key{VM: r.opts.VM, Incarnation: r.opts.Incarnation, ID: id}
}

// Cancel withdraws a sub-request from the VM it was sent to. The upstream's current
// owner may be another VM, which does not know the sub-request: a cancel sent there
// would have no effect and the sub-request would keep its slot.
func (r *Router) Cancel(vm, upstream string, id uint64) {
	if vm == r.opts.VM {
		r.opts.Owner.Cancel(r.dispatchKey(id), upstream)
		return
	}
	if m, ok := r.state.Load().view.Find(vm); ok {
		r.opts.Peers.Send(m.PeerAddress, &pb.Frame{Body: &pb.Frame_Cancel{Cancel: &pb.Cancel{Id: id, Upstream: upstream}}})
	}
}

type budgetKey struct{ customer, kind string }

// budgets holds the hedge and retry budgets of one customer and kind.
type budgets struct {
	mu           sync.Mutex
	hedge, retry *retry.Budget
}

// Earn credits the kind's hedge and retry budgets for n first sub-requests.
func (r *Router) Earn(k *contract.Kind, n int) {
	b := r.budgetsFor(k)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hedge.SetPercent(k.HedgePercent)
	b.retry.SetPercent(k.RetryPercent)
	b.hedge.Earn(n)
	b.retry.Earn(n)
}

// Spend takes one extra sub-request from the budget for the cause and reports
// whether the budget allows it. In direct mode hedges are never allowed.
func (r *Router) Spend(k *contract.Kind, cause query.Cause) bool {
	b := r.budgetsFor(k)
	b.mu.Lock()
	defer b.mu.Unlock()
	if cause == query.Hedge {
		return !r.opts.Direct && b.hedge.Spend()
	}
	return b.retry.Spend()
}

func (r *Router) budgetsFor(k *contract.Kind) *budgets {
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
