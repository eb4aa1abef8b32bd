// Package congestion decides how many queries of one service may be scattered at
// a time from this VM. It is pure: time is handed in.
//
// Without it, above the upstreams' capacity the owners refuse single
// sub-requests, so that most queries lose some shard and the work done for their
// others is wasted: the more is offered, the fewer whole answers come. One would
// notice coverage_too_low rising and whole answers falling while the upstreams
// are busy. Refusing whole queries first keeps the work for those that can end.
package congestion

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

const (
	// spellGap is how long nothing is refused between two spells of congestion.
	spellGap = time.Second
	// leastRetry lets about the queries under way finish; mostRetry is most of the time for
	// which callers of short queries wait.
	leastRetry = 250 * time.Millisecond
	mostRetry  = 2 * time.Second
)

// Policy is how the limit moves.
type Policy struct {
	// Share of a query's shards that found no room, from which on the query
	// counts as congested: a lost shard or a straggler alone stays below it. A query
	// that ends late counts with this share once one shard found no room: upstreams
	// queue before they refuse, and their queues alone make every answer late.
	Share float64
	// LeastShards of a query for it to tell anything.
	LeastShards int
	// Cut is the part of the limit taken off when every shard found no room;
	// less of it when fewer did.
	Cut float64
	// Least is the lowest limit.
	Least float64
	// First is the limit before any congestion was seen. While none is, each query that
	// ends with most of the limit in use raises it by one: it doubles in the time of a query.
	First float64
}

// DefaultPolicy is the policy that the bench was run with.
func DefaultPolicy() Policy {
	return Policy{Share: 0.25, LeastShards: 4, Cut: 0.5, Least: 2, First: 64}
}

const (
	// queriesPerSlot is how many queries under way keep a slot busy: their parts are on the
	// way to an upstream and back most of the time.
	queriesPerSlot = 4
	// leastFirst is the lowest limit before any congestion was seen: slots may be counted
	// while most upstreams are not registered yet.
	leastFirst = 16
)

// WithSlots is the policy for queries of whose shards the one with the fewest slots has so
// many, over all its upstreams; 0 when that is not known.
func (p Policy) WithSlots(slots int) Policy {
	if slots > 0 {
		p.First = max(leastFirst, queriesPerSlot*float64(slots))
	}
	return p
}

// Limiter is the limit of one service. It is not safe for concurrent use.
type Limiter struct {
	policy  Policy
	limit   float64
	running int
	cutAt   time.Time
	// refusedAt is when a query was last refused, refusingSince when the first of a spell was.
	refusedAt, refusingSince time.Time
}

// New makes a limiter that has seen no congestion.
func New(p Policy) *Limiter {
	return &Limiter{policy: p, limit: p.First}
}

// reserve is the part of the limit that a priority leaves to those above it.
func reserve(p pb.Priority) float64 {
	switch p {
	case pb.Priority_HIGH:
		return 0
	case pb.Priority_NORMAL:
		return 0.1
	default:
		return 0.3
	}
}

// Start begins a query, or is false when there is no room for its priority.
func (l *Limiter) Start(p pb.Priority) bool {
	if float64(l.running) >= max(1, l.limit*(1-reserve(p))) {
		return false
	}
	l.running++
	return true
}

// RetryAfter takes note of a refusal and is when its caller may come back: as long as queries
// have been refused already, within bounds. Sooner most would be refused again.
func (l *Limiter) RetryAfter(now time.Time) time.Duration {
	if now.Sub(l.refusedAt) > spellGap {
		l.refusingSince = now
	}
	l.refusedAt = now
	return min(max(leastRetry, now.Sub(l.refusingSince)), mostRetry)
}

// Outcome is what a query showed.
type Outcome struct {
	Shards int
	// NoRoom is how many of the shards were refused for want of room at least once.
	NoRoom int
	// Late says that the query ended after its objective.
	Late bool
}

// crowded is the share of the shards that counts as having found no room.
func (o *Outcome) crowded(p *Policy) float64 {
	share := float64(o.NoRoom) / float64(o.Shards)
	if o.Late && o.NoRoom > 0 {
		return max(share, p.Share)
	}
	return share
}

// Done ends a query that was started at started.
func (l *Limiter) Done(now, started time.Time, o Outcome) {
	running := l.running
	l.running--
	if o.Shards < l.policy.LeastShards {
		return
	}
	crowded := o.crowded(&l.policy)
	switch {
	case crowded >= l.policy.Share:
		l.cut(now, started, running, crowded)
	case float64(running) >= l.limit*(1-reserve(pb.Priority_LOW)):
		l.raise()
	}
}

// raise lets a little more in: one query for each that ends before the first congestion, one
// for each round of them after it.
func (l *Limiter) raise() {
	if l.cutAt.IsZero() {
		l.limit++
		return
	}
	l.limit += 1 / l.limit
}

// cut lowers the limit once for all queries that ran side by side: those that
// began before the last cut tell nothing of its effect.
func (l *Limiter) cut(now, started time.Time, running int, share float64) {
	if started.Before(l.cutAt) {
		return
	}
	l.cutAt = now
	l.limit = max(l.policy.Least, min(l.limit, float64(running))*(1-l.policy.Cut*share))
}

// Abandon ends a query that told nothing.
func (l *Limiter) Abandon() { l.running-- }

// Limit is how many may run.
func (l *Limiter) Limit() float64 { return l.limit }
