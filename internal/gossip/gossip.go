// Package gossip transports the datagrams of internal/membership over UDP. It
// signs outgoing datagrams, drops unsigned, malformed and replayed ones, and
// drives the membership state machine by the clock. It makes no decisions about
// members.
//
// Lock order: Driver.mu is a leaf. No other lock is acquired, no callback is
// invoked and no datagram is sent while it is held.
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

// ticksPerPeriod is the number of state machine ticks in one probe period.
const ticksPerPeriod = 5

// Callbacks are the notifications that a driver sends to its owner. The driver
// invokes them without holding its lock, one at a time in each of its two
// goroutines.
type Callbacks struct {
	// View receives each changed view. Views may arrive out of order: compare
	// their Version.
	View func(*membership.View)
	// Announcement receives the configuration position that a peer announces; may be nil.
	Announcement func(Announcement)
	// Quarantine receives the quarantine entries that a peer sends; may be nil.
	Quarantine func(peer string, entries []*pb.QuarantineEntry)
	// Revalidate reports that this process was paused: the owner must not start
	// new work until Revalidated.
	Revalidate func()
	// Revalidated reports that new work may start again; alone is set when no
	// peer answered.
	Revalidated func(alone bool)
	// Superseded reports that a newer process, with the given incarnation, uses
	// this VM's name.
	Superseded func(incarnation uint64)
}

// Announcement is the configuration position in a peer's datagram.
type Announcement struct {
	Sender *pb.MemberUpdate
	// Era and Revision are the sender's position in the store's history.
	Era, Revision uint64
	// Age is the time since the store confirmed the revision; 0 when the sender
	// does not report it.
	Age time.Duration
}

// Options configure a Driver.
type Options struct {
	Log       *zap.Logger
	Registry  prometheus.Registerer
	Node      membership.Options
	Keys      []*pb.PeerKey
	Callbacks Callbacks
	// OnSend receives the size of each sent datagram and the location of its
	// receiver, which is empty when unknown; may be nil.
	OnSend func(region, dataCentre string, bytes int)
	Now    func() time.Time
}

// Driver runs one membership.Node. It is safe for concurrent use.
type Driver struct {
	opts           Options
	log            *zap.Logger
	met            *metrics
	signer         *Signer
	period         time.Duration
	pauseThreshold time.Duration
	// conn is nil until Run; datagrams sent earlier are dropped.
	conn atomic.Pointer[net.PacketConn]
	// lastTick is the time of the node's last tick; inDoubt caches
	// node.Revalidating as of that tick.
	lastTick atomic.Pointer[time.Time]
	inDoubt  atomic.Bool

	mu       sync.Mutex
	node     *membership.Node
	replays  *ReplayFilter
	sequence uint64
}

// New creates a driver and registers its metrics; Run starts it.
func New(opts Options) *Driver {
	d := &Driver{
		opts:           opts,
		log:            opts.Log,
		met:            newMetrics(opts.Registry),
		signer:         NewSigner(opts.Keys),
		node:           membership.New(opts.Now(), opts.Node),
		replays:        NewReplayFilter(),
		period:         cmp.Or(opts.Node.Timing.Period, membership.DefaultPeriod),
		pauseThreshold: cmp.Or(opts.Node.Timing.PauseThreshold, membership.DefaultPauseThreshold),
	}
	registerStats(opts.Registry, func() membership.Stats {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.node.Stats()
	})
	return d
}

// Run receives datagrams and ticks the node until ctx ends, then closes conn.
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

// Revalidating reports whether new work is forbidden at now because this process was
// paused and no peer has answered since. It compares now with the last tick, so
// that a goroutine that wakes before the ticker detects the pause too. It takes
// no lock.
func (d *Driver) Revalidating(now time.Time) bool {
	last := d.lastTick.Load()
	return d.inDoubt.Load() || last != nil && pause.Gap(*last, now) >= d.pauseThreshold
}

// View returns the current view of the members.
func (d *Driver) View() *membership.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.View()
}

// SetList applies the platform's list of VMs and returns the resulting view. It
// invokes no callback, so the caller may hold its own lock.
func (d *Driver) SetList(vms []*pb.VM) *membership.View {
	d.mu.Lock()
	act := d.node.SetList(d.opts.Now(), vms)
	view := d.node.View()
	packets := d.encode(act.Sends)
	d.mu.Unlock()
	d.send(packets)
	return view
}

// SetRevision sets the configuration revision to announce, without a store era.
func (d *Driver) SetRevision(revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.node.SetRevision(0, revision)
}

// SetConfirmed sets the store era and revision to announce, and the time at
// which the store last confirmed them.
func (d *Driver) SetConfirmed(era, revision uint64, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.node.SetRevision(era, revision)
	d.node.SetConfirmed(at)
}

// SetCapacity announces the capacity of this VM for callers, in thousandths of
// a core.
func (d *Driver) SetCapacity(capacity uint32) {
	d.step(func(now time.Time) membership.Actions { return d.node.SetCapacity(now, capacity) })
}

