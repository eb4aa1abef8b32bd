// Package replica selects the upstream of a service that should answer a request soonest,
// from what this VM has observed of each: answer times by kind of request, open sends, the
// age of the oldest open send, and recent failures. It does no I/O and reads no clock; the
// caller serialises access.
package replica

import (
	"math/rand/v2"
	"slices"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/latency"
	"sycamorekeel.example/sycamorekeel/internal/locality"
)

const (
	// slownessHalfLife is the half-life of an upstream's slowness: a fault of some seconds
	// is forgotten a few seconds after it has passed.
	slownessHalfLife = time.Second
	// maxSlownessWeight caps the number of remembered observations: about as many as one
	// upstream gets within the half-life.
	maxSlownessWeight = 4.0
	// priorWeight is the weight of the assumption that an upstream is as fast as the others.
	// It lets a slow upstream be tried again.
	priorWeight = 0.5
	// failureHalfLife is the half-life of the rate of the upstream's own failures.
	failureHalfLife = 4 * time.Second
	// failureAlpha is the weight of a new result in the moving average of failures.
	failureAlpha = 0.5
	// refusalHalfLife is the half-life of the rate of refusals for lack of capacity. It is
	// shorter than failureHalfLife because a slot frees sooner than a fault passes.
	refusalHalfLife = 2 * time.Second
	// refusalAlpha is the weight of a new result in the moving average of refusals.
	refusalAlpha = 0.25
	// minBackoff and maxBackoff bound how long an unreachable upstream is avoided; the
	// time doubles with each failed try.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// lateFactor is the multiple of its expected time after which a send is late. An
	// upstream counts as paused while it has a late open send.
	lateFactor = 2.5
	// maxLateRatio caps the ratio of a single late answer: the answers after a pause are fast
	// again, and one late answer must not outweigh earlier observations. A second late answer
	// with no fast one in between counts in full.
	maxLateRatio = 4.0
	// pausePenalty is the time added to the cost of a paused upstream: a usual pause of a
	// garbage collector or a compaction.
	pausePenalty = 300 * time.Millisecond
	// hedgeQuantile is the quantile of answer times at which a request is hedged. It hedges
	// a tenth of the requests, half of the usual budget of a fifth; the rest is for pauses
	// and slow upstreams.
	hedgeQuantile = 0.90
	// hedgeReserve is how many medians are left for a hedge's own answer before the
	// objective: the hedge may have to open a connection, and its upstream may be slow too.
	hedgeReserve = 2.0
	// maxHedgeDelayFactor bounds how far a hedge is delayed beyond the tail, as a multiple of the
	// assumed answer time, which is a quarter of the objective. The delay saves budget for
	// failures of upstreams.
	maxHedgeDelayFactor = 1.4
	// quantileTTL is how long computed quantiles are cached.
	quantileTTL = 200 * time.Millisecond
	// costJitter is the largest random relative increase of a cost. It spreads requests
	// over equal upstreams.
	costJitter = 0.05
	// minTailWeight is the weight of observations needed before a tail quantile is used.
	minTailWeight = 20
)

// distancePenalty is the round trip time added to the median of nearer upstreams while no
// upstream at the distance has answered: within the data centre, within the region, between
// regions.
var distancePenalty = [locality.Distances]time.Duration{0, 2 * time.Millisecond, 25 * time.Millisecond}

// kindStats holds the answer times of one kind of request.
type kindStats struct {
	// assumed is the answer time assumed until answers have been observed.
	assumed    time.Duration
	byDistance [locality.Distances]distanceStats
}

// distanceStats holds the answer times of the upstreams at one distance.
type distanceStats struct {
	tracker latency.Tracker
	// median and tail are quantiles computed at computedAt, 0 while there are too few
	// observations.
	computedAt time.Time
	median     time.Duration
	tail       time.Duration
}

// upstreamStats holds what was observed of one process of an upstream.
type upstreamStats struct {
	// registration is the one that the process made at its start.
	registration *catalog.Upstream
	// latencyRatio is the mean ratio of answer time to expected time, and weight the number
	// of observations behind it, both as of observedAt.
	latencyRatio float64
	weight       float64
	// failures is the share of recent results that were failures of the upstream itself, as
	// of failuresAt; refusals is the share of refusals for lack of capacity, as of refusalsAt.
	failures   float64
	refusals   float64
	observedAt time.Time
	failuresAt time.Time
	refusalsAt time.Time
	downUntil  time.Time
	backoff    time.Duration
	coldUntil  time.Time
	// lastLateAt is the arrival of the last late answer: a late send from before that time
	// was delayed by the same pause.
	lastLateAt time.Time
	// lastWasLate is set if the last observed answer was late.
	lastWasLate bool
	// window limits the number of open sends, 0 for no limit; windowCutAt is when it was
	// last reduced.
	window      float64
	windowCutAt time.Time
	open        []openSend
	// state is the result of the last classification.
	state State
}

