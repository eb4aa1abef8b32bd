// Package fleet runs a whole deployment in one process on loopback: real daemons
// with a simulated platform and simulated upstreams (internal/standin). The demo,
// the benchmarks and the failure tests use it.
package fleet

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/daemon"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/settings"
	"sycamorekeel.example/sycamorekeel/internal/standin"
)

// secretPrefix is completed with the platform's address to give each fleet its own
// peer secret. Several fleets in one process have VMs of the same names, and one
// fleet may reuse a port of another, whose daemons must not be accepted as peers.
const secretPrefix = "a-secret-for-daemons-of-the-fleet-at-"

// endpointsTTLMS is short because a planned stop takes at least this long.
const endpointsTTLMS = 500

// shareLease is short so that a fleet starts quickly.
const shareLease = 200 * time.Millisecond

// Options configure a deployment.
type Options struct {
	Log *zap.Logger
	// Documents are the configuration documents by name. Upstream addresses in
	// them are replaced by those of the simulated upstreams.
	Documents map[string]string
	// VMs is the number of daemons, assigned to DataCentres round-robin.
	VMs         int
	DataCentres []string
	Routing     pb.Routing
	// Behaviour returns the behaviour of each simulated upstream.
	Behaviour func(u *pb.Upstream, service string) standin.Behaviour
	// Seed makes the random choices of the upstreams reproducible.
	Seed uint64
	// Seeds puts the peer addresses of the other VMs into each VM's settings.
	Seeds bool
}

// Fleet is a running deployment.
type Fleet struct {
	// host is the address that all listeners of the fleet use: a loopback IP with
	// port 0, so that each gets a free port.
	host     string
	opts     Options
	Platform *standin.Platform
	// VMs is modified only by Restart and Replace.
	VMs []*VM
	// Upstreams are the simulated upstreams by "service/id".
	Upstreams map[string]*standin.Upstream
	documents map[string]string
	network   *network
	// listeners are the current listeners of each VM.
	listeners []vmListeners
	// replaced are the processes that Restart replaced.
	replaced []*VM
	// mu guards Restart's changes to VMs and replaced.
	mu sync.Mutex
}

// VM is one running daemon.
type VM struct {
	Settings *pb.Settings
	Daemon   *daemon.Daemon
	// PeerFault injects faults into the streams that other VMs opened to this one.
	PeerFault *PeerFault
	ctx       context.Context
	cancel    context.CancelFunc
	// done holds the result of Daemon.Run once it returns.
	done chan error

	tracker   *connTracker
	listeners vmListeners
}

// Start starts the deployment and waits until every daemon is ready.
func Start(opts Options) (*Fleet, error) {
	f := &Fleet{opts: opts, Upstreams: map[string]*standin.Upstream{}, documents: map[string]string{}, network: newNetwork(), host: standin.NewHost()}
	if err := f.start(); err != nil {
		f.Close()
		return nil, trace.Wrap(err)
	}
	return f, nil
}

func (f *Fleet) start() error {
	p, err := standin.StartPlatformAt(f.host)
	if err != nil {
		return err
	}
	f.Platform = p
	for name, text := range f.opts.Documents {
		if err := f.startUpstreams(name, text); err != nil {
			return err
		}
	}
	if err := f.listenAll(); err != nil {
		return err
	}
	f.documents["vms"] = f.listVMs()
	for name, text := range f.documents {
		p.Publish(name, []byte(text))
	}
	for i, l := range f.listeners {
		vm, err := f.startVM(i, l)
		if err != nil {
			return err
		}
		f.VMs = append(f.VMs, vm)
	}
	return f.waitReady()
}

// startUpstreams starts a simulated upstream for each upstream of a document and
// replaces the address in the document.
func (f *Fleet) startUpstreams(name, text string) error {
	doc, findings := contract.Check(name, []byte(text))
	if err := findings.Err(); err != nil {
		return err
	}
	for _, s := range doc.Services {
		for _, u := range s.Upstreams {
			id := s.Name + "/" + u.Id
			up, err := standin.StartUpstreamAt(f.host, id, f.opts.Seed+uint64(len(f.Upstreams)), f.opts.Behaviour(u, s.Name))
			if err != nil {
				return err
			}
			f.Upstreams[id] = up
			text = strings.Replace(text, `"`+u.Address+`"`, `"`+up.Address()+`"`, 1)
		}
	}
	f.documents[name] = text
	return nil
}

// vmListeners are the listening sockets of one VM.
type vmListeners struct {
	caller, operator, peer net.Listener
	gossip                 net.PacketConn
}

func (l vmListeners) close() {
	_ = l.caller.Close()
	_ = l.operator.Close()
	_ = l.peer.Close()
	_ = l.gossip.Close()
}

func (f *Fleet) listenAll() error {
	for range f.opts.VMs {
		l, err := f.listen()
		if err != nil {
			return err
		}
		f.listeners = append(f.listeners, l)
	}
	return nil
}

// listVMs returns the platform's document that lists the VMs.
func (f *Fleet) listVMs() string {
	var list strings.Builder
	for i, l := range f.listeners {
		dc := f.dataCentre(i)
		fmt.Fprintf(&list, "[[vms]]\nid = %q\nregion = %q\ndata_centre = %q\ncaller_address = %q\npeer_address = %q\nstate = \"live\"\n",
			vmName(i), dc, dc, l.caller.Addr(), l.peer.Addr())
	}
	return list.String()
}

func (f *Fleet) dataCentre(vm int) string {
	return f.opts.DataCentres[vm%len(f.opts.DataCentres)]
}

