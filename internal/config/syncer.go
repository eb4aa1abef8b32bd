package config

import (
	"math/rand/v2"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Timing of platform reads. Delays are jittered around these values, so that
// daemons that lose the platform at the same moment do not retry in lockstep.
const (
	// watchTimeout is the long-poll duration of a watch.
	watchTimeout = 10 * time.Second
	// minReadInterval is the minimum time between two reads. It prevents a busy
	// loop when the platform answers every watch immediately.
	minReadInterval = 200 * time.Millisecond
	// maxReaderBackoff bounds a reader's delay after failures, because that delay
	// adds to the propagation delay of a change.
	maxReaderBackoff = 2 * time.Second
	// unconfirmedTimeout is the time without confirmation by any reader after
	// which a VM that is not a reader reads the platform itself.
	unconfirmedTimeout = 30 * time.Second
	// maxBackoff bounds the delay of a VM that is not a reader. It is longer
	// because the whole fleet may retry at once when the platform is down.
	maxBackoff = 60 * time.Second
	// fullReadInterval is the interval at which a reader reads all documents
	// again. A full read recovers documents that a partial response left out.
	fullReadInterval = 5 * time.Minute
	// pauseThreshold is the gap between two ticks that indicates a paused process,
	// which may have missed changes.
	pauseThreshold = time.Second
	// maxDoublings prevents the exponential backoff from overflowing.
	maxDoublings = 16
)

// Options configures a Syncer.
type Options struct {
	// VM, DataCentre and Address identify this daemon.
	VM         string
	DataCentre string
	Address    string
	// Seeds are the peer addresses to use before the member list is known.
	Seeds []string
	// Random is the source of jitter and peer selection; a fixed seed makes the
	// Syncer deterministic.
	Random *rand.Rand
}

// Syncer decides when to read the platform and which peers to pull from. It is not
// safe for concurrent use and does no I/O.
type Syncer struct {
	opts  Options
	state *State
	now   time.Time
	out   []Action
	// lastTick is the time of the last Tick.
	lastTick time.Time

	peers  []Peer
	reader bool

	platform platformState
	pulls    pullState
	start    startState
}

// platformState tracks this daemon's reads of the platform.
type platformState struct {
	openRead *Read
	openedAt time.Time
	nextRead time.Time
	nextFull time.Time
	// fullRead is set while a full read is in progress. fullAfter is the revision
	// it has reached, fullStartRevision the revision held when it began.
	fullRead          bool
	fullAfter         uint64
	fullStartRevision uint64
	attempted         bool
	failures          int
	reason            FailureReason
	// confirmed is the time of the platform's last response to this daemon or, as
	// reported by a peer, to another one.
	confirmed time.Time
}

// NewSyncer returns a Syncer with an empty State.
func NewSyncer(now time.Time, opts Options) *Syncer {
	s := &Syncer{opts: opts, state: New()}
	s.pulls = newPullState()
	s.start = startState{tried: map[string]bool{opts.Address: true}}
	s.platform.nextFull = now.Add(s.jitter(fullReadInterval))
	s.platform.confirmed = now
	return s
}

// State returns the documents held. Only Step changes it.
func (s *Syncer) State() *State { return s.state }

// Reader reports whether this VM watches the platform.
func (s *Syncer) Reader() bool { return s.reader }

// Started reports whether the startup is complete: the platform and the peers have
// been queried, and the daemon may serve with its configuration.
func (s *Syncer) Started() bool { return s.start.done }

// PlatformAge returns the time since the platform confirmed the configuration.
func (s *Syncer) PlatformAge(now time.Time) time.Duration {
	return now.Sub(s.platform.confirmed)
}

// Confirmed returns the time when the platform last confirmed the configuration.
func (s *Syncer) Confirmed() time.Time { return s.platform.confirmed }

// PlatformFailures returns the number of consecutive failed reads and the reason
// of the last failure.
func (s *Syncer) PlatformFailures() (int, FailureReason) {
	return s.platform.failures, s.platform.reason
}

// Step processes an event and returns the actions for the driver.
func (s *Syncer) Step(now time.Time, event Event) []Action {
	s.now = now
	s.out = nil
	switch e := event.(type) {
	case Tick:
		s.tick()
	case Peers:
		s.setPeers(e.List)
	case RevisionClaimed:
		s.handleClaim(e.Address, e.Revision)
	case Pulled:
		s.handlePulled(e)
	case PullLost:
		s.handlePullLost(e.ID, PullWasLost)
	case Pushed:
		s.mergePage(e.Page)
		s.repairIfDigestDiffers(e.Address, e.Page)
		s.handleClaim(e.Address, e.Page.Revision)
	case ReadCompleted:
		s.handleAnswered(e.Page)
	case ReadFailed:
		s.handleFailed(e.Reason)
	}
	s.advanceStart()
	return s.out
}

func (s *Syncer) emit(a Action) { s.out = append(s.out, a) }

func (s *Syncer) tick() {
	if !s.lastTick.IsZero() && s.now.Sub(s.lastTick) >= pauseThreshold {
		s.pulls.nextPoll = s.now
	}
	s.lastTick = s.now
	s.expirePulls()
	s.readIfDue()
	s.pollIfDue()
	s.pullHighestClaim()
}

// mergePage merges a page and returns the documents that changed the state. After
// the startup, a reader pushes them to its data centre, whatever their source.
func (s *Syncer) mergePage(p Page) []*pb.PublishedDocument {
	revision := s.state.Revision()
	news := s.state.Merge(p)
	moved := s.state.Revision() > revision
	if !moved && len(news) == 0 {
		return nil
	}
	s.emit(StateChanged{})
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
	s.start.peersKnown = s.state.Revision() > 0
	local := []Peer{{VM: s.opts.VM, DataCentre: s.opts.DataCentre, Address: s.opts.Address}}
	local = append(local, s.localPeers()...)
	was := s.reader
	s.reader = false
	for _, p := range SelectReaders(local) {
		s.reader = s.reader || p.VM == s.opts.VM
	}
	if s.reader && !was {
		s.platform.nextRead = s.now
	}
}

func (s *Syncer) localPeers() []Peer {
	var out []Peer
	for _, p := range s.peers {
		if p.DataCentre == s.opts.DataCentre {
			out = append(out, p)
		}
	}
	return out
}

func (s *Syncer) remotePeers() []Peer {
	var out []Peer
	for _, p := range s.peers {
		if p.DataCentre != s.opts.DataCentre {
			out = append(out, p)
		}
	}
	return out
}

// readIfDue starts a read if one is due and none is open.
func (s *Syncer) readIfDue() {
	p := &s.platform
	if p.openRead != nil || s.now.Before(p.nextRead) || !s.shouldRead() {
		return
	}
	if s.reader && !p.fullRead && !s.now.Before(p.nextFull) {
		p.fullRead, p.fullAfter, p.fullStartRevision = true, 0, s.state.Revision()
	}
	read := &Read{After: s.state.Revision()}
	switch {
	case p.fullRead:
		read.After = p.fullAfter
	case s.reader && p.attempted && p.failures == 0:
		read.Wait = s.jitter(watchTimeout)
	}
	p.openRead, p.openedAt = read, s.now
	s.emit(*read)
}

// shouldRead reports whether this VM reads the platform. Every VM reads until it
// has a configuration, at least once. After that, readers watch, and other VMs
// read only if the configuration is unconfirmed for unconfirmedTimeout.
func (s *Syncer) shouldRead() bool {
	switch {
	case s.reader || !s.platform.attempted:
		return true
	case s.state.Revision() == 0:
		return true
	default:
		return s.PlatformAge(s.now) >= unconfirmedTimeout
	}
}

func (s *Syncer) handleAnswered(page Page) {
	p := &s.platform
	if p.openRead == nil {
		return
	}
	page.After = p.openRead.After
	if s.isStale(page) {
		p.fullRead = false
		s.handleFailed(Stale)
		s.mergePage(page)
		return
	}
	p.openRead, p.attempted, p.failures = nil, true, 0
	p.confirmed = s.now
	s.scheduleRead(page.More)
	if p.fullRead {
		p.fullRead, p.fullAfter = page.More, page.Revision
		p.nextFull = s.now.Add(s.jitter(fullReadInterval))
	}
	if s.anyRejected(s.mergePage(page)) {
		// The platform no longer has the predecessor of the rejected version; a
		// peer may hold a later predecessor than this VM does.
		s.pulls.nextPoll = s.now
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

// isStale reports whether a response is older than one that the platform, or
// another of its servers, has already given.
func (s *Syncer) isStale(page Page) bool {
	if s.platform.fullRead {
		return !page.More && page.Revision < s.platform.fullStartRevision
	}
	return page.Revision < page.After
}

func (s *Syncer) scheduleRead(more bool) {
	p := &s.platform
	switch {
	case more:
		p.nextRead = s.now
	case s.reader:
		p.nextRead = p.openedAt.Add(s.jitter(minReadInterval))
	case s.state.Revision() == 0:
		p.nextRead = s.now.Add(s.jitter(maxReaderBackoff))
	default:
		p.nextRead = s.now.Add(s.jitter(unconfirmedTimeout))
	}
}

func (s *Syncer) handleFailed(reason FailureReason) {
	p := &s.platform
	if p.openRead == nil {
		return
	}
	p.openRead, p.attempted, p.reason = nil, true, reason
	p.failures++
	s.emit(CountReadFailure{reason})
	most := maxBackoff
	if s.reader || s.state.Revision() == 0 {
		most = maxReaderBackoff
	}
	delay := min(most, minReadInterval<<min(p.failures, maxDoublings))
	p.nextRead = s.now.Add(s.jitter(delay))
}

// jitter returns a random duration in [3/4 d, 5/4 d).
func (s *Syncer) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(s.opts.Random.Int64N(int64(d/2)))
}
