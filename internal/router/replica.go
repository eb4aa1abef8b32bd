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
	// defaultHedgeDelay is used while the service has too few observations.
	defaultHedgeDelay = 50 * time.Millisecond
	minHedgeDelay     = time.Millisecond
	// maxPeerTailRatio limits an upstream's hedge delay to a multiple of its
	// peers' tail, so that a known slow replica does not delay its hedges.
	maxPeerTailRatio = 2
	// minTailWeight is the weight of observations required to compute a tail.
	minTailWeight = 8
	// tailRefreshEvery is how many observations pass before a computed tail is
	// computed again.
	tailRefreshEvery = 8
)

// hedgeQuantiles are the latency quantiles available as hedge delays, ascending.
var hedgeQuantiles = [...]float64{0.95, 0.975, 0.99}

// quantileIndex is an index into hedgeQuantiles.
type quantileIndex int

// hedgeQuantile returns the lowest quantile whose hedges use at most half of the
// kind's budget under normal latencies, or the highest if there is none. Hedging at the quantile 1 - budget would
// use up the whole budget and leave none for a replica that stalls: the p99 of
// queries over many shards then rises and no hedge shortens it.
func hedgeQuantile(k *contract.Kind) quantileIndex {
	const percent, half = 100, 2
	for i, q := range hedgeQuantiles {
		if 1-q <= k.HedgePercent/percent/half+quantileTolerance {
			return quantileIndex(i)
		}
	}
	return quantileIndex(len(hedgeQuantiles) - 1)
}

// quantileTolerance absorbs floating-point rounding when quantiles are compared.
const quantileTolerance = 1e-9

// Exploration intervals. A replica that has not been used for the interval gets
// one sub-request, so that a recovered replica is noticed. The interval doubles
// each time the replica is found slow.
const (
	minExploreInterval = 2 * time.Second
	maxExploreInterval = 64 * time.Second
	// slowFactor is the multiple of the service's mean latency above which a
	// replica counts as slow.
	slowFactor = 2
)

// tieRatio is the cost ratio up to which replicas count as equal and take turns.
// The latency histogram and the mean do not resolve smaller differences.
const tieRatio = 1.2

// coldCostFactor is the assumed slowdown of a cold replica. Such a replica gets work
// when the others are busy or when its exploration is due.
const coldCostFactor = 4

// maxReplicas is how many replicas of a shard are considered: query.ReplicaRequest has one
// bit for each.
const maxReplicas = 64

// upstreamState holds the latency, load and readiness of an upstream as observed
// from this VM.
type upstreamState struct {
	mu        sync.Mutex
	latencies latency.Tracker
	tail      tailQuantiles
	ready     readiness.State
	// open counts the sub-requests outstanding from this VM, sent all that were
	// ever sent.
	open int
	sent uint64
	// exploreAt is when the upstream may be explored although it looks slow.
	exploreAt       time.Time
	exploreInterval time.Duration
}

// tailQuantiles caches the values of hedgeQuantiles for a latency tracker.
type tailQuantiles struct {
	values [len(hedgeQuantiles)]time.Duration
	// refreshIn is how many observations remain until values is computed again.
	refreshIn int
}

// serviceLatency holds the answer times of all upstreams of a service.
type serviceLatency struct {
	// slowThreshold is the time in ns above which an answer is slow; answers
	// counts the answers so far. Both are read without the lock.
	slowThreshold atomic.Int64
	answers       atomic.Uint64

	mu        sync.Mutex
	latencies latency.Tracker
	tail      tailQuantiles
}

// After warmupAnswers answers, a service records only one answer in sampleEvery:
// further samples add no accuracy, and every sub-request of the service would
// wait for the lock.
const (
	warmupAnswers = 64
	sampleEvery   = 8
)

// quantile returns the latency at hedgeQuantiles[q]. The second result is false
// while there are too few observations.
func (t *tailQuantiles) quantile(now time.Time, latencies *latency.Tracker, q quantileIndex) (time.Duration, bool) {
	if latencies.Weight(now) < minTailWeight {
		return 0, false
	}
	if t.refreshIn == 0 {
		for i, q := range hedgeQuantiles {
			t.values[i] = max(latencies.Quantile(q), minHedgeDelay)
		}
		t.refreshIn = tailRefreshEvery
	}
	return t.values[q], true
}