// openSend is a send that has not ended.
type openSend struct {
	attempt  uint64
	sentAt   time.Time
	expected time.Duration
	// queued returns how long the send has waited on this VM for a connection. That wait is
	// not attributed to the upstream.
	queued func(time.Time) time.Duration
}

// age returns how long the upstream has had the send.
func (o *openSend) age(now time.Time) time.Duration {
	return now.Sub(o.sentAt) - o.queued(now)
}

// Table holds this VM's observations of all upstreams. It is not safe for concurrent use.
type Table struct {
	place     locality.Place
	rand      *rand.Rand
	kinds     map[string]*kindStats
	upstreams map[string]*upstreamStats
}

// New returns an empty table for a VM at place.
func New(place locality.Place, r *rand.Rand) *Table {
	return &Table{place: place, rand: r, kinds: map[string]*kindStats{}, upstreams: map[string]*upstreamStats{}}
}

// SetUpstreams drops the upstreams that are not in known, keyed by id, and starts new observations
// for those that are new or have restarted; their cold period begins now. Observations of
// the former process would have the restarted one avoided until they decay, or given full
// load while it is cold.
func (t *Table) SetUpstreams(now time.Time, known map[string]*catalog.Upstream) {
	for id := range t.upstreams {
		if known[id] == nil {
			delete(t.upstreams, id)
		}
	}
	for id, u := range known {
		current := t.upstreams[id]
		if current == nil || u.StartedAfter(current.registration) {
			t.upstreams[id] = &upstreamStats{registration: u, latencyRatio: 1, coldUntil: now.Add(u.ColdFor)}
		}
	}
}

// RetainKinds drops the kinds of requests that are not in known.
func (t *Table) RetainKinds(known map[string]bool) {
	for name := range t.kinds {
		if !known[name] {
			delete(t.kinds, name)
		}
	}
}

// Choose returns the candidate with the lowest cost whose id is not excluded, nil if there
// is none. assumed is the answer time assumed for the kind until answers have been observed.
// ahead holds, for each candidate, how many answers must arrive before a connection to it
// is free; nil means that connections are free everywhere.
func (t *Table) Choose(now time.Time, kindName string, assumed time.Duration, candidates []*catalog.Upstream, ahead []float64, excluded []string) *catalog.Upstream {
	k := t.kind(kindName, assumed)
	var best *catalog.Upstream
	var bestCost float64
	for i, c := range candidates {
		if slices.Contains(excluded, c.ID) {
			continue
		}
		queued := 0.0
		if ahead != nil {
			queued = ahead[i]
		}
		cost := t.cost(now, k, c, queued) * (1 + costJitter*t.rand.Float64())
		if best == nil || cost < bestCost {
			best = c
			bestCost = cost
		}
	}
	return best
}

// Reachable reports whether at least one candidate is not avoided as unreachable.
func (t *Table) Reachable(now time.Time, candidates []*catalog.Upstream) bool {
	return slices.ContainsFunc(candidates, func(c *catalog.Upstream) bool {
		return !now.Before(t.stats(c).downUntil)
	})
}

// downPenalty is the time in seconds added to the cost of an unreachable upstream, so that
// it is chosen only if all others are unreachable too.
const downPenalty = 60.0

// coldFactor is the assumed ratio of answer times while an upstream is cold.
const coldFactor = 1.6

// cost returns the expected answer time of c in seconds, with ahead answers to wait for
// first, plus penalties.
func (t *Table) cost(now time.Time, k *kindStats, c *catalog.Upstream, ahead float64) float64 {
	u := t.stats(c)
	base := t.median(now, k, t.place.Distance(c.DataCentre)).Seconds()
	cost := base * u.slowness(now) * (1 + ahead)
	if now.Before(u.coldUntil) {
		cost *= coldFactor
	}
	cost += base * float64(len(u.open)) / float64(max(1, c.Slots))
	if u.paused(now) {
		cost += pausePenalty.Seconds()
	}
	f := u.errorRate(now)
	cost = cost/(1-min(f, 0.9)) + f*k.assumed.Seconds()
	if now.Before(u.downUntil) {
		cost += downPenalty
	}
	return cost
}

// NextAnswer returns the time until the next answer of c is expected.
func (t *Table) NextAnswer(now time.Time, kindName string, assumed time.Duration, c *catalog.Upstream) time.Duration {
	median := t.median(now, t.kind(kindName, assumed), t.place.Distance(c.DataCentre))
	return time.Duration(float64(median) * t.stats(c).slowness(now))
}

