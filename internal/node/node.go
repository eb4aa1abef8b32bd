// Package node assembles the daemon of a VM that forwards callers' requests over direct
// connections to upstreams. The daemon synchronises the catalog with the store and with
// peers, takes part in gossip, and serves callers, the directory and metrics. On
// shutdown it drains the requests in flight. Policy is implemented in the packages that
// it connects.
package node

import (
	"context"
	"fmt"
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

	"sycamorekeel.example/sycamorekeel/internal/bodylimit"
	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/catalogsync"
	"sycamorekeel.example/sycamorekeel/internal/connpool"
	"sycamorekeel.example/sycamorekeel/internal/cpulag"
	"sycamorekeel.example/sycamorekeel/internal/edge"
	"sycamorekeel.example/sycamorekeel/internal/gossip"
	"sycamorekeel.example/sycamorekeel/internal/httpserver"
	"sycamorekeel.example/sycamorekeel/internal/locality"
	"sycamorekeel.example/sycamorekeel/internal/logring"
	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/pagecodec"
	"sycamorekeel.example/sycamorekeel/internal/pause"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/placement"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
)

const (
	// With gossipPeriod, gossipDirectTimeout and gossipSuspicionFactor, the directory
	// omits a dead VM about 1.5 s after its death.
	gossipPeriod          = 400 * time.Millisecond
	gossipDirectTimeout   = 150 * time.Millisecond
	gossipSuspicionFactor = 2
	// gossipUpdateRate limits the bytes per second spent on member updates. It is
	// enough to spread the replacement of all processes of a fleet of a hundred VMs
	// within two seconds.
	gossipUpdateRate = 6000
	// maxDirectoryTTL is the longest TTL of a directory answer. A lookup that reaches
	// a dead VM costs its caller a second, so lookups should be rare; callers skip an
	// address that fails without a new lookup.
	maxDirectoryTTL = 4500 * time.Millisecond
	// minDirectoryTTL is the TTL if the shutdown grace period is too short for a
	// longer one.
	minDirectoryTTL = time.Second
	// startupSettleTime is how long after its start the process treats its member list
	// as incomplete. Meanwhile it assumes at least startupMinVMs VMs and
	// startupMinCarriers carriers, about the size of a fleet in use today, and returns
	// no VMs from the directory, so that callers keep their previous answer.
	startupSettleTime  = 1200 * time.Millisecond
	startupMinVMs      = 12
	startupMinCarriers = 6
	// engineTickInterval is the interval between checks for idle connections.
	engineTickInterval = time.Second
	// maxRequests limits the requests in flight on a VM with one core and scales with
	// the number of cores. The usual load needs a tenth of it.
	maxRequests = 2000
	// minRequests is the lower bound of that limit on VMs with a small share of a core.
	minRequests = 200
)

// gossipKey signs datagrams. The platform provides no secret, so the key only
// protects against stray datagrams; see docs/OPERATIONS.md.
const gossipKey = "sycamorekeel open internal network"

// Adapter connects a Daemon to its environment: the store, the encoding of its
// items, and the protocols of upstreams and callers.
type Adapter struct {
	Store   Store
	Decoder catalog.Decoder
	// Reads is the version of Decoder. VMs of different versions do not rely on each other for items
	// that one of them does not read.
	Reads     uint64
	Upstreams connpool.Protocol
	// Callers returns the handler that passes callers' requests to the engine.
	// leaving reports whether the VM is shutting down; begin must be called with each request
	// before it is answered.
	Callers func(e *edge.Engine, leaving func() bool, begin func(net.Conn, *edge.Request)) CallerHandler
	// Directory returns the handler of directory lookups. choose returns the caller
	// addresses of the VMs that a caller should use, and ttl is how long it may keep
	// the answer.
	Directory func(choose func(placement.Caller) []string, ttl time.Duration) fasthttp.RequestHandler
	// Ready returns the handler of readiness checks.
	Ready func(ready func() bool) fasthttp.RequestHandler
}

// CallerHandler handles callers' requests.
type CallerHandler interface {
	// Handle answers a request.
	Handle(*fasthttp.RequestCtx)
	// HandleError answers a request that could not be read.
	HandleError(*fasthttp.RequestCtx, error)
}

