package catalogsync

import (
	"slices"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
)

const (
	// watchWaitShare is the fraction of the bound that a watch waits. A watch that hangs
	// silently is detected after its wait, which must leave enough time to read again.
	watchWaitShare = 0.4
	// readSpacingShare is the minimum interval between two calls to the store, as a fraction of
	// the bound. Changes in quick succession are read by one call.
	readSpacingShare = 0.13
	// burstRevisions is the number of revisions between two listings from which changes are
	// still so frequent that a watch would return several versions of a document.
	burstRevisions = 3
	// unconfirmedShare is the fraction of the bound after which a VM without a confirmation
	// reads the store itself.
	unconfirmedShare = 0.65
	// rankStep is the additional delay per rank, so that not all VMs start to read when a
	// reader is lost.
	rankStep = 100 * time.Millisecond
	// maxRankDelayShare limits the delay of the last of many VMs, as a fraction of the bound,
	// and leaves it the same time for its own read.
	maxRankDelayShare = 0.13
	// failedCallSpacing is the mean interval, across all VMs, between failing calls of VMs that
	// are not elected. Without it each would call once a second during an outage of the store:
	// 295 VMs made 2,900 calls on a day with an outage of six seconds.
	failedCallSpacing = 25 * time.Millisecond
	// staleListingShare is the fraction of the bound during which a stale listing needs no
	// confirmation. It is short because the listing may already be seconds old.
	staleListingShare = 0.35
	// temporaryReaderPeriod is how long a VM that had to read the store itself continues to do
	// so.
	temporaryReaderPeriod = 5 * time.Second
	// minRetryDelay and maxRetryDelay limit the backoff after a failed read.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// peerAnswerWait is how long a starting process waits for a peer's answer before it reads.
	// A peer answers within a round trip and costs the store no call.
	peerAnswerWait = 350 * time.Millisecond
	// disproofThreshold is how many answers of the store prove that a position does not exist.
	// One might come from a lagging replica of the store.
	disproofThreshold = 2
	// electionMinAge is how long a VM must have been running to know enough of its peers to be
	// elected.
	electionMinAge = 1200 * time.Millisecond
	// firstStartSeedWait and firstStartWait are the waits before the first read when the whole
	// system starts and no peer has any state: the seeds find each other first and read for the
	// other VMs.
	firstStartSeedWait = 600 * time.Millisecond
	firstStartWait     = 1500 * time.Millisecond
)

// Listed handles a complete listing of the store.
func (f *Follower) Listed(now time.Time, at catalog.Position, items []catalog.Item) []Action {
	f.actions = nil
	f.readAnswered(now)
	if at.Before(f.state.Position()) {
		if !f.contradicted() {
			// The answer predates the current position; read again.
			f.relist = true
			f.nextReadAt = now.Add(minRetryDelay)
			return f.actions
		}
		f.discardDisproved(now)
	}
	f.contradictions = 0
	f.relist = false
	f.partial = false
	f.preferList = f.preferList && at.RevisionsAhead(f.state.Position()) >= burstRevisions
	changed := f.state.Replace(now, at, items)
	f.positionReached(now)
	f.storeConfirmed(now, changed)
	f.maybeRead(now)
	return f.actions
}

// ListedStale handles a listing that may be seconds old. It confirms nothing: later changes are
// pulled from peers, and the readers confirm. Nor is its era reliable, as it may have ended
// since, so the state stays in era 0 until a position with an era is known.
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

// withoutEra returns a copy of items in era 0.
func withoutEra(items []catalog.Item) []catalog.Item {
	out := slices.Clone(items)
	for i := range out {
		out[i].Era = 0
	}
	return out
}

// Watched handles the answer of a watch. The changes must account for the answer's revision;
// otherwise the store has lost a change in between without reporting it, and later changes
// would follow a gap. Changes of another era cannot be applied either, because that era's
// revisions before the watch's position differ from those of the state.
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

// positionReached records that the current position has changed. If the store itself has now
// reached the disproved position or a later one, the disproof ends.
func (f *Follower) positionReached(now time.Time) {
	f.reachedAt = now
	f.contradictions = 0
	if !f.state.Position().Before(f.disproved) {
		f.disproved = catalog.Position{}
	}
}

// contradicted counts an answer of the store that is below the current position, if the call
// started after the position was reached. It reports whether there have been enough, two, to
// discard the state.
func (f *Follower) contradicted() bool {
	if f.readStartedAt.Before(f.reachedAt) {
		return false
	}
	f.contradictions++
	return f.contradictions >= disproofThreshold
}

// discardDisproved discards the state because the store has answered later calls with an
// earlier position. The store only moves backwards into a later era, so a peer must have made
// up the position. A state that is not discarded would stay for good: all answers of the store
// would look old, and VMs would list the store without end or changes would never come into
// force.
func (f *Follower) discardDisproved(now time.Time) {
	f.disproved = f.state.Position()
	f.emit(Disproved{f.disproved})
	f.state.Discard(now)
	f.lead = claim{}
	f.pull = nil
}

