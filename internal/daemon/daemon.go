// Package daemon wires the parts of one VM's process together and runs them
// until a planned stop. It holds no policy.
//
// Lock order: Daemon.mu before owner.Owner.mu; Daemon.mu is not held across I/O.
package daemon

import (
	"cmp"
	"context"
	"errors"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"sycamorekeel.example/sycamorekeel/internal/callerapi"
	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/dispatch"
	"sycamorekeel.example/sycamorekeel/internal/explain"
	"sycamorekeel.example/sycamorekeel/internal/frontend"
	"sycamorekeel.example/sycamorekeel/internal/gossip"
	"sycamorekeel.example/sycamorekeel/internal/health"
	"sycamorekeel.example/sycamorekeel/internal/logring"
	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/operatorapi"
	"sycamorekeel.example/sycamorekeel/internal/owner"
	"sycamorekeel.example/sycamorekeel/internal/ownership"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/peer"
	"sycamorekeel.example/sycamorekeel/internal/peerauth"
	"sycamorekeel.example/sycamorekeel/internal/poison"
	"sycamorekeel.example/sycamorekeel/internal/query"
	"sycamorekeel.example/sycamorekeel/internal/router"
	"sycamorekeel.example/sycamorekeel/internal/share"
)

const (
	explainRequests = 256
)

// Options is what a daemon needs besides its settings. A nil listener is opened
// at the address in the settings.
type Options struct {
	Log      *zap.Logger
	Caller   net.Listener
	Operator net.Listener
	Peer     net.Listener
	// Gossip is the UDP socket at the peer address.
	Gossip net.PacketConn
	// DialPeer and DialUpstream open TCP connections; nil dials plainly. Tests
	// of failures hand in dialers whose connections they can cut.
	DialPeer     func(ctx context.Context, address string) (net.Conn, error)
	DialUpstream func(address string, timeout time.Duration) (net.Conn, error)
	// ShareLease is the life of loans between home VMs, the same on all VMs; 0
	// is the default. Tests shorten it, as a start waits for it.
	ShareLease time.Duration
}

// Daemon is one VM's process.
type Daemon struct {
	settings    *pb.Settings
	log         *zap.Logger
	incarnation uint64
	registry    *prometheus.Registry
	listeners   Options

	engine   *query.Engine
	router   *router.Router
	owner    *owner.Owner
	pool     *peer.Pool
	server   *peer.Server
	front    *frontend.Frontend
	forwards *forwards
	// operations answers callers through front, at most once where that counts.
	operations *frontend.Operations
	caller     *callerapi.Server
	operator   *operatorapi.Server
	gossip     *gossip.Driver
	// poison keeps requests that crash upstreams from them.
	poison *poison.Guard
	auth   *peerauth.Authority
	// ended has the reason for an end that was not asked for.
	ended  chan error
	shares *shares
	status *statusHub

	// table is read by the owner while mu is held.
	table    atomic.Pointer[ownership.Table]
	snapshot atomic.Pointer[contract.Snapshot]
	view     atomic.Pointer[membership.View]
	stopping atomic.Bool
	stops    stops

	config *configSync

	mu sync.Mutex
}

// New wires a daemon; Run starts it.
func New(s *pb.Settings, opts Options) (*Daemon, error) {
	d := &Daemon{
		settings:    s,
		log:         opts.Log,
		incarnation: uint64(time.Now().UnixMicro()),
		registry:    prometheus.NewRegistry(),
		listeners:   opts,
		ended:       make(chan error, 1),
		stops:       stops{halt: make(chan struct{})},
	}
	d.shares = newShares(d, share.Timing{Lease: cmp.Or(opts.ShareLease, share.DefaultLease)})
	d.status = newStatusHub(d.learnStatus)
	d.table.Store(ownership.Assign(nil, nil))
	d.snapshot.Store(contract.Compile(0, nil))
	d.view.Store(&membership.View{})
	auth, err := peerauth.New(s.Vm, s.PeerKeys)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	d.auth = auth
	d.poison = poison.New(logring.Loggers{Changes: d.log, Failures: d.log, Samples: d.log}, poison.NewMetrics(d.registry))
	d.registry.MustRegister(d.poison)
	d.gossip = d.newGossip()
	d.config = newConfigSync(d)
	d.wirePath()
	return d, d.wireInterfaces()
}

