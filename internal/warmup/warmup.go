// Package warmup decides which upstreams may receive requests, for services whose upstreams
// can serve only a few requests per second while they are cold.
//
// A cold upstream receives no requests; its replicas serve them instead. The VMs do not
// divide the cold rate among themselves: a share that needs no coordination and keeps the
// total within the bound while views differ, during partitions and after all VMs restart
// would be less than one request per second per VM.
//
// An upstream counts as warm if its entry in the store says so and the store has confirmed
// the entry recently, or if its health path reports it. A sign of a restart, such as a closed
// or refused connection, puts it in state Unverified until a health check succeeds.
//
// The package does no I/O and reads no clock.
package warmup

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
)

const (
	// healthValidity is how long a health response is valid while the store does not
	// confirm the entries.
	healthValidity = time.Second
	// maxEntryDelay is the longest time from a restart of an upstream until its entry
	// shows it.
	maxEntryDelay = 3 * time.Second
	// minCheckInterval is the minimum time between two health checks of an upstream.
	minCheckInterval = 100 * time.Millisecond
)

// State says whether an upstream may receive requests.
type State int

// States.
const (
	// Warm means that the upstream may receive requests.
	Warm State = iota
	// Cold means that it is warming up and may not receive requests.
	Cold
	// Unverified means that it may have restarted. It may not receive requests until
	// a health check or, for StateByEntry, its entry shows that it is warm.
	Unverified
)

// record holds what is known about one upstream since its last start.
type record struct {
	entry     *catalog.Upstream
	coldUntil time.Time
	// suspectedAt is the time of the last sign of a restart. verifiedAsOf is the latest
	// start time of a health check that got a response. Zero means never.
	suspectedAt, verifiedAsOf time.Time
	// checkStartedAt is the start time of the last health check.
	checkStartedAt time.Time
}

// Table tracks the state of all upstreams by ID. It is not safe for concurrent use.
type Table struct{ records map[string]*record }

// New returns an empty table.
func New() *Table { return &Table{map[string]*record{}} }

// Update updates the table from a view and drops the upstreams that are not in it. It marks
// upstreams in an evacuated data centre as Unverified, since they may become cold while they
// receive no requests.
func (t *Table) Update(now time.Time, v *catalog.View) {
	for id := range t.records {
		if v.Upstreams[id] == nil {
			delete(t.records, id)
		}
	}
	for id, u := range v.Upstreams {
		r := t.records[id]
		if r == nil || u.StartedAfter(r.entry) {
			r = &record{}
			t.records[id] = r
		}
		if r.entry == nil || u.ColdFor > r.entry.ColdFor {
			r.coldUntil = later(r.coldUntil, now.Add(u.ColdFor))
		}
		r.entry = u
		if v.Evacuated[u.DataCentre] {
			r.suspectedAt = now
		}
	}
}

// MarkUnverified records a sign that an upstream has restarted.
func (t *Table) MarkUnverified(now time.Time, u *catalog.Upstream) {
	if r := t.records[u.ID]; r != nil {
		r.suspectedAt = now
	}
}

// RecordHealth records a response of an upstream's health path to a check that started at begun.
// coldFor is the remaining warm-up time that it reports, or 0.
func (t *Table) RecordHealth(now, begun time.Time, u *catalog.Upstream, coldFor time.Duration) {
	r := t.records[u.ID]
	if r == nil {
		return
	}
	r.verifiedAsOf = later(r.verifiedAsOf, begun)
	if coldFor > 0 {
		r.coldUntil = later(r.coldUntil, now.Add(coldFor))
	}
}

// State returns the state of an upstream whose service has a health path. confirmed says
// that the store has confirmed the entries recently.
func (t *Table) State(now time.Time, u *catalog.Upstream, confirmed bool) State {
	r := t.records[u.ID]
	switch {
	case r == nil:
		return Unverified
	case now.Before(r.coldUntil):
		return Cold
	case !r.suspectedAt.IsZero() && !r.verifiedAsOf.After(r.suspectedAt):
		return Unverified
	case !confirmed && now.Sub(r.verifiedAsOf) > healthValidity:
		return Unverified
	default:
		return Warm
	}
}

// StateByEntry returns the state of an upstream whose service has no health path. After a
// sign of a restart the upstream is Unverified for maxEntryDelay, within which its entry shows
// the restart if there was one.
func (t *Table) StateByEntry(now time.Time, u *catalog.Upstream, confirmed bool) State {
	r := t.records[u.ID]
	switch {
	case r == nil || !confirmed:
		return Unverified
	case now.Before(r.coldUntil):
		return Cold
	case !r.suspectedAt.IsZero() && now.Sub(r.suspectedAt) < maxEntryDelay:
		return Unverified
	default:
		return Warm
	}
}

// BeginCheck reports whether a health check of a Unverified upstream is due, and if so records that
// it starts now.
func (t *Table) BeginCheck(now time.Time, u *catalog.Upstream) bool {
	r := t.records[u.ID]
	if r == nil || now.Sub(r.checkStartedAt) < minCheckInterval {
		return false
	}
	r.checkStartedAt = now
	return true
}

// WarmIn returns the expected time until an upstream may receive requests, at least
// minCheckInterval.
func (t *Table) WarmIn(now time.Time, u *catalog.Upstream) time.Duration {
	r := t.records[u.ID]
	if r == nil {
		return minCheckInterval
	}
	return max(minCheckInterval, r.coldUntil.Sub(now))
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
