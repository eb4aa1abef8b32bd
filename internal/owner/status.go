package owner

import (
	"time"

	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/health"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/upstream"
)

// status is what was last told of the upstream.
type status struct {
	state     pb.UpstreamState
	snapshots []*pb.Snapshot
}

func (s *station) probeDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.granted.Role == Main && !s.closed && s.health.ProbeDue(now)
}

func (s *station) probeSkipped() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.ProbeSkipped()
}

// probe asks for the upstream's health and takes the answer in.
func (s *station) probe() {
	sent := s.owner.opts.Now()
	s.mu.Lock()
	idle := s.granted.Connections-1 > s.granted.Slots
	s.mu.Unlock()
	answer, err := s.client.Probe(idle)
	now := s.owner.opts.Now()
	s.mu.Lock()
	s.probed(now, sent, answer)
	s.mu.Unlock()
	outcome := "answered"
	if err != nil {
		outcome = "failed"
		s.owner.log.Debug("owner: probe failed", zap.Error(err))
	}
	s.owner.met.probes.WithLabelValues(outcome).Inc()
	s.tick(now)
}

// probed learns from the answer. The caller holds mu.
func (s *station) probed(now, sent time.Time, answer *upstream.Health) {
	if answer == nil {
		s.health.Probed(now, sent, nil)
		return
	}
	before := s.health.State()
	state, snapshots := answer.Report()
	s.health.Probed(now, sent, &health.Report{State: state, Snapshots: snapshots})
	if s.health.State() == pb.UpstreamState_COLD && before != pb.UpstreamState_COLD {
		s.limiter.Restart()
	}
}

// emit tells of a change of what is believed, or of the loss of ownership.
func (s *station) emit() {
	s.mu.Lock()
	same := s.settled()
	s.mu.Unlock()
	if same || s.owner.opts.Status == nil {
		return
	}
	s.owner.emitMu.Lock()
	defer s.owner.emitMu.Unlock()
	s.mu.Lock()
	if s.settled() {
		s.mu.Unlock()
		return
	}
	lost := s.granted.Role != Main
	s.emitted = status{}
	if !lost {
		s.emitted = status{state: s.health.State(), snapshots: s.health.Snapshots()}
	}
	id, now := s.upstream.ID, s.emitted
	s.mu.Unlock()
	if lost {
		s.owner.opts.Status.UpstreamLost(id)
		return
	}
	s.owner.opts.Status.UpstreamChanged(&pb.UpstreamStatus{Upstream: id, State: now.state, Snapshots: now.snapshots})
}

// settled tells whether there is nothing new to tell. The caller holds mu.
func (s *station) settled() bool {
	if s.granted.Role != Main {
		return s.emitted.state == pb.UpstreamState_UPSTREAM_STATE_UNSPECIFIED
	}
	return s.health.State() == s.emitted.state && sameSnapshots(s.health.Snapshots(), s.emitted.snapshots)
}

func sameSnapshots(a, b []*pb.Snapshot) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Generation != b[i].Generation || a[i].Version != b[i].Version {
			return false
		}
	}
	return true
}