// plausible reports whether a peer may have reached a position. A disproof applies only to its
// own era.
func (f *Follower) plausible(at catalog.Position) bool {
	return at.Era != f.disproved.Era || f.disproved.Revision == 0 || at.Before(f.disproved)
}

// supersededBytes returns the size of the versions that later ones in the same changes replace.
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

// ReadFailed handles a failed read. compacted is set if the store no longer has the requested
// history.
func (f *Follower) ReadFailed(now time.Time, compacted bool) []Action {
	f.actions = nil
	f.readOpen = false
	f.largeRead, f.fullListingAt = false, time.Time{}
	if compacted {
		f.relist = true
		f.nextReadAt = now
		f.maybeRead(now)
		return f.actions
	}
	f.state.StoreFailed(now)
	f.preferList = !f.preferList && now.Sub(f.readStartedAt) >= f.ofBound(watchWaitShare)
	f.nextReadAt = f.backOff(now)
	return f.actions
}

// backOff returns when the next read may start after one that failed.
func (f *Follower) backOff(now time.Time) time.Time {
	wait := min(minRetryDelay<<min(f.failures, 8), maxRetryDelay)
	if !f.Elected(now) && f.state.Revision() > 0 {
		wait = max(wait, time.Duration(f.fleetSize)*failedCallSpacing)
	}
	f.failures++
	return now.Add(time.Duration((0.75 + 0.5*f.opts.Random.Float64()) * float64(wait)))
}

// readAnswered closes a successful call to the store and schedules the next one.
func (f *Follower) readAnswered(now time.Time) {
	f.readOpen = false
	f.failures = 0
	f.largeRead, f.fullListingAt = false, time.Time{}
	f.nextReadAt = f.readStartedAt.Add(f.ofBound(readSpacingShare))
}

// storeConfirmed records that the state matches the store and announces it at once. With
// periodic announcements alone, spreading the confirmation through a large fleet would take
// more of the bound than the store's own wait, and VMs would read the store themselves.
func (f *Follower) storeConfirmed(now time.Time, changed bool) {
	f.confirmedAt = now
	f.state.StoreAnswered(now)
	f.emit(Announce{AllRegions: true})
	if changed {
		f.emit(Changed{})
	}
}

// maybeRead starts a read of the store if one is due. It waits for an open pull, but not for
// one that is slow.
func (f *Follower) maybeRead(now time.Time) {
	answering := f.pull != nil && now.Sub(f.pullStartedAt) < pullStallTimeout
	if f.readOpen || answering || now.Before(f.nextReadAt) || !f.shouldRead(now) {
		return
	}
	f.readOpen = true
	f.readStartedAt = now
	partial := f.partialDue(now)
	if partial {
		f.partialListed(now)
	}
	if f.relist || f.preferList || partial {
		f.emit(List{AllowStale: f.allowsStale(now)})
		return
	}
	f.emit(Watch{After: f.state.Position(), Wait: f.ofBound(watchWaitShare)})
}

// allowsStale reports whether a listing may be seconds old. It may for a process without state
// that starts together with the fleet: this keeps several hundred listings cheap, and the first
// readers supply the rest a moment later. A stale listing that returned nothing is not
// repeated.
func (f *Follower) allowsStale(now time.Time) bool {
	return f.state.Revision() == 0 && f.staleListedAt.IsZero() && !f.opts.FirstStart && !f.Elected(now)
}

// shouldRead reports whether this VM is to read the store now. A VM that is not elected becomes
// a temporary reader when the confirmation is too old.
func (f *Follower) shouldRead(now time.Time) bool {
	if f.state.Revision() == 0 {
		return now.Sub(f.started) >= f.initialWait()+f.initialRankDelay(now)
	}
	if f.Reader(now) || f.partialDue(now) {
		return true
	}
	if now.Sub(f.confirmedAt) < f.ofBound(unconfirmedShare)+f.rankDelay() || now.Sub(f.staleListedAt) < f.ofBound(staleListingShare)+f.rankDelay() {
		return false
	}
	if !now.Before(f.temporaryReaderUntil) {
		// The newest versions since the last confirmation suffice.
		f.preferList = true
	}
	f.temporaryReaderUntil = now.Add(temporaryReaderPeriod)
	return true
}

// initialWait returns how long a process without state leaves reading to others.
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

// initialRankDelay delays the first read by rank so that one VM reads before the others. A
// cheap stale listing is not delayed, because callers may be waiting.
func (f *Follower) initialRankDelay(now time.Time) time.Duration {
	if f.allowsStale(now) {
		return 0
	}
	return f.rankDelay()
}

// rankDelay returns how much later than the first VM this one reads.
func (f *Follower) rankDelay() time.Duration {
	step := min(rankStep, f.ofBound(maxRankDelayShare)/time.Duration(f.fleetSize))
	return time.Duration(f.rank) * step
}
