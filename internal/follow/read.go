package follow

import (
	"slices"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
)

const (
	// waitShare is the part of the bound on changes that a watch waits. A watch
	// may hang without a word; it is then noticed after its wait, and there is
	// as much time left to read anew.
	waitShare = 0.4
	// spacingShare is the least time between two calls to the store, as a part
	// of the bound: changes that come close together are read by one call.
	spacingShare = 0.13
	// stormRevisions is how many revisions between two listings show that changes still
	// come so close together that a watch would bring several versions.
	stormRevisions = 3
	// staleShare is the part of the bound after which a VM that has heard of no
	// confirmation reads for itself.
	staleShare = 0.65
	// rankStep delays each further VM, so that not all of them begin to read when a
	// reader is lost.
	rankStep = 100 * time.Millisecond
	// rankShare is the part of the bound by which the last of many VMs is delayed: it
	// has as much left for its own reading.
	rankShare = 0.13
	// callSpacing is the mean time between the calls, over all VMs, of those that read
	// out of their turn and fail. While the store is away each would else call once a
	// second: 295 VMs made 2,900 calls on a day with an outage of six seconds.
	callSpacing = 25 * time.Millisecond
	// staleWorth is the part of the bound for which what a stale listing told stands
	// without a confirmation: it may be seconds old.
	staleWorth = 0.35
	// actingFor is how long a VM that had to read for itself goes on reading.
	actingFor = 5 * time.Second
	// retryFirst and retryMost bound the pause after a read that failed.
	retryFirst = 100 * time.Millisecond
	retryMost  = time.Second
	// hearFirst is how long a process that starts alone listens for a peer, which
	// costs the store no call; a peer answers within a round trip.
	hearFirst = 350 * time.Millisecond
	// enoughContradictions is how many answers of the store show that a position does not
	// exist: one might come from a part of the store that lags.
	enoughContradictions = 2
	// settleElected is how old a VM must be to know the others well enough to be
	// elected among them.
	settleElected = 1200 * time.Millisecond
	// settleSeed and settleOthers are the same for a start of the whole system,
	// when no peer knows anything: the VMs named as seeds find each other first
	// and read for the others.
	settleSeed   = 600 * time.Millisecond
	settleOthers = 1500 * time.Millisecond
)

// Listed takes in a whole listing of the store.
func (f *Follower) Listed(now time.Time, at catalog.Position, items []catalog.Item) []Action {
	f.out = nil
	f.answered(now)
	if at.Before(f.state.Position()) {
		if !f.contradicted() {
			// An answer from before what is known: to be read again.
			f.relist = true
			f.nextRead = now.Add(retryFirst)
			return f.out
		}
		f.disprove(now)
	}
	f.contradictions = 0
	f.relist = false
	f.listNext = f.listNext && at.Above(f.state.Position()) >= stormRevisions
	changed := f.state.Replace(now, at, items)
	f.reached(now)
	f.confirm(now, changed)
	f.advanceRead(now)
	return f.out
}

// ListedStale takes in a listing that may be seconds old. It confirms nothing: what peers
// know above it is asked of them, and readers confirm. Neither does it tell its era, which may
// have ended since: it stands until anything is known of an era.
func (f *Follower) ListedStale(now time.Time, at catalog.Position, items []catalog.Item) []Action {
	f.out = nil
	f.answered(now)
	f.staleAt = now
	at.Era = 0
	if !f.state.Position().Before(at) {
		return f.out
	}
	f.relist = false
	changed := f.state.Replace(now, at, withoutEra(items))
	f.reached(now)
	f.emit(Announce{})
	if changed {
		f.emit(Changed{})
	}
	f.advancePull(now)
	f.advanceRead(now)
	return f.out
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
	f.out = nil
	f.answered(now)
	replaced := replacedBytes(changes)
	f.listNext = replaced > 0 && replaced > f.state.Bytes()
	before := f.state.Position()
	upTo := catalog.Position{Era: at.Era, Revision: max(after.Revision, lastRevision(changes))}
	changed, joined := f.state.Apply(now, after, upTo, changes)
	if before.Before(f.state.Position()) {
		f.reached(now)
	}
	if !joined || f.state.Position().Before(at) || at.Before(after) {
		f.relist = true
	}
	if after.Era < at.Era {
		f.nextRead = now
	}
	if joined && !f.relist {
		f.confirm(now, changed)
	} else if changed {
		f.emit(Changed{})
	}
	f.advanceRead(now)
	return f.out
}

// reached notes that another position is known now. One that the store itself has told may
// stand where a peer's claim was disproved before.
func (f *Follower) reached(now time.Time) {
	f.reachedAt = now
	f.contradictions = 0
	if !f.state.Position().Before(f.disproved) {
		f.disproved = catalog.Position{}
	}
}