// Announce immediately sends this VM's state to a few peers; wide includes
// peers in every region.
func (d *Driver) Announce(wide bool) {
	d.step(func(now time.Time) membership.Actions { return d.node.Announce(now, wide) })
}

// Broadcast sends quarantine entries to at most the given number of members;
// membership.AllMembers means every member.
func (d *Driver) Broadcast(entries []*pb.QuarantineEntry, most int) {
	d.step(func(now time.Time) membership.Actions { return d.node.Broadcast(now, entries, most) })
}

// Updates returns the state of all known members, this VM included.
func (d *Driver) Updates() []*pb.MemberUpdate {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Updates()
}

// Self returns this VM's own member state.
func (d *Driver) Self() *pb.MemberUpdate {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Self()
}

// MergeUpdates merges a peer's list of members; it drops invalid updates.
func (d *Driver) MergeUpdates(updates []*pb.MemberUpdate) {
	good, dropped := filterUpdates(d.opts.Node.Self, updates)
	d.reportDropped(dropped)
	d.step(func(now time.Time) membership.Actions { return d.node.MergeUpdates(now, good) })
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

// advance ticks the node. The caller holds mu. It stores inDoubt before
// lastTick: in the other order Revalidating could miss a pause between the two
// stores.
func (d *Driver) advance(now time.Time) membership.Actions {
	act := d.node.Tick(now)
	d.inDoubt.Store(d.node.Revalidating())
	d.lastTick.Store(&now)
	return act
}

func (d *Driver) receive(ctx context.Context, conn net.PacketConn) error {
	// One byte more than the limit, to detect datagrams that exceed it.
	buf := make([]byte, membership.MaxDatagram+1)
	for {
		n, _, err := conn.ReadFrom(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The error may belong to a datagram sent earlier, such as a refused
			// one. The socket remains usable.
			d.met.errors.Inc()
			continue
		}
		d.handle(buf[:n])
	}
}

// handle processes one received datagram. The members learn nothing from a
// dropped one.
func (d *Driver) handle(b []byte) {
	m, reason := d.signer.Verify(b)
	if reason != "" {
		d.met.dropped.WithLabelValues(string(reason)).Inc()
		return
	}
	accepted := false
	d.step(func(now time.Time) membership.Actions {
		reason = d.replays.Accept(now, m.Sender.Vm, m.Sender.Incarnation, m.Sequence)
		switch reason {
		case "":
			accepted = true
			return d.node.Receive(now, m)
		case Outdated:
			return d.node.ReplyToOutdated(now, m.Sender)
		default:
			return membership.Actions{}
		}
	})
	if !accepted {
		d.met.dropped.WithLabelValues(string(reason)).Inc()
		return
	}
	d.met.received.Inc()
	if f := d.opts.Callbacks.Announcement; f != nil {
		f(Announcement{m.Sender, m.StoreEra, m.ConfigRevision, time.Duration(m.ConfirmedAgeMs) * time.Millisecond})
	}
	if f := d.opts.Callbacks.Quarantine; f != nil && len(m.Quarantine) > 0 {
		f(m.Sender.Vm, m.Quarantine)
	}
}

// step runs one transition of the node under the lock, then sends the resulting
// datagrams and invokes the callbacks without it.
func (d *Driver) step(f func(now time.Time) membership.Actions) {
	d.mu.Lock()
	act := f(d.opts.Now())
	view := d.node.View()
	packets := d.encode(act.Sends)
	d.mu.Unlock()
	d.send(packets)
	d.notify(act, view)
}

func (d *Driver) notify(act membership.Actions, view *membership.View) {
	call := d.opts.Callbacks
	if act.Revalidate {
		call.Revalidate()
	}
	if act.ViewChanged {
		d.met.setMembers(view)
		call.View(view)
	}
	if act.Revalidated {
		call.Revalidated(act.NoPeerAnswered)
	}
	if act.Superseded != 0 {
		call.Superseded(act.Superseded)
	}
}

// packet is a signed datagram and its destination.
type packet struct {
	to                 netip.AddrPort
	region, dataCentre string
	data               []byte
}

// encode numbers and signs datagrams in sending order. The caller holds mu.
func (d *Driver) encode(sends []membership.Send) []packet {
	var out []packet
	for _, s := range sends {
		to, err := netip.ParseAddrPort(s.Address)
		if err != nil {
			d.met.errors.Inc()
			continue
		}
		d.sequence++
		s.Datagram.Sequence = d.sequence
		data, err := d.signer.Sign(s.Datagram)
		if err != nil || len(data) > membership.MaxDatagram {
			d.met.errors.Inc()
			d.log.Error("gossip: cannot encode datagram", zap.Int("bytes", len(data)), zap.Error(err))
			continue
		}
		out = append(out, packet{to: to, region: s.Region, dataCentre: s.DataCentre, data: data})
	}
	return out
}

func (d *Driver) send(packets []packet) {
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
		if f := d.opts.OnSend; f != nil {
			f(p.region, p.dataCentre, len(p.data))
		}
	}
}

func stateLabel(s pb.MemberState) string {
	return strings.ToLower(s.String())
}
