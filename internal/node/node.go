// Package node wires the parts of one VM that serves callers over direct
// connections to upstreams: it reads the store with its peers, gossips, serves
// callers, the directory and metrics, and stops without cutting requests off. It
// holds no policy.
package node

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/direct"
	"sycamorekeel.example/sycamorekeel/internal/edge"
	"sycamorekeel.example/sycamorekeel/internal/follow"
	"sycamorekeel.example/sycamorekeel/internal/gossip"
	"sycamorekeel.example/sycamorekeel/internal/locality"
	"sycamorekeel.example/sycamorekeel/internal/logring"
	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/placement"
	"sycamorekeel.example/sycamorekeel/internal/strain"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
)

const (
	// gossipPeriod, gossipDirect and gossipSuspicion let the directory leave a
	// dead VM out about a second and a half after its end.
	gossipPeriod    = 400 * time.Millisecond
	gossipDirect    = 150 * time.Millisecond
	gossipSuspicion = 2
	// gossipUpdateRate bounds the bytes a second spent on updates: a fleet of a
	// hundred whose processes are all replaced is known again in two seconds.
	gossipUpdateRate = 6000
	// directoryTTL is how long callers keep an answer of the directory at most.
	// Each question may go to a lost VM and cost its caller a second, while an
	// address that fails is passed over by itself.
	directoryTTL = 4500 * time.Millisecond
	// leastTTL is the shortest, where the grace of a stop is short or none.
	leastTTL = time.Second
	// settleAfter is how long after its start a process does not yet take what it
	// knows of the fleet for all of it. It takes the fleet for startVMs and
	// startCarriers at least, which is about what a user runs today, and leaves
	// the directory to the others: callers keep what they were told before.
	settleAfter   = 1200 * time.Millisecond
	startVMs      = 12
	startCarriers = 6
	// engineTick is how often idle connections are looked through.
	engineTick = time.Second
	// maxRequests bounds the requests in flight on a VM with a whole core; the
	// usual load needs a tenth.
	maxRequests = 2000
	// leastRequests is the bound on a VM with little of a core.
	leastRequests = 200
)

// gossipKey signs datagrams. The platform hands out no secret, so it guards only
// against stray datagrams; see docs/OPERATIONS.md.
const gossipKey = "sycamorekeel open internal network"

// Adapter is how one environment is spoken to.
type Adapter struct {
	Store     Store
	Decoder   catalog.Decoder
	Upstreams direct.Protocol
	// Callers serves callers by the engine; leaving tells whether the VM is
	// being stopped.
	Callers func(e *edge.Engine, leaving func() bool) CallerHandler
	// Directory serves callers that ask which VMs to use.
	Directory func(choose func(placement.Caller) []string, ttl time.Duration) fasthttp.RequestHandler
	// Ready serves the question whether this VM takes callers.
	Ready func(ready func() bool) fasthttp.RequestHandler
}

// CallerHandler serves callers.
type CallerHandler interface {
	// Handle serves a request.
	Handle(*fasthttp.RequestCtx)
	// Fault answers a request that could not be read.
	Fault(*fasthttp.RequestCtx, error)
}

// Options is what a node needs.
type Options struct {
	// Traffic counts the bytes that this VM exchanges.
	Traffic   *traffic.Meter
	Logs      logring.Loggers
	Registry  *prometheus.Registry
	Adapter   Adapter
	Reloading Reloading
}

// Node is one VM's process.
type Node struct {
	set      atomic.Pointer[Settings]
	load     func() (*Settings, error)
	reloads  <-chan os.Signal
	logs     logring.Loggers
	log      *zap.Logger
	registry *prometheus.Registry
	adapter  Adapter
	started  time.Time
	engine   *edge.Engine
	reader   *reader
	gossip   *gossip.Driver
	members  atomic.Pointer[membership.View]
	// upstreams is how many upstreams each data centre has in the view in force.
	upstreams atomic.Pointer[map[string]int]
	leaving   atomic.Bool
	strained  atomic.Bool
	// carrying says that callers are told to use this VM.
	carrying atomic.Bool
	sharers  sharers
	traffic  *traffic.Meter
	callers  callerCount
	warnings *warnings
}

