package follow

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/locality"
)

const (
	// readerPullDelay is how long a reader leaves a peer's lead to its own watch,
	// which is about to bring the change.
	readerPullDelay = 150 * time.Millisecond
	// farPullDelay is how long a VM that hears of a change from another region
	// waits for a peer of its own to have it: a configuration of hundreds of
	// kilobytes then crosses between regions a few times and not once a VM.
	farPullDelay = 150 * time.Millisecond
	// regionalPullDelay is the same for a peer of another data centre of the region. A
	// process that starts in a running fleet, and knows nothing, does not wait it out.
	regionalPullDelay = 100 * time.Millisecond
	// forwardShare is the part of the bound by which a confirmation must be newer than the
	// one before to be passed on at once: half of what lies between two of the store's.
	forwardShare = watchWaitShare / 2
	// pullStallTimeout gives up a peer of which nothing has come for so long: several round
	// trips between regions. A page of which some is coming may take up to the bound:
	// given up by the time it takes, one over a slow link is begun anew without end, and
	// its VM stays at an old version.
	pullStallTimeout = 600 * time.Millisecond
)

// claim is the furthest position that a peer claims.
type claim struct {
	address  string
	position catalog.Position
	// distance is how far the peer is.
	distance locality.Distance
	// firstHeardAt is when this VM first heard that it is behind.
	firstHeardAt time.Time
	// confirmedAt is when the store last confirmed the lead, zero when nobody says so.
	confirmedAt time.Time
}

// Unconfirmed is the age of a confirmation that a peer does not tell of.
const Unconfirmed time.Duration = -1

// Heard takes in what a peer announces: its position and how long ago the store last
// confirmedAt it.
func (f *Follower) Heard(now time.Time, peer Peer, at catalog.Position, age time.Duration) []Action {
	f.actions = nil
	confirmed := now.Add(-age)
	if age == Unconfirmed {
		confirmed = time.Time{}
	}
	if at.Before(f.state.Position()) || at.Revision == 0 {
		return f.actions
	}
	if !f.plausible(at) {
		f.rejectedClaims++
		return f.actions
	}
	f.handleClaim(now, peer, at, confirmed)
	return f.actions
}

func (f *Follower) handleClaim(now time.Time, peer Peer, at catalog.Position, confirmed time.Time) {
	distance := f.opts.Place.Within(peer.Region, peer.DataCentre)
	if at == f.state.Position() {
		f.handleConfirmation(now, distance, confirmed)
		return
	}
	if !f.behindLead() {
		f.lead = claim{firstHeardAt: now, distance: locality.Far}
	}
	if !at.Before(f.lead.position) && distance <= f.lead.distance || distance < f.lead.distance {
		f.lead.position = at
		f.lead.address = peer.Address
		f.lead.distance = distance
		f.lead.confirmedAt = confirmed
	}
	f.maybePull(now)
}

// Pulled takes in a peer's page.
func (f *Follower) Pulled(now time.Time, id uint64, page catalog.Page) []Action {
	f.actions = nil
	if f.pull != nil && f.pull.ID == id {
		f.pull = nil
	}
	if !f.plausible(page.At) {
		f.rejectedClaims++
		f.lead = claim{}
		return f.actions
	}
	before := f.state.Position()
	changed, applied := f.state.ApplyPage(now, page)
	moved := before.Before(f.state.Position())
	if moved {
		f.relist = false
		f.reachedAt, f.contradictions = now, 0
		f.emit(Announce{})
	}
	f.confirmReachedClaims(now)
	if applied && !moved && f.behindLead() {
		// The peer has not got what it claims. Asked again at once, it would be
		// asked without end.
		f.lead = claim{}
	}
	if changed {
		f.emit(Changed{})
	}
	f.maybePull(now)
	return f.actions
}

// PullFailed takes in that a peer gave nothing.
func (f *Follower) PullFailed(now time.Time, id uint64) []Action {
	f.actions = nil
	if f.pull == nil || f.pull.ID != id {
		return f.actions
	}
	f.pull = nil
	// Another peer's next word sets a new lead.
	f.lead = claim{}
	return f.actions
}

// handleConfirmation takes in a peer's confirmation of what is known here. One that is new to
// this VM and comes from elsewhere is passed on in the data centre: peers of which most
// talk to their neighbours would hear of it too late, and read the store for themselves.
func (f *Follower) handleConfirmation(now time.Time, distance locality.Distance, at time.Time) {
	if at.IsZero() {
		return
	}
	fresh := at.Sub(f.confirmedAt) >= f.ofBound(forwardShare)
	f.recordConfirmation(now, at)
	if fresh && distance != locality.Near {
		f.emit(Announce{})
	}
}

// confirmReachedClaims takes in the confirmations of what was asked for and of the furthest
// claim, if these are reached. While changes come faster than pulls end the furthest
// claim never is; by it alone, VMs that keep up take themselves for cut off, and all of
// them read the store: 57 of 70 at once were seen.
func (f *Follower) confirmReachedClaims(now time.Time) {
	for _, claim := range []claim{f.pulledClaim, f.lead} {
		if !f.state.Position().Before(claim.position) {
			f.recordConfirmation(now, claim.confirmedAt)
		}
	}
}

// recordConfirmation takes in a confirmation that a peer had. It ends an outage here as
// the store's own answer does, and after the changes it came with.
func (f *Follower) recordConfirmation(now, at time.Time) {
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
		f.state.StoreAnswered(now)
	}
}

// maybePull asks the peer that is ahead.
func (f *Follower) maybePull(now time.Time) {
	if f.pull != nil {
		if now.Sub(f.pullStartedAt) < f.pull.Timeout {
			return
		}
		f.pull = nil
		f.lead = claim{}
	}
	if !f.behindLead() {
		return
	}
	if now.Sub(f.lead.firstHeardAt) < f.pullDelay() {
		return
	}
	f.lastPullID++
	f.pull = &Pull{ID: f.lastPullID, Address: f.lead.address, After: f.state.Position(), Stall: pullStallTimeout, Timeout: f.pullTimeout()}
	f.pullStartedAt = now
	f.pulledClaim = f.lead
	f.emit(*f.pull)
}

// pullTimeout is the time limit of a whole pull.
func (f *Follower) pullTimeout() time.Duration { return max(pullStallTimeout, f.opts.Bound) }

// pullDelay is how long a peer's lead is left to others.
func (f *Follower) pullDelay() time.Duration {
	if f.readOpen && !f.relist && !f.preferList && f.state.Revision() > 0 {
		return readerPullDelay
	}
	switch {
	case f.lead.distance == locality.Far:
		return farPullDelay
	case f.lead.distance == locality.Regional && (f.opts.FirstStart || f.state.Revision() > 0):
		return regionalPullDelay
	default:
		return 0
	}
}
