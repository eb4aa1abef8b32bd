package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/bodylimit"
	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/catalogsync"
	"sycamorekeel.example/sycamorekeel/internal/gossip"
	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/pagecodec"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/poison"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
)

// ErrCompacted is the error of a watch from a revision that the store's history no
// longer covers.
var ErrCompacted = errors.New("the store no longer has this history")

// ErrTooLarge is the error of a call whose answer is too large, or too large for the time that it
// may take.
var ErrTooLarge = errors.New("the answer is too large")

// Store reads the platform's store.
type Store interface {
	// List returns every item, and a position up to which the items include all
	// changes. If stale is set, the answer may be seconds old.
	List(stale bool) (at catalog.Position, items []catalog.Item, err error)
	// Watch waits for changes above a revision. It returns ErrCompacted if these
	// changes are no longer known or if the store has not reached the revision.
	Watch(after uint64, wait time.Duration) (at catalog.Position, changes []catalog.Item, err error)
	// Configuration returns the configuration's newest version alone. It may be called while a
	// listing or a watch is open.
	Configuration() (catalog.Item, error)
	// OnLargeRead sets a function that is called while a listing or a watch is open whose answer
	// takes long because of its size, or turns out to be large. If it returns false for a large one,
	// the call ends with ErrTooLarge. It is set before the first call.
	OnLargeRead(func(large bool) (goOn bool))
	// Prefer sets a function that reports whether this VM holds an item. Listings leave out such items
	// last. It is set before the first call.
	Prefer(held func(key string) bool)
	// LeftOut returns how many items were left out of listings because they did not fit.
	LeftOut() uint64
}

const (
	// followInterval is the interval between ticks of the follower.
	followInterval = 50 * time.Millisecond
	// slowPullThreshold is the duration above which a pull is logged: several round
	// trips between regions.
	slowPullThreshold = 200 * time.Millisecond
)

// catalogSyncer keeps the catalog in sync with the store and with peers. It feeds
// events to a catalogsync.Follower and executes the actions that the follower returns.
//
// Lock order: pageWork, then mu or the lock of pages, which are leaves. Actions are executed after mu
// is released.
type catalogSyncer struct {
	log       *zap.Logger
	met       *catalogMetrics
	store     Store
	announce  func(at catalog.Position, confirmed time.Time, push *catalogsync.Announce)
	applyView func(*catalog.View)
	// countBytes counts bytes exchanged with the peer at an address.
	countBytes func(p traffic.Purpose, address string, bytes int)
	// bodies bounds the bytes of peers' responses that are being read or decoded, maxPage those of
	// one.
	bodies  *bodylimit.Memory
	maxPage int
	// memberUpdates returns the member list, and learnMembers adds entries to it.
	memberUpdates func() []*pb.MemberUpdate
	learnMembers  func([]*pb.MemberUpdate)
	// poison tracks the requests that crash upstreams.
	poison *poison.Guard
	// self returns this VM's own member entry, and view the current member view.
	self func() *pb.MemberUpdate
	view func() *membership.View

	mu           sync.Mutex
	follower     *catalogsync.Follower
	storeFailing bool
	// lastEra is the highest era that the store has returned.
	lastEra uint64
	// readsStore reports whether this VM was a reader of the store at the last event.
	readsStore bool
	// leftOut is the last value of the store's LeftOut.
	leftOut uint64
	// largeLoggedAt is when a large answer of the store was last logged.
	largeLoggedAt time.Time
	// lastPageUnreadable is set if the last page could not be unpacked. The next one is
	// then requested without a base.
	lastPageUnreadable bool

	// reads is the version of the decoder, see Adapter.Reads.
	reads uint64
	// codec packs and unpacks pages, one at a time: pageWork is held meanwhile. It is locked before mu.
	codec    pagecodec.Codec
	pageWork sync.Mutex

	rejections rejections
	pages      pageCache
	memberList memberListCache
}