// New wires a node; Run starts it.
func New(set *Settings, opts Options) *Node {
	now := time.Now()
	n := &Node{
		load:     opts.Reloading.Load,
		reloads:  opts.Reloading.Signals,
		logs:     opts.Logs,
		log:      opts.Logs.Changes,
		registry: opts.Registry,
		adapter:  opts.Adapter,
		traffic:  opts.Traffic,
		started:  now,
		warnings: newWarnings(opts.Logs.Changes, opts.Registry),
	}
	n.set.Store(set)
	n.members.Store(&membership.View{})
	n.upstreams.Store(&map[string]int{})
	random := rand.New(rand.NewPCG(seedOf(set.VM), uint64(now.UnixNano())))
	n.engine = edge.New(now, edge.Options{
		Logs:        opts.Logs,
		Metrics:     edge.NewMetrics(opts.Registry),
		Protocol:    opts.Adapter.Upstreams,
		Place:       placeOf(set),
		Traffic:     opts.Traffic,
		Budget:      set.Budget,
		MaxRequests: max(leastRequests, int(maxRequests*set.Cores)),
		Random:      random,
		ViewAge:     func() time.Duration { return n.reader.confirmedAge(time.Now()) },
	})
	n.reader = &reader{
		log:      opts.Logs.Changes,
		met:      newStoreMetrics(opts.Registry),
		store:    opts.Adapter.Store,
		announce: n.announce,
		changed:  n.changed,
		exchanged: func(p traffic.Purpose, address string, bytes int) {
			n.traffic.Add(p, n.distanceOf(address), bytes)
		},
		follower: follow.New(now, follow.Options{
			VM:         set.VM,
			Place:      placeOf(set),
			Bound:      set.ChangeBound,
			FirstStart: set.FirstStart,
			Seed:       slices.Contains(set.Seeds, set.PeerAddress),
			Decoder:    opts.Adapter.Decoder,
			Random:     rand.New(rand.NewPCG(seedOf(set.VM), uint64(now.UnixMicro()))),
		}),
	}
	n.gossip = n.newGossip(now, set)
	n.showState(opts.Registry)
	opts.Registry.MustRegister(opts.Traffic)
	n.reader.members = n.gossip.Updates
	n.reader.learn = n.gossip.Learn
	n.reader.poison = n.engine.Poison()
	n.reader.self = n.gossip.Self
	n.reader.view = n.members.Load
	return n
}

