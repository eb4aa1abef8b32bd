// Package readiness keeps what is known of one upstream's state and of the
// snapshots it serves, and chooses the snapshot that a query is pinned to. It is
// pure and decides nothing about load.
//
// It learns from the statuses of owners and from replies. What is unknown counts
// as ready, and what was learned expires: a belief that nothing renews must not
// keep an upstream out of use.
package readiness

import (
	"slices"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// How long what was learned holds.
const (
	// statusTTL is for an owner's status. Owners send changes only, so it is
	// long, and replies that agree with it renew it: were it to lapse while a
	// version takes long to spread, every query under way would restart.
	statusTTL = 2 * time.Minute
	// snapshotTTL is for what a reply tells of one snapshot. It doubles, up to
	// snapshotMost, each time the snapshot is still missing when it is asked for
	// again.
	snapshotTTL  = 5 * time.Second
	snapshotMost = 20 * time.Second
	// settled is the age from which a lesson gives way to a new status: the
	// owner has weighed its own replies against the lagging health endpoint.
	settled = time.Second
	// leavingTTL is for a reply that announces leaving.
	leavingTTL = 10 * time.Second
	// downLeast and downMost bound how long a connection that could not be
	// opened counts.
	downLeast = 500 * time.Millisecond
	downMost  = 5 * time.Second
)

// maxLearned bounds the snapshots remembered from replies.
const maxLearned = 8

// Key names a snapshot; it is comparable.
type Key struct {
	Generation uint32
	Version    uint64
}

// KeyOf is the key of a snapshot message.
func KeyOf(s *pb.Snapshot) Key {
	return Key{Generation: s.GetGeneration(), Version: s.GetVersion()}
}

// Fitness says whether an upstream should get a sub-request; higher is better.
type Fitness int

const (
	// Unfit upstreams lack the snapshot or take no new work.
	Unfit Fitness = iota
	// Down upstreams could not be reached: the last resort.
	Down
	// Cold upstreams serve, slowly.
	Cold
	// Ready upstreams serve, as far as is known.
	Ready
)

// State is what is known of one upstream. The zero value knows nothing. It is
// not safe for concurrent use.
type State struct {
	state      pb.UpstreamState
	stateUntil time.Time
	listed     []Key
	listUntil  time.Time
	learned    []lesson
}

// lesson is what a reply told of one snapshot.
type lesson struct {
	key   Key
	has   bool
	until time.Time
	ttl   time.Duration
}

// Status takes an owner's status in. A status without snapshots says nothing of
// them.
func (s *State) Status(now time.Time, st *pb.UpstreamStatus) {
	s.state = st.State
	s.stateUntil = now.Add(statusTTL)
	s.listed = s.listed[:0]
	for _, snap := range st.Snapshots {
		s.listed = append(s.listed, KeyOf(snap))
	}
	s.listUntil = now.Add(statusTTL)
	s.learned = slices.DeleteFunc(s.learned, func(l lesson) bool {
		return now.Sub(l.until.Add(-l.ttl)) >= settled
	})
}

// Reply takes the end of a sub-request for a snapshot in; changed tells whether
// the upstream's fitness may now be another.
func (s *State) Reply(now time.Time, asked Key, r *pb.SubReply) (changed bool) {
	switch r.Result {
	case pb.Result_OK:
		return s.answered(now, KeyOf(r.Snapshot), asked)
	case pb.Result_NO_SNAPSHOT:
		s.renew(now, !slices.Contains(s.listed, asked))
		return s.learn(now, asked, false)
	case pb.Result_UPSTREAM_LEAVING:
		s.state = pb.UpstreamState_DRAINING
		s.stateUntil = now.Add(leavingTTL)
		return true
	case pb.Result_UNREACHABLE:
		if s.current(now) == pb.UpstreamState_DRAINING {
			return false
		}
		wait := time.Duration(r.RetryAfterMs) * time.Millisecond
		s.state = pb.UpstreamState_DOWN
		s.stateUntil = now.Add(min(max(wait, downLeast), downMost))
		return true
	default:
		return false
	}
}

// answered is a good answer. An upstream that drains may still give some.
func (s *State) answered(now time.Time, got, asked Key) bool {
	if got != asked {
		s.learn(now, got, true)
		return s.learn(now, asked, false)
	}
	s.renew(now, slices.Contains(s.listed, asked))
	changed := false
	if s.current(now) == pb.UpstreamState_DOWN {
		s.state = pb.UpstreamState_READY
		changed = true
	}
	if !s.has(now, asked) {
		changed = s.learn(now, asked, true) || changed
	}
	return changed
}

// renew keeps the owner's list for longer when a reply agrees with it.
func (s *State) renew(now time.Time, agrees bool) {
	if agrees && len(s.listed) > 0 && now.Before(s.listUntil) {
		s.listUntil = now.Add(statusTTL)
	}
}

func (s *State) learn(now time.Time, key Key, has bool) bool {
	before := s.has(now, key)
	ttl := snapshotTTL
	s.learned = slices.DeleteFunc(s.learned, func(l lesson) bool {
		if l.key == key && !l.has && !has && !now.Before(l.until) {
			ttl = min(2*l.ttl, snapshotMost)
		}
		return l.key == key || !now.Before(l.until.Add(snapshotMost))
	})
	if len(s.learned) >= maxLearned {
		s.learned = slices.Delete(s.learned, 0, 1)
	}
	s.learned = append(s.learned, lesson{key: key, has: has, until: now.Add(ttl), ttl: ttl})
	return before != has
}

// Fitness is how fit the upstream is to answer from a snapshot.
func (s *State) Fitness(now time.Time, key Key) Fitness {
	state := s.current(now)
	if state == pb.UpstreamState_DRAINING || !s.has(now, key) {
		return Unfit
	}
	switch state {
	case pb.UpstreamState_DOWN:
		return Down
	case pb.UpstreamState_COLD:
		return Cold
	default:
		return Ready
	}
}

func (s *State) current(now time.Time) pb.UpstreamState {
	if !now.Before(s.stateUntil) {
		return pb.UpstreamState_UPSTREAM_STATE_UNSPECIFIED
	}
	return s.state
}

// has believes replies before the owner's list, which may lag.
func (s *State) has(now time.Time, key Key) bool {
	for i := range s.learned {
		if l := &s.learned[i]; l.key == key && now.Before(l.until) {
			return l.has
		}
	}
	if len(s.listed) == 0 || !now.Before(s.listUntil) {
		return true
	}
	return slices.Contains(s.listed, key)
}

// Choice is a snapshot to pin.
type Choice struct {
	Map      *contract.ShardMap
	Snapshot *pb.Snapshot
	// Whole says that every shard has a fit replica.
	Whole bool
}

// Choose is the newest published snapshot for which every shard has a replica
// that serves; when there is none it is the one that covers most. ok is false
// when no replica of any shard serves any snapshot.
func Choose(s *contract.Service, fitness func(*contract.Upstream, Key) Fitness) (c Choice, ok bool) {
	for _, least := range []Fitness{Cold, Down} {
		if c, ok = choose(s, least, fitness); ok {
			return c, true
		}
	}
	return Choice{}, false
}

func choose(s *contract.Service, least Fitness, fitness func(*contract.Upstream, Key) Fitness) (best Choice, ok bool) {
	most := 0.0
	for i := len(s.Maps) - 1; i >= 0; i-- {
		m := s.Maps[i]
		for j := len(m.Versions) - 1; j >= 0; j-- {
			key := Key{Generation: m.Generation, Version: m.Versions[j]}
			share := covered(m, key, least, fitness)
			if share <= most {
				continue
			}
			most = share
			best = Choice{Map: m, Snapshot: &pb.Snapshot{Generation: key.Generation, Version: key.Version}, Whole: share == 1}
			if best.Whole {
				return best, true
			}
		}
	}
	return best, most > 0
}

// covered is the share of the documents whose shard has a fit replica. The
// share is of documents, 1 only when no shard is missing, and more than 0 as
// soon as one is there, so that a map without documents can be pinned.
func covered(m *contract.ShardMap, key Key, least Fitness, fitness func(*contract.Upstream, Key) Fitness) float64 {
	shards, documents := 0, uint64(0)
	for _, sh := range m.Shards {
		if served(sh, key, least, fitness) {
			shards++
			documents += sh.Documents
		}
	}
	switch {
	case shards == 0:
		return 0
	case shards == len(m.Shards):
		return 1
	default:
		return max(smallest, largest*float64(documents)/float64(max(1, m.Documents)))
	}
}

// Shares of an incomplete map.
const (
	smallest = 1e-9
	largest  = 1 - smallest
)

func served(sh *contract.Shard, key Key, least Fitness, fitness func(*contract.Upstream, Key) Fitness) bool {
	for _, u := range sh.Replicas {
		if !u.Leaving && fitness(u, key) >= least {
			return true
		}
	}
	return false
}