// Options holds the dependencies of a Daemon.
type Options struct {
	// Traffic counts the bytes that this VM sends and receives.
	Traffic  *traffic.Meter
	Logs     logring.Loggers
	Registry *prometheus.Registry
	Adapter  Adapter
	Reload   ReloadOptions
}

// Daemon is the process that runs on one VM.
type Daemon struct {
	settings      atomic.Pointer[Settings]
	loadSettings  func() (*Settings, error)
	reloadSignals <-chan os.Signal
	logs          logring.Loggers
	log           *zap.Logger
	registry      *prometheus.Registry
	adapter       Adapter
	started       time.Time
	engine        *edge.Engine
	syncer        *catalogSyncer
	gossip        *gossip.Driver
	members       atomic.Pointer[membership.View]
	// viewMu is held while a catalog view is compared with the current one and applied, membersMu
	// likewise for a member view. Locks of the engine, the syncer and the logs are acquired under
	// them, and neither under the other.
	viewMu, membersMu sync.Mutex
	// upstreamCounts is the number of upstreams per data centre in the current view.
	upstreamCounts atomic.Pointer[map[string]int]
	leaving        atomic.Bool
	strained       atomic.Bool
	// carrying reports whether the directory sends callers to this VM.
	carrying     atomic.Bool
	recentShares shareHistory
	traffic      *traffic.Meter
	callerConns  *httpserver.Conns[*edge.Request]
	callerStalls prometheus.Counter
	// callerBodies limits the memory of request bodies of callers.
	callerBodies *bodylimit.Memory
	conns        *httpserver.ConnEvents
	warnings     *warningLog
	pauses       pause.Meter
}

// New returns a Daemon that has not been started; call Run to start it.
func New(set *Settings, opts Options) *Daemon {
	now := time.Now()
	d := &Daemon{
		loadSettings:  opts.Reload.Load,
		reloadSignals: opts.Reload.Signals,
		logs:          opts.Logs,
		log:           opts.Logs.Changes,
		registry:      opts.Registry,
		adapter:       opts.Adapter,
		traffic:       opts.Traffic,
		started:       now,
		callerConns:   httpserver.NewConns[*edge.Request](),
		pauses:        pause.Meter{Interval: cpulag.Interval},
		warnings:      newWarningLog(opts.Logs.Changes, opts.Registry),
	}
	d.settings.Store(set)
	d.members.Store(&membership.View{})
	d.upstreamCounts.Store(&map[string]int{})
	random := rand.New(rand.NewPCG(hashName(set.VM), uint64(now.UnixNano())))
	d.engine = edge.New(now, edge.Options{
		Logs:        opts.Logs,
		Metrics:     edge.NewMetrics(opts.Registry),
		Protocol:    opts.Adapter.Upstreams,
		Place:       placeOf(set),
		Traffic:     opts.Traffic,
		Budget:      set.RetryBudget,
		MaxRequests: max(minRequests, int(maxRequests*set.Cores)),
		BodyMemory:  set.Budget().UpstreamBodies(),
		Random:      random,
		ViewAge:     func() time.Duration { return d.syncer.confirmedAge(time.Now()) },
	})
	budget := set.Budget()
	d.syncer = &catalogSyncer{
		log:       opts.Logs.Changes,
		met:       newCatalogMetrics(opts.Registry),
		store:     opts.Adapter.Store,
		announce:  d.announce,
		applyView: d.applyView,
		bodies:    bodylimit.NewMemory(budget.PackedPage()+budget.PackedPage()/2, func() {}),
		maxPage:   budget.PackedPage(),
		codec:     pagecodec.Codec{MaxPage: budget.Page(), MaxWindow: budget.PageWindow()},
		pages:     pageCache{maxBytes: budget.HeldPages()},
		reads:     opts.Adapter.Reads,
		countBytes: func(p traffic.Purpose, address string, bytes int) {
			d.traffic.Add(p, d.distanceTo(address), bytes)
		},
		follower: catalogsync.New(now, catalogsync.Options{
			VM:           set.VM,
			Place:        placeOf(set),
			ChangeBound:  set.ChangeBound,
			FirstStart:   set.FirstStart,
			Seed:         slices.Contains(set.Seeds, set.PeerAddress),
			Decoder:      opts.Adapter.Decoder,
			ContentLimit: budget.Content(),
			Random:       rand.New(rand.NewPCG(hashName(set.VM), uint64(now.UnixMicro()))),
		}),
	}
	d.gossip = d.newGossip(now, set)
	d.registerGauges(opts.Registry)
	d.callerStalls = newCallerStalls(opts.Registry)
	d.conns = httpserver.NewConnEvents(opts.Logs.Failures, opts.Registry)
	d.callerBodies = httpserver.NewCallerBodies(set.Budget().CallerBodies(), opts.Registry)
	opts.Registry.MustRegister(opts.Traffic)
	d.syncer.memberUpdates = d.gossip.Updates
	d.syncer.learnMembers = d.gossip.MergeUpdates
	d.syncer.poison = d.engine.PoisonGuard()
	d.syncer.self = d.gossip.Self
	d.syncer.view = d.members.Load
	return d
}