func seedOf(name string) uint64 {
	h := fnv.New64a()
	// A hash never fails to write.
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

func placeOf(set *Settings) locality.Place {
	return locality.Place{DataCentre: set.DataCentre, Region: set.Region, Regions: set.Regions}
}

// place is where this VM is.
func (n *Node) place() locality.Place { return placeOf(n.set.Load()) }

// distanceOf is how far the peer with an address is, Unknown when no member has it.
func (n *Node) distanceOf(address string) locality.Distance {
	for _, m := range n.members.Load().Members {
		if m.PeerAddress == address {
			return n.place().To(m.Region, m.DataCentre)
		}
	}
	return locality.Unknown
}

// otherSeeds is the seeds without this VM.
func otherSeeds(set *Settings) []string {
	return slices.DeleteFunc(slices.Clone(set.Seeds), func(s string) bool { return s == set.PeerAddress })
}

func (n *Node) newGossip(now time.Time, set *Settings) *gossip.Driver {
	return gossip.New(gossip.Options{
		Log:      n.log,
		Registry: n.registry,
		Now:      time.Now,
		Sent: func(region, dataCentre string, bytes int) {
			n.traffic.Add(traffic.Gossip, n.place().To(region, dataCentre), bytes)
		},
		Keys: []*pb.PeerKey{{Id: "open", Secret: gossipKey}},
		Node: membership.Options{
			Self: &pb.MemberUpdate{
				Vm:            set.VM,
				Incarnation:   uint64(now.UnixMicro()),
				Region:        set.Region,
				DataCentre:    set.DataCentre,
				CallerAddress: set.CallerAddress,
				PeerAddress:   set.PeerAddress,
			},
			Seeds:    otherSeeds(set),
			Sole:     true,
			KeepNear: true,
			Seed:     seedOf(set.VM),
			Timing: membership.Timing{
				Period:          gossipPeriod,
				DirectTimeout:   gossipDirect,
				SuspicionFactor: gossipSuspicion,
				UpdateRate:      gossipUpdateRate,
			},
		},
		Callbacks: gossip.Callbacks{
			View:        n.membersChanged,
			Heard:       n.reader.announced,
			Quarantine:  n.engine.Poison().Heard,
			Revalidate:  func() { n.log.Warn("gossip: this process was paused") },
			Revalidated: func(alone bool) { n.log.Info("gossip: peers heard again", zap.Bool("alone", alone)) },
			Superseded:  func(uint64) {},
		},
	})
}

// announce gives the gossip what is known and since when it is confirmed; tell
// sends it to peers at once.
func (n *Node) announce(at catalog.Position, confirmed time.Time, tell *follow.Announce) {
	n.gossip.SetConfirmed(at.Era, at.Revision, confirmed)
	if tell != nil {
		n.gossip.Announce(tell.Wide)
	}
}

// changed puts a view of the catalog in force.
func (n *Node) changed(v *catalog.View) {
	old := n.engine.View()
	if old != nil && !old.Before(v) {
		return
	}
	n.engine.SetView(time.Now(), v)
	counts := countUpstreams(v)
	n.upstreams.Store(&counts)
	n.logView(old, v)
	n.showCapacity()
}

func (n *Node) logView(old, v *catalog.View) {
	version := uint64(0)
	if v.Table != nil {
		version = v.Table.Version()
	}
	n.log.Info("config: view in force", zap.Uint64("era", v.Era), zap.Uint64("revision", v.Revision), zap.Uint64("version", version), zap.Int("upstreams", len(v.Upstreams)))
	if v.Config != nil && (old == nil || old.Config != v.Config) {
		for _, w := range v.Config.Warnings {
			n.warnings.warn(w.String(), zap.Uint64("version", version))
		}
	}
	n.logEvacuations(old, v)
	if old == nil {
		return
	}
	for id, u := range old.Upstreams {
		if now := v.Upstreams[id]; now == nil || now.Leaving && !u.Leaving {
			n.log.Info("config: upstream out", zap.String("upstream", id), zap.String("service", u.Service), zap.Bool("leaving", now != nil), zap.Uint64("revision", v.Revision))
		}
	}
}

// logEvacuations tells of the evacuations that have begun or ended since an older view, nil
// for none.
func (n *Node) logEvacuations(old, v *catalog.View) {
	var before map[string]bool
	if old != nil {
		before = old.Evacuated
	}
	for dataCentre := range v.Evacuated {
		if before[dataCentre] {
			continue
		}
		n.log.Info("config: data centre evacuated", zap.String("data_centre", dataCentre), zap.Uint64("revision", v.Revision))
		if _, known := n.set.Load().Regions[dataCentre]; !known {
			n.warnings.warn("evacuated data centre "+dataCentre+" is none of the settings", zap.Uint64("revision", v.Revision))
		}
	}
	for dataCentre := range before {
		if !v.Evacuated[dataCentre] {
			n.log.Info("config: evacuation over", zap.String("data_centre", dataCentre), zap.Uint64("revision", v.Revision))
		}
	}
}

// showCapacity tells peers what this VM can carry for callers.
func (n *Node) showCapacity() {
	capacity := uint32(0)
	switch {
	case n.ready() && n.strained.Load():
		capacity = placement.StrainedCapacity
	case n.ready():
		capacity = uint32(max(placement.StrainedCapacity+1, 1000*n.set.Load().Cores))
	}
	n.gossip.SetCapacity(capacity)
}

// ready tells whether this VM takes callers.
func (n *Node) ready() bool {
	v := n.engine.View()
	return v != nil && v.Table != nil && !n.leaving.Load()
}

func (n *Node) membersChanged(view *membership.View) {
	old := n.members.Load()
	if old.Version > view.Version {
		return
	}
	n.members.Store(view)
	n.logMembers(old, view)
	n.reader.setPeers(view, n.set.Load().VM)
	n.showShares(time.Now())
}

// showShares tells the engine what part of the fleet's bounds is this VM's.
func (n *Node) showShares(now time.Time) {
	members := n.members.Load()
	carriers := placement.Carriers(members.Members, n.placementBounds())
	n.carrying.Store(carriers[n.set.Load().CallerAddress])
	shares := n.sharers.count(now, edge.Shares{
		VMs:      len(members.Serving()),
		Carriers: len(carriers),
		Carrying: n.carrying.Load(),
	})
	if now.Sub(n.started) < settleAfter {
		shares.VMs = max(shares.VMs, startVMs)
		shares.Carriers = max(shares.Carriers, startCarriers)
	}
	n.engine.SetShares(now, shares)
}

func (n *Node) logMembers(old, view *membership.View) {
	before := map[string]pb.MemberState{}
	for i := range old.Members {
		before[old.Members[i].VM] = old.Members[i].State
	}
	for i := range view.Members {
		m := &view.Members[i]
		if was, known := before[m.VM]; !known || was != m.State {
			n.log.Info("gossip: member", zap.String("member", m.VM), zap.Stringer("state", m.State), zap.Uint64("incarnation", m.Incarnation))
		}
	}
}

// choose is the directory's answer.
func (n *Node) choose(c placement.Caller) []string {
	if !n.set.Load().FirstStart && time.Since(n.started) < settleAfter {
		return nil
	}
	if v := n.engine.View(); v != nil && v.Table != nil {
		c.Homes = v.Table.HostHomes(c.Host)
	}
	return placement.Choose(n.members.Load().Members, c, n.placementBounds())
}

// Run serves until ctx ends, then stops within the grace.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info("node: started", zap.String("data_centre", n.set.Load().DataCentre), zap.Bool("first_start", n.set.Load().FirstStart))
	servers, err := n.listen()
	if err != nil {
		return trace.Wrap(err)
	}
	packets, err := net.ListenPacket("udp", n.set.Load().peerListen())
	if err != nil {
		return trace.Wrap(err)
	}
	run, stop := context.WithCancel(context.Background())
	defer stop()
	group, run := errgroup.WithContext(run)
	group.Go(func() error { return n.gossip.Run(run, packets) })
	group.Go(func() error { return n.reader.run(run) })
	group.Go(func() error { return n.join(run) })
	group.Go(func() error { return n.tick(run) })
	group.Go(func() error { return n.engine.Poison().Run(run, n.gossip) })
	group.Go(func() error { return n.watchStrain(run) })
	group.Go(func() error { return n.logTraffic(run) })
	group.Go(func() error { return n.watchSettings(run) })
	for _, s := range servers {
		group.Go(s.serve)
	}
	var stopping sync.WaitGroup
	stopping.Add(1)
	go func() {
		defer stopping.Done()
		select {
		case <-ctx.Done():
			n.stop(servers)
		case <-run.Done():
		}
		stop()
		closeAll(servers)
	}()
	err = group.Wait()
	stopping.Wait()
	n.log.Info("node: stopped", zap.Error(err))
	return trace.Wrap(err)
}

// watchStrain measures how late this process is woken and acts on it.
func (n *Node) watchStrain(ctx context.Context) error {
	t := time.NewTicker(strain.Every)
	defer t.Stop()
	var m strain.Meter
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		changed := m.Woken(time.Now())
		n.engine.SetLag(m.Lag())
		if changed {
			n.strained.Store(m.Strained())
			n.log.Warn("node: strain", zap.Bool("strained", m.Strained()), zap.Duration("lag", m.Lag()))
			n.showCapacity()
		}
	}
}

func (n *Node) tick(ctx context.Context) error {
	t := time.NewTicker(engineTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			n.engine.Tick(now)
			n.showShares(now)
		}
	}
}
