package follow

import (
	"slices"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
)

const (
	// watchWaitShare is the part of the bound on changes that a watch waits. A watch
	// may hang without a word; it is then noticed after its wait, and there is
	// as much time left to read anew.
	watchWaitShare = 0.4
	// readSpacingShare is the least time between two calls to the store, as a part
	// of the bound: changes that come close together are read by one call.
	readSpacingShare = 0.13
	// burstRevisions is how many revisions between two listings show that changes still
	// come so close together that a watch would bring several versions.
	burstRevisions = 3
	// unconfirmedShare is the part of the bound after which a VM that has heard of no
	// confirmation reads for itself.
	unconfirmedShare = 0.65
	// rankStep delays each further VM, so that not all of them begin to read when a
	// reader is lost.
	rankStep = 100 * time.Millisecond
	// maxRankDelayShare is the part of the bound by which the last of many VMs is delayed: it
	// has as much left for its own reading.
	maxRankDelayShare = 0.13
	// failedCallSpacing is the mean time between the calls, over all VMs, of those that read
	// out of their turn and fail. While the store is away each would else call once a
	// second: 295 VMs made 2,900 calls on a day with an outage of six seconds.
	failedCallSpacing = 25 * time.Millisecond
	// staleListingShare is the part of the bound for which what a stale listing told stands
	// without a confirmation: it may be seconds old.
	staleListingShare = 0.35
	// temporaryReaderPeriod is how long a VM that had to read for itself goes on reading.
	temporaryReaderPeriod = 5 * time.Second
	// minRetryDelay and retryMost bound the pause after a read that failed.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// peerAnswerWait is how long a process that starts alone listens for a peer, which
	// costs the store no call; a peer answers within a round trip.
	peerAnswerWait = 350 * time.Millisecond
	// disproofThreshold is how many answers of the store show that a position does not
	// exist: one might come from a part of the store that lags.
	disproofThreshold = 2
	// electionMinAge is how old a VM must be to know the others well enough to be
	// elected among them.
	electionMinAge = 1200 * time.Millisecond
	// firstStartSeedWait and settleOthers are the same for a start of the whole system,
	// when no peer knows anything: the VMs named as seeds find each other first
	// and read for the others.
	firstStartSeedWait = 600 * time.Millisecond
	firstStartWait     = 1500 * time.Millisecond
)

// Listed takes in a whole listing of the store.
func (f *Follower) Listed(now time.Time, at catalog.Position, items []catalog.Item) []Action {
	f.actions = nil
	f.readAnswered(now)
	if at.Before(f.state.Position()) {
		if !f.contradicted() {
			// An answer from before what is known: to be read again.
			f.relist = true
			f.nextReadAt = now.Add(minRetryDelay)
			return f.actions
		}
		f.discardDisproved(now)
	}
	f.contradictions = 0
	f.relist = false
	f.preferList = f.preferList && at.Above(f.state.Position()) >= burstRevisions
	changed := f.state.Replace(now, at, items)
	f.positionReached(now)
	f.storeConfirmed(now, changed)
	f.maybeRead(now)
	return f.actions
}

// ListedStale takes in a listing that may be seconds old. It confirms nothing: what peers
// know above it is asked of them, and readers confirm. Neither does it tell its era, which may
// have ended since: it stands until anything is known of an era.
func (f *Follower) ListedStale(now time.Time, at catalog.Position, items []catalog.Item) []Action {
	f.actions = nil
	f.readAnswered(now)
	f.staleListedAt = now
	at.Era = 0
	if !f.state.Position().Before(at) {
		return f.actions
	}
	f.relist = false
	changed := f.state.Replace(now, at, withoutEra(items))
	f.positionReached(now)
	f.emit(Announce{})
	if changed {
		f.emit(Changed{})
	}
	f.maybePull(now)
	f.maybeRead(now)
	return f.actions
}

// withoutEra is items as of no era.
func withoutEra(items []catalog.Item) []catalog.Item {
	out := slices.Clone(items)
	for i := range out {
		out[i].Era = 0
	}
	return out
}

// Watched takes in the answer of a watch. Its revision must be explained by its
// changes: a store that has lost a change in between says nothing of it, and
// what it tells later would join on to a gap. So would changes of another era, whose
// revisions before the watch's are not those that are known.
func (f *Follower) Watched(now time.Time, after, at catalog.Position, changes []catalog.Item) []Action {
	f.actions = nil
	f.readAnswered(now)
	replaced := supersededBytes(changes)
	f.preferList = replaced > 0 && replaced > f.state.Bytes()
	before := f.state.Position()
	upTo := catalog.Position{Era: at.Era, Revision: max(after.Revision, lastRevision(changes))}
	changed, applied := f.state.Apply(now, after, upTo, changes)
	if before.Before(f.state.Position()) {
		f.positionReached(now)
	}
	if !applied || f.state.Position().Before(at) || at.Before(after) {
		f.relist = true
	}
	if after.Era < at.Era {
		f.nextReadAt = now
	}
	if applied && !f.relist {
		f.storeConfirmed(now, changed)
	} else if changed {
		f.emit(Changed{})
	}
	f.maybeRead(now)
	return f.actions
}

// positionReached notes that another position is known now. One that the store itself has told may
// stand where a peer's claim was disproved before.
func (f *Follower) positionReached(now time.Time) {
	f.reachedAt = now
	f.contradictions = 0
	if !f.state.Position().Before(f.disproved) {
		f.disproved = catalog.Position{}
	}
}

// contradicted tells whether the store has now said twice that there is no such position as
// is known here, each time to a question that was asked after it was reached.
func (f *Follower) contradicted() bool {
	if f.readStartedAt.Before(f.reachedAt) {
		return false
	}
	f.contradictions++
	return f.contradictions >= disproofThreshold
}

