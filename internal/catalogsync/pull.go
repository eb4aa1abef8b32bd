package catalogsync

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/locality"
)

const (
	// readerPullDelay is how long a reader waits for its own watch, which is likely to deliver
	// the change, before it pulls from a peer.
	readerPullDelay = 150 * time.Millisecond
	// farPullDelay is how long a VM waits for a peer of its own region before it pulls from
	// another region. A configuration of hundreds of kilobytes then crosses between regions a
	// few times rather than once per VM.
	farPullDelay = 150 * time.Millisecond
	// regionalPullDelay is the same wait for a peer in another data centre of the region. A
	// process without state that starts in a running fleet skips it.
	regionalPullDelay = 100 * time.Millisecond
	// forwardShare is the fraction of the bound by which a confirmation must be newer than the
	// previous one to be forwarded at once: half the interval between two confirmations of the
	// store.
	forwardShare = watchWaitShare / 2
	// pullStallTimeout ends a pull that receives no data for several round trips between
	// regions. A page that keeps arriving may take up to the bound. With a fixed time limit, a
	// transfer over a slow link would restart for good and leave its VM at an old version.
	pullStallTimeout = 600 * time.Millisecond
	// tooLargePullDelay is how long a VM reads the store in place of pulling after a page that was
	// too large.
	tooLargePullDelay = 10 * time.Second
)

// claim is a position announced by a peer.
type claim struct {
	address  string
	position catalog.Position
	// distance is the distance to the peer.
	distance locality.Distance
	// behindSince is when this VM first learnt that it is behind.
	behindSince time.Time
	// confirmedAt is when the store last confirmed the position, zero if unconfirmed.
	confirmedAt time.Time
}

// Unconfirmed is the age to pass to PeerAnnounced when the peer reports no confirmation.
const Unconfirmed time.Duration = -1

// PeerAnnounced handles a peer's announcement of its position and of the time since the store last
// confirmed it.
func (f *Follower) PeerAnnounced(now time.Time, peer Peer, at catalog.Position, age time.Duration) []Action {
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

// handleClaim applies a confirmation of the current position, or updates the lead by a claim
// above it. A closer peer that is ahead replaces a more distant one.
func (f *Follower) handleClaim(now time.Time, peer Peer, at catalog.Position, confirmed time.Time) {
	distance := f.opts.Place.KnownDistanceTo(peer.Region, peer.DataCentre)
	if at == f.state.Position() {
		f.handleConfirmation(now, distance, confirmed)
		return
	}
	if !f.behindLead() {
		f.lead = claim{behindSince: now, distance: locality.Far}
	}
	if !at.Before(f.lead.position) && distance <= f.lead.distance || distance < f.lead.distance {
		f.lead.position = at
		f.lead.address = peer.Address
		f.lead.distance = distance
		f.lead.confirmedAt = confirmed
	}
	f.maybePull(now)
}

// Pulled handles a page received from a peer.
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
	if page.Partial && page.Whole && f.state.Revision() > 0 {
		// Applying it would remove the items that it lacks.
		f.lead = claim{}
		f.listForPartial(now)
		return f.actions
	}
	before := f.state.Position()
	changed, applied := f.state.ApplyPage(now, page)
	if applied && page.Partial {
		f.listForPartial(now)
	}
	moved := before.Before(f.state.Position())
	if moved {
		f.relist = false
		f.reachedAt, f.contradictions = now, 0
		f.emit(Announce{})
	}
	f.confirmReachedClaims(now)
	if applied && !moved && f.behindLead() {
		// The peer's page falls short of its claim. Pulling again at once would loop.
		f.lead = claim{}
	}
	if changed {
		f.emit(Changed{})
	}
	f.maybePull(now)
	return f.actions
}

// PullFailed handles a pull that returned nothing.
func (f *Follower) PullFailed(now time.Time, id uint64) []Action {
	f.actions = nil
	if f.pull == nil || f.pull.ID != id {
		return f.actions
	}
	f.pull = nil
	// The next announcement of a peer sets a new lead.
	f.lead = claim{}
	return f.actions
}

// PullTooLarge handles a pull whose page was too large. Asked again, the peer would send the same page,
// so this VM reads the store itself for a while.
func (f *Follower) PullTooLarge(now time.Time, id uint64) []Action {
	f.PullFailed(now, id)
	f.pullsAgainAt = now.Add(tooLargePullDelay)
	f.temporaryReaderUntil = later(f.temporaryReaderUntil, f.pullsAgainAt)
	f.relist = true
	f.nextReadAt = later(f.nextReadAt, now.Add(f.rankDelay()))
	f.maybeRead(now)
	return f.actions
}

// handleConfirmation handles a peer's confirmation of the current position. A new one from
// outside the data centre is forwarded within it: peers that exchange datagrams mostly with
// their neighbours would otherwise receive it too late and read the store themselves.
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

// confirmReachedClaims applies the confirmations of the pulled claim and of the furthest claim,
// if their positions have been reached. While changes arrive faster than pulls complete, the
// furthest claim is never reached. With that one alone, VMs that keep up would consider
// themselves cut off and all read the store; 57 of 70 have done so at once.
func (f *Follower) confirmReachedClaims(now time.Time) {
	for _, c := range []claim{f.pulledClaim, f.lead} {
		if !f.state.Position().Before(c.position) {
			f.recordConfirmation(now, c.confirmedAt)
		}
	}
}

// recordConfirmation applies a confirmation received from a peer. Like an answer of the store
// itself it ends an outage, and it does so after the changes that it came with are applied.
func (f *Follower) recordConfirmation(now, at time.Time) {
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
		f.state.StoreAnswered(now)
	}
}

// maybePull starts a pull from the peer that is ahead, if one is due.
func (f *Follower) maybePull(now time.Time) {
	if f.pull != nil {
		if now.Sub(f.pullStartedAt) < f.pull.Timeout {
			return
		}
		f.pull = nil
		f.lead = claim{}
	}
	if !f.behindLead() || now.Before(f.pullsAgainAt) {
		return
	}
	if now.Sub(f.lead.behindSince) < f.pullDelay() {
		return
	}
	f.lastPullID++
	f.pull = &Pull{ID: f.lastPullID, Address: f.lead.address, After: f.state.Position(), StallTimeout: pullStallTimeout, Timeout: f.pullTimeout()}
	f.pullStartedAt = now
	f.pulledClaim = f.lead
	f.emit(*f.pull)
}

// pullTimeout returns the time limit of a whole pull.
func (f *Follower) pullTimeout() time.Duration { return max(pullStallTimeout, f.opts.ChangeBound) }

// pullDelay returns how long to wait for a closer source before pulling from the leading peer.
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
