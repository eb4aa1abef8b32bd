// Package replica chooses among the upstreams of a service by what each has
// shown to this VM: the answer times by kind of request, the work it has open
// here, the age of the oldest open request, and its recent failures. It is pure;
// its caller holds the lock.
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
	// slowHalfLife is the age at which what an upstream showed counts half: a
	// fault of some seconds is forgotten a few seconds after it has passed.
	slowHalfLife = time.Second
	// maxWeight bounds how many observations are remembered: about what one
	// upstream gets in its half-life.
	maxWeight = 4.0
	// priorWeight is the weight of the assumption that an upstream is like the
	// others; it lets a slow one be tried again.
	priorWeight = 0.5
	// faultHalfLife is the age at which a failure that is the upstream's own counts half.
	faultHalfLife = 4 * time.Second
	// faultShare is the weight of one more result in the share of such failures.
	faultShare = 0.5
	// refusalHalfLife is the age at which a refusal for want of room counts half: a slot gets
	// free sooner than a fault passes.
	refusalHalfLife = 2 * time.Second
	// refusalShare is the weight of one more result in the share of such refusals.
	refusalShare = 0.25
	// downFirst and downMost bound how long an upstream that cannot be reached
	// is passed over; the time doubles with each try.
	downFirst = 250 * time.Millisecond
	downMost  = 2 * time.Second
	// lateFactor is how many times its usual time a request must have waited to
	// count as late; while one such is open, the upstream counts as paused.
	lateFactor = 2.5
	// lateMost bounds what one late answer says of an upstream. A pause that is
	// over leaves the next answers fast, so one of it is not to outweigh what was
	// seen before; a second one with no fast answer between them counts in full.
	lateMost = 4.0
	// pausedCost is the time added for an upstream that counts as paused: the
	// usual stop of a garbage collector or a compaction.
	pausedCost = 300 * time.Millisecond
	// hedgeQuantile is the answer time at which a request counts as late. A
	// tenth of the requests is then hedged, half of the usual budget of a fifth;
	// pauses and slow upstreams need the rest.
	hedgeQuantile = 0.90
	// spareMedians is how many times its usual time a hedge's answer is given
	// before the objective: its connection may have to be opened, and it may be
	// slow as well.
	spareMedians = 2.0
	// patience is how many times usual, a quarter of the objective, a hedge waits
	// at most, so that the budget lasts for when upstreams fail.
	patience = 1.4
	// refresh is how long quantiles are kept before they are worked out anew.
	refresh = 200 * time.Millisecond
	// jitter spreads choices between equals.
	jitter = 0.05
	// enoughSeen is the weight of observations from which a tail is believed.
	enoughSeen = 20
)

// farPrior is the time added to what is known of nearer upstreams while none at
// the distance has answered: round trips inside a region and between regions.
var farPrior = [locality.Distances]time.Duration{0, 2 * time.Millisecond, 25 * time.Millisecond}

// kind is what is known of one kind of requests.
type kind struct {
	first time.Duration
	far   [locality.Distances]distanceTimes
}

// distanceTimes is the answer times of the upstreams at one distance.
type distanceTimes struct {
	tracker latency.Tracker
	at      time.Time
	median  time.Duration
	tail    time.Duration
}

// upstream is what is known of one upstream since it started.
type upstream struct {
	// registered is the registration of that start.
	registered *catalog.Upstream
	slow       float64
	weight     float64
	// failures is the share of recent results that were the upstream's own failures, refusals
	// the share of those that it refused for want of room.
	failures  float64
	refusals  float64
	seen      time.Time
	failedAt  time.Time
	refusedAt time.Time
	downUntil time.Time
	downFor   time.Duration
	coldUntil time.Time
	// lateUntil is when the last late answer came: what was sent before it and
	// comes after it was held up by the same pause.
	lateUntil time.Time
	// lateBefore says that the last answer was late as well.
	lateBefore bool
	// window is how many sends may be open at a time, 0 for any number; cutAt is
	// when it was cut last.
	window float64
	cutAt  time.Time
	// open holds the sends that have not ended.
	open []open
	// state is what it counted as when it was last asked for.
	state State
}