// wirePath builds the request's way, from the upstreams back to the frontend.
func (d *Daemon) wirePath() {
	d.owner = owner.New(owner.Options{
		Log:           d.log,
		Registry:      d.registry,
		Grant:         d.grant,
		Status:        d.status,
		MaxQueue:      int(d.settings.Limits.MaxQueue),
		MaxReplyBytes: int(d.settings.Limits.MaxReplyBytes),
		Now:           time.Now,
		Health:        health.DefaultOptions(),
		Ledger:        dispatch.DefaultLedger(),
		Pause:         owner.DefaultPause(),
		Dial:          d.listeners.DialUpstream,
		InDoubt:       d.gossip.InDoubt,
	})
	d.pool = peer.NewPool(peer.Options{
		Log:      d.log,
		Registry: d.registry,
		Hello:    &pb.Hello{Vm: d.settings.Vm, Incarnation: d.incarnation},
		Receiver: (*receiver)(d),
		Dial:     d.auth.Dialer(d.listeners.DialPeer),
	})
	d.router = router.New(router.Options{
		Log:         d.log,
		VM:          d.settings.Vm,
		Incarnation: d.incarnation,
		Direct:      d.settings.Routing == pb.Routing_DIRECT,
		Owner:       d.owner,
		Peers:       d.pool,
		Deliver:     func(r *pb.SubReply) { d.engine.Deliver(r) },
	})
	d.engine = query.NewEngine(query.EngineOptions{
		Fleet:   d.router,
		Sender:  d.router,
		Loops:   runtime.GOMAXPROCS(0),
		Now:     time.Now,
		Metrics: query.NewMetrics(d.registry),
	})
}

func (d *Daemon) wireInterfaces() error {
	ring := explain.NewRing(explainRequests)
	d.front = frontend.New(frontend.Options{
		Log:       d.log,
		Registry:  d.registry,
		Engine:    d.engine,
		Admission: d.shares,
		Pinner:    d.router,
		Explain:   ring,
		Poison:    d.poison,
		Now:       time.Now,
		Unbounded: d.settings.Routing == pb.Routing_DIRECT,
	})
	d.forwards = newForwards(d)
	d.operations = d.newOperations()
	d.caller = callerapi.New(callerapi.Options{
		Log:        d.log,
		Limits:     d.settings.Limits,
		Backend:    d,
		Frontend:   d.front,
		Operations: d.operations,
	})
	d.operator = operatorapi.New(operatorapi.Options{
		Log:         d.log,
		Gatherer:    d.registry,
		Backend:     d,
		Explain:     ring,
		TokenSHA256: d.settings.OperatorTokenSha256,
	})
	server, err := peer.NewServer(d.log, (*peerHandler)(d))
	if err != nil {
		return trace.Wrap(err)
	}
	d.server = server
	d.server.Identify(peerauth.PeerName)
	return nil
}

// Run serves until ctx ends, then stops as planned: requests in flight finish.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.listen(); err != nil {
		return trace.Wrap(err)
	}
	// The parts outlive ctx: a planned stop needs them to finish requests.
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	d.engine.Start(run)
	group, run := errgroup.WithContext(run)
	group.Go(func() error { return d.config.run(run) })
	group.Go(func() error { return d.shares.run(run) })
	group.Go(func() error { return d.owner.Run(run) })
	group.Go(func() error { return d.server.Serve(run, d.auth.Listen(d.listeners.Peer)) })
	group.Go(func() error { return d.gossip.Run(run, d.listeners.Gossip) })
	group.Go(func() error { return d.poison.Run(run, d.gossip) })
	group.Go(func() error { return d.caller.Serve(d.listeners.Caller) })
	group.Go(func() error { return d.operator.Serve(d.listeners.Operator) })
	d.log.Info("daemon: started", zap.String("callers", d.listeners.Caller.Addr().String()))
	var ended error
	select {
	case <-ctx.Done():
	case <-run.Done():
	case ended = <-d.ended:
		d.log.Error("daemon: must not go on", zap.Error(ended))
	}
	d.stop(ended == nil)
	d.forwards.close()
	cancel()
	d.engine.Wait()
	d.pool.Close()
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	err = trace.NewAggregate(ended, err)
	d.log.Info("daemon: stopped", zap.Error(err))
	return trace.Wrap(err)
}

func (d *Daemon) listen() error {
	var errs []error
	open := func(ln *net.Listener, address string) {
		if *ln != nil {
			return
		}
		l, err := net.Listen("tcp", address)
		*ln = l
		errs = append(errs, err)
	}
	open(&d.listeners.Caller, d.settings.CallerAddress)
	open(&d.listeners.Operator, d.settings.OperatorAddress)
	open(&d.listeners.Peer, d.settings.PeerAddress)
	if d.listeners.Gossip == nil {
		conn, err := net.ListenPacket("udp", d.settings.PeerAddress)
		d.listeners.Gossip = conn
		errs = append(errs, err)
	}
	return trace.NewAggregate(errs...)
}

// apply routes by a new view or snapshot. The caller holds mu.
func (d *Daemon) apply(view *membership.View, snap *contract.Snapshot) {
	d.view.Store(view)
	table := d.tableFor(view, func(serving []membership.Member) *ownership.Table {
		return ownership.Assign(serving, snap.Upstreams())
	})
	d.table.Store(table)
	d.router.Update(view, table)
	d.owner.Apply(snap)
}
