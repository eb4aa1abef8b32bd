package config

import (
	"sort"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

const (
	// pullTimeout is when a pull is given up and another peer asked.
	pullTimeout = 2 * time.Second
	// askEvery is how often a daemon asks a reader, besides what it hears. It
	// bounds the time until a change is in force where every push was lost.
	askEvery = 8 * time.Second
	// claimLife is how long a claim of a higher revision is pursued.
	claimLife = 30 * time.Second
	// maxClaims bounds the claims kept.
	maxClaims = 16
	// maxPushBytes bounds what is pushed; beyond it only the revision is, and
	// the peers pull.
	maxPushBytes = 16 << 10
	// maxFruitless bounds the remembered differences that a full pull did not
	// settle.
	maxFruitless = 64
)

// pullState is what this daemon asks of its peers.
type pullState struct {
	nextID  uint64
	open    map[uint64]*openPull
	claims  []claim
	nextAsk time.Time
	// misses counts asks of readers that failed in a row.
	misses int
	// fruitless holds the differences between digests that a full pull did not
	// settle. Two builds of the daemon that judge a document differently stay
	// different: without this memory they would send each other everything, over
	// and over. A digest is a sum over the versions held, so the difference
	// stays the same while other documents change.
	fruitless map[uint64]bool
}

// openPull is a pull that waits for its answer.
type openPull struct {
	address  string
	deadline time.Time
	purpose  purpose
	// digest is the own digest when a full pull began.
	digest uint64
}

type purpose int

const (
	// chasing a revision that the peer claims.
	chasing purpose = iota
	// asking a reader, to confirm that nothing is new.
	asking
	// starting: the first round of peers.
	starting
	// repairing a difference at one revision, by a full pull.
	repairing
)

// claim is a higher revision that a peer is said to hold.
type claim struct {
	address  string
	revision uint64
	heard    time.Time
}

func newPullState() pullState {
	return pullState{open: map[uint64]*openPull{}, fruitless: map[uint64]bool{}}
}

func (s *Syncer) heard(address string, revision uint64) {
	if revision <= s.state.Revision() || address == "" || address == s.opts.Address {
		return
	}
	s.noteClaim(claim{address: address, revision: revision, heard: s.now})
	s.chase()
}

func (s *Syncer) noteClaim(c claim) {
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

// chase pulls from the peer with the highest claim above what is held. One pull
// runs at a time: peers that learnt of the same change would send it again.
func (s *Syncer) chase() {
	p := &s.pulls
	s.dropClaims()
	if len(p.claims) == 0 || s.pulling(chasing) || s.pulling(repairing) {
		return
	}
	best := 0
	for i, c := range p.claims {
		if c.revision > p.claims[best].revision {
			best = i
		}
	}
	s.pull(p.claims[best].address, s.state.Revision(), "", chasing)
}

func (s *Syncer) dropClaims() {
	p := &s.pulls
	kept := p.claims[:0]
	for _, c := range p.claims {
		if c.revision > s.state.Revision() && s.now.Sub(c.heard) < claimLife {
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

func (s *Syncer) pulling(why purpose) bool {
	for _, o := range s.pulls.open {
		if o.purpose == why {
			return true
		}
	}
	return false
}

func (s *Syncer) pull(address string, after uint64, name string, why purpose) {
	p := &s.pulls
	p.nextID++
	p.open[p.nextID] = &openPull{
		address:  address,
		deadline: s.now.Add(pullTimeout),
		purpose:  why,
		digest:   s.state.Digest(),
	}
	s.do(Pull{ID: p.nextID, Address: address, After: after, AfterName: name, Held: s.state.Revision()})
}

func (s *Syncer) pulled(e Pulled) {
	o := s.pulls.open[e.ID]
	if o == nil {
		s.do(Count{PullLate})
		s.merge(e.Page)
		return
	}
	delete(s.pulls.open, e.ID)
	s.merge(e.Page)
	if e.Page.More {
		s.goOn(o, e.Page)
		return
	}
	s.endPull(o, e)
}

// goOn asks for the page after a full one.
func (s *Syncer) goOn(o *openPull, page Page) {
	after, name := page.Next()
	s.pull(o.address, after, name, o.purpose)
	s.pulls.open[s.pulls.nextID].digest = o.digest
}

func (s *Syncer) endPull(o *openPull, e Pulled) {
	if confirmed := s.now.Add(-e.Age); confirmed.After(s.platform.confirmed) && e.Page.Revision >= s.state.Revision() {
		s.platform.confirmed = confirmed
	}
	switch o.purpose {
	case starting:
		if e.Page.Revision > 0 {
			s.start.answers++
		}
	case asking:
		s.pulls.misses = 0
	case repairing:
		s.endRepair(o, e.Page)
		return
	case chasing:
		s.endChase(o, e.Page.Revision)
	}
	s.repair(o.address, e.Page)
	s.chase()
}

// endChase drops a claim that the peer could not make good: a peer that was
// replaced, or a forged number, must not be asked over and over.
func (s *Syncer) endChase(o *openPull, revision uint64) {
	for _, c := range s.pulls.claims {
		if c.address == o.address && c.revision > revision {
			s.do(Count{PullFellShort})
			s.dropClaim(o.address)
			return
		}
	}
}

// repair pulls everything from a peer that holds the same revision but other
// versions. One of both lacks something: a partial answer of the platform, or
// the former version of a document whose newest was rejected.
func (s *Syncer) repair(address string, page Page) {
	difference := page.Digest - s.state.Digest()
	if page.Revision != s.state.Revision() || page.Digest == 0 || difference == 0 {
		return
	}
	if s.pulls.fruitless[difference] || s.pulling(repairing) {
		return
	}
	s.pull(address, 0, "", repairing)
}

func (s *Syncer) endRepair(o *openPull, page Page) {
	p := &s.pulls
	if s.state.Digest() != o.digest {
		s.do(Count{PullRepaired})
	}
	difference := page.Digest - s.state.Digest()
	if difference == 0 || page.Revision != s.state.Revision() {
		return
	}
	s.do(Count{PullDiffers})
	if len(p.fruitless) >= maxFruitless {
		clear(p.fruitless)
	}
	p.fruitless[difference] = true
}

func (s *Syncer) pullLost(id uint64, why Counted) {
	o := s.pulls.open[id]
	if o == nil {
		return
	}
	delete(s.pulls.open, id)
	s.do(Count{why})
	switch o.purpose {
	case asking:
		s.pulls.misses++
		s.pulls.nextAsk = s.now.Add(s.around(readSpacing))
	case chasing:
		s.dropClaim(o.address)
		s.chase()
	}
}

func (s *Syncer) expirePulls() {
	var late []uint64
	for id, o := range s.pulls.open {
		if !s.now.Before(o.deadline) {
			late = append(late, id)
		}
	}
	sort.Slice(late, func(i, j int) bool { return late[i] < late[j] })
	for _, id := range late {
		s.pullLost(id, PullTimedOut)
	}
}

// askIfDue asks a reader whether anything is new, and anyone when the readers do
// not answer.
func (s *Syncer) askIfDue() {
	p := &s.pulls
	if len(s.peers) == 0 || s.now.Before(p.nextAsk) || s.pulling(asking) {
		return
	}
	p.nextAsk = s.now.Add(s.around(askEvery))
	s.pull(s.whomToAsk().Address, s.state.Revision(), "", asking)
}

// whomToAsk is a reader of the own data centre. A reader asks another data
// centre, so that they compare; a VM whose readers do not answer asks anyone.
func (s *Syncer) whomToAsk() Peer {
	from := s.peers
	local, remote := Readers(s.local()), s.remote()
	switch {
	case s.reader && len(remote) > 0:
		from = remote
	case !s.reader && len(local) > 0 && s.pulls.misses < ReadersPerDataCentre:
		from = local
	}
	return from[s.opts.Random.IntN(len(from))]
}

// pushNews passes on a page that moved the revision. Small news travel in the
// push itself; of larger ones only the revision does, and the peers pull.
func (s *Syncer) pushNews(page Page) {
	if page.More || bodyBytes(page.Documents) > maxPushBytes {
		page = Page{After: s.state.Revision(), Revision: s.state.Revision()}
	}
	s.push(page)
}

// pushRepaired passes on versions that were missing below the revision held.
func (s *Syncer) pushRepaired(news []*pb.PublishedDocument) {
	if bodyBytes(news) > maxPushBytes {
		news = nil
	}
	s.push(Page{After: s.state.Revision(), Revision: s.state.Revision(), Documents: news})
}

// push sends a page to the peers of the own data centre.
func (s *Syncer) push(page Page) {
	peers := s.local()
	if len(peers) == 0 {
		return
	}
	page.Digest = s.state.Digest()
	push := Push{Page: page}
	for _, p := range peers {
		push.Addresses = append(push.Addresses, p.Address)
	}
	s.do(push)
}

func bodyBytes(docs []*pb.PublishedDocument) int {
	n := 0
	for _, d := range docs {
		n += len(d.Body)
	}
	return n
}
