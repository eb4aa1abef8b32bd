// Package readiness tracks the state of one upstream and the snapshots it
// serves, and chooses the snapshot that a query is pinned to. It is pure and
// does not consider load.
//
// Its inputs are the statuses sent by owners and the replies of upstreams. An
// upstream of unknown state counts as ready, and all information expires, so
// that outdated information does not keep an upstream out of use.
package readiness

import (
	"slices"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Lifetimes of the recorded information.
const (
	// statusTTL applies to an owner's status. It is long because owners send
	// changes only; replies that agree with the status renew it. If it expired
	// while a new version spreads slowly, every running query would restart.
	statusTTL = 2 * time.Minute
	// snapshotTTL applies to what a reply shows about one snapshot. It doubles,
	// up to snapshotMaxTTL, each time a request after expiry finds the snapshot
	// still missing.
	snapshotTTL    = 5 * time.Second
	snapshotMaxTTL = 20 * time.Second
	// statusOverrideAge is the age from which a new status replaces an
	// observation: the owner has then compared its own replies with the lagging
	// health endpoint.
	statusOverrideAge = time.Second
	// leavingTTL applies to a reply that announces that the upstream is leaving.
	leavingTTL = 10 * time.Second
	// downMinTTL and downMaxTTL bound how long a failed connection attempt
	// counts.
	downMinTTL = 500 * time.Millisecond
	downMaxTTL = 5 * time.Second
)

// maxObservations bounds the snapshots remembered from replies.
const maxObservations = 8

// SnapshotKey identifies a snapshot. It is comparable.
type SnapshotKey struct {
	Generation uint32
	Version    uint64
}

// SnapshotKeyOf returns the key of a snapshot message.
func SnapshotKeyOf(s *pb.Snapshot) SnapshotKey {
	return SnapshotKey{Generation: s.GetGeneration(), Version: s.GetVersion()}
}

// Fitness ranks upstreams as candidates for a sub-request; higher is better.
type Fitness int

const (
	// Unfit upstreams lack the snapshot or accept no new work.
	Unfit Fitness = iota
	// Down upstreams were unreachable. They are the last resort.
	Down
	// Cold upstreams serve, but slowly.
	Cold
	// Ready upstreams serve, or their state is unknown.
	Ready
)

// State is the known state of one upstream. The zero value holds no information.
// It is not safe for concurrent use.
type State struct {
	state        pb.UpstreamState
	stateUntil   time.Time
	listed       []SnapshotKey
	listUntil    time.Time
	observations []observation
}

// observation is what a reply showed about one snapshot.
type observation struct {
	key   SnapshotKey
	has   bool
	until time.Time
	ttl   time.Duration
}

// ApplyStatus applies an owner's status. A status without snapshots carries no
// information about them.
func (s *State) ApplyStatus(now time.Time, st *pb.UpstreamStatus) {
	s.state = st.State
	s.stateUntil = now.Add(statusTTL)
	s.listed = s.listed[:0]
	for _, snap := range st.Snapshots {
		s.listed = append(s.listed, SnapshotKeyOf(snap))
	}
	s.listUntil = now.Add(statusTTL)
	s.observations = slices.DeleteFunc(s.observations, func(o observation) bool {
		return now.Sub(o.until.Add(-o.ttl)) >= statusOverrideAge
	})
}

// ApplyReply applies the outcome of a sub-request for the snapshot asked. changed
// reports whether the upstream's fitness may have changed.
func (s *State) ApplyReply(now time.Time, asked SnapshotKey, r *pb.SubReply) (changed bool) {
	switch r.Result {
	case pb.Result_OK:
		return s.recordAnswer(now, SnapshotKeyOf(r.Snapshot), asked)
	case pb.Result_NO_SNAPSHOT:
		s.renewList(now, !slices.Contains(s.listed, asked))
		return s.recordSnapshot(now, asked, false)
	case pb.Result_UPSTREAM_LEAVING:
		s.state = pb.UpstreamState_DRAINING
		s.stateUntil = now.Add(leavingTTL)
		return true
	case pb.Result_UNREACHABLE:
		if s.currentState(now) == pb.UpstreamState_DRAINING {
			return false
		}
		wait := time.Duration(r.RetryAfterMs) * time.Millisecond
		s.state = pb.UpstreamState_DOWN
		s.stateUntil = now.Add(min(max(wait, downMinTTL), downMaxTTL))
		return true
	default:
		return false
	}
}

// recordAnswer applies a successful reply. It does not end draining, because a
// draining upstream may still answer.
func (s *State) recordAnswer(now time.Time, got, asked SnapshotKey) bool {
	if got != asked {
		s.recordSnapshot(now, got, true)
		return s.recordSnapshot(now, asked, false)
	}
	s.renewList(now, slices.Contains(s.listed, asked))
	changed := false
	if s.currentState(now) == pb.UpstreamState_DOWN {
		s.state = pb.UpstreamState_READY
		changed = true
	}
	if !s.hasSnapshot(now, asked) {
		changed = s.recordSnapshot(now, asked, true) || changed
	}
	return changed
}

// renewList extends the lifetime of the owner's list if a reply agrees with it.
func (s *State) renewList(now time.Time, agrees bool) {
	if agrees && len(s.listed) > 0 && now.Before(s.listUntil) {
		s.listUntil = now.Add(statusTTL)
	}
}

// recordSnapshot records that the upstream has or lacks a snapshot, and reports
// whether that is new information.
func (s *State) recordSnapshot(now time.Time, key SnapshotKey, has bool) bool {
	before := s.hasSnapshot(now, key)
	ttl := snapshotTTL
	s.observations = slices.DeleteFunc(s.observations, func(o observation) bool {
		if o.key == key && !o.has && !has && !now.Before(o.until) {
			ttl = min(2*o.ttl, snapshotMaxTTL)
		}
		return o.key == key || !now.Before(o.until.Add(snapshotMaxTTL))
	})
	if len(s.observations) >= maxObservations {
		s.observations = slices.Delete(s.observations, 0, 1)
	}
	s.observations = append(s.observations, observation{key: key, has: has, until: now.Add(ttl), ttl: ttl})
	return before != has
}

// Fitness returns the upstream's fitness to answer from a snapshot.
func (s *State) Fitness(now time.Time, key SnapshotKey) Fitness {
	state := s.currentState(now)
	if state == pb.UpstreamState_DRAINING || !s.hasSnapshot(now, key) {
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

func (s *State) currentState(now time.Time) pb.UpstreamState {
	if !now.Before(s.stateUntil) {
		return pb.UpstreamState_UPSTREAM_STATE_UNSPECIFIED
	}
	return s.state
}

// hasSnapshot prefers replies over the owner's list, which may lag.
func (s *State) hasSnapshot(now time.Time, key SnapshotKey) bool {
	for i := range s.observations {
		if o := &s.observations[i]; o.key == key && now.Before(o.until) {
			return o.has
		}
	}
	if len(s.listed) == 0 || !now.Before(s.listUntil) {
		return true
	}
	return slices.Contains(s.listed, key)
}

// Choice is the snapshot to pin a query to.
type Choice struct {
	Map      *contract.ShardMap
	Snapshot *pb.Snapshot
	// Complete reports whether every shard has a fit replica.
	Complete bool
}

// Choose returns the newest published snapshot for which every shard has a
// replica that serves it, or else the one with the highest coverage. Replicas
// that are down count only if no other replica serves any snapshot. ok is false
// when no replica of any shard serves any snapshot.
func Choose(s *contract.Service, fitness func(*contract.Upstream, SnapshotKey) Fitness) (c Choice, ok bool) {
	for _, minFitness := range []Fitness{Cold, Down} {
		if c, ok = chooseAtLeast(s, minFitness, fitness); ok {
			return c, true
		}
	}
	return Choice{}, false
}

// chooseAtLeast is Choose with replicas of at least minFitness.
func chooseAtLeast(s *contract.Service, minFitness Fitness, fitness func(*contract.Upstream, SnapshotKey) Fitness) (best Choice, ok bool) {
	bestCoverage := 0.0
	for i := len(s.Maps) - 1; i >= 0; i-- {
		m := s.Maps[i]
		for j := len(m.Versions) - 1; j >= 0; j-- {
			key := SnapshotKey{Generation: m.Generation, Version: m.Versions[j]}
			fraction := coverage(m, key, minFitness, fitness)
			if fraction <= bestCoverage {
				continue
			}
			bestCoverage = fraction
			best = Choice{Map: m, Snapshot: &pb.Snapshot{Generation: key.Generation, Version: key.Version}, Complete: fraction == 1}
			if best.Complete {
				return best, true
			}
		}
	}
	return best, bestCoverage > 0
}

// coverage returns the fraction of the documents whose shard has a fit replica.
// It is 1 only if no shard is missing, and above 0 if any shard is present, so
// that a map without documents can be pinned.
func coverage(m *contract.ShardMap, key SnapshotKey, minFitness Fitness, fitness func(*contract.Upstream, SnapshotKey) Fitness) float64 {
	shards, documents := 0, uint64(0)
	for _, sh := range m.Shards {
		if hasFitReplica(sh, key, minFitness, fitness) {
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
		return max(minPartialCoverage, maxPartialCoverage*float64(documents)/float64(max(1, m.Documents)))
	}
}

// Bounds of the coverage of an incomplete map.
const (
	minPartialCoverage = 1e-9
	maxPartialCoverage = 1 - minPartialCoverage
)

// hasFitReplica reports whether any replica that is not leaving has at least
// minFitness.
func hasFitReplica(sh *contract.Shard, key SnapshotKey, minFitness Fitness, fitness func(*contract.Upstream, SnapshotKey) Fitness) bool {
	for _, u := range sh.Replicas {
		if !u.Leaving && fitness(u, key) >= minFitness {
			return true
		}
	}
	return false
}
