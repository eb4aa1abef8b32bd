package config

import (
	"sort"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

const (
	// pullTimeout is the time after which a pull fails and another peer is tried.
	pullTimeout = 2 * time.Second
	// pollInterval is the interval at which a daemon polls a reader, in addition
	// to pushes and heartbeats. It bounds the propagation delay of a change when
	// every push is lost.
	pollInterval = 8 * time.Second
	// claimTTL is the lifetime of a peer's claim to hold a higher revision.
	claimTTL = 30 * time.Second
	// maxClaims bounds the number of stored claims.
	maxClaims = 16
	// maxPushBytes bounds the document bodies in a push. A larger change is
	// announced by its revision only, and the peers pull it.
	maxPushBytes = 16 << 10
	// maxUnresolved bounds the number of stored digest differences that a full
	// pull did not resolve.
	maxUnresolved = 64
)

// pullState tracks the pulls from peers.
type pullState struct {
	nextID   uint64
	open     map[uint64]*openPull
	claims   []claim
	nextPoll time.Time
	// failedPolls counts consecutive failed polls of readers.
	failedPolls int
	// unresolved holds the digest differences that a full pull did not resolve.
	// Two builds of the daemon that validate a document differently never
	// converge; without this set they would repeat full pulls indefinitely. A
	// digest is a sum over the versions held, so the difference is unaffected by
	// changes to other documents.
	unresolved map[uint64]bool
}

// openPull is a pull without a response yet.
type openPull struct {
	address  string
	deadline time.Time
	purpose  purpose
	// digest is this daemon's digest at the start of the pull.
	digest uint64
}

type purpose int

const (
	// purposeClaim fetches a higher revision that the peer claims to hold.
	purposeClaim purpose = iota
	// purposePoll checks a reader for changes.
	purposePoll
	// purposeStart fetches the configuration at startup.
	purposeStart
	// purposeRepair is a full pull that resolves different digests at one revision.
	purposeRepair
)

// claim is a higher revision that a peer claims to hold.
type claim struct {
	address    string
	revision   uint64
	receivedAt time.Time
}

func newPullState() pullState {
	return pullState{open: map[uint64]*openPull{}, unresolved: map[uint64]bool{}}
}

func (s *Syncer) handleClaim(address string, revision uint64) {
	if revision <= s.state.Revision() || address == "" || address == s.opts.Address {
		return
	}
	s.recordClaim(claim{address: address, revision: revision, receivedAt: s.now})
	s.pullHighestClaim()
}

func (s *Syncer) recordClaim(c claim) {
	p := &s.pulls
	for i := range p.claims {
		if p.claims[i].address == c.address {
			p.claims[i] = c
			return
		}
	}
	if len(p.claims) == maxClaims {
		p.claims = p.claims[1:]
	}
	p.claims = append(p.claims, c)
}

// pullHighestClaim pulls from the peer that claims the highest revision above the
// local one. Only one such pull runs at a time, because several peers with the
// same change would each send it.
func (s *Syncer) pullHighestClaim() {
	p := &s.pulls
	s.pruneClaims()
	if len(p.claims) == 0 || s.hasOpenPull(purposeClaim) || s.hasOpenPull(purposeRepair) {
		return
	}
	best := 0
	for i, c := range p.claims {
		if c.revision > p.claims[best].revision {
			best = i
		}
	}
	s.startPull(p.claims[best].address, s.state.Revision(), "", purposeClaim)
}

func (s *Syncer) pruneClaims() {
	p := &s.pulls
	kept := p.claims[:0]
	for _, c := range p.claims {
		if c.revision > s.state.Revision() && s.now.Sub(c.receivedAt) < claimTTL {
			kept = append(kept, c)
		}
	}
	p.claims = kept
}

func (s *Syncer) dropClaim(address string) {
	p := &s.pulls
	for i := range p.claims {
		if p.claims[i].address == address {
			p.claims = append(p.claims[:i], p.claims[i+1:]...)
			return
		}
	}
}

func (s *Syncer) hasOpenPull(p purpose) bool {
	for _, o := range s.pulls.open {
		if o.purpose == p {
			return true
		}
	}
	return false
}

func (s *Syncer) startPull(address string, after uint64, name string, purpose purpose) {
	p := &s.pulls
	p.nextID++
	p.open[p.nextID] = &openPull{
		address:  address,
		deadline: s.now.Add(pullTimeout),
		purpose:  purpose,
		digest:   s.state.Digest(),
	}
	s.emit(Pull{ID: p.nextID, Address: address, After: after, AfterName: name, Held: s.state.Revision()})
}

func (s *Syncer) handlePulled(e Pulled) {
	o := s.pulls.open[e.ID]
	if o == nil {
		s.emit(CountPull{PullLate})
		s.mergePage(e.Page)
		return
	}
	delete(s.pulls.open, e.ID)
	s.mergePage(e.Page)
	if e.Page.More {
		s.pullNextPage(o, e.Page)
		return
	}
	s.finishPull(o, e)
}

// pullNextPage continues a pull after a truncated page.
func (s *Syncer) pullNextPage(o *openPull, page Page) {
	after, name := page.Next()
	s.startPull(o.address, after, name, o.purpose)
	s.pulls.open[s.pulls.nextID].digest = o.digest
}

func (s *Syncer) finishPull(o *openPull, e Pulled) {
	if confirmed := s.now.Add(-e.Age); confirmed.After(s.platform.confirmed) && e.Page.Revision >= s.state.Revision() {
		s.platform.confirmed = confirmed
	}
	switch o.purpose {
	case purposeStart:
		if e.Page.Revision > 0 {
			s.start.responses++
		}
	case purposePoll:
		s.pulls.failedPolls = 0
	case purposeRepair:
		s.finishRepair(o, e.Page)
		return
	case purposeClaim:
		s.finishClaimPull(o, e.Page.Revision)
	}
	s.repairIfDigestDiffers(o.address, e.Page)
	s.pullHighestClaim()
}

// finishClaimPull drops a claim above the revision that the peer returned. A peer
// that was replaced, or a forged revision, would otherwise cause endless pulls.
func (s *Syncer) finishClaimPull(o *openPull, revision uint64) {
	for _, c := range s.pulls.claims {
		if c.address == o.address && c.revision > revision {
			s.emit(CountPull{PullFellShort})
			s.dropClaim(o.address)
			return
		}
	}
}

// repairIfDigestDiffers starts a full pull from a peer that holds the same
// revision but different versions. One of the two lacks a version, after a partial
// response of the platform or because the platform no longer has the predecessor
// of a rejected version.
func (s *Syncer) repairIfDigestDiffers(address string, page Page) {
	difference := page.Digest - s.state.Digest()
	if page.Revision != s.state.Revision() || page.Digest == 0 || difference == 0 {
		return
	}
	if s.pulls.unresolved[difference] || s.hasOpenPull(purposeRepair) {
		return
	}
	s.startPull(address, 0, "", purposeRepair)
}

func (s *Syncer) finishRepair(o *openPull, page Page) {
	p := &s.pulls
	if s.state.Digest() != o.digest {
		s.emit(CountPull{PullRepaired})
	}
	difference := page.Digest - s.state.Digest()
	if difference == 0 || page.Revision != s.state.Revision() {
		return
	}
	s.emit(CountPull{PullDiffers})
	if len(p.unresolved) >= maxUnresolved {
		clear(p.unresolved)
	}
	p.unresolved[difference] = true
}

func (s *Syncer) handlePullLost(id uint64, outcome PullEvent) {
	o := s.pulls.open[id]
	if o == nil {
		return
	}
	delete(s.pulls.open, id)
	s.emit(CountPull{outcome})
	switch o.purpose {
	case purposePoll:
		s.pulls.failedPolls++
		s.pulls.nextPoll = s.now.Add(s.jitter(minReadInterval))
	case purposeClaim:
		s.dropClaim(o.address)
		s.pullHighestClaim()
	}
}

func (s *Syncer) expirePulls() {
	var expired []uint64
	for id, o := range s.pulls.open {
		if !s.now.Before(o.deadline) {
			expired = append(expired, id)
		}
	}
	sort.Slice(expired, func(i, j int) bool { return expired[i] < expired[j] })
	for _, id := range expired {
		s.handlePullLost(id, PullTimedOut)
	}
}

// pollIfDue polls a peer for changes when a poll is due and none is open.
func (s *Syncer) pollIfDue() {
	p := &s.pulls
	if len(s.peers) == 0 || s.now.Before(p.nextPoll) || s.hasOpenPull(purposePoll) {
		return
	}
	p.nextPoll = s.now.Add(s.jitter(pollInterval))
	s.startPull(s.pollTarget().Address, s.state.Revision(), "", purposePoll)
}

// pollTarget returns a random reader of the local data centre. A reader polls a
// VM of another data centre instead, so that the two compare their state. After
// repeated failed polls of the local readers, any peer is eligible.
func (s *Syncer) pollTarget() Peer {
	from := s.peers
	local, remote := SelectReaders(s.localPeers()), s.remotePeers()
	switch {
	case s.reader && len(remote) > 0:
		from = remote
	case !s.reader && len(local) > 0 && s.pulls.failedPolls < ReadersPerDataCentre:
		from = local
	}
	return from[s.opts.Random.IntN(len(from))]
}

// pushNews pushes a page that advanced the revision. A page above maxPushBytes is
// announced by its revision only, and the peers pull it.
func (s *Syncer) pushNews(page Page) {
	if page.More || bodyBytes(page.Documents) > maxPushBytes {
		page = Page{After: s.state.Revision(), Revision: s.state.Revision()}
	}
	s.push(page)
}

// pushRepaired pushes versions that were missing at or below the local revision.
func (s *Syncer) pushRepaired(news []*pb.PublishedDocument) {
	if bodyBytes(news) > maxPushBytes {
		news = nil
	}
	s.push(Page{After: s.state.Revision(), Revision: s.state.Revision(), Documents: news})
}

// push sends a page to the peers of the local data centre.
func (s *Syncer) push(page Page) {
	peers := s.localPeers()
	if len(peers) == 0 {
		return
	}
	page.Digest = s.state.Digest()
	push := Push{Page: page}
	for _, p := range peers {
		push.Addresses = append(push.Addresses, p.Address)
	}
	s.emit(push)
}

func bodyBytes(docs []*pb.PublishedDocument) int {
	n := 0
	for _, d := range docs {
		n += len(d.Body)
	}
	return n
}
