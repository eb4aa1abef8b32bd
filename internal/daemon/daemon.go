// Package daemon connects the components of one VM's process and runs them until a
// planned stop. It contains no policy of its own.
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
	"sycamorekeel.example/sycamorekeel/internal/httpserver"
	"sycamorekeel.example/sycamorekeel/internal/logring"
	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/membudget"
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
	explainRingSize = 256
	// connLogInterval is the interval between log lines about closed connections.
	connLogInterval = time.Second
)

// Options configures a daemon beyond its settings. If a listener is nil, Run opens
// one at the address in the settings.
type Options struct {
	Log *zap.Logger
	// Budget is what the process may use.
	Budget   membudget.Budget
	Caller   net.Listener
	Operator net.Listener
	Peer     net.Listener
	// Gossip is the UDP socket at the peer address.
	Gossip net.PacketConn
	// DialPeer and DialUpstream open TCP connections; nil selects the default
	// dialer. Failure tests pass dialers whose connections they can cut.
	DialPeer     func(ctx context.Context, address string) (net.Conn, error)
	DialUpstream func(address string, timeout time.Duration) (net.Conn, error)
	// ShareLease is the duration of loans between home VMs, the same on all VMs; 0
	// selects the default. Tests shorten it because a starting VM waits for it.
	ShareLease time.Duration
}

// Daemon is the process that runs on one VM.
type Daemon struct {
	settings    *pb.Settings
	log         *zap.Logger
	incarnation uint64
	registry    *prometheus.Registry
	listeners   Options

	engine    *query.Engine
	router    *router.Router
	owner     *owner.Owner
	pool      *peer.Pool
	server    *peer.Server
	front     *frontend.Frontend
	forwarder *forwarder
	// operations serves callers through front and runs non-idempotent requests at
	// most once.
	operations *frontend.Operations
	caller     *callerapi.Server
	operator   *operatorapi.Server
	gossip     *gossip.Driver
	// budget is what the process may use, conns what its servers have closed to keep to it.
	budget membudget.Budget
	conns  *httpserver.ConnEvents
	// poison blocks requests that crash upstreams.
	poison *poison.Guard
	auth   *peerauth.Authority
	// ended receives the reason for an unplanned stop.
	ended  chan error
	shares *shares
	status *statusHub

	// table is read by the owner while Daemon.mu is held.
	table    atomic.Pointer[ownership.Table]
	snapshot atomic.Pointer[contract.Snapshot]
	view     atomic.Pointer[membership.View]
	stopping atomic.Bool
	stops    stopState

	config *configSync

	mu sync.Mutex
}

// New returns a daemon that is not running yet; Run starts it.
func New(s *pb.Settings, opts Options) (*Daemon, error) {
	d := &Daemon{
		settings:    s,
		log:         opts.Log,
		incarnation: uint64(time.Now().UnixMicro()),
		registry:    prometheus.NewRegistry(),
		listeners:   opts,
		budget:      opts.Budget,
		ended:       make(chan error, 1),
		stops:       stopState{halt: make(chan struct{})},
	}
	d.conns = httpserver.NewConnEvents(d.log, d.registry)
	d.shares = newShares(d, share.Timing{Lease: cmp.Or(opts.ShareLease, share.DefaultLease)})
	d.status = newStatusHub(d.updateStatus)
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

// wirePath creates the components on the path of a request, in reverse order: owner,
// peer pool, router, engine.
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
		Pause:         owner.DefaultPauseOptions(),
		Dial:          d.listeners.DialUpstream,
		ViewStale:     d.gossip.Revalidating,
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
		Policy:  d.router,
		Sender:  d.router,
		Loops:   runtime.GOMAXPROCS(0),
		Now:     time.Now,
		Metrics: query.NewMetrics(d.registry),
	})
}

