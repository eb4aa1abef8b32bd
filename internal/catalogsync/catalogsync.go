// Package catalogsync keeps one VM's catalog.State up to date. It decides whether the VM reads the
// store itself or pulls from peers, when, and from which peer. It performs no I/O: events are
// passed in with the time, and it returns actions for the caller to carry out.
//
// Reads of the store are limited and paid for across all VMs, so only two VMs, in different
// regions, are elected to read it and the others follow them. Each datagram between VMs carries
// the sender's position and the time since the store last confirmed it. A VM that is behind
// pulls from a peer that is ahead. A VM that has received no confirmation for too long reads
// the store itself.
package catalogsync

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
	// pauseGap is the gap between two ticks from which the process is taken to have been
	// suspended, so that its state may be out of date.
	pauseGap = time.Second
)

// Peer is another VM that can be pulled from.
type Peer struct {
	VM         string
	Region     string
	DataCentre string
	Address    string
}

// Options configures a Follower.
type Options struct {
	VM    string
	Place locality.Place
	// ChangeBound is the time within which a change must be in force.
	ChangeBound time.Duration
	// FirstStart is set when the whole system starts for the first time, so that no peer has
	// any state yet.
	FirstStart bool
	// Seed is set when the other VMs are configured with this VM's address.
	Seed    bool
	Decoder catalog.Decoder
	// ContentLimit bounds the memory of the held registrations in bytes; 0 is no limit.
	ContentLimit int
	Random       *rand.Rand
}

// Action is an operation for the caller to carry out.
type Action interface{ action() }

// List reads everything from the store. The caller reports the result with Listed, ListedStale
// or ReadFailed.
type List struct {
	// AllowStale permits an answer that is seconds old, which is cheaper for the store.
	AllowStale bool
}

// ReadConfiguration reads the configuration alone from the store, beside an open listing or watch.
// The caller reports the result with ConfigurationRead or ConfigurationFailed.
type ReadConfiguration struct{}

// Watch waits at the store for changes after a position. The caller reports the result with
// Watched or ReadFailed.
type Watch struct {
	After catalog.Position
	Wait  time.Duration
}

// Pull asks a peer for its changes after a position. The caller reports the result with Pulled
// or PullFailed.
type Pull struct {
	ID      uint64
	Address string
	After   catalog.Position
	// StallTimeout ends the pull when no data has arrived for that long. Timeout limits the whole
	// pull.
	StallTimeout time.Duration
	Timeout      time.Duration
}

// Announce sends peers the current position and the age of its confirmation.
type Announce struct {
	// AllRegions is set when the confirmation comes from the store. It is then sent to some peers of
	// every region, which forward it.
	AllRegions bool
}

// Changed reports that the catalog's view has changed.
type Changed struct{}

// Disproved reports that the store never reached position At. The state came from a peer that
// made it up, and has been discarded.
type Disproved struct{ At catalog.Position }

func (List) action()              {}
func (ReadConfiguration) action() {}
func (Watch) action()             {}
func (Pull) action()              {}
func (Announce) action()          {}
func (Changed) action()           {}
func (Disproved) action()         {}

