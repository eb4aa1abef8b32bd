package owner

import (
	"time"

	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/health"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/upstream"
)

// reportedStatus is the status last reported to opts.Status.
type reportedStatus struct {
	state     pb.UpstreamState
	snapshots []*pb.Snapshot
}

func (e *executor) probeDue(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.granted.Role == RoleOwner && !e.closed && e.health.ProbeDue(now)
}

func (e *executor) probeSkipped() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.health.ProbeSkipped()
}

// probe requests the upstream's health and records the response.
func (e *executor) probe() {
	sent := e.owner.opts.Now()
	e.mu.Lock()
	idle := e.granted.Connections-1 > e.granted.Slots
	e.mu.Unlock()
	answer, err := e.client.Probe(idle)
	now := e.owner.opts.Now()
	e.mu.Lock()
	e.recordProbe(now, sent, answer)
	e.mu.Unlock()
	outcome := "answered"
	if err != nil {
		outcome = "failed"
		e.owner.log.Debug("owner: probe failed", zap.Error(err))
	}
	e.owner.metrics.probes.WithLabelValues(outcome).Inc()
	e.tick(now)
}

// recordProbe updates the health monitor with a probe's response; answer is nil if
// the probe failed. The caller holds mu.
func (e *executor) recordProbe(now, sent time.Time, answer *upstream.Health) {
	if answer == nil {
		e.health.ProbeFinished(now, sent, nil)
		return
	}
	before := e.health.State()
	state, snapshots := answer.Report()
	e.health.ProbeFinished(now, sent, &health.Report{State: state, Snapshots: snapshots})
	if e.health.State() == pb.UpstreamState_COLD && before != pb.UpstreamState_COLD {
		e.limiter.Restart()
	}
}

// reportStatus reports a changed status, or the loss of ownership, to opts.Status.
func (e *executor) reportStatus() {
	e.mu.Lock()
	same := e.statusReported()
	e.mu.Unlock()
	if same || e.owner.opts.Status == nil {
		return
	}
	e.owner.reportMu.Lock()
	defer e.owner.reportMu.Unlock()
	e.mu.Lock()
	if e.statusReported() {
		e.mu.Unlock()
		return
	}
	lost := e.granted.Role != RoleOwner
	e.reported = reportedStatus{}
	if !lost {
		e.reported = reportedStatus{state: e.health.State(), snapshots: e.health.Snapshots()}
	}
	id, now := e.upstream.ID, e.reported
	e.mu.Unlock()
	if lost {
		e.owner.opts.Status.UpstreamLost(id)
		return
	}
	e.owner.opts.Status.UpstreamChanged(&pb.UpstreamStatus{Upstream: id, State: now.state, Snapshots: now.snapshots})
}

// statusReported reports whether the current status was already reported. The
// caller holds mu.
func (e *executor) statusReported() bool {
	if e.granted.Role != RoleOwner {
		return e.reported.state == pb.UpstreamState_UPSTREAM_STATE_UNSPECIFIED
	}
	return e.health.State() == e.reported.state && sameSnapshots(e.health.Snapshots(), e.reported.snapshots)
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
