package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/follow"
	"sycamorekeel.example/sycamorekeel/internal/gossip"
	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/poison"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
)

// ErrCompacted is the error of a watch whose history the store no longer has.
var ErrCompacted = errors.New("the store no longer has this history")

// Store is what is read of the platform's store.
type Store interface {
	// List is every item, and a position up to which the items hold all changes; stale
	// says that it may be seconds old.
	List(stale bool) (at catalog.Position, items []catalog.Item, err error)
	// Watch waits for changes above a revision; ErrCompacted says that they are
	// no longer known, or that the store has not come to the revision.
	Watch(after uint64, wait time.Duration) (at catalog.Position, changes []catalog.Item, err error)
}

const (
	// followTick is how often the follower is moved on.
	followTick = 50 * time.Millisecond
	// slowPull is a pull's time from which on it is logged: several round trips
	// between regions.
	slowPull = 200 * time.Millisecond
)

// reader drives a follow.Follower.
//
// Lock order: mu and the lock of packed are leaves; actions are done after it is released.
type reader struct {
	log      *zap.Logger
	met      *storeMetrics
	store    Store
	announce func(at catalog.Position, confirmed time.Time, tell *follow.Announce)
	changed  func(*catalog.View)
	// exchanged counts bytes exchanged with the peer that has an address.
	exchanged func(p traffic.Purpose, address string, bytes int)
	// members and learn give and take what is known of the fleet.
	members func() []*pb.MemberUpdate
	learn   func([]*pb.MemberUpdate)
	// poison holds the requests under which upstreams ended.
	poison *poison.Guard
	// self is what this VM says of itself; view is the members as seen now.
	self func() *pb.MemberUpdate
	view func() *membership.View

	mu       sync.Mutex
	follower *follow.Follower
	failing  bool
	// era is the one that the store told last.
	era uint64
	// reads says whether this VM was a reader when it was last looked at.
	reads bool
	// unreadable says that the last page could not be unpacked: the next is asked for
	// without a base.
	unreadable bool

	packed     packedPages
	memberList packedList
}

// run moves the follower on until ctx ends.
func (r *reader) run(ctx context.Context) error {
	t := time.NewTicker(followTick)
	defer t.Stop()
	for {
		r.step((*follow.Follower).Tick)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// step gives the follower an event and does what it asks for.
func (r *reader) step(event func(*follow.Follower, time.Time) []follow.Action) {
	now := time.Now()
	r.mu.Lock()
	actions := event(r.follower, now)
	reads := r.follower.Reader(now)
	elected := r.follower.Elected(now)
	lead := r.follower.Lead()
	turned := reads != r.reads
	r.reads = reads
	var view *catalog.View
	for _, a := range actions {
		if _, ok := a.(follow.Changed); ok {
			view = r.follower.State().View()
		}
	}
	rejected := r.follower.State().TakeRejected()
	at := r.follower.State().Position()
	confirmed := r.follower.Confirmed()
	r.mu.Unlock()
	if turned {
		r.log.Info("store: reader", zap.Bool("reads", reads), zap.Bool("elected", elected),
			zap.Stringer("position", at), zap.Stringer("lead", lead), zap.Duration("view_age", sinceOrZero(now, confirmed)))
	}
	for _, x := range rejected {
		r.met.rejected.Inc()
		if x.Repeated {
			continue
		}
		r.log.Warn("store: item rejected", zap.String("key", x.Key), zap.Uint64("revision", x.Revision), zap.Error(x.Err))
	}
	if view != nil {
		r.changed(view)
	}
	r.do(actions, at, confirmed)
}

// sinceOrZero is the time since another, 0 if that never came.
func sinceOrZero(now, then time.Time) time.Duration {
	if then.IsZero() {
		return 0
	}
	return now.Sub(then)
}

// isReader tells whether this VM reads the store.
func (r *reader) isReader() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reads
}

func (r *reader) do(actions []follow.Action, at catalog.Position, confirmed time.Time) {
	var tell *follow.Announce
	for _, a := range actions {
		switch a := a.(type) {
		case follow.List:
			go r.list(a)
		case follow.Watch:
			go r.watch(a)
		case follow.Pull:
			go r.pull(a)
		case follow.Announce:
			tell = &a
		case follow.Disproved:
			r.met.disproved.Inc()
			r.packed.forget()
			r.log.Error("store: a position that a peer gave does not exist: discarded", zap.Stringer("position", a.At))
		}
	}
	r.announce(at, confirmed, tell)
}

func (r *reader) list(l follow.List) {
	at, items, err := r.store.List(l.Stale)
	r.noteRead("list", err)
	if err == nil {
		r.log.Info("store: listed", zap.Stringer("position", at), zap.Int("items", len(items)), zap.Bool("stale", l.Stale))
		r.noteAnswer("list", at)
	}
	r.step(func(f *follow.Follower, now time.Time) []follow.Action {
		switch {
		case err != nil:
			return f.ReadFailed(now, false)
		case l.Stale:
			return f.ListedStale(now, at, items)
		default:
			return f.Listed(now, at, items)
		}
	})
}

func (r *reader) watch(w follow.Watch) {
	at, changes, err := r.store.Watch(w.After.Revision, w.Wait)
	r.noteRead("watch", err)
	if err == nil {
		r.noteAnswer("watch", at)
	}
	r.step(func(f *follow.Follower, now time.Time) []follow.Action {
		if err != nil {
			return f.ReadFailed(now, errors.Is(err, ErrCompacted))
		}
		return f.Watched(now, w.After, at, changes)
	})
}

// noteRead logs when the store is lost and regained.
func (r *reader) noteRead(call string, err error) {
	r.mu.Lock()
	r.met.reads.WithLabelValues(call, resultOf(err)).Inc()
	failed := err != nil
	turned := failed != r.failing
	r.failing = failed
	known := r.follower.State().Position()
	r.mu.Unlock()
	switch {
	case turned && failed:
		r.log.Warn("store: call failed", zap.String("call", call), zap.Stringer("known", known), zap.Error(err))
	case turned:
		r.log.Info("store: answers again", zap.String("call", call), zap.Stringer("known", known))
	}
}

// noteAnswer tells of an answer that shows that the store has gone back.
func (r *reader) noteAnswer(call string, at catalog.Position) {
	r.mu.Lock()
	known := r.follower.State().Position()
	was := r.era
	r.era = max(r.era, at.Era)
	r.mu.Unlock()
	if at.Era > was && was > 0 {
		r.log.Warn("store: came back from an older copy", zap.String("call", call),
			zap.Stringer("position", at), zap.Uint64("was", was), zap.Stringer("known", known))
	}
	if at.Before(known) {
		r.met.below.WithLabelValues(call).Inc()
		r.log.Info("store: answered below the known position", zap.String("call", call),
			zap.Stringer("position", at), zap.Stringer("known", known))
	}
}

// storeEra is the era that the store told last, 0 for none.
func (r *reader) storeEra() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.era
}