func hashName(name string) uint64 {
	h := fnv.New64a()
	// Write on a hash.Hash never returns an error.
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

func placeOf(set *Settings) locality.Place {
	return locality.Place{DataCentre: set.DataCentre, Region: set.Region, Regions: set.Regions}
}

// place returns the location of this VM.
func (d *Daemon) place() locality.Place { return placeOf(d.settings.Load()) }

// distanceTo returns the distance to the peer with the given address, or
// locality.Unknown if no member has that address.
func (d *Daemon) distanceTo(address string) locality.Distance {
	for _, m := range d.members.Load().Members {
		if m.PeerAddress == address {
			return d.place().DistanceTo(m.Region, m.DataCentre)
		}
	}
	return locality.Unknown
}

// otherSeeds returns the seeds other than this VM.
func otherSeeds(set *Settings) []string {
	return slices.DeleteFunc(slices.Clone(set.Seeds), func(s string) bool { return s == set.PeerAddress })
}

func (d *Daemon) newGossip(now time.Time, set *Settings) *gossip.Driver {
	return gossip.New(gossip.Options{
		Log:      d.log,
		Registry: d.registry,
		Now:      time.Now,
		OnSend: func(region, dataCentre string, bytes int) {
			d.traffic.Add(traffic.Gossip, d.place().DistanceTo(region, dataCentre), bytes)
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
			Seeds:       otherSeeds(set),
			SoleProcess: true,
			PreferLocal: true,
			Seed:        hashName(set.VM),
			Timing: membership.Timing{
				Period:          gossipPeriod,
				DirectTimeout:   gossipDirectTimeout,
				SuspicionFactor: gossipSuspicionFactor,
				UpdateRate:      gossipUpdateRate,
			},
		},
		Callbacks: gossip.Callbacks{
			View:         d.applyMembers,
			Announcement: d.syncer.onAnnouncement,
			Quarantine:   d.engine.PoisonGuard().HandleEntries,
			Revalidate:   func() { d.log.Warn("gossip: this process was paused") },
			Revalidated:  func(alone bool) { d.log.Info("gossip: peers reachable again", zap.Bool("alone", alone)) },
			Superseded:   func(uint64) {},
		},
	})
}

// announce publishes the catalog position and the time of its last confirmation
// through gossip. A non-nil push sends them to peers immediately.
func (d *Daemon) announce(at catalog.Position, confirmed time.Time, push *catalogsync.Announce) {
	d.gossip.SetConfirmed(at.Era, at.Revision, confirmed)
	if push != nil {
		d.gossip.Announce(push.AllRegions)
	}
}

// applyView makes v the current catalog view unless the current view is newer.
func (d *Daemon) applyView(v *catalog.View) {
	if d.replaceView(v) {
		d.publishCapacity()
	}
}

// replaceView implements applyView and reports whether v is now in force. Views arrive from
// several goroutines: the lock keeps one that was compared before a newer view was applied from
// replacing it.
func (d *Daemon) replaceView(v *catalog.View) bool {
	d.viewMu.Lock()
	defer d.viewMu.Unlock()
	old := d.engine.View()
	if old != nil && !old.SupersededBy(v) {
		return false
	}
	d.engine.SetView(time.Now(), v)
	counts := countUpstreams(v)
	d.upstreamCounts.Store(&counts)
	d.logView(old, v)
	return true
}

func (d *Daemon) logView(old, v *catalog.View) {
	version := uint64(0)
	if v.Table != nil {
		version = v.Table.Version()
	}
	d.log.Info("config: view in force", zap.Uint64("era", v.Era), zap.Uint64("revision", v.Revision), zap.Uint64("version", version), zap.Int("upstreams", len(v.Upstreams)))
	if v.Config != nil && (old == nil || old.Config != v.Config) {
		for _, w := range v.Config.Warnings {
			d.warnings.warn(w.String(), zap.Uint64("version", version))
		}
		d.warnBodyLimit(v.Config.Limits.BodyBytes, version)
	}
	d.logEvacuations(old, v)
	if old == nil {
		return
	}
	for id, u := range old.Upstreams {
		if now := v.Upstreams[id]; now == nil || now.Leaving && !u.Leaving {
			d.log.Info("config: upstream out", zap.String("upstream", id), zap.String("service", u.Service), zap.Bool("leaving", now != nil), zap.Uint64("revision", v.Revision))
		}
	}
}

// warnBodyLimit warns if a configuration allows larger bodies than this VM takes.
func (d *Daemon) warnBodyLimit(limit int, version uint64) {
	if most := min(maxBodyBytes, httpserver.MaxBody(d.settings.Load().Budget().CallerBodies())); limit > most {
		d.warnings.warn(fmt.Sprintf("request bodies above %d bytes are refused, the limit is %d: this VM takes no larger ones", most, limit), zap.Uint64("version", version))
	}
}

// logEvacuations logs the evacuations that have begun or ended since the old view,
// which is nil before the first one.
func (d *Daemon) logEvacuations(old, v *catalog.View) {
	var before map[string]bool
	if old != nil {
		before = old.Evacuated
	}
	for dataCentre := range v.Evacuated {
		if before[dataCentre] {
			continue
		}
		d.log.Info("config: data centre evacuated", zap.String("data_centre", dataCentre), zap.Uint64("revision", v.Revision))
		if _, known := d.settings.Load().Regions[dataCentre]; !known {
			d.warnings.warn("evacuated data centre "+dataCentre+" is not in the settings", zap.Uint64("revision", v.Revision))
		}
	}
	for dataCentre := range before {
		if !v.Evacuated[dataCentre] {
			d.log.Info("config: evacuation ended", zap.String("data_centre", dataCentre), zap.Uint64("revision", v.Revision))
		}
	}
}

// publishCapacity announces through gossip the capacity that this VM offers to
// callers, in thousandths of a core; 0 while it is not ready.
func (d *Daemon) publishCapacity() {
	capacity := uint32(0)
	switch {
	case d.ready() && d.strained.Load():
		capacity = placement.DegradedCapacity
	case d.ready():
		capacity = uint32(max(placement.DegradedCapacity+1, 1000*d.settings.Load().Cores))
	}
	d.gossip.SetCapacity(capacity)
}

// ready reports whether this VM accepts callers' requests.
func (d *Daemon) ready() bool {
	v := d.engine.View()
	return v != nil && v.Table != nil && !d.leaving.Load()
}

// applyMembers makes view the current member view unless the current one is newer.
func (d *Daemon) applyMembers(view *membership.View) {
	if d.replaceMembers(view) {
		d.updateShares(time.Now())
	}
}

// replaceMembers implements applyMembers and reports whether view is now in force.
func (d *Daemon) replaceMembers(view *membership.View) bool {
	d.membersMu.Lock()
	defer d.membersMu.Unlock()
	old := d.members.Load()
	if old.Version > view.Version {
		return false
	}
	d.members.Store(view)
	d.logMembers(old, view)
	d.syncer.setPeers(view, d.settings.Load().VM)
	return true
}

// updateShares updates this VM's share of the limits that apply to the whole fleet.
func (d *Daemon) updateShares(now time.Time) {
	members := d.members.Load()
	carriers := placement.Carriers(members.Members, d.placementBounds())
	d.carrying.Store(carriers[d.settings.Load().CallerAddress])
	shares := d.recentShares.update(now, edge.Shares{
		VMs:        len(members.Serving()),
		IngressVMs: len(carriers),
		Ingress:    d.carrying.Load(),
	})
	if now.Sub(d.started) < startupSettleTime {
		shares.VMs = max(shares.VMs, startupMinVMs)
		shares.IngressVMs = max(shares.IngressVMs, startupMinCarriers)
	}
	d.engine.SetShares(now, shares)
}

func (d *Daemon) logMembers(old, view *membership.View) {
	before := map[string]pb.MemberState{}
	for i := range old.Members {
		before[old.Members[i].VM] = old.Members[i].State
	}
	for i := range view.Members {
		m := &view.Members[i]
		if was, known := before[m.VM]; !known || was != m.State {
			d.log.Info("gossip: member", zap.String("member", m.VM), zap.Stringer("state", m.State), zap.Uint64("incarnation", m.Incarnation))
		}
	}
}

// chooseVMs returns the addresses of the VMs that a caller should use, or none while
// the member list of a process that has just started may be incomplete.
func (d *Daemon) chooseVMs(c placement.Caller) []string {
	if !d.settings.Load().FirstStart && time.Since(d.started) < startupSettleTime {
		return nil
	}
	if v := d.engine.View(); v != nil && v.Table != nil {
		c.Homes = v.Table.HostHomes(c.Host)
	}
	return placement.Choose(d.members.Load().Members, c, d.placementBounds())
}

// Run serves until ctx is done, then shuts down within the grace period. It returns
// an error if a listener cannot be opened or a server fails.
func (d *Daemon) Run(ctx context.Context) error {
	d.log.Info("node: started", zap.String("data_centre", d.settings.Load().DataCentre), zap.Bool("first_start", d.settings.Load().FirstStart))
	servers, err := d.listen()
	if err != nil {
		return trace.Wrap(err)
	}
	packets, err := net.ListenPacket("udp", d.settings.Load().peerListen())
	if err != nil {
		return trace.Wrap(err)
	}
	d.adapter.Store.OnLargeRead(d.syncer.readLarge)
	d.adapter.Store.Prefer(d.syncer.holds)
	run, stop := context.WithCancel(context.Background())
	defer stop()
	group, run := errgroup.WithContext(run)
	group.Go(func() error { return d.gossip.Run(run, packets) })
	group.Go(func() error { return d.syncer.run(run) })
	group.Go(func() error { return d.join(run) })
	group.Go(func() error { return d.runTicker(run) })
	group.Go(func() error { return d.engine.PoisonGuard().Run(run, d.gossip) })
	group.Go(func() error { return d.watchStrain(run) })
	group.Go(func() error { return d.logTraffic(run) })
	group.Go(func() error { return d.watchSettings(run) })
	for _, s := range servers {
		group.Go(s.serve)
	}
	var stopping sync.WaitGroup
	stopping.Add(1)
	var exitLimit time.Time
	go func() {
		defer stopping.Done()
		select {
		case <-ctx.Done():
			exitLimit = d.shutdown(servers)
		case <-run.Done():
		}
		stop()
		closeAll(servers)
	}()
	err = group.Wait()
	stopping.Wait()
	// A connection may have been accepted while the listener was closed.
	d.closeConnections(nil, exitLimit, slowRequestTime)
	d.log.Info("node: stopped", zap.Error(err))
	return trace.Wrap(err)
}

// watchStrain measures the scheduling delay of this process and reduces the
// published capacity while the process gets too little CPU time.
func (d *Daemon) watchStrain(ctx context.Context) error {
	t := time.NewTicker(cpulag.Interval)
	defer t.Stop()
	var m cpulag.Meter
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		now := time.Now()
		d.pauses.Observe(now)
		changed := m.Observe(now)
		d.engine.SetSchedulingDelay(m.Lag())
		if changed {
			d.strained.Store(m.Strained())
			d.log.Warn("node: strain", zap.Bool("strained", m.Strained()), zap.Duration("lag", m.Lag()))
			d.publishCapacity()
		}
	}
}

func (d *Daemon) runTicker(ctx context.Context) error {
	t := time.NewTicker(engineTickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			d.engine.Tick(now)
			d.conns.Log()
			d.updateShares(now)
		}
	}
}