type open struct {
	attempt uint64
	sentAt  time.Time
	usual   time.Duration
	// waited is how long the send has waited here for a connection: that says
	// nothing of the upstream.
	waited func(time.Time) time.Duration
}

// age is how long the upstream has had the send.
func (o *open) age(now time.Time) time.Duration {
	return now.Sub(o.sentAt) - o.waited(now)
}

// Table is what this VM knows of all upstreams. It is not safe for concurrent
// use.
type Table struct {
	place     locality.Place
	rand      *rand.Rand
	kinds     map[string]*kind
	upstreams map[string]*upstream
}

// New is a table that knows nothing.
func New(place locality.Place, r *rand.Rand) *Table {
	return &Table{place: place, rand: r, kinds: map[string]*kind{}, upstreams: map[string]*upstream{}}
}

// Keep forgets the upstreams that are gone, and the former starts of those that have
// started again, and notes how long new ones are cold. A process that has started again
// knows nothing of before: judged by what the former one showed, it would be passed over
// for as long as that is remembered, or get full work while it is cold.
func (t *Table) Keep(now time.Time, known map[string]*catalog.Upstream) {
	for id := range t.upstreams {
		if known[id] == nil {
			delete(t.upstreams, id)
		}
	}
	for id, u := range known {
		held := t.upstreams[id]
		if held == nil || u.StartedAfter(held.registered) {
			t.upstreams[id] = &upstream{registered: u, slow: 1, coldUntil: now.Add(u.ColdFor)}
		}
	}
}

// KeepKinds forgets the kinds of requests that are gone.
func (t *Table) KeepKinds(known map[string]bool) {
	for name := range t.kinds {
		if !known[name] {
			delete(t.kinds, name)
		}
	}
}

// Choose is the candidate with the least expected answer time, none of the
// excluded; nil without one. usual is the answer time of the kind before any is
// known; ahead is how many answers of each candidate come before a connection to
// it is free, nil when all are.
func (t *Table) Choose(now time.Time, kindName string, usual time.Duration, candidates []*catalog.Upstream, ahead []float64, excluded []string) *catalog.Upstream {
	k := t.kind(kindName, usual)
	var best *catalog.Upstream
	var bestCost float64
	for i, c := range candidates {
		if slices.Contains(excluded, c.ID) {
			continue
		}
		wait := 0.0
		if ahead != nil {
			wait = ahead[i]
		}
		cost := t.cost(now, k, c, wait) * (1 + jitter*t.rand.Float64())
		if best == nil || cost < bestCost {
			best = c
			bestCost = cost
		}
	}
	return best
}

// Reachable tells whether one of the candidates is not passed over as unreachable.
func (t *Table) Reachable(now time.Time, candidates []*catalog.Upstream) bool {
	return slices.ContainsFunc(candidates, func(c *catalog.Upstream) bool {
		return !now.Before(t.upstream(c).downUntil)
	})
}

// downCost is the cost in seconds of an upstream that cannot be reached: it is
// chosen only when all others are out as well.
const downCost = 60.0

// coldFactor is how much slower an upstream is taken to be just after its start.
const coldFactor = 1.6

// cost is the expected answer time in seconds, after ahead others.
func (t *Table) cost(now time.Time, k *kind, c *catalog.Upstream, ahead float64) float64 {
	u := t.upstream(c)
	base := t.median(now, k, t.place.Distance(c.DataCentre)).Seconds()
	cost := base * u.slowness(now) * (1 + ahead)
	if now.Before(u.coldUntil) {
		cost *= coldFactor
	}
	cost += base * float64(len(u.open)) / float64(max(1, c.Slots))
	if u.paused(now) {
		cost += pausedCost.Seconds()
	}
	f := u.failing(now)
	cost = cost/(1-min(f, 0.9)) + f*k.first.Seconds()
	if now.Before(u.downUntil) {
		cost += downCost
	}
	return cost
}

