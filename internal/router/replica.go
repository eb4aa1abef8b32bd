package router

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/latency"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/query"
	"sycamorekeel.example/sycamorekeel/internal/readiness"
)

// Hedge delays.
const (
	// hedgeUnknown is the delay while nothing is known of the whole service.
	hedgeUnknown = 50 * time.Millisecond
	hedgeLeast   = time.Millisecond
	// hedgeCap bounds an upstream's own delay by a multiple of its peers': one
	// that is known to be slow is not waited for longer.
	hedgeCap = 2
	// hedgeEnough is the weight of observations that a tail is read from.
	hedgeEnough = 8
	// tailEvery is how many observations a computed tail is used for.
	tailEvery = 8
)

// hedgeQuantiles are the tails a hedge may wait for, ascending.
var hedgeQuantiles = [...]float64{0.95, 0.975, 0.99}

// quantileIndex is a place in hedgeQuantiles.
type quantileIndex int

// hedgeTail is the tail that a kind's hedges wait for: the earliest that on an
// ordinary day uses at most half of the kind's budget. A hedge for each answer
// beyond a quantile of 1 - budget would use all of it, and by the time a replica
// stalls nothing would be left: noticed as a p99 of wide queries that no hedge
// shortens.
func hedgeTail(k *contract.Kind) quantileIndex {
	const percent, half = 100, 2
	for i, q := range hedgeQuantiles {
		if 1-q <= k.HedgePercent/percent/half+rounding {
			return quantileIndex(i)
		}
	}
	return quantileIndex(len(hedgeQuantiles) - 1)
}

// rounding of quantiles as floating-point numbers.
const rounding = 1e-9

// Exploration: a replica of which nothing was heard for a while gets one
// sub-request, so that one that has recovered is found. Each trial that finds
// it slow doubles the wait.
const (
	exploreLeast = 2 * time.Second
	exploreMost  = 64 * time.Second
	// exploreSlow is the multiple of the service's mean above which a replica
	// counts as slow.
	exploreSlow = 2
)

// alike is the ratio of costs below which replicas take turns: the histogram
// and the mean tell no finer difference.
const alike = 1.2

// coldFactor is how much slower a cold replica is taken to be: it gets work when
// the others are busy, or nothing was heard of it for a while.
const coldFactor = 4

// maxReplicas is how many replicas of a shard are looked at; query.Want has a
// bit for each.
const maxReplicas = 64

// upstreamState is what this VM has learned of an upstream.
type upstreamState struct {
	mu    sync.Mutex
	times latency.Tracker
	tail  tail
	ready readiness.State
	// open is the sub-requests outstanding from here; sent counts them all.
	open int
	sent uint64
	// exploreAt is when it may be tried although it looks slow.
	exploreAt    time.Time
	exploreEvery time.Duration
}

// tail is the computed hedge quantiles.
type tail struct {
	values [len(hedgeQuantiles)]time.Duration
	uses   int
}

// pool is the answer times of a service's upstreams together.
type pool struct {
	// slow is the time in ns above which an answer is slow, seen the answers so
	// far; both are read without the lock.
	slow atomic.Int64
	seen atomic.Uint64

	mu    sync.Mutex
	times latency.Tracker
	tail  tail
}

// Once a pool has seen poolWarm answers it takes one of poolSample in: more do
// not make it truer, and every sub-request of the service would wait for its
// lock.
const (
	poolWarm   = 64
	poolSample = 8
)

// read is a tail quantile; ok is false while too little was observed.
func (t *tail) read(now time.Time, times *latency.Tracker, q quantileIndex) (time.Duration, bool) {
	if times.Weight(now) < hedgeEnough {
		return 0, false
	}
	if t.uses == 0 {
		for i, q := range hedgeQuantiles {
			t.values[i] = max(times.Quantile(q), hedgeLeast)
		}
		t.uses = tailEvery
	}
	return t.values[q], true
}

func (t *tail) observed() {
	t.uses = max(0, t.uses-1)
}

// candidate is a replica under comparison.
type candidate struct {
	index   int
	cost    float64
	open    int
	sent    uint64
	known   bool
	explore bool
	cold    bool
}

// Replica is the replica expected to answer first: the one with the least mean
// time for each sub-request open from here. Those that are alike take turns. One
// that is down is asked only when there is no other, one that drains or lacks
// the snapshot never.
func (r *Router) Replica(now time.Time, w query.Want) int {
	var room [8]candidate
	list := r.candidates(now, w, room[:0])
	if len(list) == 0 {
		return query.NoReplica
	}
	if r.opts.Direct {
		return lessLoaded(list)
	}
	return r.choose(list, w.Explore).index
}

// Opened notes that a sub-request goes to an upstream; Observe ends it.
func (r *Router) Opened(now time.Time, u *contract.Upstream) {
	st := r.upstream(u.ID)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.open++
	st.sent++
	st.sentTo(now)
}

func (r *Router) candidates(now time.Time, w query.Want, list []candidate) []candidate {
	key := readiness.KeyOf(w.Snapshot)
	best := readiness.Down
	for i, u := range w.Shard.Replicas[:min(len(w.Shard.Replicas), maxReplicas)] {
		if u.Leaving || w.Tried&(1<<i) != 0 {
			continue
		}
		c, fitness := r.upstream(u.ID).candidate(now, i, key)
		if fitness < best {
			continue
		}
		if best == readiness.Down && fitness > best {
			best = readiness.Cold
			list = list[:0]
		}
		list = append(list, c)
	}
	return list
}