// wireInterfaces creates the frontend and the servers for callers, operators and peers.
func (d *Daemon) wireInterfaces() error {
	ring := explain.NewRing(explainRingSize)
	d.front = frontend.New(frontend.Options{
		Log:                d.log,
		Registry:           d.registry,
		Engine:             d.engine,
		Admission:          d.shares,
		Pinner:             d.router,
		Explain:            ring,
		Poison:             d.poison,
		Now:                time.Now,
		NoConcurrencyLimit: d.settings.Routing == pb.Routing_DIRECT,
	})
	d.forwarder = newForwarder(d)
	d.operations = d.newOperations()
	d.caller = callerapi.New(callerapi.Options{
		Log:        d.log,
		Limits:     d.settings.Limits,
		Backend:    d,
		Frontend:   d.front,
		Operations: d.operations,

		MaxConnections: min(int(d.settings.Limits.MaxConnections), d.budget.CallerConns()),
		Bodies:         httpserver.NewCallerBodies(d.budget.CallerBodies(), d.registry),
		OnConn:         func(e httpserver.ConnEvent) { d.conns.Count("callers", e) },
	})
	d.operator = operatorapi.New(operatorapi.Options{
		Log:         d.log,
		Gatherer:    d.registry,
		Backend:     d,
		Explain:     ring,
		TokenSHA256: d.settings.OperatorTokenSha256,
		OnConn:      func(e httpserver.ConnEvent) { d.conns.Count("operators", e) },
	})
	server, err := peer.NewServer(d.log, (*peerHandler)(d))
	if err != nil {
		return trace.Wrap(err)
	}
	d.server = server
	d.server.Identify(peerauth.PeerName)
	return nil
}

// Run serves until ctx ends or a component fails, and then performs a planned stop. If
// a newer process runs under the same VM name, it stops without announcing that it
// leaves. Requests in flight finish in each case.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.listen(); err != nil {
		return trace.Wrap(err)
	}
	// The components outlive ctx: a planned stop needs them to finish requests.
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	d.engine.Start(run)
	group, run := errgroup.WithContext(run)
	group.Go(func() error { return d.config.run(run) })
	group.Go(func() error { return d.shares.run(run) })
	group.Go(func() error { return d.owner.Run(run) })
	group.Go(func() error { return d.server.Serve(run, d.auth.Listen(d.limitPeers(d.listeners.Peer))) })
	group.Go(func() error { return d.gossip.Run(run, d.listeners.Gossip) })
	group.Go(func() error { return d.poison.Run(run, d.gossip) })
	group.Go(func() error { return d.logConns(run) })
	group.Go(func() error { return d.caller.Serve(d.listeners.Caller) })
	group.Go(func() error { return d.operator.Serve(d.listeners.Operator) })
	d.log.Info("daemon: started", zap.String("callers", d.listeners.Caller.Addr().String()))
	var ended error
	select {
	case <-ctx.Done():
	case <-run.Done():
	case ended = <-d.ended:
		d.log.Error("daemon: stopping after a fatal error", zap.Error(ended))
	}
	d.stop(ended == nil)
	d.forwarder.close()
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

// limitPeers limits the connections of clients that have not shown to be peers.
func (d *Daemon) limitPeers(ln net.Listener) net.Listener {
	l := &httpserver.ConnLimiter{Max: d.budget.PeerConns(), OnEvent: func(e httpserver.ConnEvent) { d.conns.Count("peers", e) }}
	return l.Listener(ln)
}

// logConns logs the connections that the servers close to keep their limits.
func (d *Daemon) logConns(ctx context.Context) error {
	t := time.NewTicker(connLogInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			d.conns.Log()
		}
	}
}

// listen opens the listeners that Options left nil.
func (d *Daemon) listen() error {
	var errs []error
	open := func(ln *net.Listener, address string) {
		if *ln != nil {
			return
		}
		l, err := httpserver.Listen(address)
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

// apply computes ownership from a view and a snapshot and updates the router and the
// owner. The caller holds mu.
func (d *Daemon) apply(view *membership.View, snap *contract.Snapshot) {
	d.view.Store(view)
	table := d.ownershipTable(view, func(serving []membership.Member) *ownership.Table {
		return ownership.Assign(serving, snap.Upstreams())
	})
	d.table.Store(table)
	d.router.Update(view, table)
	d.owner.Apply(snap)
}