// TailLatency returns the tail of the answer times of a kind, at the nearest distance with enough
// observations; 0 if there is none.
func (t *Table) TailLatency(now time.Time, kindName string, assumed time.Duration) time.Duration {
	k := t.kind(kindName, assumed)
	for d := range k.byDistance {
		t.median(now, k, locality.Distance(d))
		if tail := k.byDistance[d].tail; tail > 0 {
			return tail
		}
	}
	return 0
}

// LeastOpen returns the fewest open sends for each slot among the candidates, 0 without
// candidates.
func (t *Table) LeastOpen(candidates []*catalog.Upstream) float64 {
	least := 0.0
	for i, c := range candidates {
		open := float64(len(t.stats(c).open)) / float64(max(1, c.Slots))
		if i == 0 || open < least {
			least = open
		}
	}
	return least
}

// slowness returns the ratio of the upstream's answer time to the expected one.
func (u *upstreamStats) slowness(now time.Time) float64 {
	w := u.weight * decay(now.Sub(u.observedAt), slownessHalfLife)
	return (w*u.latencyRatio + priorWeight) / (w + priorWeight)
}

// errorRate returns the share of requests expected to fail or to be refused.
func (u *upstreamStats) errorRate(now time.Time) float64 {
	return 1 - (1-u.failureRate(now))*(1-u.refusalRate(now))
}

func (u *upstreamStats) failureRate(now time.Time) float64 {
	return u.failures * decay(now.Sub(u.failuresAt), failureHalfLife)
}

func (u *upstreamStats) refusalRate(now time.Time) float64 {
	return u.refusals * decay(now.Sub(u.refusalsAt), refusalHalfLife)
}

// paused reports whether any open send is late. Answers alone would reveal a pause only
// after its end.
func (u *upstreamStats) paused(now time.Time) bool {
	for i := range u.open {
		if o := &u.open[i]; float64(o.age(now)) > lateFactor*float64(o.expected) {
			return true
		}
	}
	return false
}

// Sent records a send to an upstream. queued returns how long the send has waited for a
// connection; it may be called until the send ends.
func (t *Table) Sent(now time.Time, kindName string, assumed time.Duration, c *catalog.Upstream, attempt uint64, queued func(time.Time) time.Duration) {
	k := t.kind(kindName, assumed)
	u := t.stats(c)
	expected := t.median(now, k, t.place.Distance(c.DataCentre))
	u.open = append(u.open, openSend{attempt: attempt, sentAt: now, expected: expected, queued: queued})
}

// Answered records an answer that took the given time, without the wait for a connection.
func (t *Table) Answered(now time.Time, kindName string, assumed time.Duration, c *catalog.Upstream, attempt uint64, took time.Duration) {
	k := t.kind(kindName, assumed)
	u := t.stats(c)
	open := len(u.open)
	u.removeOpen(attempt)
	d := t.place.Distance(c.DataCentre)
	if !now.Before(u.coldUntil) {
		k.byDistance[d].tracker.Observe(now, took)
	}
	ratio := float64(took) / float64(t.median(now, k, d))
	u.observe(now, now.Add(-took), ratio)
	u.adjustWindow(now, now.Add(-took), ratio, open)
	u.failures, u.failuresAt = u.failureRate(now)*(1-failureAlpha), now
	u.refusals, u.refusalsAt = u.refusalRate(now)*(1-refusalAlpha), now
	u.downUntil = time.Time{}
	u.backoff = 0
}

// Abandoned records a send that was given up after waiting for the given time. A stuck
// upstream never answers: if only answers counted, it would keep the cost of an upstream of
// which nothing is known and be chosen as often as the others.
func (t *Table) Abandoned(now time.Time, kindName string, assumed time.Duration, c *catalog.Upstream, attempt uint64, waited time.Duration) {
	k := t.kind(kindName, assumed)
	u := t.stats(c)
	open := len(u.open)
	u.removeOpen(attempt)
	ratio := float64(waited) / float64(t.median(now, k, t.place.Distance(c.DataCentre)))
	if ratio > u.slowness(now) {
		u.observe(now, now.Add(-waited), ratio)
	}
	if ratio > lateFactor {
		u.adjustWindow(now, now.Add(-waited), ratio, open)
	}
}

// Failed records a send that got no answer through a fault of the upstream.
func (t *Table) Failed(now time.Time, c *catalog.Upstream, attempt uint64) {
	u := t.stats(c)
	u.removeOpen(attempt)
	u.failures, u.failuresAt = u.failureRate(now)*(1-failureAlpha)+failureAlpha, now
}

