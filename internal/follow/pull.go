package follow

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/locality"
)

const (
	// pullPatience is how long a reader leaves a peer's lead to its own watch,
	// which is about to bring the change.
	pullPatience = 150 * time.Millisecond
	// farPatience is how long a VM that hears of a change from another region
	// waits for a peer of its own to have it: a configuration of hundreds of
	// kilobytes then crosses between regions a few times and not once a VM.
	farPatience = 150 * time.Millisecond
	// regionPatience is the same for a peer of another data centre of the region. A
	// process that starts in a running fleet, and knows nothing, does not wait it out.
	regionPatience = 100 * time.Millisecond
	// passOnShare is the part of the bound by which a confirmation must be newer than the
	// one before to be passed on at once: half of what lies between two of the store's.
	passOnShare = waitShare / 2
	// pullStall gives up a peer of which nothing has come for so long: several round
	// trips between regions. A page of which some is coming may take up to the bound:
	// given up by the time it takes, one over a slow link is begun anew without end, and
	// its VM stays at an old version.
	pullStall = 600 * time.Millisecond
)

// lead is the furthest position that a peer claims.
type lead struct {
	address string
	at      catalog.Position
	// distance is how far the peer is.
	distance locality.Distance
	// since is when this VM first heard that it is behind.
	since time.Time
	// confirmed is when the store last confirmed the lead, zero when nobody says so.
	confirmed time.Time
}

// Unconfirmed is the age of a confirmation that a peer does not tell of.
const Unconfirmed time.Duration = -1

// Heard takes in what a peer announces: its position and how long ago the store last
// confirmed it.
func (f *Follower) Heard(now time.Time, peer Peer, at catalog.Position, age time.Duration) []Action {
	f.out = nil
	confirmed := now.Add(-age)
	if age == Unconfirmed {
		confirmed = time.Time{}
	}
	if at.Before(f.state.Position()) || at.Revision == 0 {
		return f.out
	}
	if !f.believable(at) {
		f.disbelieved++
		return f.out
	}
	f.heardAhead(now, peer, at, confirmed)
	return f.out
}

func (f *Follower) heardAhead(now time.Time, peer Peer, at catalog.Position, confirmed time.Time) {
	distance := f.opts.Place.Within(peer.Region, peer.DataCentre)
	if at == f.state.Position() {
		f.heardConfirmed(now, distance, confirmed)
		return
	}
	if !f.behindLead() {
		f.lead = lead{since: now, distance: locality.Far}
	}
	if !at.Before(f.lead.at) && distance <= f.lead.distance || distance < f.lead.distance {
		f.lead.at = at
		f.lead.address = peer.Address
		f.lead.distance = distance
		f.lead.confirmed = confirmed
	}
	f.advancePull(now)
}

// Pulled takes in a peer's page.
func (f *Follower) Pulled(now time.Time, id uint64, page catalog.Page) []Action {
	f.out = nil
	if f.pull != nil && f.pull.ID == id {
		f.pull = nil
	}
	if !f.believable(page.At) {
		f.disbelieved++
		f.lead = lead{}
		return f.out
	}
	before := f.state.Position()
	changed, joined := f.state.Take(now, page)
	moved := before.Before(f.state.Position())
	if moved {
		f.relist = false
		f.reachedAt, f.contradictions = now, 0
		f.emit(Announce{})
	}
	f.confirmedByPeer(now)
	if joined && !moved && f.behindLead() {
		// The peer has not got what it claims. Asked again at once, it would be
		// asked without end.
		f.lead = lead{}
	}
	if changed {
		f.emit(Changed{})
	}
	f.advancePull(now)
	return f.out
}

// PullFailed takes in that a peer gave nothing.
func (f *Follower) PullFailed(now time.Time, id uint64) []Action {
	f.out = nil
	if f.pull == nil || f.pull.ID != id {
		return f.out
	}
	f.pull = nil
	// Another peer's next word sets a new lead.
	f.lead = lead{}
	return f.out
}

// heardConfirmed takes in a peer's confirmation of what is known here. One that is new to
// this VM and comes from elsewhere is passed on in the data centre: peers of which most
// talk to their neighbours would hear of it too late, and read the store for themselves.
func (f *Follower) heardConfirmed(now time.Time, distance locality.Distance, at time.Time) {
	if at.IsZero() {
		return
	}
	fresh := at.Sub(f.confirmed) >= f.share(passOnShare)
	f.confirmedBy(now, at)
	if fresh && distance != locality.Near {
		f.emit(Announce{})
	}
}

// confirmedByPeer takes in the confirmations of what was asked for and of the furthest
// claim, if these are reached. While changes come faster than pulls end the furthest
// claim never is; by it alone, VMs that keep up take themselves for cut off, and all of
// them read the store: 57 of 70 at once were seen.
func (f *Follower) confirmedByPeer(now time.Time) {
	for _, claim := range []lead{f.asked, f.lead} {
		if !f.state.Position().Before(claim.at) {
			f.confirmedBy(now, claim.confirmed)
		}
	}
}

// confirmedBy takes in a confirmation that a peer had. It ends an outage here as
// the store's own answer does, and after the changes it came with.
func (f *Follower) confirmedBy(now, at time.Time) {
	if at.After(f.confirmed) {
		f.confirmed = at
		f.state.Answered(now)
	}
}

// advancePull asks the peer that is ahead.
func (f *Follower) advancePull(now time.Time) {
	if f.pull != nil {
		if now.Sub(f.pullSince) < f.pull.Timeout {
			return
		}
		f.pull = nil
		f.lead = lead{}
	}
	if !f.behindLead() {
		return
	}
	if now.Sub(f.lead.since) < f.patience() {
		return
	}
	f.lastPull++
	f.pull = &Pull{ID: f.lastPull, Address: f.lead.address, After: f.state.Position(), Stall: pullStall, Timeout: f.pullTimeout()}
	f.pullSince = now
	f.asked = f.lead
	f.emit(*f.pull)
}

// pullTimeout is the time limit of a whole pull.
func (f *Follower) pullTimeout() time.Duration { return max(pullStall, f.opts.Bound) }

// patience is how long a peer's lead is left to others.
func (f *Follower) patience() time.Duration {
	if f.reading && !f.relist && !f.listNext && f.state.Revision() > 0 {
		return pullPatience
	}
	switch {
	case f.lead.distance == locality.Far:
		return farPatience
	case f.lead.distance == locality.Regional && (f.opts.FirstStart || f.state.Revision() > 0):
		return regionPatience
	default:
		return 0
	}
}