// countObservation brings the next computation of the quantiles one observation
// closer.
func (t *tailQuantiles) countObservation() {
	t.refreshIn = max(0, t.refreshIn-1)
}

// candidate is a replica considered for a sub-request. Its cost is the mean latency
// in ns times the sub-requests open, including the new one.
type candidate struct {
	index      int
	cost       float64
	open       int
	sent       uint64
	known      bool
	exploreDue bool
	cold       bool
}

// PickReplica returns the index of the replica with the lowest expected answer time:
// mean latency times the sub-requests open from this VM, including the new one.
// Replicas of similar cost take turns. A replica that is down is used only if there
// is no other; one that is draining or lacks the snapshot is never used.
func (r *Router) PickReplica(now time.Time, w query.ReplicaRequest) int {
	var buf [8]candidate
	list := r.candidates(now, w, buf[:0])
	if len(list) == 0 {
		return query.NoReplica
	}
	if r.opts.Direct {
		return lessLoadedOfTwo(list)
	}
	return r.pickCheapest(list, w.Explore).index
}

// RecordSend records that a sub-request is sent to an upstream. Observe ends
// the attempt.
func (r *Router) RecordSend(now time.Time, u *contract.Upstream) {
	st := r.upstream(u.ID)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.open++
	st.sent++
	st.scheduleExploration(now)
}

// candidates appends to list the replicas that may serve w. Replicas that are down
// are included only if all usable ones are down.
func (r *Router) candidates(now time.Time, w query.ReplicaRequest, list []candidate) []candidate {
	key := readiness.SnapshotKeyOf(w.Snapshot)
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

func (s *upstreamState) candidate(now time.Time, index int, key readiness.SnapshotKey) (candidate, readiness.Fitness) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := candidate{index: index, open: s.open, sent: s.sent, known: s.latencies.Mean() > 0}
	c.cost = float64(s.latencies.Mean()) * float64(s.open+1)
	c.exploreDue = !s.exploreAt.IsZero() && !now.Before(s.exploreAt)
	fitness := s.ready.Fitness(now, key)
	if fitness == readiness.Cold {
		c.cold = true
	}
	return c, fitness
}

// pickCheapest returns the candidate with the lowest cost, or one that is due for
// exploration if explore is set. A replica without observations is costed like the
// fastest known one. Candidates of similar cost take turns.
func (r *Router) pickCheapest(list []candidate, explore bool) candidate {
	minUnitCost, turn := 0.0, r.rotation
	for i := range list {
		turn += list[i].sent
		if unitCost := list[i].cost / float64(list[i].open+1); list[i].known && (minUnitCost == 0 || unitCost < minUnitCost) {
			minUnitCost = unitCost
		}
	}
	minCost := 0.0
	for i := range list {
		if !list[i].known {
			list[i].cost = max(minUnitCost, 1) * float64(list[i].open+1)
		}
		if list[i].cold {
			list[i].cost *= coldCostFactor
		}
		if i == 0 || list[i].cost < minCost {
			minCost = list[i].cost
		}
	}
	if explore {
		for _, c := range list {
			if c.exploreDue && c.cost > tieRatio*minCost {
				return c
			}
		}
	}
	ties := 0
	for _, c := range list {
		if c.cost <= tieRatio*minCost {
			list[ties] = c
			ties++
		}
	}
	return list[turn%uint64(ties)]
}

// scheduleExploration postpones the next exploration: an upstream that gets
// sub-requests needs none. If an exploration was due, this sub-request is it, and
// the interval doubles until an answer shows that the upstream is fast.
func (s *upstreamState) scheduleExploration(now time.Time) {
	switch {
	case s.exploreInterval == 0:
		s.exploreInterval = minExploreInterval
	case !now.Before(s.exploreAt):
		s.exploreInterval = min(maxExploreInterval, 2*s.exploreInterval)
	}
	s.exploreAt = now.Add(s.exploreInterval)
}

