// Package warmup decides which upstreams may be given requests while upstreams of their
// service bear only a few requests a second when they are cold.
//
// A cold upstream is given nothing; the other copies carry its work. Any part of the bound
// that VMs took without asking one another would have to hold over views that differ,
// partitions and restarts of all VMs, which leaves each less than one request a second.
//
// An upstream is known to be warm by its entry, as long as the store has confirmed that
// lately, and by an answer of its health path. Whatever points to a new start (a connection
// that ended, an address that refused one) makes it doubtful until its health has answered.
//
// The package is pure; its caller holds the lock.
package warmup

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
)

const (
	// checkedFor is how long a health answer stands while the entries are not confirmed.
	checkedFor = time.Second
	// entryDelay is how long an upstream's entry may take to tell of a new start.
	entryDelay = 3 * time.Second
	// checkPause is the least time between two checks of an upstream.
	checkPause = 100 * time.Millisecond
)

// State is whether an upstream may be given requests.
type State int

// States.
const (
	// Warm upstreams may be given requests.
	Warm State = iota
	// Cold ones may not.
	Cold
	// Doubtful ones may not before their health has answered.
	Doubtful
)

// upstream is what is known of one upstream since it started.
type upstream struct {
	registered *catalog.Upstream
	coldUntil  time.Time
	// doubtedAt is when something last pointed to a new start, checkedAt when the check
	// whose answer came last was begun; zero for never.
	doubtedAt, checkedAt time.Time
	// askedAt is when a check was last begun.
	askedAt time.Time
}

// Table is what is known of all upstreams. It is not safe for concurrent use.
type Table struct{ upstreams map[string]*upstream }

// New is a table that knows nothing.
func New() *Table { return &Table{map[string]*upstream{}} }

// Keep takes in the entries of a view and forgets the upstreams that are gone. Upstreams of
// an evacuated data centre are doubtful: they may turn cold while they get nothing.
func (t *Table) Keep(now time.Time, v *catalog.View) {
	for id := range t.upstreams {
		if v.Upstreams[id] == nil {
			delete(t.upstreams, id)
		}
	}
	for id, u := range v.Upstreams {
		held := t.upstreams[id]
		if held == nil || u.StartedAfter(held.registered) {
			held = &upstream{}
			t.upstreams[id] = held
		}
		if held.registered == nil || u.ColdFor > held.registered.ColdFor {
			held.coldUntil = later(held.coldUntil, now.Add(u.ColdFor))
		}
		held.registered = u
		if v.Evacuated[u.DataCentre] {
			held.doubtedAt = now
		}
	}
}

// Doubt takes in that something points to a new start of an upstream.
func (t *Table) Doubt(now time.Time, u *catalog.Upstream) {
	if held := t.upstreams[u.ID]; held != nil {
		held.doubtedAt = now
	}
}

// Checked takes in an answer of an upstream's health path to a check begun at a time.
func (t *Table) Checked(now, begun time.Time, u *catalog.Upstream, coldFor time.Duration) {
	held := t.upstreams[u.ID]
	if held == nil {
		return
	}
	held.checkedAt = later(held.checkedAt, begun)
	if coldFor > 0 {
		held.coldUntil = later(held.coldUntil, now.Add(coldFor))
	}
}

// State tells whether an upstream may be given requests; confirmed says that the store has
// confirmed the entries lately.
func (t *Table) State(now time.Time, u *catalog.Upstream, confirmed bool) State {
	held := t.upstreams[u.ID]
	switch {
	case held == nil:
		return Doubtful
	case now.Before(held.coldUntil):
		return Cold
	case !held.doubtedAt.IsZero() && !held.checkedAt.After(held.doubtedAt):
		return Doubtful
	case !confirmed && now.Sub(held.checkedAt) > checkedFor:
		return Doubtful
	default:
		return Warm
	}
}

// StateByEntry is State for an upstream that tells nothing of its health: its entry alone
// ends a doubt.
func (t *Table) StateByEntry(now time.Time, u *catalog.Upstream, confirmed bool) State {
	held := t.upstreams[u.ID]
	switch {
	case held == nil || !confirmed:
		return Doubtful
	case now.Before(held.coldUntil):
		return Cold
	case !held.doubtedAt.IsZero() && now.Sub(held.doubtedAt) < entryDelay:
		return Doubtful
	default:
		return Warm
	}
}

// Check tells whether the health of a doubtful upstream is to be asked for now, and takes
// note of it.
func (t *Table) Check(now time.Time, u *catalog.Upstream) bool {
	held := t.upstreams[u.ID]
	if held == nil || now.Sub(held.askedAt) < checkPause {
		return false
	}
	held.askedAt = now
	return true
}

// WarmIn is how long it takes until an upstream may be given requests, as far as is known.
func (t *Table) WarmIn(now time.Time, u *catalog.Upstream) time.Duration {
	held := t.upstreams[u.ID]
	if held == nil {
		return checkPause
	}
	return max(checkPause, held.coldUntil.Sub(now))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