// discardDisproved discards what is known: answers that the store gave to later questions are of
// an earlier position. The store goes back only into a later era, so what is known was made
// up by a peer.
// Kept, it would stand for good: all that the store tells would look old, and one notices
// a VM that lists the store without end, or a fleet in which no change comes into force.
func (f *Follower) discardDisproved(now time.Time) {
	f.disproved = f.state.Position()
	f.emit(Disproved{f.disproved})
	f.state.Discard(now)
	f.lead = claim{}
	f.pull = nil
}

// plausible tells whether a peer may have come to a position. What the store did not have
// in one era says nothing of the others.
func (f *Follower) plausible(at catalog.Position) bool {
	return at.Era != f.disproved.Era || f.disproved.Revision == 0 || at.Before(f.disproved)
}

// supersededBytes is the size of the versions among some changes that later ones replace.
func supersededBytes(changes []catalog.Item) int {
	newest := make(map[string]uint64, len(changes))
	for _, it := range changes {
		newest[it.Key] = max(newest[it.Key], it.Revision)
	}
	bytes := 0
	for _, it := range changes {
		if it.Revision < newest[it.Key] {
			bytes += len(it.Value)
		}
	}
	return bytes
}

func lastRevision(changes []catalog.Item) uint64 {
	var last uint64
	for _, it := range changes {
		last = max(last, it.Revision)
	}
	return last
}

// ReadFailed takes in that a read brought nothing. compacted says that the store
// no longer has the history asked for.
func (f *Follower) ReadFailed(now time.Time, compacted bool) []Action {
	f.actions = nil
	f.readOpen = false
	if compacted {
		f.relist = true
		f.nextReadAt = now
		f.maybeRead(now)
		return f.actions
	}
	f.state.StoreFailed(now)
	f.preferList = !f.preferList && now.Sub(f.readStartedAt) >= f.ofBound(watchWaitShare)
	wait := min(minRetryDelay<<min(f.failures, 8), maxRetryDelay)
	if !f.Elected(now) && f.state.Revision() > 0 {
		wait = max(wait, time.Duration(f.fleetSize)*failedCallSpacing)
	}
	f.failures++
	f.nextReadAt = now.Add(time.Duration((0.75 + 0.5*f.opts.Random.Float64()) * float64(wait)))
	return f.actions
}

func (f *Follower) readAnswered(now time.Time) {
	f.readOpen = false
	f.failures = 0
	f.nextReadAt = f.readStartedAt.Add(f.ofBound(readSpacingShare))
}

// storeConfirmed notes that what is known is what the store holds now, and says so: left
// to the peers' turns alone, the word would take more of the bound in a large
// fleet than the store's own wait, and VMs would read for themselves.
func (f *Follower) storeConfirmed(now time.Time, changed bool) {
	f.confirmedAt = now
	f.state.StoreAnswered(now)
	f.emit(Announce{Wide: true})
	if changed {
		f.emit(Changed{})
	}
}

// maybeRead reads the store when it is this VM's turn. While a peer's answer
// is on its way, it waits for that, but not for one that is slow.
func (f *Follower) maybeRead(now time.Time) {
	answering := f.pull != nil && now.Sub(f.pullStartedAt) < pullStallTimeout
	if f.readOpen || answering || now.Before(f.nextReadAt) || !f.shouldRead(now) {
		return
	}
	f.readOpen = true
	f.readStartedAt = now
	if f.relist || f.preferList {
		f.emit(List{Stale: f.allowsStale(now)})
		return
	}
	f.emit(Watch{After: f.state.Position(), Wait: f.ofBound(watchWaitShare)})
}

// allowsStale tells whether a listing may be seconds old. It may for a process that knows
// nothing and starts when all do: several hundred listings are cheap so, and the first
// readers bring the rest a moment later. One that has brought nothing is not tried again.
func (f *Follower) allowsStale(now time.Time) bool {
	return f.state.Revision() == 0 && f.staleListedAt.IsZero() && !f.opts.FirstStart && !f.Elected(now)
}

func (f *Follower) shouldRead(now time.Time) bool {
	if f.state.Revision() == 0 {
		return now.Sub(f.started) >= f.initialWait()+f.initialRankDelay(now)
	}
	if f.Reader(now) {
		return true
	}
	if now.Sub(f.confirmedAt) < f.ofBound(unconfirmedShare)+f.rankDelay() || now.Sub(f.staleListedAt) < f.ofBound(staleListingShare)+f.rankDelay() {
		return false
	}
	if !now.Before(f.temporaryReaderUntil) {
		// Of what came since the last confirmation the newest versions do.
		f.preferList = true
	}
	f.temporaryReaderUntil = now.Add(temporaryReaderPeriod)
	return true
}

// initialWait is how long a process that knows nothing leaves the reading to
// others.
func (f *Follower) initialWait() time.Duration {
	switch {
	case f.seedsEmpty && !f.opts.FirstStart:
		return 0
	case !f.opts.FirstStart:
		return peerAnswerWait
	case f.opts.Seed:
		return firstStartSeedWait
	default:
		return firstStartWait
	}
}

// initialRankDelay leaves the first reading to VMs of a lower rank, but not where it costs little:
// callers may wait for it.
func (f *Follower) initialRankDelay(now time.Time) time.Duration {
	if f.allowsStale(now) {
		return 0
	}
	return f.rankDelay()
}

func (f *Follower) rankDelay() time.Duration {
	step := min(rankStep, f.ofBound(maxRankDelayShare)/time.Duration(f.fleetSize))
	return time.Duration(f.rank) * step
}