// contradicted tells whether the store has now said twice that there is no such position as
// is known here, each time to a question that was asked after it was reached.
func (f *Follower) contradicted() bool {
	if f.began.Before(f.reachedAt) {
		return false
	}
	f.contradictions++
	return f.contradictions >= enoughContradictions
}

// disprove discards what is known: answers that the store gave to later questions are of
// an earlier position. The store goes back only into a later era, so what is known was made
// up by a peer.
// Kept, it would stand for good: all that the store tells would look old, and one notices
// a VM that lists the store without end, or a fleet in which no change comes into force.
func (f *Follower) disprove(now time.Time) {
	f.disproved = f.state.Position()
	f.emit(Disproved{f.disproved})
	f.state.Discard(now)
	f.lead = lead{}
	f.pull = nil
}

// believable tells whether a peer may have come to a position. What the store did not have
// in one era says nothing of the others.
func (f *Follower) believable(at catalog.Position) bool {
	return at.Era != f.disproved.Era || f.disproved.Revision == 0 || at.Before(f.disproved)
}

// replacedBytes is the size of the versions among some changes that later ones replace.
func replacedBytes(changes []catalog.Item) int {
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
	f.out = nil
	f.reading = false
	if compacted {
		f.relist = true
		f.nextRead = now
		f.advanceRead(now)
		return f.out
	}
	f.state.Failed(now)
	f.listNext = !f.listNext && now.Sub(f.began) >= f.share(waitShare)
	wait := min(retryFirst<<min(f.failures, 8), retryMost)
	if !f.Elected(now) && f.state.Revision() > 0 {
		wait = max(wait, time.Duration(f.vms)*callSpacing)
	}
	f.failures++
	f.nextRead = now.Add(time.Duration((0.75 + 0.5*f.opts.Random.Float64()) * float64(wait)))
	return f.out
}

func (f *Follower) answered(now time.Time) {
	f.reading = false
	f.failures = 0
	f.nextRead = f.began.Add(f.share(spacingShare))
}

// confirm notes that what is known is what the store holds now, and says so: left
// to the peers' turns alone, the word would take more of the bound in a large
// fleet than the store's own wait, and VMs would read for themselves.
func (f *Follower) confirm(now time.Time, changed bool) {
	f.confirmed = now
	f.state.Answered(now)
	f.emit(Announce{Wide: true})
	if changed {
		f.emit(Changed{})
	}
}

// advanceRead reads the store when it is this VM's turn. While a peer's answer
// is on its way, it waits for that, but not for one that is slow.
func (f *Follower) advanceRead(now time.Time) {
	answering := f.pull != nil && now.Sub(f.pullSince) < pullStall
	if f.reading || answering || now.Before(f.nextRead) || !f.mayRead(now) {
		return
	}
	f.reading = true
	f.began = now
	if f.relist || f.listNext {
		f.emit(List{Stale: f.staleWillDo(now)})
		return
	}
	f.emit(Watch{After: f.state.Position(), Wait: f.share(waitShare)})
}

// staleWillDo tells whether a listing may be seconds old. It may for a process that knows
// nothing and starts when all do: several hundred listings are cheap so, and the first
// readers bring the rest a moment later. One that has brought nothing is not tried again.
func (f *Follower) staleWillDo(now time.Time) bool {
	return f.state.Revision() == 0 && f.staleAt.IsZero() && !f.opts.FirstStart && !f.Elected(now)
}

func (f *Follower) mayRead(now time.Time) bool {
	if f.state.Revision() == 0 {
		return now.Sub(f.started) >= f.firstWait()+f.firstDelay(now)
	}
	if f.Reader(now) {
		return true
	}
	if now.Sub(f.confirmed) < f.share(staleShare)+f.rankDelay() || now.Sub(f.staleAt) < f.share(staleWorth)+f.rankDelay() {
		return false
	}
	if !now.Before(f.actingUntil) {
		// Of what came since the last confirmation the newest versions do.
		f.listNext = true
	}
	f.actingUntil = now.Add(actingFor)
	return true
}

// firstWait is how long a process that knows nothing leaves the reading to
// others.
func (f *Follower) firstWait() time.Duration {
	switch {
	case f.alone && !f.opts.FirstStart:
		return 0
	case !f.opts.FirstStart:
		return hearFirst
	case f.opts.Seed:
		return settleSeed
	default:
		return settleOthers
	}
}

// firstDelay leaves the first reading to VMs of a lower rank, but not where it costs little:
// callers may wait for it.
func (f *Follower) firstDelay(now time.Time) time.Duration {
	if f.staleWillDo(now) {
		return 0
	}
	return f.rankDelay()
}

func (f *Follower) rankDelay() time.Duration {
	step := min(rankStep, f.share(rankShare)/time.Duration(f.vms))
	return time.Duration(f.rank) * step
}