// disbelieved is how many claims of peers were not followed.
func (r *reader) disbelieved() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.follower.Disbelieved()
}

// pull asks a peer for what it knows.
func (r *reader) pull(p follow.Pull) {
	began := time.Now()
	page, err := r.fetchCatalog(p)
	r.notePull(p, page, err, time.Since(began))
	r.step(func(f *follow.Follower, now time.Time) []follow.Action {
		if err != nil {
			return f.PullFailed(now, p.ID)
		}
		return f.Pulled(now, p.ID, pageOf(page))
	})
}

// notePull tells of a pull that failed or was slow, with how far this VM was behind
// the peer's claim when it ended: a fleet that falls behind shows here first.
func (r *reader) notePull(p follow.Pull, page *pb.CatalogPage, err error, took time.Duration) {
	r.met.pulls.WithLabelValues(pullResult(err)).Inc()
	r.met.pullSeconds.Observe(took.Seconds())
	if err == nil {
		r.met.pulledItems.Add(float64(len(page.Items)))
	}
	if err == nil && took < slowPull {
		return
	}
	r.mu.Lock()
	lead := r.follower.Lead()
	confirmed := r.follower.Confirmed()
	r.mu.Unlock()
	r.log.Info("peer: pull "+pullOutcome(err), zap.String("peer", p.Address), zap.Stringer("after", p.After),
		zap.Stringer("lead", lead), zap.Int("items", len(page.GetItems())), zap.Duration("took", took),
		zap.Duration("view_age", sinceOrZero(time.Now(), confirmed)), zap.Error(err))
}

func pullOutcome(err error) string {
	if err != nil {
		return "failed"
	}
	return "slow"
}

func (r *reader) position() catalog.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.follower.State().Position()
}

// confirmedAge is the time since the store last confirmed what is known; a long
// time when it never has.
func (r *reader) confirmedAge(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.follower.Confirmed())
}

// behind is how many revisions the peer furthest ahead claims above what is known.
func (r *reader) behind() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return float64(r.follower.Lead().Above(r.follower.State().Position()))
}

// setBound changes the time within which a change must be in force.
func (r *reader) setBound(bound time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.follower.SetBound(bound)
}

// announced passes on what a peer's datagram says of its configuration. One that does not
// say when the store confirmed it confirms nothing, but what it has may be asked for.
func (r *reader) announced(a gossip.Announcement) {
	age := a.Age
	if age == 0 {
		age = follow.Unconfirmed
	}
	r.heard(a.From, catalog.Position{Era: a.Era, Revision: a.Revision}, age)
}

// heard passes a peer's position on.
func (r *reader) heard(peer *pb.MemberUpdate, at catalog.Position, age time.Duration) {
	from := follow.Peer{VM: peer.Vm, Region: peer.Region, DataCentre: peer.DataCentre, Address: peer.PeerAddress}
	r.step(func(f *follow.Follower, now time.Time) []follow.Action {
		return f.Heard(now, from, at, age)
	})
}

// setPeers tells which VMs live.
func (r *reader) setPeers(view *membership.View, self string) {
	var peers []follow.Peer
	for _, m := range view.Serving() {
		if m.VM != self {
			peers = append(peers, follow.Peer{VM: m.VM, Region: m.Region, DataCentre: m.DataCentre, Address: m.PeerAddress})
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.follower.SetPeers(peers)
}