// Refused records a send that the upstream refused, presumably for lack of capacity.
func (t *Table) Refused(now time.Time, c *catalog.Upstream, attempt uint64) {
	u := t.stats(c)
	u.removeOpen(attempt)
	u.refusals, u.refusalsAt = u.refusalRate(now)*(1-refusalAlpha)+refusalAlpha, now
}

// Unreachable records a failure to connect to an upstream.
func (t *Table) Unreachable(now time.Time, c *catalog.Upstream, attempt uint64) {
	u := t.stats(c)
	u.removeOpen(attempt)
	u.backoff = min(max(minBackoff, 2*u.backoff), maxBackoff)
	u.downUntil = now.Add(u.backoff)
}

// Unsent removes an open send without recording a result, as for one that was not made.
func (t *Table) Unsent(c *catalog.Upstream, attempt uint64) {
	t.stats(c).removeOpen(attempt)
}

// HedgeDelay returns how long to wait for an answer of the upstream before the request is
// hedged: the tail of the answer times of its kind. Since each hedge is extra load, the
// delay is longer where the objective leaves room: up to maxHedgeDelayFactor times assumed, as
// long as the hedge still has hedgeReserve medians for its own answer. The delay never
// exceeds twice assumed.
func (t *Table) HedgeDelay(now time.Time, kindName string, assumed, objective time.Duration, c *catalog.Upstream) time.Duration {
	k := t.kind(kindName, assumed)
	distance := t.place.Distance(c.DataCentre)
	t.median(now, k, distance)
	tail := k.byDistance[distance].tail
	if tail == 0 {
		return assumed
	}
	room := objective - time.Duration(hedgeReserve*float64(t.median(now, k, locality.Far)))
	return min(max(tail, min(room, time.Duration(maxHedgeDelayFactor*float64(assumed)))), 2*assumed)
}

// observe adds the ratio of an answer time to the expected one. Late answers that were
// delayed by the same pause count once: otherwise a pause of a tenth of a second would look
// like as many slow answers as requests had arrived during it, and the upstream would be
// avoided long after its end.
func (u *upstreamStats) observe(now, sentAt time.Time, ratio float64) {
	if ratio > lateFactor {
		if sentAt.Before(u.lastLateAt) {
			return
		}
		u.lastLateAt = now
		if !u.lastWasLate {
			ratio = min(ratio, maxLateRatio)
		}
	}
	u.lastWasLate = ratio > lateFactor
	w := u.weight * decay(now.Sub(u.observedAt), slownessHalfLife)
	u.latencyRatio = (w*u.latencyRatio + ratio) / (w + 1)
	u.weight = min(w+1, maxSlownessWeight)
	u.observedAt = now
}

func (u *upstreamStats) removeOpen(attempt uint64) {
	u.open = slices.DeleteFunc(u.open, func(o openSend) bool { return o.attempt == attempt })
}

// stats returns the observations of the process that made a registration. A query planned
// earlier may still hold the registration of a former process: it gets empty observations,
// and what is recorded in them is discarded.
func (t *Table) stats(c *catalog.Upstream) *upstreamStats {
	u := t.upstreams[c.ID]
	if u == nil {
		u = &upstreamStats{registration: c, latencyRatio: 1}
		t.upstreams[c.ID] = u
	}
	if u.registration.StartedAfter(c) {
		return &upstreamStats{registration: c, latencyRatio: 1}
	}
	return u
}

func (t *Table) kind(name string, assumed time.Duration) *kindStats {
	k := t.kinds[name]
	if k == nil {
		k = &kindStats{assumed: assumed}
		t.kinds[name] = k
	}
	return k
}

// median returns the median answer time of a kind at a distance, or an estimate if none has
// been observed. It recomputes the cached median and tail when they have expired.
func (t *Table) median(now time.Time, k *kindStats, d locality.Distance) time.Duration {
	f := &k.byDistance[d]
	if f.median == 0 || now.Sub(f.computedAt) >= quantileTTL {
		f.computedAt = now
		f.median, f.tail = 0, 0
		if f.tracker.Weight(now) >= 1 {
			f.median = f.tracker.Quantile(0.5)
		}
		if f.tracker.Weight(now) >= minTailWeight {
			f.tail = f.tracker.Quantile(hedgeQuantile)
		}
	}
	if f.median > 0 {
		return f.median
	}
	if d > locality.Near && k.byDistance[locality.Near].median > 0 {
		return k.byDistance[locality.Near].median + distancePenalty[d]
	}
	return k.assumed/2 + distancePenalty[d]
}
