package catalogsync

import "time"

const (
	// minPartialInterval and partialSpacing limit how often a VM lists the store because of what
	// pages of peers lack: partialSpacing is the mean interval across all VMs.
	minPartialInterval = 10 * time.Second
	partialSpacing     = 100 * time.Millisecond
	// roomShare is the part of the limit below which items that once did not fit are listed again.
	roomShare = 0.75
)

// listForPartial schedules a listing of the store for what a peer's page lacks.
func (f *Follower) listForPartial(now time.Time) {
	if f.partial {
		return
	}
	f.partial = true
	f.listPartialAt = later(f.listPartialAt, now.Add(f.rankDelay()))
}

// partialDue reports whether the store is to be listed for what a peer's page lacked.
func (f *Follower) partialDue(now time.Time) bool {
	return f.partial && !now.Before(f.listPartialAt)
}

// partialListed schedules the next listing for what pages lack, after one has begun.
func (f *Follower) partialListed(now time.Time) {
	f.listPartialAt = now.Add(max(minPartialInterval, time.Duration(f.fleetSize)*partialSpacing))
}

// relistForRoom lists the store again if there is room for items that once did not fit.
func (f *Follower) relistForRoom(now time.Time) {
	if f.state.Overflowed() && float64(f.state.Size()) < roomShare*float64(f.opts.ContentLimit) {
		f.listForPartial(now)
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
