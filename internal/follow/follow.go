// Package follow decides how one VM keeps up with the store: whether it reads the
// store itself or learns from peers, when, and whom it asks. It is pure: events
// go in with the time, actions come out, and the catalog.State that it holds
// moves on.
//
// Reads of the store are limited and priced for all VMs together, so few VMs of
// each region read and the others follow them. Each datagram between VMs carries
// the sender's position and the time since the store confirmed it. A VM that is
// behind asks the peer that is ahead; a VM that has heard of no confirmation for
// too long reads for itself.
package follow

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/locality"
	"sycamorekeel.example/sycamorekeel/internal/pause"
	"sycamorekeel.example/sycamorekeel/internal/rendezvous"
)

const (
	// pauseGap is a gap between two ticks that shows that the process stood
	// still: what it knows may be out of date.
	pauseGap = time.Second
)

// Peer is another VM that can be asked.
type Peer struct {
	VM         string
	Region     string
	DataCentre string
	Address    string
}

// Options is what a Follower needs.
type Options struct {
	VM    string
	Place locality.Place
	// Bound is the time within which a change has to be in force.
	Bound time.Duration
	// FirstStart says that the whole system starts now, so that no peer knows
	// anything yet.
	FirstStart bool
	// Seed says that the other VMs know this one's address from the start.
	Seed    bool
	Decoder catalog.Decoder
	Random  *rand.Rand
}

// Action is something the driver must do.
type Action interface{ action() }

// List reads everything from the store. It ends with Listed, with ListedStale or with
// ReadFailed.
type List struct {
	// Stale says that an answer that is seconds old will do; it costs the store less.
	Stale bool
}

// Watch waits at the store for changes after a position. It ends with Watched or
// ReadFailed.
type Watch struct {
	After catalog.Position
	Wait  time.Duration
}

// Pull asks a peer for what it knows after a position. It ends with Pulled or
// PullFailed.
type Pull struct {
	ID      uint64
	Address string
	After   catalog.Position
	// Stall gives the pull up when nothing has come of it for so long, Timeout however
	// much has.
	Stall   time.Duration
	Timeout time.Duration
}

// Announce tells peers of the position and of its confirmation.
type Announce struct {
	// Wide says that this VM had it from the store: some peers of every region
	// are to be told, who tell the others.
	Wide bool
}

// Changed says that the catalog's view has changed.
type Changed struct{}

// Disproved says that the store never came to such a position: what was known came from a
// peer that made it up, and is discarded.
type Disproved struct{ At catalog.Position }

func (List) action()      {}
func (Watch) action()     {}
func (Pull) action()      {}
func (Announce) action()  {}
func (Changed) action()   {}
func (Disproved) action() {}

// Follower is one VM's reading. It is not safe for concurrent use.
type Follower struct {
	opts  Options
	state *catalog.State

	started  time.Time
	lastTick time.Time
	// seedsEmpty says that no seed knows anything.
	seedsEmpty bool
	rank       int
	// readOpen says that a call to the store is open.
	readOpen bool
	// readStartedAt is when the last call to the store was made.
	readStartedAt time.Time
	nextReadAt    time.Time
	failures      int
	// relist says that a watch would not do: what is known has a gap.
	relist bool
	// preferList says that a listing is likely to bring less than a watch would: a watch
	// brings every version of a document, a listing the newest.
	preferList           bool
	temporaryReaderUntil time.Time
	confirmedAt          time.Time
	// staleListedAt is when a stale listing told what is known, zero when none did.
	staleListedAt time.Time
	// reachedAt is when the position known now was reached; disproved is a position that
	// the store did not have at a time when a peer claimed it, zero for none.
	reachedAt time.Time
	disproved catalog.Position
	// contradictions is how often the store has said since that it is not there yet.
	contradictions int
	// rejectedClaims is how many claims of peers were not followed.
	rejectedClaims uint64
	// fleetSize is how many VMs live, this one included.
	fleetSize int

	pull          *Pull
	pullStartedAt time.Time
	// pulledClaim is what the peer claimed when the open pull was made.
	pulledClaim claim
	lastPullID  uint64
	lead        claim
	actions     []Action
}

