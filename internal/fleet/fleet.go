// Package fleet runs a whole deployment in one process on loopback: a platform
// and upstreams as stand-ins, and real daemons. The demo, the benchmarks and
// the tests of failures use it.
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

// secret is followed by an address of the fleet: several fleets of one process
// have VMs of the same names, and a port that one has left may be taken by
// another, whose daemons must not pass for peers.
const secret = "a-secret-for-daemons-of-the-fleet-at-"

// endpointsTTLMS is short, as a planned stop takes as long.
const endpointsTTLMS = 500

// shareLease keeps the start of a fleet short.
const shareLease = 200 * time.Millisecond

// Options describe a deployment.
type Options struct {
	Log *zap.Logger
	// Documents are published under their names; upstream addresses in them
	// are replaced by those of the stand-ins.
	Documents map[string]string
	// VMs is the number of daemons; they are spread over DataCentres.
	VMs         int
	DataCentres []string
	Routing     pb.Routing
	Behaviour   func(u *pb.Upstream, service string) standin.Behaviour
	Seed        uint64
	// Seeds lets each VM know the others' addresses from its settings.
	Seeds bool
}

// Fleet is a running deployment.
type Fleet struct {
	// host is the loopback IP of all its listeners, with any free port.
	host     string
	opts     Options
	Platform *standin.Platform
	// VMs is changed by Restart and Replace only.
	VMs []*VM
	// Upstreams by "service/id".
	Upstreams map[string]*standin.Upstream
	documents map[string]string
	network   *network
	addresses []vmListeners
	// retired are processes that a restart has replaced.
	retired []*VM
	// mu is held while VMs changes.
	mu sync.Mutex
}

// VM is one running daemon.
type VM struct {
	Settings *pb.Settings
	Daemon   *daemon.Daemon
	// Peers breaks the streams that other VMs opened to this one.
	Peers  *PeerFault
	ctx    context.Context
	cancel context.CancelFunc
	done   chan error

	wire      *wire
	listeners vmListeners
}

// Start brings everything up and waits until every daemon is ready.
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
	if err := f.openPorts(); err != nil {
		return err
	}
	f.documents["vms"] = f.listVMs()
	for name, text := range f.documents {
		p.Publish(name, []byte(text))
	}
	for i, l := range f.addresses {
		vm, err := f.startVM(i, l)
		if err != nil {
			return err
		}
		f.VMs = append(f.VMs, vm)
	}
	return f.waitReady()
}

// startUpstreams starts a stand-in for each upstream of a document and puts its
// address in the document.
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

// vmListeners are the open ports of one VM.
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

func (f *Fleet) openPorts() error {
	for range f.opts.VMs {
		l, err := f.listen()
		if err != nil {
			return err
		}
		f.addresses = append(f.addresses, l)
	}
	return nil
}

// listVMs is the platform's list of VMs.
func (f *Fleet) listVMs() string {
	var list strings.Builder
	for i, l := range f.addresses {
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

// listenPeer opens TCP and UDP on one port: another process may hold the UDP
// port that goes with a free TCP port.
func (l *vmListeners) listenPeer(host string) error {
	const attempts = 20
	var last error
	for range attempts {
		ln, err := net.Listen("tcp", host)
		if err != nil {
			return err
		}
		l.gossip, last = net.ListenPacket("udp", ln.Addr().String())
		if last == nil {
			l.peer = ln
			return nil
		}
		_ = ln.Close()
	}
	return last
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
		PeerKeys:        []*pb.PeerKey{{Id: "k1", Secret: secret + f.Platform.Address()}},
		Routing:         f.opts.Routing,
		Seeds:           f.seeds(i),
		Limits:          &pb.Limits{EndpointsTtlMs: endpointsTTLMS},
	}
	settings.SetDefaults(s)
	w := newWire(s.Vm, f.network)
	f.network.place(s.Vm, s.PeerAddress)
	peers := newPeerFault(w.listen(l.peer))
	d, err := daemon.New(s, daemon.Options{
		Log:          f.opts.Log.With(zap.String("vm", s.Vm)),
		Caller:       w.listen(l.caller),
		Operator:     w.listen(l.operator),
		Peer:         peers,
		Gossip:       w.packets(l.gossip),
		DialPeer:     w.dialPeer,
		DialUpstream: w.dialUpstream,
		ShareLease:   shareLease,
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	vm := &VM{
		Settings:  s,
		Daemon:    d,
		Peers:     peers,
		ctx:       ctx,
		cancel:    cancel,
		done:      make(chan error, 1),
		wire:      w,
		listeners: l,
	}
	go func() { vm.done <- d.Run(ctx) }()
	return vm, nil
}

// seeds is the peer addresses of the other VMs.
func (f *Fleet) seeds(vm int) []string {
	var out []string
	for i, l := range f.addresses {
		if f.opts.Seeds && i != vm {
			out = append(out, l.peer.Addr().String())
		}
	}
	return out
}

// StopNow stops the daemon without a wait for callers to go elsewhere.
func (v *VM) StopNow() error {
	v.Daemon.Halt()
	return v.Stop()
}

// Replace stops a VM as planned and starts a new process with its name and
// addresses.
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
	const patience = 10 * time.Second
	deadline := time.Now().Add(patience)
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

// Stop stops the daemon as planned and returns its error.
func (v *VM) Stop() error {
	v.cancel()
	err := <-v.done
	v.done <- err
	return err
}

// Close ends the daemons, without the waits of a planned stop, and the stand-ins.
func (f *Fleet) Close() {
	if f.Platform != nil {
		f.Platform.SetDown(true)
	}
	f.Heal()
	var wg sync.WaitGroup
	for _, vm := range slices.Concat(f.VMs, f.retired) {
		vm.Daemon.Halt()
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