// run ticks the follower until ctx is done.
func (s *catalogSyncer) run(ctx context.Context) error {
	t := time.NewTicker(followInterval)
	defer t.Stop()
	for {
		s.step((*catalogsync.Follower).Tick)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// step passes an event to the follower and executes the actions that it returns.
func (s *catalogSyncer) step(event func(*catalogsync.Follower, time.Time) []catalogsync.Action) {
	now := time.Now()
	s.mu.Lock()
	actions := event(s.follower, now)
	isReader := s.follower.Reader(now)
	elected := s.follower.Elected(now)
	lead := s.follower.Lead()
	roleChanged := isReader != s.readsStore
	s.readsStore = isReader
	var view *catalog.View
	for _, a := range actions {
		if _, ok := a.(catalogsync.Changed); ok {
			view = s.follower.State().View()
		}
	}
	rejected := s.follower.State().TakeRejected()
	unlisted := s.follower.State().TakeUnlisted()
	logged, suppressed := s.rejections.add(now, rejected, unlisted)
	at := s.follower.State().Position()
	confirmed := s.follower.Confirmed()
	s.mu.Unlock()
	if roleChanged {
		s.log.Info("store: reader", zap.Bool("reads", isReader), zap.Bool("elected", elected),
			zap.Stringer("position", at), zap.Stringer("lead", lead), zap.Duration("view_age", sinceOrZero(now, confirmed)))
	}
	s.logRejected(len(rejected)+unlisted, logged, suppressed)
	if view != nil {
		s.applyView(view)
	}
	s.execute(actions, at, confirmed)
}

// sinceOrZero returns the time from then to now, or 0 if then is zero.
func sinceOrZero(now, then time.Time) time.Duration {
	if then.IsZero() {
		return 0
	}
	return now.Sub(then)
}

// isReader reports whether this VM reads the store.
func (s *catalogSyncer) isReader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readsStore
}

func (s *catalogSyncer) execute(actions []catalogsync.Action, at catalog.Position, confirmed time.Time) {
	var push *catalogsync.Announce
	for _, a := range actions {
		switch a := a.(type) {
		case catalogsync.List:
			go s.list(a)
		case catalogsync.Watch:
			go s.watch(a)
		case catalogsync.ReadConfiguration:
			go s.readConfiguration()
		case catalogsync.Pull:
			go s.pull(a)
		case catalogsync.Announce:
			push = &a
		case catalogsync.Disproved:
			s.met.disproved.Inc()
			s.pages.reset()
			s.log.Error("store: position claimed by a peer does not exist, catalog discarded", zap.Stringer("position", a.At))
		}
	}
	s.announce(at, confirmed, push)
}

func (s *catalogSyncer) list(l catalogsync.List) {
	at, items, err := s.store.List(l.AllowStale)
	s.recordRead("list", err)
	s.recordLeftOut()
	if err == nil {
		s.log.Info("store: listed", zap.Stringer("position", at), zap.Int("items", len(items)), zap.Bool("stale", l.AllowStale))
		s.recordPosition("list", at)
	}
	s.step(func(f *catalogsync.Follower, now time.Time) []catalogsync.Action {
		switch {
		case errors.Is(err, ErrTooLarge):
			return f.ReadTooLarge(now)
		case err != nil:
			return f.ReadFailed(now, false)
		case l.AllowStale:
			return f.ListedStale(now, at, items)
		default:
			return f.Listed(now, at, items)
		}
	})
}

func (s *catalogSyncer) watch(w catalogsync.Watch) {
	at, changes, err := s.store.Watch(w.After.Revision, w.Wait)
	s.recordRead("watch", err)
	if err == nil {
		s.recordPosition("watch", at)
	}
	s.step(func(f *catalogsync.Follower, now time.Time) []catalogsync.Action {
		switch {
		case errors.Is(err, ErrTooLarge):
			return f.ReadTooLarge(now)
		case err != nil:
			return f.ReadFailed(now, errors.Is(err, ErrCompacted))
		default:
			return f.Watched(now, w.After, at, changes)
		}
	})
}

// readLarge handles an open read whose answer takes long because of its size or is large, and reports
// whether it is to be read to its end.
func (s *catalogSyncer) readLarge(large bool) bool {
	s.met.largeReads.Inc()
	goOn := true
	s.step(func(f *catalogsync.Follower, now time.Time) []catalogsync.Action {
		actions := f.ReadLarge(now)
		goOn = !large || f.ReadsLarge(now)
		return actions
	})
	now := time.Now()
	s.mu.Lock()
	due := now.Sub(s.largeLoggedAt) >= rejectionWindow
	if due {
		s.largeLoggedAt = now
	}
	s.mu.Unlock()
	if due {
		s.log.Warn("store: large answer, the configuration is read alone meanwhile", zap.Bool("read_on", goOn))
	}
	return goOn
}

// holds reports whether this VM holds an item.
func (s *catalogSyncer) holds(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.follower.State().Holds(key)
}

// readConfiguration reads the configuration alone.
func (s *catalogSyncer) readConfiguration() {
	it, err := s.store.Configuration()
	s.met.reads.WithLabelValues("configuration", resultLabel(err)).Inc()
	s.step(func(f *catalogsync.Follower, now time.Time) []catalogsync.Action {
		if err != nil {
			return f.ConfigurationFailed(now)
		}
		return f.ConfigurationRead(now, it)
	})
}

// recordLeftOut logs items that were left out of listings.
func (s *catalogSyncer) recordLeftOut() {
	total := s.store.LeftOut()
	s.mu.Lock()
	added := total - s.leftOut
	s.leftOut = total
	s.mu.Unlock()
	if added > 0 {
		s.met.leftOut.Add(float64(added))
		s.log.Warn("store: listing exceeds the memory for published items, some were left out", zap.Uint64("items", added))
	}
}

// recordRead counts a call to the store and logs the first failure and the first
// success after a failure.
func (s *catalogSyncer) recordRead(call string, err error) {
	s.mu.Lock()
	s.met.reads.WithLabelValues(call, resultLabel(err)).Inc()
	failed := err != nil
	changed := failed != s.storeFailing
	s.storeFailing = failed
	known := s.follower.State().Position()
	s.mu.Unlock()
	switch {
	case changed && failed:
		s.log.Warn("store: call failed", zap.String("call", call), zap.Stringer("known", known), zap.Error(err))
	case changed:
		s.log.Info("store: available again", zap.String("call", call), zap.Stringer("known", known))
	}
}

// recordPosition updates the last era, and logs an answer which shows that the store
// went back to an older state.
func (s *catalogSyncer) recordPosition(call string, at catalog.Position) {
	s.mu.Lock()
	known := s.follower.State().Position()
	previousEra := s.lastEra
	s.lastEra = max(s.lastEra, at.Era)
	s.mu.Unlock()
	if at.Era > previousEra && previousEra > 0 {
		s.log.Warn("store: restored from an older copy", zap.String("call", call),
			zap.Stringer("position", at), zap.Uint64("was", previousEra), zap.Stringer("known", known))
	}
	if at.Before(known) {
		s.met.belowKnown.WithLabelValues(call).Inc()
		s.log.Info("store: answer is older than the known position", zap.String("call", call),
			zap.Stringer("position", at), zap.Stringer("known", known))
	}
}

// storeEra returns the highest era that the store has returned, or 0 if it has returned
// none.
func (s *catalogSyncer) storeEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastEra
}