func (f *Fleet) listen() (vmListeners, error) {
	var l vmListeners
	for _, ln := range []*net.Listener{&l.caller, &l.operator} {
		opened, err := net.Listen("tcp", f.host)
		if err != nil {
			return l, err
		}
		*ln = opened
	}
	return l, l.listenPeer(f.host)
}

// listenPeer listens on the same port for TCP and UDP. It retries with another port
// because a free TCP port may be in use by another process for UDP.
func (l *vmListeners) listenPeer(host string) error {
	const attempts = 20
	var lastErr error
	for range attempts {
		ln, err := net.Listen("tcp", host)
		if err != nil {
			return err
		}
		l.gossip, lastErr = net.ListenPacket("udp", ln.Addr().String())
		if lastErr == nil {
			l.peer = ln
			return nil
		}
		_ = ln.Close()
	}
	return lastErr
}

func vmName(i int) string { return fmt.Sprintf("vm-%d", i+1) }

func (f *Fleet) startVM(i int, l vmListeners) (*VM, error) {
	dc := f.dataCentre(i)
	s := &pb.Settings{
		Vm:              vmName(i),
		Region:          dc,
		DataCentre:      dc,
		CallerAddress:   l.caller.Addr().String(),
		OperatorAddress: l.operator.Addr().String(),
		PeerAddress:     l.peer.Addr().String(),
		PlatformAddress: f.Platform.Address(),
		PeerKeys:        []*pb.PeerKey{{Id: "k1", Secret: secretPrefix + f.Platform.Address()}},
		Routing:         f.opts.Routing,
		Seeds:           f.seeds(i),
		Limits:          &pb.Limits{EndpointsTtlMs: endpointsTTLMS},
	}
	settings.SetDefaults(s)
	tracker := newConnTracker(s.Vm, f.network)
	f.network.register(s.Vm, s.PeerAddress)
	l = vmListeners{
		caller:   tracker.wrapListener(l.caller),
		operator: tracker.wrapListener(l.operator),
		peer:     tracker.wrapListener(l.peer),
		gossip:   tracker.wrapPacketConn(l.gossip),
	}
	peerFault := newPeerFault(l.peer)
	d, err := daemon.New(s, daemon.Options{
		Log:          f.opts.Log.With(zap.String("vm", s.Vm)),
		Caller:       l.caller,
		Operator:     l.operator,
		Peer:         peerFault,
		Gossip:       l.gossip,
		DialPeer:     tracker.dialPeer,
		DialUpstream: tracker.dialUpstream,
		ShareLease:   shareLease,
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	vm := &VM{
		Settings:  s,
		Daemon:    d,
		PeerFault: peerFault,
		ctx:       ctx,
		cancel:    cancel,
		done:      make(chan error, 1),
		tracker:   tracker,
		listeners: l,
	}
	go func() { vm.done <- d.Run(ctx) }()
	return vm, nil
}

// seeds returns the peer addresses of the other VMs, or none unless Options.Seeds
// is set.
func (f *Fleet) seeds(vm int) []string {
	var out []string
	for i, l := range f.listeners {
		if f.opts.Seeds && i != vm {
			out = append(out, l.peer.Addr().String())
		}
	}
	return out
}

// StopNow stops the daemon without waiting for callers to switch to other VMs.
func (v *VM) StopNow() error {
	v.Daemon.AbortStop()
	return v.Stop()
}

// Replace performs a planned stop of a VM and starts a new process with the same
// name and addresses.
func (f *Fleet) Replace(i int) error {
	old := f.VMs[i].Settings
	if err := f.VMs[i].Stop(); err != nil {
		return trace.Wrap(err)
	}
	l, err := relisten(old)
	if err != nil {
		return trace.Wrap(err)
	}
	vm, err := f.startVM(i, l)
	if err != nil {
		return trace.Wrap(err)
	}
	f.VMs[i] = vm
	return f.waitReady()
}

func relisten(s *pb.Settings) (vmListeners, error) {
	var l vmListeners
	var errs [4]error
	l.caller, errs[0] = net.Listen("tcp", s.CallerAddress)
	l.operator, errs[1] = net.Listen("tcp", s.OperatorAddress)
	l.peer, errs[2] = net.Listen("tcp", s.PeerAddress)
	l.gossip, errs[3] = net.ListenPacket("udp", s.PeerAddress)
	return l, trace.NewAggregate(errs[:]...)
}

func (f *Fleet) waitReady() error {
	const timeout = 10 * time.Second
	deadline := time.Now().Add(timeout)
	for _, vm := range f.VMs {
		for vm.Daemon.NotReady() != "" {
			if time.Now().After(deadline) {
				return trace.LimitExceeded("%s is not ready: %s", vm.Settings.Vm, vm.Daemon.NotReady())
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return nil
}

// Stop performs a planned stop of the daemon and returns its error. It may be
// called repeatedly.
func (v *VM) Stop() error {
	v.cancel()
	err := <-v.done
	v.done <- err
	return err
}

// Close stops the daemons without the waits of a planned stop, then the simulated
// upstreams and platform.
func (f *Fleet) Close() {
	if f.Platform != nil {
		f.Platform.SetDown(true)
	}
	f.Heal()
	var wg sync.WaitGroup
	for _, vm := range slices.Concat(f.VMs, f.replaced) {
		vm.Daemon.AbortStop()
		wg.Go(func() { _ = vm.Stop() })
	}
	wg.Wait()
	for _, u := range f.Upstreams {
		wg.Go(u.Close)
	}
	wg.Wait()
	if f.Platform != nil {
		f.Platform.Close()
	}
}
