// Package congestion limits how many queries of one service a VM scatters concurrently. The
// limit falls when upstreams refuse sub-requests or hold them up, and rises while it is in
// use. A Group adds a limit for each priority class, a short wait for a place, and the time
// at which refused callers should retry. The package reads no clock: callers pass the time.
//
// Without the limit, load above the upstreams' capacity makes the owners refuse single
// sub-requests. Most queries then lose a shard and the work done for their other shards is
// wasted, so complete answers become fewer as load grows: coverage_too_low rises while the
// upstreams are busy. Refusing whole queries first saves the work for those that can complete.
package congestion

import (
	"math"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

const (
	// episodeGap is the time without a refusal that ends an episode of congestion.
	episodeGap = time.Second
	// minRetryAfter is about the time that the running queries need to finish. maxRetryAfter
	// is most of the time that callers of short queries are willing to wait.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Policy holds the parameters by which a Limiter adjusts its limit.
type Policy struct {
	// CongestedShare is the share of a query's shards refused for lack of capacity at which the
	// query counts as congested. A single lost shard or straggler stays below it. A late query
	// with at least one such shard counts with this share: upstreams queue before they refuse,
	// and the queues alone make every answer late.
	CongestedShare float64
	// MinShards is the number of shards below which a query's outcome is ignored.
	MinShards int
	// MaxDecrease is the fraction by which the limit falls when all shards of a query were
	// refused. With fewer refused shards it falls in proportion.
	MaxDecrease float64
	// MinLimit is the lowest limit.
	MinLimit float64
	// InitialLimit is the limit before any congestion. Until the first congestion, each query
	// that ends while most of the limit is in use raises it by one, so that it doubles in the
	// time of one query.
	InitialLimit float64
}

// DefaultPolicy returns the policy for a service whose slots are unknown.
func DefaultPolicy() Policy {
	return Policy{CongestedShare: 0.25, MinShards: 4, MaxDecrease: 0.5, MinLimit: 2, InitialLimit: 64}
}

// mildDecreaseFrom is the least fraction of the limit from which it falls for a query that is
// only just congested. A query that a pause of an upstream held up while few others ran says
// nothing about so low a limit, and the limit would refuse queries below capacity.
const mildDecreaseFrom = 0.5

const (
	// queriesPerSlot is the number of running queries that keep one slot busy. A query's
	// sub-requests spend most of their time in transit to an upstream and back.
	queriesPerSlot = 4
	// minInitialLimit is the lowest initial limit of all classes together: the slots may be counted before most
	// upstreams have registered.
	minInitialLimit = 16
	// minClassLimit is the lowest initial limit of one class. Fewer places do not hold the queries
	// that come during a usual pause of an upstream.
	minClassLimit = 12
)

// WithSlots returns the policy with an initial limit for the given number of slots: those of
// all upstreams of the shard that has the fewest. The policy is unchanged if slots is 0
// (unknown).
func (p Policy) WithSlots(slots int) Policy {
	if slots > 0 {
		p.InitialLimit = max(minInitialLimit, queriesPerSlot*float64(slots))
	}
	return p
}

// WithClasses returns the policy for each of n classes that share the upstreams: they divide
// the initial limit, and none begins below minClassLimit.
func (p Policy) WithClasses(n int) Policy {
	if n > 1 {
		p.InitialLimit = max(minClassLimit, p.InitialLimit/float64(n))
	}
	return p
}

// Limiter limits the concurrent queries of one service. It is not safe for concurrent use.
type Limiter struct {
	policy      Policy
	limit       float64
	running     int
	decreasedAt time.Time
	// lastRefusal is the time of the latest refused query, episodeStart that of the first
	// refused query in the current episode of congestion.
	lastRefusal, episodeStart time.Time
}

// New returns a Limiter with the policy's initial limit.
func New(p Policy) *Limiter {
	return &Limiter{policy: p, limit: p.InitialLimit}
}

// reservedShare returns the fraction of the limit that queries of priority p leave free for
// higher priorities.
func reservedShare(p pb.Priority) float64 {
	switch p {
	case pb.Priority_HIGH:
		return 0
	case pb.Priority_NORMAL:
		return 0.1
	default:
		return 0.3
	}
}

// Start admits a query of priority p. It returns false if the limit for p is reached. Each
// admitted query must end with Done or Abandon.
func (l *Limiter) Start(p pb.Priority) bool {
	if l.running >= l.places(p) {
		return false
	}
	l.running++
	return true
}

// places returns how many queries may run if the last of them has priority p.
func (l *Limiter) places(p pb.Priority) int {
	return int(math.Ceil(max(1, l.limit*(1-reservedShare(p)))))
}

// RetryAfter records that a query was refused and returns how long its caller should wait
// before a retry: the duration of the current episode of congestion, within fixed bounds. Most
// retries before that would be refused again.
func (l *Limiter) RetryAfter(now time.Time) time.Duration {
	if now.Sub(l.lastRefusal) > episodeGap {
		l.episodeStart = now
	}
	l.lastRefusal = now
	return min(max(minRetryAfter, now.Sub(l.episodeStart)), maxRetryAfter)
}

// Outcome describes how a query ended.
type Outcome struct {
	Shards int
	// RefusedShards is the number of shards that were refused at least once for lack of capacity.
	RefusedShards int
	// HeldUpShards is the number of shards whose sub-request waited at the VM for HeldUpAfter
	// or longer, Expendable the number of shards that the answer may leave out. With fewer
	// held-up shards single upstreams are at fault; with more the shards are congested if the
	// query is late too.
	HeldUpShards, Expendable int
	// Late reports whether the query ended after its objective.
	Late bool
	// Priority is the query's.
	Priority pb.Priority
}

// congestedShare returns the share of shards that counts as refused for lack of capacity.
func (o *Outcome) congestedShare(p *Policy) float64 {
	share := float64(o.RefusedShards) / float64(o.Shards)
	if o.Late && (o.RefusedShards > 0 || o.HeldUpShards > o.Expendable) {
		return max(share, p.CongestedShare)
	}
	return share
}

// Done ends a query that was admitted at time started, and adjusts the limit by its outcome.
func (l *Limiter) Done(now, started time.Time, o Outcome) {
	running := l.running
	l.running--
	if o.Shards < l.policy.MinShards {
		return
	}
	share := o.congestedShare(&l.policy)
	switch {
	case share >= l.policy.CongestedShare:
		l.decrease(now, started, l.floor(running, share, o.Priority), running, share)
	case l.inUse(running, pb.Priority_LOW):
		l.increase()
	}
}

// inUse reports whether the running queries take up the part of the limit that queries of
// priority p may use.
func (l *Limiter) inUse(running int, p pb.Priority) bool {
	return float64(running) >= l.limit*(1-reservedShare(p))
}

// floor returns the least limit that a congested query may leave. A pause of one upstream makes
// queries late at any load. While fewer of them run than the limit admits, they say nothing
// about a low limit: lowered further, it would refuse the queries that come during the next
// pause, although the upstreams have room for them.
func (l *Limiter) floor(running int, share float64, p pb.Priority) float64 {
	if share > l.policy.CongestedShare || l.inUse(running, p) {
		return l.policy.MinLimit
	}
	return max(l.policy.MinLimit, min(l.limit, minInitialLimit))
}

// increase raises the limit by one before the first congestion. After it, the limit grows by
// one per round of queries.
func (l *Limiter) increase() {
	if l.decreasedAt.IsZero() {
		l.limit++
		return
	}
	l.limit += 1 / l.limit
}

// decrease lowers the limit in proportion to share, the congested share of a query's shards, and
// not below floor.
// It ignores queries started before the last decrease: they ran under the higher limit, so a
// set of concurrent queries lowers the limit once.
func (l *Limiter) decrease(now, started time.Time, floor float64, running int, share float64) {
	if started.Before(l.decreasedAt) {
		return
	}
	l.decreasedAt = now
	from := min(l.limit, float64(running))
	if share <= l.policy.CongestedShare {
		from = max(from, mildDecreaseFrom*l.limit)
	}
	l.limit = max(floor, from*(1-l.policy.MaxDecrease*share))
}

// Abandon ends a query without adjusting the limit.
func (l *Limiter) Abandon() { l.running-- }

// Limit returns how many queries of the highest priority may run concurrently.
func (l *Limiter) Limit() float64 { return l.limit }
