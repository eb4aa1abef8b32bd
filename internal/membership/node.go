// Package membership decides which VMs of the fleet are alive, suspected,
// leaving or gone. It follows the SWIM protocol: each node probes one peer a
// period, asks others to probe before it suspects, and spreads what it learns
// on the probes themselves. A Node is a pure state machine: it is given the
// time and the datagrams, and returns what to send; internal/gossip drives it.
package membership

import (
	"math"
	"math/rand/v2"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/locality"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// MaxDatagram is the most bytes of one UDP payload, signature included: below
// it no path of ours fragments.
const MaxDatagram = 1200

// SignatureBytes is the room a datagram leaves for its signature.
const SignatureBytes = 32

// Defaults of Timing.
const (
	DefaultPeriod          = time.Second
	DefaultDirectTimeout   = 300 * time.Millisecond
	DefaultSuspicionFactor = 4
	DefaultIndirect        = 3
	DefaultTombstone       = 2 * time.Hour
	DefaultJoinGrace       = 2 * time.Minute
	DefaultPause           = 2 * time.Second
	DefaultAskAgain        = time.Second
	DefaultUpdateRate      = 1500
)

// Timing is the protocol's times and counts; zero values take the defaults.
type Timing struct {
	// Period is the time between two probes.
	Period time.Duration
	// DirectTimeout is the wait for an answer before others are asked to probe.
	DirectTimeout time.Duration
	// SuspicionFactor times log10 of the members is the periods that a suspect
	// has to refute.
	SuspicionFactor float64
	// Indirect is how many peers are asked to probe, and how many a node that
	// was paused must hear from.
	Indirect int
	// Tombstone is how long a dead member that is not listed is remembered.
	Tombstone time.Duration
	// JoinGrace is how long the platform's list may lag behind a join.
	JoinGrace time.Duration
	// Pause is the gap between two ticks from which views are suspect.
	Pause time.Duration
	// AskAgain is how long a node that was paused waits for answers before it
	// asks again; after three rounds it goes on with those it has.
	AskAgain time.Duration
	// UpdateRate bounds the bytes a second spent on updates.
	UpdateRate float64
}

// Options is what a node needs.
type Options struct {
	// Self names this VM: its state and refutation are ignored.
	Self *pb.MemberUpdate
	// Seeds are peer addresses asked while no member answers.
	Seeds []string
	// Sole says that no other process can have this VM's name: a higher
	// incarnation of it is a predecessor whose clock was ahead, and this process
	// takes a higher one still instead of giving way.
	Sole bool
	// KeepNear lets a node that has enough neighbours in its data centre probe and tell
	// mostly these.
	KeepNear bool
	// Seed makes the node's random choices repeatable.
	Seed   uint64
	Timing Timing
}

// Send is a datagram to send. The driver stamps its sequence.
type Send struct {
	Address string
	// Region and DataCentre are the receiver's, empty when only its address is known.
	Region     string
	DataCentre string
	Datagram   *pb.Datagram
}

// Actions is what the driver has to do after a step.
type Actions struct {
	Sends []Send
	// ViewChanged says that View gives another one now.
	ViewChanged bool
	// Revalidate says that this node was paused: what it knows may be out of
	// date, so no new work is to start until Revalidated.
	Revalidate bool
	// Revalidated ends it; Alone says that no peer answered.
	Revalidated bool
	Alone       bool
	// Superseded is the incarnation of a newer process with this node's name,
	// or 0: this process must stop serving.
	Superseded uint64
}

// Stats counts what a node did.
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

// Node is one VM's membership. It is not safe for concurrent use.
type Node struct {
	opts   Options
	timing Timing
	rand   *rand.Rand
	self   *record
	table  table
	hot    queue

	// era and revision are the configuration that this node announces.
	era, revision uint64
	confirmed     time.Time
	version       uint64
	view          *View
	lastTick      time.Time
	heardAt       time.Time
	nextProbe     time.Time
	nextSpread    time.Time
	nextLost      int
	// nextFar is in how many periods a member of another data centre is probed.
	nextFar int
	// keeping says that this node keeps to its data centre; watched is until when the
	// members of others are probed in turn all the same.
	keeping    bool
	watched    map[string]time.Time
	ring       []string
	pending    *probe
	relays     map[uint64]relay
	lastID     uint64
	budget     budget
	doubt      *doubt
	outdatedAt time.Time
	list       []*pb.VM
	superseded bool
	stats      Stats

	// now, out and dirty belong to the step under way.
	now   time.Time
	out   Actions
	dirty bool
}

// New makes a node that knows only itself.
func New(now time.Time, opts Options) *Node {
	n := &Node{
		opts:    opts,
		timing:  opts.Timing.withDefaults(),
		rand:    rand.New(rand.NewPCG(opts.Seed, opts.Self.Incarnation)),
		table:   newTable(),
		hot:     newQueue(),
		relays:  map[uint64]relay{},
		watched: map[string]time.Time{},
		now:     now,
	}
	n.budget = budget{rate: n.timing.UpdateRate, last: now, tokens: n.timing.UpdateRate}
	n.self = newRecord(opts.Self, now)
	n.self.State = pb.MemberState_ALIVE
	n.self.refutation = 0
	n.table.insert(n.self)
	// Nodes that start together must not all probe the same one at once.
	n.nextProbe = now.Add(time.Duration(n.rand.Int64N(int64(n.timing.Period))))
	n.nextLost = n.rand.IntN(lostEvery)
	if opts.KeepNear {
		n.nextFar = n.rand.IntN(farEvery)
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
	setDefault(&t.Pause, DefaultPause)
	setDefault(&t.AskAgain, DefaultAskAgain)
	setDefault(&t.UpdateRate, DefaultUpdateRate)
	return t
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// View is the members as this node sees them now.
func (n *Node) View() *View { return n.view }

// Stats is what the node did so far.
func (n *Node) Stats() Stats { return n.stats }

// InDoubt tells whether this node was paused and has not heard from its peers
// since.
func (n *Node) InDoubt() bool { return n.doubt != nil }

// SetRevision tells the node which configuration revision to announce, and of which era of
// the store it is, 0 for none.
func (n *Node) SetRevision(era, revision uint64) { n.era, n.revision = era, revision }

// SetConfirmed tells when the store last confirmed what this node knows, here or
// at a peer; its age is announced.
func (n *Node) SetConfirmed(at time.Time) { n.confirmed = at }

// SetCapacity announces the work that this VM can carry for callers, in
// thousandths of a core; 0 takes it out of the answers to callers.
func (n *Node) SetCapacity(now time.Time, capacity uint32) Actions {
	n.begin(now)
	if n.self.Capacity != capacity {
		n.table.edit(n.self, func() {
			n.self.Capacity = capacity
			n.self.refutation++
		})
		n.spread(n.self)
		n.dirty = true
	}
	return n.end()
}

// Announce tells some peers what this node knows, without waiting for their
// turn: some of its data centre and a few of the others of its region and, when wide,
// more of them and a few of each other region. Each passes it on to a few of its own.
func (n *Node) Announce(now time.Time, wide bool) Actions {
	n.begin(now)
	most := announceNarrow
	if wide {
		most = announceWide
	}
	told := map[group]int{}
	for _, r := range n.pick(len(n.table.sorted), func(r *record) bool { return r.serves() }) {
		g := n.groupOf(r)
		if told[g] < most[g.distance] {
			told[g]++
			n.send(r.PeerAddress, &pb.Datagram{}, r)
		}
	}
	return n.end()
}

// Broadcast gives members that take work entries of the quarantine: so many of them, or all.
func (n *Node) Broadcast(now time.Time, entries []*pb.QuarantineEntry, most int) Actions {
	n.begin(now)
	for _, r := range n.pick(most, func(r *record) bool { return r.serves() }) {
		n.send(r.PeerAddress, &pb.Datagram{Quarantine: entries}, r)
	}
	return n.end()
}

// All is as many members as there may be.
const All = math.MaxInt

// group is members of which an announcement goes to a few: those of this node's data
// centre, of another one of its region, or of another region.
type group struct {
	distance locality.Distance
	name     string
}

func (n *Node) groupOf(r *record) group {
	d := locality.Place{Region: n.self.Region, DataCentre: n.self.DataCentre}.To(r.Region, r.DataCentre)
	if d == locality.Far {
		return group{d, r.Region}
	}
	return group{d, r.DataCentre}
}

// How many members of each group an announcement goes to directly, by their distance:
// when it comes from the store, and when it is passed on. Each region has it once from
// elsewhere, and a second time should that be lost.
var (
	announceWide   = [locality.Distances + 1]int{locality.Near: 2, locality.Regional: 2, locality.Far: 2}
	announceNarrow = [locality.Distances + 1]int{locality.Near: 2, locality.Regional: 2}
)

// Tick moves time on. It is to be called several times a period.
func (n *Node) Tick(now time.Time) Actions {
	n.begin(now)
	n.notePause()
	n.lastTick = now
	n.expireSuspicions()
	n.forgetDead()
	n.advanceProbe()
	n.advanceDoubt()
	n.advanceSpread()
	return n.end()
}

// Receive takes in a datagram that the driver has authenticated and checked.
func (n *Node) Receive(now time.Time, d *pb.Datagram) Actions {
	n.begin(now)
	n.heardAt = now
	n.learn(d.Sender)
	for _, u := range d.Updates {
		n.learn(u)
	}
	n.answer(d)
	return n.end()
}

// Self is what this node says of itself.
func (n *Node) Self() *pb.MemberUpdate { return n.self.update() }

// Updates is what this node holds of the fleet, itself included, for a process
// that asks for all of it.
func (n *Node) Updates() []*pb.MemberUpdate {
	out := make([]*pb.MemberUpdate, 0, len(n.table.sorted))
	for _, r := range n.table.sorted {
		if r.Incarnation == 0 {
			continue
		}
		u := r.update()
		u.SecondHand = r != n.self
		out = append(out, u)
	}
	return out
}

// Learn takes in what a peer holds of the fleet. Members that this node meets by it are no
// news: whoever heard of them first passes them on. Passed on by each process that starts,
// with a fleet of hundreds the whole list would travel again a dozen times a VM.
func (n *Node) Learn(now time.Time, updates []*pb.MemberUpdate) Actions {
	n.begin(now)
	for _, u := range updates {
		stranger := n.table.get(u.Vm) == nil
		n.learn(u)
		if stranger {
			n.hot.drop(u.Vm)
		}
	}
	return n.end()
}

// Outdated answers a datagram of an incarnation that a newer one has replaced:
// without it the old process would take itself for a member for ever. At most
// one answer goes out a period.
func (n *Node) Outdated(now time.Time, sender *pb.MemberUpdate) Actions {
	n.begin(now)
	r := n.table.get(sender.Vm)
	if r != nil && r.Incarnation > sender.Incarnation && now.Sub(n.outdatedAt) >= n.timing.Period {
		n.outdatedAt = now
		n.stats.Outdated++
		n.send(sender.PeerAddress, &pb.Datagram{Updates: []*pb.MemberUpdate{r.update()}}, nil)
	}
	return n.end()
}

// Leave announces a planned stop, at once and to several peers: each of them
// passes this VM's upstreams on as soon as it hears of it.
func (n *Node) Leave(now time.Time) Actions {
	n.begin(now)
	if n.self.State != pb.MemberState_LEAVING {
		n.self.refutation++
		n.change(n.self, pb.MemberState_LEAVING)
	}
	for _, r := range n.pick(leaveFanout, func(r *record) bool { return r.serves() }) {
		n.send(r.PeerAddress, &pb.Datagram{}, r)
	}
	return n.end()
}

// leaveFanout is how many peers are told directly of a planned stop.
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
		v.Members = append(v.Members, r.shown())
	}
	return v
}

// suspicionTimeout grows with the log of the members, as does the time an
// update takes to reach them all.
func (n *Node) suspicionTimeout() time.Duration {
	scale := max(1, math.Log10(float64(len(n.table.sorted)+1)))
	return time.Duration(n.timing.SuspicionFactor * scale * float64(n.timing.Period))
}

// pick chooses up to k members at random, never this node.
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