// slowness is the upstream's answer time against the usual one.
func (u *upstream) slowness(now time.Time) float64 {
	w := u.weight * fading(now.Sub(u.seen), slowHalfLife)
	return (w*u.slow + priorWeight) / (w + priorWeight)
}

func (u *upstream) failing(now time.Time) float64 {
	return 1 - (1-u.faulty(now))*(1-u.refusing(now))
}

func (u *upstream) faulty(now time.Time) float64 {
	return u.failures * fading(now.Sub(u.failedAt), faultHalfLife)
}

func (u *upstream) refusing(now time.Time) float64 {
	return u.refusals * fading(now.Sub(u.refusedAt), refusalHalfLife)
}

// paused tells whether the oldest open request has waited far beyond its usual
// time. Answers alone would show a pause only when it is over.
func (u *upstream) paused(now time.Time) bool {
	for i := range u.open {
		if o := &u.open[i]; float64(o.age(now)) > lateFactor*float64(o.usual) {
			return true
		}
	}
	return false
}

// Sent notes a send to an upstream; waited tells how long it has waited for a
// connection, at any time until it has ended.
func (t *Table) Sent(now time.Time, kindName string, usual time.Duration, c *catalog.Upstream, attempt uint64, waited func(time.Time) time.Duration) {
	k := t.kind(kindName, usual)
	u := t.upstream(c)
	expected := t.median(now, k, t.place.Distance(c.DataCentre))
	u.open = append(u.open, open{attempt: attempt, sentAt: now, usual: expected, waited: waited})
}

// Answered notes an answer after the time that it took.
func (t *Table) Answered(now time.Time, kindName string, usual time.Duration, c *catalog.Upstream, attempt uint64, took time.Duration) {
	k := t.kind(kindName, usual)
	u := t.upstream(c)
	open := len(u.open)
	u.close(attempt)
	d := t.place.Distance(c.DataCentre)
	if !now.Before(u.coldUntil) {
		k.far[d].tracker.Observe(now, took)
	}
	ratio := float64(took) / float64(t.median(now, k, d))
	u.observe(now, now.Add(-took), ratio)
	u.turnWindow(now, now.Add(-took), ratio, open)
	u.failures, u.failedAt = u.faulty(now)*(1-faultShare), now
	u.refusals, u.refusedAt = u.refusing(now)*(1-refusalShare), now
	u.downUntil = time.Time{}
	u.downFor = 0
}

// Abandoned notes a send whose answer nobody waits for any more and that has
// waited for so long. What is sent to a stuck upstream never answers: by answers
// alone it would stay unknown and look as good as the others.
func (t *Table) Abandoned(now time.Time, kindName string, usual time.Duration, c *catalog.Upstream, attempt uint64, waited time.Duration) {
	k := t.kind(kindName, usual)
	u := t.upstream(c)
	open := len(u.open)
	u.close(attempt)
	ratio := float64(waited) / float64(t.median(now, k, t.place.Distance(c.DataCentre)))
	if ratio > u.slowness(now) {
		u.observe(now, now.Add(-waited), ratio)
	}
	if ratio > lateFactor {
		u.turnWindow(now, now.Add(-waited), ratio, open)
	}
}

// Failed notes a send that brought no answer by a fault of the upstream.
func (t *Table) Failed(now time.Time, c *catalog.Upstream, attempt uint64) {
	u := t.upstream(c)
	u.close(attempt)
	u.failures, u.failedAt = u.faulty(now)*(1-faultShare)+faultShare, now
}

// Refused notes a send that the upstream refused, as far as is known for want of room.
func (t *Table) Refused(now time.Time, c *catalog.Upstream, attempt uint64) {
	u := t.upstream(c)
	u.close(attempt)
	u.refusals, u.refusedAt = u.refusing(now)*(1-refusalShare)+refusalShare, now
}

