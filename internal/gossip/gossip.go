// Package gossip carries the datagrams of internal/membership over UDP: it signs
// them, refuses what is not signed, malformed or replayed, and moves the node's
// time on. It decides nothing about members.
//
// Lock order: Driver.mu is a leaf: no lock is taken, no callback made and no
// datagram sent while it is held.
package gossip

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/pause"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// ticksPerPeriod is how often the node is moved on in one probe period.
const ticksPerPeriod = 5

// Callbacks is what a driver tells its daemon. They run without a lock held, one
// at a time for each of the driver's two goroutines.
type Callbacks struct {
	// View gives a changed view; views may arrive out of order, by Version.
	View func(*membership.View)
	// Heard tells what a peer announced of its configuration; may be nil.
	Heard func(Announcement)
	// Quarantine gives entries of a peer; may be nil.
	Quarantine func(peer string, entries []*pb.QuarantineEntry)
	// Revalidate says that this process was paused: no new work may start.
	Revalidate func()
	// Revalidated ends it; alone says that no peer answered.
	Revalidated func(alone bool)
	// Superseded says that a newer process has this VM's name.
	Superseded func(incarnation uint64)
}

// Announcement is what a datagram says of its sender's configuration.
type Announcement struct {
	From *pb.MemberUpdate
	// Era and Revision are the sender's position in the store's history.
	Era, Revision uint64
	// Age is the time since the store confirmed the revision; 0 when the sender
	// does not say.
	Age time.Duration
}

// Options is what a driver needs.
type Options struct {
	Log       *zap.Logger
	Registry  prometheus.Registerer
	Node      membership.Options
	Keys      []*pb.PeerKey
	Callbacks Callbacks
	// Sent counts a datagram's bytes by the place of its receiver, which is empty when it
	// is not known; may be nil.
	Sent func(region, dataCentre string, bytes int)
	Now  func() time.Time
}

// Driver runs one node.
type Driver struct {
	opts   Options
	log    *zap.Logger
	met    *metrics
	sealer *Sealer
	period time.Duration
	pause  time.Duration
	// conn is nil until Run: what is sent before is dropped.
	conn atomic.Pointer[net.PacketConn]
	// ticked is when the node was last moved on; doubt is its own view of it.
	ticked atomic.Pointer[time.Time]
	doubt  atomic.Bool

	mu       sync.Mutex
	node     *membership.Node
	windows  *Windows
	sequence uint64
}

// New makes a driver; Run starts it.
func New(opts Options) *Driver {
	d := &Driver{
		opts:    opts,
		log:     opts.Log,
		met:     newMetrics(opts.Registry),
		sealer:  NewSealer(opts.Keys),
		node:    membership.New(opts.Now(), opts.Node),
		windows: NewWindows(),
		period:  cmp.Or(opts.Node.Timing.Period, membership.DefaultPeriod),
		pause:   cmp.Or(opts.Node.Timing.Pause, membership.DefaultPause),
	}
	registerStats(opts.Registry, func() membership.Stats {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.node.Stats()
	})
	return d
}

// Run receives and ticks until ctx ends, then closes the socket.
func (d *Driver) Run(ctx context.Context, conn net.PacketConn) error {
	d.conn.Store(&conn)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.receive(ctx, conn) })
	group.Go(func() error { return d.tick(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		return trace.Wrap(conn.Close())
	})
	return group.Wait()
}

// InDoubt tells whether no new work may start at now because this process was
// paused and has not heard from its peers since. It looks at the last tick
// itself: what wakes before the ticker must not take the pause for no pause. It
// takes no lock.
func (d *Driver) InDoubt(now time.Time) bool {
	last := d.ticked.Load()
	return d.doubt.Load() || last != nil && pause.Gap(*last, now) >= d.pause
}

// View is the members as seen now.
func (d *Driver) View() *membership.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.View()
}

// SetList takes in the platform's list and returns the view it gives. It makes
// no callback, so that the daemon may hold its own lock.
func (d *Driver) SetList(vms []*pb.VM) *membership.View {
	d.mu.Lock()
	act := d.node.SetList(d.opts.Now(), vms)
	view := d.node.View()
	packets := d.seal(act.Sends)
	d.mu.Unlock()
	d.write(packets)
	return view
}

// SetRevision tells which configuration revision to announce.
func (d *Driver) SetRevision(revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.node.SetRevision(0, revision)
}

// SetConfirmed tells which revision to announce, of which era of the store, and when the
// store last confirmed it.
func (d *Driver) SetConfirmed(era, revision uint64, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.node.SetRevision(era, revision)
	d.node.SetConfirmed(at)
}

// SetCapacity announces the work that this VM can carry for callers.
func (d *Driver) SetCapacity(capacity uint32) {
	d.step(func(now time.Time) membership.Actions { return d.node.SetCapacity(now, capacity) })
}

// Announce tells some peers at once what this VM knows; wide reaches every
// region.
func (d *Driver) Announce(wide bool) {
	d.step(func(now time.Time) membership.Actions { return d.node.Announce(now, wide) })
}

// Broadcast gives entries of the quarantine to so many members, or to membership.All.
func (d *Driver) Broadcast(entries []*pb.QuarantineEntry, most int) {
	d.step(func(now time.Time) membership.Actions { return d.node.Broadcast(now, entries, most) })
}