// Follower decides what one VM reads, and when. It is not safe for concurrent use.
type Follower struct {
	opts  Options
	state *catalog.State

	started  time.Time
	lastTick time.Time
	// seedsEmpty is set when no seed has any state.
	seedsEmpty bool
	// rank is this VM's place in the election of readers, 0 for an elected one.
	rank int
	// readOpen is set while a call to the store is open.
	readOpen bool
	// readStartedAt is when the last call to the store started.
	readStartedAt time.Time
	nextReadAt    time.Time
	failures      int
	// relist is set when the state is empty or may have a gap, which a watch would not fill.
	relist bool
	// preferList is set when a listing is likely to transfer less than a watch: a watch returns
	// every version of a document, a listing only the newest.
	preferList bool
	// partial is set while the state lacks items that a peer's page did not hold and a listing of
	// the store may. listPartialAt is when the next listing for it may start.
	partial       bool
	listPartialAt time.Time
	// largeRead is set from when an answer of the store turns out to be large until a listing or a
	// watch has succeeded.
	largeRead     bool
	configuration configurationRead
	// fullListingAt is from when a VM that is not elected reads a large answer to its end, zero
	// before an answer turns out to be large.
	fullListingAt time.Time
	// pullsAgainAt is until when this VM does not pull, as a peer's page was too large.
	pullsAgainAt time.Time
	// temporaryReaderUntil is when a VM that is not elected stops reading the store.
	temporaryReaderUntil time.Time
	confirmedAt          time.Time
	// staleListedAt is when a stale listing was last received, zero if never.
	staleListedAt time.Time
	// reachedAt is when the current position was reached. disproved is a position claimed by a
	// peer that the store did not have, zero if none.
	reachedAt time.Time
	disproved catalog.Position
	// contradictions counts the store's answers since reachedAt that are below the current
	// position.
	contradictions int
	// rejectedClaims counts the claims of peers that were ignored.
	rejectedClaims uint64
	// fleetSize is the number of live VMs, including this one.
	fleetSize int

	pull          *Pull
	pullStartedAt time.Time
	// pulledClaim is the peer's claim that the last pull follows.
	pulledClaim claim
	lastPullID  uint64
	// lead is the furthest claim of any peer.
	lead claim
	// actions collects the actions of the current event.
	actions []Action
}

// New returns a Follower with an empty state.
func New(now time.Time, opts Options) *Follower {
	f := &Follower{
		opts:      opts,
		state:     catalog.New(now, opts.Decoder),
		started:   now,
		lastTick:  now,
		relist:    true,
		fleetSize: 1,
	}
	f.state.SetLimit(opts.ContentLimit)
	return f
}

// State returns the VM's catalog state.
func (f *Follower) State() *catalog.State { return f.state }

// Confirmed returns when the store last confirmed the current position, to this VM or to a
// peer.
func (f *Follower) Confirmed() time.Time { return f.confirmedAt }

// Lead returns the furthest position claimed by a peer, zero if no peer is ahead.
func (f *Follower) Lead() catalog.Position {
	if !f.behindLead() {
		return catalog.Position{}
	}
	return f.lead.position
}

// behindLead reports whether a peer is ahead.
func (f *Follower) behindLead() bool { return f.state.Position().Before(f.lead.position) }

// RejectedClaims returns how many claims of peers were ignored because the store does not have
// their position.
func (f *Follower) RejectedClaims() uint64 { return f.rejectedClaims }

// Reader reports whether this VM reads the store.
func (f *Follower) Reader(now time.Time) bool {
	return f.Elected(now) || now.Before(f.temporaryReaderUntil)
}

// Elected reports whether this VM is one of the readers for the fleet. A VM that reads without
// being elected has received no confirmation for too long. A VM that has just started is
// elected only if it is a seed: until they discover each other, all VMs of a starting fleet
// would rank first.
func (f *Follower) Elected(now time.Time) bool {
	return f.rank == 0 && (f.opts.Seed || now.Sub(f.started) >= electionMinAge)
}

// SetPeers sets the live VMs other than this one. Two VMs are elected to read the store: the
// first in rendezvous order, and the first outside its region, so that one reader survives the
// loss of a region.
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

// SetChangeBound sets the time within which a change must be in force.
func (f *Follower) SetChangeBound(bound time.Duration) { f.opts.ChangeBound = bound }

// readerWeight orders the VMs as candidate readers, identically on every VM.
func readerWeight(p Peer) uint64 { return rendezvous.Mix(xxhash.Sum64String(p.VM)) }

// Tick handles the passage of time. Call it several times per rankStep.
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
	f.relistForRoom(now)
	f.maybePull(now)
	f.maybeRead(now)
	f.maybeReadConfiguration(now)
	return f.actions
}

// SeedsEmpty reports that the seeds were asked and none has any state, which ends the wait for a
// peer's answer.
func (f *Follower) SeedsEmpty(now time.Time) []Action {
	f.actions = nil
	f.seedsEmpty = true
	f.maybeRead(now)
	return f.actions
}

func (f *Follower) emit(a Action) { f.actions = append(f.actions, a) }

// ofBound returns a fraction of the bound.
func (f *Follower) ofBound(s float64) time.Duration {
	return time.Duration(s * float64(f.opts.ChangeBound))
}