// HedgeDelay returns the latency tail of the replica, limited by that of its peers.
// If the replica has too few observations, it returns the peers' tail: that of the
// shard's other replicas or else of the whole service. The second result is false
// when neither is known and the default delay is returned.
func (r *Router) HedgeDelay(now time.Time, k *contract.Kind, shard *contract.Shard, replica int) (time.Duration, bool) {
	q := hedgeQuantile(k)
	own, known := r.upstreamTail(now, shard.Replicas[replica], q)
	peers, peersKnown := r.peerTail(now, shard, replica, q)
	switch {
	case known && peersKnown:
		return min(own, maxPeerTailRatio*peers), true
	case known:
		return own, true
	case peersKnown:
		return peers, true
	default:
		return defaultHedgeDelay, false
	}
}

func (r *Router) upstreamTail(now time.Time, u *contract.Upstream, q quantileIndex) (time.Duration, bool) {
	st := r.upstream(u.ID)
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.tail.quantile(now, &st.latencies, q)
}

// peerTail returns the lowest tail among the shard's other replicas, since the
// fastest of them would answer a hedge. If none is known it returns the tail of the
// whole service.
func (r *Router) peerTail(now time.Time, shard *contract.Shard, replica int, q quantileIndex) (time.Duration, bool) {
	lowest, ok := time.Duration(0), false
	for i, u := range shard.Replicas {
		if i == replica || u.Leaving {
			continue
		}
		if d, known := r.upstreamTail(now, u, q); known && (!ok || d < lowest) {
			lowest, ok = d, true
		}
	}
	if ok {
		return lowest, true
	}
	service := r.serviceLatency(shard.Replicas[replica].Service)
	service.mu.Lock()
	defer service.mu.Unlock()
	return service.tail.quantile(now, &service.latencies, q)
}

// Observe records the end of an attempt. An attempt withdrawn without a reply
// counts as a lower bound of the latency.
func (r *Router) Observe(now time.Time, o query.Observation) {
	answered := o.Reply != nil && o.Reply.Result == pb.Result_OK
	slow := false
	if answered {
		slow = r.observeService(now, o)
	}
	st := r.upstream(o.Upstream.ID)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.open = max(0, st.open-1)
	if o.Reply != nil && st.ready.ApplyReply(now, readiness.SnapshotKeyOf(o.Snapshot), o.Reply) {
		r.changes.Add(1)
	}
	switch {
	case answered:
		st.latencies.Observe(now, o.Took)
		st.tail.countObservation()
		if !slow {
			st.exploreInterval = minExploreInterval
		}
	case o.Reply == nil:
		st.latencies.ObserveAtLeast(now, o.Took)
		st.tail.countObservation()
	}
}

// observeService adds an answer to the latency of its service and reports whether
// it was slow.
func (r *Router) observeService(now time.Time, o query.Observation) bool {
	service := r.serviceLatency(o.Upstream.Service)
	if n := service.answers.Add(1); n <= warmupAnswers || n%sampleEvery == 0 {
		service.observe(now, o.Took)
	}
	return int64(o.Took) > service.slowThreshold.Load()
}

func (s *serviceLatency) observe(now time.Time, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latencies.Observe(now, took)
	s.tail.countObservation()
	s.slowThreshold.Store(int64(slowFactor * s.latencies.Mean()))
}

func (r *Router) upstream(id string) *upstreamState {
	if st, ok := r.upstreams.Load(id); ok {
		return st.(*upstreamState)
	}
	st, _ := r.upstreams.LoadOrStore(id, &upstreamState{})
	return st.(*upstreamState)
}

func (r *Router) serviceLatency(service string) *serviceLatency {
	if p, ok := r.services.Load(service); ok {
		return p.(*serviceLatency)
	}
	p, _ := r.services.LoadOrStore(service, &serviceLatency{})
	return p.(*serviceLatency)
}

// initialRotation returns the first offset of the round robin, different for each
// VM. Without it, VMs that have no observations yet would all send to each shard's first
// replica.
func initialRotation(vm string) uint64 {
	return xxhash.Sum64String(vm)
}