// ignoredClaims returns the number of peers' claims that were ignored because the store
// had contradicted them.
func (s *catalogSyncer) ignoredClaims() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.follower.RejectedClaims()
}

// pull requests catalog changes from a peer and passes the result to the follower.
func (s *catalogSyncer) pull(p catalogsync.Pull) {
	start := time.Now()
	page, err := s.fetchCatalog(p)
	s.recordPull(p, page, err, time.Since(start))
	s.step(func(f *catalogsync.Follower, now time.Time) []catalogsync.Action {
		switch {
		case isTooLarge(err):
			return f.PullTooLarge(now, p.ID)
		case err != nil:
			return f.PullFailed(now, p.ID)
		}
		return f.Pulled(now, p.ID, decodePage(page))
	})
}

// recordPull counts a pull, and logs one that failed or was slow together with the
// highest position that peers claim and the age of this VM's view. In a fleet that
// falls behind, these lines are the first sign.
func (s *catalogSyncer) recordPull(p catalogsync.Pull, page *pb.CatalogPage, err error, took time.Duration) {
	s.met.pulls.WithLabelValues(pullResultLabel(err)).Inc()
	s.met.pullSeconds.Observe(took.Seconds())
	if err == nil {
		s.met.pulledItems.Add(float64(len(page.Items)))
	}
	if err == nil && took < slowPullThreshold {
		return
	}
	s.mu.Lock()
	lead := s.follower.Lead()
	confirmed := s.follower.Confirmed()
	s.mu.Unlock()
	s.log.Info("peer: pull "+pullOutcome(err), zap.String("peer", p.Address), zap.Stringer("after", p.After),
		zap.Stringer("lead", lead), zap.Int("items", len(page.GetItems())), zap.Duration("took", took),
		zap.Duration("view_age", sinceOrZero(time.Now(), confirmed)), zap.Error(err))
}

func pullOutcome(err error) string {
	if err != nil {
		return "failed"
	}
	return "slow"
}

func (s *catalogSyncer) position() catalog.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.follower.State().Position()
}

// confirmedAge returns the time since the store last confirmed the catalog. It is very
// long if the store has never confirmed it.
func (s *catalogSyncer) confirmedAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.follower.Confirmed())
}

// revisionsBehind returns by how many revisions the highest position that a peer claims
// exceeds this VM's position.
func (s *catalogSyncer) revisionsBehind() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.follower.Lead().RevisionsAhead(s.follower.State().Position()))
}

// setBound changes the time within which a published change must be in force.
func (s *catalogSyncer) setBound(bound time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follower.SetChangeBound(bound)
}

// onAnnouncement handles the catalog position in a peer's datagram. A position without
// a confirmation time confirms nothing, but it may still cause a pull from that peer.
func (s *catalogSyncer) onAnnouncement(a gossip.Announcement) {
	age := a.Age
	if age == 0 {
		age = catalogsync.Unconfirmed
	}
	s.onPeerPosition(a.Sender, catalog.Position{Era: a.Era, Revision: a.Revision}, age)
}

// onPeerPosition passes a peer's position, and the time since the store confirmed it,
// to the follower.
func (s *catalogSyncer) onPeerPosition(peer *pb.MemberUpdate, at catalog.Position, age time.Duration) {
	from := catalogsync.Peer{VM: peer.Vm, Region: peer.Region, DataCentre: peer.DataCentre, Address: peer.PeerAddress}
	s.step(func(f *catalogsync.Follower, now time.Time) []catalogsync.Action {
		return f.PeerAnnounced(now, from, at, age)
	})
}

// setPeers sets the follower's peers to the serving VMs other than self.
func (s *catalogSyncer) setPeers(view *membership.View, self string) {
	var peers []catalogsync.Peer
	for _, m := range view.Serving() {
		if m.VM != self {
			peers = append(peers, catalogsync.Peer{VM: m.VM, Region: m.Region, DataCentre: m.DataCentre, Address: m.PeerAddress})
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follower.SetPeers(peers)
}
