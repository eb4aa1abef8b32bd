package config

import (
	"math/rand/v2"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Timing of the platform's reads. Delays are drawn around these values, so that
// daemons that lost the platform at the same moment do not return together.
const (
	// watchWait is how long a watch waits for a change.
	watchWait = 10 * time.Second
	// readSpacing is the least time between two reads: a platform that answers
	// every watch at once must not be read in a busy loop.
	readSpacing = 200 * time.Millisecond
	// readerBackoff bounds a reader's delay after failures: it adds to the time
	// until a change is in force.
	readerBackoff = 2 * time.Second
	// quietBefore is how old a configuration may grow, unconfirmed by any
	// reader, before a VM that is no reader reads for itself.
	quietBefore = 30 * time.Second
	// backoff bounds the delay of a VM that is no reader: a whole fleet may be
	// in this state at once, when the platform is down.
	backoff = 60 * time.Second
	// fullEvery is how often a reader reads everything again. It repairs what a
	// partial answer left out.
	fullEvery = 5 * time.Minute
	// pauseGap is a gap between two ticks that shows that the process stood
	// still: changes may have passed it by.
	pauseGap = time.Second
	// maxDoublings keeps a growing delay from overflowing.
	maxDoublings = 16
)

// Options is what a Syncer needs.
type Options struct {
	// VM, DataCentre and Address name this daemon.
	VM         string
	DataCentre string
	Address    string
	// Seeds are peer addresses known before the platform has given a list.
	Seeds []string
	// Random spreads delays; a fixed seed makes the Syncer deterministic.
	Random *rand.Rand
}

// Syncer decides when to read the platform and whom to ask. It is not safe for
// concurrent use and does no I/O.
type Syncer struct {
	opts  Options
	state *State
	now   time.Time
	out   []Action
	// lastTick is when time last passed.
	lastTick time.Time

	peers  []Peer
	reader bool

	platform platformState
	pulls    pullState
	start    startState
}

// platformState is where this daemon stands with the platform.
type platformState struct {
	open     *Read
	opened   time.Time
	nextRead time.Time
	nextFull time.Time
	// full is a read of everything under way, up to place; floor is the
	// revision held when it began.
	full     bool
	place    uint64
	floor    uint64
	tried    bool
	failures int
	reason   FailureReason
	// confirmed is when the platform last answered, here or, told by a peer, at
	// another daemon.
	confirmed time.Time
}

// NewSyncer starts with an empty State.
func NewSyncer(now time.Time, opts Options) *Syncer {
	s := &Syncer{opts: opts, state: New()}
	s.pulls = newPullState()
	s.start = startState{tried: map[string]bool{opts.Address: true}}
	s.platform.nextFull = now.Add(s.around(fullEvery))
	s.platform.confirmed = now
	return s
}

// State is the documents held. Only Step changes it.
func (s *Syncer) State() *State { return s.state }

// Reader tells whether this VM watches the platform.
func (s *Syncer) Reader() bool { return s.reader }

// Started tells whether the platform and the peers have been asked, so that the
// configuration held may be served by.
func (s *Syncer) Started() bool { return s.start.done }

// PlatformAge is how long ago the platform confirmed the configuration.
func (s *Syncer) PlatformAge(now time.Time) time.Duration {
	return now.Sub(s.platform.confirmed)
}

// Confirmed is when the platform last confirmed the configuration.
func (s *Syncer) Confirmed() time.Time { return s.platform.confirmed }

// PlatformFailures is the number of reads that failed since the last that did
// not, and why the last one did.
func (s *Syncer) PlatformFailures() (int, FailureReason) {
	return s.platform.failures, s.platform.reason
}

// Step takes an event in and returns what is to be done.
func (s *Syncer) Step(now time.Time, event Event) []Action {
	s.now = now
	s.out = nil
	switch e := event.(type) {
	case Tick:
		s.tick()
	case Peers:
		s.setPeers(e.List)
	case Heard:
		s.heard(e.Address, e.Revision)
	case Pulled:
		s.pulled(e)
	case PullLost:
		s.pullLost(e.ID, PullWasLost)
	case Pushed:
		s.merge(e.Page)
		s.repair(e.Address, e.Page)
		s.heard(e.Address, e.Page.Revision)
	case Answered:
		s.answered(e.Page)
	case Failed:
		s.failed(e.Reason)
	}
	s.advanceStart()
	return s.out
}

func (s *Syncer) do(a Action) { s.out = append(s.out, a) }

func (s *Syncer) tick() {
	if !s.lastTick.IsZero() && s.now.Sub(s.lastTick) >= pauseGap {
		s.pulls.nextAsk = s.now
	}
	s.lastTick = s.now
	s.expirePulls()
	s.readIfDue()
	s.askIfDue()
	s.chase()
}

// merge takes a page in. A reader passes on what was news to it, from wherever
// it came.
func (s *Syncer) merge(p Page) []*pb.PublishedDocument {
	revision := s.state.Revision()
	news := s.state.Merge(p)
	moved := s.state.Revision() > revision
	if !moved && len(news) == 0 {
		return nil
	}
	s.do(PutInForce{})
	switch {
	case !s.reader || !s.start.done:
	case moved:
		s.pushNews(p)
	default:
		s.pushRepaired(news)
	}
	return news
}

func (s *Syncer) setPeers(peers []Peer) {
	s.peers = peers
	s.start.listed = s.state.Revision() > 0
	local := []Peer{{VM: s.opts.VM, DataCentre: s.opts.DataCentre, Address: s.opts.Address}}
	local = append(local, s.local()...)
	was := s.reader
	s.reader = false
	for _, p := range Readers(local) {
		s.reader = s.reader || p.VM == s.opts.VM
	}
	if s.reader && !was {
		s.platform.nextRead = s.now
	}
}

func (s *Syncer) local() []Peer {
	var out []Peer
	for _, p := range s.peers {
		if p.DataCentre == s.opts.DataCentre {
			out = append(out, p)
		}
	}
	return out
}

func (s *Syncer) remote() []Peer {
	var out []Peer
	for _, p := range s.peers {
		if p.DataCentre != s.opts.DataCentre {
			out = append(out, p)
		}
	}
	return out
}

// readIfDue starts a read when one is wanted.
func (s *Syncer) readIfDue() {
	p := &s.platform
	if p.open != nil || s.now.Before(p.nextRead) || !s.wantsRead() {
		return
	}
	if s.reader && !p.full && !s.now.Before(p.nextFull) {
		p.full, p.place, p.floor = true, 0, s.state.Revision()
	}
	read := &Read{After: s.state.Revision()}
	switch {
	case p.full:
		read.After = p.place
	case s.reader && p.tried && p.failures == 0:
		read.Wait = s.around(watchWait)
	}
	p.open, p.opened = read, s.now
	s.do(*read)
}

// wantsRead: everyone reads once at the start, and on until it has a
// configuration; then readers watch, and others read only when no reader has
// confirmed the configuration for long.
func (s *Syncer) wantsRead() bool {
	switch {
	case s.reader || !s.platform.tried:
		return true
	case s.state.Revision() == 0:
		return true
	default:
		return s.PlatformAge(s.now) >= quietBefore
	}
}

func (s *Syncer) answered(page Page) {
	p := &s.platform
	if p.open == nil {
		return
	}
	page.After = p.open.After
	if s.stale(page) {
		p.full = false
		s.failed(Stale)
		s.merge(page)
		return
	}
	p.open, p.tried, p.failures = nil, true, 0
	p.confirmed = s.now
	s.planRead(page.More)
	if p.full {
		p.full, p.place = page.More, page.Revision
		p.nextFull = s.now.Add(s.around(fullEvery))
	}
	if s.anyRejected(s.merge(page)) {
		// The platform no longer has the version before the rejected one; a
		// peer may hold a later one of it than this VM does.
		s.pulls.nextAsk = s.now
	}
}

func (s *Syncer) anyRejected(news []*pb.PublishedDocument) bool {
	for _, d := range news {
		if s.state.InForce(d.Name) < d.Revision {
			return true
		}
	}
	return false
}

// stale tells whether the platform fell behind what it, or another of its
// servers, has already given.
func (s *Syncer) stale(page Page) bool {
	if s.platform.full {
		return !page.More && page.Revision < s.platform.floor
	}
	return page.Revision < page.After
}

func (s *Syncer) planRead(more bool) {
	p := &s.platform
	switch {
	case more:
		p.nextRead = s.now
	case s.reader:
		p.nextRead = p.opened.Add(s.around(readSpacing))
	case s.state.Revision() == 0:
		p.nextRead = s.now.Add(s.around(readerBackoff))
	default:
		p.nextRead = s.now.Add(s.around(quietBefore))
	}
}

func (s *Syncer) failed(reason FailureReason) {
	p := &s.platform
	if p.open == nil {
		return
	}
	p.open, p.tried, p.reason = nil, true, reason
	p.failures++
	s.do(CountFailure{reason})
	most := backoff
	if s.reader || s.state.Revision() == 0 {
		most = readerBackoff
	}
	delay := min(most, readSpacing<<min(p.failures, maxDoublings))
	p.nextRead = s.now.Add(s.around(delay))
}

// around draws a delay from 3/4 to 5/4 of d.
func (s *Syncer) around(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(s.opts.Random.Int64N(int64(d/2)))
}
