// Package membership tracks which VMs of the fleet are alive, suspected, leaving
// or dead. It implements the SWIM protocol: each node probes one member per
// period, asks other members to probe a silent one before it suspects it, and
// piggybacks membership updates on the probes. Node is a pure state machine: it
// takes the time and received datagrams and returns the datagrams to send.
// Package gossip drives it.
package membership

import (
	"math"
	"math/rand/v2"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/locality"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// MaxDatagram is the largest UDP payload in bytes, signature included. Datagrams
// up to this size are not fragmented on any network path in use.
const MaxDatagram = 1200

// SignatureBytes is the space reserved in each datagram for its signature.
const SignatureBytes = 32

// Default values of Timing.
const (
	DefaultPeriod            = time.Second
	DefaultDirectTimeout     = 300 * time.Millisecond
	DefaultSuspicionFactor   = 4
	DefaultIndirect          = 3
	DefaultTombstone         = 2 * time.Hour
	DefaultJoinGrace         = 2 * time.Minute
	DefaultPauseThreshold    = 2 * time.Second
	DefaultRevalidationRetry = time.Second
	DefaultUpdateRate        = 1500
)

// Timing holds the protocol's intervals and counts. Zero fields take the defaults.
type Timing struct {
	// Period is the interval between two probes.
	Period time.Duration
	// DirectTimeout is how long a direct probe may stay unanswered before other
	// members are asked to probe the target.
	DirectTimeout time.Duration
	// SuspicionFactor times log10 of the number of members gives the number of
	// periods that a suspect has to refute the suspicion.
	SuspicionFactor float64
	// Indirect is the number of members asked for an indirect probe, and the number
	// of members that must answer a node after a pause.
	Indirect int
	// Tombstone is how long a dead member is kept that the platform does not list.
	Tombstone time.Duration
	// JoinGrace is how long the platform's list may take to include a new VM.
	JoinGrace time.Duration
	// PauseThreshold is the gap between two ticks from which the node counts as paused and
	// must revalidate its view.
	PauseThreshold time.Duration
	// RevalidationRetry is how long a revalidating node waits for answers before it sends
	// more probes. After three rounds it continues with the answers it has.
	RevalidationRetry time.Duration
	// UpdateRate limits the bytes per second spent on updates.
	UpdateRate float64
}

// Options configures a Node.
type Options struct {
	// Self describes this VM. Its State and Refutation are ignored.
	Self *pb.MemberUpdate
	// Seeds are peer addresses to probe in addition to the known members, so that a
	// node with no contacts can join.
	Seeds []string
	// SoleProcess asserts that no other process can have this VM's name. A higher
	// incarnation of the same name then comes from a predecessor whose clock was
	// ahead: this process takes a still higher incarnation instead of stopping.
	SoleProcess bool
	// PreferLocal makes a node with enough members in its own data centre send most
	// probes and updates to them.
	PreferLocal bool
	// Seed seeds the node's random choices, so that they are repeatable.
	Seed   uint64
	Timing Timing
}

// Send is a datagram to send. The driver sets its sequence number.
type Send struct {
	Address string
	// Region and DataCentre locate the receiver. They are empty if only its address
	// is known.
	Region     string
	DataCentre string
	Datagram   *pb.Datagram
}

// Actions tells the driver what to do after a step.
type Actions struct {
	Sends []Send
	// ViewChanged reports that View returns a new view.
	ViewChanged bool
	// Revalidate reports that this node was paused. Its view may be out of date, so
	// no new work may start until Revalidated.
	Revalidate bool
	// Revalidated reports the end of the revalidation; NoPeerAnswered reports that no member
	// answered during it.
	Revalidated    bool
	NoPeerAnswered bool
	// Superseded is the incarnation of a newer process with this node's name, or 0.
	// If it is set, this process must stop serving.
	Superseded uint64
}

// Stats counts protocol events since the node was created.
type Stats struct {
	Probes         uint64
	IndirectProbes uint64
	FailedProbes   uint64
	Suspicions     uint64
	Refutations    uint64
	Deaths         uint64
	Pauses         uint64
	Outdated       uint64
}

// Node is the membership state of one VM. It is not safe for concurrent use.
type Node struct {
	opts   Options
	timing Timing
	rand   *rand.Rand
	self   *record
	table  table
	queue  updateQueue

	// era and revision identify the configuration that this node announces.
	era, revision     uint64
	confirmed         time.Time
	version           uint64
	view              *View
	lastTick          time.Time
	lastReceived      time.Time
	nextProbe         time.Time
	nextDissemination time.Time
	sinceReconnect    int
	// untilRemoteProbe counts the periods left until a member of another data centre
	// is probed.
	untilRemoteProbe int
	// preferLocal is set while this node mostly contacts its own data centre. watched
	// maps another data centre to the time until which its members are probed in
	// turn as well.
	preferLocal  bool
	watched      map[string]time.Time
	ring         []string
	pending      *probe
	relays       map[uint64]relay
	lastID       uint64
	budget       budget
	revalidation *revalidation
	outdatedAt   time.Time
	list         []*pb.VM
	superseded   bool
	stats        Stats

	// now, out and dirty hold the state of the step in progress.
	now   time.Time
	out   Actions
	dirty bool
}

// New returns a node that knows only itself.
func New(now time.Time, opts Options) *Node {
	n := &Node{
		opts:    opts,
		timing:  opts.Timing.withDefaults(),
		rand:    rand.New(rand.NewPCG(opts.Seed, opts.Self.Incarnation)),
		table:   newTable(),
		queue:   newUpdateQueue(),
		relays:  map[uint64]relay{},
		watched: map[string]time.Time{},
		now:     now,
	}
	n.budget = budget{rate: n.timing.UpdateRate, last: now, tokens: n.timing.UpdateRate}
	n.self = newRecord(opts.Self, now)
	n.self.State = pb.MemberState_ALIVE
	n.self.refutation = 0
	n.table.insert(n.self)
	// Random offsets keep nodes that start together from probing the same member at
	// the same time.
	n.nextProbe = now.Add(time.Duration(n.rand.Int64N(int64(n.timing.Period))))
	n.sinceReconnect = n.rand.IntN(reconnectInterval)
	if opts.PreferLocal {
		n.untilRemoteProbe = n.rand.IntN(remoteProbeInterval)
	}
	n.view = n.buildView()
	return n
}

func (t Timing) withDefaults() Timing {
	setDefault(&t.Period, DefaultPeriod)
	setDefault(&t.DirectTimeout, DefaultDirectTimeout)
	setDefault(&t.SuspicionFactor, DefaultSuspicionFactor)
	setDefault(&t.Indirect, DefaultIndirect)
	setDefault(&t.Tombstone, DefaultTombstone)
	setDefault(&t.JoinGrace, DefaultJoinGrace)
	setDefault(&t.PauseThreshold, DefaultPauseThreshold)
	setDefault(&t.RevalidationRetry, DefaultRevalidationRetry)
	setDefault(&t.UpdateRate, DefaultUpdateRate)
	return t
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// View returns the current members as this node sees them.
func (n *Node) View() *View { return n.view }

// Stats returns the event counters.
func (n *Node) Stats() Stats { return n.stats }

// Revalidating reports whether this node was paused and has not finished its
// revalidation.
func (n *Node) Revalidating() bool { return n.revalidation != nil }

// SetRevision sets the configuration revision to announce and the store era that
// it belongs to, 0 if there is none.
func (n *Node) SetRevision(era, revision uint64) { n.era, n.revision = era, revision }

// SetConfirmed sets when the store last confirmed this node's configuration,
// directly or through a peer. Datagrams carry the age of that confirmation.
func (n *Node) SetConfirmed(at time.Time) { n.confirmed = at }

// SetCapacity announces how much work this VM can do for callers, in thousandths
// of a core. With 0 the VM is left out of the addresses given to callers.
func (n *Node) SetCapacity(now time.Time, capacity uint32) Actions {
	n.begin(now)
	if n.self.Capacity != capacity {
		n.table.edit(n.self, func() {
			n.self.Capacity = capacity
			n.self.refutation++
		})
		n.enqueue(n.self)
		n.dirty = true
	}
	return n.end()
}

// Announce sends this node's record, configuration revision and queued updates
// immediately to two members of its own data centre and to two of each other data
// centre of its region. If wide is set, it also sends them to two members of each
// other region. Receivers forward an announcement without wide.
func (n *Node) Announce(now time.Time, wide bool) Actions {
	n.begin(now)
	limits := announceNarrow
	if wide {
		limits = announceWide
	}
	sent := map[announceGroup]int{}
	for _, r := range n.pick(len(n.table.sorted), func(r *record) bool { return r.serves() }) {
		g := n.announceGroupOf(r)
		if sent[g] < limits[g.distance] {
			sent[g]++
			n.send(r.PeerAddress, &pb.Datagram{}, r)
		}
	}
	return n.end()
}

// Broadcast sends quarantine entries to at most limit random members that are alive
// or suspected. With AllMembers it sends them to every such member.
func (n *Node) Broadcast(now time.Time, entries []*pb.QuarantineEntry, limit int) Actions {
	n.begin(now)
	for _, r := range n.pick(limit, func(r *record) bool { return r.serves() }) {
		n.send(r.PeerAddress, &pb.Datagram{Quarantine: entries}, r)
	}
	return n.end()
}

// AllMembers is the limit for Broadcast that includes every member.
const AllMembers = math.MaxInt

// announceGroup identifies a set of members of which an announcement goes to a
// few: this node's data centre, another data centre of its region, or another
// region.
type announceGroup struct {
	distance locality.Distance
	name     string
}

func (n *Node) announceGroupOf(r *record) announceGroup {
	d := locality.Place{Region: n.self.Region, DataCentre: n.self.DataCentre}.DistanceTo(r.Region, r.DataCentre)
	if d == locality.Far {
		return announceGroup{d, r.Region}
	}
	return announceGroup{d, r.DataCentre}
}

// announceWide and announceNarrow give the number of members per group that receive an
// announcement directly, by their distance. A wide announcement follows a read from the
// store, a narrow one forwards it. Two members of each remote region receive it, in case
// one datagram is lost.
var (
	announceWide   = [locality.Distances + 1]int{locality.Near: 2, locality.Regional: 2, locality.Far: 2}
	announceNarrow = [locality.Distances + 1]int{locality.Near: 2, locality.Regional: 2}
)

// Tick advances the node's timers. The driver calls it several times per period.
func (n *Node) Tick(now time.Time) Actions {
	n.begin(now)
	n.detectPause()
	n.lastTick = now
	n.expireSuspicions()
	n.reapDead()
	n.advanceProbe()
	n.advanceRevalidation()
	n.advanceDissemination()
	return n.end()
}

// Receive processes a datagram that the driver has authenticated and validated.
func (n *Node) Receive(now time.Time, d *pb.Datagram) Actions {
	n.begin(now)
	n.lastReceived = now
	n.applyUpdate(d.Sender)
	for _, u := range d.Updates {
		n.applyUpdate(u)
	}
	n.handleBody(d)
	return n.end()
}

// Self returns this node's own record as an update.
func (n *Node) Self() *pb.MemberUpdate { return n.self.fullUpdate() }

// Updates returns all members that this node has an incarnation of, itself
// included, for a process that requests the full list.
func (n *Node) Updates() []*pb.MemberUpdate {
	out := make([]*pb.MemberUpdate, 0, len(n.table.sorted))
	for _, r := range n.table.sorted {
		if r.Incarnation == 0 {
			continue
		}
		u := r.fullUpdate()
		u.SecondHand = r != n.self
		out = append(out, u)
	}
	return out
}

// MergeUpdates merges a list of members received from a peer. Members that were unknown
// so far are not queued for dissemination, because the node that first learnt of
// them already disseminates them. Otherwise each starting process would spread the
// whole list again: in a fleet of hundreds, a dozen copies per VM.
func (n *Node) MergeUpdates(now time.Time, updates []*pb.MemberUpdate) Actions {
	n.begin(now)
	for _, u := range updates {
		unknown := n.table.get(u.Vm) == nil
		n.applyUpdate(u)
		if unknown {
			n.queue.drop(u.Vm)
		}
	}
	return n.end()
}

// ReplyToOutdated answers a datagram from an incarnation that a newer one has replaced.
// Without the answer the old process would never learn that it was replaced. At
// most one answer is sent per period.
func (n *Node) ReplyToOutdated(now time.Time, sender *pb.MemberUpdate) Actions {
	n.begin(now)
	r := n.table.get(sender.Vm)
	if r != nil && r.Incarnation > sender.Incarnation && now.Sub(n.outdatedAt) >= n.timing.Period {
		n.outdatedAt = now
		n.stats.Outdated++
		n.send(sender.PeerAddress, &pb.Datagram{Updates: []*pb.MemberUpdate{r.fullUpdate()}}, nil)
	}
	return n.end()
}

// Leave announces a planned stop immediately to several members. Each of them
// moves this VM's upstreams to other owners as soon as it receives the
// announcement.
func (n *Node) Leave(now time.Time) Actions {
	n.begin(now)
	if n.self.State != pb.MemberState_LEAVING {
		n.self.refutation++
		n.setState(n.self, pb.MemberState_LEAVING)
	}
	for _, r := range n.pick(leaveFanout, func(r *record) bool { return r.serves() }) {
		n.send(r.PeerAddress, &pb.Datagram{}, r)
	}
	return n.end()
}

// leaveFanout is the number of members that are notified directly of a planned
// stop.
const leaveFanout = 16

func (n *Node) begin(now time.Time) {
	n.now = now
	n.out = Actions{}
	n.budget.refill(now)
}

func (n *Node) end() Actions {
	if n.dirty {
		n.dirty = false
		n.version++
		n.view = n.buildView()
		n.out.ViewChanged = true
	}
	return n.out
}

func (n *Node) buildView() *View {
	v := &View{Version: n.version, Members: make([]Member, 0, len(n.table.sorted))}
	for _, r := range n.table.sorted {
		v.Members = append(v.Members, r.viewMember())
	}
	return v
}

// suspicionTimeout grows with the logarithm of the number of members, as does the
// time an update takes to reach all of them.
func (n *Node) suspicionTimeout() time.Duration {
	scale := max(1, math.Log10(float64(len(n.table.sorted)+1)))
	return time.Duration(n.timing.SuspicionFactor * scale * float64(n.timing.Period))
}

// pick returns up to k random members that satisfy ok, never this node.
func (n *Node) pick(k int, ok func(*record) bool) []*record {
	all := make([]*record, 0, len(n.table.sorted))
	for _, r := range n.table.sorted {
		if r != n.self && ok(r) {
			all = append(all, r)
		}
	}
	k = min(k, len(all))
	for i := range k {
		j := i + n.rand.IntN(len(all)-i)
		all[i], all[j] = all[j], all[i]
	}
	return all[:k]
}