// New is a follower that knows nothing.
func New(now time.Time, opts Options) *Follower {
	return &Follower{
		opts:      opts,
		state:     catalog.New(now, opts.Decoder),
		started:   now,
		lastTick:  now,
		relist:    true,
		fleetSize: 1,
	}
}

// State is what is known.
func (f *Follower) State() *catalog.State { return f.state }

// Confirmed is when the store last confirmed what is known, here or at a peer.
func (f *Follower) Confirmed() time.Time { return f.confirmedAt }

// Lead is the furthest position that a peer claims, zero when none is ahead.
func (f *Follower) Lead() catalog.Position {
	if !f.behindLead() {
		return catalog.Position{}
	}
	return f.lead.position
}

// behindLead tells whether a peer is ahead.
func (f *Follower) behindLead() bool { return f.state.Position().Before(f.lead.position) }

// Disbelieved is how many claims of peers were not followed, as the store had said that it
// has no such position.
func (f *Follower) Disbelieved() uint64 { return f.rejectedClaims }

// Reader tells whether this VM is to read the store.
func (f *Follower) Reader(now time.Time) bool {
	return f.Elected(now) || now.Before(f.temporaryReaderUntil)
}

// Elected tells whether it is this VM's turn to read for the others; one that reads
// without it has heard of no confirmation for too long. A VM that has just started takes
// its turn only if the others know it from the start: as long as it knows nobody, each
// VM of a fleet that starts would be the first.
func (f *Follower) Elected(now time.Time) bool {
	return f.rank == 0 && (f.opts.Seed || now.Sub(f.started) >= electionMinAge)
}

// SetPeers tells which VMs live, this one left out. Two VMs read the store: the
// first of all by rendezvous, and the first outside its region, so that the loss
// of a region leaves a reader.
func (f *Follower) SetPeers(peers []Peer) {
	all := append([]Peer{{VM: f.opts.VM, Region: f.opts.Place.Region}}, peers...)
	slices.SortFunc(all, func(a, b Peer) int { return cmp.Compare(readerWeight(b), readerWeight(a)) })
	first := all[0]
	second := slices.IndexFunc(all, func(p Peer) bool { return p.Region != first.Region })
	f.rank = slices.IndexFunc(all, func(p Peer) bool { return p.VM == f.opts.VM })
	if f.rank == second {
		f.rank = 0
	}
	f.fleetSize = len(all)
}

// SetBound changes the time within which a change has to be in force.
func (f *Follower) SetBound(bound time.Duration) { f.opts.Bound = bound }

// readerWeight orders VMs as readers, alike on every VM.
func readerWeight(p Peer) uint64 { return rendezvous.Mix(xxhash.Sum64String(p.VM)) }

// Tick lets time pass; it is to come several times in rankStep.
func (f *Follower) Tick(now time.Time) []Action {
	f.actions = nil
	if pause.Gap(f.lastTick, now) >= pauseGap {
		f.relist = true
		f.confirmedAt = time.Time{}
		f.nextReadAt = now
	}
	f.lastTick = now
	if f.state.Tick(now) {
		f.emit(Changed{})
	}
	f.maybePull(now)
	f.maybeRead(now)
	return f.actions
}

// Alone tells that the seeds were asked and none knows anything: no peer's word
// is waited for any longer.
func (f *Follower) Alone(now time.Time) []Action {
	f.actions = nil
	f.seedsEmpty = true
	f.maybeRead(now)
	return f.actions
}

func (f *Follower) emit(a Action) { f.actions = append(f.actions, a) }

func (f *Follower) ofBound(s float64) time.Duration {
	return time.Duration(s * float64(f.opts.Bound))
}