// Unreachable notes an upstream to which no connection could be made.
func (t *Table) Unreachable(now time.Time, c *catalog.Upstream, attempt uint64) {
	u := t.upstream(c)
	u.close(attempt)
	u.downFor = min(max(downFirst, 2*u.downFor), downMost)
	u.downUntil = now.Add(u.downFor)
}

// Unsent notes a send that was not made after all.
func (t *Table) Unsent(c *catalog.Upstream, attempt uint64) {
	t.upstream(c).close(attempt)
}

// HedgeDelay is how long an answer of the upstream may take before the request
// counts as late: the tail of the kind's answer times. Where the objective leaves
// room for it, the delay is longer, since each hedge is extra load: up to patience
// times usual, as long as the hedge's own answer still has spareMedians times its
// usual time.
func (t *Table) HedgeDelay(now time.Time, kindName string, usual, objective time.Duration, c *catalog.Upstream) time.Duration {
	k := t.kind(kindName, usual)
	distance := t.place.Distance(c.DataCentre)
	t.median(now, k, distance)
	tail := k.far[distance].tail
	if tail == 0 {
		return usual
	}
	room := objective - time.Duration(spareMedians*float64(t.median(now, k, locality.Far)))
	return min(max(tail, min(room, time.Duration(patience*float64(usual)))), 2*usual)
}

// observe takes in one answer time against the usual one. Answers that the same
// pause held up count once: a pause of a tenth of a second would otherwise look
// like as many slow answers as requests had come meanwhile, and the upstream be
// avoided long after it.
func (u *upstream) observe(now, sentAt time.Time, ratio float64) {
	if ratio > lateFactor {
		if sentAt.Before(u.lateUntil) {
			return
		}
		u.lateUntil = now
		if !u.lateBefore {
			ratio = min(ratio, lateMost)
		}
	}
	u.lateBefore = ratio > lateFactor
	w := u.weight * fading(now.Sub(u.seen), slowHalfLife)
	u.slow = (w*u.slow + ratio) / (w + 1)
	u.weight = min(w+1, maxWeight)
	u.seen = now
}

func (u *upstream) close(attempt uint64) {
	u.open = slices.DeleteFunc(u.open, func(o open) bool { return o.attempt == attempt })
}

// upstream is what is known of a registration's start. Of one that is over by now it is
// nothing, and what is noted of it is lost: a query that was planned before may still hold
// the registration.
func (t *Table) upstream(c *catalog.Upstream) *upstream {
	u := t.upstreams[c.ID]
	if u == nil {
		u = &upstream{registered: c, slow: 1}
		t.upstreams[c.ID] = u
	}
	if u.registered.StartedAfter(c) {
		return &upstream{registered: c, slow: 1}
	}
	return u
}

func (t *Table) kind(name string, usual time.Duration) *kind {
	k := t.kinds[name]
	if k == nil {
		k = &kind{first: usual}
		t.kinds[name] = k
	}
	return k
}

// median is the usual answer time of a kind at a distance, and brings its tail
// up to date.
func (t *Table) median(now time.Time, k *kind, d locality.Distance) time.Duration {
	f := &k.far[d]
	if f.median == 0 || now.Sub(f.at) >= refresh {
		f.at = now
		f.median, f.tail = 0, 0
		if f.tracker.Weight(now) >= 1 {
			f.median = f.tracker.Quantile(0.5)
		}
		if f.tracker.Weight(now) >= enoughSeen {
			f.tail = f.tracker.Quantile(hedgeQuantile)
		}
	}
	if f.median > 0 {
		return f.median
	}
	if d > locality.Near && k.far[locality.Near].median > 0 {
		return k.far[locality.Near].median + farPrior[d]
	}
	return k.first/2 + farPrior[d]
}