func (s *upstreamState) candidate(now time.Time, index int, key readiness.Key) (candidate, readiness.Fitness) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := candidate{index: index, open: s.open, sent: s.sent, known: s.times.Mean() > 0}
	c.cost = float64(s.times.Mean()) * float64(s.open+1)
	c.explore = !s.exploreAt.IsZero() && !now.Before(s.exploreAt)
	fitness := s.ready.Fitness(now, key)
	if fitness == readiness.Cold {
		c.cold = true
	}
	return c, fitness
}

// choose takes the least cost; an unknown replica costs as little as the best
// known one for each sub-request open.
func (r *Router) choose(list []candidate, explore bool) candidate {
	least, turn := 0.0, r.turn
	for i := range list {
		turn += list[i].sent
		if unit := list[i].cost / float64(list[i].open+1); list[i].known && (least == 0 || unit < least) {
			least = unit
		}
	}
	best := 0.0
	for i := range list {
		if !list[i].known {
			list[i].cost = max(least, 1) * float64(list[i].open+1)
		}
		if list[i].cold {
			list[i].cost *= coldFactor
		}
		if i == 0 || list[i].cost < best {
			best = list[i].cost
		}
	}
	if explore {
		for _, c := range list {
			if c.explore && c.cost > alike*best {
				return c
			}
		}
	}
	equals := 0
	for _, c := range list {
		if c.cost <= alike*best {
			list[equals] = c
			equals++
		}
	}
	return list[turn%uint64(equals)]
}

// sentTo puts the next trial off. While it gets sub-requests an upstream needs
// none; when one was due and this is it, the wait doubles until an answer shows
// that it is fast.
func (s *upstreamState) sentTo(now time.Time) {
	switch {
	case s.exploreEvery == 0:
		s.exploreEvery = exploreLeast
	case !now.Before(s.exploreAt):
		s.exploreEvery = min(exploreMost, 2*s.exploreEvery)
	}
	s.exploreAt = now.Add(s.exploreEvery)
}

// HedgeDelay is the tail of the replica's own answers, capped by that of its
// peers; while it is unknown it is the tail of the peers: the shard's other
// replicas, or else the service's upstreams together.
func (r *Router) HedgeDelay(now time.Time, k *contract.Kind, shard *contract.Shard, replica int) (time.Duration, bool) {
	q := hedgeTail(k)
	own, known := r.tailOf(now, shard.Replicas[replica], q)
	peers, peersKnown := r.peersTail(now, shard, replica, q)
	switch {
	case known && peersKnown:
		return min(own, hedgeCap*peers), true
	case known:
		return own, true
	case peersKnown:
		return peers, true
	default:
		return hedgeUnknown, false
	}
}

func (r *Router) tailOf(now time.Time, u *contract.Upstream, q quantileIndex) (time.Duration, bool) {
	st := r.upstream(u.ID)
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.tail.read(now, &st.times, q)
}

// peersTail is the shortest tail of the shard's other replicas: a hedge would
// be answered by it.
func (r *Router) peersTail(now time.Time, shard *contract.Shard, replica int, q quantileIndex) (time.Duration, bool) {
	least, ok := time.Duration(0), false
	for i, u := range shard.Replicas {
		if i == replica || u.Leaving {
			continue
		}
		if d, known := r.tailOf(now, u, q); known && (!ok || d < least) {
			least, ok = d, true
		}
	}
	if ok {
		return least, true
	}
	p := r.pool(shard.Replicas[replica].Service)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tail.read(now, &p.times, q)
}

// Observe learns from the end of an attempt.
func (r *Router) Observe(now time.Time, o query.Observation) {
	answered := o.Reply != nil && o.Reply.Result == pb.Result_OK
	slow := false
	if answered {
		slow = r.observePool(now, o)
	}
	st := r.upstream(o.Upstream.ID)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.open = max(0, st.open-1)
	if o.Reply != nil && st.ready.Reply(now, readiness.KeyOf(o.Snapshot), o.Reply) {
		r.changes.Add(1)
	}
	switch {
	case answered:
		st.times.Observe(now, o.Took)
		st.tail.observed()
		if !slow {
			st.exploreEvery = exploreLeast
		}
	case o.Reply == nil:
		st.times.ObserveAtLeast(now, o.Took)
		st.tail.observed()
	}
}

// observePool adds an answer to its service's and tells whether it was slow.
func (r *Router) observePool(now time.Time, o query.Observation) bool {
	p := r.pool(o.Upstream.Service)
	if n := p.seen.Add(1); n <= poolWarm || n%poolSample == 0 {
		p.observe(now, o.Took)
	}
	return int64(o.Took) > p.slow.Load()
}

func (p *pool) observe(now time.Time, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.times.Observe(now, took)
	p.tail.observed()
	p.slow.Store(int64(exploreSlow * p.times.Mean()))
}

func (r *Router) upstream(id string) *upstreamState {
	if st, ok := r.upstreams.Load(id); ok {
		return st.(*upstreamState)
	}
	st, _ := r.upstreams.LoadOrStore(id, &upstreamState{})
	return st.(*upstreamState)
}

func (r *Router) pool(service string) *pool {
	if p, ok := r.services.Load(service); ok {
		return p.(*pool)
	}
	p, _ := r.services.LoadOrStore(service, &pool{})
	return p.(*pool)
}

// turnOf starts the turns of each VM elsewhere, so that a fleet that knows
// nothing does not send everything to each shard's first replica.
func turnOf(vm string) uint64 {
	return xxhash.Sum64String(vm)
}