// Updates is what this VM holds of the fleet.
func (d *Driver) Updates() []*pb.MemberUpdate {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Updates()
}

// Self is what this VM says of itself.
func (d *Driver) Self() *pb.MemberUpdate {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Self()
}

// Learn takes in what a peer holds of the fleet; updates that cannot be so are dropped.
func (d *Driver) Learn(updates []*pb.MemberUpdate) {
	good, dropped := listed(d.opts.Node.Self, updates)
	d.tellDropped(dropped)
	d.step(func(now time.Time) membership.Actions { return d.node.Learn(now, good) })
}

// Leave announces a planned stop.
func (d *Driver) Leave() {
	d.step(func(now time.Time) membership.Actions { return d.node.Leave(now) })
}

func (d *Driver) tick(ctx context.Context) error {
	t := time.NewTicker(d.period / ticksPerPeriod)
	defer t.Stop()
	for {
		d.step(d.advance)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// advance ticks. The caller holds mu. The doubt is raised before the tick is
// noted, so that InDoubt never shows a moment of neither.
func (d *Driver) advance(now time.Time) membership.Actions {
	act := d.node.Tick(now)
	d.doubt.Store(d.node.InDoubt())
	d.ticked.Store(&now)
	return act
}

func (d *Driver) receive(ctx context.Context, conn net.PacketConn) error {
	// One byte more than a datagram may have shows those that are too long.
	buf := make([]byte, membership.MaxDatagram+1)
	for {
		n, _, err := conn.ReadFrom(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// A refused earlier datagram may show up here; the socket lives on.
			d.met.errors.Inc()
			continue
		}
		d.handle(buf[:n])
	}
}

// handle takes one datagram in; one that is refused changes nothing.
func (d *Driver) handle(b []byte) {
	m, reason := d.sealer.Open(b)
	if reason != "" {
		d.met.dropped.WithLabelValues(string(reason)).Inc()
		return
	}
	taken := false
	d.step(func(now time.Time) membership.Actions {
		reason = d.windows.Take(now, m.Sender.Vm, m.Sender.Incarnation, m.Sequence)
		switch reason {
		case "":
			taken = true
			return d.node.Receive(now, m)
		case Outdated:
			return d.node.Outdated(now, m.Sender)
		default:
			return membership.Actions{}
		}
	})
	if !taken {
		d.met.dropped.WithLabelValues(string(reason)).Inc()
		return
	}
	d.met.received.Inc()
	if f := d.opts.Callbacks.Heard; f != nil {
		f(Announcement{m.Sender, m.StoreEra, m.ConfigRevision, time.Duration(m.ConfirmedAgeMs) * time.Millisecond})
	}
	if f := d.opts.Callbacks.Quarantine; f != nil && len(m.Quarantine) > 0 {
		f(m.Sender.Vm, m.Quarantine)
	}
}

// step moves the node on, then does what it asked for without the lock.
func (d *Driver) step(f func(now time.Time) membership.Actions) {
	d.mu.Lock()
	act := f(d.opts.Now())
	view := d.node.View()
	packets := d.seal(act.Sends)
	d.mu.Unlock()
	d.write(packets)
	d.tell(act, view)
}

func (d *Driver) tell(act membership.Actions, view *membership.View) {
	call := d.opts.Callbacks
	if act.Revalidate {
		call.Revalidate()
	}
	if act.ViewChanged {
		d.met.show(view)
		call.View(view)
	}
	if act.Revalidated {
		call.Revalidated(act.Alone)
	}
	if act.Superseded != 0 {
		call.Superseded(act.Superseded)
	}
}

// packet is a signed datagram.
type packet struct {
	to                 netip.AddrPort
	region, dataCentre string
	data               []byte
}

// seal stamps and signs datagrams in the order they are sent. The caller holds
// mu.
func (d *Driver) seal(sends []membership.Send) []packet {
	var out []packet
	for _, s := range sends {
		to, err := netip.ParseAddrPort(s.Address)
		if err != nil {
			d.met.errors.Inc()
			continue
		}
		d.sequence++
		s.Datagram.Sequence = d.sequence
		data, err := d.sealer.Seal(s.Datagram)
		if err != nil || len(data) > membership.MaxDatagram {
			d.met.errors.Inc()
			d.log.Error("gossip: datagram could not be made", zap.Int("bytes", len(data)), zap.Error(err))
			continue
		}
		out = append(out, packet{to: to, region: s.Region, dataCentre: s.DataCentre, data: data})
	}
	return out
}

func (d *Driver) write(packets []packet) {
	conn := d.conn.Load()
	if conn == nil {
		return
	}
	for _, p := range packets {
		if _, err := (*conn).WriteTo(p.data, net.UDPAddrFromAddrPort(p.to)); err != nil {
			d.met.errors.Inc()
			continue
		}
		d.met.sent.Inc()
		d.met.sentBytes.Add(float64(len(p.data)))
		if f := d.opts.Sent; f != nil {
			f(p.region, p.dataCentre, len(p.data))
		}
	}
}

func stateLabel(s pb.MemberState) string {
	return strings.ToLower(s.String())
}
